// Package deadletter keeps the messages that the courier gave up as failed, shows them to operators
// and sends them again. What may be sent again, when and how fast is decided by deadletter/rule.
//
// The invariant: at every moment one place answers for a message. A message is the journal's until
// its dead letter is on disk and the journal has its end; a dead letter that is being sent again is marked out
// first and is the journal's from then on, until its end is written into the dead letter. Reconcile puts
// a crash between two of these writes right; TestResendSurvivesKillAtEveryWrite enumerates them.
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

// Try is one attempt at a message. Times are Unix time in nanoseconds.
type Try struct {
	Peer    string `cbor:"1,keyasint,omitempty" json:"peer"`
	Floor   string `cbor:"2,keyasint,omitempty" json:"floor"`
	At      int64  `cbor:"3,keyasint,omitempty" json:"at"`
	Outcome string `cbor:"4,keyasint,omitempty" json:"outcome"` // "" where the process ended meanwhile
}

// MayHaveRun says whether the attempt may have taken effect: unless its outcome says that it did not.
func (t Try) MayHaveRun() bool {
	switch t.Outcome {
	case "full", "connect_failed", "moot":
		return false
	}
	return true
}

// Resend is one more delivery of the dead letter, with tries of its own.
type Resend struct {
	Began  int64  `cbor:"1,keyasint,omitempty" json:"began"`
	Ended  int64  `cbor:"2,keyasint,omitempty" json:"ended"`
	Result string `cbor:"3,keyasint,omitempty" json:"result"`
	Tries  []Try  `cbor:"4,keyasint,omitempty" json:"tries"`
}

// Letter is one dead letter: a failed message. Its body is kept beside it.
type Letter struct {
	ID        string                   `cbor:"1,keyasint" json:"id"`
	Key       string                   `cbor:"2,keyasint,omitempty" json:"key"`
	Class     string                   `cbor:"3,keyasint" json:"class"`
	Tenant    string                   `cbor:"4,keyasint,omitempty" json:"hotel"`
	Dest      int64                    `cbor:"5,keyasint" json:"channel"`
	Taken     int64                    `cbor:"6,keyasint,omitempty" json:"taken"`  // taken on
	Until     int64                    `cbor:"7,keyasint,omitempty" json:"until"`  // its time was up
	Failed    int64                    `cbor:"8,keyasint,omitempty" json:"failed"` // given up
	Why       string                   `cbor:"9,keyasint,omitempty" json:"why"`
	Effect    raventrestle.Idempotency `cbor:"10,keyasint,omitempty" json:"effect"`
	Group     raventrestle.DedupScope  `cbor:"11,keyasint,omitempty" json:"group"`
	Window    int64                    `cbor:"12,keyasint,omitempty" json:"window"`   // ns
	Deadline  int64                    `cbor:"13,keyasint,omitempty" json:"deadline"` // ns, of a delivery
	Worth     float32                  `cbor:"14,keyasint,omitempty" json:"worth"`
	Tries     []Try                    `cbor:"15,keyasint,omitempty" json:"tries"`
	Ran       *Try                     `cbor:"16,keyasint,omitempty" json:"ran"` // the first that may have run, resends among them
	State     rule.State               `cbor:"17,keyasint,omitempty" json:"state"`
	Resends   []Resend                 `cbor:"18,keyasint,omitempty" json:"resends"`
	NotBefore int64                    `cbor:"19,keyasint,omitempty" json:"not_before"`
	Asked     bool                     `cbor:"20,keyasint,omitempty" json:"asked"`
	Settled   int64                    `cbor:"21,keyasint,omitempty" json:"settled"`
	BodySize  int                      `cbor:"22,keyasint,omitempty" json:"body_size"`

	Body []byte `cbor:"-" json:"-"`
}

// Facts are the dead letter as the rule sees it.
func (l *Letter) Facts() rule.Facts {
	f := rule.Facts{
		State: l.State, Effect: l.Effect, Group: l.Group, Window: time.Duration(l.Window),
		Failed: time.Unix(0, l.Failed), Resends: len(l.Resends), NotBefore: time.Unix(0, l.NotBefore), Asked: l.Asked,
	}
	if l.State == rule.Out {
		f.Resends--
	}
	if l.Ran != nil {
		f.MayRun, f.RanPeer, f.RanFloor, f.RanAt = true, l.Ran.Peer, l.Ran.Floor, time.Unix(0, l.Ran.At)
	}
	return f
}

