package quota

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"raventrestle/internal/configuration"
	"raventrestle/internal/control/shares"
)

var cutOffSeeds = flag.Int("cut-off-seeds", 24, "how many seeds TestNoWindowExceedsItsAllowanceWhileAnOwnerIsCutOff plays")

func tenantsWithRates(rates ...float64) []configuration.Tenant {
	var tenants []configuration.Tenant
	for i, rate := range rates {
		tenants = append(tenants, configuration.Tenant{Name: string(rune('a' + i)), RatePerSecond: rate, Burst: rate})
	}
	return tenants
}

// Tenants request far more than their limits while messages are lost and delayed, holders are killed, partitioned and suspended,
// routers are suspended, and leaders come and go. Killed holders keep the state of their disks.
func TestNoWindowExceedsItsAllowance(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		holders := rapid.IntRange(1, 6).Draw(t, "holders")
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), holders, rapid.IntRange(1, 8).Draw(t, "routers"),
			tenantsWithRates(rapid.Float64Range(300, 20000).Draw(t, "rate")), rapid.Float64Range(0, 11000).Draw(t, "slack"))
		sim.lossRate = rapid.Float64Range(0.001, 0.1).Draw(t, "loss")
		drawTime := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(50, 4500).Draw(t, name)) * 10 * time.Millisecond
		}
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			h := sim.holders[rapid.IntRange(0, holders-1).Draw(t, "holder")]
			router := sim.routers[rapid.IntRange(0, len(sim.routers)-1).Draw(t, "router")]
			duration := time.Duration(rapid.IntRange(1, 1500).Draw(t, "duration")) * 10 * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				sim.schedule(drawTime("kill at"), func() {
					sim.kill(h)
					sim.schedule(duration, func() { sim.kill(h); sim.start(h) })
				})
			case 1:
				other, id := sim.holders[rapid.IntRange(0, holders-1).Draw(t, "other partitioned holder")], sim.random.Int()
				sim.schedule(drawTime("partition at"), func() {
					for _, partitioned := range []*simulatedHolder{h, other} {
						partitioned.partitionedUntil, partitioned.partitionID = sim.now+duration, id
					}
				})
			case 2:
				sim.schedule(drawTime("suspend at"), func() { h.suspendedUntil = sim.now + duration })
			case 3:
				sim.schedule(drawTime("suspend router at"), func() {
					router.suspendedUntil = sim.now + duration
					sim.schedule(duration, func() { sim.resume(router) })
				})
			case 4:
				sim.schedule(drawTime("no leader at"), func() {
					sim.hasLeader = false
					sim.schedule(duration, func() { sim.hasLeader = true; sim.assigner = shares.NewAssigner(sim.config.HolderLease) })
				})
			case 5:
				sim.schedule(drawTime("stop at"), func() {
					h.pending = append(h.pending, ShutdownBegan{})
					sim.schedule(100*time.Millisecond, func() { sim.kill(h); sim.start(h) })
				})
			}
		}
		factor := rapid.Float64Range(0.8, 6).Draw(t, "factor")
		sim.run(50*time.Second, sim.arrivals(func(int) float64 { return factor }, 600))
		if sim.violation != "" {
			t.Fatal(sim.violation)
		}
	})
}

// One holder is cut off by itself for longer than its lease, while its routers go on asking it and tenants request several
// times their limits. Its successors must count what it may still issue (KNOWN-RED.txt had seed 62078338416283195 of
// TestNoWindowExceedsItsAllowance).
func TestNoWindowExceedsItsAllowanceWhileAnOwnerIsCutOff(t *testing.T) {
	t.Parallel()
	for seed := range uint64(*cutOffSeeds) {
		random := rand.New(rand.NewPCG(seed, 23))
		sim := newSimulation(seed, 3+random.IntN(3), 2+random.IntN(5), tenantsWithRates(300+random.Float64()*6000), random.Float64()*2000)
		sim.lossRate = 0.001 + 0.02*random.Float64()
		h := sim.holders[random.IntN(len(sim.holders))]
		sim.schedule(5*time.Second+time.Duration(random.IntN(10_000))*time.Millisecond, func() {
			h.partitionedUntil, h.partitionID = sim.now+10*time.Second, 1
		})
		factor := 1.2 + 4*random.Float64()
		sim.run(35*time.Second, sim.arrivals(func(int) float64 { return factor }, 600))
		if sim.violation != "" {
			t.Errorf("seed %d: %s", seed, sim.violation)
		}
	}
}

