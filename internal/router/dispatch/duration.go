package dispatch

import (
	"math"
	"time"
)

// Duration of complete calls, needed at shutdown: smoothed mean and mean deviation, as TCP estimates its round-trip time (RFC 6298,
// section 2). A stream is measured per token of its maximum output.

const (
	durationMeanGain      = 0.125 // weight of a new call in the mean
	durationDeviationGain = 0.25  // and in the mean deviation
	deviationFactor       = 4.0   // of the deviation above the mean: hardly any call lasts longer
	minDurationSamples    = 3     // before an estimate counts
)

// durationBound estimates an upper bound of the calls of one kind, in ms per unit of their size.
type durationBound struct {
	mean, deviation float64
	count           int
}

// add takes in one call.
func (l *durationBound) add(x float64) {
	if l.count++; l.count == 1 {
		l.mean, l.deviation = x, x/2
		return
	}
	l.deviation += (math.Abs(x-l.mean) - l.deviation) * durationDeviationGain
	l.mean += (x - l.mean) * durationMeanGain
}

// upperBound returns what hardly any call exceeds; false if too little is known.
func (l *durationBound) upperBound() (float64, bool) {
	return l.mean + deviationFactor*l.deviation, l.count >= minDurationSamples
}

// durationBounds are the estimates for streams and for other calls.
type durationBounds struct{ streams, others durationBound }

// forRequest returns the estimate for requests of this kind.
func (l *durationBounds) forRequest(r *request) *durationBound {
	if r.Streaming {
		return &l.streams
	}
	return &l.others
}

// workUnits returns the size by which the duration of the request's call is measured.
func (r *request) workUnits() float64 {
	if r.Streaming && r.OutputTokens > 0 {
		return float64(r.OutputTokens)
	}
	return 1
}

// learnDurationBound learns from a call that served its request from the beginning to the end.
func (d *Decider) learnDurationBound(r *request) {
	if r.possibleExecutions > 1 { // it may have resumed what another endpoint began
		return
	}
	x := milliseconds(d.now-r.sentAt) / r.workUnits()
	r.group.durationBounds.forRequest(r).add(x)
	r.group.service.durationBounds.forRequest(r).add(x)
}

// maxExpectedDuration returns how long a call of the request is expected to last at most; false if nothing is known. Calls other than
// streams are expected to meet their latency target while nothing is known.
func (d *Decider) maxExpectedDuration(r *request) (time.Duration, bool) {
	upper, known := r.group.durationBounds.forRequest(r).upperBound()
	if !known {
		upper, known = r.group.service.durationBounds.forRequest(r).upperBound()
	}
	switch {
	case known:
		return time.Duration(upper * r.workUnits() * float64(time.Millisecond)), true
	case r.Streaming:
		return 0, false
	}
	return r.latencyTarget - r.arrived, true
}
