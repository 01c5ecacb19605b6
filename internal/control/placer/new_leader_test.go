package placer

import (
	"strings"
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// newLeaderFleet returns the configuration and the table of six endpoints that a new leader finds. Each endpoint has a
// replica of "busy" and memory for one more model.
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

// inspectionsOf returns the answers to an inspection of each endpoint.
func inspectionsOf(table []protocol.Endpoint, busy bool) []Inspection {
	var inspections []Inspection
	for _, e := range table {
		inspections = append(inspections, Inspection{Endpoint: e.ID, Busy: busy, Revision: 3, Models: e.Models})
	}
	return inspections
}

// reportsOfDemand returns a router report of five requests for each of the models, of which the given number was
// unserved, and of one request for busy.
func reportsOfDemand(unserved int, names ...string) []protocol.Report {
	report := protocol.Report{Node: "r", Sequence: 1, Window: 500 * time.Millisecond}
	for _, name := range names {
		report.Models = append(report.Models, protocol.ModelDemand{
			Service: "lm", Model: name, Requests: 5, Unserved: unserved,
			Value: 40, Tokens: 5000,
		})
	}
	report.Models = append(report.Models, protocol.ModelDemand{Service: "lm", Model: "busy", Requests: 1, Value: 9, Tokens: 1000})
	return []protocol.Report{report}
}

// TestNewLeaderLoadsUnservedModelsAtOnce gives a new leader inspections that show no recent load at any endpoint. It need
// not wait until the loads of the earlier leader have left the window.
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
		t.Errorf("got %d loads, want 6: %+v", loads, out.Orders)
	}
}

// TestNewLeaderCountsLoadsOfEarlierLeader starts with endpoints that may all be carrying out a load of the earlier leader.
func TestNewLeaderCountsLoadsOfEarlierLeader(t *testing.T) {
	now := time.Unix(1e9, 0)
	limiter := newLoadRateLimiter(now, 5*time.Second, time.Second)
	limiter.setRate(1, 1.1, 5*time.Second)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		limiter.addInherited(now, id)
	}
	count := func(at time.Time) int {
		n := 0
		for ; limiter.allows(at); n++ {
			limiter.addOrdered(uint64(n))
			limiter.resolve(uint64(n), at, true)
		}
		return n
	}
	if got := count(now); got != reservedLoads {
		t.Errorf("got %d loads in addition to 5 of the earlier leader, want %d", got, reservedLoads)
	}
	limiter.observeIdle(now, "a", 6*time.Second)
	limiter.observeIdle(now, "b", 6*time.Second)
	if got := count(now); got != 1 { // the limit of 8 minus 2 reserved, 3 of the earlier leader and 2 own loads leaves 1
		t.Errorf("got %d loads after inspections of two endpoints, want 1", got)
	}
}

// TestNewLeaderEvictsNothingBeforeAllRoutersReport has a new leader that has received only one report, and a model that
// needs memory.
func TestNewLeaderEvictsNothingBeforeAllRoutersReport(t *testing.T) {
	now := time.Unix(1e9, 0)
	c, table := newLeaderFleet()
	c.Services[0].Engine.WeightMemoryMB = 100 // no free memory next to the loaded replica
	p := New(Config{InspectEndpoints: true, HandoverGap: time.Second})
	p.Step(now, Input{Configuration: c, Endpoints: table})
	out := p.Step(now.Add(100*time.Millisecond), Input{
		Endpoints: table, Inspections: inspectionsOf(table, false),
		Reports: reportsOfDemand(5, "m1"),
	})
	if len(out.Orders) != 0 {
		t.Errorf("got orders before all routers reported, want none: %+v", out.Orders)
	}
	out = p.Step(now.Add(1200*time.Millisecond), Input{Endpoints: table, Reports: reportsOfDemand(5, "m1")})
	if len(out.Orders) == 0 || !out.Orders[0].Unload {
		t.Errorf("got orders %+v after all routers reported, want an unload first", out.Orders)
	}
}

// TestLeaderEvictsNothingRightAfterGapInReports has a leader act again after some seconds in which other instances led.
func TestLeaderEvictsNothingRightAfterGapInReports(t *testing.T) {
	now := time.Unix(1e9, 0)
	c, table := newLeaderFleet()
	c.Services[0].Engine.WeightMemoryMB = 100
	p := New(Config{InspectEndpoints: true, HandoverGap: time.Second})
	p.Step(now, Input{Configuration: c, Endpoints: table})
	p.Step(now.Add(100*time.Millisecond), Input{
		Endpoints: table, Inspections: inspectionsOf(table, false), Reports: reportsOfDemand(0),
	})
	resumedAt := now.Add(5 * time.Second)
	out := p.Step(resumedAt, Input{Endpoints: table, Reports: reportsOfDemand(5, "m1")})
	if len(out.Orders) != 0 {
		t.Errorf("got orders before all routers reported again, want none: %+v", out.Orders)
	}
	out = p.Step(resumedAt.Add(600*time.Millisecond), Input{Endpoints: table, Reports: reportsOfDemand(5, "m1")})
	if len(out.Orders) == 0 {
		t.Error("got no orders after all routers reported, want an unload")
	}
}

