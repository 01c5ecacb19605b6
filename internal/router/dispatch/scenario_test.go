package dispatch

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

// startNormalLoad starts four kinds of request, six engines and three plain servers; x is a factor of the arrival
// rates.
func (w *simulation) startNormalLoad(x float64) {
	for i := range 6 {
		models := []string{"m"}
		if i < 2 {
			models = append(models, "rare")
		}
		w.addEngine(models...)
	}
	for range 3 {
		w.addPlain(6)
	}
	w.kinds = []*requestKind{
		{
			name: "brief", model: "m", perSecond: 13 * x, latencyTarget: 500 * time.Millisecond, timeout: 15 * time.Second,
			prompt: 1460, output: 172, retryable: true, clientRetries: 1, tenant: "", routePriority: 1,
		},
		{
			name: "reply", model: "m", adapter: "a1", perSecond: 8 * x,
			latencyTarget: 400 * time.Millisecond, timeout: 10 * time.Second,
			prompt: 650, output: 70, retryable: true, clientRetries: 1, routePriority: 2,
		},
		{
			name: "rewrite", model: "rare", perSecond: 1.2 * x, latencyTarget: 8 * time.Second, timeout: 30 * time.Second,
			prompt: 1460, output: 172, clientRetries: 1, routePriority: 0,
		},
		{
			name: "push", perSecond: 11 * x, latencyTarget: 100 * time.Millisecond, timeout: 600 * time.Millisecond,
			clientRetries: 1, routePriority: 2,
		},
	}
	w.start()
}

func (w *simulation) logStatistics(t *testing.T) {
	t.Helper()
	for _, k := range w.kinds {
		t.Logf("%-8s requests %5d in time %5d after a retry %4d past target %4d failed %4d rejections %4d twice %3d value %.3f", k.name, k.requested,
			k.inTime, k.retried, k.served, k.failed, k.rejected, k.rejectedTwice, k.valueServed())
	}
	cached, shared := 0.0, 0.0
	for _, s := range w.servers {
		cached, shared = cached+s.cachedTokens, shared+s.sharedTokens
	}
	t.Logf("rejected with half of the slots free: %d; %.3f of the shared tokens were cached", w.rejectedWhileHalfFree, cached/shared)
	for i, d := range w.routers {
		x := d.PredictionErrors()
		t.Logf("router %d: predictions %d, median ratio %.2f, 95th %.2f, off by %.1f of %.1f ms", i, x.Count, x.MedianRatio,
			x.Percentile95, x.MeanAbsoluteMS, x.MeanPredictedMS)
	}
}

func (w *simulation) requireServed(t *testing.T, fraction float64) {
	t.Helper()
	for _, k := range w.kinds {
		if got := float64(k.inTime) / float64(max(k.requested, 1)); got < fraction {
			t.Errorf("%s: %.3f in time, want %.3f", k.name, got, fraction)
		}
	}
}

func TestNormalLoadMeetsItsTargets(t *testing.T) {
	w := newSimulation(t, 1, 3)
	w.startNormalLoad(1)
	w.run(20 * time.Second)
	w.finish()
	w.logStatistics(t)
	w.requireServed(t, 0.99)
}

func TestInvariantsDuringABurst(t *testing.T) {
	w := newSimulation(t, 2, 3)
	w.startNormalLoad(1)
	w.at(6*time.Second, func(w *simulation) {
		for _, k := range w.kinds {
			k.perSecond *= 6
		}
	})
	w.at(11*time.Second, func(w *simulation) {
		for _, k := range w.kinds {
			k.perSecond /= 6
		}
	})
	w.run(20 * time.Second)
	w.finish()
	w.logStatistics(t)
}

