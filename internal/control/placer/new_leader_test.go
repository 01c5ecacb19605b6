package placer

import (
	"strings"
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// newLeaderFleet is a fleet of six endpoints, each with a copy of "busy" and room for one model more, as a new holder finds
// it.
func newLeaderFleet() (*configuration.Configuration, []protocol.Endpoint) {
	models := []configuration.Model{{Name: "busy", WeightsMB: 60, LoadTimeSeconds: 6}}
	for _, name := range []string{"m1", "m2", "m3", "m4", "m5", "m6"} {
		models = append(models, configuration.Model{Name: name, WeightsMB: 60, LoadTimeSeconds: 6})
	}
	engine := &configuration.Engine{Slots: 64, WeightMemoryMB: 150, AdapterSlots: 2, LoadsPerSecond: 2.8, Models: models}
	services := []configuration.Service{{Name: "lm", Engine: engine}}
	var table []protocol.Endpoint
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"} {
		table = append(table, protocol.Endpoint{
			ID: id, Service: "lm", Address: id + ":80", Zone: "z", Slots: 64,
			Sequence: 9, Models: []protocol.LoadedModel{{Name: "busy", Generation: 1}},
		})
	}
	return &configuration.Configuration{Generation: 1, Services: services}, table
}

func inspectionsOf(table []protocol.Endpoint, busy bool) []Inspection {
	var looks []Inspection
	for _, e := range table {
		looks = append(looks, Inspection{Endpoint: e.ID, Busy: busy, Revision: 3, Models: e.Models})
	}
	return looks
}

func reportsOfDemand(unserved int, names ...string) []protocol.Report {
	told := protocol.Report{Node: "r", Sequence: 1, Window: 500 * time.Millisecond}
	for _, name := range names {
		told.Models = append(told.Models, protocol.ModelDemand{
			Service: "lm", Model: name, Requests: 5, Unserved: unserved,
			Value: 40, Tokens: 5000,
		})
	}
	told.Models = append(told.Models, protocol.ModelDemand{Service: "lm", Model: "busy", Requests: 1, Value: 9, Tokens: 1000})
	return []protocol.Report{told}
}

// TestNewLeaderLoadsUnservedModelsAtOnce has a new holder whose looks show that no endpoint has begun a load lately: it
// need not wait a window for the earlier holder's loads.
func TestNewLeaderLoadsUnservedModelsAtOnce(t *testing.T) {
	now := time.Unix(1e9, 0)
	c, table := newLeaderFleet()
	p := New(Config{InspectEndpoints: true, HandoverGap: time.Second})
	p.Step(now, Input{Configuration: c, Endpoints: table})
	out := p.Step(now.Add(100*time.Millisecond), Input{
		Endpoints: table, Inspections: inspectionsOf(table, false),
		Reports: reportsOfDemand(5, "m1", "m2", "m3", "m4", "m5", "m6"),
	})
	loads := 0
	for _, order := range out.Orders {
		if !order.Unload {
			loads++
		}
	}
	if loads != 6 {
		t.Errorf("%d loads, want all 6: %+v", loads, out.Orders)
	}
}

// TestNewLeaderCountsLoadsOfEarlierLeader has every endpoint busy: each may carry out a load of the earlier holder.
func TestNewLeaderCountsLoadsOfEarlierLeader(t *testing.T) {
	now := time.Unix(1e9, 0)
	ledger := newLoadRateLimiter(now, 5*time.Second, time.Second)
	ledger.setRate(1, 1.1, 5*time.Second)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		ledger.addInherited(now, id)
	}
	count := func(at time.Time) int {
		n := 0
		for ; ledger.allows(at); n++ {
			ledger.addOrdered(uint64(n))
			ledger.resolve(uint64(n), at, true)
		}
		return n
	}
	if got := count(now); got != reservedLoads {
		t.Errorf("%d loads beside 5 of others, want %d", got, reservedLoads)
	}
	ledger.observeIdle(now, "a", 6*time.Second)
	ledger.observeIdle(now, "b", 6*time.Second)
	if got := count(now); got != 1 { // 8 at most, of these 2 spare: 3 of others and 2 own leave 1
		t.Errorf("%d loads after looks at two, want 1", got)
	}
}

