package state

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"raventrestle/internal/configuration"
)

// Result is the outcome of a change: Accepted, VersionMismatch, Rejected or Forgotten.
type Result interface{ isResult() }

// Accepted means that the change is part of the configuration's history, since now or since an earlier attempt.
type Accepted struct {
	Generation int64 `cbor:"1,keyasint"` // that the change made
}

// VersionMismatch means that the change builds on another version than the current one and was never accepted.
type VersionMismatch struct {
	Current int64 `cbor:"1,keyasint"`
}

// Forgotten means that the change builds on a version so old that the machine no longer knows which change was accepted
// on it. It may have been this one, so the caller must not say that it was rejected. See changeLog.
type Forgotten struct {
	Current int64 `cbor:"1,keyasint"`
}

// Rejected means that the change is invalid. The number of faults is bounded by maxFaults.
type Rejected struct {
	Faults []configuration.ItemError `cbor:"1,keyasint"`
}

func (Accepted) isResult()        {}
func (VersionMismatch) isResult() {}
func (Rejected) isResult()        {}
func (Forgotten) isResult()       {}

// maxFaults bounds the faults in a result, and so its size.
const maxFaults = 50

// resultMessage is the encoded form of a result. One of its fields is set.
type resultMessage struct {
	Accepted  *Accepted        `cbor:"1,keyasint,omitempty"`
	Mismatch  *VersionMismatch `cbor:"2,keyasint,omitempty"`
	Rejected  *Rejected        `cbor:"3,keyasint,omitempty"`
	Forgotten *Forgotten       `cbor:"4,keyasint,omitempty"`
}

func encodeResult(result Result) []byte {
	var message resultMessage
	switch known := result.(type) {
	case Accepted:
		message.Accepted = &known
	case VersionMismatch:
		message.Mismatch = &known
	case Rejected:
		message.Rejected = &known
	case Forgotten:
		message.Forgotten = &known
	}
	encoded, err := cbor.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("state: encode %T: %v", result, err)) // numbers and strings can always be encoded
	}
	return encoded
}

var errNoResult = errors.New("message has no result")

// DecodeResult reads what Machine.Apply returned.
func DecodeResult(encoded []byte) (Result, error) {
	var message resultMessage
	if err := cbor.Unmarshal(encoded, &message); err != nil {
		return nil, fmt.Errorf("state: decode result: %w", err)
	}
	switch {
	case message.Accepted != nil:
		return *message.Accepted, nil
	case message.Mismatch != nil:
		return *message.Mismatch, nil
	case message.Rejected != nil:
		return *message.Rejected, nil
	case message.Forgotten != nil:
		return *message.Forgotten, nil
	}
	return nil, fmt.Errorf("state: decode result: %w", errNoResult)
}

var errNotRecorded = errors.New("departure is not recorded")

// CheckRecorded returns nil if Machine.Apply returned that a departure is recorded. Members of builds that know no
// departures reject them.
func CheckRecorded(encoded []byte) error {
	result, err := DecodeResult(encoded)
	if err != nil {
		return err
	}
	if _, accepted := result.(Accepted); !accepted {
		return fmt.Errorf("state: %w: %T", errNotRecorded, result)
	}
	return nil
}

// rejection returns the result of a change that failed: the faults of an invalid configuration, or else the error itself
// as the only fault.
func rejection(err error) Rejected {
	var invalid *configuration.InvalidError
	if errors.As(err, &invalid) {
		return Rejected{Faults: invalid.Items[:min(len(invalid.Items), maxFaults)]}
	}
	return Rejected{Faults: []configuration.ItemError{{Item: "change", Reason: err.Error()}}}
}
