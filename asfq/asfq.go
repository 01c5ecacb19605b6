// Package asfq implements adaptive start-time fair queuing: it decides which flow may use the next free slot.
// A flow queues turns; a turn is the right to occupy one slot for one call. The caller chooses which of its
// requests takes a turn. The package does no I/O and is not safe for concurrent use.
//
// Invariants, each checked by a test: among the eligible flows, the one with the lowest sum of start tag and
// penalty is next; no flow uses more slots than its limit; virtual time never decreases.
package asfq

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Flow is the scheduling state of one destination. The caller embeds it in its own record, which makes that
// record a [FlowRecord].
type Flow struct {
	Weight              float64 // share of the slot-seconds relative to other flows; 0 counts as 1
	MeanSlotSeconds     float64 // moving average of the slot-seconds of a call, 0 before the first call ends
	Degraded            bool    // most recent calls failed, or a call in flight hangs
	turns               []turn
	lastFinish, penalty float64 // finish tag of the last turn, and the penalty in calls
	slotSeconds         float64 // slot-seconds used in this period until accruedAt, including calls in flight
	accruedAt           time.Duration
	inFlight            int
	active              bool // listed in Scheduler.ActiveFlows
}

type turn struct{ start, finish float64 }

// FlowRecord is a caller's record that embeds a Flow.
type FlowRecord interface{ AsFlow() *Flow }

// AsFlow returns the embedded Flow of a [FlowRecord].
func (f *Flow) AsFlow() *Flow { return f }

// QueuedTurns returns the number of turns that wait for a slot.
func (f *Flow) QueuedTurns() int { return len(f.turns) }

// InFlight returns the number of calls that occupy a slot.
func (f *Flow) InFlight() int { return f.inFlight }

// Penalty returns by how many calls the monitor delays this flow.
func (f *Flow) Penalty() float64 { return f.penalty }

func (f *Flow) accrue(now time.Duration) {
	f.slotSeconds += float64(f.inFlight) * (now - f.accruedAt).Seconds()
	f.accruedAt = now
}

// Scheduler schedules the flows of one forwarder.
type Scheduler[M FlowRecord] struct {
	Slots                  int           // maximum number of calls in flight
	BusySlots              int           // slots in use; the caller adds those used elsewhere
	MonitorPeriod          time.Duration // interval at which the monitor compares the flows
	PeriodEnd              time.Duration // end of the current period
	Tolerance              float64       // excess use without penalty, in average calls (ε)
	MeanSlotSeconds        float64       // moving average of the slot-seconds of a call, over all flows
	ActiveFlows            []M           // flows with turns or calls in this period; read-only
	virtualTime, maxFinish float64       // virtual time; largest finish tag of the calls started so far
}

// Cost returns the cost of a turn, in calls of average length. The lower bound keeps a flow whose calls are
// rejected quickly from getting many turns.
func (s *Scheduler[M]) Cost(m M) float64 {
	if m.AsFlow().MeanSlotSeconds == 0 {
		return 1
	}
	return max(m.AsFlow().MeanSlotSeconds/s.MeanSlotSeconds, 0.25)
}

// AddTurn appends a turn to the flow's queue.
func (s *Scheduler[M]) AddTurn(m M, cost float64, now time.Duration) {
	f := m.AsFlow()
	if s.BusySlots <= 0 {
		s.virtualTime = max(s.virtualTime, s.maxFinish)
	}
	start := max(s.virtualTime, f.lastFinish)
	f.lastFinish = start + cost/cmp.Or(f.Weight, 1)
	f.turns = append(f.turns, turn{start, f.lastFinish})
	if !f.active {
		f.active, f.accruedAt = true, now
		s.ActiveFlows = append(s.ActiveFlows, m)
	}
}

// RemoveLastTurn removes the last turn of the flow's queue. It is called when a request is withdrawn or joins
// the call of another request.
func (s *Scheduler[M]) RemoveLastTurn(m M) {
	f, last := m.AsFlow(), m.AsFlow().QueuedTurns()-1
	f.lastFinish, f.turns = f.turns[last].start, f.turns[:last]
}

