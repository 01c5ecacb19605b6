package placer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// More load never lets fewer streams pause, and a longer target never more; the table agrees with the formula.
func TestPausedStreamsGrowWithTheLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := prefillLoad{
			share:     rapid.Float64Range(0, 1).Draw(t, "share"),
			requestMS: rapid.Float64Range(0, 500).Draw(t, "request"),
			streamMS:  rapid.Float64Range(0, 20000).Draw(t, "stream"),
			gapMS:     rapid.Float64Range(0, 2000).Draw(t, "gap"),
		}
		value := newLoadValue(load)
		last := 0.0
		for i := range 100 {
			utilization := float64(i) / 100
			paused := load.pausedStreams(utilization)
			if paused < last || paused > 1 {
				t.Fatalf("%v of the streams pause at utilization %v, and %v below it", paused, utilization, last)
			}
			longer := load
			longer.gapMS *= 2
			if load.gapMS > 0 && longer.pausedStreams(utilization) > paused {
				t.Fatalf("more streams pause with a longer target at utilization %v", utilization)
			}
			if value.at(utilization) > (&loadValue{}).at(utilization)+1e-9 {
				t.Fatalf("pauses raise the value at utilization %v", utilization)
			}
			last = paused
		}
	})
}

// busyFleet is a fleet of endpoints with a busy model on the first two, and idle ones on all; each endpoint has room for two models beside
// one that an order of an earlier leader may be loading.
// gapTargetMS is the target of its route.
func busyFleet(now time.Time, gapTargetMS int64) (*Placer, Input) {
	models := []configuration.Model{{Name: "busy", WeightsMB: 40, LoadTimeSeconds: 1}}
	var endpoints []protocol.Endpoint
	for i := range 4 {
		idle := fmt.Sprint("idle", i)
		models = append(models, configuration.Model{Name: idle, WeightsMB: 40, LoadTimeSeconds: 1})
		e := protocol.Endpoint{
			ID: fmt.Sprint("i-", i), Service: "lm", Address: fmt.Sprint("10.0.0.", i+1, ":80"), Zone: "z", Slots: 48, Sequence: 1,
			Models: []protocol.LoadedModel{{Name: idle, Generation: 1}},
		}
		if i < 2 {
			e.Models = append(e.Models, protocol.LoadedModel{Name: "busy", Generation: 1})
		}
		endpoints = append(endpoints, e)
	}
	return New(Config{}), Input{
		Endpoints: endpoints,
		Configuration: &configuration.Configuration{
			Generation: 1,
			Routes:     []configuration.Route{{Name: "r", Backend: "lm", Type: configuration.Streaming, EventGapTargetMS: gapTargetMS}},
			Services: []configuration.Service{{Name: "lm", Engine: &configuration.Engine{
				Slots: 48, WeightMemoryMB: 160, LoadsPerSecond: 10, Models: models,
			}}},
		},
	}
}

// ordersFor plays 40 seconds of even demand for the busy model and returns the orders to load it.
func ordersFor(gapTargetMS int64) (loads int) {
	now := time.Unix(1e9, 0)
	p, in := busyFleet(now, gapTargetMS)
	for step := range 400 {
		now = now.Add(100 * time.Millisecond)
		if step > 0 {
			in.Configuration = nil
		}
		in.Reports = []protocol.Report{{
			Node: "r", Sequence: uint64(step + 1), Window: 100 * time.Millisecond,
			Models: []protocol.ModelDemand{{
				Service: "lm", Model: "busy", Requests: 1, Tokens: 2000, Value: 9, InFlight: 18, PrefillMS: 60,
			}},
		}}
		out := p.Step(now, in)
		in.Results = nil
		for _, order := range out.Orders {
			if order.Model == "busy" && !order.Unload {
				loads++
			}
			in.Results = append(in.Results, Result{ID: order.ID, Outcome: Invalid})
		}
	}
	return loads
}

// A replica whose only use is that fewer streams pause is loaded where the route has a target for gaps, and not where it has none or a
// long one.
func TestReplicaIsAddedWhereStreamsPause(t *testing.T) {
	if n := ordersFor(0); n > 0 {
		t.Errorf("got %d orders without a target for gaps, want none", n)
	}
	if n := ordersFor(5000); n > 0 {
		t.Errorf("got %d orders with a target of 5 s, want none", n)
	}
	if n := ordersFor(200); n == 0 {
		t.Error("got no order with a target of 200 ms, want one")
	}
}

// Of all routes to a service the shortest target counts, by its backend or as a part of a split.
func TestShortestEventGapTarget(t *testing.T) {
	split := []configuration.Split{{Backend: "lm", Weight: 1}, {Backend: "other", Weight: 1}}
	routes := []configuration.Route{
		{Backend: "lm", EventGapTargetMS: 400},
		{Backend: "other", EventGapTargetMS: 100},
		{TrafficSplit: split, EventGapTargetMS: 300},
		{Backend: "lm"},
	}
	for service, want := range map[string]time.Duration{"lm": 300 * time.Millisecond, "other": 100 * time.Millisecond, "none": 0} {
		if got := shortestEventGapTarget(routes, service); got != want {
			t.Errorf("%s: got %v, want %v", service, got, want)
		}
	}
}
