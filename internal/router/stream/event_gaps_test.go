package stream

import (
	"testing"
	"time"
)

// The longest gap is the client's: also that between the last event of one run and the first of the next.
func TestLongestGapBetweenEvents(t *testing.T) {
	cases := []struct {
		name   string
		atMS   []int // of events
		longMS int
	}{
		{"no event", nil, 0},
		{"one event, however late", []int{900}, 0},
		{"steady", []int{10, 40, 70}, 30},
		{"a pause in the midst", []int{0, 30, 420, 450}, 390},
		{"a pause at the end", []int{0, 30, 60, 360}, 300},
		{"events at one moment", []int{5, 5, 5}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			var gaps eventGaps
			for _, at := range c.atMS {
				gaps.received(start.Add(time.Duration(at) * time.Millisecond))
			}
			if want := time.Duration(c.longMS) * time.Millisecond; gaps.longest != want {
				t.Errorf("got %v, want %v", gaps.longest, want)
			}
		})
	}
}
