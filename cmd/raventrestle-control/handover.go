package main

import "time"

const (
	killMargin             = 800 * time.Millisecond // kept free before SIGKILL
	defaultHandoverTimeout = 2 * time.Second        // without a known grace period
)

// handoverTimeout returns how long an instance that was asked to end waits for the group to need its disk no longer: it may
// have one of the last copies, and repairing a lost one takes a while. The shutdown that follows still ends before SIGKILL,
// which comes after the grace period; a grace of 0 is unknown.
func handoverTimeout(grace time.Duration) time.Duration {
	if grace <= 0 {
		return defaultHandoverTimeout
	}
	return max(grace/2, grace-shutdownTimeout-killMargin)
}
