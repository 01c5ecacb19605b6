package placer

import (
	"math"
	"slices"
	"time"
)

// Gains and losses are in requests of middle priority; a rate counts over the planning horizon.
const (
	planningHorizonS   = 10.0 // seconds for which the present demand is expected to last
	missLoss           = 0.4  // share of its value that a request loses that finds no replica and waits for a load
	redundancyShare    = 0.05 // share of a model's demand at stake while a single endpoint serves it
	adapterMissLoss    = 0.3  // share of its value that a request loses that finds its adapter not loaded
	minNetGain         = 0.4  // hysteresis: by so much a change must bring more than it costs
	delayLossPerS      = 0.03 // loss for each second until the replica serves
	packingBonus       = 0.05 // for a replica that fills the endpoint's memory
	zoneBonus          = 0.1  // for the first replica in a zone
	waitingGrowthPerS  = 0.5  // growth of a waiting request's weight, for each second that it has waited
	maxWaitingRequests = 5.0  // waiting and unserved requests that count for a model's first replica
)

// candidate is a change that may be made: the endpoint loads the model after the evictions.
type candidate struct {
	placement *modelPlacement
	endpoint  *endpoint
	evictions []string // models to unload first
	gain      float64  // of the model's requests
	loss      float64  // of the evicted models' requests
	score     float64
}

// highestScore bounds the candidate's score from above before its evictions are known, so that hopeless ones are left
// out early.
func (p *Placer) highestScore(c *candidate) float64 {
	return c.gain + packingBonus - p.config.LoadCost - p.config.OrderCost - minNetGain
}

// score is what the change brings beyond what it costs.
func (p *Placer) score(f *fleet, c *candidate) float64 {
	cost := p.config.LoadCost + p.config.OrderCost*float64(1+len(c.evictions))
	score := c.gain - c.loss - cost - minNetGain
	score -= delayLossPerS * p.loadTime(f, c.endpoint, c.placement.model).Seconds() * (1 + waitingRequests(c.placement))
	if p.uses(Packing) {
		score += f.packingScore(c)
	}
	return score
}

// gain is what one more replica of the model at the endpoint brings. The utilizations are those of the model's
// endpoints by other models, sorted.
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
	sum := planningHorizonS * (rate + p.redundancyGain(m) + m.adapterGain)
	if p.uses(ZoneSpread) && !m.hasReplicaInZone(e.Zone) {
		sum += zoneBonus
	}
	return sum
}

// redundancyGain is the value a second of a second replica, against the loss of the first.
func (p *Placer) redundancyGain(m *modelPlacement) float64 {
	if len(m.replicas) != 1 || !p.uses(Redundancy) {
		return 0
	}
	return redundancyShare * m.projectedRate * m.demand.value
}

// waitingRequests is how many requests count as waiting for the model's first replica.
func waitingRequests(m *modelPlacement) float64 {
	if len(m.replicas) > 0 {
		return 0
	}
	return math.Min(maxWaitingRequests, m.demand.unmet+float64(m.demand.waiting))
}

// packingScore prefers the endpoint whose memory is filled best: from nothing to packingBonus.
func (f *fleet) packingScore(c *candidate) float64 {
	left := f.freeMemoryMB(c.endpoint) - f.models[c.placement.model].WeightsMB
	for _, model := range c.evictions {
		left += f.modelMemoryMB(c.endpoint.find(model))
	}
	return packingBonus * (1 - left/f.engine.WeightMemoryMB)
}

// sortedUtilizations returns the utilization by other models of the model's endpoints, sorted.
func sortedUtilizations(m *modelPlacement) []float64 {
	utilizations := m.otherUtilizations(nil)
	slices.Sort(utilizations)
	return utilizations
}
