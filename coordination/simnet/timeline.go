package simnet

import (
	"container/heap"
	"time"
)

// Scheduler is virtual time: what was planned runs in the order of its times, and of planning where these are equal.
type Scheduler struct {
	now      time.Duration
	events   events
	sequence uint64
}

// NewScheduler returns a timeline that begins at a time.
func NewScheduler(begin time.Duration) *Scheduler { return &Scheduler{now: begin} }

// Now returns the time that has been reached.
func (t *Scheduler) Now() time.Duration { return t.now }

// After plans to run something after a delay.
func (t *Scheduler) After(delay time.Duration, run func()) {
	t.sequence++
	heap.Push(&t.events, event{at: t.now + delay, sequence: t.sequence, run: run})
}

// RunUntil runs what is planned up to a time, or until stop holds.
func (t *Scheduler) RunUntil(end time.Duration, stop func() bool) {
	for len(t.events) > 0 && t.events[0].at <= end && !stop() {
		next := heap.Pop(&t.events).(event)
		t.now = next.at
		next.run()
	}
	t.now = max(t.now, end)
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
