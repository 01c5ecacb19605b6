package journal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"strings"
)

type kind byte

const (
	kindAccepted            kind = 'T' // the message is accepted
	kindAttemptBegun        kind = 'B' // an attempt is about to be sent
	kindNeverRan            kind = 'N' // the attempt has ended and did not run
	kindMayHaveRun          kind = 'M' // the attempt has ended and may have run
	kindEnded               kind = 'E' // the courier has ended the message; the notice is pending
	kindDone                kind = 'O' // the message is finished and no notice is pending
	kindAttemptCount        kind = 'C' // number of attempts so far; written when the file is rewritten
	kindPriorRun            kind = 'P' // of a resend: an earlier attempt that may have run
	kindHandedOver          kind = 'H' // the next process owns the message from now on
	kindAdopted             kind = 'A' // adopted from the journal of an earlier process, which may still exist
	kindPredecessorsRemoved kind = 'S' // the journals of earlier processes have been deleted
	kindPeerWait            kind = 'W' // the peer, whose name is the ID, asked the courier to wait until then
	kindClosing             kind = 'Q' // the process begins no further calls; with its data for the next process
)

// Record is one entry of the journal.
type Record struct {
	kind         kind
	id           string
	msg          *Message
	attempt      Attempt
	end          End
	number       int64
	handoverData []byte

	outcome string // of the attempt, if it is to be recorded
}

// Accepted records that the courier has accepted the message.
func Accepted(m *Message) Record { return Record{kind: kindAccepted, id: m.ID, msg: m} }

// AttemptBegun records that an attempt is about to be sent.
func AttemptBegun(id string, t Attempt) Record {
	return Record{kind: kindAttemptBegun, id: id, attempt: t}
}

// NeverRan records that the attempt in flight has ended with this outcome and did not run.
func NeverRan(id, outcome string) Record { return Record{kind: kindNeverRan, id: id, outcome: outcome} }

// MayHaveRun records that the attempt in flight has ended with this outcome and may have run.
func MayHaveRun(id, outcome string) Record {
	return Record{kind: kindMayHaveRun, id: id, outcome: outcome}
}

// PriorRun records, for a resend, an earlier attempt that may have run.
func PriorRun(id string, t Attempt) Record { return Record{kind: kindPriorRun, id: id, attempt: t} }

// Ended records that the courier has ended the message and has yet to notify the platform.
func Ended(id string, e End) Record { return Record{kind: kindEnded, id: id, end: e} }

// Done records that the message is finished and no notice is pending.
func Done(id string) Record { return Record{kind: kindDone, id: id} }

// HandedOver records that the next process owns the message from now on.
func HandedOver(id string) Record { return Record{kind: kindHandedOver, id: id} }

// Adopted returns the records that copy an unfinished message of an earlier process into this journal.
func Adopted(m MessageState) []Record {
	m.HandedOver = false
	return append([]Record{{kind: kindAdopted, id: m.ID}}, m.records()...)
}

// PredecessorsRemoved records that the journals of all earlier processes have been deleted.
func PredecessorsRemoved() Record { return Record{kind: kindPredecessorsRemoved} }

// PeerWait records that the peer asked the courier to wait until the given Unix time in nanoseconds.
func PeerWait(peer string, until int64) Record {
	return Record{kind: kindPeerWait, id: peer, number: until}
}

// Closing records that the process begins no further calls, and its data for the next process.
func Closing(handoverData []byte) Record {
	return Record{kind: kindClosing, handoverData: handoverData}
}

// An encoded record consists of recordMarker, the length and the checksum of the payload (4 bytes each), and the
// payload: the kind, the ID and the fields of the kind. Numbers are varints; strings are preceded by their length.
const (
	recordMarker    = "\xa7\x52\n"
	headerSize      = len(recordMarker) + 8
	maxPayloadBytes = 1 << 20 // of one record
)

// sizeWithProgress returns the encoded size of the record plus 256 bytes for the attempts and the end of its message.
func (r Record) sizeWithProgress() int64 { return int64(len(r.append(nil))) + 256 }

