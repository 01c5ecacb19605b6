package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame consists of magic, kind (1 byte), length of the body (4 bytes), CRC-32C of kind, length and body (4 bytes), and
// the body. Integers are big-endian. Production disks contain frames of this format, so it must not change.
const (
	frameMagic        = "RTw1"
	frameHeaderLength = len(frameMagic) + 1 + 4 + 4
)

// frameKind is the type of a frame's body. The values are stored on disk and must not change.
type frameKind byte

const (
	kindSegment    frameKind = iota + 1 // header and first records of a segment that continues the previous one
	kindCheckpoint                      // header and first records of a segment that replaces all earlier ones
	kindRecords                         // further records
	kindSnapshot                        // the only frame of a snapshot file
)

// maxJoinedFrameBytes is the largest size at which a frame is copied into one buffer, to be written with a single write.
const maxJoinedFrameBytes = 64 << 10

// buffers is a sequence of bytes in several slices, so that large records need not be copied.
type buffers [][]byte

func (b buffers) length() int {
	length := 0
	for _, buffer := range b {
		length += len(buffer)
	}
	return length
}

// encodeFrameHeader returns the header, magic to checksum, of a frame with the given body.
func encodeFrameHeader(kind frameKind, body buffers) []byte {
	header := make([]byte, 0, frameHeaderLength)
	header = append(header, frameMagic...)
	header = append(header, byte(kind))
	header = binary.BigEndian.AppendUint32(header, uint32(body.length()))
	sum := checksum(header[len(frameMagic):], body)
	return binary.BigEndian.AppendUint32(header, sum)
}

// checksum returns the CRC-32C of the covered part of the header, which is kind and length, and of the body.
func checksum(covered []byte, body buffers) uint32 {
	table := crc32.MakeTable(crc32.Castagnoli)
	sum := crc32.Update(0, table, covered)
	for _, buffer := range body {
		sum = crc32.Update(sum, table, buffer)
	}
	return sum
}

// decodeFrame decodes the frame at the beginning of data and also returns the data after it. It reports false when there
// is no complete, intact frame.
func decodeFrame(data []byte) (kind frameKind, body, rest []byte, ok bool) {
	if len(data) < frameHeaderLength || string(data[:len(frameMagic)]) != frameMagic {
		return 0, nil, nil, false
	}
	covered := data[len(frameMagic) : frameHeaderLength-4]
	length := int(binary.BigEndian.Uint32(covered[1:]))
	if length > len(data)-frameHeaderLength {
		return 0, nil, nil, false
	}
	body = data[frameHeaderLength : frameHeaderLength+length]
	if checksum(covered, buffers{body}) != binary.BigEndian.Uint32(data[frameHeaderLength-4:]) {
		return 0, nil, nil, false
	}
	return frameKind(covered[0]), body, data[frameHeaderLength+length:], true
}

// containsLaterFrame reports whether a complete frame begins at any offset in data other than 0.
func containsLaterFrame(data []byte) bool {
	for offset := 1; offset+frameHeaderLength <= len(data); offset++ {
		if string(data[offset:offset+len(frameMagic)]) != frameMagic {
			continue
		}
		if _, _, _, ok := decodeFrame(data[offset:]); ok {
			return true
		}
	}
	return false
}

// writeFrame writes one frame to the file and syncs the file. It returns the length of the frame in bytes.
func writeFrame(file File, name string, kind frameKind, body buffers) (int, error) {
	frame := append(buffers{encodeFrameHeader(kind, body)}, body...)
	length := frame.length()
	if length <= maxJoinedFrameBytes {
		frame = buffers{bytes.Join(frame, nil)}
	}
	for _, buffer := range frame {
		if _, err := file.Write(buffer); err != nil {
			return 0, &DiskError{Step: "write", File: name, Err: err}
		}
	}
	if err := file.Sync(); err != nil {
		return 0, &DiskError{Step: "sync", File: name, Err: err}
	}
	return length, nil
}

// encodeRecords returns the records, each preceded by its length.
func encodeRecords(records [][]byte) buffers {
	body := make(buffers, 0, 2*len(records))
	for _, record := range records {
		body = append(body, binary.BigEndian.AppendUint32(nil, uint32(len(record))), record)
	}
	return body
}

// decodeRecords is the inverse of encodeRecords. It reports false when a length doesn't fit the body.
func decodeRecords(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		length := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if length > len(body) {
			return nil, false
		}
		records = append(records, body[:length:length])
		body = body[length:]
	}
	return records, true
}