func TestInvariantsDuringCrashes(t *testing.T) {
	w := newSimulation(t, 3, 3)
	w.startNormalLoad(1)
	w.at(5*time.Second, func(w *simulation) { w.crash(w.servers[0]) })
	w.at(5*time.Second, func(w *simulation) { w.servers[3].condition = hung })
	w.at(7*time.Second, func(w *simulation) { w.crash(w.servers[6]) })
	w.at(9*time.Second, func(w *simulation) {
		w.servers[0].condition, w.servers[3].condition, w.servers[6].condition = healthy, healthy, healthy
	})
	w.run(20 * time.Second)
	w.finish()
	w.logStatistics(t)
}

// TestDisconnectedRouterServesSoonAfterReconnection checks that a router that reached no endpoint for a while answers
// requests within the second half second after its reconnection.
func TestDisconnectedRouterServesSoonAfterReconnection(t *testing.T) {
	w := newSimulation(t, 6, 2)
	w.startNormalLoad(1)
	w.at(3*time.Second, func(w *simulation) { w.disconnected[0] = true })
	w.at(8*time.Second, func(w *simulation) { w.disconnected[0] = false })
	w.run(8500 * time.Millisecond)
	before := w.countAnswered(0)
	w.run(9 * time.Second)
	if now := w.countAnswered(0); now < before+4 {
		t.Errorf("%d answered in half a second, half a second after the reconnection; want 4", now-before)
	}
}

// countAnswered returns how many requests of a router were answered at least in part.
func (w *simulation) countAnswered(router int) int {
	n := 0
	for _, c := range w.clients[router] {
		if c.answerBegan {
			n++
		}
	}
	return n
}

// crash breaks the connections of all calls at an endpoint.
func (w *simulation) crash(s *simulatedEndpoint) {
	s.condition = crashed
	for _, j := range append(append([]*job(nil), s.running...), s.queue...) {
		if c := j.call.client; c.call == j.call {
			w.loseConnection(c)
		}
	}
	s.running, s.queue = nil, nil
	s.cached = map[uint64]bool{}
}

func TestInvariantsWithSlowAndResettingEndpoints(t *testing.T) {
	w := newSimulation(t, 4, 3)
	w.startNormalLoad(1)
	w.at(5*time.Second, func(w *simulation) {
		w.servers[3].slow = 10
		w.servers[7].slow = 8
		w.servers[4].resetProbability = 0.05
	})
	w.run(20 * time.Second)
	w.finish()
	w.logStatistics(t)
}

func TestLoadIsServedWhileEndpointsAreReplaced(t *testing.T) {
	w := newSimulation(t, 5, 3)
	w.startNormalLoad(2)
	for i := range 4 {
		at := time.Duration(4+2*i) * time.Second
		w.at(at, func(w *simulation) {
			w.servers[i].row.State = protocol.Draining
			w.announce(w.servers[i])
			fresh := w.addEngine("m", "rare")
			w.announce(fresh)
		})
		w.at(at+3*time.Second, func(w *simulation) {
			w.servers[i].row.State = protocol.Departed
			w.announce(w.servers[i])
			w.servers[i].departed = true
			w.crash(w.servers[i])
		})
	}
	w.run(20 * time.Second)
	w.finish()
	w.logStatistics(t)
	w.requireServed(t, 0.9)
}

// valueServed returns the fraction of the kind's value that was served.
func (k *requestKind) valueServed() float64 { return k.servedValue / max(k.offeredValue, 1) }

