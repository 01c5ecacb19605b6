// Package repeatability holds a check of this repository's own tests: they draw chance from a seed that is written down,
// so that the same code gets the same verdict each time, and a failure can be played again.
//
// Cases drawn by rapid have their seed from the command line: check.sh gives a fixed one, property-tests.sh fresh ones.
package repeatability
