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
	taken      kind = 'T' // taken on
	begun      kind = 'B' // a try is about to be sent
	neverRan   kind = 'N' // the try has ended and never ran
	mayHaveRun kind = 'M' // the try has ended and may have run
	ended      kind = 'E' // ended by the courier; a notice is owed
	over       kind = 'O' // nothing more is owed
	counted    kind = 'C' // so many tries before, written when the file is made anew
	prior      kind = 'P' // of a resend: a try of an earlier life of the message that may have run
	handed     kind = 'H' // handed over: the life that follows owns the message from now on
	adopted    kind = 'A' // taken up from the journal of an earlier life, which may still be there
	settled    kind = 'S' // the journals of earlier lives are gone
	wait       kind = 'W' // the peer, named as the id, told to wait until then
	closing    kind = 'Q' // this life begins nothing any more; with what it leaves to the one that follows
)

// Record is one line of the journal.
type Record struct {
	kind kind
	id   string
	msg  *Message
	try  Try
	end  End
	n    int64
	left []byte

	outcome string // of the try, if it is to be remembered
}

// Taken says that the message is taken on.
func Taken(m *Message) Record { return Record{kind: taken, id: m.ID, msg: m} }

// Begun says that a try is about to be sent.
func Begun(id string, t Try) Record { return Record{kind: begun, id: id, try: t} }

// NeverRan says that the try that was out has ended so and never ran.
func NeverRan(id, outcome string) Record { return Record{kind: neverRan, id: id, outcome: outcome} }

// MayHaveRun says that the try that was out has ended so and may have run.
func MayHaveRun(id, outcome string) Record { return Record{kind: mayHaveRun, id: id, outcome: outcome} }

// Prior says of a resend that this try, before it, may have run.
func Prior(id string, t Try) Record { return Record{kind: prior, id: id, try: t} }

// Ended says that the courier has ended the message, and owes a notice of it.
func Ended(id string, e End) Record { return Record{kind: ended, id: id, end: e} }

// Over says that nothing more is owed.
func Over(id string) Record { return Record{kind: over, id: id} }

// Handed says that the life that follows owns the message from now on.
func Handed(id string) Record { return Record{kind: handed, id: id} }

// Adopted tells what is known of a message that an earlier life left, as part of this life's journal.
func Adopted(k Kept) []Record {
	k.Handed = false
	return append([]Record{{kind: adopted, id: k.ID}}, k.records()...)
}

// Settled says that no journal of an earlier life is there any more.
func Settled() Record { return Record{kind: settled} }

// Wait says that the peer was told to wait until then, in Unix time in nanoseconds.
func Wait(peer string, until int64) Record { return Record{kind: wait, id: peer, n: until} }

// Closing says that this life begins nothing any more, and what it leaves beside its messages.
func Closing(left []byte) Record { return Record{kind: closing, left: left} }

// A record is a mark, the length and checksum of its text, and the text: kind, id, and
// what the kind holds, numbers as varints and strings with their length before them.
const (
	mark      = "\xa7\x52\n"
	headBytes = len(mark) + 8
	mostBytes = 1 << 20 // of one record's text
)

func (r Record) size() int64 { return int64(len(r.append(nil))) + 256 } // with its tries and end

func (r Record) append(b []byte) []byte {
	b = append(b, mark...)
	start := len(b) + 8
	b = append(b, make([]byte, 8)...)
	b = append(b, byte(r.kind))
	b = text(b, r.id)
	switch r.kind {
	case taken:
		m := r.msg
		for _, s := range []string{m.Key, m.Class, m.Tenant} {
			b = text(b, s)
		}
		b = binary.AppendVarint(binary.AppendVarint(b, m.Dest), m.Until)
		b = append(binary.AppendUvarint(b, uint64(len(m.Body))), m.Body...)
		b = text(binary.AppendVarint(binary.AppendVarint(b, m.Since), m.Resend), m.Terms)
	case neverRan, mayHaveRun:
		b = text(b, r.outcome)
	case begun, prior:
		b = text(text(b, r.try.Peer), r.try.Zone)
		b = binary.AppendVarint(b, r.try.At)
	case ended:
		b = binary.AppendVarint(b, map[bool]int64{true: 1}[r.end.Deferred])
		b = binary.AppendVarint(b, r.end.AgainMS)
	case counted, wait:
		b = binary.AppendVarint(b, r.n)
	case closing:
		b = text(b, string(r.left))
	}
	binary.BigEndian.PutUint32(b[start-8:], uint32(len(b)-start))
	binary.BigEndian.PutUint32(b[start-4:], crc32.ChecksumIEEE(b[start:]))
	return b
}

