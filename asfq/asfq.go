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
	Weight       float64 // φ, its part against others; 0 is 1
	Mean         float64 // slot-seconds of a call, 0 before the first has ended
	Trouble      bool    // most recent calls failed, or one that is out hangs
	turns        []turn
	lastF, delta float64 // last finish tag, and the monitor's setback in calls
	use          float64 // slot-seconds in this period up to usedAt, calls still out included
	usedAt       time.Duration
	out          int
	listed       bool // in Scheduler.Active
}

type turn struct{ start, finish float64 }

// Member is a record that embeds a Flow.
type Member interface{ Itself() *Flow }

// Itself is for [Member].
func (f *Flow) Itself() *Flow { return f }

// Held is how many turns wait.
func (f *Flow) Held() int { return len(f.turns) }

// Out is how many calls are out.
func (f *Flow) Out() int { return f.out }

// Delta is the setback by the monitor, in calls.
func (f *Flow) Delta() float64 { return f.delta }

func (f *Flow) accrue(now time.Duration) {
	f.use += float64(f.out) * (now - f.usedAt).Seconds()
	f.usedAt = now
}

// Scheduler keeps the flows of one forwarder.
type Scheduler[M Member] struct {
	Slots     int           // calls out at once
	Busy      int           // slots in use; the caller adds those in use elsewhere
	Period    time.Duration // of the monitor
	TickAt    time.Duration // end of this one
	Tolerance float64       // ε: the gap in use that sets nothing back, in calls of the mean slot-seconds
	Mean      float64       // slot-seconds of a call, over all flows
	Active    []M           // flows with turns held or calls out lately; only to be read
	v, finish float64       // virtual time; largest finish tag sent
}

// Cost is a turn's in calls of the mean slot-seconds. A flow that is quickly refused wins few turns by it.
func (s *Scheduler[M]) Cost(m M) float64 {
	if m.Itself().Mean == 0 {
		return 1
	}
	return max(m.Itself().Mean/s.Mean, 0.25)
}

// Hold gives the flow one more turn, behind those it has.
func (s *Scheduler[M]) Hold(m M, cost float64, now time.Duration) {
	f := m.Itself()
	if s.Busy <= 0 {
		s.v = max(s.v, s.finish)
	}
	start := max(s.v, f.lastF)
	f.lastF = start + cost/cmp.Or(f.Weight, 1)
	f.turns = append(f.turns, turn{start, f.lastF})
	if !f.listed {
		f.listed, f.usedAt = true, now
		s.Active = append(s.Active, m)
	}
}

// Unhold takes the flow's last turn back: what it was for is withdrawn, or goes along with another.
func (s *Scheduler[M]) Unhold(m M) {
	f, last := m.Itself(), m.Itself().Held()-1
	f.lastF, f.turns = f.turns[last].start, f.turns[:last]
}

// Full says whether the flow has all the slots that one may: three quarters, half while in trouble.
func (s *Scheduler[M]) Full(m M) bool {
	most := s.Slots * 3 / 4
	if m.Itself().Trouble {
		most = s.Slots / 2
	}
	return m.Itself().out >= max(most, 1)
}

// Next is the flow with the lowest start tag plus delta that is not full and that offer says yes to, while
// a slot is free. What offer calls later, never negative, comes on top. It isn't asked about flows that
// could not come first.
func (s *Scheduler[M]) Next(offer func(M) (later float64, ok bool)) (next M, found bool) {
	least := math.Inf(1)
	for _, m := range s.Active {
		f := m.Itself()
		if s.Busy >= s.Slots || len(f.turns) == 0 || f.turns[0].start+f.delta >= least || s.Full(m) {
			continue
		}
		if later, ok := offer(m); ok && f.turns[0].start+f.delta+later < least {
			next, found, least = m, true, f.turns[0].start+f.delta+later
		}
	}
	return next, found
}

// Sent takes the flow's first turn and a slot.
func (s *Scheduler[M]) Sent(m M, now time.Duration) {
	f := m.Itself()
	f.accrue(now)
	f.out, s.Busy = f.out+1, s.Busy+1
	s.v, s.finish = max(s.v, f.turns[0].start), max(s.finish, f.turns[0].finish)
	f.turns = f.turns[1:]
}

// Ended frees the slot of a call that was out for so many seconds.
func (s *Scheduler[M]) Ended(m M, seconds float64, now time.Duration) {
	f := m.Itself()
	f.accrue(now)
	f.out, s.Busy = f.out-1, s.Busy-1
	f.Mean, s.Mean = Mix(f.Mean, seconds, 8), Mix(s.Mean, seconds, 32)
}

// Mix takes x into a running mean over about n, which is 0 before the first.
func Mix[T float64 | time.Duration](mean, x, n T) T {
	if mean == 0 {
		return x
	}
	return mean + (x-mean)/n
}

// Tick is the monitor. Once a period it compares the slot-seconds of the active flows by their weights, and
// returns true. A flow above the least used one with turns, by more than the tolerance, is set back by the
// difference in calls of its own; below that its setback is halved. The state of idle flows is dropped.
func (s *Scheduler[M]) Tick(now time.Duration) bool {
	if now < s.TickAt {
		return false
	}
	s.TickAt = now + s.Period
	least := math.Inf(1)
	for _, m := range s.Active {
		f := m.Itself()
		f.accrue(now)
		if len(f.turns) > 0 {
			least = min(least, f.use/cmp.Or(f.Weight, 1))
		}
	}
	for _, m := range s.Active {
		f, weight := m.Itself(), cmp.Or(m.Itself().Weight, 1)
		if gap := f.use/weight - least; gap > s.Tolerance*s.Mean && f.Mean > 0 {
			f.delta = gap * weight / f.Mean
		} else if f.delta /= 2; f.delta < 0.5 {
			f.delta = 0
		}
		f.use = 0
		if f.listed = len(f.turns)+f.out > 0; !f.listed {
			f.lastF, f.delta = 0, 0
		}
	}
	s.Active = slices.DeleteFunc(s.Active, func(m M) bool { return !m.Itself().listed })
	return true
}
