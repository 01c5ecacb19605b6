package wal

// DefaultSegmentBytes is the segment size at which a new segment is begun, where Config sets none.
const DefaultSegmentBytes = 4 << 20

// Log is an open log. It must be used by one goroutine at a time.
type Log struct {
	fs           FS
	segmentBytes int64

	file       File   // the open segment; nil when the next Append begins a new one
	fileNumber uint64 // of the open segment
	fileLength uint64 // total size of its synced frames in bytes

	// The newest durable segment, to which the header of the next segment refers.
	durableSegment      uint64 // its number; 0 when there is none
	durableSegmentBytes uint64 // how many of its bytes are valid: those before its last successful sync
	snapshotNumber      uint64 // number of the snapshot that the newest checkpoint refers to; 0 when there is none

	lastSegmentNumber    uint64            // highest number of any segment that may be on the disk
	lastSnapshotNumber   uint64            // highest number of any snapshot that may be on the disk
	unconfirmed          *unconfirmedFrame // must be written again before anything is appended; nil when there is none
	bytesSinceCheckpoint int64
}

// Append writes the records and syncs them. After a crash, recovery returns either all records of a call or none of them.
// After an error none of them is valid, and the next call begins a new segment; the error is a *DiskError.
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
		return l.beginSegment(kindSegment, segmentHeader{previous: l.durableSegment, previousBytes: l.durableSegmentBytes}, body)
	}
	if err := l.write(kindRecords, body); err != nil {
		l.abandonSegment()
		return err
	}
	l.durableSegmentBytes = l.fileLength
	return nil
}

// beginSegment creates a new segment and writes its first frame. It syncs the frame and then the directory entry before it
// makes the segment the newest durable one.
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
	l.durableSegment, l.durableSegmentBytes = l.fileNumber, l.fileLength
	return nil
}

// write appends a frame to the open segment and syncs it.
func (l *Log) write(kind frameKind, body buffers) error {
	written, err := writeFrame(l.file, segmentName(l.fileNumber), kind, body)
	if err != nil {
		return err
	}
	l.fileLength += uint64(written)
	l.bytesSinceCheckpoint += int64(written)
	return nil
}

// Checkpoint replaces the content of the log with the snapshot and the records: it writes the snapshot, begins a new
// segment with the records, and then removes the files that are no longer needed. If the snapshot is nil, the previous
// one is kept. After an error the previous content is still valid; the error is a *DiskError.
func (l *Log) Checkpoint(snapshot []byte, records [][]byte) error {
	number := l.snapshotNumber
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
	header := segmentHeader{previous: l.durableSegment, previousBytes: l.durableSegmentBytes, snapshotNumber: number}
	if err := l.beginSegment(kindCheckpoint, header, encodeRecords(records)); err != nil {
		l.bytesSinceCheckpoint += before
		return err
	}
	l.snapshotNumber, l.unconfirmed = number, nil
	l.removeReplaced()
	return nil
}

// removeReplaced removes the segments and snapshots that the newest checkpoint replaces. Errors are ignored: recovery
// ignores files that were not removed, and the next checkpoint tries again.
func (l *Log) removeReplaced() {
	names, err := l.fs.List()
	if err != nil {
		return
	}
	found := classifyFiles(names)
	for _, number := range found.segments {
		if number < l.fileNumber {
			_ = l.fs.Remove(segmentName(number))
		}
	}
	for _, number := range found.snapshots {
		if number != l.snapshotNumber {
			_ = l.fs.Remove(snapshotName(number))
		}
	}
	if found.hasTemporary {
		_ = l.fs.Remove(temporaryName)
	}
}

// writableCheckBytes is how many bytes CheckWritable writes.
const writableCheckBytes = 4 << 10

// CheckWritable writes and syncs a temporary file. It returns nil if that succeeds, else a *DiskError.
func (l *Log) CheckWritable() error {
	file, err := l.fs.Create(temporaryName)
	if err != nil {
		return &DiskError{Step: "create", File: temporaryName, Err: err}
	}
	defer func() { _ = file.Close() }() // the content of the file is not needed
	if _, err := file.Write(make([]byte, writableCheckBytes)); err != nil {
		return &DiskError{Step: "write", File: temporaryName, Err: err}
	}
	if err := file.Sync(); err != nil {
		return &DiskError{Step: "sync", File: temporaryName, Err: err}
	}
	return nil
}

// Snapshot reads the snapshot of the newest checkpoint. It returns nil when there is none.
func (l *Log) Snapshot() ([]byte, error) {
	if l.snapshotNumber == 0 {
		return nil, nil
	}
	return readSnapshot(l.fs, l.snapshotNumber)
}

// BytesSinceCheckpoint returns how many bytes were written since the newest checkpoint, including the checkpoint itself.
func (l *Log) BytesSinceCheckpoint() int64 { return l.bytesSinceCheckpoint }

// abandonSegment closes the open segment, so that the next append begins a new one. An error on closing is ignored,
// because all valid frames are already synced and nothing more is written to the file.
func (l *Log) abandonSegment() {
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
}

// Close closes the open segment. Its error is a *DiskError. Nothing is lost then, because everything acknowledged is
// already on the disk, but the error may indicate a failing disk.
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