func text(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// records tell all that is known of the message.
func (k *Kept) records() []Record {
	rs := []Record{Taken(k.Message)}
	known, ran := 0, k.Ran == nil
	if k.Prior != nil {
		rs, ran = append(rs, Prior(k.ID, *k.Prior)), true
	}
	for _, t := range k.Past {
		rs = append(rs, Begun(k.ID, t.Try))
		known++
		if !ran && t.Try == *k.Ran {
			rs, ran = append(rs, MayHaveRun(k.ID, t.Outcome)), true
		} else { // Ran is the first alone: what came after it need not say so again
			rs = append(rs, NeverRan(k.ID, t.Outcome))
		}
	}
	if !ran && (k.Out == nil || *k.Out != *k.Ran) {
		rs = append(rs, Begun(k.ID, *k.Ran), MayHaveRun(k.ID, ""))
		known++
	}
	if k.Out != nil {
		rs = append(rs, Begun(k.ID, *k.Out))
		known++
	}
	if k.Tries > known {
		rs = append(rs, Record{kind: counted, id: k.ID, n: int64(k.Tries)})
	}
	if k.Owed != nil {
		rs = append(rs, Ended(k.ID, *k.Owed))
	}
	if k.Handed {
		rs = append(rs, Handed(k.ID))
	}
	return rs
}

// decode calls each for every whole record and returns how many bytes were no part of one.
// What was torn or spoilt is passed over up to the next whole record.
func decode(b []byte, each func(Record)) (bad int) {
	rest, bad := decodeHead(b, each)
	return bad + len(rest)
}

// decodeHead does so for a file that is still being written: a record at its end that has not come whole is
// returned.
func decodeHead(b []byte, each func(Record)) (rest []byte, bad int) {
	for len(b) > 0 {
		r, n, err := first(b)
		if err == errPart {
			if i := bytes.Index(b[1:], []byte(mark)); i < 0 {
				return b, bad
			}
		}
		if err != nil {
			n = 1
			if i := bytes.Index(b[1:], []byte(mark)); i >= 0 {
				n = 1 + i
			} else {
				n = len(b)
			}
			bad += n
		} else {
			each(r)
		}
		b = b[n:]
	}
	return nil, bad
}

var (
	errSpoilt = errors.New("no whole record")
	errPart   = errors.New("a record that has not come whole")
)

// first reads the record at the head of b, and says how long it is.
func first(b []byte) (Record, int, error) {
	if len(b) < headBytes && strings.HasPrefix(mark, string(b[:min(len(b), len(mark))])) {
		return Record{}, 0, errPart
	}
	if len(b) < headBytes || string(b[:len(mark)]) != mark {
		return Record{}, 0, errSpoilt
	}
	n := int(binary.BigEndian.Uint32(b[len(mark):]))
	sum := binary.BigEndian.Uint32(b[len(mark)+4:])
	if n <= mostBytes && len(b) < headBytes+n {
		return Record{}, 0, errPart
	}
	if n > mostBytes || crc32.ChecksumIEEE(b[headBytes:headBytes+n]) != sum {
		return Record{}, 0, errSpoilt
	}
	d := &reader{b: b[headBytes : headBytes+n]}
	r := Record{kind: kind(d.byte())}
	r.id = d.text()
	switch r.kind {
	case taken:
		m := &Message{ID: r.id, Key: d.text(), Class: d.text(), Tenant: d.text(), Dest: d.int(), Until: d.int()}
		m.Body = bytes.Clone(d.bytes())
		if len(d.b) > 0 { // an older build wrote no more
			m.Since, m.Resend = d.int(), d.int()
		}
		if len(d.b) > 0 {
			m.Terms = d.text()
		}
		r.msg = m
	case begun, prior:
		r.try = Try{Peer: d.text(), Zone: d.text(), At: d.int()}
	case ended:
		r.end = End{Deferred: d.int() == 1, AgainMS: d.int()}
	case counted, wait:
		r.n = d.int()
	case closing:
		r.left = bytes.Clone(d.bytes())
	case neverRan, mayHaveRun:
		if len(d.b) > 0 {
			r.outcome = d.text()
		}
	case over, handed, adopted, settled:
	default:
		return Record{}, 0, errSpoilt
	}
	if d.bad {
		return Record{}, 0, errSpoilt
	}
	return r, headBytes + n, nil
}

// reader takes values off a record's text; bad says that one was missing.
type reader struct {
	b   []byte
	bad bool
}

func (d *reader) byte() byte {
	if len(d.b) == 0 {
		d.bad = true
		return 0
	}
	c := d.b[0]
	d.b = d.b[1:]
	return c
}

func (d *reader) int() int64 {
	v, n := binary.Varint(d.b)
	if n <= 0 {
		d.bad = true
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *reader) bytes() []byte {
	v, n := binary.Uvarint(d.b)
	if n <= 0 || v > uint64(len(d.b)-n) {
		d.bad = true
		return nil
	}
	out := d.b[n : n+int(v)]
	d.b = d.b[n+int(v):]
	return out
}

func (d *reader) text() string { return string(d.bytes()) }
