package placer

import (
	"math"
	"time"

	"raventrestle/internal/portablemath"
	"raventrestle/internal/protocol"
)

// Time constants of the exponentially weighted averages.
const (
	fastTimeConstant  = 1 * time.Second
	slowTimeConstant  = 4 * time.Second
	longTimeConstant  = 20 * time.Second
	unmetTimeConstant = 3 * time.Second
)

const (
	// recentDemandWindow is how long after its last request a model counts as in use and keeps its last replica.
	recentDemandWindow = 3 * time.Second
	// initialRate is the rate, in requests per second, that is assumed for a model that has not been requested yet.
	initialRate = 1.0 / 30
	// trendNoiseFactor is how many standard deviations of a model's share a trend must exceed. Only the excess counts.
	trendNoiseFactor = 0.7
	// minUnmetRequests is the decayed number of unserved requests above which a model without replicas is urgent.
	minUnmetRequests = 0.3
	// middlePriorityValue is the value that routers report for a request of middle priority: 10 minus its priority.
	middlePriorityValue = 9
)

// decayingRate is an exponentially weighted average rate of events. Its sum decays with the time constant. Dividing the
// sum by the total weight of the time observed so far corrects the bias of a short observation.
type decayingRate struct {
	sum float64 // events, weighted by age
}

func (r *decayingRate) decay(factor float64) { r.sum *= factor }
func (r *decayingRate) add(count float64)    { r.sum += count }

// rate returns the events per second after an observation of the given length.
func (r *decayingRate) rate(observed, timeConstant time.Duration) float64 {
	weight := timeConstant.Seconds() * (1 - portablemath.Exp(-observed.Seconds()/timeConstant.Seconds()))
	if weight <= 0 {
		return 0
	}
	return r.sum / weight
}

// demand contains what routers report about the requests for one model, for one of its adapters, or for all models of a
// service.
type demand struct {
	fastRate, slowRate, longRate decayingRate // requests, with the three time constants
	tokenRate                    decayingRate // prompt and answer tokens, with slowTimeConstant
	value                        float64      // average value of a request; 1 for middle priority
	unmet                        float64      // requests that no replica served, decaying with unmetTimeConstant
	waiting, running             int          // requests queued at routers, and in flight at endpoints
	waitingSince                 time.Time    // when requests started to wait without interruption; zero: none is waiting
	lastRequestAt                time.Time    // zero: there was none
	secondsPerToken              float64      // endpoint time per token; 0: not learned yet
	adapters                     map[string]*demand
}

func newDemand() *demand { return &demand{value: 1, adapters: map[string]*demand{}} }

// adapter returns the demand for one of the model's adapters. It adds the adapter if there was no demand for it.
func (d *demand) adapter(name string) *demand {
	found := d.adapters[name]
	if found == nil {
		found = newDemand()
		d.adapters[name] = found
	}
	return found
}

// decay multiplies the averages by the factors, one for each time constant.
func (d *demand) decay(fast, slow, long, unmet float64) {
	d.fastRate.decay(fast)
	d.slowRate.decay(slow)
	d.tokenRate.decay(slow)
	d.longRate.decay(long)
	d.unmet *= unmet
	for _, adapter := range d.adapters {
		adapter.decay(fast, slow, long, unmet)
	}
}

// count adds one row of a router report. The demandTable counts the gauges of the row, Queued and InFlight.
func (d *demand) count(now time.Time, row protocol.ModelDemand) {
	requests := float64(row.Requests)
	d.fastRate.add(requests)
	d.slowRate.add(requests)
	d.longRate.add(requests)
	d.tokenRate.add(float64(row.Tokens))
	d.unmet += float64(row.Unserved)
	if row.Requests > 0 || row.Unserved > 0 {
		d.lastRequestAt = now
	}
	if row.Requests > 0 && row.Value > 0 {
		average := float64(row.Value) / requests / middlePriorityValue
		d.value += (average - d.value) * math.Min(1, requests/10)
	}
}

// hasUnmetRequests reports whether requests are waiting or have recently gone unserved.
func (d *demand) hasUnmetRequests() bool { return d.waiting > 0 || d.unmet > minUnmetRequests }

// isInUse reports whether the model is in use, so that its last replica must stay.
func (d *demand) isInUse(now time.Time) bool {
	return d.waiting > 0 || d.running > 0 || (!d.lastRequestAt.IsZero() && now.Sub(d.lastRequestAt) < recentDemandWindow)
}

// longTermRate returns the average rate over longTimeConstant after an observation of the given length. As a prior, it
// assumes one additional request in 1/initialRate seconds, so that the rate of a barely observed model starts at
// initialRate.
func (d *demand) longTermRate(observed time.Duration) float64 {
	const priorSeconds = 1 / initialRate
	weight := longTimeConstant.Seconds() * (1 - portablemath.Exp(-observed.Seconds()/longTimeConstant.Seconds()))
	return (d.longRate.sum + 1) / (weight + priorSeconds)
}

// projectedRate returns the rate expected at the given horizon, from the service's total rates over the fast and the
// slow time constant. It extrapolates the model's share of the total but not the total itself, because demand moves
// between models faster than it grows. Fluctuations of the share within the noise of a Poisson process over the fast
// time constant do not count as a trend.
func (d *demand) projectedRate(totalFast, totalSlow decayingRate, observed, horizon time.Duration) float64 {
	fast, slow := totalFast.rate(observed, fastTimeConstant), totalSlow.rate(observed, slowTimeConstant)
	if fast <= 0 || slow <= 0 {
		return d.fastRate.rate(observed, fastTimeConstant)
	}
	fastShare := d.fastRate.rate(observed, fastTimeConstant) / fast
	slowShare := d.slowRate.rate(observed, slowTimeConstant) / slow
	deviation := math.Sqrt(math.Max(fastShare, slowShare) / (2 * fastTimeConstant.Seconds() * fast))
	rise := fastShare - slowShare
	rise -= math.Copysign(math.Min(math.Abs(rise), trendNoiseFactor*deviation), rise)
	slope := rise / (slowTimeConstant - fastTimeConstant).Seconds()
	future := slowShare + slope*(slowTimeConstant+horizon).Seconds()
	return math.Min(1, math.Max(0, future)) * math.Max(fast, slow)
}
