package virtual

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"raventrestle"
	"raventrestle/internal/emulator"
	"raventrestle/internal/emulator/model"
)

const ms = time.Millisecond

// day is a small world of two couriers and three channels in which much goes wrong.
func day(seed uint64) emulator.Spec {
	service := map[string][2]time.Duration{"any": {60 * ms, 120 * ms}, "floor": {60 * ms, 120 * ms}, "once": {60 * ms, 120 * ms}}
	class := func(name string, a emulator.EffectLimit) emulator.ClassSpec {
		return emulator.ClassSpec{Name: name, EffectLimit: a, Window: 5 * time.Second, TargetLatency: time.Second, Deadline: 6 * time.Second, Value: 1, LateValueShare: 0.3, Share: 1. / 3}
	}
	s := emulator.Spec{
		Seed: seed, Couriers: 2, Classes: []emulator.ClassSpec{
			class("any", emulator.Unlimited), class("floor", emulator.OncePerFloor),
			class("once", emulator.OnceOverall),
		}, Tenants: []string{"h"}, Rate: 30, Traffic: 20 * time.Second, CallSlots: 12, MaxMessages: 200, MemoryMB: 64,
		FloorDelay: ms, FailureDetectionDelay: [2]time.Duration{time.Second, 2 * time.Second}, ListDelay: [2]time.Duration{0, 100 * ms},
		DiscoveryOutages: []emulator.Interval{{At: 9 * time.Second, For: 2 * time.Second}},
		Restarts:         []emulator.Restart{{Courier: 0, At: 6 * time.Second, Down: 300 * ms}, {Courier: 1, At: 12 * time.Second, Down: 300 * ms, Term: true}},
		ChannelFaults: []emulator.ChannelFault{
			{Dest: 1, Mode: model.ModeNoResponse, At: 3 * time.Second, For: 4 * time.Second},
			{Dest: 2, Mode: model.ModeUnavailable, At: 3 * time.Second, For: 4 * time.Second},
			{Dest: 3, Mode: model.ModeErrors, At: 4 * time.Second, For: 5 * time.Second},
			{Dest: 3, At: 14 * time.Second, For: 10 * time.Second, Drain: true, Mode: model.ModeHealthy},
		},
	}
	for i := range 3 {
		s.Channels = append(s.Channels, emulator.ChannelSpec{
			Dest: int64(i + 1), Kind: []string{"deputy", "agent", "principal"}[i], Floors: []string{"a", "b"}, Service: service, Capacity: 3,
			Queue: 6, RetryAfterShare: 0.8, RetryAfter: 700 * ms, RecoveryTime: 10 * time.Second, StartShare: 0.2, Window: 5 * time.Second, Bulk: 1 + 3*i, Connections: 20,
		})
	}
	return s
}

// The same day twice is the same to the byte, with everything that went wrong in it.
func TestSameSeedSameRun(t *testing.T) {
	text := func(seed uint64) string {
		r, err := Play(day(seed), Usual, nil)
		if err != nil {
			t.Fatal(err)
		}
		all := []any{r.Asked, r.Steps, r.Series}
		r.Ledger.Messages(func(m emulator.Message) { all = append(all, m, m.History()) })
		for _, v := range r.Ledger.Check(r.End) {
			all = append(all, v)
		}
		out, err := json.Marshal(all)
		if err != nil {
			t.Fatal(err)
		}
		return string(out)
	}
	if diff := cmp.Diff(text(7), text(7)); diff != "" {
		t.Fatal(diff)
	}
	if text(7) == text(8) {
		t.Fatal("another seed gives the same run")
	}
}

