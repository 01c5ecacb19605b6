package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is magic, kind, length of the body, checksum over kind, length and body, then the body.
const (
	frameMagic  = "RTw1"
	frameHeader = len(frameMagic) + 1 + 4 + 4
)

type frameKind byte

// The kinds of frames.
const (
	kindBegin      frameKind = iota + 1 // first of a segment
	kindCheckpoint                      // first of a segment that stands for all before it
	kindRecords
	kindSnapshot
)

// pieces is a body in parts, so that large records need not be copied.
type pieces [][]byte

func (p pieces) length() int {
	length := 0
	for _, piece := range p {
		length += len(piece)
	}
	return length
}

// frame returns the header of a frame with that body.
func frame(kind frameKind, body pieces) []byte {
	header := make([]byte, 0, frameHeader)
	header = append(header, frameMagic...)
	header = append(header, byte(kind))
	header = binary.BigEndian.AppendUint32(header, uint32(body.length()))
	sum := checksum(header[len(frameMagic):], body)
	return binary.BigEndian.AppendUint32(header, sum)
}

func checksum(head []byte, body pieces) uint32 {
	table := crc32.MakeTable(crc32.Castagnoli)
	sum := crc32.Update(0, table, head)
	for _, piece := range body {
		sum = crc32.Update(sum, table, piece)
	}
	return sum
}

// readFrame reads the frame at the beginning of data. It tells false when there is no whole frame.
func readFrame(data []byte) (kind frameKind, body, rest []byte, ok bool) {
	if len(data) < frameHeader || string(data[:len(frameMagic)]) != frameMagic {
		return 0, nil, nil, false
	}
	head := data[len(frameMagic) : frameHeader-4]
	length := int(binary.BigEndian.Uint32(head[1:]))
	if length > len(data)-frameHeader {
		return 0, nil, nil, false
	}
	body = data[frameHeader : frameHeader+length]
	if checksum(head, pieces{body}) != binary.BigEndian.Uint32(data[frameHeader-4:]) {
		return 0, nil, nil, false
	}
	return frameKind(head[0]), body, data[frameHeader+length:], true
}

// laterFrame tells whether a whole frame begins anywhere in data behind its first byte.
func laterFrame(data []byte) bool {
	for at := 1; at+frameHeader <= len(data); at++ {
		if string(data[at:at+len(frameMagic)]) != frameMagic {
			continue
		}
		if _, _, _, ok := readFrame(data[at:]); ok {
			return true
		}
	}
	return false
}

// begin is what the first frame of a segment tells before its records.
type begin struct {
	previous uint64 // number of the segment before; 0 when there is none
	bytes    uint64 // of that segment that count
	snapshot uint64 // number of the snapshot that a checkpoint builds on; 0 when there is none
}

const beginLength = 3 * 8

func (b begin) encode() []byte {
	body := make([]byte, 0, beginLength)
	body = binary.BigEndian.AppendUint64(body, b.previous)
	body = binary.BigEndian.AppendUint64(body, b.bytes)
	return binary.BigEndian.AppendUint64(body, b.snapshot)
}

func decodeBegin(body []byte) (begin, []byte, bool) {
	if len(body) < beginLength {
		return begin{}, nil, false
	}
	return begin{
		previous: binary.BigEndian.Uint64(body),
		bytes:    binary.BigEndian.Uint64(body[8:]),
		snapshot: binary.BigEndian.Uint64(body[16:]),
	}, body[beginLength:], true
}

// packed puts the length before each record.
func packed(records [][]byte) pieces {
	body := make(pieces, 0, 2*len(records))
	for _, record := range records {
		body = append(body, binary.BigEndian.AppendUint32(nil, uint32(len(record))), record)
	}
	return body
}

func unpack(body []byte) ([][]byte, bool) {
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
