package stream

import "time"

// minIntervals is how many intervals between events must have been seen before the shortest says how fast the endpoint decodes.
const minIntervals = 6

// EventTimes is what the times of an answer's events say, over all runs for the client and of the last run for its endpoint.
type EventTimes struct {
	First   time.Time     // of the first event; zero: there was none
	Longest time.Duration // time between two events, as the client saw them

	last      time.Time
	single    bool // the last read brought one event: its time is that of the event
	shortest  time.Duration
	intervals int
}

// beginRun forgets what concerns the endpoint of the run before.
func (t *EventTimes) beginRun() { t.single, t.shortest, t.intervals = false, 0, 0 }

// received notes that events were read together.
func (t *EventTimes) received(now time.Time, events int) {
	if t.First.IsZero() {
		t.First = now
	} else {
		t.Longest = max(t.Longest, now.Sub(t.last))
	}
	if interval := now.Sub(t.last); t.single && events == 1 {
		if t.intervals == 0 || interval < t.shortest {
			t.shortest = interval
		}
		t.intervals++
	}
	t.last = now
	t.single = events == 1
}

// DecodeInterval returns the shortest time between two events of the last run: what the endpoint takes to decode one event while it
// prefills nothing. It is false after too few events.
func (t *EventTimes) DecodeInterval() (time.Duration, bool) {
	return t.shortest, t.intervals >= minIntervals
}
