package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"time"

	"raventrestle/internal/emulator/link"
)

// place is where a courier stands: a loopback address of its own, and a port of it for the others of its fleet.
type place struct{ ip, fellows string }

// afterCut is how long a courier may take, once it is reached again, to tell what it could not: its connection to the
// platform may have to time out, and it then tries again at an interval that grows.
const afterCut = 4 * time.Second

// Parties are those that faults may name: each courier by its name and floor, all endpoints of a floor as one, and
// discovery, which is the platform's ear for notices too.
func (s *Spec) Parties() (all []link.Node) {
	for n := range s.Couriers {
		all = append(all, link.Node{Name: party(n), Site: s.Home(n), Role: link.Courier})
	}
	var floors []string
	for _, c := range s.Channels {
		for _, f := range c.Floors {
			if !slices.Contains(floors, f) {
				floors = append(floors, f)
				all = append(all, link.Node{Name: atFloor(f), Site: f, Role: link.Endpoint})
			}
		}
	}
	return append(all, link.Node{Name: string(link.Discovery), Role: link.Discovery})
}

func party(courier int) string    { return fmt.Sprint("n", courier) }
func atFloor(floor string) string { return "endpoint " + floor }

// CheckFaults says whether the world can play its faults.
func (s *Spec) CheckFaults() error {
	plan, err := link.Draw(s.Faults, s.Parties(), s.Seed)
	if err != nil {
		return err
	}
	if plan.End() > s.Traffic {
		return fmt.Errorf("emulator: field faults: the last ends %v after the start, when the traffic is over (%v); lessen at_s or for_s",
			plan.End(), s.Traffic)
	}
	if len(plan.Links) == 0 {
		return nil
	}
	for _, t := range s.Troubles { // the rule counts from when the word left, and a cut may hold it
		if t.Drain || t.Gone != "" {
			return errors.New("emulator: field faults: links with faults can't be played beside drains; leave one of them out")
		}
	}
	for _, c := range s.Channels {
		if c.RetryAfterShare > 0 {
			return errors.New("emulator: field faults: links with faults can't be played beside channels that tell waits; set tells_wait to 0")
		}
	}
	return nil
}

// link draws the plan, gives each courier its place, and puts relays before all that couriers reach.
func (w *World) link() ([]place, error) {
	places := make([]place, w.Spec.Couriers)
	for n := range places {
		ip, err := ownIP(n, w.Discovery.Addr(n))
		if err != nil {
			return nil, err
		}
		places[n].ip = ip
	}
	if !w.Fleet && len(w.Spec.Faults.Links)+len(w.Spec.Faults.Processes) == 0 {
		return places, nil
	}
	if err := w.CheckFaults(); err != nil {
		return nil, err
	}
	parties := w.Parties()
	var err error
	if w.Faulted, err = link.Draw(w.Spec.Faults, parties, w.Seed); err != nil {
		return nil, err
	}
	for i := range parties {
		switch p := &parties[i]; p.Role {
		case link.Courier:
			if places[i].fellows, err = freePort(places[i].ip); err != nil {
				return nil, err
			}
			p.Addr = places[i].fellows
		default: // they have an address for each courier, named below
			p.Addr = w.Discovery.Addr(0)
		}
	}
	if w.Mesh, err = link.NewMesh(parties, w.Seed, w.Log); err != nil {
		return nil, err
	}
	addrs := make([]string, len(places))
	for n := range places {
		if addrs[n], err = w.Mesh.AddrForTarget(party(n), string(link.Discovery), w.Discovery.Addr(n)); err != nil {
			return nil, err
		}
	}
	for _, c := range w.Channels {
		for _, e := range c.Endpoints {
			via := make([]string, len(places))
			for n := range places {
				if via[n], err = w.Mesh.AddrForTarget(party(n), atFloor(e.Floor), e.Addr(n)); err != nil {
					return nil, err
				}
			}
			e.via = via
		}
	}
	w.Discovery.relayed(addrs)
	return places, nil
}

// freePort is a port of the address that both protocols have free. Nobody else is given it: the address is the courier's own.
func freePort(ip string) (string, error) {
	for try := 0; ; try++ {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		packets, err := net.ListenPacket("udp", addr)
		if err == nil {
			return addr, errors.Join(packets.Close(), l.Close())
		}
		if err = errors.Join(err, l.Close()); try == 20 {
			return "", err
		}
	}
}

