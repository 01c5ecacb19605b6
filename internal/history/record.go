// Package history is what a courier writes of what it did: records, their file and its writer. It is off unless the
// operators' settings name a file. What it means, all couriers' files together, is checked by internal/lab/historycheck.
//
// Times are nanoseconds of CLOCK_MONOTONIC, one clock for all processes of a machine, which no one sets:
// records of several processes compare. Histories of several machines don't, and not across a boot.
//
// The invariant: a writer keeps nobody waiting and its file within the bound, and tells in it how many records are
// missing (TestWriterIsBounded); a life that was killed leaves a file that is read up to its last whole record, and to
// which the next life adds (TestFileAcrossRestarts). Both tests are in internal/lab/historycheck, which has the reader.
package history

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Kind is what a record tells.
type Kind uint8

// The kinds, with the fields that each uses. Their numbers are the format's.
const (
	Begun        Kind = 1  // life: Courier, Epoch; the first record of each life
	Ended        Kind = 2  // life, orderly; a killed one has none
	FactTaken    Kind = 3  // ID is the learning, one for each time that its origin learned it; What; Peer, PeerEpoch: origin; Age
	Decided      Kind = 4  // How; ID: message, if for one; Rests
	Lent         Kind = 5  // ID: loan; Subject: right; Peer: borrower; N; From, Until as the lender counts
	Borrowed     Kind = 6  // ID; Subject; Peer: lender; N; From: asked; Until as the borrower counts
	Returned     Kind = 7  // ID; by the borrower, before its end
	LoanEnded    Kind = 8  // ID; the lender uses the right again
	InUse        Kind = 9  // ID: use, a later one of the life replaces it; Subject; N; From, Until; Whole
	Charged      Kind = 10 // ID: agreed record; Subject: site; Window; N; Whole
	TakenOn      Kind = 11 // ID: message
	TryBegun     Kind = 12 // ID: message; Subject: endpoint
	MessageEnded Kind = 13 // ID: message; How
	WaitHeard    Kind = 14 // Subject: endpoint; Until, which at or under At lifts all waits of it
	CallWritten  Kind = 15 // Subject: endpoint; its first byte leaves now
	Proposed     Kind = 16 // ID: agreed record; Version; How: digest of its text
	Acknowledged Kind = 17 // ID; Version
	InForce      Kind = 18 // ID; Version; How: digest; Members that acknowledged it
	Gap          Kind = 19 // N records before this one were dropped
)

// How a message ends. LetterDelivered is not an end: a dead letter went through after Undeliverable.
const (
	Delivered       = "delivered"
	Undeliverable   = "undeliverable"
	Deferred        = "deferred"
	Void            = "void"
	LetterDelivered = "letter_delivered"
)

// Rest is a fact that a decision rested on.
type Rest struct {
	ID    string `cbor:"1,keyasint"` // of the fact
	Age   int64  `cbor:"2,keyasint"` // as the courier counted it
	Bound int64  `cbor:"3,keyasint"` // the hard one; 0 for none
}

// Record is one thing that a courier did.
type Record struct {
	Kind      Kind     `cbor:"1,keyasint"`
	At        int64    `cbor:"2,keyasint"` // when; Writer fills in now where it is 0
	Courier   string   `cbor:"3,keyasint,omitempty"`
	Epoch     uint64   `cbor:"4,keyasint,omitempty"` // like Courier in Begun alone on disk; the reader fills in both
	ID        string   `cbor:"5,keyasint,omitempty"`
	Subject   string   `cbor:"6,keyasint,omitempty"`
	Peer      string   `cbor:"7,keyasint,omitempty"`
	PeerEpoch uint64   `cbor:"8,keyasint,omitempty"`
	N         int64    `cbor:"9,keyasint,omitempty"`
	Whole     int64    `cbor:"10,keyasint,omitempty"`
	From      int64    `cbor:"11,keyasint,omitempty"`
	Until     int64    `cbor:"12,keyasint,omitempty"`
	Age       int64    `cbor:"13,keyasint,omitempty"`
	Window    uint64   `cbor:"14,keyasint,omitempty"`
	Version   uint64   `cbor:"15,keyasint,omitempty"`
	How       string   `cbor:"16,keyasint,omitempty"`
	What      string   `cbor:"17,keyasint,omitempty"` // kind of fact: "wait", "limit", "outage", "profile" ...
	Rests     []Rest   `cbor:"18,keyasint,omitempty"`
	Members   []string `cbor:"19,keyasint,omitempty"`
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

// String is the record as violations quote it.
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
		{"whole", r.Whole, r.Whole != 0},
		{"from", time.Duration(r.From), r.From != 0},
		{"until", time.Duration(r.Until), r.Until != 0},
		{"age", time.Duration(r.Age), r.Age != 0},
		{"window", r.Window, r.Window != 0},
		{"version", r.Version, r.Version != 0},
		{"how", r.How, r.How != ""},
		{"rests", r.Rests, len(r.Rests) > 0},
		{"members", r.Members, len(r.Members) > 0},
	} {
		if f.on {
			text += fmt.Sprintf(" %s=%v", f.name, f.v)
		}
	}
	return text
}

// Now reads the machine's one monotonic clock.
func Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(fmt.Errorf("history: the machine has no CLOCK_MONOTONIC: %w", err)) // no Linux is without
	}
	return t.Nano()
}

// At is a moment of this process, read by time.Now, on that clock.
func At(t time.Time) int64 { return Now() - int64(time.Since(t)) }

// ErrCorrupt is a record that can't have been written so.
var ErrCorrupt = errors.New("corrupt")
