package wal

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Config sets up a log.
type Config struct {
	SegmentBytes int64 // 0 means DefaultSegmentBytes
}

// Recovered is what Open has found.
type Recovered struct {
	Empty    bool     // no log was ever begun here
	Snapshot []byte   // nil when there is none
	Records  [][]byte // since the newest checkpoint, its own first
	TornTail bool     // an unacknowledged frame at the end was left out
	// Refused is set when the disk can be read but not written. What was read may then not be acted upon by
	// anything that must survive, until an Append or a Checkpoint succeeds.
	WriteError error
}

// Open reads the folder and returns the log, ready for Append. The newest frame may have been written but not
// synced, or its sync may have failed, so Open writes it again and syncs it before it is believed.
func Open(fs FS, options Config) (*Log, Recovered, error) {
	names, err := fs.List()
	if err != nil {
		return nil, Recovered{}, &DiskError{Step: "list", File: "the folder", Err: err}
	}
	found := sortNames(names)
	log := &Log{fs: fs, segmentBytes: options.SegmentBytes}
	if log.segmentBytes <= 0 {
		log.segmentBytes = DefaultSegmentBytes
	}
	if len(found.segments) > 0 {
		log.newest = found.segments[len(found.segments)-1]
	}
	if len(found.snapshots) > 0 {
		log.numbered = found.snapshots[len(found.snapshots)-1]
	}
	recovered, err := log.recover(found)
	if err != nil {
		return nil, Recovered{}, err
	}
	recovered.WriteError = log.settle(nil)
	return log, recovered, nil
}

type names struct {
	segments  []uint64 // in order
	snapshots []uint64
	temporary bool
}

func sortNames(list []string) names {
	var found names
	for _, name := range list {
		if number, ok := numberOf(name, "segment-", ".log"); ok {
			found.segments = append(found.segments, number)
		}
		if number, ok := numberOf(name, "snapshot-", ".snap"); ok {
			found.snapshots = append(found.snapshots, number)
		}
		found.temporary = found.temporary || name == temporaryName
	}
	slices.Sort(found.segments)
	slices.Sort(found.snapshots)
	return found
}

func numberOf(name, prefix, suffix string) (uint64, bool) {
	middle, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	middle, ok = strings.CutSuffix(middle, suffix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(middle, 10, 64)
	return number, err == nil
}

// part is one segment as it was read.
type part struct {
	number     uint64
	head       begin
	checkpoint bool
	records    [][]byte
	length     uint64 // of its whole frames
	torn       bool
	lastFrame  uint64   // where its newest whole frame begins
	lastOnes   [][]byte // the records of that frame
}

// unsure is what must be written again before it is believed.
type unsure struct {
	kind    frameKind
	head    begin
	records [][]byte
}

// unsure returns the newest frame of a part as the first one of a new segment.
func (p *part) unsure() *unsure {
	if p.lastFrame > 0 {
		return &unsure{
			kind: kindBegin, head: begin{previous: p.number, bytes: p.lastFrame}, records: p.lastOnes,
		}
	}
	kind := kindBegin
	if p.checkpoint {
		kind = kindCheckpoint
	}
	return &unsure{kind: kind, head: p.head, records: p.lastOnes}
}

// settle writes what is unsure again, followed by the records.
func (l *Log) settle(records [][]byte) error {
	if l.unsure == nil {
		return nil
	}
	all := append(append([][]byte(nil), l.unsure.records...), records...)
	if err := l.beginSegment(l.unsure.kind, l.unsure.head, packed(all)); err != nil {
		return err
	}
	l.unsure = nil
	return nil
}

// recover finds the newest segment that counts and collects the records back to the newest checkpoint.
func (l *Log) recover(found names) (Recovered, error) {
	last, err := l.newestPart(found.segments)
	if err != nil || last == nil {
		return Recovered{Empty: last == nil}, err
	}
	l.unsure = last.unsure()
	parts := []*part{last}
	for first := last; !first.checkpoint && first.head.previous != 0; {
		first, err = l.partBefore(first)
		if err != nil {
			return Recovered{}, err
		}
		parts = append(parts, first)
	}
	slices.Reverse(parts)
	recovered := Recovered{TornTail: last.torn}
	for _, p := range parts {
		recovered.Records = append(recovered.Records, p.records...)
		l.held += int64(p.length)
	}
	if l.snapshot = parts[0].head.snapshot; l.snapshot != 0 {
		recovered.Snapshot, err = readSnapshot(l.fs, l.snapshot)
	}
	return recovered, err
}

// newestPart reads the newest segment whose first frame is whole. Newer ones were never acknowledged.
func (l *Log) newestPart(numbers []uint64) (*part, error) {
	for i := len(numbers) - 1; i >= 0; i-- {
		data, err := l.read(numbers[i])
		if err != nil {
			return nil, err
		}
		p, rest, ok := readPart(numbers[i], data)
		if !ok && laterFrame(data) {
			return nil, fmt.Errorf("%w: %s has lost its first frame", ErrCorrupt, segmentName(numbers[i]))
		}
		if !ok {
			continue
		}
		if laterFrame(rest) {
			return nil, fmt.Errorf("%w: %s at byte %d", ErrCorrupt, segmentName(numbers[i]), p.length)
		}
		p.torn = len(rest) > 0
		return p, nil
	}
	return nil, nil
}

// partBefore reads the segment that the given one follows, up to the bytes that count.
func (l *Log) partBefore(after *part) (*part, error) {
	number, length := after.head.previous, after.head.bytes
	name := segmentName(number)
	data, err := l.read(number)
	if err != nil {
		return nil, fmt.Errorf("%w: %s is needed: %w", ErrCorrupt, name, err)
	}
	if uint64(len(data)) < length {
		return nil, fmt.Errorf("%w: %s ends at byte %d of %d", ErrCorrupt, name, len(data), length)
	}
	p, rest, ok := readPart(number, data[:length])
	if !ok || len(rest) > 0 {
		return nil, fmt.Errorf("%w: %s before byte %d", ErrCorrupt, name, length)
	}
	return p, nil
}

func (l *Log) read(number uint64) ([]byte, error) {
	data, err := l.fs.Read(segmentName(number))
	if err != nil {
		return nil, &DiskError{Step: "read", File: segmentName(number), Err: err}
	}
	return data, nil
}

// readPart reads frames as far as they are whole. It tells false when not even the first one is.
func readPart(number uint64, data []byte) (*part, []byte, bool) {
	kind, body, rest, ok := readFrame(data)
	if !ok || (kind != kindBegin && kind != kindCheckpoint) {
		return nil, data, false
	}
	head, body, ok := decodeBegin(body)
	if !ok {
		return nil, data, false
	}
	p := &part{number: number, head: head, checkpoint: kind == kindCheckpoint}
	for {
		records, ok := unpack(body)
		if !ok {
			return nil, data, false
		}
		p.records = append(p.records, records...)
		p.lastFrame, p.lastOnes = p.length, records
		p.length = uint64(len(data) - len(rest))
		var next []byte
		kind, body, next, ok = readFrame(rest)
		if !ok || kind != kindRecords {
			return p, rest, true
		}
		rest = next
	}
}

func readSnapshot(fs FS, number uint64) ([]byte, error) {
	name := snapshotName(number)
	data, err := fs.Read(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, &DiskError{Step: "read", File: name, Err: err})
	}
	kind, body, rest, ok := readFrame(data)
	if !ok || kind != kindSnapshot || len(rest) > 0 {
		return nil, fmt.Errorf("%w: %s", ErrCorrupt, name)
	}
	return body, nil
}
