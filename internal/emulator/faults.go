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

// courierAddr is the loopback address that only this courier uses, and the address with a port of it on which it
// listens for the other couriers of its fleet.
type courierAddr struct{ ip, peerAddr string }

// partitionTolerance is how long a courier may take after the end of a link fault to send the notices that it could
// not send: its connection to the platform may have to time out, and it then retries with a growing backoff.
const partitionTolerance = 4 * time.Second

// Nodes returns the nodes that faults may select: each courier with its floor as site, one node for all endpoints of a
// floor, and discovery, which also receives the notices to the platform.
func (s *Spec) Nodes() (nodes []link.Node) {
	for n := range s.Couriers {
		nodes = append(nodes, link.Node{Name: courierName(n), Site: s.HomeFloor(n), Role: link.Courier})
	}
	var floors []string
	for _, c := range s.Channels {
		for _, f := range c.Floors {
			if !slices.Contains(floors, f) {
				floors = append(floors, f)
				nodes = append(nodes, link.Node{Name: floorEndpointName(f), Site: f, Role: link.Endpoint})
			}
		}
	}
	return append(nodes, link.Node{Name: string(link.Discovery), Role: link.Discovery})
}

func courierName(courier int) string        { return fmt.Sprint("n", courier) }
func floorEndpointName(floor string) string { return "endpoint " + floor }

// CheckFaults returns an error if the faults cannot be drawn, would outlast the traffic, or would make the results
// impossible to check.
func (s *Spec) CheckFaults() error {
	plan, err := link.Draw(s.Faults, s.Nodes(), s.Seed)
	if err != nil {
		return err
	}
	if plan.End() > s.Traffic {
		return fmt.Errorf("emulator: field faults: the last one ends %v after the start, later than the traffic (%v); reduce at_s or for_s",
			plan.End(), s.Traffic)
	}
	if len(plan.Links) == 0 {
		return nil
	}
	for _, t := range s.ChannelFaults { // the rule on drains counts from when the list was sent, but a cut may delay the list
		if t.Drain || t.DeletedFloor != "" {
			return errors.New("emulator: field faults: link faults cannot be combined with drains; remove one of them")
		}
	}
	for _, c := range s.Channels {
		if c.RetryAfterShare > 0 {
			return errors.New("emulator: field faults: link faults cannot be combined with channels that tell couriers to wait; set tells_wait to 0")
		}
	}
	return nil
}

// setUpLinks draws the fault plan, chooses each courier's addresses, and opens relays for everything that couriers
// connect to.
func (em *Emulation) setUpLinks() ([]courierAddr, error) {
	addrs := make([]courierAddr, em.Spec.Couriers)
	for n := range addrs {
		ip, err := courierIP(n, em.Discovery.Addr(n))
		if err != nil {
			return nil, err
		}
		addrs[n].ip = ip
	}
	if !em.Fleet && len(em.Spec.Faults.Links)+len(em.Spec.Faults.Processes) == 0 {
		return addrs, nil
	}
	if err := em.CheckFaults(); err != nil {
		return nil, err
	}
	nodes := em.Nodes()
	var err error
	if em.FaultPlan, err = link.Draw(em.Spec.Faults, nodes, em.Seed); err != nil {
		return nil, err
	}
	for i := range nodes {
		switch node := &nodes[i]; node.Role {
		case link.Courier:
			if addrs[i].peerAddr, err = freePort(addrs[i].ip); err != nil {
				return nil, err
			}
			node.Addr = addrs[i].peerAddr
		default: // these have a separate address for each courier, which is set below
			node.Addr = em.Discovery.Addr(0)
		}
	}
	if em.Mesh, err = link.NewMesh(nodes, em.Seed, em.Log); err != nil {
		return nil, err
	}
	relayAddrs := make([]string, len(addrs))
	for n := range addrs {
		if relayAddrs[n], err = em.Mesh.AddrForTarget(courierName(n), string(link.Discovery), em.Discovery.Addr(n)); err != nil {
			return nil, err
		}
	}
	for _, c := range em.Channels {
		for _, e := range c.Endpoints {
			endpointRelays := make([]string, len(addrs))
			for n := range addrs {
				if endpointRelays[n], err = em.Mesh.AddrForTarget(courierName(n), floorEndpointName(e.Floor), e.Addr(n)); err != nil {
					return nil, err
				}
			}
			e.relayAddrs = endpointRelays
		}
	}
	em.Discovery.setRelayAddrs(relayAddrs)
	return addrs, nil
}

// freePort returns the IP with a port that is free for TCP and UDP. No other process takes the port before the courier
// does, because only this courier uses the IP.
func freePort(ip string) (string, error) {
	for attempt := 0; ; attempt++ {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		packets, err := net.ListenPacket("udp", addr)
		if err == nil {
			return addr, errors.Join(packets.Close(), l.Close())
		}
		if err = errors.Join(err, l.Close()); attempt == 20 {
			return "", err
		}
	}
}

// fleetSettings returns the courier's fleet settings in CUE, with two other couriers as seeds. The intervals are short
// because a run lasts only seconds.
func (em *Emulation) fleetSettings(n int, addrs []courierAddr) (string, error) {
	ownAddr, err := em.Mesh.FrontendAddr(courierName(n))
	if err != nil {
		return "", err
	}
	seeds := []string{}
	for i := 1; i <= 2 && i < len(addrs); i++ {
		seed, err := em.Mesh.FrontendAddr(courierName((n + i) % len(addrs)))
		if err != nil {
			return "", err
		}
		seeds = append(seeds, seed)
	}
	text, err := json.Marshal(map[string]any{
		"bind": addrs[n].peerAddr, "advertise": ownAddr, "seeds": seeds, "site": em.HomeFloor(n),
		"gossip_interval_s": 0.1, "probe_interval_s": 0.5, "seeds_interval_s": 1,
	})
	return "\nfleet: " + string(text) + "\n", err
}

