//go:build !race

package simnet

// seedsPlayed is how many histories an ordinary test plays; SIMNET_SEEDS plays more, SIMNET_FIRST sets the first.
const seedsPlayed = 300

// scenarioSeeds is how often each scenario is played.
const scenarioSeeds = 8

const raceDetected = false
