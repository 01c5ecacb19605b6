package placer

import (
	"math"
	"time"
)

// Value of being served, by the utilization of the endpoints that serve.
const (
	latenessLoss  = 0.6 // share of its value that a late answer loses
	latenessSlope = 5.0 // latency target in times of one prefill: how steeply lateness grows as the utilization nears 1
	overloadValue = 0.4 // share of the value that is left at utilization 1, where every answer is late

	loadValueSteps    = 128 // of utilization up to 1, between which the value is interpolated
	minPrefillMS      = 1.0 // of a request, below which prefills cause no pauses
	decodeGapFraction = 0.1 // of the target for the gap between two events, taken by the decoding itself
	maxPrefillLoad    = 0.98
)

// prefillLoad says how prefills make the running streams of a fleet's endpoints pause: an engine prefills prompts between the
// tokens of running streams. The zero value stands for a fleet without pauses.
type prefillLoad struct {
	share     float64 // of the utilization that is prefill
	requestMS float64 // mean prefill of a request
	streamMS  float64 // mean time that a stream runs
	gapMS     float64 // time for prefill between two events that are in time
}

// pausedStreams is the share of streams with a gap that is too long, at endpoints of the given utilization. A stream meets
// as many prefills as arrive while it runs; a gap is too long when one of these finds more work than fits into it. Prefills
// are taken as an M/M/1 queue: the work found exceeds t with the probability load * exp(-(1-load) * t / mean).
func (l *prefillLoad) pausedStreams(utilization float64) float64 {
	if l.requestMS < minPrefillMS || l.gapMS <= 0 {
		return 0
	}
	load := min(utilization*l.share, maxPrefillLoad)
	arrivals := load * l.streamMS / l.requestMS
	tooLong := load * math.Exp(-(1-load)*l.gapMS/l.requestMS)
	return 1 - math.Exp(-arrivals*tooLong)
}

// loadValue is the share of their value that requests earn, by the utilization of the endpoints that serve them. An answer is
// late when its first event is, or when a gap between two events is too long.
type loadValue struct {
	pauses      bool                        // gaps between events count
	pausedTable [loadValueSteps + 1]float64 // share of paused streams, by utilization up to 1
}

// newLoadValue returns the value with the pauses that prefills cause.
func newLoadValue(prefills prefillLoad) *loadValue {
	value := &loadValue{pauses: true}
	for i := range value.pausedTable {
		value.pausedTable[i] = prefills.pausedStreams(float64(i) / loadValueSteps)
	}
	return value
}

// at returns the value at a utilization.
func (v *loadValue) at(utilization float64) float64 {
	if utilization >= 1 {
		return overloadValue / utilization
	}
	firstEventLate := utilization * math.Exp(-latenessSlope*(1-utilization))
	if !v.pauses {
		return 1 - latenessLoss*firstEventLate
	}
	return 1 - latenessLoss*(1-(1-firstEventLate)*(1-v.paused(utilization)))
}

// paused interpolates the share of paused streams.
func (v *loadValue) paused(utilization float64) float64 {
	position := max(utilization, 0) * loadValueSteps
	below := int(position)
	return v.pausedTable[below] + (v.pausedTable[below+1]-v.pausedTable[below])*(position-float64(below))
}

// prefillLoadOf returns what is known of a fleet's prefills, by the reports of the routers.
func (p *Placer) prefillLoadOf(f *fleet, table *placementTable, observed time.Duration) prefillLoad {
	total := p.demand.totalOf(f.name)
	rate := total.slowRate.rate(observed, slowTimeConstant)
	if rate < minLearningRate || f.eventGapTarget <= 0 {
		return prefillLoad{}
	}
	running, offered := 0, 0.0
	for _, m := range table.placements {
		if m.demand != nil {
			running += m.demand.running
			offered += m.demand.slowRate.rate(observed, slowTimeConstant) * f.requestTime(m.demand, observed)
		}
	}
	if offered <= 0 {
		return prefillLoad{}
	}
	const msPerSecond = 1000
	prefillMS := total.prefillRate.rate(observed, slowTimeConstant)
	return prefillLoad{
		share:     prefillMS / msPerSecond / offered,
		requestMS: prefillMS / rate,
		streamMS:  float64(running) / rate * msPerSecond,
		gapMS:     (1 - decodeGapFraction) * float64(f.eventGapTarget) / float64(time.Millisecond),
	}
}
