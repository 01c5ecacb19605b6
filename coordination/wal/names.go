package wal

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Recovery finds segments and snapshots by their file names, so the format of the names must not change.
func segmentName(number uint64) string  { return fmt.Sprintf("segment-%016d.log", number) }
func snapshotName(number uint64) string { return fmt.Sprintf("snapshot-%016d.snap", number) }

// temporaryName is the name of the file to which a snapshot is written before it is renamed. CheckWritable writes it too.
const temporaryName = "snapshot.tmp"

// directoryContents lists the files of a log's directory by type.
type directoryContents struct {
	segments     []uint64 // numbers, ascending
	snapshots    []uint64 // numbers, ascending
	hasTemporary bool     // whether a temporary file exists
}

// classifyFiles returns the segments, snapshots and temporary file among the names, and ignores all others.
func classifyFiles(names []string) directoryContents {
	var found directoryContents
	for _, name := range names {
		if number, ok := parseName(name, "segment-", ".log"); ok {
			found.segments = append(found.segments, number)
		}
		if number, ok := parseName(name, "snapshot-", ".snap"); ok {
			found.snapshots = append(found.snapshots, number)
		}
		found.hasTemporary = found.hasTemporary || name == temporaryName
	}
	slices.Sort(found.segments)
	slices.Sort(found.snapshots)
	return found
}

// parseName returns the number between prefix and suffix. It reports false when the name is of another form.
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
