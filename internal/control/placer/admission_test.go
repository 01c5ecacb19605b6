package placer

import (
	"errors"
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// TestAdmissionCheckRejectsInadmissibleOrders checks orders that a bug in the planning might produce.
func TestAdmissionCheckRejectsInadmissibleOrders(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, test := range []struct {
		name   string
		change func(p *Placer, f *fleet, e *endpoint)
		order  Order
		want   error
	}{
		{"load", nil, Order{Model: "small"}, nil},
		{"unload", nil, Order{Model: "big", Unload: true}, nil},
		{"load of an adapter", nil, Order{Model: "big", Adapter: "a2"}, nil},
		{"unload of an adapter", nil, Order{Model: "big", Adapter: "a1", Unload: true}, nil},
		{
			"load while an order is in progress", func(_ *Placer, _ *fleet, e *endpoint) { e.pending = &pendingOrder{} },
			Order{Model: "small"},
			errOrderPending,
		},
		{
			"load during the backoff after a rejection", func(_ *Placer, _ *fleet, e *endpoint) { e.backoffUntil = now.Add(1) },
			Order{Model: "small"},
			errOrderPending,
		},
		{
			"load while the endpoint's state is not known", func(_ *Placer, _ *fleet, e *endpoint) { e.stateKnown = false },
			Order{Model: "small"},
			errStateUnknown,
		},
		{"unload of a model that is not loaded", nil, Order{Model: "small", Unload: true}, errNotLoaded},
		{"unload of an adapter that is not loaded", nil, Order{Model: "big", Adapter: "a2", Unload: true}, errNotLoaded},
		{"load of an adapter whose model is not loaded", nil, Order{Model: "small", Adapter: "a1"}, errNotLoaded},
		{"load of an adapter whose model is not configured", nil, Order{Model: "old", Adapter: "a1"}, errNotConfigured},
		{
			"load of an adapter without free memory", func(_ *Placer, f *fleet, _ *endpoint) { f.engine.WeightMemoryMB = 61.5 },
			Order{Model: "big", Adapter: "a2"},
			errMemoryExceeded,
		},
		{
			"load of an adapter without a free slot", func(_ *Placer, f *fleet, _ *endpoint) { f.engine.AdapterSlots = 1 },
			Order{Model: "big", Adapter: "a2"},
			errAdapterSlotsExceeded,
		},
		{"load of a model that is not configured", nil, Order{Model: "old"}, errNotConfigured},
		{"load of a model that is already loaded", nil, Order{Model: "big"}, errAlreadyLoaded},
		{
			"load without free memory", func(_ *Placer, f *fleet, _ *endpoint) { f.engine.WeightMemoryMB = 90.9 },
			Order{Model: "small"},
			errMemoryExceeded,
		},
		{
			"load beyond the rate limit", func(p *Placer, _ *fleet, _ *endpoint) { p.loadLimiter.limit = 0 },
			Order{Model: "small"},
			errLoadRateExceeded,
		},
		{"load from the endpoint's own disk beyond the rate limit", func(p *Placer, _ *fleet, e *endpoint) {
			p.loadLimiter.limit, e.onDisk["small"] = 0, true
		}, Order{Model: "small"}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := New(Config{InspectEndpoints: true, HandoverGap: time.Minute})
			engine := &configuration.Engine{
				Slots: 8, WeightMemoryMB: 100, AdapterSlots: 2, LoadsPerSecond: 2,
				Models: []configuration.Model{
					{Name: "big", WeightsMB: 60, LoadTimeSeconds: 5, AdapterCount: 4, AdapterSizeMB: 1},
					{Name: "small", WeightsMB: 30, LoadTimeSeconds: 5, AdapterCount: 4, AdapterSizeMB: 1},
				},
			}
			models := []protocol.LoadedModel{{Name: "big", Generation: 1, Adapters: []string{"a1"}}}
			table := []protocol.Endpoint{{ID: "i-1", Service: "lm", Address: "10.0.0.1:80", Sequence: 1, Models: models}}
			p.Step(now, Input{Configuration: &configuration.Configuration{
				Generation: 1,
				Services:   []configuration.Service{{Name: "lm", Engine: engine}},
			}, Endpoints: table})
			f := p.fleets["lm"]
			e := f.endpoints["i-1"]
			e.observeInspection(now, Inspection{Endpoint: "i-1", Models: models})
			if test.change != nil {
				test.change(p, f, e)
			}
			before := p.counters
			out := Output{}
			if got := p.checkAdmissible(now, f, e, test.order); !errors.Is(got, test.want) {
				t.Errorf("%+v: got %v, want %v", test.order, got, test.want)
			}
			issued := p.issue(now, f, e, test.order, &out)
			if want := test.want == nil; issued != want || (len(out.Orders) == 1) != want {
				t.Errorf("issued %v with orders %+v, want %v", issued, out.Orders, want)
			}
			if want := before.Inadmissible + 1; test.want != nil && p.counters.Inadmissible != want {
				t.Errorf("%d inadmissible orders counted, want %d", p.counters.Inadmissible, want)
			}
		})
	}
}
