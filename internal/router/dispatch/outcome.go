package dispatch

import "time"

// Outcomes: what became of requests, and by which cause they were late. Counted for the log, since neither the client nor an endpoint
// can tell where the time was lost.

// outcomeInterval is the shortest time between two summaries.
const outcomeInterval = 10 * time.Second

// LateCause says what made a served request late. The first that applies counts.
type LateCause uint8

// Causes of lateness.
const (
	LateByRetry    LateCause = iota // the first event: an earlier attempt had failed
	LateByLoad                      // the first event: it waited longest here, for a model or adapter to be loaded
	LateByQueue                     // the first event: it waited longest here, for an endpoint with time
	LateByEndpoint                  // the first event: it waited longest at the endpoint
	LateByGap                       // the first event was in time, but the gap between two events was too long
	lateCauseCount = iota
)

// String returns the cause as the log names it.
func (c LateCause) String() string {
	switch c {
	case LateByRetry:
		return "retry"
	case LateByLoad:
		return "load"
	case LateByQueue:
		return "queue"
	case LateByEndpoint:
		return "endpoint"
	case LateByGap:
		return "gap"
	}
	return "unknown"
}

// Outcomes counts requests that ended, by what became of them.
type Outcomes struct {
	Served   uint64                   // completely, late ones included
	Late     [lateCauseCount]uint64   // by LateCause
	Rejected [ShuttingDown + 1]uint64 // by Reason
	Failed   uint64                   // neither served nor rejected by this router
}

// minus returns what was counted since an earlier moment.
func (o Outcomes) minus(earlier Outcomes) Outcomes {
	o.Served -= earlier.Served
	o.Failed -= earlier.Failed
	for i := range o.Late {
		o.Late[i] -= earlier.Late[i]
	}
	for i := range o.Rejected {
		o.Rejected[i] -= earlier.Rejected[i]
	}
	return o
}

// outcomeLog is what was counted, and what of it was passed on.
type outcomeLog struct {
	counted, emitted Outcomes // rejections are those of Counters
	emittedAt        time.Duration
}

// recordEnd counts a request whose last attempt has ended.
func (d *Decider) recordEnd(r *request, input AttemptFinished) {
	counted := &d.outcomes.counted
	if input.Result != Succeeded {
		counted.Failed++
		return
	}
	counted.Served++
	if cause, late := d.lateCause(r, input.LongestGap); late {
		counted.Late[cause]++
	}
}

// lateCause returns why a served request was late, and whether it was.
func (d *Decider) lateCause(r *request, longestGap time.Duration) (LateCause, bool) {
	answered := r.firstByteAt
	if !r.Streaming || answered == 0 {
		answered = d.now
	}
	switch {
	case answered <= r.latencyTarget:
		return LateByGap, r.EventGapTarget > 0 && longestGap > r.EventGapTarget
	case r.deliveries > 1:
		return LateByRetry, true
	case r.sentAt-r.arrived <= answered-r.sentAt:
		return LateByEndpoint, true
	case r.waitedForLoad:
		return LateByLoad, true
	}
	return LateByQueue, true
}

// emitOutcomes emits a summary if one is due and something was lost. It rides on other steps: an idle router doesn't wake for it.
func (d *Decider) emitOutcomes() {
	log := &d.outcomes
	if d.now-log.emittedAt < outcomeInterval {
		return
	}
	counted := log.counted
	counted.Rejected = d.counters.Rejected
	since := counted.minus(log.emitted)
	onlyInTime := Outcomes{Served: since.Served}
	if since == onlyInTime {
		return
	}
	d.outputs = append(d.outputs, Summary{Window: d.now - log.emittedAt, Outcomes: since})
	log.emitted, log.emittedAt = counted, d.now
}
