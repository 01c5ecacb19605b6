package placer

import (
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// oneEndpointFleet returns a placer that knows one endpoint, which has one model with adapters, and the endpoint's
// registration.
func oneEndpointFleet(t *testing.T, now time.Time) (*Placer, protocol.Endpoint) {
	t.Helper()
	p := New(Config{InspectEndpoints: true})
	engine := &configuration.Engine{
		Slots: 8, WeightMemoryMB: 100, AdapterSlots: 2, LoadsPerSecond: 2,
		Models: []configuration.Model{{Name: "big", WeightsMB: 60, LoadTimeSeconds: 5, AdapterCount: 4, AdapterSizeMB: 1}},
	}
	e := protocol.Endpoint{
		ID: "i-1", Service: "lm", Address: "10.0.0.1:80", Zone: "z", Slots: 8, Sequence: 1,
		Models: []protocol.LoadedModel{{Name: "big", Generation: 1}},
	}
	services := []configuration.Service{{Name: "lm", Engine: engine}}
	in := Input{
		Configuration: &configuration.Configuration{Generation: 1, Services: services},
		Endpoints:     []protocol.Endpoint{e},
	}
	if out := p.Step(now, in); len(out.Inspect) != 1 {
		t.Fatalf("got inspections of %v, want one", out.Inspect)
	}
	return p, e
}

// unservedRequests returns a router report of two requests for the model big, or for one of its adapters, that no
// endpoint served.
func unservedRequests(adapter string) []protocol.Report {
	return []protocol.Report{{
		Node: "r", Sequence: 1, Window: 500 * time.Millisecond,
		Models: []protocol.ModelDemand{{Service: "lm", Model: "big", Adapter: adapter, Requests: 2, Unserved: 2}},
	}}
}

// TestNextOrderNamesRevisionAfterEarlyHeartbeat delivers the heartbeat that shows an adapter in the same step as the
// answer to the adapter's order, and in an earlier step. In both cases the next order must name the revision that
// counts this order.
func TestNextOrderNamesRevisionAfterEarlyHeartbeat(t *testing.T) {
	for _, sameStep := range []bool{true, false} {
		now := time.Unix(1e9, 0)
		p, e := oneEndpointFleet(t, now)
		table := func() []protocol.Endpoint { return []protocol.Endpoint{e} }
		inspection := Inspection{Endpoint: e.ID, Revision: 7, Models: e.Models}
		out := p.Step(now.Add(50*time.Millisecond), Input{Endpoints: table(), Inspections: []Inspection{inspection}})
		if len(out.Orders) != 1 || out.Orders[0].Adapter == "" || *out.Orders[0].Revision != 7 {
			t.Fatalf("got orders %+v, want one for an adapter at revision 7", out.Orders)
		}
		first := out.Orders[0]
		e.Sequence = 2
		e.Models = []protocol.LoadedModel{{Name: "big", Generation: 1, Adapters: []string{first.Adapter}}}
		in := Input{Endpoints: table()}
		if !sameStep {
			if out = p.Step(now.Add(100*time.Millisecond), in); len(out.Orders) != 0 {
				t.Fatalf("got orders before the answer to the previous one, want none: %+v", out.Orders)
			}
		}
		in.Results = []Result{{ID: first.ID, Outcome: Accepted}}
		out = p.Step(now.Add(150*time.Millisecond), in)
		if len(out.Orders) != 1 || *out.Orders[0].Revision != 8 {
			t.Errorf("same step %v: got orders %+v, want one at revision 8", sameStep, out.Orders)
		}
	}
}

// TestRestartedEndpointIsInspectedBeforeItsFirstOrder restarts an endpoint without models and with a new ID at its old
// address, so that its revision starts at 0. While an order of an earlier leader may still arrive, the endpoint must be
// inspected before its first order.
func TestRestartedEndpointIsInspectedBeforeItsFirstOrder(t *testing.T) {
	now := time.Unix(1e9, 0)
	p, e := oneEndpointFleet(t, now)
	inspection := Inspection{Endpoint: e.ID, Revision: 7, Models: e.Models}
	out := p.Step(now.Add(50*time.Millisecond), Input{Endpoints: []protocol.Endpoint{e}, Inspections: []Inspection{inspection}})
	if len(out.Orders) != 1 || *out.Orders[0].Revision != 7 {
		t.Fatalf("got orders %+v, want one at revision 7", out.Orders)
	}
	e.ID, e.Sequence, e.Models = "i-2", 1, nil
	table := []protocol.Endpoint{e}
	results := []Result{{ID: out.Orders[0].ID, Outcome: Accepted}}
	in := Input{Endpoints: table, Results: results, Reports: unservedRequests("")}
	out = p.Step(now.Add(100*time.Millisecond), in)
	if len(out.Orders) != 0 || len(out.Inspect) != 1 || out.Inspect[0] != "i-2" {
		t.Fatalf("got orders %+v and inspections of %v, want an inspection of i-2 alone", out.Orders, out.Inspect)
	}
	in = Input{Endpoints: table, Inspections: []Inspection{{Endpoint: "i-2"}}}
	for at := 150 * time.Millisecond; at < 5*time.Second; at += 50 * time.Millisecond {
		out = p.Step(now.Add(at), in)
		in.Inspections = nil
		if len(out.Orders) > 0 {
			break
		}
	}
	if len(out.Orders) != 1 || out.Orders[0].Endpoint != "i-2" || *out.Orders[0].Revision != 0 {
		t.Errorf("got orders %+v, want a load at revision 0", out.Orders)
	}
}

// TestHeartbeatWithoutAdapterCompletesItsUnload checks that the adapter's slot is free as soon as a heartbeat no longer
// shows the adapter.
func TestHeartbeatWithoutAdapterCompletesItsUnload(t *testing.T) {
	now := time.Unix(1e9, 0)
	p, e := oneEndpointFleet(t, now)
	e.Sequence, e.Models = 2, []protocol.LoadedModel{{Name: "big", Generation: 1, Adapters: []string{"a1", "a2"}}}
	reports := unservedRequests("a3")
	inspection := Inspection{Endpoint: e.ID, Models: e.Models}
	in := Input{Endpoints: []protocol.Endpoint{e}, Inspections: []Inspection{inspection}, Reports: reports}
	out := p.Step(now.Add(50*time.Millisecond), in)
	if len(out.Orders) != 1 || !out.Orders[0].Unload {
		t.Fatalf("got orders %+v, want an unload", out.Orders)
	}
	remaining := "a1"
	if out.Orders[0].Adapter == remaining {
		remaining = "a2"
	}
	e.Sequence, e.Models = 3, []protocol.LoadedModel{{Name: "big", Generation: 1, Adapters: []string{remaining}}}
	in = Input{Endpoints: []protocol.Endpoint{e}, Results: []Result{{ID: out.Orders[0].ID, Outcome: Accepted}}}
	out = p.Step(now.Add(100*time.Millisecond), in)
	if len(out.Orders) != 1 || out.Orders[0].Unload || out.Orders[0].Adapter != "a3" {
		t.Errorf("got orders %+v, want a load of a3", out.Orders)
	}
}

// TestAdapterWithoutRecentRequestsEvictsNoOther uses both slots, and requests a third adapter some seconds before
// the endpoint's state becomes known.
func TestAdapterWithoutRecentRequestsEvictsNoOther(t *testing.T) {
	now := time.Unix(1e9, 0)
	p, e := oneEndpointFleet(t, now)
	e.Sequence, e.Models = 2, []protocol.LoadedModel{{Name: "big", Generation: 1, Adapters: []string{"a1", "a2"}}}
	reports := unservedRequests("a3")
	table := []protocol.Endpoint{e}
	p.Step(now.Add(50*time.Millisecond), Input{Endpoints: table, Reports: reports}) // the inspection is not answered yet
	inspection := Inspection{Endpoint: e.ID, Models: e.Models}
	out := p.Step(now.Add(4*time.Second), Input{Endpoints: table, Inspections: []Inspection{inspection}})
	if len(out.Orders) != 0 {
		t.Errorf("got orders %+v for an adapter without requests in the last seconds, want none", out.Orders)
	}
}

// TestActiveAdaptersShareSlotsWithoutStarvation requests four adapters all the time, which share two slots. Each must
// stay loaded for its minimum residency, and none may starve.
func TestActiveAdaptersShareSlotsWithoutStarvation(t *testing.T) {
	now := time.Unix(1e9, 0)
	p, e := oneEndpointFleet(t, now)
	loaded := map[string]bool{}
	loadedAt, served := map[string]time.Duration{}, map[string]time.Duration{}
	var results []Result
	inspections := []Inspection{{Endpoint: e.ID, Models: e.Models}}
	for at := 50 * time.Millisecond; at < 20*time.Second; at += 50 * time.Millisecond {
		in := Input{Endpoints: []protocol.Endpoint{e}, Results: results, Inspections: inspections}
		results, inspections = nil, nil
		if at%(500*time.Millisecond) == 0 {
			report := protocol.Report{Node: "r", Sequence: uint64(at), Window: 500 * time.Millisecond}
			for _, name := range []string{"a1", "a2", "a3", "a4"} {
				row := protocol.ModelDemand{Service: "lm", Model: "big", Adapter: name, Requests: 1, Value: 9, Tokens: 1000}
				if !loaded[name] {
					row.Unserved = 1
				}
				report.Models = append(report.Models, row)
			}
			in.Reports = []protocol.Report{report}
		}
		for _, order := range p.Step(now.Add(at), in).Orders {
			results = append(results, Result{ID: order.ID, Outcome: Accepted})
			if order.Unload && at > 8*time.Second && at-loadedAt[order.Adapter] < 2*time.Second {
				t.Errorf("%v: got %s unloaded after %v, want at least 2 s", at, order.Adapter, at-loadedAt[order.Adapter])
			}
			if !order.Unload {
				loadedAt[order.Adapter] = at
			}
			loaded[order.Adapter] = !order.Unload
			e.Sequence++
			e.Models = []protocol.LoadedModel{{Name: "big", Generation: 1}}
			for _, name := range []string{"a1", "a2", "a3", "a4"} {
				if loaded[name] {
					e.Models[0].Adapters = append(e.Models[0].Adapters, name)
				}
			}
		}
		for name, isLoaded := range loaded {
			if isLoaded {
				served[name] = at
			}
		}
		for _, name := range []string{"a1", "a2", "a3", "a4"} {
			if at > 8*time.Second && at-served[name] > 6*time.Second {
				t.Fatalf("%v: got %s not loaded since %v, want at most 6 s", at, name, served[name])
			}
		}
	}
}

// TestUnplacedAdapterEvictsOnlyOneAdapter uses all slots of two endpoints and requests an adapter that is loaded nowhere.
func TestUnplacedAdapterEvictsOnlyOneAdapter(t *testing.T) {
	now := time.Unix(1e9, 0)
	p, first := oneEndpointFleet(t, now)
	second := first
	second.ID, second.Address = "i-2", "10.0.0.2:80"
	models := []protocol.LoadedModel{{Name: "big", Generation: 1, Adapters: []string{"a1", "a2"}}}
	first.Models, second.Models, first.Sequence = models, models, 2
	table := []protocol.Endpoint{first, second}
	p.Step(now.Add(50*time.Millisecond), Input{Endpoints: table})
	reports := unservedRequests("a3")
	inspections := []Inspection{{Endpoint: "i-1", Models: models}, {Endpoint: "i-2", Models: models}}
	in := Input{Endpoints: table, Reports: reports, Inspections: inspections}
	unloads := 0
	for i := range 10 {
		for _, order := range p.Step(now.Add(time.Duration(2+i)*50*time.Millisecond), in).Orders {
			if order.Unload {
				unloads++
			}
		}
		in = Input{Endpoints: table}
	}
	if unloads != 1 {
		t.Errorf("got %d unloads of adapters for one adapter, want 1", unloads)
	}
}
