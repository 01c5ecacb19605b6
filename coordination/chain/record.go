package chain

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"raventrestle/coordination/view"
)

// ErrRecord marks a record on disk that makes no sense at its place.
var ErrInvalidRecord = errors.New("chain: bad record")

// record is one change of the durable state. A set field replaces what was there before.
type record struct {
	Self          *view.Member    `cbor:"1,keyasint,omitempty"`
	View          *view.View      `cbor:"2,keyasint,omitempty"`
	Acceptor      *view.Acceptor  `cbor:"3,keyasint,omitempty"`
	CompleteEpoch uint64          `cbor:"4,keyasint,omitempty"`
	Entry         *Entry          `cbor:"5,keyasint,omitempty"` // replaces all from its index on
	TruncateAfter *uint64         `cbor:"6,keyasint,omitempty"` // removes what follows the index
	CommitIndex   uint64          `cbor:"7,keyasint,omitempty"`
	KnownMembers  []view.Member   `cbor:"8,keyasint,omitempty"`
	Base          *checkpointBase `cbor:"9,keyasint,omitempty"` // begins a whole state
}

// checkpointBase begins the records of a whole state.
type checkpointBase struct {
	Index    uint64        `cbor:"1,keyasint"`
	Epoch    uint64        `cbor:"2,keyasint"`
	Snapshot SnapshotPoint `cbor:"3,keyasint"`
}

func encodeRecord(r record) []byte {
	body, err := cbor.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("chain: a record can't be encoded: %v", err)) // only plain fields: a fault of the program
	}
	return body
}

// Restore rebuilds the state from its records, oldest first. Recent is not part of the records: the snapshot
// holds it.
func Restore(records [][]byte) (State, error) {
	var state State
	log := memoryLog{}
	for i, body := range records {
		var r record
		if err := cbor.Unmarshal(body, &r); err != nil {
			return State{}, fmt.Errorf("%w %d: %w", ErrInvalidRecord, i, err)
		}
		if err := state.applyRecord(&log, r); err != nil {
			return State{}, fmt.Errorf("%w %d: %w", ErrInvalidRecord, i, err)
		}
	}
	state.BaseIndex, state.BaseEpoch, state.Entries = log.baseIndex, log.baseEpoch, log.entries
	state.CommitIndex = min(max(state.CommitIndex, state.Snapshot.Index), log.lastIndex())
	return state, nil
}

func (s *State) applyRecord(log *memoryLog, r record) error {
	if r.Base != nil {
		*s, *log = State{Snapshot: r.Base.Snapshot}, memoryLog{baseIndex: r.Base.Index, baseEpoch: r.Base.Epoch}
	}
	if r.Self != nil {
		s.Self = *r.Self
	}
	if r.View != nil {
		s.View = *r.View
	}
	if r.Acceptor != nil {
		s.Acceptor = *r.Acceptor
	}
	s.CompleteEpoch = max(s.CompleteEpoch, r.CompleteEpoch)
	s.CommitIndex = max(s.CommitIndex, r.CommitIndex)
	if r.KnownMembers != nil {
		s.KnownMembers = r.KnownMembers
	}
	if r.TruncateAfter != nil {
		if *r.TruncateAfter < log.baseIndex {
			return fmt.Errorf("cut after %d lies before the log's base %d", *r.TruncateAfter, log.baseIndex)
		}
		log.truncate(*r.TruncateAfter)
	}
	if r.Entry == nil {
		return nil
	}
	if r.Entry.Index <= log.baseIndex || r.Entry.Index > log.lastIndex()+1 {
		return fmt.Errorf("entry %d does not follow %d", r.Entry.Index, log.lastIndex())
	}
	log.truncate(r.Entry.Index - 1)
	log.append(*r.Entry)
	return nil
}

// Records returns the whole state as records, for a checkpoint.
func (s *State) Records() [][]byte {
	records := [][]byte{encodeRecord(record{
		Base:          &checkpointBase{Index: s.BaseIndex, Epoch: s.BaseEpoch, Snapshot: s.Snapshot},
		Self:          &s.Self,
		View:          &s.View,
		Acceptor:      &s.Acceptor,
		CompleteEpoch: s.CompleteEpoch,
		CommitIndex:   s.CommitIndex,
		KnownMembers:  s.KnownMembers,
	})}
	for i := range s.Entries {
		records = append(records, encodeRecord(record{Entry: &s.Entries[i]}))
	}
	return records
}
