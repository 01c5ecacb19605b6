package placer

import (
	"math"
	"time"

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
	// recentDemandWindow is how long after its last request a model keeps its last replica.
	recentDemandWindow = 3 * time.Second
	// initialRate is the rate, in requests a second, that is assumed of a model that nobody has asked for yet.
	initialRate = 1.0 / 30
	// trendNoiseFactor is how many standard deviations of a model's share a trend must exceed; only the excess
	// counts.
	trendNoiseFactor = 0.7
	// minUnmetRequests is the decayed number of unserved requests above which a model without replicas is urgent.
	minUnmetRequests = 0.3
	// middlePriorityValue is what routers count for a request of middle priority: 10 less its priority.
	middlePriorityValue = 9
)

// decayingRate is an exponentially weighted average rate of events. Its sum decays with the time constant; dividing
// by the weight of the time observed so far corrects for the averages of a short observation.
type decayingRate struct {
	sum float64 // events, weighted by their age
}

func (r *decayingRate) decay(factor float64) { r.sum *= factor }
func (r *decayingRate) add(count float64)    { r.sum += count }

// rate is the events a second after an observation of the given length.
func (r *decayingRate) rate(observed, timeConstant time.Duration) float64 {
	weight := timeConstant.Seconds() * (1 - math.Exp(-observed.Seconds()/timeConstant.Seconds()))
	if weight <= 0 {
		return 0
	}
	return r.sum / weight
}

// demand is what routers report of the requests for one model, for one of its adapters, or for all models of a
// service.
type demand struct {
	fastRate, slowRate, longRate decayingRate // requests, over the three time constants
	tokenRate                    decayingRate // tokens of prompts and answers, over slowTimeConstant
	value                        float64      // of a request; one of middle priority has 1
	unmet                        float64      // requests that no replica served, decaying over unmetTimeConstant
	waiting, running             int          // requests queued at routers, and in flight at endpoints
	waitingSince                 time.Time    // since when requests have waited without a break, zero: none waits
	lastRequestAt                time.Time    // zero: there was none
	secondsPerToken              float64      // endpoint time of one token, 0: not learned yet
	adapters                     map[string]*demand
}

func newDemand() *demand { return &demand{value: 1, adapters: map[string]*demand{}} }

// adapter returns the demand for one of the model's adapters, adding it if there was none.
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

// count adds one row of a router's report. Its gauges, Queued and InFlight, are counted by the table.
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

// hasUnmetRequests reports whether requests wait or went unserved a moment ago.
func (d *demand) hasUnmetRequests() bool { return d.waiting > 0 || d.unmet > minUnmetRequests }

// isRecent reports whether the model is in use, so that its last replica must stay.
func (d *demand) isRecent(now time.Time) bool {
	return d.waiting > 0 || d.running > 0 || (!d.lastRequestAt.IsZero() && now.Sub(d.lastRequestAt) < recentDemandWindow)
}

// longTermRate is the average rate over longTimeConstant, after an observation of the given length. One request in
// 1/initialRate seconds is taken as observed before, so that the rate of a model that is hardly known begins at
// initialRate.
func (d *demand) longTermRate(observed time.Duration) float64 {
	const priorSeconds = 1 / initialRate
	weight := longTimeConstant.Seconds() * (1 - math.Exp(-observed.Seconds()/longTimeConstant.Seconds()))
	return (d.longRate.sum + 1) / (weight + priorSeconds)
}

// projectedRate is the rate to be expected after the time ahead, given the service's total rates over the fast and
// the slow time constant. The total is not extrapolated, only the model's share of it: demand moves from model to
// model faster than it grows. Noise of the share, as of a Poisson process over the fast time constant, does not count
// as a trend.
func (d *demand) projectedRate(totalFast, totalSlow decayingRate, observed, ahead time.Duration) float64 {
	fast, slow := totalFast.rate(observed, fastTimeConstant), totalSlow.rate(observed, slowTimeConstant)
	if fast <= 0 || slow <= 0 {
		return d.fastRate.rate(observed, fastTimeConstant)
	}
	share := d.fastRate.rate(observed, fastTimeConstant) / fast
	shareBefore := d.slowRate.rate(observed, slowTimeConstant) / slow
	deviation := math.Sqrt(math.Max(share, shareBefore) / (2 * fastTimeConstant.Seconds() * fast))
	rise := share - shareBefore
	rise -= math.Copysign(math.Min(math.Abs(rise), trendNoiseFactor*deviation), rise)
	slope := rise / (slowTimeConstant - fastTimeConstant).Seconds()
	future := shareBefore + slope*(slowTimeConstant+ahead).Seconds()
	return math.Min(1, math.Max(0, future)) * math.Max(fast, slow)
}
