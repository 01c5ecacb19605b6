package simnet

import (
	"container/heap"
	"time"
)

// Scheduler is a discrete-event scheduler on virtual time: events run in the order of their times, and in the order in
// which they were scheduled where these are equal.
type Scheduler struct {
	now          time.Duration
	events       eventQueue
	lastSequence uint64
}

// NewScheduler returns a scheduler whose time begins at the given one.
func NewScheduler(begin time.Duration) *Scheduler { return &Scheduler{now: begin} }

// Now returns the virtual time.
func (s *Scheduler) Now() time.Duration { return s.now }

// After schedules a function to run after the delay.
func (s *Scheduler) After(delay time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.events, event{at: s.now + delay, sequence: s.lastSequence, run: run})
}

// RunUntil runs the events up to the end, which is included, or until stop returns true. The time is the end afterwards.
func (s *Scheduler) RunUntil(end time.Duration, stop func() bool) {
	for len(s.events) > 0 && s.events[0].at <= end && !stop() {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = max(s.now, end)
}

// event is a function to run at a time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
