//go:build !race

package systemsim

// seedsPlayed is how many histories are played; -seeds plays more, -first-seed sets the first.
const seedsPlayed = 300

// courseSeeds is how often each course is played.
const courseSeeds = 12

// measuredSeeds is over how many worlds times are measured.
const measuredSeeds = 20
