package simulation

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

// testSpec returns a run with two couriers and three channels and with many kinds of faults.
func testSpec(seed uint64) emulator.Spec {
	service := map[string][2]time.Duration{"any": {60 * ms, 120 * ms}, "floor": {60 * ms, 120 * ms}, "once": {60 * ms, 120 * ms}}
	class := func(name string, a emulator.EffectLimit) emulator.ClassSpec {
		return emulator.ClassSpec{Name: name, EffectLimit: a, Window: 5 * time.Second, TargetLatency: time.Second, Deadline: 6 * time.Second, Value: 1, LateValueShare: 0.3, Share: 1. / 3}
	}
	spec := emulator.Spec{
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
		spec.Channels = append(spec.Channels, emulator.ChannelSpec{
			Dest: int64(i + 1), Kind: []string{"deputy", "agent", "principal"}[i], Floors: []string{"a", "b"}, Service: service, Capacity: 3,
			Queue: 6, RetryAfterShare: 0.8, RetryAfter: 700 * ms, RecoveryTime: 10 * time.Second, StartShare: 0.2, Window: 5 * time.Second, Bulk: 1 + 3*i, Connections: 20,
		})
	}
	return spec
}

// The same seed must give the same result byte for byte, including all violations.
func TestSameSeedGivesSameRun(t *testing.T) {
	resultJSON := func(seed uint64) string {
		result, err := Play(testSpec(seed), DefaultDelays, nil)
		if err != nil {
			t.Fatal(err)
		}
		values := []any{result.Submitted, result.Steps, result.CountsPerSecond}
		result.Ledger.Messages(func(m emulator.Message) { values = append(values, m, m.History()) })
		for _, v := range result.Ledger.Check(result.End) {
			values = append(values, v)
		}
		encoded, err := json.Marshal(values)
		if err != nil {
			t.Fatal(err)
		}
		return string(encoded)
	}
	if diff := cmp.Diff(resultJSON(7), resultJSON(7)); diff != "" {
		t.Fatal(diff)
	}
	if resultJSON(7) == resultJSON(8) {
		t.Fatal("two seeds gave the same run")
	}
}

