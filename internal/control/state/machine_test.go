package state

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

func replaceBody(generation int64, note string) []byte {
	return fmt.Appendf(nil, `{"generation":%d,"note":%q,"routes":[],"services":[{"name":"s"}]}`, generation, note)
}

func addTenantPatch(generation int64, name string) []byte {
	return fmt.Appendf(nil, `{"generation":%d,"upsert":{"tenants":[{"name":%q,"api_keys":[%q]}]}}`,
		generation, name, name)
}

func command(tb testing.TB, method string, ifMatch int64, body []byte) []byte {
	tb.Helper()
	encoded, err := NewCommand(method, ifMatch, body)
	if err != nil {
		tb.Fatal(err)
	}
	return encoded
}

func apply(tb testing.TB, m *Machine, index uint64, command []byte) Result {
	tb.Helper()
	result, err := DecodeResult(m.Apply(index, command))
	if err != nil {
		tb.Fatal(err)
	}
	return result
}

func TestChangesGetTheirResults(t *testing.T) {
	m := New()
	if generation, document := m.Current(); generation != 0 || document != nil {
		t.Errorf("before the first change: generation %d, document %s, want 0 and none", generation, document)
	}
	first := command(t, Replace, 0, replaceBody(5, "first"))
	second := command(t, Patch, 5, addTenantPatch(8, "t"))
	steps := []struct {
		name    string
		command []byte
		want    Result
	}{
		{"invalid first configuration", command(t, Replace, 0, []byte(`{"generation":0,"routes":[],"services":[]}`)), Rejected{}},
		{"builds on a version that does not exist", command(t, Replace, 3, replaceBody(5, "first")), VersionMismatch{Current: 0}},
		{"first", first, Accepted{Generation: 5}},
		{"first, repeated", first, Accepted{Generation: 5}},
		{"competing change on the same version", command(t, Replace, 0, replaceBody(5, "competitor")), VersionMismatch{Current: 5}},
		{"invalid body on an old version", command(t, Replace, 0, []byte(`x`)), VersionMismatch{Current: 5}},
		{"invalid", command(t, Replace, 5, []byte(`x`)), Rejected{}},
		{"generation not above the current one", command(t, Replace, 5, replaceBody(5, "same")), Rejected{}},
		{"unknown method", command(t, "POST", 5, replaceBody(6, "m")), Rejected{}},
		{"bytes that are no command", []byte{0xff}, Rejected{}},
		{"second", second, Accepted{Generation: 8}},
		{"first, repeated after the second", first, Accepted{Generation: 5}},
		{"second, repeated", second, Accepted{Generation: 8}},
		{"body of the second on another version", command(t, Patch, 8, addTenantPatch(8, "t")), Rejected{}},
		{"invalid patch", command(t, Patch, 8, []byte(`{"generation":9,"upsert":[]}`)), Rejected{}},
	}
	for index, step := range steps { // each builds on the state that those before it made
		got := apply(t, m, uint64(index), step.command)
		if rejected, is := got.(Rejected); is {
			if len(rejected.Faults) == 0 {
				t.Errorf("%s: rejected without a fault, want one or more", step.name)
			}
			got = Rejected{}
		}
		if difference := cmp.Diff(step.want, got); difference != "" {
			t.Errorf("%s: result (-want +got):\n%s", step.name, difference)
		}
	}
	generation, document := m.Current()
	want := `{"generation":8,"note":"first","routes":[],"services":[{"name":"s"}],` +
		`"tenants":[{"name":"t","api_keys":["t"]}]}`
	if generation != 8 || string(document) != want {
		t.Errorf("current is generation %d, %s, want 8, %s", generation, document, want)
	}
	if tenants := m.View().Configuration.Tenants; len(tenants) != 1 {
		t.Errorf("tenants are %+v, want one", tenants)
	}
	history := []Version{
		{Generation: 5, Index: 2, Method: Replace, Bytes: len(replaceBody(5, "first"))},
		{Generation: 8, Index: 10, Method: Patch, Bytes: len(want)},
	}
	if difference := cmp.Diff(history, m.History()); difference != "" {
		t.Errorf("history (-want +got):\n%s", difference)
	}
}

// TestCompressedChangeHasTheSameFingerprint applies one change compressed, and then the same change uncompressed.
func TestCompressedChangeHasTheSameFingerprint(t *testing.T) {
	body := replaceBody(1, strings.Repeat("long ", compressAboveBytes))
	compressed := command(t, Replace, 0, body)
	if len(compressed) > len(body)/10 {
		t.Errorf("the command has %d bytes for a body of %d, want no more than a tenth", len(compressed), len(body))
	}
	plain, err := cbor.Marshal(ChangeConfiguration{Method: Replace, Body: body})
	if err != nil {
		t.Fatal(err)
	}
	m := New()
	for _, encoded := range [][]byte{compressed, plain} {
		if got := apply(t, m, 1, encoded); got != (Accepted{Generation: 1}) {
			t.Errorf("got %+v, want generation 1 accepted", got)
		}
	}
	if _, document := m.Current(); !bytes.Equal(document, body) {
		t.Errorf("the document has %d bytes, want the %d of the body", len(document), len(body))
	}
	if len(m.History()) != 1 {
		t.Errorf("accepted %d times, want once", len(m.History()))
	}
}

