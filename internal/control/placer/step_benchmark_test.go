package placer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"raventrestle/internal/protocol"
	"raventrestle/internal/sizetest"
)

// stepsPerS is the maximum number of steps per second, because consecutive steps are at least busyStepInterval apart.
const stepsPerS = 20

// BenchmarkStepAtSize measures one of 20 steps per second at the size of the operators' plan, with a proportional part of
// all routers' reports. Orders are accepted and completed at once, so that the placement becomes stable.
func BenchmarkStepAtSize(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	p := New(Config{InspectEndpoints: true, HandoverGap: time.Minute})
	table := sizetest.EndpointTable()
	p.Step(now, Input{Configuration: sizetest.Configuration(), Endpoints: table})
	step, orders := 0, 0
	sequence := uint64(0)
	var results []Result
	var inspections []Inspection
	revisions := make(map[string]uint64)
	runStep := func() {
		now = now.Add(time.Second / stepsPerS)
		in := Input{Endpoints: table, Results: results, Inspections: inspections}
		for i := range sizetest.Routers * sizetest.ReportsPerSecond / stepsPerS {
			sequence++
			router := (step*sizetest.Routers*sizetest.ReportsPerSecond/stepsPerS + i) % sizetest.Routers
			in.Reports = append(in.Reports, sizetest.Report(random, router, sequence))
		}
		step++
		b.StartTimer()
		out := p.Step(now, in)
		b.StopTimer()
		results = results[:0]
		for _, order := range out.Orders {
			orders++
			results = append(results, Result{ID: order.ID, Outcome: Accepted})
			applyOrder(table, order)
			revisions[order.Endpoint]++
		}
		inspections = inspections[:0]
		for _, id := range out.Inspect {
			inspections = append(inspections, Inspection{Endpoint: id, Revision: revisions[id], Models: modelsOf(table, id)})
		}
	}
	for range 10 * stepsPerS {
		runStep()
	}
	orders = 0
	b.ReportAllocs()
	b.StartTimer()
	for b.Loop() {
		runStep()
		b.StartTimer()
	}
	b.ReportMetric(float64(orders)/float64(b.N), "orders/op")
}

// modelsOf returns the models that the endpoint has loaded.
func modelsOf(table []protocol.Endpoint, id string) []protocol.LoadedModel {
	for i := range table {
		if table[i].ID == id {
			return table[i].Models
		}
	}
	return nil
}

// applyAdapterOrder loads or unloads an adapter of a model that the endpoint has loaded.
func applyAdapterOrder(e *protocol.Endpoint, order Order) {
	models := slices.Clone(e.Models)
	for i := range models {
		if models[i].Name != order.Model {
			continue
		}
		adapters := slices.DeleteFunc(slices.Clone(models[i].Adapters), func(a string) bool { return a == order.Adapter })
		if !order.Unload {
			adapters = append(adapters, order.Adapter)
		}
		models[i].Adapters = adapters
	}
	e.Models = models
}

// applyOrder applies the order to the endpoint in the table.
func applyOrder(table []protocol.Endpoint, order Order) {
	for i := range table {
		e := &table[i]
		if e.ID != order.Endpoint {
			continue
		}
		e.Sequence++
		switch {
		case order.Adapter != "":
			applyAdapterOrder(e, order)
		case !order.Unload:
			e.Models = append(e.Models[:len(e.Models):len(e.Models)], protocol.LoadedModel{Name: order.Model, Generation: 1})
		default:
			var kept []protocol.LoadedModel
			for _, loaded := range e.Models {
				if loaded.Name != order.Model {
					kept = append(kept, loaded)
				}
			}
			e.Models = kept
		}
	}
}
