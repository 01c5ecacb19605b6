package main

import "time"

const (
	killMargin             = 800 * time.Millisecond // before SIGKILL the process has ended
	defaultHandoverTimeout = 2 * time.Second        // where the deployment states no grace
)

// handoverTimeout is how long an instance that is told to end waits until the group can do without its disk: it may hold
// one of the last copies, and a repair takes a while. Its last answers and its end still fit in before SIGKILL, which
// comes after grace; 0 means that this is not known.
func handoverTimeout(grace time.Duration) time.Duration {
	if grace <= 0 {
		return defaultHandoverTimeout
	}
	return max(grace/2, grace-shutdownTimeout-killMargin)
}
