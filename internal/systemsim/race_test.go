//go:build race

package systemsim

// The race detector makes histories ten times as slow and finds nothing in them: one goroutine simulates each.
const (
	historySeeds  = 40
	scenarioSeeds = 2
	measuredSeeds = 4
)
