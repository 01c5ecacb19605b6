//go:build !race

package simnet

const (
	// defaultHistories is how many random histories a test plays; SIMNET_SEEDS plays more, SIMNET_FIRST sets the first.
	defaultHistories = 300
	// scenarioHistories is how many histories of each scenario a test plays.
	scenarioHistories = 8

	raceDetected = false
)
