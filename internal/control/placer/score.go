package placer

import (
	"math"
	"slices"
	"time"
)

// Gains and losses are in requests of middle priority. Rates are multiplied by the planning horizon.
const (
	planningHorizonS   = 10.0 // seconds for which the current demand is expected to last
	missLoss           = 0.4  // share of its value that a request loses if it finds no replica and waits for a load
	redundancyShare    = 0.05 // share of a model's demand that is at risk while a single endpoint serves it
	adapterMissLoss    = 0.3  // share of its value that a request loses if its adapter is not loaded
	minNetGain         = 0.4  // hysteresis: minimum gain of a change beyond its losses and costs
	delayLossPerS      = 0.03 // loss for each second until the replica serves
	packingBonus       = 0.05 // maximum bonus for a replica that fills the endpoint's memory
	zoneBonus          = 0.1  // for the first replica in a zone
	waitingGrowthPerS  = 0.5  // growth of a waiting request's weight for each second of waiting
	maxWaitingRequests = 5.0  // maximum of the waiting and unserved requests that count for a model's first replica
)

// candidate is a possible change: the endpoint unloads the evictions, then loads the model.
type candidate struct {
	placement *modelPlacement
	endpoint  *endpoint
	evictions []string // models to unload first
	gain      float64  // for the requests of the loaded model
	loss      float64  // for the requests of the evicted models
	score     float64
}

// scoreUpperBound returns an upper bound of the candidate's score before its evictions are known, so that candidates
// that cannot win are skipped early.
func (p *Placer) scoreUpperBound(c *candidate) float64 {
	return c.gain + packingBonus - p.config.LoadCost - p.config.OrderCost - minNetGain
}

// score returns by how much the gain of the change exceeds its losses, its costs and minNetGain.
func (p *Placer) score(f *fleet, c *candidate) float64 {
	cost := p.config.LoadCost + p.config.OrderCost*float64(1+len(c.evictions))
	score := c.gain - c.loss - cost - minNetGain
	score -= delayLossPerS * p.loadTime(f, c.endpoint, c.placement.model).Seconds() * (1 + waitingRequests(c.placement))
	if p.uses(Packing) {
		score += f.packingScore(c)
	}
	return score
}

// gain returns the gain of one more replica of the model at the endpoint. utilizations are the sorted utilizations of
// the endpoints that have the model, counting only the load of other models.
func (p *Placer) gain(now time.Time, m *modelPlacement, e *endpoint, utilizations []float64) float64 {
	d := m.demand
	valueAfter := valueAt(fairLevelWith(utilizations, e.utilization, m.offeredLoad))
	if len(m.replicas) == 0 {
		weight := 1.0
		if p.uses(WaitingGrowth) && !d.waitingSince.IsZero() {
			weight += waitingGrowthPerS * now.Sub(d.waitingSince).Seconds()
		}
		waiting := waitingRequests(m) * d.value * weight
		return waiting + planningHorizonS*math.Max(m.projectedRate, m.longTermRate)*(missLoss*d.value+p.config.LoadCost)*valueAfter
	}
	rate := m.projectedRate * d.value * (valueAfter - valueAt(m.fairLevel))
	gain := planningHorizonS * (rate + p.redundancyGain(m) + m.adapterGain)
	if p.uses(ZoneSpread) && !m.hasReplicaInZone(e.Zone) {
		gain += zoneBonus
	}
	return gain
}

// redundancyGain returns the gain per second of a second replica as protection against the loss of the first.
func (p *Placer) redundancyGain(m *modelPlacement) float64 {
	if len(m.replicas) != 1 || !p.uses(Redundancy) {
		return 0
	}
	return redundancyShare * m.projectedRate * m.demand.value
}

// waitingRequests returns how many requests count as waiting for the model's first replica.
func waitingRequests(m *modelPlacement) float64 {
	if len(m.replicas) > 0 {
		return 0
	}
	return math.Min(maxWaitingRequests, m.demand.unmet+float64(m.demand.waiting))
}

// packingScore returns the bonus for filling the endpoint's memory: the less memory remains free, the closer it is to
// packingBonus.
func (f *fleet) packingScore(c *candidate) float64 {
	freeMB := f.freeMemoryMB(c.endpoint) - f.models[c.placement.model].WeightsMB
	for _, model := range c.evictions {
		freeMB += f.modelMemoryMB(c.endpoint.find(model))
	}
	return packingBonus * (1 - freeMB/f.engine.WeightMemoryMB)
}

// sortedUtilizations returns the sorted utilizations of the endpoints that have the model, counting only the load of
// other models.
func sortedUtilizations(m *modelPlacement) []float64 {
	utilizations := m.otherUtilizations(nil)
	slices.Sort(utilizations)
	return utilizations
}