// TestLargeDocumentIsCompressedInASnapshot restores a large configuration from a snapshot.
func TestLargeDocumentIsCompressedInASnapshot(t *testing.T) {
	m := New()
	apply(t, m, 1, command(t, Replace, 0, replaceBody(1, strings.Repeat("long ", compressAboveBytes))))
	snapshot := m.Snapshot()
	if _, document := m.Current(); len(snapshot) > len(document)/10 {
		t.Errorf("the snapshot has %d bytes for a document of %d, want no more than a tenth", len(snapshot), len(document))
	}
	other := New()
	if err := other.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(m.View(), other.View()); difference != "" {
		t.Errorf("restored view (-want +got):\n%s", difference)
	}
}

func TestInvalidCompressionIsRejected(t *testing.T) {
	bomb, err := compress(make([]byte, maxBodyBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	complete, err := compress(replaceBody(1, "truncated"))
	if err != nil {
		t.Fatal(err)
	}
	for _, body := range [][]byte{nil, []byte("x"), bomb, complete[:len(complete)/2]} {
		encoded, err := cbor.Marshal(ChangeConfiguration{Method: Replace, Body: body, Compressed: true})
		if err != nil {
			t.Fatal(err)
		}
		if _, is := apply(t, New(), 1, encoded).(Rejected); !is {
			t.Errorf("a compressed body of %d bytes was not rejected", len(body))
		}
	}
}

func TestOldestAcceptedChangesAreForgotten(t *testing.T) {
	m := New()
	first := command(t, Replace, 0, replaceBody(1, ""))
	for generation := int64(1); generation <= maxRememberedChanges+1; generation++ {
		got := apply(t, m, uint64(generation), command(t, Replace, generation-1, replaceBody(generation, "")))
		if got != (Accepted{Generation: generation}) {
			t.Fatalf("generation %d got %+v, want it accepted", generation, got)
		}
	}
	changes, fingerprints, versions := len(m.log.changes), len(m.log.generationByFingerprint), len(m.History())
	if changes != maxRememberedChanges || fingerprints != maxRememberedChanges || versions != maxRememberedChanges {
		t.Errorf("%d changes, %d fingerprints and %d versions are remembered, want %d of each", changes, fingerprints,
			versions, maxRememberedChanges)
	}
	other := New()
	if err := other.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	indeterminate, mismatch := Forgotten{Current: maxRememberedChanges + 1}, VersionMismatch{Current: maxRememberedChanges + 1}
	for name, machine := range map[string]*Machine{"machine": m, "restored": other} {
		if got := apply(t, machine, 1, first); got != indeterminate {
			t.Errorf("%s: the forgotten change got %+v, want %+v", name, got, indeterminate)
		}
		competitor := command(t, Replace, 0, replaceBody(3, "competitor"))
		if got := apply(t, machine, 1, competitor); got != indeterminate {
			t.Errorf("%s: a change indistinguishable from the forgotten one got %+v, want %+v", name, got, indeterminate)
		}
		competitor = command(t, Replace, 1, replaceBody(3, "competitor"))
		if got := apply(t, machine, 1, competitor); got != mismatch {
			t.Errorf("%s: a competitor of the oldest remembered change got %+v, want %+v", name, got, mismatch)
		}
	}
	if difference := cmp.Diff(m.View(), other.View()); difference != "" {
		t.Errorf("restored view (-want +got):\n%s", difference)
	}
	if want, got := m.Snapshot(), other.Snapshot(); !bytes.Equal(got, want) {
		t.Errorf("the restored machine's snapshot differs: %d bytes, want the same %d", len(got), len(want))
	}
}

func TestFailedRestoreLeavesStateUnchanged(t *testing.T) {
	m := New()
	apply(t, m, 1, command(t, Replace, 0, replaceBody(1, "kept")))
	encode := func(message any) []byte {
		encoded, err := cbor.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	}
	for name, snapshot := range map[string][]byte{
		"empty":       nil,
		"truncated":   m.Snapshot()[:20],
		"format":      encode(snapshotMessage{Format: 9}),
		"document":    encode(snapshotMessage{Format: snapshotFormat, Document: []byte("{")}),
		"fingerprint": encode(snapshotMessage{Format: snapshotFormat, Changes: []snapshotChange{{Generation: 2}}}),
	} {
		if err := m.Restore(snapshot); err == nil {
			t.Errorf("%s: restored, want an error", name)
		}
	}
	if generation, _ := m.Current(); generation != 1 || len(m.History()) != 1 {
		t.Errorf("after failed restores: generation %d with %d versions, want 1 with 1", generation, len(m.History()))
	}
	if err := m.Restore(New().Snapshot()); err != nil {
		t.Fatal(err)
	}
	if generation, document := m.Current(); generation != 0 || document != nil || len(m.History()) != 0 {
		t.Errorf("restored to before the first configuration: generation %d, document %s, %d versions, want none",
			generation, document, len(m.History()))
	}
}

func TestInvalidResultsAreNotDecoded(t *testing.T) {
	for _, encoded := range [][]byte{nil, {0xff}, {0xa0}} {
		if result, err := DecodeResult(encoded); err == nil {
			t.Errorf("%x was decoded as %+v, want an error", encoded, result)
		}
	}
}

// FuzzApply applies and restores arbitrary bytes: there is always a result, and the state can always be restored.
func FuzzApply(f *testing.F) {
	f.Add(command(f, Replace, 0, replaceBody(1, "x")))
	f.Add(command(f, Patch, 0, addTenantPatch(1, "x")))
	f.Add(New().Snapshot())
	f.Fuzz(func(t *testing.T, encoded []byte) {
		m := New()
		if _, err := DecodeResult(m.Apply(1, encoded)); err != nil {
			t.Fatal(err)
		}
		_ = m.Restore(encoded)
		if err := New().Restore(m.Snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}