// TestNewLeaderEvictsNothingBeforeReports has a new holder that has heard one report only, with a model in want of room.
func TestNewLeaderEvictsNothingBeforeReports(t *testing.T) {
	now := time.Unix(1e9, 0)
	c, table := newLeaderFleet()
	c.Services[0].Engine.WeightMemoryMB = 100 // no room beside the copy that is there
	p := New(Config{InspectEndpoints: true, HandoverGap: time.Second})
	p.Step(now, Input{Configuration: c, Endpoints: table})
	out := p.Step(now.Add(100*time.Millisecond), Input{
		Endpoints: table, Inspections: inspectionsOf(table, false),
		Reports: reportsOfDemand(5, "m1"),
	})
	if len(out.Orders) != 0 {
		t.Errorf("orders before the routers were heard: %+v", out.Orders)
	}
	out = p.Step(now.Add(1200*time.Millisecond), Input{Endpoints: table, Reports: reportsOfDemand(5, "m1")})
	if len(out.Orders) == 0 || !out.Orders[0].Unload {
		t.Errorf("no room is made after the routers were heard: %+v", out.Orders)
	}
}

// TestLeaderEvictsNothingAfterSilenceOfReports has a holder act again after seconds in which others led.
func TestLeaderEvictsNothingAfterSilenceOfReports(t *testing.T) {
	now := time.Unix(1e9, 0)
	c, table := newLeaderFleet()
	c.Services[0].Engine.WeightMemoryMB = 100
	p := New(Config{InspectEndpoints: true, HandoverGap: time.Second})
	p.Step(now, Input{Configuration: c, Endpoints: table})
	p.Step(now.Add(100*time.Millisecond), Input{Endpoints: table, Inspections: inspectionsOf(table, false), Reports: reportsOfDemand(0)})
	again := now.Add(5 * time.Second)
	out := p.Step(again, Input{Endpoints: table, Reports: reportsOfDemand(5, "m1")})
	if len(out.Orders) != 0 {
		t.Errorf("orders before the routers were heard again: %+v", out.Orders)
	}
	out = p.Step(again.Add(600*time.Millisecond), Input{Endpoints: table, Reports: reportsOfDemand(5, "m1")})
	if len(out.Orders) == 0 {
		t.Error("no room is made after the routers were heard")
	}
}

// TestRecoveryDelaysNoReplica has one endpoint alone serve what all ask for while the core is in trouble.
func TestRecoveryDelaysNoReplica(t *testing.T) {
	now := time.Unix(1e9, 0)
	c, table := newLeaderFleet()
	for i := range table[1:] {
		table[1+i].Models = nil
	}
	p := New(Config{InspectEndpoints: true, HandoverGap: time.Second})
	p.Step(now, Input{Configuration: c, Endpoints: table, Recovering: true})
	looks := inspectionsOf(table, false)
	loads := 0
	for i := range 60 {
		at := now.Add(time.Duration(i+1) * 50 * time.Millisecond)
		in := Input{Endpoints: table, Inspections: looks, Recovering: true}
		if i%10 == 0 {
			in.Reports = []protocol.Report{{
				Node: "r", Sequence: uint64(i), Window: 500 * time.Millisecond,
				Models: []protocol.ModelDemand{{
					Service: "lm", Model: "busy", Requests: 50, InFlight: 60, Queued: 5, Value: 450,
					Tokens: 50000,
				}},
			}}
		}
		looks = nil
		for _, order := range p.Step(at, in).Orders {
			if order.Model == "busy" && !order.Unload {
				loads++
			}
		}
	}
	if loads == 0 {
		t.Error("no second copy of a busy model")
	}
}

