package dispatch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

var (
	randomScenarios = flag.Int("days", 8, "number of random scenarios to run")
	firstRandomSeed = flag.Uint64("first-day", 1, "seed of the first random scenario")
)

// TestInvariantsInRandomScenarios runs scenarios with random faults and checks the invariants after each step.
func TestInvariantsInRandomScenarios(t *testing.T) {
	for i := range *randomScenarios {
		seed := *firstRandomSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomScenario(t, seed) })
	}
}

func runRandomScenario(t *testing.T, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 99))
	w := newSimulation(t, seed, 1+rng.IntN(4))
	if rng.IntN(3) == 0 {
		for _, d := range w.routers {
			d.schedule.Slots = 4 + rng.IntN(60)
		}
	}
	w.startNormalLoad(0.5 + 2*rng.Float64())
	w.kinds[0].tenant = "t"
	for range 2 + rng.IntN(6) {
		at := time.Duration(500+rng.IntN(5000)) * time.Millisecond
		until := at + time.Duration(500+rng.IntN(4000))*time.Millisecond
		fault := faults[rng.IntN(len(faults))]
		s := w.servers[rng.IntN(len(w.servers))]
		w.at(at, func(w *simulation) { fault(w, s, until) })
	}
	w.run(7 * time.Second)
	w.finish()
	if testing.Verbose() {
		w.logStatistics(t)
	}
}

// faults are functions that inject a fault now and end it at the given time.
var faults = []func(w *simulation, s *simulatedEndpoint, until time.Duration){
	func(w *simulation, s *simulatedEndpoint, until time.Duration) { // crashes and restarts with another ID
		w.crash(s)
		w.at(until, func(w *simulation) { w.replace(s, protocol.Departed) })
	},
	func(w *simulation, s *simulatedEndpoint, until time.Duration) { // hangs
		s.condition = hung
		w.at(until, func(*simulation) { s.condition = healthy })
	},
	func(w *simulation, s *simulatedEndpoint, until time.Duration) { // slow
		s.slow = 2 + 10*w.rng.Float64()
		w.at(until, func(*simulation) { s.slow = 1 })
	},
	func(w *simulation, s *simulatedEndpoint, until time.Duration) { // resets connections
		s.resetProbability = 0.3 * w.rng.Float64()
		w.at(until, func(*simulation) { s.resetProbability = 0 })
	},
	func(w *simulation, s *simulatedEndpoint, until time.Duration) { // drains and departs
		s.row.State = protocol.Draining
		w.announce(s)
		w.at(until, func(w *simulation) {
			w.crash(s)
			w.replace(s, protocol.Departed)
		})
	},
	func(w *simulation, s *simulatedEndpoint, until time.Duration) { // stops sending heartbeats
		s.row.State = protocol.Unresponsive
		w.announce(s)
		w.at(until, func(w *simulation) {
			if s.row.State == protocol.Unresponsive {
				s.row.State = protocol.Ready
				w.announce(s)
			}
		})
	},
	func(w *simulation, s *simulatedEndpoint, until time.Duration) { // a burst of one kind of request
		k := w.kinds[w.rng.IntN(len(w.kinds))]
		factor := 2 + 8*w.rng.Float64()
		k.perSecond *= factor
		w.at(until, func(*simulation) { k.perSecond /= factor })
	},
	func(w *simulation, s *simulatedEndpoint, until time.Duration) { // unloads a model and loads it again; the update is delayed
		if !s.engine || len(s.row.Models) == 0 {
			return
		}
		models := slices.Clone(s.row.Models)
		s.row.Models = s.row.Models[:len(models)-1]
		w.at(w.now+200*time.Millisecond, func(w *simulation) { w.announce(s) })
		w.at(until, func(w *simulation) {
			s.row.Models = models
			w.announce(s)
		})
	},
	func(w *simulation, s *simulatedEndpoint, until time.Duration) { // a new configuration with only the first tenant
		next := *w.config
		next.Tenants = []configuration.Tenant{w.config.Tenants[0]}
		next.Generation++
		w.config = &next
		w.delayedViews = append(w.delayedViews, delayedView{w.now, ViewChanged{Configuration: w.config, RouterCount: len(w.routers)}})
	},
	func(w *simulation, s *simulatedEndpoint, until time.Duration) { // clients disconnect
		for i, list := range w.clients {
			for _, id := range sortedIDs(list) {
				if c := list[id]; c.endCount == 0 && w.rng.IntN(2) == 0 {
					w.cancelRequest(i, c)
				}
			}
		}
	},
	func(w *simulation, s *simulatedEndpoint, until time.Duration) { // a router is disconnected from all endpoints
		i := w.rng.IntN(len(w.routers))
		w.disconnected[i] = true
		w.at(until, func(*simulation) { w.disconnected[i] = false })
	},
	func(w *simulation, s *simulatedEndpoint, until time.Duration) { // the control plane sends a complete table
		var rows []protocol.Endpoint
		for _, s := range w.servers {
			if !s.departed {
				rows = append(rows, s.row)
			}
		}
		w.delayedViews = append(w.delayedViews, delayedView{w.now, ViewChanged{Full: true, Endpoints: rows}})
	},
}

func sortedIDs(list map[RequestID]*simulatedClient) []RequestID {
	ids := make([]RequestID, 0, len(list))
	for id := range list {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// cancelRequest cancels a client's request.
func (w *simulation) cancelRequest(router int, c *simulatedClient) {
	w.inputs[router] = append(w.inputs[router], RequestCanceled{c.request.ID})
	c.canceled = true
	if c.call != nil {
		c.call.server.drop(c.call)
		w.finishCall(c, Canceled, false)
	}
	w.countEnd(c)
}

// replace starts a new incarnation of an endpoint.
func (w *simulation) replace(s *simulatedEndpoint, state protocol.EndpointState) {
	if s.departed {
		return
	}
	s.departed = true
	s.row.State = state
	w.announce(s)
	fresh := &simulatedEndpoint{engine: s.engine, maxQueue: s.maxQueue, row: s.row}
	fresh.row.ID = fmt.Sprint("x", len(w.servers))
	fresh.row.State = protocol.Ready
	fresh.row.Sequence = 0
	w.add(fresh)
	w.announce(fresh)
}