// Stricter is the dead letter's facts under the class as it is configured now: a class that became
// stricter binds old dead letters too, one that became laxer does not.
func (l *Letter) Stricter(c raventrestle.Class) rule.Facts {
	f := l.Facts()
	if c.Idempotency > f.Effect {
		f.Effect, f.Group, f.Window = c.Idempotency, c.DedupScope, c.DedupWindow
	} else if c.Idempotency == f.Effect {
		f.Group, f.Window = max(f.Group, c.DedupScope), min(f.Window, c.DedupWindow)
	}
	return f
}

func (l *Letter) weight() rule.Weight {
	return rule.Weight{Settled: l.State.Settled(), Worth: l.Worth, Failed: l.Failed}
}

// ran notes the tries that may have run, if none is noted yet.
func (l *Letter) ran(tries []Try) {
	for _, t := range tries {
		if l.Ran == nil && t.MayHaveRun() {
			l.Ran = &t
		}
	}
}

// Message is the dead letter as the journal and the courier know it while it is sent again.
func (l *Letter) Message(until time.Time) *journal.Message {
	return &journal.Message{
		ID: l.ID, Key: l.Key, Class: l.Class, Tenant: l.Tenant, Dest: l.Dest, Until: until.UnixNano(),
		Body: l.Body, Since: l.Taken, Resend: int64(len(l.Resends)),
	}
}

// Of is the dead letter of a message that was given up.
func Of(k journal.Kept, c raventrestle.Class, why string, now time.Time) *Letter {
	l := &Letter{
		ID: k.ID, Key: k.Key, Class: k.Class, Tenant: k.Tenant, Dest: k.Dest, Taken: k.Since, Until: k.Until,
		Failed: now.UnixNano(), Why: why, Effect: c.Idempotency, Group: c.DedupScope, Window: int64(c.DedupWindow),
		Deadline: int64(c.Deadline), Worth: float32(c.Value), Body: k.Body, BodySize: len(k.Body),
	}
	l.Tries = Tries(k.Progress)
	if k.Ran != nil { // it counts even where the list of tries was cut short
		l.Ran = &Try{Peer: k.Ran.Peer, Floor: k.Ran.Zone, At: k.Ran.At}
		for _, t := range l.Tries {
			if t.At == k.Ran.At && t.Peer == k.Ran.Peer {
				l.Ran.Outcome = t.Outcome
			}
		}
	}
	l.ran(l.Tries)
	return l
}

// Tries are the attempts that the journal remembers, the one with no word of its end among them.
func Tries(p journal.Progress) []Try {
	var tries []Try
	for _, t := range p.Past {
		tries = append(tries, Try{Peer: t.Peer, Floor: t.Zone, At: t.At, Outcome: t.Outcome})
	}
	if p.Out != nil {
		tries = append(tries, Try{Peer: p.Out.Peer, Floor: p.Out.Zone, At: p.Out.At})
	}
	return tries
}

// ErrSpoilt says that what the store holds can't be read.
var ErrSpoilt = errors.New("spoilt")

// seal puts a checksum before the text: bbolt has one for its root alone.
func seal(text []byte) []byte {
	return append(binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(text)), xxhash.Sum64(text)), text...)
}

func unseal(b []byte) ([]byte, error) {
	if len(b) < 8 || binary.BigEndian.Uint64(b) != xxhash.Sum64(b[8:]) {
		return nil, fmt.Errorf("deadletter: a record is %w", ErrSpoilt)
	}
	return b[8:], nil
}

func (l *Letter) head() ([]byte, error) {
	text, err := cbor.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("deadletter: %w", err)
	}
	return seal(text), nil
}

func parse(b []byte) (*Letter, error) {
	text, err := unseal(b)
	if err != nil {
		return nil, err
	}
	l := &Letter{}
	if err := cbor.Unmarshal(text, l); err != nil {
		return nil, fmt.Errorf("deadletter: %w: %w", ErrSpoilt, err)
	}
	return l, nil
}