// TestValueServedDuringOverload checks the fraction of the value that is served during bursts of several sizes.
func TestValueServedDuringOverload(t *testing.T) {
	sizes := []float64{4}
	if *overloadSeeds > 1 {
		sizes = []float64{2, 3, 4, 6, 9}
	}
	for _, x := range sizes {
		var sum requestKind
		servedValue, offered, rejectedWhileHalfFree := 0.0, 0.0, 0
		var servedByRank, requested [3]float64
		for seed := range uint64(*overloadSeeds) {
			w := runOverload(t, seed+20, x)
			rejectedWhileHalfFree += w.rejectedWhileHalfFree
			for _, k := range w.kinds {
				if k.model != "" {
					servedByRank[k.routePriority] += float64(k.inTime + k.retried + k.served)
					requested[k.routePriority] += float64(k.requested)
				}
			}
			for _, k := range w.kinds[:4] {
				sum.requested += k.requested
				sum.inTime += k.inTime
				sum.retried += k.retried
				sum.served += k.served
				sum.failed += k.failed
				sum.rejectedTwice += k.rejectedTwice
				servedValue += k.servedValue
				offered += k.offeredValue
			}
		}
		for i := range servedByRank {
			servedByRank[i] /= requested[i]
		}
		t.Logf("x %2.0f: served by rank %.3f", x, servedByRank)
		fraction := func(n int) float64 { return float64(n) / float64(sum.requested) }
		t.Logf("x %2.0f: value %.3f; in time %.3f after a retry %.3f past target %.3f failed %.3f rejected twice %.3f; rejected with half of the slots free %d",
			x, servedValue/offered, fraction(sum.inTime), fraction(sum.retried), fraction(sum.served), fraction(sum.failed), fraction(sum.rejectedTwice), rejectedWhileHalfFree)
		if x <= 4 && servedValue < 0.9*offered {
			t.Errorf("x %.0f: value served %.3f, want 0.9", x, servedValue/offered)
		}
	}
}

var overloadSeeds = flag.Int("overload-seeds", 1, "number of runs of each burst")

// runOverload runs a burst of x times the normal load on the large fleet.
func runOverload(t *testing.T, seed uint64, x float64) *simulation {
	t.Helper()
	w := newSimulation(t, seed, 9)
	w.startLargeFleet()
	w.at(4*time.Second, func(w *simulation) {
		for _, k := range w.kinds {
			k.perSecond *= x
		}
	})
	w.at(9*time.Second, func(w *simulation) {
		for _, k := range w.kinds {
			k.perSecond /= x
		}
	})
	w.run(16 * time.Second)
	w.finish()
	return w
}

// startLargeFleet starts twelve engines with two models each and three plain servers. Two of the many models are in
// high demand.
func (w *simulation) startLargeFleet() {
	for i := range 12 {
		models := []string{"m", fmt.Sprint("rare", i)}
		if i%3 == 2 {
			models[0] = "n"
		}
		if i%4 == 3 {
			models[1] = "n"
		}
		w.addEngine(models...)
	}
	for range 3 {
		w.addPlain(6)
	}
	brief := requestKind{
		name: "brief", model: "m", perSecond: 15, latencyTarget: 500 * time.Millisecond, timeout: 15 * time.Second,
		prompt: 1460, output: 172, retryable: true, clientRetries: 1, routePriority: 1,
	}
	reply := requestKind{
		name: "reply", model: "m", adapter: "a1", perSecond: 9, latencyTarget: 400 * time.Millisecond,
		timeout: 10 * time.Second, prompt: 646, output: 70, retryable: true, clientRetries: 1, routePriority: 2,
	}
	briefN, replyN := brief, reply
	briefN.model, briefN.perSecond = "n", 8
	replyN.model, replyN.adapter, replyN.perSecond = "n", "", 5
	push := requestKind{
		name: "push", perSecond: 11, latencyTarget: 100 * time.Millisecond, timeout: 600 * time.Millisecond,
		clientRetries: 1, routePriority: 2,
	}
	w.kinds = []*requestKind{&brief, &reply, &briefN, &replyN, &push}
	for _, i := range []int{0, 1, 2, 4, 5, 6, 8, 9, 10} {
		w.kinds = append(w.kinds, &requestKind{
			name: "rewrite", model: fmt.Sprint("rare", i), perSecond: 0.28,
			latencyTarget: 8 * time.Second, timeout: 30 * time.Second, prompt: 1460, output: 172, clientRetries: 1,
		})
	}
	w.start()
}
