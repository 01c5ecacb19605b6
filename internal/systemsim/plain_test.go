//go:build !race

package systemsim

// historySeeds is how many histories are simulated; -seeds sets another number, -first-seed sets the first.
const historySeeds = 300

// scenarioSeeds is how often each scenario is simulated.
const scenarioSeeds = 12

// measuredSeeds is over how many seeds times are measured.
const measuredSeeds = 20
