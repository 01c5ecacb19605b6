package placer

import (
	"math/rand/v2"
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
	p := New(Options{})
	table := sizetest.Table()
	p.Step(now, Input{Configuration: sizetest.Configuration(), Endpoints: table})
	step, orders := 0, 0
	sequence := uint64(0)
	var results []Result
	one := func() {
		now = now.Add(time.Second / stepsPerS)
		in := Input{Endpoints: table, Results: results}
		for i := range sizetest.Routers * sizetest.ReportsPerS / stepsPerS {
			sequence++
			in.Reports = append(in.Reports, sizetest.Report(random, (step*sizetest.Routers/stepsPerS+i)%sizetest.Routers, sequence))
		}
		step++
		b.StartTimer()
		out := p.Step(now, in)
		b.StopTimer()
		results = results[:0]
		for _, order := range out.Orders {
			orders++
			results = append(results, Result{ID: order.ID, Outcome: Accepted})
			carryOut(table, order)
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

// carryOut has the endpoint do at once what it was ordered.
func carryOut(table []protocol.Endpoint, order Order) {
	for i := range table {
		e := &table[i]
		if e.ID != order.Endpoint {
			continue
		}
		e.Sequence++
		switch {
		case order.Adapter != "":
			return
		case !order.Unload:
			e.Models = append(e.Models[:len(e.Models):len(e.Models)], protocol.HeldModel{Name: order.Model, Generation: 1})
		default:
			var kept []protocol.HeldModel
			for _, held := range e.Models {
				if held.Name != order.Model {
					kept = append(kept, held)
				}
			}
			e.Models = kept
		}
	}
}
