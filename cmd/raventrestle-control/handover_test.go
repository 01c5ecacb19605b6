package main

import (
	"testing"
	"time"
)

// TestHandoverUsesTheGracePeriod wants the handover and the shutdown to end before SIGKILL.
func TestHandoverUsesTheGracePeriod(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{
		0:                      defaultHandoverTimeout,
		8 * time.Second:        6500 * time.Millisecond,
		2 * time.Second:        time.Second,
		100 * time.Millisecond: 50 * time.Millisecond,
	} {
		if got := handoverTimeout(grace); got != want {
			t.Errorf("grace %v: got %v, want %v", grace, got, want)
		}
	}
}
