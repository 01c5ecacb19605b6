//go:build race

package simnet

// The race detector makes histories ten times as slow and finds nothing in them: one goroutine plays each.
const (
	defaultHistories  = 16
	scenarioHistories = 3
	raceDetected      = true
)
