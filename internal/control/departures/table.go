// Package departures keeps which endpoints have announced their end, as a part of the replicated state. An endpoint that
// was told that its draining or deregistration is known may rely on it although all processes end at once: heartbeats
// that it sent before may still arrive, and must not bring it back.
//
// A Table is immutable. All members of the group derive the same table from the same commands.
package departures

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRecords bounds the table. It is above the number of endpoints that a system has, all of which may end within
	// the time for which a record matters.
	maxRecords = 4096
	// retention is how much older than the newest record another one may be, by the time of day of the instances that
	// took them in. Records matter for minutes; the rest is for clocks that are wrong.
	retention = 24 * time.Hour
)

// Departure is a replicated command: an endpoint has announced its end.
type Departure struct {
	ID           string `cbor:"1,keyasint"`
	Sequence     uint64 `cbor:"2,keyasint,omitempty"` // of the heartbeat that reported draining; 0: it has deregistered
	Deregistered bool   `cbor:"3,keyasint,omitempty"` // its ID never returns; false: it is draining
	RecordedAt   int64  `cbor:"4,keyasint"`           // Unix time in milliseconds, of the instance that took the call
}

// Record is a departure with its place in the history of the table.
type Record struct {
	Departure Departure `cbor:"1,keyasint"`
	Number    uint64    `cbor:"2,keyasint"` // Table.Sequence as of which the table has it
}

// Table has the newest departure of each endpoint.
type Table struct {
	Sequence uint64   `cbor:"1,keyasint"`           // incremented by each change; 0: the table has never been changed
	Records  []Record `cbor:"2,keyasint,omitempty"` // by number
}

// Record returns the table with the departure in it. It returns the same table if the departure is covered or has no ID.
func (t Table) Record(departure Departure) Table {
	if departure.ID == "" || t.Covers(departure) {
		return t
	}
	next := Table{Sequence: t.Sequence + 1, Records: make([]Record, 0, len(t.Records)+1)}
	oldest := departure.RecordedAt - retention.Milliseconds()
	for _, record := range t.Records {
		if record.Departure.ID != departure.ID && record.Departure.RecordedAt >= oldest {
			next.Records = append(next.Records, record)
		}
	}
	next.Records = append(next.Records, Record{Departure: departure, Number: next.Sequence})
	next.Records = next.Records[max(0, len(next.Records)-maxRecords):]
	return next
}

// Covers reports whether the table has the departure, or one of the same endpoint that says more.
func (t Table) Covers(departure Departure) bool {
	for i := range t.Records {
		known := &t.Records[i].Departure
		if known.ID == departure.ID {
			return known.Deregistered || !departure.Deregistered && known.Sequence >= departure.Sequence
		}
	}
	return false
}

// Since returns the departures that came after the table had the sequence.
func (t Table) Since(sequence uint64) []Departure {
	first, _ := slices.BinarySearchFunc(t.Records, sequence+1, func(record Record, number uint64) int {
		return cmp.Compare(record.Number, number)
	})
	newer := make([]Departure, 0, len(t.Records)-first)
	for _, record := range t.Records[first:] {
		newer = append(newer, record.Departure)
	}
	return newer
}
