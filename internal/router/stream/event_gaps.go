package stream

import "time"

// eventGaps observes how long a client waits between the events of its answer, over all runs.
type eventGaps struct {
	last    time.Time // of the newest event; zero: there was none
	longest time.Duration
}

// received notes that events have come.
func (g *eventGaps) received(now time.Time) {
	if !g.last.IsZero() {
		g.longest = max(g.longest, now.Sub(g.last))
	}
	g.last = now
}
