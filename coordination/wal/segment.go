package wal

import (
	"encoding/binary"
	"fmt"
)

// segmentHeader is what the first frame of a segment contains before its records. Its layout is stored.
type segmentHeader struct {
	previous      uint64 // number of the segment before; 0 when there is none
	previousBytes uint64 // how many bytes of that segment are valid
	snapshot      uint64 // number of the snapshot that a checkpoint builds on; 0 when there is none
}

const segmentHeaderLength = 3 * 8

func (h segmentHeader) encode() []byte {
	body := make([]byte, 0, segmentHeaderLength)
	body = binary.BigEndian.AppendUint64(body, h.previous)
	body = binary.BigEndian.AppendUint64(body, h.previousBytes)
	return binary.BigEndian.AppendUint64(body, h.snapshot)
}

func decodeSegmentHeader(body []byte) (header segmentHeader, rest []byte, ok bool) {
	if len(body) < segmentHeaderLength {
		return segmentHeader{}, nil, false
	}
	return segmentHeader{
		previous:      binary.BigEndian.Uint64(body),
		previousBytes: binary.BigEndian.Uint64(body[8:]),
		snapshot:      binary.BigEndian.Uint64(body[16:]),
	}, body[segmentHeaderLength:], true
}

// segment is a segment as it was read from the disk.
type segment struct {
	number     uint64
	header     segmentHeader
	checkpoint bool
	records    [][]byte
	length     uint64 // of its complete frames, in bytes
	tornTail   bool   // it ends in an incomplete frame

	lastFrame        uint64   // offset of its newest complete frame
	lastFrameRecords [][]byte // the records of that frame
}

// decodeSegment decodes frames as far as they are complete. It reports false when not even the first one is, or it
// isn't a segment's header.
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
		s.lastFrame, s.lastFrameRecords = s.length, records
		s.length = uint64(len(data) - len(rest))
		var next []byte
		kind, body, next, ok = decodeFrame(rest)
		if !ok || kind != kindRecords {
			return s, rest, true
		}
		rest = next
	}
}

// newestSegment reads the newest segment whose header is complete. Newer ones were never acknowledged. It returns nil
// when there is none.
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

// previousSegment reads the segment that the given one follows, up to the end of its valid bytes.
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
