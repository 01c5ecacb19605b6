// Package deadletter stores the messages that the courier gave up as failed ("dead letters"), shows them to
// operators and sends them again. Package deadletter/rule decides what may be sent again, when and how fast.
//
// Invariant: at every moment exactly one store, the journal or the dead-letter store, is authoritative for a
// message. The journal is authoritative until the dead letter is stored and the journal contains the end of
// the message. To send a dead letter again, the manager first marks it as being resent; from then on the journal
// is authoritative until the result is written into the dead letter. reconcile repairs the state that a crash
// between two of these writes leaves; TestEveryWriteBoundary in package courier tests a crash at each write.
package deadletter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"raventrestle"
	"raventrestle/internal/deadletter/rule"
	"raventrestle/internal/journal"
)

// Attempt is one attempt to deliver a message. At is its begin, as Unix time in nanoseconds.
type Attempt struct {
	Peer    string `cbor:"1,keyasint,omitempty" json:"peer"`
	Zone    string `cbor:"2,keyasint,omitempty" json:"floor"`
	At      int64  `cbor:"3,keyasint,omitempty" json:"at"`
	Outcome string `cbor:"4,keyasint,omitempty" json:"outcome"` // "" if the process ended during the attempt
}

// MayHaveRun reports whether the attempt may have taken effect. Only an outcome that rules it out makes this false.
func (t Attempt) MayHaveRun() bool {
	switch t.Outcome {
	case "full", "connect_failed", "moot":
		return false
	}
	return true
}

// Resend is one further delivery of a dead letter, with its own attempts. Times are Unix time in nanoseconds.
type Resend struct {
	StartedAt int64     `cbor:"1,keyasint,omitempty" json:"began"`
	EndedAt   int64     `cbor:"2,keyasint,omitempty" json:"ended"`
	Result    string    `cbor:"3,keyasint,omitempty" json:"result"`
	Attempts  []Attempt `cbor:"4,keyasint,omitempty" json:"tries"`
}

// Message is a dead letter: a message that the courier gave up as failed. Its body is stored in a record of its
// own. Times are Unix time in nanoseconds.
type Message struct {
	ID            string                   `cbor:"1,keyasint" json:"id"`
	Key           string                   `cbor:"2,keyasint,omitempty" json:"key"`
	Class         string                   `cbor:"3,keyasint" json:"class"`
	Tenant        string                   `cbor:"4,keyasint,omitempty" json:"hotel"`
	Dest          int64                    `cbor:"5,keyasint" json:"channel"`
	AcceptedAt    int64                    `cbor:"6,keyasint,omitempty" json:"taken"`  // accepted by the courier
	ExpiresAt     int64                    `cbor:"7,keyasint,omitempty" json:"until"`  // its deadline
	FailedAt      int64                    `cbor:"8,keyasint,omitempty" json:"failed"` // given up by the courier
	FailureReason string                   `cbor:"9,keyasint,omitempty" json:"why"`
	Idempotency   raventrestle.Idempotency `cbor:"10,keyasint,omitempty" json:"effect"`
	DedupScope    raventrestle.DedupScope  `cbor:"11,keyasint,omitempty" json:"group"`
	DedupWindow   int64                    `cbor:"12,keyasint,omitempty" json:"window"`   // ns
	Deadline      int64                    `cbor:"13,keyasint,omitempty" json:"deadline"` // ns, of one delivery
	Value         float32                  `cbor:"14,keyasint,omitempty" json:"worth"`
	Attempts      []Attempt                `cbor:"15,keyasint,omitempty" json:"tries"`
	FirstRun      *Attempt                 `cbor:"16,keyasint,omitempty" json:"ran"` // first attempt that may have run, those of resends included
	State         rule.State               `cbor:"17,keyasint,omitempty" json:"state"`
	Resends       []Resend                 `cbor:"18,keyasint,omitempty" json:"resends"`
	NotBefore     int64                    `cbor:"19,keyasint,omitempty" json:"not_before"`
	Requested     bool                     `cbor:"20,keyasint,omitempty" json:"asked"`
	FinalAt       int64                    `cbor:"21,keyasint,omitempty" json:"settled"`
	BodySize      int                      `cbor:"22,keyasint,omitempty" json:"body_size"`

	Body []byte `cbor:"-" json:"-"`
}

// Facts returns the properties of the dead letter that package rule needs.
func (msg *Message) Facts() rule.Facts {
	f := rule.Facts{
		State: msg.State, Idempotency: msg.Idempotency, DedupScope: msg.DedupScope, DedupWindow: time.Duration(msg.DedupWindow),
		FailedAt: time.Unix(0, msg.FailedAt), Resends: len(msg.Resends), NotBefore: time.Unix(0, msg.NotBefore), Requested: msg.Requested,
	}
	if msg.State == rule.Resending {
		f.Resends--
	}
	if msg.FirstRun != nil {
		f.MayHaveRun, f.FirstRunPeer, f.FirstRunZone, f.FirstRunAt = true, msg.FirstRun.Peer, msg.FirstRun.Zone, time.Unix(0, msg.FirstRun.At)
	}
	return f
}