// saveSnapshots saves the state directories that the plan restores later.
func (em *Emulation) saveSnapshots() error {
	for _, e := range em.FaultPlan.Processes {
		p := courierProcesses{em}
		if e.How == link.RestoreOldSnapshot {
			if err := link.SaveSnapshot(p.StateDir(e.Courier), p.SnapshotDir(e.Courier)); err != nil {
				return err
			}
		}
	}
	return nil
}

// runFaultPlan executes the plan until the context ends.
func (em *Emulation) runFaultPlan(ctx context.Context) error {
	if em.Mesh == nil {
		return nil
	}
	err := em.Mesh.RunPlan(ctx, em.FaultPlan, func(ctx context.Context, at time.Duration) error {
		if !sleepUntil(ctx, em.start.Add(at)) {
			return ctx.Err()
		}
		return nil
	}, courierProcesses{em})
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

// courierProcesses implements link.Processes for the couriers of a run.
type courierProcesses struct{ emulation *Emulation }

func (p courierProcesses) courier(name string) *Courier {
	return p.emulation.Couriers[slices.IndexFunc(p.emulation.Couriers, func(c *Courier) bool { return courierName(c.N) == name })]
}

func (p courierProcesses) Suspend(c string) error { return p.courier(c).Suspend() }
func (p courierProcesses) Resume(c string) error  { return p.courier(c).Resume() }

// Kill kills the courier's process and records what happens to the messages that it had accepted: they are lost with a
// cleared or old state directory, and pass to the other courier with a swapped one, once both processes are dead.
func (p courierProcesses) Kill(name string) error {
	c, at := p.courier(name), time.Since(p.emulation.start)
	c.Kill()
	for _, e := range p.emulation.FaultPlan.Processes {
		switch {
		case at < e.At || at >= e.At+e.For:
		case e.Courier == name && (e.How == link.ClearDirectory || e.How == link.RestoreOldSnapshot):
			p.emulation.Recorder.StateLost(c.N, time.Now())
		case e.Other == name && e.How == link.SwapDirectories:
			p.emulation.Recorder.StateSwapped(p.courier(e.Courier).N, c.N, time.Now())
		}
	}
	return nil
}

// Start starts the courier at once if it is not running; the plan has already waited for the downtime.
func (p courierProcesses) Start(ctx context.Context, name string) error {
	if c := p.courier(name); c.PID() == 0 {
		return p.emulation.restartCourier(ctx, c, 0)
	}
	return nil
}

func (p courierProcesses) StateDir(name string) string {
	return filepath.Join(p.courier(name).Dir, "state")
}

func (p courierProcesses) SnapshotDir(name string) string {
	return filepath.Join(p.courier(name).Dir, "snapshot")
}

// allowancesFor derives the allowances from the plan alone. A courier whose process is suspended, or whose link with
// discovery has a fault in either direction, may send its notices late. If its link with a floor has a fault, the
// floor may learn late that a call has ended.
func allowancesFor(plan link.Plan, start time.Time) Allowances {
	type span struct{ from, to time.Time }
	noticesDelayed, callEndsDelayed := map[string][]span{}, map[link.Pair][]span{}
	for _, e := range plan.Processes {
		if e.How == link.SuspendProcess {
			noticesDelayed[e.Courier] = append(noticesDelayed[e.Courier], span{start.Add(e.At), start.Add(e.At + e.For + restartTolerance)})
		}
	}
	for _, e := range plan.Links {
		extended := span{start.Add(e.At), start.Add(e.At + e.For + partitionTolerance)}
		for _, p := range e.Pairs {
			switch string(link.Discovery) {
			case p.To:
				noticesDelayed[p.From] = append(noticesDelayed[p.From], extended)
			case p.From:
				noticesDelayed[p.To] = append(noticesDelayed[p.To], extended)
			default:
				callEndsDelayed[p] = append(callEndsDelayed[p], extended)
			}
		}
	}
	overlapsAny := func(all []span, from, to time.Time) bool {
		return slices.ContainsFunc(all, func(x span) bool { return from.Before(x.to) && to.After(x.from) })
	}
	return Allowances{NoticeDelayedUntil: func(courier int, due time.Time) time.Time {
		delayedUntil := due
		for moved := true; moved; { // repeat, since one fault may directly follow another
			moved = false
			for _, x := range noticesDelayed[courierName(courier)] {
				if delayedUntil.After(x.from) && delayedUntil.Before(x.to) {
					delayedUntil, moved = x.to, true
				}
			}
		}
		return delayedUntil
	}, AckMayBeLost: func(courier int, from, to time.Time) bool {
		return overlapsAny(noticesDelayed[courierName(courier)], from, to)
	}, CallEndMayBeLate: func(courier int, floor string, from, to time.Time) bool {
		forward, reverse := link.Pair{From: courierName(courier), To: floorEndpointName(floor)}, link.Pair{From: floorEndpointName(floor), To: courierName(courier)}
		return overlapsAny(callEndsDelayed[forward], from, to) || overlapsAny(callEndsDelayed[reverse], from, to)
	}}
}
