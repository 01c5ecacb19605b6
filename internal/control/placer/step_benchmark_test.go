package placer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"raventrestle/internal/protocol"
	"raventrestle/internal/sizetest"
)

const stepsPerS = 20 // at most: a step takes place no sooner than 50 ms after the one before

// BenchmarkStepAtSize is one of 20 steps in a second, with its part of all routers' reports. Orders are taken and done
// at once, so that the placement settles.
func BenchmarkStepAtSize(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	p := New(Config{InspectEndpoints: true, HandoverGap: time.Minute})
	table := sizetest.EndpointTable()
	p.Step(now, Input{Configuration: sizetest.Configuration(), Endpoints: table})
	step, orders := 0, 0
	sequence := uint64(0)
	var results []Result
	var looks []Inspection
	revisions := make(map[string]uint64)
	one := func() {
		now = now.Add(time.Second / stepsPerS)
		in := Input{Endpoints: table, Results: results, Inspections: looks}
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
		looks = looks[:0]
		for _, id := range out.Inspect {
			looks = append(looks, Inspection{Endpoint: id, Revision: revisions[id], Models: modelsOf(table, id)})
		}
	}
	for range 10 * stepsPerS {
		one()
	}
	orders = 0
	b.ReportAllocs()
	b.StartTimer()
	for b.Loop() {
		one()
		b.StartTimer()
	}
	b.ReportMetric(float64(orders)/float64(b.N), "orders/op")
}

func modelsOf(table []protocol.Endpoint, id string) []protocol.LoadedModel {
	for i := range table {
		if table[i].ID == id {
			return table[i].Models
		}
	}
	return nil
}

// applyAdapterOrder loads or unloads an adapter of a model that the endpoint has.
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

// applyOrder has the endpoint do at once what it was ordered.
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
			for _, held := range e.Models {
				if held.Name != order.Model {
					kept = append(kept, held)
				}
			}
			e.Models = kept
		}
	}
}