// TestStalledUnloadLetsAnotherEndpointLoadTheModel has the unload that makes room for a wanted model wait for runs.
func TestStalledUnloadLetsAnotherEndpointLoadTheModel(t *testing.T) {
	now := time.Unix(1e9, 0)
	c, table := newLeaderFleet()
	c.Services[0].Engine.WeightMemoryMB = 100
	p := New(Config{InspectEndpoints: true, HandoverGap: time.Minute})
	p.Step(now, Input{Configuration: c, Endpoints: table})
	p.Step(now.Add(50*time.Millisecond), Input{Endpoints: table, Inspections: inspectionsOf(table, false), Reports: reportsOfDemand(0)})
	places := map[string]bool{}
	var results []Result
	for at := 500 * time.Millisecond; at < 4*time.Second; at += 100 * time.Millisecond {
		in := Input{Endpoints: table, Results: results}
		if at%(500*time.Millisecond) == 0 {
			in.Reports = reportsOfDemand(2, "m1")
		}
		results = nil
		for _, order := range p.Step(now.Add(at), in).Orders {
			if strings.Contains(order.Reason, "first copy") {
				places[order.Endpoint] = true
			}
			results = append(results, Result{ID: order.ID, Outcome: Accepted})
		}
	}
	if len(places) < 2 {
		t.Errorf("orders at %v only, want another place", places)
	}
}

// TestReplicaWithFewerRunningRequestsIsEvicted has three endpoints run many requests of one model and three run few of another.
func TestReplicaWithFewerRunningRequestsIsEvicted(t *testing.T) {
	now := time.Unix(1e9, 0)
	c, table := newLeaderFleet()
	c.Services[0].Engine.WeightMemoryMB = 100
	for i := range table {
		table[i].Models = []protocol.LoadedModel{{Name: "busy", Generation: 1}}
		if i >= 3 {
			table[i].Models = []protocol.LoadedModel{{Name: "m2", Generation: 1}}
		}
	}
	p := New(Config{InspectEndpoints: true, HandoverGap: time.Minute})
	p.Step(now, Input{Configuration: c, Endpoints: table})
	looks := inspectionsOf(table, false)
	for at := 500 * time.Millisecond; at < 7*time.Second; at += 500 * time.Millisecond {
		told := protocol.Report{
			Node: "r", Sequence: uint64(at), Window: 500 * time.Millisecond,
			Models: []protocol.ModelDemand{
				{Service: "lm", Model: "busy", Requests: 1, InFlight: 30, Value: 9, Tokens: 1000},
				{Service: "lm", Model: "m2", Requests: 1, InFlight: 3, Value: 9, Tokens: 1000},
			},
		}
		if at > 6*time.Second {
			told.Models = append(told.Models, protocol.ModelDemand{Service: "lm", Model: "m1", Requests: 3, Unserved: 3, Value: 27})
		}
		out := p.Step(now.Add(at), Input{Endpoints: table, Inspections: looks, Reports: []protocol.Report{told}})
		looks = nil
		for _, order := range out.Orders {
			if order.Unload && order.Model != "m2" {
				t.Fatalf("%s makes way while it runs requests: %+v", order.Model, order)
			}
		}
	}
	if p.counters.Unloads == 0 {
		t.Error("nothing made way")
	}
}

// TestStalledUnloadEvictsNoOtherReplicaInUse has all copies run requests: one unload waits, no other joins it.
func TestStalledUnloadEvictsNoOtherReplicaInUse(t *testing.T) {
	now := time.Unix(1e9, 0)
	c, table := newLeaderFleet()
	c.Services[0].Engine.WeightMemoryMB = 100
	p := New(Config{InspectEndpoints: true, HandoverGap: time.Minute})
	p.Step(now, Input{Configuration: c, Endpoints: table})
	looks := inspectionsOf(table, false)
	unloads := 0
	var results []Result
	for at := 500 * time.Millisecond; at < 5*time.Second; at += 100 * time.Millisecond {
		in := Input{Endpoints: table, Results: results, Inspections: looks}
		if at%(500*time.Millisecond) == 0 {
			in.Reports = reportsOfDemand(2, "m1")
			in.Reports[0].Models[1].InFlight = 30
		}
		results, looks = nil, nil
		for _, order := range p.Step(now.Add(at), in).Orders {
			results = append(results, Result{ID: order.ID, Outcome: Accepted})
			if strings.Contains(order.Reason, "first copy") {
				unloads++
			}
		}
	}
	if unloads != 1 {
		t.Errorf("%d copies leave for one model, want 1", unloads)
	}
}
