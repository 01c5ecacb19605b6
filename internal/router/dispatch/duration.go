package dispatch

import (
	"math"
	"time"
)

// Duration of complete calls, which admission during a shutdown depends on. It is estimated by a smoothed mean and
// mean deviation, as TCP estimates its round-trip time (RFC 6298, section 2). The duration of a stream is measured
// per token of its maximum output. Each model has estimates of its own: the models of a service may differ in speed by
// any factor, so calls of one tell nothing about those of another.

const (
	durationMeanGain      = 0.125 // weight of a new sample in the mean
	durationDeviationGain = 0.25  // weight of a new sample in the mean deviation
	deviationFactor       = 4.0   // hardly any call lasts longer than the mean plus this many mean deviations
	minDurationSamples    = 3     // before an estimate is used
)

// durationBound estimates an upper bound for the duration of calls of one kind, in ms per work unit.
type durationBound struct {
	mean, deviation float64
	count           int
}

// add records the duration of one call.
func (l *durationBound) add(sample float64) {
	if l.count++; l.count == 1 {
		l.mean, l.deviation = sample, sample/2
		return
	}
	l.deviation += (math.Abs(sample-l.mean) - l.deviation) * durationDeviationGain
	l.mean += (sample - l.mean) * durationMeanGain
}

// upperBound returns a duration that hardly any call exceeds; false if there are too few samples.
func (l *durationBound) upperBound() (float64, bool) {
	return l.mean + deviationFactor*l.deviation, l.count >= minDurationSamples
}

// durationBounds holds the estimates for streams and for other calls.
type durationBounds struct{ streams, others durationBound }

// forRequest returns the estimate for calls of the request's kind.
func (l *durationBounds) forRequest(r *request) *durationBound {
	if r.Streaming {
		return &l.streams
	}
	return &l.others
}

// workUnits returns by how many units the duration of the request's call is divided: the maximum of output tokens for
// a stream, 1 for other calls.
func (r *request) workUnits() float64 {
	if r.Streaming && r.OutputTokens > 0 {
		return float64(r.OutputTokens)
	}
	return 1
}

// learnDurationBound records the duration of a call that served its request from the beginning to the end.
func (d *Decider) learnDurationBound(r *request) {
	if r.Resumed || r.possibleExecutions > 1 { // it may have lasted only for the rest of a stream
		return
	}
	r.group.durationBounds.forRequest(r).add(milliseconds(d.now-r.sentAt) / r.workUnits())
}

// maxExpectedDuration returns the maximum duration expected of a call of the request; false while too little is known of
// such calls. A latency target is no expectation: it states what is wanted, not what happens.
func (d *Decider) maxExpectedDuration(r *request) (time.Duration, bool) {
	upper, known := r.group.durationBounds.forRequest(r).upperBound()
	if !known {
		return 0, false
	}
	return time.Duration(upper * r.workUnits() * float64(time.Millisecond)), true
}
