// Package history writes a file of records of what a courier did. It is off unless the operators' settings name a file.
// internal/lab/historycheck reads the files of all couriers and checks them together.
//
// Times are nanoseconds of CLOCK_MONOTONIC. All processes of a machine share this clock and nobody can set it, so that
// times of several processes can be compared. Times of different machines, or from before a reboot, can't.
//
// Invariants, checked by tests in internal/lab/historycheck, which has the reader: the writer never blocks its callers, keeps
// the file within its maximum size and records how many records are missing (TestWriterIsBounded); the file of a process
// that was killed can be read up to its last complete record, and the next process appends to it (TestFileAcrossRestarts).
package history

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Kind is the kind of event that a record describes.
type Kind uint8

// The kinds, with the fields that each uses. The numbers are part of the file format.
const (
	Begun           Kind = 1  // the process started: Courier, Epoch; the first record of each process
	Ended           Kind = 2  // the process stopped; missing if it was killed
	FactAccepted    Kind = 3  // ID: new each time that the origin learns the fact; What; Peer, PeerEpoch: origin; Age
	Decided         Kind = 4  // How; ID: the message, if the decision is about one; Evidence
	Lent            Kind = 5  // ID: loan; Subject: right; Peer: borrower; N; From, Until by the lender's count
	Borrowed        Kind = 6  // ID; Subject; Peer: lender; N; From: time of the request; Until by the borrower's count
	Returned        Kind = 7  // ID; written by the borrower, before the loan ends
	LoanEnded       Kind = 8  // ID; the lender uses the right again
	InUse           Kind = 9  // ID: use, replaced by a later record of the same process with that ID; Subject; N; From, Until; Total
	Charged         Kind = 10 // ID: agreed record; Subject: site; Window; N; Total
	MessageAccepted Kind = 11 // ID: message
	AttemptBegun    Kind = 12 // ID: message; Subject: endpoint
	MessageEnded    Kind = 13 // ID: message; How
	WaitReceived    Kind = 14 // Subject: endpoint; Until; if Until <= At, all waits of the endpoint end
	CallWritten     Kind = 15 // Subject: endpoint; the first byte is sent now
	Proposed        Kind = 16 // ID: agreed record; Version; How: digest of its text
	Acknowledged    Kind = 17 // ID; Version
	InEffect        Kind = 18 // ID; Version; How: digest; Members: those that acknowledged it
	Gap             Kind = 19 // N records before this one were dropped
)

// Outcomes of a message. DeadLetterDelivered is not an outcome: it is recorded after Undeliverable, when the dead letter is
// delivered after all.
const (
	Delivered           = "delivered"
	Undeliverable       = "undeliverable"
	Deferred            = "deferred"
	Void                = "void"
	DeadLetterDelivered = "letter_delivered"
)

// Evidence is a fact on which a decision was based.
type Evidence struct {
	ID     string `cbor:"1,keyasint"` // ID of the fact
	Age    int64  `cbor:"2,keyasint"` // in nanoseconds, by the courier's count
	MaxAge int64  `cbor:"3,keyasint"` // hard limit of Age; 0 for none
}

// Record is one entry of the history. The kind determines which fields are set.
type Record struct {
	Kind      Kind       `cbor:"1,keyasint"`
	At        int64      `cbor:"2,keyasint"` // when it happened; if 0, Writer sets the current time
	Courier   string     `cbor:"3,keyasint,omitempty"`
	Epoch     uint64     `cbor:"4,keyasint,omitempty"` // Courier and Epoch are stored in Begun only; the reader sets them in the other records
	ID        string     `cbor:"5,keyasint,omitempty"`
	Subject   string     `cbor:"6,keyasint,omitempty"`
	Peer      string     `cbor:"7,keyasint,omitempty"`
	PeerEpoch uint64     `cbor:"8,keyasint,omitempty"`
	N         int64      `cbor:"9,keyasint,omitempty"`
	Total     int64      `cbor:"10,keyasint,omitempty"`
	From      int64      `cbor:"11,keyasint,omitempty"`
	Until     int64      `cbor:"12,keyasint,omitempty"`
	Age       int64      `cbor:"13,keyasint,omitempty"`
	Window    uint64     `cbor:"14,keyasint,omitempty"`
	Version   uint64     `cbor:"15,keyasint,omitempty"`
	How       string     `cbor:"16,keyasint,omitempty"`
	What      string     `cbor:"17,keyasint,omitempty"` // kind of fact: "wait", "limit", "outage", "profile" ...
	Evidence  []Evidence `cbor:"18,keyasint,omitempty"`
	Members   []string   `cbor:"19,keyasint,omitempty"`
}

func (k Kind) String() string {
	names := [...]string{
		"?", "life begun", "life ended", "fact taken", "decided", "lent", "borrowed", "returned", "loan ended", "in use",
		"charged", "taken on", "try begun", "message ended", "wait heard", "call written", "proposed", "acknowledged", "in force", "gap",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprint("kind ", uint8(k))
}

// String formats the record for reports of violations.
func (r Record) String() string {
	text := fmt.Sprintf("%.6f %s/%d %s", float64(r.At)/1e9, r.Courier, r.Epoch, r.Kind)
	for _, f := range []struct {
		name string
		v    any
		on   bool
	}{
		{"id", r.ID, r.ID != ""},
		{"of", r.Subject, r.Subject != ""},
		{"what", r.What, r.What != ""},
		{"peer", fmt.Sprintf("%s/%d", r.Peer, r.PeerEpoch), r.Peer != ""},
		{"n", r.N, r.N != 0},
		{"total", r.Total, r.Total != 0},
		{"from", time.Duration(r.From), r.From != 0},
		{"until", time.Duration(r.Until), r.Until != 0},
		{"age", time.Duration(r.Age), r.Age != 0},
		{"window", r.Window, r.Window != 0},
		{"version", r.Version, r.Version != 0},
		{"how", r.How, r.How != ""},
		{"evidence", r.Evidence, len(r.Evidence) > 0},
		{"members", r.Members, len(r.Members) > 0},
	} {
		if f.on {
			text += fmt.Sprintf(" %s=%v", f.name, f.v)
		}
	}
	return text
}

// Now returns the time of CLOCK_MONOTONIC in nanoseconds.
func Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(fmt.Errorf("history: the machine has no CLOCK_MONOTONIC: %w", err)) // every Linux has it
	}
	return t.Nano()
}

// At converts a time that this process got from time.Now to that clock.
func At(t time.Time) int64 { return Now() - int64(time.Since(t)) }

// ErrCorrupt means that the file has content that no writer produces.
var ErrCorrupt = errors.New("corrupt")
