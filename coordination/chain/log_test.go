package chain

import (
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"raventrestle/coordination/view"
)

// drawLog draws a log that begins with a given prefix and continues with entries whose epochs do not decrease.
func drawLog(t *rapid.T, prefix []Entry, epochs *rapid.Generator[uint64]) memoryLog {
	log := memoryLog{entries: slices.Clone(prefix)}
	epoch := log.lastEpoch()
	for range rapid.IntRange(0, 6).Draw(t, "more") {
		epoch = max(epoch, epochs.Draw(t, "epoch"))
		log.append(Entry{Index: log.lastIndex() + 1, Epoch: epoch})
	}
	return log
}

// The newest common entry is found from the epoch ends alone, if the log has not been compacted past it.
func TestCommonIndexIsFoundFromEpochEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared := drawLog(t, nil, rapid.Uint64Range(1, 3))
		// Index and epoch determine an entry, so the two logs continue with different epochs.
		local := drawLog(t, shared.entries, rapid.SampledFrom([]uint64{4, 6, 8}))
		remote := drawLog(t, shared.entries, rapid.SampledFrom([]uint64{5, 7, 9}))
		committed := rapid.Uint64Range(0, shared.lastIndex()).Draw(t, "committed")
		local.compact(rapid.Uint64Range(0, shared.lastIndex()).Draw(t, "base"))
		got := local.commonIndex(committed, remote.epochEnds(committed))
		want := shared.lastIndex()
		if want < local.baseIndex {
			want = committed
		}
		if got != want {
			t.Fatalf("got common index %d, want %d", got, want)
		}
	})
}

func drawState(t *rapid.T) State {
	member := view.Member{Identity: "a", Address: "10.0.0.1:1", Zone: "z", Tag: "t"}
	base := rapid.Uint64Range(0, 9).Draw(t, "base")
	log := memoryLog{baseIndex: base, baseEpoch: base / 4}
	for i := range rapid.IntRange(0, 5).Draw(t, "entries") {
		log.append(Entry{
			Index: log.lastIndex() + 1, Epoch: 5, ID: CommandID{Proposer: 1, Number: uint64(i)},
			Command: rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "command"),
		})
	}
	return State{
		Self:          member,
		View:          view.View{Epoch: 5, Chain: []view.Member{member}, Voters: []view.Member{member}},
		Acceptor:      view.Acceptor{Epoch: 6, Promised: view.ProposalNumber{Round: 3, Proposer: "a"}},
		CompleteEpoch: 4,
		CommitIndex:   rapid.Uint64Range(base, log.lastIndex()).Draw(t, "committed"),
		BaseIndex:     base, BaseEpoch: base / 4, Entries: log.entries,
		Snapshot:     SnapshotPoint{Index: base, Epoch: base / 4},
		KnownMembers: []view.Member{member},
	}
}

// A state is restored from its records unchanged.
func TestStateIsRestoredFromItsRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := drawState(t)
		restored, err := Restore(state.Records())
		if err != nil {
			t.Fatalf("got error %v, want none", err)
		}
		if !reflect.DeepEqual(state, restored) {
			t.Fatalf("got %+v, want %+v", restored, state)
		}
	})
}

// A later entry replaces all earlier ones from its index on. A gap, or bytes that can't be decoded, are an error.
func TestLaterRecordsReplaceEarlierOnes(t *testing.T) {
	entry := func(index, epoch uint64) []byte {
		return encodeRecord(record{Entry: &Entry{Index: index, Epoch: epoch}})
	}
	state, err := Restore([][]byte{entry(1, 1), entry(2, 1), entry(3, 1), entry(2, 2)})
	if err != nil || len(state.Entries) != 2 || state.Entries[1].Epoch != 2 {
		t.Errorf("got entries %+v and error %v, want 1 and 2, the second of epoch 2", state.Entries, err)
	}
	index := uint64(1)
	state, err = Restore([][]byte{entry(1, 1), entry(2, 1), encodeRecord(record{TruncateAfter: &index})})
	if err != nil || len(state.Entries) != 1 {
		t.Errorf("got entries %+v and error %v, want entry 1 alone", state.Entries, err)
	}
	for _, invalid := range [][][]byte{{entry(2, 1)}, {{0xff}}} {
		if _, err := Restore(invalid); err == nil {
			t.Errorf("records %x: got no error, want one", invalid)
		}
	}
}
