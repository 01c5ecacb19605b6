package wal

// DefaultSegmentBytes is the size at which a new segment is begun.
const DefaultSegmentBytes = 4 << 20

// Log is an open log. It is used by one goroutine at a time.
type Log struct {
	fs           FS
	segmentBytes int64

	file       File   // the open segment; nil when the next Append begins a new one
	fileNumber uint64 // of the open segment
	fileLength uint64 // of its synced frames, in bytes

	// The newest durable segment, which the header of the next segment names.
	segment      uint64 // its number; 0 when there is none
	segmentValid uint64 // how many of its bytes are valid: all up to its last successful sync
	snapshot     uint64 // number of the newest snapshot that a checkpoint names; 0 when there is none

	lastSegmentNumber    uint64            // highest number of a segment that may be on the disk
	lastSnapshotNumber   uint64            // highest number of a snapshot that may be on the disk
	unconfirmed          *unconfirmedFrame // must be written again before anything is appended; nil when there is none
	bytesSinceCheckpoint int64
}

// Append writes the records and syncs them. Records of one call survive together or not at all. After an error none of
// them is valid, and the next call begins a new segment; the error is a *DiskError.
func (l *Log) Append(records [][]byte) error {
	if len(records) == 0 {
		return nil
	}
	if l.file != nil && int64(l.fileLength) >= l.segmentBytes {
		l.abandonSegment()
	}
	if l.unconfirmed != nil {
		return l.rewriteUnconfirmed(records)
	}
	body := encodeRecords(records)
	if l.file == nil {
		return l.beginSegment(kindSegment, segmentHeader{previous: l.segment, previousBytes: l.segmentValid}, body)
	}
	if err := l.write(kindRecords, body); err != nil {
		l.abandonSegment()
		return err
	}
	l.segmentValid = l.fileLength
	return nil
}

// beginSegment creates a new segment with its first frame. The frame and then the directory entry are synced before the
// segment is valid.
func (l *Log) beginSegment(kind frameKind, header segmentHeader, body buffers) error {
	l.lastSegmentNumber++
	name := segmentName(l.lastSegmentNumber)
	file, err := l.fs.Create(name)
	if err != nil {
		return &DiskError{Step: "create", File: name, Err: err}
	}
	l.file, l.fileNumber, l.fileLength = file, l.lastSegmentNumber, 0
	if err := l.write(kind, append(buffers{header.encode()}, body...)); err != nil {
		l.abandonSegment()
		return err
	}
	if err := l.fs.SyncDirectory(); err != nil {
		l.abandonSegment()
		return &DiskError{Step: "sync the directory for", File: name, Err: err}
	}
	l.segment, l.segmentValid = l.fileNumber, l.fileLength
	return nil
}

// write adds one synced frame to the open segment.
func (l *Log) write(kind frameKind, body buffers) error {
	written, err := writeFrame(l.file, segmentName(l.fileNumber), kind, body)
	if err != nil {
		return err
	}
	l.fileLength += uint64(written)
	l.bytesSinceCheckpoint += int64(written)
	return nil
}

// Checkpoint writes the snapshot and begins a segment with records that, together with the snapshot, replace everything
// before. Then it removes what is no longer needed. A nil snapshot keeps the newest one. After an error the state before
// the call stays valid; the error is a *DiskError.
func (l *Log) Checkpoint(snapshot []byte, records [][]byte) error {
	number := l.snapshot
	if snapshot != nil {
		l.lastSnapshotNumber++
		number = l.lastSnapshotNumber
		if err := l.writeSnapshot(snapshotName(number), snapshot); err != nil {
			return err
		}
	}
	before := l.bytesSinceCheckpoint
	l.abandonSegment()
	l.bytesSinceCheckpoint = 0
	header := segmentHeader{previous: l.segment, previousBytes: l.segmentValid, snapshot: number}
	if err := l.beginSegment(kindCheckpoint, header, encodeRecords(records)); err != nil {
		l.bytesSinceCheckpoint += before
		return err
	}
	l.snapshot, l.unconfirmed = number, nil
	l.removeReplaced()
	return nil
}

// removeReplaced removes the segments and snapshots that the newest checkpoint replaces. Recovery ignores what can't be
// removed, and the next checkpoint repeats the removal.
func (l *Log) removeReplaced() {
	names, err := l.fs.List()
	if err != nil {
		return
	}
	found := classify(names)
	for _, number := range found.segments {
		if number < l.fileNumber {
			_ = l.fs.Remove(segmentName(number))
		}
	}
	for _, number := range found.snapshots {
		if number != l.snapshot {
			_ = l.fs.Remove(snapshotName(number))
		}
	}
	if found.temporary {
		_ = l.fs.Remove(temporaryName)
	}
}

// writableCheckBytes is how many bytes CheckWritable writes.
const writableCheckBytes = 4 << 10

// CheckWritable reports whether the disk takes a write and a sync now: nil if it does, else a *DiskError.
func (l *Log) CheckWritable() error {
	file, err := l.fs.Create(temporaryName)
	if err != nil {
		return &DiskError{Step: "create", File: temporaryName, Err: err}
	}
	defer func() { _ = file.Close() }() // what was written is of no use
	if _, err := file.Write(make([]byte, writableCheckBytes)); err != nil {
		return &DiskError{Step: "write", File: temporaryName, Err: err}
	}
	if err := file.Sync(); err != nil {
		return &DiskError{Step: "sync", File: temporaryName, Err: err}
	}
	return nil
}

// Snapshot reads the newest snapshot that a checkpoint names; nil when there is none.
func (l *Log) Snapshot() ([]byte, error) {
	if l.snapshot == 0 {
		return nil, nil
	}
	return readSnapshot(l.fs, l.snapshot)
}

// BytesSinceCheckpoint is how many bytes were written since the newest checkpoint, that one included.
func (l *Log) BytesSinceCheckpoint() int64 { return l.bytesSinceCheckpoint }

// abandonSegment closes the open segment; the next append begins a new one. An error of the close is ignored: what
// is valid is synced already, and nothing more is written to the file.
func (l *Log) abandonSegment() {
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
}

// Close closes the open segment. Everything that was acknowledged is on the disk already, so an error, a *DiskError,
// loses nothing but may point to a failing disk.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	if err != nil {
		return &DiskError{Step: "close", File: segmentName(l.fileNumber), Err: err}
	}
	return nil
}
