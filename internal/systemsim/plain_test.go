//go:build !race

package systemsim

// historySeeds is how many histories are played; -seeds plays more, -first-seed sets the first.
const historySeeds = 300

// scenarioSeeds is how often each course is played.
const scenarioSeeds = 12

// measuredSeeds is over how many worlds times are measured.
const measuredSeeds = 20