// append appends the encoded record to b.
func (r Record) append(b []byte) []byte {
	b = append(b, recordMarker...)
	start := len(b) + 8
	b = append(b, make([]byte, 8)...)
	b = append(b, byte(r.kind))
	b = appendString(b, r.id)
	switch r.kind {
	case kindAccepted:
		m := r.msg
		for _, s := range []string{m.Key, m.Class, m.Tenant} {
			b = appendString(b, s)
		}
		b = binary.AppendVarint(binary.AppendVarint(b, m.Dest), m.ExpiresAt)
		b = append(binary.AppendUvarint(b, uint64(len(m.Body))), m.Body...)
		b = appendString(binary.AppendVarint(binary.AppendVarint(b, m.AcceptedAt), m.ResendNumber), m.ClassTerms)
	case kindNeverRan, kindMayHaveRun:
		b = appendString(b, r.outcome)
	case kindAttemptBegun, kindPriorRun:
		b = appendString(appendString(b, r.attempt.Peer), r.attempt.Zone)
		b = binary.AppendVarint(b, r.attempt.At)
	case kindEnded:
		b = binary.AppendVarint(b, map[bool]int64{true: 1}[r.end.Deferred])
		b = binary.AppendVarint(b, r.end.RetryAfterMS)
	case kindAttemptCount, kindPeerWait:
		b = binary.AppendVarint(b, r.number)
	case kindClosing:
		b = appendString(b, string(r.handoverData))
	}
	binary.BigEndian.PutUint32(b[start-8:], uint32(len(b)-start))
	binary.BigEndian.PutUint32(b[start-4:], crc32.ChecksumIEEE(b[start:]))
	return b
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// records returns the records that reproduce the message and its progress.
func (m *MessageState) records() []Record {
	records := []Record{Accepted(m.Message)}
	recorded, firstRunRecorded := 0, m.FirstRun == nil
	if m.PriorRun != nil {
		records, firstRunRecorded = append(records, PriorRun(m.ID, *m.PriorRun)), true
	}
	for _, t := range m.Completed {
		records = append(records, AttemptBegun(m.ID, t.Attempt))
		recorded++
		if !firstRunRecorded && t.Attempt == *m.FirstRun {
			records, firstRunRecorded = append(records, MayHaveRun(m.ID, t.Outcome)), true
		} else { // only the first attempt that may have run matters; later ones are recorded as not run
			records = append(records, NeverRan(m.ID, t.Outcome))
		}
	}
	if !firstRunRecorded && (m.InFlight == nil || *m.InFlight != *m.FirstRun) {
		records = append(records, AttemptBegun(m.ID, *m.FirstRun), MayHaveRun(m.ID, ""))
		recorded++
	}
	if m.InFlight != nil {
		records = append(records, AttemptBegun(m.ID, *m.InFlight))
		recorded++
	}
	if m.AttemptCount > recorded {
		records = append(records, Record{kind: kindAttemptCount, id: m.ID, number: int64(m.AttemptCount)})
	}
	if m.PendingNotice != nil {
		records = append(records, Ended(m.ID, *m.PendingNotice))
	}
	if m.HandedOver {
		records = append(records, HandedOver(m.ID))
	}
	return records
}

// decode calls each for every valid record and returns the number of bytes that are not part of one. It skips
// truncated and corrupt records up to the next valid one.
func decode(b []byte, each func(Record)) (invalid int) {
	partial, invalid := decodePrefix(b, each)
	return invalid + len(partial)
}

// decodePrefix is decode for a file that is still being written: it returns an incomplete record at the end as
// partial.
func decodePrefix(b []byte, each func(Record)) (partial []byte, invalid int) {
	for len(b) > 0 {
		r, n, err := decodeFirst(b)
		if err == errIncomplete {
			if i := bytes.Index(b[1:], []byte(recordMarker)); i < 0 {
				return b, invalid
			}
		}
		if err != nil {
			n = 1
			if i := bytes.Index(b[1:], []byte(recordMarker)); i >= 0 {
				n = 1 + i
			} else {
				n = len(b)
			}
			invalid += n
		} else {
			each(r)
		}
		b = b[n:]
	}
	return nil, invalid
}

var (
	errInvalid    = errors.New("not a valid record")
	errIncomplete = errors.New("incomplete record")
)

// decodeFirst decodes the record at the start of b and returns its encoded length.
func decodeFirst(b []byte) (Record, int, error) {
	if len(b) < headerSize && strings.HasPrefix(recordMarker, string(b[:min(len(b), len(recordMarker))])) {
		return Record{}, 0, errIncomplete
	}
	if len(b) < headerSize || string(b[:len(recordMarker)]) != recordMarker {
		return Record{}, 0, errInvalid
	}
	n := int(binary.BigEndian.Uint32(b[len(recordMarker):]))
	checksum := binary.BigEndian.Uint32(b[len(recordMarker)+4:])
	if n <= maxPayloadBytes && len(b) < headerSize+n {
		return Record{}, 0, errIncomplete
	}
	if n > maxPayloadBytes || crc32.ChecksumIEEE(b[headerSize:headerSize+n]) != checksum {
		return Record{}, 0, errInvalid
	}
	d := &reader{b: b[headerSize : headerSize+n]}
	r := Record{kind: kind(d.byte())}
	r.id = d.str()
	switch r.kind {
	case kindAccepted:
		m := &Message{ID: r.id, Key: d.str(), Class: d.str(), Tenant: d.str(), Dest: d.int(), ExpiresAt: d.int()}
		m.Body = bytes.Clone(d.bytes())
		if len(d.b) > 0 { // older builds did not write the following fields
			m.AcceptedAt, m.ResendNumber = d.int(), d.int()
		}
		if len(d.b) > 0 {
			m.ClassTerms = d.str()
		}
		r.msg = m
	case kindAttemptBegun, kindPriorRun:
		r.attempt = Attempt{Peer: d.str(), Zone: d.str(), At: d.int()}
	case kindEnded:
		r.end = End{Deferred: d.int() == 1, RetryAfterMS: d.int()}
	case kindAttemptCount, kindPeerWait:
		r.number = d.int()
	case kindClosing:
		r.handoverData = bytes.Clone(d.bytes())
	case kindNeverRan, kindMayHaveRun:
		if len(d.b) > 0 {
			r.outcome = d.str()
		}
	case kindDone, kindHandedOver, kindAdopted, kindPredecessorsRemoved:
	default:
		return Record{}, 0, errInvalid
	}
	if d.failed {
		return Record{}, 0, errInvalid
	}
	return r, headerSize + n, nil
}

// reader decodes the fields of a payload in order. failed is set if one is missing or invalid.
type reader struct {
	b      []byte
	failed bool
}

func (d *reader) byte() byte {
	if len(d.b) == 0 {
		d.failed = true
		return 0
	}
	c := d.b[0]
	d.b = d.b[1:]
	return c
}

func (d *reader) int() int64 {
	v, n := binary.Varint(d.b)
	if n <= 0 {
		d.failed = true
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *reader) bytes() []byte {
	v, n := binary.Uvarint(d.b)
	if n <= 0 || v > uint64(len(d.b)-n) {
		d.failed = true
		return nil
	}
	value := d.b[n : n+int(v)]
	d.b = d.b[n+int(v):]
	return value
}

func (d *reader) str() string { return string(d.bytes()) }
