package raventrestle

import (
	"slices"
	"time"
)

// PauseTarget makes the policy keep a wait that another process of this forwarder was told.
func (p *Policy) PauseTarget(target TargetID, until time.Duration) {
	if t := p.targets[target]; t != nil {
		t.r.until = max(t.r.until, until)
	}
}

// PeerObservation is what other couriers told of a target and its route: evidence with an age. The zero value says nothing.
type PeerObservation struct {
	Target    TargetID
	WaitUntil time.Duration // they were told to send nothing there until then, on the clock of Step
	Limit     float64       // calls a second from all forwarders, as one of them was told it; 0 for none
	LimitAt   time.Duration // when
	OutageAt  time.Duration // when one of them saw an outage of which none has seen the end; 0 for none
	Applied   AppliedParts  // what of it changed something; Advise fills it in
}

// AppliedParts is what of an Advice changed something.
type AppliedParts uint8

// The parts of an Advice.
const (
	AppliedWait AppliedParts = 1 << iota
	AppliedLimit
	AppliedOutage
)

// ApplyObservations takes in what others told, and notes in it what changed something. It holds back and never permits: it may come at any time and any number of times.
//   - A wait binds the route as Heed does, and never shortens one.
//   - A limit counts where reports told this life none of its own, while it is no older than ColdFor, and while no target
//     of the route is held off or in slow start, the paces of which go by the limit too. It never raises a pace or a
//     listed limit, and what it leaves is one call in the longest deadline, so that a wrong one does not bar this life
//     from being told a right one.
//   - An outage makes the next call to the target a trial, if it is younger than ColdFor and no call was answered there
//     since. Its end, told by others, changes nothing here: what this life was cautious of it tries itself.
func (p *Policy) ApplyObservations(now time.Duration, told []PeerObservation) {
	fresh := func(at time.Duration) bool { return at > 0 && now-at < p.set.WarmupDuration }
	for i := range told {
		a := &told[i]
		a.Applied = 0
		t := p.targets[a.Target]
		if t == nil {
			continue
		}
		r := t.r
		if a.WaitUntil > r.until {
			r.until, a.Applied = a.WaitUntil, AppliedWait
		}
		size, well := max(a.Limit, 2/p.longest.Seconds()), !slices.ContainsFunc(r.targets, func(x *target) bool { return x.health != open })
		if a.Limit > 0 && fresh(a.LimitAt) && !r.told && well && (r.size == 0 || size < r.size) {
			was := r.rate
			a.Applied |= AppliedLimit
			if p.limit(r, size); was > 0 {
				r.rate = min(r.rate, was)
			}
		}
		if fresh(a.OutageAt) && t.lastOK < a.OutageAt && t.health != halfOpen && t.fails < 1 {
			t.fails = 1
			a.Applied |= AppliedOutage
		}
	}
}

// AdjustBusySlots says how many more of the slots another process of this forwarder uses than it did, or fewer.
func (p *Policy) AdjustBusySlots(more int) { p.flows.BusySlots += more }
