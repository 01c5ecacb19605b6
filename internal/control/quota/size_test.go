package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"raventrestle/internal/protocol"
	"raventrestle/internal/sizetest"
)

const stepsPerS = 20 // upper bound: steps are 50 ms apart or more

// BenchmarkStepAtSize is one of 20 steps in a second, with its part of all routers' reports, each of which has
// demand for a few of 200 tenants.
func BenchmarkStepAtSize(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	a := New(Config{OvershootSlack: 11000, OvershootFraction: 0.1, IdleBefore: time.Minute})
	var routers []Router
	for i := range sizetest.Routers {
		routers = append(routers, Router{Node: sizetest.RouterName(i), Incarnation: uint64(i) + 1})
	}
	a.Step(now, Input{Configuration: sizetest.Configuration(), Routers: routers, MinRouterCount: sizetest.Routers})
	codec := protocol.NewCodec()
	step, grants, bytes := 0, 0, 0
	sequence := uint64(0)
	var confirmed []Confirmation
	one := func() {
		now = now.Add(time.Second / stepsPerS)
		in := Input{Routers: routers, MinRouterCount: sizetest.Routers, Confirmations: confirmed}
		for i := range sizetest.Routers * sizetest.ReportsPerSecond / stepsPerS {
			sequence++
			router := (step*sizetest.Routers*sizetest.ReportsPerSecond/stepsPerS + i) % sizetest.Routers
			in.Reports = append(in.Reports, sizetest.Report(random, router, sequence))
		}
		step++
		b.StartTimer()
		out := a.Step(now, in)
		b.StopTimer()
		confirmed = nil
		for _, grant := range out.Batches {
			grants++
			frame, err := codec.Encode(&protocol.Update{Quotas: grant.Grants})
			if err != nil {
				b.Fatal(err)
			}
			bytes += len(frame)
			confirmed = append(confirmed, Confirmation{Router: grant.Router, BatchID: grant.ID})
		}
	}
	for range 5 * stepsPerS {
		one()
	}
	grants, bytes = 0, 0
	b.ReportAllocs()
	b.StartTimer()
	for b.Loop() {
		one()
		b.StartTimer()
	}
	b.ReportMetric(float64(grants)/float64(b.N), "grants/op")
	b.ReportMetric(float64(bytes)/float64(max(1, grants)), "B/grant")
}
