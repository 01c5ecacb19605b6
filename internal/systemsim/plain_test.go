//go:build !race

package systemsim

// seedsPlayed is how many histories are played; -seeds plays more, -first-seed sets the first.
const seedsPlayed = 300
