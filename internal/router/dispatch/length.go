package dispatch

import (
	"math"
	"time"
)

// How long whole calls last, for the end of the process: smoothed mean and mean deviation, as TCP estimates the time of a
// round trip. A stream is counted by the tokens that it may put out.
const (
	lengthMemory    = 0.125 // weight of a new call in the mean
	deviationMemory = 0.25  // and in the mean deviation
	deviations      = 4.0   // above the mean: hardly any call lasts longer
	leastLengths    = 3     // calls, before an estimate counts
)

// length is what was learned of the calls of one kind, in ms for each unit of their size.
type length struct {
	mean, deviation float64
	count           int
}

func (l *length) add(x float64) {
	if l.count++; l.count == 1 {
		l.mean, l.deviation = x, x/2
		return
	}
	l.deviation += (math.Abs(x-l.mean) - l.deviation) * deviationMemory
	l.mean += (x - l.mean) * lengthMemory
}

// most is what hardly any call exceeds, false where too little is known.
func (l *length) most() (float64, bool) {
	return l.mean + deviations*l.deviation, l.count >= leastLengths
}

// lengths are those of streams and of other calls.
type lengths struct{ streams, others length }

func (l *lengths) of(r *request) *length {
	if r.Streaming {
		return &l.streams
	}
	return &l.others
}

// units is the size by which the length of the request's call is counted.
func (r *request) units() float64 {
	if r.Streaming && r.OutputTokens > 0 {
		return float64(r.OutputTokens)
	}
	return 1
}

// lasted learns from a call that served its request from the beginning to the end.
func (d *Decider) lasted(r *request) {
	if r.runs > 1 { // it may have gone on where another broke off
		return
	}
	x := milliseconds(d.now-r.sentAt) / r.units()
	r.group.lengths.of(r).add(x)
	r.group.service.lengths.of(r).add(x)
}

// longest is how long a call of the request may be expected to last at most, false where nothing is known. Of other calls
// than streams it is known what they are meant to take.
func (d *Decider) longest(r *request) (time.Duration, bool) {
	most, known := r.group.lengths.of(r).most()
	if !known {
		most, known = r.group.service.lengths.of(r).most()
	}
	switch {
	case known:
		return time.Duration(most * r.units() * float64(time.Millisecond)), true
	case r.Streaming:
		return 0, false
	}
	return r.objective - r.arrived, true
}