// StrictestFacts returns the facts under the stricter of the stored class and the currently configured class c.
// A class that became stricter applies to old dead letters too; one that became less strict does not.
func (msg *Message) StrictestFacts(c raventrestle.Class) rule.Facts {
	f := msg.Facts()
	if c.Idempotency > f.Idempotency {
		f.Idempotency, f.DedupScope, f.DedupWindow = c.Idempotency, c.DedupScope, c.DedupWindow
	} else if c.Idempotency == f.Idempotency {
		f.DedupScope, f.DedupWindow = max(f.DedupScope, c.DedupScope), min(f.DedupWindow, c.DedupWindow)
	}
	return f
}

func (msg *Message) evictionRank() rule.EvictionRank {
	return rule.EvictionRank{Final: msg.State.Final(), Value: msg.Value, FailedAt: msg.FailedAt}
}

// recordFirstRun sets FirstRun, if it is not set yet, to the first of the attempts that may have run.
func (msg *Message) recordFirstRun(attempts []Attempt) {
	for _, t := range attempts {
		if msg.FirstRun == nil && t.MayHaveRun() {
			msg.FirstRun = &t
		}
	}
}

// JournalMessage returns the message that the journal and the courier process while the dead letter is sent
// again.
func (msg *Message) JournalMessage(expiresAt time.Time) *journal.Message {
	return &journal.Message{
		ID: msg.ID, Key: msg.Key, Class: msg.Class, Tenant: msg.Tenant, Dest: msg.Dest, ExpiresAt: expiresAt.UnixNano(),
		Body: msg.Body, AcceptedAt: msg.AcceptedAt, ResendNumber: int64(len(msg.Resends)),
	}
}

// NewMessage returns the dead letter of a message that the courier gave up.
func NewMessage(m journal.MessageState, class raventrestle.Class, reason string, now time.Time) *Message {
	msg := &Message{
		ID: m.ID, Key: m.Key, Class: m.Class, Tenant: m.Tenant, Dest: m.Dest, AcceptedAt: m.AcceptedAt, ExpiresAt: m.ExpiresAt,
		FailedAt: now.UnixNano(), FailureReason: reason, Idempotency: class.Idempotency, DedupScope: class.DedupScope, DedupWindow: int64(class.DedupWindow),
		Deadline: int64(class.Deadline), Value: float32(class.Value), Body: m.Body, BodySize: len(m.Body),
	}
	msg.Attempts = AttemptsFrom(m.Progress)
	if m.FirstRun != nil { // needed also if the list of attempts was truncated
		msg.FirstRun = &Attempt{Peer: m.FirstRun.Peer, Zone: m.FirstRun.Zone, At: m.FirstRun.At}
		for _, t := range msg.Attempts {
			if t.At == m.FirstRun.At && t.Peer == m.FirstRun.Peer {
				msg.FirstRun.Outcome = t.Outcome
			}
		}
	}
	msg.recordFirstRun(msg.Attempts)
	return msg
}

// AttemptsFrom returns the attempts that the journal recorded, including one whose end is unknown.
func AttemptsFrom(p journal.Progress) []Attempt {
	var attempts []Attempt
	for _, t := range p.Completed {
		attempts = append(attempts, Attempt{Peer: t.Peer, Zone: t.Zone, At: t.At, Outcome: t.Outcome})
	}
	if p.InFlight != nil {
		attempts = append(attempts, Attempt{Peer: p.InFlight.Peer, Zone: p.InFlight.Zone, At: p.InFlight.At})
	}
	return attempts
}

// ErrCorrupt is returned for stored data that cannot be read. Its text reaches clients of the admin socket.
var ErrCorrupt = errors.New("spoilt")

// addChecksum puts a checksum before the text. bbolt itself only has a checksum for its root page.
func addChecksum(text []byte) []byte {
	return append(binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(text)), xxhash.Sum64(text)), text...)
}

// verifyChecksum returns b without its checksum, or ErrCorrupt if it does not match.
func verifyChecksum(b []byte) ([]byte, error) {
	if len(b) < 8 || binary.BigEndian.Uint64(b) != xxhash.Sum64(b[8:]) {
		return nil, fmt.Errorf("deadletter: a record is %w", ErrCorrupt)
	}
	return b[8:], nil
}

// encode returns the stored header of the dead letter: all of it but the body.
func (msg *Message) encode() ([]byte, error) {
	text, err := cbor.Marshal(msg)
	if err != nil {
		return nil, fmt.Errorf("deadletter: %w", err)
	}
	return addChecksum(text), nil
}

func decode(b []byte) (*Message, error) {
	text, err := verifyChecksum(b)
	if err != nil {
		return nil, err
	}
	msg := &Message{}
	if err := cbor.Unmarshal(text, msg); err != nil {
		return nil, fmt.Errorf("deadletter: %w: %w", ErrCorrupt, err)
	}
	return msg, nil
}
