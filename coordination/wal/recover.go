package wal

import "slices"

// Config configures a log. The zero value is valid.
type Config struct {
	SegmentBytes int64 // segment size at which a new segment is begun; 0 means DefaultSegmentBytes
}

// Recovered is the content of the log as Open has found it in the directory.
type Recovered struct {
	Empty    bool     // the directory contains no log
	Snapshot []byte   // nil when there is none
	Records  [][]byte // those of the newest checkpoint and those after it, oldest first
	TornTail bool     // a torn write at the end of the log was discarded
	// WriteError is set when the disk can be read but not written. The newest records may then not be durable, so the caller
	// must not rely on the recovered content to survive a power loss until an Append or a Checkpoint succeeds.
	WriteError error
}

// Open recovers the log from the directory and prepares it for Append. The newest frame may have been written but not
// synced, or its sync may have failed, so Open writes it again and syncs it. The error is a *DiskError when the directory
// can't be read, or wraps ErrCorrupt.
func Open(fs FS, config Config) (*Log, Recovered, error) {
	names, err := fs.List()
	if err != nil {
		return nil, Recovered{}, &DiskError{Step: "list", File: "the directory", Err: err}
	}
	found := classifyFiles(names)
	log := &Log{fs: fs, segmentBytes: config.SegmentBytes}
	if log.segmentBytes <= 0 {
		log.segmentBytes = DefaultSegmentBytes
	}
	if len(found.segments) > 0 {
		log.lastSegmentNumber = found.segments[len(found.segments)-1]
	}
	if len(found.snapshots) > 0 {
		log.lastSnapshotNumber = found.snapshots[len(found.snapshots)-1]
	}
	recovered, err := log.recover(found)
	if err != nil {
		return nil, Recovered{}, err
	}
	recovered.WriteError = log.rewriteUnconfirmed(nil)
	return log, recovered, nil
}

// recover finds the newest valid segment and returns the snapshot and the records since the newest checkpoint.
func (l *Log) recover(found directoryContents) (Recovered, error) {
	newest, err := l.newestSegment(found.segments)
	if err != nil || newest == nil {
		return Recovered{Empty: newest == nil}, err
	}
	l.unconfirmed = newest.newestFrame()
	segments := []*segment{newest}
	for oldest := newest; !oldest.checkpoint && oldest.header.previous != 0; {
		oldest, err = l.previousSegment(oldest)
		if err != nil {
			return Recovered{}, err
		}
		segments = append(segments, oldest)
	}
	slices.Reverse(segments)
	recovered := Recovered{TornTail: newest.tornTail}
	for _, s := range segments {
		recovered.Records = append(recovered.Records, s.records...)
		l.bytesSinceCheckpoint += int64(s.length)
	}
	if l.snapshotNumber = segments[0].header.snapshotNumber; l.snapshotNumber != 0 {
		recovered.Snapshot, err = readSnapshot(l.fs, l.snapshotNumber)
	}
	return recovered, err
}

// unconfirmedFrame is the newest frame that recovery found. It may not have been synced, so it must be written again.
type unconfirmedFrame struct {
	kind    frameKind
	header  segmentHeader
	records [][]byte
}

// newestFrame returns the newest frame of the segment, converted to the first frame of a new segment that follows the
// frames before it.
func (s *segment) newestFrame() *unconfirmedFrame {
	if s.lastFrameOffset > 0 {
		return &unconfirmedFrame{
			kind:    kindSegment,
			header:  segmentHeader{previous: s.number, previousBytes: s.lastFrameOffset},
			records: s.lastFrameRecords,
		}
	}
	kind := kindSegment
	if s.checkpoint {
		kind = kindCheckpoint
	}
	return &unconfirmedFrame{kind: kind, header: s.header, records: s.lastFrameRecords}
}

// rewriteUnconfirmed begins a new segment whose first frame contains the records of the unconfirmed frame and then the
// given ones. It does nothing when there is no unconfirmed frame.
func (l *Log) rewriteUnconfirmed(records [][]byte) error {
	if l.unconfirmed == nil {
		return nil
	}
	all := append(append([][]byte(nil), l.unconfirmed.records...), records...)
	if err := l.beginSegment(l.unconfirmed.kind, l.unconfirmed.header, encodeRecords(all)); err != nil {
		return err
	}
	l.unconfirmed = nil
	return nil
}
