package wal

import (
	"bytes"
	"fmt"
)

// DefaultSegmentBytes is the size at which a new segment is begun.
const DefaultSegmentBytes = 4 << 20

// Log is an open log.
type Log struct {
	fs           FS
	segmentBytes int64

	file     File // the open segment; nil when the next Append begins a new one
	current  segment
	before   uint64 // number of the newest segment that counts; 0 when there is none
	counting uint64 // its bytes that count
	newest   uint64 // highest number of a segment that may lie on the disk
	unsure   *unsure
	snapshot uint64 // number of the newest snapshot that counts; 0 when there is none
	numbered uint64 // highest number of a snapshot that may lie on the disk
	held     int64  // bytes since the newest checkpoint
}

type segment struct {
	number uint64
	length uint64 // of its synced frames
}

func segmentName(number uint64) string  { return fmt.Sprintf("segment-%016d.log", number) }
func snapshotName(number uint64) string { return fmt.Sprintf("snapshot-%016d.snap", number) }

const temporaryName = "snapshot.tmp"

// Append writes the records and syncs them. Records of one call survive together or not at all. After an error
// nothing of the call counts, and the next call begins a new segment.
func (l *Log) Append(records [][]byte) error {
	if len(records) == 0 {
		return nil
	}
	if l.file != nil && int64(l.current.length) >= l.segmentBytes {
		l.closeSegment()
	}
	if l.unsure != nil {
		return l.settle(records)
	}
	body := packed(records)
	if l.file == nil {
		return l.beginSegment(kindBegin, begin{previous: l.before, bytes: l.counting}, body)
	}
	if err := l.write(kindRecords, body); err != nil {
		l.closeSegment()
		return err
	}
	l.counting = l.current.length
	return nil
}

// beginSegment makes a new segment with its first frame durable, under a durable name.
func (l *Log) beginSegment(kind frameKind, head begin, body pieces) error {
	l.newest++
	name := segmentName(l.newest)
	file, err := l.fs.Create(name)
	if err != nil {
		return &DiskError{Step: "create", File: name, Err: err}
	}
	l.file, l.current = file, segment{number: l.newest}
	if err := l.write(kind, append(pieces{head.encode()}, body...)); err != nil {
		l.closeSegment()
		return err
	}
	if err := l.fs.SyncDirectory(); err != nil {
		l.closeSegment()
		return &DiskError{Step: "sync the folder for", File: name, Err: err}
	}
	l.before, l.counting = l.current.number, l.current.length
	return nil
}

// write adds one synced frame to the open segment.
func (l *Log) write(kind frameKind, body pieces) error {
	name := segmentName(l.current.number)
	written, err := writeFrame(l.file, name, kind, body)
	if err != nil {
		return err
	}
	l.current.length += uint64(written)
	l.held += int64(written)
	return nil
}

// smallFrame is up to which size a frame is put together in memory to save calls.
const smallFrame = 64 << 10

func writeFrame(file File, name string, kind frameKind, body pieces) (int, error) {
	parts := append(pieces{frame(kind, body)}, body...)
	length := parts.length()
	if length <= smallFrame {
		parts = pieces{bytes.Join(parts, nil)}
	}
	for _, part := range parts {
		if _, err := file.Write(part); err != nil {
			return 0, &DiskError{Step: "write", File: name, Err: err}
		}
	}
	if err := file.Sync(); err != nil {
		return 0, &DiskError{Step: "sync", File: name, Err: err}
	}
	return length, nil
}

func (l *Log) closeSegment() {
	if l.file != nil {
		_ = l.file.Close() // what counts is synced already
		l.file = nil
	}
}

// Checkpoint writes the snapshot and begins a segment with records that, together with the snapshot, stand for
// everything before. Then it removes what is no longer needed. A nil snapshot keeps the newest one.
func (l *Log) Checkpoint(snapshot []byte, records [][]byte) error {
	number := l.snapshot
	if snapshot != nil {
		l.numbered++
		number = l.numbered
		if err := l.writeSnapshot(snapshotName(number), snapshot); err != nil {
			return err
		}
	}
	before := l.held
	l.closeSegment()
	l.held = 0
	head := begin{previous: l.before, bytes: l.counting, snapshot: number}
	if err := l.beginSegment(kindCheckpoint, head, packed(records)); err != nil {
		l.held += before
		return err
	}
	l.snapshot, l.unsure = number, nil
	l.removeOld()
	return nil
}

// writeSnapshot makes the snapshot durable under a temporary name before it takes its own.
func (l *Log) writeSnapshot(name string, snapshot []byte) error {
	file, err := l.fs.Create(temporaryName)
	if err != nil {
		return &DiskError{Step: "create", File: temporaryName, Err: err}
	}
	_, err = writeFrame(file, temporaryName, kindSnapshot, pieces{snapshot})
	if closing := file.Close(); err == nil && closing != nil {
		err = &DiskError{Step: "close", File: temporaryName, Err: closing}
	}
	if err != nil {
		return err
	}
	if err := l.fs.Rename(temporaryName, name); err != nil {
		return &DiskError{Step: "rename to", File: name, Err: err}
	}
	if err := l.fs.SyncDirectory(); err != nil {
		return &DiskError{Step: "sync the folder for", File: name, Err: err}
	}
	return nil
}

// removeOld removes segments and snapshots that the newest checkpoint stands for. What can't be removed is
// ignored by recovery and tried again at the next checkpoint.
func (l *Log) removeOld() {
	names, err := l.fs.List()
	if err != nil {
		return
	}
	found := sortNames(names)
	for _, number := range found.segments {
		if number < l.current.number {
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

// probeBytes is how much a probe writes.
const probeBytes = 4 << 10

// CheckWritable tells whether the disk takes a write and a sync now.
func (l *Log) CheckWritable() error {
	file, err := l.fs.Create(temporaryName)
	if err != nil {
		return &DiskError{Step: "create", File: temporaryName, Err: err}
	}
	defer file.Close()
	if _, err := file.Write(make([]byte, probeBytes)); err != nil {
		return &DiskError{Step: "write", File: temporaryName, Err: err}
	}
	if err := file.Sync(); err != nil {
		return &DiskError{Step: "sync", File: temporaryName, Err: err}
	}
	return nil
}

// Snapshot reads the newest snapshot that counts; nil when there is none.
func (l *Log) Snapshot() ([]byte, error) {
	if l.snapshot == 0 {
		return nil, nil
	}
	return readSnapshot(l.fs, l.snapshot)
}

// BytesSinceCheckpoint is how many bytes were written since the newest checkpoint, that one included.
func (l *Log) BytesSinceCheckpoint() int64 { return l.held }

// Close closes the open segment. Everything acknowledged is on disk already.
func (l *Log) Close() { l.closeSegment() }
