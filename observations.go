package raventrestle

import (
	"slices"
	"time"
)

// ApplyRetryAfter sends nothing to the target's route until the given time. It applies a retry-after time that another
// process of this forwarder received.
func (p *Policy) ApplyRetryAfter(target TargetID, until time.Duration) {
	if t := p.targets[target]; t != nil {
		t.route.waitUntil = max(t.route.waitUntil, until)
	}
}

// PeerObservation is what other forwarders have observed of a target and its route, with the time of each observation.
// Zero fields mean that nothing was observed.
type PeerObservation struct {
	Target    TargetID
	WaitUntil time.Duration // end of a retry-after time that one of them received, on the clock of Step
	Limit     float64       // calls per second from all forwarders, as reported to one of them; 0 for none
	LimitAt   time.Duration // when the limit was reported
	OutageAt  time.Duration // when one of them detected an outage whose end none has detected; 0 for none
	Applied   AppliedParts  // parts that changed the state; set by ApplyObservations
}

// AppliedParts are the parts of a PeerObservation that changed the state.
type AppliedParts uint8

// The parts of a PeerObservation.
const (
	AppliedWait AppliedParts = 1 << iota
	AppliedLimit
	AppliedOutage
)

// ApplyObservations applies what other forwarders have observed and sets Applied in each observation. It only
// restricts sending and never permits more, so it may be called at any time and repeatedly.
//   - A retry-after time applies to the route as in ApplyRetryAfter and never shortens one.
//   - A limit applies if no report has set the route's limit, if it is younger than WarmupDuration, and if no
//     target of the route is half-open or in slow start, since the rates of those also depend on the limit. It
//     never raises a rate or a listed limit. It allows at least one call in the longest deadline, so that this
//     forwarder can still receive the real limit if the observed one is wrong.
//   - An outage makes the next call to the target a trial, if it is younger than WarmupDuration and no call has
//     been answered there since. The end of an outage is ignored: this forwarder finds it by its own trials.
func (p *Policy) ApplyObservations(now time.Duration, observations []PeerObservation) {
	recent := func(at time.Duration) bool { return at > 0 && now-at < p.settings.WarmupDuration }
	for i := range observations {
		observation := &observations[i]
		observation.Applied = 0
		t := p.targets[observation.Target]
		if t == nil {
			continue
		}
		r := t.route
		if observation.WaitUntil > r.waitUntil {
			r.waitUntil, observation.Applied = observation.WaitUntil, AppliedWait
		}
		limit, allHealthy := max(observation.Limit, 2/p.maxDeadline.Seconds()),
			!slices.ContainsFunc(r.targets, func(x *target) bool { return x.health != healthy })
		if observation.Limit > 0 && recent(observation.LimitAt) && !r.limitReported && allHealthy &&
			(r.limit == 0 || limit < r.limit) {
			oldRate := r.rate
			observation.Applied |= AppliedLimit
			if p.setLimit(r, limit); oldRate > 0 {
				r.rate = min(r.rate, oldRate)
			}
		}
		if recent(observation.OutageAt) && t.lastAnsweredAt < observation.OutageAt &&
			t.health != halfOpen && t.failuresInRow < 1 {
			t.failuresInRow = 1
			observation.Applied |= AppliedOutage
		}
	}
}

// AdjustBusySlots adds delta, which may be negative, to the slots that another process of this forwarder uses.
func (p *Policy) AdjustBusySlots(delta int) { p.flows.BusySlots += delta }
