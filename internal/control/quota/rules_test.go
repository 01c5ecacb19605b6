package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"raventrestle/internal/configuration"
	"raventrestle/internal/control/shares"
)

func modelTenants(rates ...float64) []configuration.Tenant {
	var tenants []configuration.Tenant
	for i, rate := range rates {
		tenants = append(tenants, configuration.Tenant{Name: string(rune('a' + i)), RatePerSecond: rate, Burst: rate})
	}
	return tenants
}

// TestNoWindowExceedsItsAllowance has tenants ask for far more than their limits while messages are lost and late, holders
// are killed with their disks as they were, cut off and suspended, routers are suspended, and leaders come and go.
func TestNoWindowExceedsItsAllowance(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		holders := rapid.IntRange(1, 6).Draw(t, "holders")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), holders, rapid.IntRange(1, 8).Draw(t, "routers"),
			modelTenants(rapid.Float64Range(300, 20000).Draw(t, "rate")), rapid.Float64Range(0, 11000).Draw(t, "slack"))
		w.lossRate = rapid.Float64Range(0.001, 0.1).Draw(t, "loss")
		moment := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(50, 4500).Draw(t, name)) * 10 * time.Millisecond
		}
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			h := w.holders[rapid.IntRange(0, holders-1).Draw(t, "holder")]
			router := w.routers[rapid.IntRange(0, len(w.routers)-1).Draw(t, "router")]
			length := time.Duration(rapid.IntRange(1, 1500).Draw(t, "for")) * 10 * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				w.after(moment("kill at"), func() {
					w.kill(h)
					w.after(length, func() { w.kill(h); w.start(h) })
				})
			case 1:
				together, id := w.holders[rapid.IntRange(0, holders-1).Draw(t, "cut together")], w.random.Int()
				w.after(moment("cut at"), func() {
					for _, cut := range []*modelHolder{h, together} {
						cut.partitionUntil, cut.partitionID = w.now+length, id
					}
				})
			case 2:
				w.after(moment("freeze at"), func() { h.frozenUntil = w.now + length })
			case 3:
				w.after(moment("router frozen at"), func() {
					router.frozenUntil = w.now + length
					w.after(length, func() { w.thaw(router) })
				})
			case 4:
				w.after(moment("no leader at"), func() {
					w.leader = false
					w.after(length, func() { w.leader = true; w.assigner = shares.NewAssigner(w.config.HolderLease) })
				})
			case 5:
				w.after(moment("stop at"), func() {
					h.pending = append(h.pending, ShutdownBegan{})
					w.after(100*time.Millisecond, func() { w.kill(h); w.start(h) })
				})
			}
		}
		factor := rapid.Float64Range(0.8, 6).Draw(t, "factor")
		w.run(50*time.Second, w.arrivals(func(int) float64 { return factor }, 600))
		if w.breach != "" {
			t.Fatal(w.breach)
		}
	})
}

// TestNothingWithinTheLimitIsRefused has tenants of unequal size ask for about what their limits allow, a small one for
// requests that no holder can pay alone. Nothing is refused while what was spent in the interval that holders count (a window and
// 0.4 s), the request included, is under nine tenths of a window's limit: in calm, and while there is no leader.
func TestNothingWithinTheLimitIsRefused(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "holders"), rapid.IntRange(1, 60).Draw(t, "routers"),
			modelTenants(30000, 6000, 1500), rapid.Float64Range(0, 11000).Draw(t, "slack"))
		w.within = 0.9
		if rapid.Bool().Draw(t, "leader lost") {
			w.after(12*time.Second, func() { w.leader = false })
		}
		factor := rapid.Float64Range(0.5, 1.2).Draw(t, "factor")
		w.run(3*time.Second, nil)
		w.run(28*time.Second, w.arrivals(func(int) float64 { return factor }, 700))
		if len(w.wrongly) > 0 {
			t.Fatalf("%d of %d requests are refused within the limit; the first: %s", len(w.wrongly), w.requests, w.wrongly[0])
		}
	})
}

// TestRefusalsWhileAHolderIsGone: with one of five holders killed for good, nothing is refused within nine tenths of the four
// fifths that are left.
func TestRefusalsWhileAHolderIsGone(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 5, 20, modelTenants(30000, 6000), 0)
		w.run(3*time.Second, nil)
		w.after(5*time.Second, func() { w.kill(w.holders[2]) })
		w.after(5*time.Second+50*time.Millisecond, func() {
			for _, router := range w.routers {
				if router.follows == 2 {
					router.follows = 3
				}
			}
			w.within = 0.9 * 4 / 5
		})
		w.run(20*time.Second, w.arrivals(func(int) float64 { return 0.9 }, 700))
		if len(w.wrongly) > 0 {
			t.Fatalf("%d of %d requests are refused within what is left; the first: %s", len(w.wrongly), w.requests, w.wrongly[0])
		}
	})
}

// TestRestartedHoldersServeAtOnce has all holders killed and started again within a second: what they had recorded lets them
// go on with three quarters of the limit.
func TestRestartedHoldersServeAtOnce(t *testing.T) {
	t.Parallel()
	w := newWorld(7, 5, 20, modelTenants(30000, 6000), 11000)
	w.run(3*time.Second, nil)
	load := w.arrivals(func(int) float64 { return 0.75 }, 700)
	w.run(20*time.Second, load)
	for _, h := range w.holders {
		w.kill(h)
	}
	w.run(21*time.Second, nil)
	for _, h := range w.holders {
		w.start(h)
	}
	clear(w.refused)
	asked, before := 0.0, len(w.spent["a"])
	w.run(31*time.Second, load)
	for _, s := range w.spent["a"][before:] {
		asked += s.amount
	}
	if w.refused["a"] > 0.02*asked || asked < 0.6*30000*10 {
		t.Errorf("refused %.0f and served %.0f in the 10 s after the start, want under 0.02 refused and most served", w.refused["a"], asked)
	}
	if w.breach != "" {
		t.Error(w.breach)
	}
}