// TestRecoveryDoesNotDelayReplicas has a single endpoint serve all requests while the replicated state recovers from a
// fault.
func TestRecoveryDoesNotDelayReplicas(t *testing.T) {
	now := time.Unix(1e9, 0)
	c, table := newLeaderFleet()
	for i := range table[1:] {
		table[1+i].Models = nil
	}
	p := New(Config{InspectEndpoints: true, HandoverGap: time.Second})
	p.Step(now, Input{Configuration: c, Endpoints: table, Recovering: true})
	inspections := inspectionsOf(table, false)
	loads := 0
	for i := range 60 {
		at := now.Add(time.Duration(i+1) * 50 * time.Millisecond)
		in := Input{Endpoints: table, Inspections: inspections, Recovering: true}
		if i%10 == 0 {
			in.Reports = []protocol.Report{{
				Node: "r", Sequence: uint64(i), Window: 500 * time.Millisecond,
				Models: []protocol.ModelDemand{{
					Service: "lm", Model: "busy", Requests: 50, InFlight: 60, Queued: 5, Value: 450,
					Tokens: 50000,
				}},
			}}
		}
		inspections = nil
		for _, order := range p.Step(at, in).Orders {
			if order.Model == "busy" && !order.Unload {
				loads++
			}
		}
	}
	if loads == 0 {
		t.Error("got no load of a second replica of a busy model, want one")
	}
}

// TestStalledUnloadLetsAnotherEndpointLoadTheModel has an unload that frees memory for an unserved model wait for running
// requests.
func TestStalledUnloadLetsAnotherEndpointLoadTheModel(t *testing.T) {
	now := time.Unix(1e9, 0)
	c, table := newLeaderFleet()
	c.Services[0].Engine.WeightMemoryMB = 100
	p := New(Config{InspectEndpoints: true, HandoverGap: time.Minute})
	p.Step(now, Input{Configuration: c, Endpoints: table})
	p.Step(now.Add(50*time.Millisecond), Input{
		Endpoints: table, Inspections: inspectionsOf(table, false), Reports: reportsOfDemand(0),
	})
	loadingEndpoints := map[string]bool{}
	var results []Result
	for at := 500 * time.Millisecond; at < 4*time.Second; at += 100 * time.Millisecond {
		in := Input{Endpoints: table, Results: results}
		if at%(500*time.Millisecond) == 0 {
			in.Reports = reportsOfDemand(2, "m1")
		}
		results = nil
		for _, order := range p.Step(now.Add(at), in).Orders {
			if strings.Contains(order.Reason, "first copy") {
				loadingEndpoints[order.Endpoint] = true
			}
			results = append(results, Result{ID: order.ID, Outcome: Accepted})
		}
	}
	if len(loadingEndpoints) < 2 {
		t.Errorf("got orders at %v, want them at 2 or more endpoints", loadingEndpoints)
	}
}

// TestReplicaWithFewerRunningRequestsIsEvicted has three endpoints with many running requests of one model, and three with
// few running requests of another.
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
	inspections := inspectionsOf(table, false)
	for at := 500 * time.Millisecond; at < 7*time.Second; at += 500 * time.Millisecond {
		report := protocol.Report{
			Node: "r", Sequence: uint64(at), Window: 500 * time.Millisecond,
			Models: []protocol.ModelDemand{
				{Service: "lm", Model: "busy", Requests: 1, InFlight: 30, Value: 9, Tokens: 1000},
				{Service: "lm", Model: "m2", Requests: 1, InFlight: 3, Value: 9, Tokens: 1000},
			},
		}
		if at > 6*time.Second {
			report.Models = append(report.Models, protocol.ModelDemand{Service: "lm", Model: "m1", Requests: 3, Unserved: 3, Value: 27})
		}
		out := p.Step(now.Add(at), Input{Endpoints: table, Inspections: inspections, Reports: []protocol.Report{report}})
		inspections = nil
		for _, order := range out.Orders {
			if order.Unload && order.Model != "m2" {
				t.Fatalf("got an unload of %s while it has many running requests, want m2: %+v", order.Model, order)
			}
		}
	}
	if p.counters.Unloads == 0 {
		t.Error("got no unload, want one of m2")
	}
}

// TestStalledUnloadPreventsEvictionOfOtherReplicasInUse has running requests at all replicas: while one unload waits for
// them, no second unload may start.
func TestStalledUnloadPreventsEvictionOfOtherReplicasInUse(t *testing.T) {
	now := time.Unix(1e9, 0)
	c, table := newLeaderFleet()
	c.Services[0].Engine.WeightMemoryMB = 100
	p := New(Config{InspectEndpoints: true, HandoverGap: time.Minute})
	p.Step(now, Input{Configuration: c, Endpoints: table})
	inspections := inspectionsOf(table, false)
	unloads := 0
	var results []Result
	for at := 500 * time.Millisecond; at < 5*time.Second; at += 100 * time.Millisecond {
		in := Input{Endpoints: table, Results: results, Inspections: inspections}
		if at%(500*time.Millisecond) == 0 {
			in.Reports = reportsOfDemand(2, "m1")
			in.Reports[0].Models[1].InFlight = 30
		}
		results, inspections = nil, nil
		for _, order := range p.Step(now.Add(at), in).Orders {
			results = append(results, Result{ID: order.ID, Outcome: Accepted})
			if strings.Contains(order.Reason, "first copy") {
				unloads++
			}
		}
	}
	if unloads != 1 {
		t.Errorf("got %d unloads for one model, want 1", unloads)
	}
}