// AtSlotLimit reports whether the flow uses all the slots that one flow may use: three quarters of them, or
// half if the flow is degraded.
func (s *Scheduler[M]) AtSlotLimit(m M) bool {
	limit := s.Slots * 3 / 4
	if m.AsFlow().Degraded {
		limit = s.Slots / 2
	}
	return m.AsFlow().inFlight >= max(limit, 1)
}

// Next returns the flow with the lowest sum of start tag, penalty and the extra turns that offer returns. A
// flow is eligible if a slot is free, the flow is below its slot limit, and offer returns true. The extra
// turns are never negative, so offer is only called for flows that could still become the next one.
func (s *Scheduler[M]) Next(offer func(M) (extraTurns float64, ok bool)) (next M, found bool) {
	lowest := math.Inf(1)
	for _, m := range s.ActiveFlows {
		f := m.AsFlow()
		if s.BusySlots >= s.Slots || len(f.turns) == 0 || f.turns[0].start+f.penalty >= lowest || s.AtSlotLimit(m) {
			continue
		}
		if extraTurns, ok := offer(m); ok && f.turns[0].start+f.penalty+extraTurns < lowest {
			next, found, lowest = m, true, f.turns[0].start+f.penalty+extraTurns
		}
	}
	return next, found
}

// StartCall takes a slot for the flow's first turn and removes that turn from the queue.
func (s *Scheduler[M]) StartCall(m M, now time.Duration) {
	f := m.AsFlow()
	f.accrue(now)
	f.inFlight, s.BusySlots = f.inFlight+1, s.BusySlots+1
	s.virtualTime, s.maxFinish = max(s.virtualTime, f.turns[0].start), max(s.maxFinish, f.turns[0].finish)
	f.turns = f.turns[1:]
}

// EndCall frees the slot of a call that took the given number of seconds.
func (s *Scheduler[M]) EndCall(m M, seconds float64, now time.Duration) {
	f := m.AsFlow()
	f.accrue(now)
	f.inFlight, s.BusySlots = f.inFlight-1, s.BusySlots-1
	f.MeanSlotSeconds, s.MeanSlotSeconds =
		EWMA(f.MeanSlotSeconds, seconds, 8), EWMA(s.MeanSlotSeconds, seconds, 32)
}

// EWMA adds x to an exponentially weighted moving average over about n values. A mean of 0 means that there
// is no value yet.
func EWMA[T float64 | time.Duration](mean, x, n T) T {
	if mean == 0 {
		return x
	}
	return mean + (x-mean)/n
}

// Tick runs the monitor. It returns true if a period has ended. At the end of a period it compares the flows'
// slot-seconds divided by their weights. A flow that used more than the least used flow with queued turns, by
// more than the tolerance, gets the difference as a penalty, in calls of its own. The penalty of any other
// flow is halved. Flows without turns and calls lose their tags and penalty.
func (s *Scheduler[M]) Tick(now time.Duration) bool {
	if now < s.PeriodEnd {
		return false
	}
	s.PeriodEnd = now + s.MonitorPeriod
	minUse := math.Inf(1)
	for _, m := range s.ActiveFlows {
		f := m.AsFlow()
		f.accrue(now)
		if len(f.turns) > 0 {
			minUse = min(minUse, f.slotSeconds/cmp.Or(f.Weight, 1))
		}
	}
	for _, m := range s.ActiveFlows {
		f, weight := m.AsFlow(), cmp.Or(m.AsFlow().Weight, 1)
		if excess := f.slotSeconds/weight - minUse; excess > s.Tolerance*s.MeanSlotSeconds &&
			f.MeanSlotSeconds > 0 {
			f.penalty = excess * weight / f.MeanSlotSeconds
		} else if f.penalty /= 2; f.penalty < 0.5 {
			f.penalty = 0
		}
		f.slotSeconds = 0
		if f.active = len(f.turns)+f.inFlight > 0; !f.active {
			f.lastFinish, f.penalty = 0, 0
		}
	}
	s.ActiveFlows = slices.DeleteFunc(s.ActiveFlows, func(m M) bool { return !m.AsFlow().active })
	return true
}