// The module as it stands keeps the rules on many seeds, and messages do end.
func TestModuleKeepsTheRules(t *testing.T) {
	for seed := range uint64(12) {
		r, err := Play(day(seed), Usual, nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range r.Ledger.Check(r.End) {
			t.Errorf("seed %d: %v", seed, v)
		}
		c := r.Ledger.Counts()
		if c.Delivered < r.Asked/2 || c.Undeliverable == 0 || c.Deferred == 0 || c.CallsRefused == 0 {
			t.Errorf("seed %d: of %d messages: %+v", seed, r.Asked, c)
		}
	}
}

// double is the module with a fault: events pass through before, actions through after.
type double struct {
	inner  Decider
	before func(now time.Duration, in []raventrestle.Event) []raventrestle.Event
	after  func(now time.Duration, in []raventrestle.Event, out []raventrestle.Action) []raventrestle.Action
}

func (d *double) Step(now time.Duration, in []raventrestle.Event) []raventrestle.Action {
	if d.before != nil {
		in = d.before(now, in)
	}
	out := d.inner.Step(now, in)
	if d.after != nil {
		out = d.after(now, in, out)
	}
	return out
}

// greedy is no module at all: it sends whatever it has at once, and again as soon as it failed.
type greedy struct {
	ends map[raventrestle.DestID][]raventrestle.TargetID
	of   map[raventrestle.MessageID]raventrestle.DestID
	rnd  *rand.Rand
}

func (g *greedy) Step(_ time.Duration, in []raventrestle.Event) (out []raventrestle.Action) {
	send := func(id raventrestle.MessageID) {
		ends := g.ends[g.of[id]]
		out = append(out, raventrestle.Send{ID: id, Target: ends[g.rnd.IntN(len(ends))], Timeout: time.Second})
	}
	for _, e := range in {
		switch e := e.(type) {
		case raventrestle.ListUpdate:
			for _, x := range e.Entries {
				if !slices.Contains(g.ends[x.Dest], x.Target) {
					g.ends[x.Dest] = append(g.ends[x.Dest], x.Target)
				}
			}
		case raventrestle.Arrival:
			g.of[e.ID] = e.Dest
			send(e.ID)
		case raventrestle.Outcome:
			if !e.Final {
				send(e.ID)
			}
		}
	}
	return out
}

// Every rule is found broken, by its name, when a courier or module breaks it.
func TestEachRuleIsFoundBroken(t *testing.T) {
	type events = []raventrestle.Event
	type actions = []raventrestle.Action
	drop := func(gone func(raventrestle.Event) bool) func(time.Duration, events) events {
		return func(_ time.Duration, in events) events {
			return slices.DeleteFunc(slices.Clone(in), gone)
		}
	}
	firstSend := func(out actions) (raventrestle.Send, bool) {
		for _, a := range out {
			if s, ok := a.(raventrestle.Send); ok {
				return s, true
			}
		}
		return raventrestle.Send{}, false
	}
	lately := map[int]raventrestle.MessageID{}
	doubles := map[string]func(inner Decider, courier int) Decider{
		"allowance": func(inner Decider, _ int) Decider { // a deposit-charge that may have run is sent again
			return &double{inner: inner, after: func(_ time.Duration, in events, out actions) actions {
				for i, a := range out {
					f, failed := a.(raventrestle.Fail)
					if !failed {
						continue
					}
					for _, e := range in {
						if o, ok := e.(raventrestle.Outcome); ok && o.ID == f.ID && o.Status != raventrestle.Rejected {
							out[i] = raventrestle.Send{ID: f.ID, Target: o.Target, Timeout: time.Second}
						}
					}
				}
				return out
			}}
		},
		"waits heeded": func(inner Decider, _ int) Decider {
			return &double{inner: inner, before: func(_ time.Duration, in events) events {
				in = slices.Clone(in)
				for i, e := range in {
					if o, ok := e.(raventrestle.Outcome); ok {
						o.RetryAfter = 0
						in[i] = o
					}
				}
				return in
			}}
		},
		"drains kept": func(inner Decider, _ int) Decider { // what the list says of an endpoint is not heeded
			return &double{inner: inner, before: func(_ time.Duration, in events) events {
				in = slices.Clone(in)
				for i, e := range in {
					if l, ok := e.(raventrestle.ListUpdate); ok {
						l.Entries = slices.Clone(l.Entries)
						for j := range l.Entries {
							l.Entries[j].State = raventrestle.Ready
						}
						in[i] = l
					}
				}
				return in
			}}
		},
		"one final answer": func(inner Decider, _ int) Decider { // two, of different words
			return &double{inner: inner, after: func(_ time.Duration, _ events, out actions) actions {
				for _, a := range slices.Clone(out) {
					switch a := a.(type) {
					case raventrestle.Refuse:
						out = append(out, raventrestle.Fail{ID: a.ID})
					case raventrestle.Fail:
						out = append(out, raventrestle.Refuse{ID: a.ID})
					}
				}
				return out
			}}
		},
		"one final answer, after a restart": func(inner Decider, _ int) Decider { // what the journal has is forgotten
			return &double{inner: inner, before: drop(func(e raventrestle.Event) bool {
				_, ok := e.(raventrestle.Restored)
				return ok
			})}
		},
		"on time": func(inner Decider, _ int) Decider { // ends are kept back for two seconds
			var late []raventrestle.Action
			var due []time.Duration
			return &double{inner: inner, after: func(now time.Duration, _ events, out actions) actions {
				var rest actions
				for _, a := range out {
					switch a.(type) {
					case raventrestle.Refuse, raventrestle.Fail:
						late, due = append(late, a), append(due, now+2*time.Second)
					default:
						rest = append(rest, a)
					}
				}
				for len(due) > 0 && due[0] <= now {
					rest, late, due = append(rest, late[0]), late[1:], due[1:]
				}
				if len(due) > 0 {
					rest = append(rest, raventrestle.WakeAt{At: due[0]})
				}
				return rest
			}}
		},
		"no second copy": func(inner Decider, _ int) Decider {
			return &double{inner: inner, after: func(_ time.Duration, _ events, out actions) actions {
				if s, ok := firstSend(out); ok {
					out = append(out, s)
				}
				return out
			}}
		},
		"own channel": func(inner Decider, _ int) Decider {
			return &double{inner: inner, after: func(_ time.Duration, _ events, out actions) actions {
				for i, a := range out {
					if s, ok := a.(raventrestle.Send); ok && s.Target == "s-1-0" {
						s.Target = "s-2-0"
						out[i] = s
					}
				}
				return out
			}}
		},
		"own messages": func(inner Decider, courier int) Decider { // a message of the other's is sent too
			return &double{inner: inner, after: func(_ time.Duration, _ events, out actions) actions {
				s, ok := firstSend(out)
				if !ok {
					return out
				}
				lately[courier] = s.ID
				if s.ID = lately[1-courier]; s.ID != "" {
					out = append(out, s)
				}
				return out
			}}
		},
		"unknown message": func(inner Decider, _ int) Decider {
			return &double{inner: inner, after: func(_ time.Duration, _ events, out actions) actions {
				if s, ok := firstSend(out); ok {
					s.ID = "t99999999"
					out = append(out, s)
				}
				return out
			}}
		},
		"no returning channel pushed over": func(_ Decider, courier int) Decider {
			return &greedy{map[raventrestle.DestID][]raventrestle.TargetID{}, map[raventrestle.MessageID]raventrestle.DestID{}, rand.New(rand.NewPCG(uint64(courier), 1))}
		},
	}
	for name, make := range doubles {
		t.Run(name, func(t *testing.T) {
			s := day(3)
			if strings.HasPrefix(name, "no returning") { // it makes thousands of calls a second
				s.Traffic, s.Restarts = 14*time.Second, nil
			}
			r, err := Play(s, Usual, func(n int, set raventrestle.Settings, seed uint64) (Decider, error) {
				inner, err := Module(n, set, seed)
				if err != nil {
					return nil, err
				}
				return make(inner, n), nil
			})
			if err != nil {
				t.Fatal(err)
			}
			rule, _, _ := strings.Cut(name, ",")
			found := map[string]int{}
			for _, v := range r.Ledger.Check(r.End) {
				found[v.Rule]++
			}
			if found[rule] == 0 {
				t.Fatalf("not found; found: %v", fmt.Sprint(found))
			}
		})
	}
}
