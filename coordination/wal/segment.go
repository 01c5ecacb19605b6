package wal

import (
	"encoding/binary"
	"fmt"
)

// segmentHeader is at the beginning of the body of a segment's first frame, before the records. Its encoding is stored on
// disk and must not change.
type segmentHeader struct {
	previous       uint64 // number of the previous segment; 0 when there is none
	previousBytes  uint64 // how many bytes of that segment are valid
	snapshotNumber uint64 // number of the snapshot that belongs to a checkpoint; 0 when there is none
}

const segmentHeaderLength = 3 * 8

func (h segmentHeader) encode() []byte {
	body := make([]byte, 0, segmentHeaderLength)
	body = binary.BigEndian.AppendUint64(body, h.previous)
	body = binary.BigEndian.AppendUint64(body, h.previousBytes)
	return binary.BigEndian.AppendUint64(body, h.snapshotNumber)
}

func decodeSegmentHeader(body []byte) (header segmentHeader, rest []byte, ok bool) {
	if len(body) < segmentHeaderLength {
		return segmentHeader{}, nil, false
	}
	return segmentHeader{
		previous:       binary.BigEndian.Uint64(body),
		previousBytes:  binary.BigEndian.Uint64(body[8:]),
		snapshotNumber: binary.BigEndian.Uint64(body[16:]),
	}, body[segmentHeaderLength:], true
}

// segment is the decoded content of a segment file.
type segment struct {
	number     uint64
	header     segmentHeader
	checkpoint bool
	records    [][]byte
	length     uint64 // total size of its complete frames in bytes
	tornTail   bool   // an incomplete frame follows the last complete one

	lastFrameOffset  uint64   // offset of its newest complete frame
	lastFrameRecords [][]byte // the records of that frame
}

// decodeSegment decodes the complete frames at the beginning of data and also returns the data after them. It reports
// false when the first frame is incomplete or has no segment header, or when the records of a frame can't be decoded.
func decodeSegment(number uint64, data []byte) (s *segment, rest []byte, ok bool) {
	kind, body, rest, ok := decodeFrame(data)
	if !ok || (kind != kindSegment && kind != kindCheckpoint) {
		return nil, data, false
	}
	header, body, ok := decodeSegmentHeader(body)
	if !ok {
		return nil, data, false
	}
	s = &segment{number: number, header: header, checkpoint: kind == kindCheckpoint}
	for {
		records, ok := decodeRecords(body)
		if !ok {
			return nil, data, false
		}
		s.records = append(s.records, records...)
		s.lastFrameOffset, s.lastFrameRecords = s.length, records
		s.length = uint64(len(data) - len(rest))
		var next []byte
		kind, body, next, ok = decodeFrame(rest)
		if !ok || kind != kindRecords {
			return s, rest, true
		}
		rest = next
	}
}

// newestSegment reads the newest segment whose first frame is complete. Segments after it were never acknowledged. It
// returns nil when there is none.
func (l *Log) newestSegment(numbers []uint64) (*segment, error) {
	for i := len(numbers) - 1; i >= 0; i-- {
		data, err := l.readSegmentFile(numbers[i])
		if err != nil {
			return nil, err
		}
		s, rest, ok := decodeSegment(numbers[i], data)
		if !ok && containsLaterFrame(data) {
			return nil, fmt.Errorf("%w: %s has lost its first frame", ErrCorrupt, segmentName(numbers[i]))
		}
		if !ok {
			continue
		}
		if containsLaterFrame(rest) {
			return nil, fmt.Errorf("%w: %s at byte %d", ErrCorrupt, segmentName(numbers[i]), s.length)
		}
		s.tornTail = len(rest) > 0
		return s, nil
	}
	return nil, nil
}

// previousSegment reads the valid bytes of the segment before the given one.
func (l *Log) previousSegment(of *segment) (*segment, error) {
	number, length := of.header.previous, of.header.previousBytes
	name := segmentName(number)
	data, err := l.readSegmentFile(number)
	if err != nil {
		return nil, fmt.Errorf("%w: %s is needed: %w", ErrCorrupt, name, err)
	}
	if uint64(len(data)) < length {
		return nil, fmt.Errorf("%w: %s ends at byte %d of %d", ErrCorrupt, name, len(data), length)
	}
	s, rest, ok := decodeSegment(number, data[:length])
	if !ok || len(rest) > 0 {
		return nil, fmt.Errorf("%w: %s before byte %d", ErrCorrupt, name, length)
	}
	return s, nil
}

func (l *Log) readSegmentFile(number uint64) ([]byte, error) {
	data, err := l.fs.Read(segmentName(number))
	if err != nil {
		return nil, &DiskError{Step: "read", File: segmentName(number), Err: err}
	}
	return data, nil
}
