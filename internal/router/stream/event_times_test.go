package stream

import (
	"testing"
	"time"
)

// The longest interval is the client's, over all runs; the shortest is the last endpoint's, and only between events that came alone.
func TestEventTimes(t *testing.T) {
	type read struct{ atMS, events int }
	type run []read
	steady := func(from, interval, count int) run {
		var reads run
		for i := range count {
			reads = append(reads, read{from + i*interval, 1})
		}
		return reads
	}
	cases := []struct {
		name            string
		runs            []run
		longest, decode time.Duration // decode 0: not known
	}{
		{"one event", []run{{{10, 1}}}, 0, 0},
		{"too few events", []run{steady(0, 30, 5)}, 30 * time.Millisecond, 0},
		{"steady", []run{steady(0, 30, 10)}, 30 * time.Millisecond, 30 * time.Millisecond},
		{"a pause", []run{append(steady(0, 30, 8), read{600, 1})}, 390 * time.Millisecond, 30 * time.Millisecond},
		{
			"events that came together",
			[]run{append(steady(0, 30, 8), read{400, 2}, read{405, 1}, read{435, 1})},
			190 * time.Millisecond, 30 * time.Millisecond,
		},
		{"resumed elsewhere", []run{steady(0, 10, 9), steady(500, 40, 9)}, 420 * time.Millisecond, 40 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			var times EventTimes
			for _, reads := range c.runs {
				times.beginRun()
				for _, r := range reads {
					times.received(start.Add(time.Duration(r.atMS)*time.Millisecond), r.events)
				}
			}
			if times.Longest != c.longest {
				t.Errorf("longest %v, want %v", times.Longest, c.longest)
			}
			got, known := times.DecodeInterval()
			if known != (c.decode > 0) || known && got != c.decode {
				t.Errorf("decode interval %v, %v; want %v", got, known, c.decode)
			}
		})
	}
}
