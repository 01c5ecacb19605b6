package wal

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// The names of the files are stored: recovery finds segments and snapshots by them.
func segmentName(number uint64) string  { return fmt.Sprintf("segment-%016d.log", number) }
func snapshotName(number uint64) string { return fmt.Sprintf("snapshot-%016d.snap", number) }

// temporaryName is the file that a snapshot is written to before it takes its name.
const temporaryName = "snapshot.tmp"

// listing is what the names in a directory say.
type listing struct {
	segments  []uint64 // numbers, ascending
	snapshots []uint64 // numbers, ascending
	temporary bool     // a temporary file is left
}

// classify sorts names by what they stand for and ignores those of other files.
func classify(names []string) listing {
	var found listing
	for _, name := range names {
		if number, ok := parseName(name, "segment-", ".log"); ok {
			found.segments = append(found.segments, number)
		}
		if number, ok := parseName(name, "snapshot-", ".snap"); ok {
			found.snapshots = append(found.snapshots, number)
		}
		found.temporary = found.temporary || name == temporaryName
	}
	slices.Sort(found.segments)
	slices.Sort(found.snapshots)
	return found
}

// parseName returns the number between prefix and suffix.
func parseName(name, prefix, suffix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	digits, ok = strings.CutSuffix(digits, suffix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}
