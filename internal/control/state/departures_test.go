package state

import (
	"bytes"
	"encoding/hex"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"raventrestle/internal/control/departures"
)

func departureCommand(t *testing.T, departure departures.Departure) []byte {
	t.Helper()
	encoded, err := NewDeparture(departure)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// Ends of endpoints are replicated beside configuration and shares, and survive a snapshot: an acknowledged end must
// outlast all processes.
func TestDeparturesAreReplicatedBesideTheConfiguration(t *testing.T) {
	m := New()
	apply(t, m, 1, command(t, Replace, 0, replaceBody(5, "first")))
	registration, err := NewRegistration("a")
	if err != nil {
		t.Fatal(err)
	}
	apply(t, m, 2, registration)
	generation, document := m.Current()
	end := departures.Departure{ID: "e", Deregistered: true, RecordedAt: 1_700_000_000_000}
	drain := departures.Departure{ID: "f", Sequence: 9, RecordedAt: 1_700_000_000_001}
	for index, departure := range []departures.Departure{end, drain, end} {
		result := apply(t, m, uint64(3+index), departureCommand(t, departure))
		if err := CheckRecorded(encodeResult(result)); err != nil {
			t.Errorf("departure %d: %v", index, err)
		}
	}
	table := m.Departures()
	if table.Sequence != 2 || !table.Covers(end) || !table.Covers(drain) {
		t.Errorf("got %+v, want two departures", table)
	}
	if now, text := m.Current(); now != generation || !bytes.Equal(text, document) || m.Shares().Sequence != 1 {
		t.Errorf("got generation %d and shares %d, want %d and 1 as before", now, m.Shares().Sequence, generation)
	}
	restored := New()
	if err := restored.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	apply(t, restored, 6, command(t, Patch, 5, addTenantPatch(8, "t")))
	if difference := cmp.Diff(table, restored.Departures()); difference != "" {
		t.Errorf("departures of a restored machine, after a change of the configuration: %s", difference)
	}
}

// A result that does not say that the departure is recorded is an error: the endpoint must not be answered then.
func TestOtherResultsAreNoRecord(t *testing.T) {
	for _, result := range []Result{VersionMismatch{Current: 4}, Forgotten{}, Rejected{}} {
		if err := CheckRecorded(encodeResult(result)); !errors.Is(err, errNotRecorded) {
			t.Errorf("%T: got %v, want %v", result, err, errNotRecorded)
		}
	}
	if err := CheckRecorded([]byte{0xff}); err == nil {
		t.Error("bytes that are no result: got no error")
	}
}

// Snapshots and commands of builds that knew no departures are read, with none.
func TestStateFromBeforeDeparturesIsRead(t *testing.T) {
	m := New()
	apply(t, m, 1, command(t, Replace, 0, replaceBody(5, "first")))
	snapshot := m.Snapshot()
	if bytes.Contains(snapshot, []byte{0x07, 0xa2, 0x01}) {
		t.Fatal("a snapshot without departures has their field")
	}
	restored := New()
	apply(t, restored, 1, departureCommand(t, departures.Departure{ID: "e", Deregistered: true}))
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if got := restored.Departures(); got.Sequence != 0 || len(got.Records) != 0 {
		t.Errorf("got %+v, want no departures", got)
	}
}

// TestGoldenCommandOfADeparture has the bytes that members have in their logs.
func TestGoldenCommandOfADeparture(t *testing.T) {
	encoded := departureCommand(t, departures.Departure{ID: "e1", Deregistered: true, RecordedAt: 1_700_000_000_000})
	if got, want := hex.EncodeToString(encoded), "a40160020003f607a30162653103f5041b0000018bcfe56800"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
