// Package asfq decides which flow's turn is next, by adaptive start-time fair queuing. Whatever is held
// gives its flow a turn; which of what the flow holds takes a turn is the caller's choice. It is pure, and
// not safe for concurrent use. Invariants, each with its test: the lowest start tag plus delta among the
// eligible leaves first, no flow passes its slot cap, virtual time never falls.
package asfq

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Flow is to be embedded in the caller's record of a destination, which then is a [Member].
type Flow struct {
	Weight          float64 // φ, its part against others; 0 is 1
	MeanSlotSeconds float64 // slot-seconds of a call, 0 before the first has ended
	Degraded        bool    // most recent calls failed, or one that is out hangs
	turns           []turn
	lastF, delta    float64 // last finish tag, and the monitor's setback in calls
	use             float64 // slot-seconds in this period up to usedAt, calls still out included
	usedAt          time.Duration
	out             int
	listed          bool // in Scheduler.Active
}

type turn struct{ start, finish float64 }

// FlowRecord is a record that embeds a Flow.
type FlowRecord interface{ AsFlow() *Flow }

// AsFlow is for [Member].
func (f *Flow) AsFlow() *Flow { return f }

// QueuedTurns is how many turns wait.
func (f *Flow) QueuedTurns() int { return len(f.turns) }

// InFlight is how many calls are out.
func (f *Flow) InFlight() int { return f.out }

// Penalty is the setback by the monitor, in calls.
func (f *Flow) Penalty() float64 { return f.delta }

func (f *Flow) accrue(now time.Duration) {
	f.use += float64(f.out) * (now - f.usedAt).Seconds()
	f.usedAt = now
}

// Scheduler keeps the flows of one forwarder.
type Scheduler[M FlowRecord] struct {
	Slots           int           // calls out at once
	BusySlots       int           // slots in use; the caller adds those in use elsewhere
	MonitorPeriod   time.Duration // of the monitor
	PeriodEnd       time.Duration // end of this one
	Tolerance       float64       // ε: the gap in use that sets nothing back, in calls of the mean slot-seconds
	MeanSlotSeconds float64       // slot-seconds of a call, over all flows
	ActiveFlows     []M           // flows with turns held or calls out lately; only to be read
	v, finish       float64       // virtual time; largest finish tag sent
}

// Cost is a turn's in calls of the mean slot-seconds. A flow that is quickly refused wins few turns by it.
func (s *Scheduler[M]) Cost(m M) float64 {
	if m.AsFlow().MeanSlotSeconds == 0 {
		return 1
	}
	return max(m.AsFlow().MeanSlotSeconds/s.MeanSlotSeconds, 0.25)
}

// AddTurn gives the flow one more turn, behind those it has.
func (s *Scheduler[M]) AddTurn(m M, cost float64, now time.Duration) {
	f := m.AsFlow()
	if s.BusySlots <= 0 {
		s.v = max(s.v, s.finish)
	}
	start := max(s.v, f.lastF)
	f.lastF = start + cost/cmp.Or(f.Weight, 1)
	f.turns = append(f.turns, turn{start, f.lastF})
	if !f.listed {
		f.listed, f.usedAt = true, now
		s.ActiveFlows = append(s.ActiveFlows, m)
	}
}

// RemoveLastTurn takes the flow's last turn back: what it was for is withdrawn, or goes along with another.
func (s *Scheduler[M]) RemoveLastTurn(m M) {
	f, last := m.AsFlow(), m.AsFlow().QueuedTurns()-1
	f.lastF, f.turns = f.turns[last].start, f.turns[:last]
}

// AtSlotLimit says whether the flow has all the slots that one may: three quarters, half while in trouble.
func (s *Scheduler[M]) AtSlotLimit(m M) bool {
	most := s.Slots * 3 / 4
	if m.AsFlow().Degraded {
		most = s.Slots / 2
	}
	return m.AsFlow().out >= max(most, 1)
}

// Next is the flow with the lowest start tag plus delta that is not full and that offer says yes to, while
// a slot is free. What offer calls later, never negative, comes on top. It isn't asked about flows that
// could not come first.
func (s *Scheduler[M]) Next(offer func(M) (later float64, ok bool)) (next M, found bool) {
	least := math.Inf(1)
	for _, m := range s.ActiveFlows {
		f := m.AsFlow()
		if s.BusySlots >= s.Slots || len(f.turns) == 0 || f.turns[0].start+f.delta >= least || s.AtSlotLimit(m) {
			continue
		}
		if later, ok := offer(m); ok && f.turns[0].start+f.delta+later < least {
			next, found, least = m, true, f.turns[0].start+f.delta+later
		}
	}
	return next, found
}

// StartCall takes the flow's first turn and a slot.
func (s *Scheduler[M]) StartCall(m M, now time.Duration) {
	f := m.AsFlow()
	f.accrue(now)
	f.out, s.BusySlots = f.out+1, s.BusySlots+1
	s.v, s.finish = max(s.v, f.turns[0].start), max(s.finish, f.turns[0].finish)
	f.turns = f.turns[1:]
}

// EndCall frees the slot of a call that was out for so many seconds.
func (s *Scheduler[M]) EndCall(m M, seconds float64, now time.Duration) {
	f := m.AsFlow()
	f.accrue(now)
	f.out, s.BusySlots = f.out-1, s.BusySlots-1
	f.MeanSlotSeconds, s.MeanSlotSeconds =
		EWMA(f.MeanSlotSeconds, seconds, 8), EWMA(s.MeanSlotSeconds, seconds, 32)
}

// EWMA takes x into a running mean over about n, which is 0 before the first.
func EWMA[T float64 | time.Duration](mean, x, n T) T {
	if mean == 0 {
		return x
	}
	return mean + (x-mean)/n
}

// Tick is the monitor. Once a period it compares the slot-seconds of the active flows by their weights, and
// returns true. A flow above the least used one with turns, by more than the tolerance, is set back by the
// difference in calls of its own; below that its setback is halved. The state of idle flows is dropped.
func (s *Scheduler[M]) Tick(now time.Duration) bool {
	if now < s.PeriodEnd {
		return false
	}
	s.PeriodEnd = now + s.MonitorPeriod
	least := math.Inf(1)
	for _, m := range s.ActiveFlows {
		f := m.AsFlow()
		f.accrue(now)
		if len(f.turns) > 0 {
			least = min(least, f.use/cmp.Or(f.Weight, 1))
		}
	}
	for _, m := range s.ActiveFlows {
		f, weight := m.AsFlow(), cmp.Or(m.AsFlow().Weight, 1)
		if gap := f.use/weight - least; gap > s.Tolerance*s.MeanSlotSeconds && f.MeanSlotSeconds > 0 {
			f.delta = gap * weight / f.MeanSlotSeconds
		} else if f.delta /= 2; f.delta < 0.5 {
			f.delta = 0
		}
		f.use = 0
		if f.listed = len(f.turns)+f.out > 0; !f.listed {
			f.lastF, f.delta = 0, 0
		}
	}
	s.ActiveFlows = slices.DeleteFunc(s.ActiveFlows, func(m M) bool { return !m.AsFlow().listed })
	return true
}