// fleet is the courier's record of its fleet, in CUE. It knows two others; intervals fit days of seconds.
func (w *World) fleet(n int, places []place) (string, error) {
	own, err := w.Mesh.FrontendAddr(party(n))
	if err != nil {
		return "", err
	}
	seeds := []string{}
	for i := 1; i <= 2 && i < len(places); i++ {
		face, err := w.Mesh.FrontendAddr(party((n + i) % len(places)))
		if err != nil {
			return "", err
		}
		seeds = append(seeds, face)
	}
	text, err := json.Marshal(map[string]any{
		"bind": places[n].fellows, "advertise": own, "seeds": seeds, "site": w.Home(n),
		"gossip_interval_s": 0.1, "probe_interval_s": 0.5, "seeds_interval_s": 1,
	})
	return "\nfleet: " + string(text) + "\n", err
}

// snapshots saves the folders that the plan will set back.
func (w *World) snapshots() error {
	for _, e := range w.Faulted.Processes {
		p := processes{w}
		if e.How == link.RestoreOldSnapshot {
			if err := link.SaveSnapshot(p.StateDir(e.Courier), p.SnapshotDir(e.Courier)); err != nil {
				return err
			}
		}
	}
	return nil
}

// faults plays the plan; the run's end ends it.
func (w *World) faults(ctx context.Context) error {
	if w.Mesh == nil {
		return nil
	}
	err := w.Mesh.RunPlan(ctx, w.Faulted, func(ctx context.Context, at time.Duration) error {
		if !until(ctx, w.start.Add(at)) {
			return ctx.Err()
		}
		return nil
	}, processes{w})
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

// processes does to the world's couriers what a plan says.
type processes struct{ w *World }

func (p processes) of(name string) *Courier {
	return p.w.Couriers[slices.IndexFunc(p.w.Couriers, func(c *Courier) bool { return party(c.N) == name })]
}

func (p processes) Suspend(c string) error { return p.of(c).Pause() }
func (p processes) Resume(c string) error  { return p.of(c).Continue() }

// Kill has the ledger know what becomes of what the courier had taken on: it is forgotten with a lost folder, and goes to
// the other courier with a swapped one, once both are dead.
func (p processes) Kill(name string) error {
	c, at := p.of(name), time.Since(p.w.start)
	c.Kill()
	for _, e := range p.w.Faulted.Processes {
		switch {
		case at < e.At || at >= e.At+e.For:
		case e.Courier == name && (e.How == link.ClearDirectory || e.How == link.RestoreOldSnapshot):
			p.w.Ledger.Forgot(c.N, time.Now())
		case e.Other == name && e.How == link.SwapDirectories:
			p.w.Ledger.Swapped(p.of(e.Courier).N, c.N, time.Now())
		}
	}
	return nil
}

// Start finds the courier dead for as long as the plan says.
func (p processes) Start(ctx context.Context, name string) error {
	if c := p.of(name); c.PID() == 0 {
		return p.w.back(ctx, c, 0)
	}
	return nil
}

func (p processes) StateDir(name string) string { return filepath.Join(p.of(name).Folder, "state") }
func (p processes) SnapshotDir(name string) string {
	return filepath.Join(p.of(name).Folder, "snapshot")
}

// excuses follow from the plan alone. A courier whose process is stopped, or whose words to discovery or back are under
// a fault, tells no end in time; under one of its links to a floor, the floor learns late that a call is over.
func excuses(plan link.Plan, start time.Time) Excuses {
	type span struct{ from, to time.Time }
	mute, unseen := map[string][]span{}, map[link.Pair][]span{}
	for _, e := range plan.Processes {
		if e.How == link.SuspendProcess {
			mute[e.Courier] = append(mute[e.Courier], span{start.Add(e.At), start.Add(e.At + e.For + afterRestart)})
		}
	}
	for _, e := range plan.Links {
		x := span{start.Add(e.At), start.Add(e.At + e.For + afterCut)}
		for _, p := range e.Pairs {
			switch string(link.Discovery) {
			case p.To:
				mute[p.From] = append(mute[p.From], x)
			case p.From:
				mute[p.To] = append(mute[p.To], x)
			default:
				unseen[p] = append(unseen[p], x)
			}
		}
	}
	during := func(all []span, from, to time.Time) bool {
		return slices.ContainsFunc(all, func(x span) bool { return from.Before(x.to) && to.After(x.from) })
	}
	return Excuses{Mute: func(courier int, due time.Time) time.Time {
		back := due
		for again := true; again; { // one may follow right after another
			again = false
			for _, x := range mute[party(courier)] {
				if back.After(x.from) && back.Before(x.to) {
					back, again = x.to, true
				}
			}
		}
		return back
	}, Unheard: func(courier int, from, to time.Time) bool {
		return during(mute[party(courier)], from, to)
	}, Unseen: func(courier int, floor string, from, to time.Time) bool {
		there, back := link.Pair{From: party(courier), To: atFloor(floor)}, link.Pair{From: atFloor(floor), To: party(courier)}
		return during(unseen[there], from, to) || during(unseen[back], from, to)
	}}
}
