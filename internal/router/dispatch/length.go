package dispatch

import (
	"math"
	"time"
)

// How long whole calls last, for the end of the process: smoothed mean and mean deviation, as TCP estimates the time of a
// round trip. A stream is counted by the tokens that it may put out.
const (
	durationMeanGain      = 0.125 // weight of a new call in the mean
	durationDeviationGain = 0.25  // and in the mean deviation
	deviationFactor       = 4.0   // above the mean: hardly any call lasts longer
	minDurationSamples    = 3     // calls, before an estimate counts
)

// durationBound is what was learned of the calls of one kind, in ms for each unit of their size.
type durationBound struct {
	mean, deviation float64
	count           int
}

func (l *durationBound) add(x float64) {
	if l.count++; l.count == 1 {
		l.mean, l.deviation = x, x/2
		return
	}
	l.deviation += (math.Abs(x-l.mean) - l.deviation) * durationDeviationGain
	l.mean += (x - l.mean) * durationMeanGain
}

// upperBound is what hardly any call exceeds, false where too little is known.
func (l *durationBound) upperBound() (float64, bool) {
	return l.mean + deviationFactor*l.deviation, l.count >= minDurationSamples
}

// durationBounds are those of streams and of other calls.
type durationBounds struct{ streams, others durationBound }

func (l *durationBounds) forRequest(r *request) *durationBound {
	if r.Streaming {
		return &l.streams
	}
	return &l.others
}

// workUnits is the size by which the length of the request's call is counted.
func (r *request) workUnits() float64 {
	if r.Streaming && r.OutputTokens > 0 {
		return float64(r.OutputTokens)
	}
	return 1
}

// learnDurationBound learns from a call that served its request from the beginning to the end.
func (d *Decider) learnDurationBound(r *request) {
	if r.possibleExecutions > 1 { // it may have gone on where another broke off
		return
	}
	x := milliseconds(d.now-r.sentAt) / r.workUnits()
	r.group.durationBounds.forRequest(r).add(x)
	r.group.service.durationBounds.forRequest(r).add(x)
}

// maxExpectedDuration is how long a call of the request may be expected to last at most, false where nothing is known. Of other calls
// than streams it is known what they are meant to take.
func (d *Decider) maxExpectedDuration(r *request) (time.Duration, bool) {
	most, known := r.group.durationBounds.forRequest(r).upperBound()
	if !known {
		most, known = r.group.service.durationBounds.forRequest(r).upperBound()
	}
	switch {
	case known:
		return time.Duration(most * r.workUnits() * float64(time.Millisecond)), true
	case r.Streaming:
		return 0, false
	}
	return r.latencyTarget - r.arrived, true
}
