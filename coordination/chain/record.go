package chain

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"raventrestle/coordination/view"
)

// The cbor numbers below are the format on disk. A number never changes its meaning.
//
// Invariant: replaying the records of a log in their order, beginning with a checkpoint, gives the state that Records
// would write. Restore rejects a log with gaps, or with a truncation below its base.

// ErrInvalidRecord is the error of a record on disk that can't be decoded or does not fit its position in the log.
var ErrInvalidRecord = errors.New("chain: invalid record")

// record is one change of the durable state. A field that is set replaces the former value.
type record struct {
	Self          *view.Member    `cbor:"1,keyasint,omitempty"`
	View          *view.View      `cbor:"2,keyasint,omitempty"`
	Acceptor      *view.Acceptor  `cbor:"3,keyasint,omitempty"`
	CompleteEpoch uint64          `cbor:"4,keyasint,omitempty"`
	Entry         *Entry          `cbor:"5,keyasint,omitempty"` // replaces everything from its index on
	TruncateAfter *uint64         `cbor:"6,keyasint,omitempty"` // removes the entries after the index
	CommitIndex   uint64          `cbor:"7,keyasint,omitempty"`
	KnownMembers  []view.Member   `cbor:"8,keyasint,omitempty"`
	Base          *checkpointBase `cbor:"9,keyasint,omitempty"` // begins a checkpoint: discards everything before
}

// checkpointBase begins the records of a checkpoint.
type checkpointBase struct {
	Index    uint64        `cbor:"1,keyasint"`
	Epoch    uint64        `cbor:"2,keyasint"`
	Snapshot SnapshotPoint `cbor:"3,keyasint"`
}

func encodeRecord(r record) []byte {
	body, err := cbor.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("chain: encoding a record: %v", err)) // a record has plain fields only: a programming error
	}
	return body
}

// Restore rebuilds the state from its records, oldest first. RecentCommands is left empty, because the snapshot holds
// it. It fails with ErrInvalidRecord.
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

// applyRecord applies one record to the state and to the log, which becomes part of the state in the end.
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
			return fmt.Errorf("truncation after entry %d is below the log's base %d", *r.TruncateAfter, log.baseIndex)
		}
		log.truncate(*r.TruncateAfter)
	}
	if r.Entry == nil {
		return nil
	}
	if r.Entry.Index <= log.baseIndex || r.Entry.Index > log.lastIndex()+1 {
		return fmt.Errorf("entry %d does not follow entry %d", r.Entry.Index, log.lastIndex())
	}
	log.truncate(r.Entry.Index - 1)
	log.append(*r.Entry)
	return nil
}

// Records returns the complete state as the records of a checkpoint.
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
