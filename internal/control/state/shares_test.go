package state

import (
	"bytes"
	"encoding/hex"
	"testing"

	"github.com/google/go-cmp/cmp"

	"raventrestle/internal/control/shares"
)

func ownersOf(holder string) []string {
	owners := make([]string, shares.Count)
	for i := range owners {
		owners[i] = holder
	}
	return owners
}

// TestSharesAreReplicatedBesideTheConfiguration: a change of shares leaves generation and document, one of the configuration
// leaves the shares, and a snapshot has both.
func TestSharesAreReplicatedBesideTheConfiguration(t *testing.T) {
	m := New()
	registration, err := NewRegistration("a")
	if err != nil {
		t.Fatal(err)
	}
	if result := apply(t, m, 1, registration); result != (Accepted{Generation: 1}) {
		t.Errorf("registration: %+v, want accepted as the first change of shares", result)
	}
	if result := apply(t, m, 2, registration); result != (Accepted{Generation: 1}) {
		t.Errorf("registration again: %+v, want accepted with nothing changed", result)
	}
	if result := apply(t, m, 3, command(t, Replace, 0, replaceBody(5, "first"))); result != (Accepted{Generation: 5}) {
		t.Fatalf("configuration: %+v, want it accepted", result)
	}
	generation, document := m.Current()
	assignment, err := NewAssignment(shares.Assignment{Sequence: 2, Holders: []string{"a"}, Owners: ownersOf("a")})
	if err != nil {
		t.Fatal(err)
	}
	apply(t, m, 4, assignment)
	if result := apply(t, m, 5, assignment); result != (VersionMismatch{Current: 2}) {
		t.Errorf("assignment again: %+v, want a mismatch: it was made for an earlier table", result)
	}
	table := m.Shares()
	if table.Sequence != 2 || len(table.Shares) != shares.Count || table.Shares[7] != (shares.Share{Owner: "a", Since: 2}) {
		t.Errorf("table %+v, want all shares owned by a since the second change", table)
	}
	if now, text := m.Current(); now != generation || !bytes.Equal(text, document) {
		t.Errorf("generation %d, want %d as before", now, generation)
	}
	restored := New()
	if err := restored.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(table, restored.Shares()); difference != "" {
		t.Errorf("restored shares: %s", difference)
	}
	if result := apply(t, restored, 6, command(t, Patch, 5, addTenantPatch(8, "t"))); result != (Accepted{Generation: 8}) {
		t.Errorf("patch: %+v, want it accepted", result)
	}
	if difference := cmp.Diff(table, restored.Shares()); difference != "" {
		t.Errorf("shares after a change of the configuration: %s", difference)
	}
}

// TestGoldenCommandsOfShares has the bytes that members have in their logs: written by the build that introduced them.
func TestGoldenCommandsOfShares(t *testing.T) {
	registration, err := NewRegistration("a1")
	if err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(registration); got != "a40160020003f605a101626131" {
		t.Errorf("registration is %s", got)
	}
	assignment, err := NewAssignment(shares.Assignment{Sequence: 300, Holders: []string{"b"}, Owners: []string{"b", ""}})
	if err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(assignment); got != "a40160020003f606a30119012c028161620382616260" {
		t.Errorf("assignment is %s", got)
	}
}
