package wal

import "slices"

// Config sets up a log. The zero value is valid.
type Config struct {
	SegmentBytes int64 // size at which a new segment is begun; 0 means DefaultSegmentBytes
}

// Recovered is what Open has found in the directory.
type Recovered struct {
	Empty    bool     // no log was ever begun here
	Snapshot []byte   // nil when there is none
	Records  [][]byte // since the newest checkpoint, oldest first, the checkpoint's own included
	TornTail bool     // a torn write at the end, which was never acknowledged, was discarded
	// WriteError is set when the disk can be read but not written. Nothing that must survive may then be based on what
	// was recovered until an Append or a Checkpoint succeeds.
	WriteError error
}

// Open recovers the log from the directory and makes it ready for Append. The newest frame may have been written but
// not synced, or its sync may have failed, so Open writes it again and syncs it. Errors are a *DiskError when the
// directory can't be read, or match ErrCorrupt.
func Open(fs FS, config Config) (*Log, Recovered, error) {
	names, err := fs.List()
	if err != nil {
		return nil, Recovered{}, &DiskError{Step: "list", File: "the directory", Err: err}
	}
	found := classify(names)
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

// recover finds the newest valid segment and collects the records back to the newest checkpoint.
func (l *Log) recover(found listing) (Recovered, error) {
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
	if l.snapshot = segments[0].header.snapshot; l.snapshot != 0 {
		recovered.Snapshot, err = readSnapshot(l.fs, l.snapshot)
	}
	return recovered, err
}

// unconfirmedFrame is the newest frame that recovery found, which is not known to be synced.
type unconfirmedFrame struct {
	kind    frameKind
	header  segmentHeader
	records [][]byte
}

// newestFrame returns the newest frame of a segment in the form of the first one of a new segment.
func (s *segment) newestFrame() *unconfirmedFrame {
	if s.lastFrame > 0 {
		return &unconfirmedFrame{
			kind:    kindSegment,
			header:  segmentHeader{previous: s.number, previousBytes: s.lastFrame},
			records: s.lastFrameRecords,
		}
	}
	kind := kindSegment
	if s.checkpoint {
		kind = kindCheckpoint
	}
	return &unconfirmedFrame{kind: kind, header: s.header, records: s.lastFrameRecords}
}

// rewriteUnconfirmed writes the unconfirmed frame, followed by the records, as the first frame of a new segment.
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
