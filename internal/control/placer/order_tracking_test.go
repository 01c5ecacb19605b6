package placer

import (
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// oneEndpointFleet is a fleet of one endpoint with one model that has adapters, and a placer that has its
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

// unservedRequests is a router's report of two requests for big, or an adapter of it, that no endpoint served.
func unservedRequests(adapter string) []protocol.Report {
	return []protocol.Report{{
		Node: "r", Sequence: 1, Window: 500 * time.Millisecond,
		Models: []protocol.ModelDemand{{Service: "lm", Model: "big", Adapter: adapter, Requests: 2, Unserved: 2}},
	}}
}

// TestRevisionCountsOrderWhoseEffectAHeartbeatShowsFirst has the heartbeat that shows an adapter arrive with the
// answer to its order, and before it: the next order must name the revision with that order counted.
func TestRevisionCountsOrderWhoseEffectAHeartbeatShowsFirst(t *testing.T) {
	for _, together := range []bool{true, false} {
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
		if !together {
			if out = p.Step(now.Add(100*time.Millisecond), in); len(out.Orders) != 0 {
				t.Fatalf("got orders before the answer to the last one, want none: %+v", out.Orders)
			}
		}
		in.Results = []Result{{ID: first.ID, Outcome: Accepted}}
		out = p.Step(now.Add(150*time.Millisecond), in)
		if len(out.Orders) != 1 || *out.Orders[0].Revision != 8 {
			t.Errorf("together %v: got orders %+v, want one at revision 8", together, out.Orders)
		}
	}
}

// TestRestartedEndpointIsInspectedBeforeItsFirstOrder has an endpoint start again, empty, with a new ID at its old
// address: its revision begins at 0. While an order of an earlier leader may be on its way, an inspection must show
// that first.
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

// TestHeartbeatWithoutUnloadedAdapterEndsItsOrder has the adapter slot free at once.
func TestHeartbeatWithoutUnloadedAdapterEndsItsOrder(t *testing.T) {
	now := time.Unix(1e9, 0)
	p, e := oneEndpointFleet(t, now)
	e.Sequence, e.Models = 2, []protocol.LoadedModel{{Name: "big", Generation: 1, Adapters: []string{"a1", "a2"}}}
	asked := unservedRequests("a3")
	inspection := Inspection{Endpoint: e.ID, Models: e.Models}
	in := Input{Endpoints: []protocol.Endpoint{e}, Inspections: []Inspection{inspection}, Reports: asked}
	out := p.Step(now.Add(50*time.Millisecond), in)
	if len(out.Orders) != 1 || !out.Orders[0].Unload {
		t.Fatalf("got orders %+v, want an unload", out.Orders)
	}
	left := "a1"
	if out.Orders[0].Adapter == left {
		left = "a2"
	}
	e.Sequence, e.Models = 3, []protocol.LoadedModel{{Name: "big", Generation: 1, Adapters: []string{left}}}
	in = Input{Endpoints: []protocol.Endpoint{e}, Results: []Result{{ID: out.Orders[0].ID, Outcome: Accepted}}}
	out = p.Step(now.Add(100*time.Millisecond), in)
	if len(out.Orders) != 1 || out.Orders[0].Unload || out.Orders[0].Adapter != "a3" {
		t.Errorf("got orders %+v, want a load of a3", out.Orders)
	}
}

// TestIdleAdapterEvictsNoOther has both slots taken, and a request for another adapter some seconds ago.
func TestIdleAdapterEvictsNoOther(t *testing.T) {
	now := time.Unix(1e9, 0)
	p, e := oneEndpointFleet(t, now)
	e.Sequence, e.Models = 2, []protocol.LoadedModel{{Name: "big", Generation: 1, Adapters: []string{"a1", "a2"}}}
	asked := unservedRequests("a3")
	table := []protocol.Endpoint{e}
	p.Step(now.Add(50*time.Millisecond), Input{Endpoints: table, Reports: asked}) // its inspection is not answered yet
	inspection := Inspection{Endpoint: e.ID, Models: e.Models}
	out := p.Step(now.Add(4*time.Second), Input{Endpoints: table, Inspections: []Inspection{inspection}})
	if len(out.Orders) != 0 {
		t.Errorf("got orders %+v for an adapter that nobody asked for in the last seconds, want none", out.Orders)
	}
}

// TestAdaptersInUseTakeTurns has four adapters asked for all the time share two slots: each stays its time, and none
// waits for ever.
func TestAdaptersInUseTakeTurns(t *testing.T) {
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
				t.Errorf("%v: got %s unloaded after %v, want 2 s at least", at, order.Adapter, at-loadedAt[order.Adapter])
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
				t.Fatalf("%v: got %s not loaded since %v, want 6 s at most", at, name, served[name])
			}
		}
	}
}

// TestOneAdapterIsEvictedForOneAdapter has two endpoints with all slots taken, and one adapter that is loaded
// nowhere.
func TestOneAdapterIsEvictedForOneAdapter(t *testing.T) {
	now := time.Unix(1e9, 0)
	p, first := oneEndpointFleet(t, now)
	second := first
	second.ID, second.Address = "i-2", "10.0.0.2:80"
	models := []protocol.LoadedModel{{Name: "big", Generation: 1, Adapters: []string{"a1", "a2"}}}
	first.Models, second.Models, first.Sequence = models, models, 2
	table := []protocol.Endpoint{first, second}
	p.Step(now.Add(50*time.Millisecond), Input{Endpoints: table})
	asked := unservedRequests("a3")
	inspections := []Inspection{{Endpoint: "i-1", Models: models}, {Endpoint: "i-2", Models: models}}
	in := Input{Endpoints: table, Reports: asked, Inspections: inspections}
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
