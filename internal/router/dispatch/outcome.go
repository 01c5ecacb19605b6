package dispatch

import "time"

// Outcomes: how requests ended, and why served requests were late. They are counted for the log, since neither
// clients nor endpoints can tell where the time was lost.

// outcomeInterval is the minimum interval between two summaries.
const outcomeInterval = 10 * time.Second

// LateCause is why a served request was late. If several causes apply, the first one counts.
type LateCause uint8

// Causes of lateness.
const (
	LateByRetry    LateCause = iota // the first event was late, and an earlier attempt had failed
	LateByLoad                      // the first event was late, mostly because the request was queued here until a model or adapter was loaded
	LateByQueue                     // the first event was late, mostly because the request was queued here until an endpoint was available
	LateByEndpoint                  // the first event was late, mostly because of the time at the endpoint
	LateByGap                       // the first event was in time, but the time between two events was too long
	lateCauseCount = iota
)

// String returns the cause's name in the log.
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

// Outcomes counts requests that have ended, by outcome.
type Outcomes struct {
	Served   uint64                   // answered completely, including late answers
	Late     [lateCauseCount]uint64   // the late ones of Served, by LateCause
	Rejected [ShuttingDown + 1]uint64 // by Reason
	Failed   uint64                   // neither served nor rejected by this router
}

// minus returns the difference to earlier counts.
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

// outcomeLog holds the outcomes counted since the start, and those of them that were emitted.
type outcomeLog struct {
	counted, emitted Outcomes // counted.Rejected is not used: rejections are counted in Counters
	emittedAt        time.Duration
}

// recordOutcome counts a request whose last attempt has ended.
func (d *Decider) recordOutcome(r *request, input AttemptFinished) {
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

// lateCause returns why a served request was late; false if it was in time.
func (d *Decider) lateCause(r *request, longestGap time.Duration) (LateCause, bool) {
	answeredAt := r.firstByteAt
	if !r.Streaming || answeredAt == 0 {
		answeredAt = d.now
	}
	switch {
	case answeredAt <= r.latencyTarget:
		return LateByGap, r.EventGapTarget > 0 && longestGap > r.EventGapTarget
	case r.deliveries > 1:
		return LateByRetry, true
	case r.sentAt-r.arrived <= answeredAt-r.sentAt:
		return LateByEndpoint, true
	case r.waitedForLoad:
		return LateByLoad, true
	}
	return LateByQueue, true
}

// emitOutcomes emits a summary if one is due and some request was not served in time. It schedules no step, so that
// an idle router is not woken up for it.
func (d *Decider) emitOutcomes() {
	log := &d.outcomes
	if d.now-log.emittedAt < outcomeInterval {
		return
	}
	counted := log.counted
	counted.Rejected = d.counters.Rejected
	difference := counted.minus(log.emitted)
	onlyInTime := Outcomes{Served: difference.Served}
	if difference == onlyInTime {
		return
	}
	d.outputs = append(d.outputs, Summary{Window: d.now - log.emittedAt, Outcomes: difference})
	log.emitted, log.emittedAt = counted, d.now
}