// Tenants of different size request about as much as their limits allow. A small tenant sends requests that no single holder
// can grant alone. No request is denied while the spending in the interval that holders count (a window and 0.4 s), including the
// request, is below nine tenths of a window's limit. This must hold with a leader and without one.
func TestRequestsBelowTheLimitAreNotDenied(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "holders"), rapid.IntRange(1, 60).Draw(t, "routers"),
			tenantsWithRates(30000, 6000, 1500), rapid.Float64Range(0, 11000).Draw(t, "slack"))
		sim.guaranteedFraction = 0.9
		if rapid.Bool().Draw(t, "leader lost") {
			sim.schedule(12*time.Second, func() { sim.hasLeader = false })
		}
		factor := rapid.Float64Range(0.5, 1.2).Draw(t, "factor")
		sim.run(3*time.Second, nil)
		sim.run(28*time.Second, sim.arrivals(func(int) float64 { return factor }, 700))
		if len(sim.wronglyDenied) > 0 {
			t.Fatalf("%d of %d requests within the limit were denied; the first: %s", len(sim.wronglyDenied), sim.requests, sim.wronglyDenied[0])
		}
	})
}

// One of five holders is killed and not restarted. No request is denied within nine tenths of the remaining four fifths of the
// limit.
func TestRequestsAreNotDeniedWhileOneHolderHasFailed(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 5, 20, tenantsWithRates(30000, 6000), 0)
		sim.run(3*time.Second, nil)
		sim.schedule(5*time.Second, func() { sim.kill(sim.holders[2]) })
		sim.schedule(5*time.Second+50*time.Millisecond, func() {
			for _, router := range sim.routers {
				if router.follows == 2 {
					router.follows = 3
				}
			}
			sim.guaranteedFraction = 0.9 * 4 / 5
		})
		sim.run(20*time.Second, sim.arrivals(func(int) float64 { return 0.9 }, 700))
		if len(sim.wronglyDenied) > 0 {
			t.Fatalf("%d of %d requests within the remaining limit were denied; the first: %s", len(sim.wronglyDenied), sim.requests, sim.wronglyDenied[0])
		}
	})
}

// All holders are killed and restarted after a second. Their records let them issue credit for three quarters of the limit at
// once.
func TestRestartedHoldersIssueCreditAtOnce(t *testing.T) {
	t.Parallel()
	sim := newSimulation(7, 5, 20, tenantsWithRates(30000, 6000), 11000)
	sim.run(3*time.Second, nil)
	load := sim.arrivals(func(int) float64 { return 0.75 }, 700)
	sim.run(20*time.Second, load)
	for _, h := range sim.holders {
		sim.kill(h)
	}
	sim.run(21*time.Second, nil)
	for _, h := range sim.holders {
		sim.start(h)
	}
	clear(sim.denied)
	served, before := 0.0, len(sim.spent["a"])
	sim.run(31*time.Second, load)
	for _, s := range sim.spent["a"][before:] {
		served += s.amount
	}
	if sim.denied["a"] > 0.02*served || served < 0.6*30000*10 {
		t.Errorf("denied %.0f, spent %.0f in the 10 s after the restart, want at most 0.02 of it denied, and 0.6 of the rate spent", sim.denied["a"], served)
	}
	if sim.violation != "" {
		t.Error(sim.violation)
	}
}
