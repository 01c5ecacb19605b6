package placer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// replica is a model that is loaded at an endpoint, or will be by a load that is in progress or planned.
type replica struct {
	endpoint *endpoint
	share    float64 // share of the endpoint's time that the model's requests take
}

// modelPlacement is one model's expected demand and the replicas that serve it.
type modelPlacement struct {
	model         string
	demand        *demand // nil: it has not been requested
	projectedRate float64 // expected requests per second when a load that starts now ends
	longTermRate  float64 // requests per second
	offeredLoad   float64 // endpoint seconds per second that the projected rate takes
	replicas      []replica
	fairLevel     float64 // utilization of the endpoints that take its requests; infinite without replicas

	unloadStalled bool    // an unload that frees memory for the model is waiting for running requests
	adapterGain   float64 // value per second of the adapter slots that one more replica brings
}

// placementTable contains the placements of all models of a fleet during one step.
type placementTable struct {
	placements []*modelPlacement // sorted by model
	byModel    map[string]*modelPlacement

	// Cached for one selection of the best change; see prepareSelection.
	serving          map[string]int                 // number of endpoints that serve a model now
	evictable        map[*endpoint][]evictableModel // computed when first needed
	storeLoadAllowed bool                           // the load rate limit allows one more load
}

// newPlacementTable builds the table from the current state: the expected demand, the replicas, and the resulting
// utilization of the endpoints.
func (p *Placer) newPlacementTable(now time.Time, f *fleet) *placementTable {
	table := &placementTable{byModel: make(map[string]*modelPlacement, len(f.models))}
	observed := p.demand.observedFor(now)
	for name := range f.models {
		m := p.expectedDemand(f, name, observed)
		table.placements = append(table.placements, m)
		table.byModel[name] = m
	}
	slices.SortFunc(table.placements, func(x, y *modelPlacement) int { return cmp.Compare(x.model, y.model) })
	table.addReplicas(now, f)
	for _, m := range table.placements {
		if m.demand != nil {
			m.adapterGain = p.adapterSlotValue(now, f, m, observed)
		}
	}
	table.distributeLoads()
	return table
}

// expectedDemand returns a model's placement without replicas.
func (p *Placer) expectedDemand(f *fleet, model string, observed time.Duration) *modelPlacement {
	m := &modelPlacement{model: model, demand: p.demand.models[f.name][model], longTermRate: initialRate}
	if d := m.demand; d != nil {
		total := p.demand.totalOf(f.name)
		loadTime := time.Duration(f.models[model].LoadTimeSeconds * float64(time.Second))
		m.projectedRate = d.projectedRate(total.fastRate, total.slowRate, observed, loadTime)
		if !p.uses(DemandTrend) {
			m.projectedRate = d.slowRate.rate(observed, slowTimeConstant)
		}
		m.longTermRate = d.longTermRate(observed)
		m.offeredLoad = m.projectedRate * f.requestTime(d, observed)
	}
	return m
}

// addReplicas adds to each model the endpoints that serve it, now or soon, ordered by ID.
func (t *placementTable) addReplicas(now time.Time, f *fleet) {
	for _, e := range f.sortedEndpoints {
		e.utilization = 0
		if e.unloadStalled(now) && t.byModel[e.plan.target] != nil {
			t.byModel[e.plan.target].unloadStalled = true
		}
		if !e.isReady() {
			continue
		}
		for i := range e.models {
			if e.willServe(e.models[i].model) {
				t.addReplica(e.models[i].model, e)
			}
		}
		if target := e.incomingModel(); target != "" && e.find(target) == nil && !e.unloadStalled(now) {
			t.addReplica(target, e)
		}
	}
}

// addReplica adds a replica without a share. It ignores models that are not configured, which have no placement.
func (t *placementTable) addReplica(model string, e *endpoint) {
	if m := t.byModel[model]; m != nil {
		m.replicas = append(m.replicas, replica{endpoint: e})
	}
}

// prepareSelection computes the values that the selection of one change uses for many models and endpoints.
func (t *placementTable) prepareSelection(f *fleet, storeLoadAllowed bool) {
	t.storeLoadAllowed = storeLoadAllowed
	t.evictable = make(map[*endpoint][]evictableModel)
	t.serving = make(map[string]int, len(t.placements))
	for _, e := range f.sortedEndpoints {
		for i := range e.models {
			if model := e.models[i].model; e.isServing(model) {
				t.serving[model]++
			}
		}
	}
}

// hasRunningRequests reports whether the model's replicas have more than half a running request each on average.
func (m *modelPlacement) hasRunningRequests() bool {
	return m.demand != nil && float64(m.demand.running) > 0.5*float64(len(m.replicas))
}

func (m *modelPlacement) hasReplicaInZone(zone string) bool {
	return slices.ContainsFunc(m.replicas, func(r replica) bool { return r.endpoint.Zone == zone })
}

// removeReplica removes the endpoint's replica, and subtracts its share from the endpoint's utilization.
func (m *modelPlacement) removeReplica(e *endpoint) {
	m.replicas = slices.DeleteFunc(m.replicas, func(r replica) bool {
		if r.endpoint == e {
			e.utilization -= r.share
		}
		return r.endpoint == e
	})
}

// distributionPasses is how often each model's load is redistributed, given the loads of the other models.
const distributionPasses = 2

// distributeLoads distributes each model's load over its replicas; the less an endpoint is utilized, the more load it
// takes. Models with few replicas come first, because they have the fewest alternatives.
func (t *placementTable) distributeLoads() {
	order := slices.Clone(t.placements)
	slices.SortStableFunc(order, func(x, y *modelPlacement) int { return cmp.Compare(len(x.replicas), len(y.replicas)) })
	for range distributionPasses {
		for _, m := range order {
			m.distributeLoad()
		}
	}
}

// distributeLoad removes the model's load from its endpoints and distributes it again, up to their fair level.
func (m *modelPlacement) distributeLoad() {
	for i := range m.replicas {
		m.replicas[i].endpoint.utilization -= m.replicas[i].share
		m.replicas[i].share = 0
	}
	if len(m.replicas) == 0 {
		m.fairLevel = math.Inf(1)
		return
	}
	utilizations := make([]float64, len(m.replicas))
	for i := range m.replicas {
		utilizations[i] = m.replicas[i].endpoint.utilization
	}
	m.fairLevel = fairLevel(utilizations, m.offeredLoad)
	for i := range m.replicas {
		share := max(0, m.fairLevel-m.replicas[i].endpoint.utilization)
		m.replicas[i].share = share
		m.replicas[i].endpoint.utilization += share
	}
}

// otherUtilizations returns the utilizations of the endpoints that have the model, except for the excluded endpoint,
// counting only the load of other models.
func (m *modelPlacement) otherUtilizations(excluded *endpoint) []float64 {
	utilizations := make([]float64, 0, len(m.replicas)+1)
	for _, r := range m.replicas {
		if r.endpoint != excluded {
			utilizations = append(utilizations, r.endpoint.utilization-r.share)
		}
	}
	return utilizations
}

// fairLevelWithout returns the model's fair level without one endpoint, infinite if it is the only one.
func (m *modelPlacement) fairLevelWithout(e *endpoint) float64 {
	utilizations := m.otherUtilizations(e)
	if len(utilizations) == 0 {
		return math.Inf(1)
	}
	return fairLevel(utilizations, m.offeredLoad)
}