// The real module must follow the rules for several seeds, and messages must end in every way.
func TestModuleFollowsRules(t *testing.T) {
	for seed := range uint64(12) {
		result, err := Play(testSpec(seed), DefaultDelays, nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range result.Ledger.Check(result.End) {
			t.Errorf("seed %d: %v", seed, v)
		}
		counts := result.Ledger.Counts()
		if counts.Delivered < result.Submitted/2 || counts.Undeliverable == 0 || counts.Deferred == 0 || counts.CallsRefused == 0 {
			t.Errorf("seed %d: of %d messages: %+v", seed, result.Submitted, counts)
		}
	}
}

// modifiedModule is a module with a fault: before may change the events, after may change the actions.
type modifiedModule struct {
	inner  Decider
	before func(now time.Duration, in []raventrestle.Event) []raventrestle.Event
	after  func(now time.Duration, in []raventrestle.Event, out []raventrestle.Action) []raventrestle.Action
}

func (d *modifiedModule) Step(now time.Duration, in []raventrestle.Event) []raventrestle.Action {
	if d.before != nil {
		in = d.before(now, in)
	}
	out := d.inner.Step(now, in)
	if d.after != nil {
		out = d.after(now, in, out)
	}
	return out
}

// greedySender replaces the module. It sends every message immediately, and again as soon as a send has failed.
type greedySender struct {
	targets      map[raventrestle.DestID][]raventrestle.TargetID
	destinations map[raventrestle.MessageID]raventrestle.DestID
	rng          *rand.Rand
}

func (g *greedySender) Step(_ time.Duration, in []raventrestle.Event) (out []raventrestle.Action) {
	send := func(id raventrestle.MessageID) {
		targets := g.targets[g.destinations[id]]
		out = append(out, raventrestle.Send{ID: id, Target: targets[g.rng.IntN(len(targets))], Timeout: time.Second})
	}
	for _, e := range in {
		switch e := e.(type) {
		case raventrestle.ListUpdate:
			for _, entry := range e.Entries {
				if !slices.Contains(g.targets[entry.Dest], entry.Target) {
					g.targets[entry.Dest] = append(g.targets[entry.Dest], entry.Target)
				}
			}
		case raventrestle.Arrival:
			g.destinations[e.ID] = e.Dest
			send(e.ID)
		case raventrestle.Outcome:
			if !e.Final {
				send(e.ID)
			}
		}
	}
	return out
}

// The ledger must report each rule by its name when a module breaks it. The subtests are named after the rules.
func TestEachBrokenRuleIsFound(t *testing.T) {
	type events = []raventrestle.Event
	type actions = []raventrestle.Action
	drop := func(dropped func(raventrestle.Event) bool) func(time.Duration, events) events {
		return func(_ time.Duration, in events) events {
			return slices.DeleteFunc(slices.Clone(in), dropped)
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
	lastSent := map[int]raventrestle.MessageID{}
	faultyModules := map[string]func(inner Decider, courier int) Decider{
		"allowance": func(inner Decider, _ int) Decider { // sends a message again although it may have run
			return &modifiedModule{inner: inner, after: func(_ time.Duration, in events, out actions) actions {
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
			return &modifiedModule{inner: inner, before: func(_ time.Duration, in events) events {
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
		"drains kept": func(inner Decider, _ int) Decider { // ignores that endpoints drain
			return &modifiedModule{inner: inner, before: func(_ time.Duration, in events) events {
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
		"one final answer": func(inner Decider, _ int) Decider { // sends two different final answers
			return &modifiedModule{inner: inner, after: func(_ time.Duration, _ events, out actions) actions {
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
		"one final answer, after a restart": func(inner Decider, _ int) Decider { // ignores the messages of the journal
			return &modifiedModule{inner: inner, before: drop(func(e raventrestle.Event) bool {
				_, ok := e.(raventrestle.Restored)
				return ok
			})}
		},
		"on time": func(inner Decider, _ int) Decider { // delays final answers by two seconds
			var delayed []raventrestle.Action
			var due []time.Duration
			return &modifiedModule{inner: inner, after: func(now time.Duration, _ events, out actions) actions {
				var passed actions
				for _, a := range out {
					switch a.(type) {
					case raventrestle.Refuse, raventrestle.Fail:
						delayed, due = append(delayed, a), append(due, now+2*time.Second)
					default:
						passed = append(passed, a)
					}
				}
				for len(due) > 0 && due[0] <= now {
					passed, delayed, due = append(passed, delayed[0]), delayed[1:], due[1:]
				}
				if len(due) > 0 {
					passed = append(passed, raventrestle.WakeAt{At: due[0]})
				}
				return passed
			}}
		},
		"no second copy": func(inner Decider, _ int) Decider {
			return &modifiedModule{inner: inner, after: func(_ time.Duration, _ events, out actions) actions {
				if s, ok := firstSend(out); ok {
					out = append(out, s)
				}
				return out
			}}
		},
		"own channel": func(inner Decider, _ int) Decider {
			return &modifiedModule{inner: inner, after: func(_ time.Duration, _ events, out actions) actions {
				for i, a := range out {
					if s, ok := a.(raventrestle.Send); ok && s.Target == "s-1-0" {
						s.Target = "s-2-0"
						out[i] = s
					}
				}
				return out
			}}
		},
		"own messages": func(inner Decider, courier int) Decider { // also sends a message of the other courier
			return &modifiedModule{inner: inner, after: func(_ time.Duration, _ events, out actions) actions {
				s, ok := firstSend(out)
				if !ok {
					return out
				}
				lastSent[courier] = s.ID
				if s.ID = lastSent[1-courier]; s.ID != "" {
					out = append(out, s)
				}
				return out
			}}
		},
		"unknown message": func(inner Decider, _ int) Decider {
			return &modifiedModule{inner: inner, after: func(_ time.Duration, _ events, out actions) actions {
				if s, ok := firstSend(out); ok {
					s.ID = "t99999999"
					out = append(out, s)
				}
				return out
			}}
		},
		"no returning channel pushed over": func(_ Decider, courier int) Decider {
			return &greedySender{map[raventrestle.DestID][]raventrestle.TargetID{}, map[raventrestle.MessageID]raventrestle.DestID{}, rand.New(rand.NewPCG(uint64(courier), 1))}
		},
	}
	for name, make := range faultyModules {
		t.Run(name, func(t *testing.T) {
			spec := testSpec(3)
			if strings.HasPrefix(name, "no returning") { // greedySender makes thousands of calls per second
				spec.Traffic, spec.Restarts = 14*time.Second, nil
			}
			result, err := Play(spec, DefaultDelays, func(n int, set raventrestle.Settings, seed uint64) (Decider, error) {
				inner, err := NewModule(n, set, seed)
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
			for _, v := range result.Ledger.Check(result.End) {
				found[v.Rule]++
			}
			if found[rule] == 0 {
				t.Fatalf("the rule was not reported; reported: %v", fmt.Sprint(found))
			}
		})
	}
}
