package state

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func put(generation int64, note string) []byte {
	return fmt.Appendf(nil, `{"generation":%d,"note":%q,"routes":[],"services":[{"name":"s"}]}`, generation, note)
}

func addTenant(generation int64, name string) []byte {
	return fmt.Appendf(nil, `{"generation":%d,"upsert":{"tenants":[{"name":%q,"api_keys":[%q]}]}}`,
		generation, name, name)
}

func command(t testing.TB, method string, ifMatch int64, body []byte) []byte {
	t.Helper()
	encoded, err := NewCommand(method, ifMatch, body)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func apply(t testing.TB, m *Machine, index uint64, command []byte) Result {
	t.Helper()
	result, err := DecodeResult(m.Apply(index, command))
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestChangesAndTheirAnswers(t *testing.T) {
	m := New()
	if generation, document := m.Current(); generation != 0 || document != nil {
		t.Errorf("before the first: %d, %s", generation, document)
	}
	first := command(t, Replace, 0, put(5, "first"))
	second := command(t, Patch, 5, addTenant(8, "t"))
	steps := []struct {
		name    string
		command []byte
		want    Result
	}{
		{"invalid first", command(t, Replace, 0, []byte(`{"generation":0,"routes":[],"services":[]}`)), Rejected{}},
		{"on a version that is not there", command(t, Replace, 3, put(5, "first")), VersionMismatch{Current: 0}},
		{"first", first, Accepted{Generation: 5}},
		{"first again", first, Accepted{Generation: 5}},
		{"rival on the same version", command(t, Replace, 0, put(5, "rival")), VersionMismatch{Current: 5}},
		{"invalid on an old version", command(t, Replace, 0, []byte(`x`)), VersionMismatch{Current: 5}},
		{"invalid", command(t, Replace, 5, []byte(`x`)), Rejected{}},
		{"not above", command(t, Replace, 5, put(5, "same")), Rejected{}},
		{"unknown method", command(t, "POST", 5, put(6, "m")), Rejected{}},
		{"no command", []byte{0xff}, Rejected{}},
		{"second", second, Accepted{Generation: 8}},
		{"first yet again", first, Accepted{Generation: 5}},
		{"second again", second, Accepted{Generation: 8}},
		{"the second's body on another version", command(t, Patch, 8, addTenant(8, "t")), Rejected{}},
		{"invalid change", command(t, Patch, 8, []byte(`{"generation":9,"upsert":[]}`)), Rejected{}},
	}
	for index, step := range steps {
		got := apply(t, m, uint64(index), step.command)
		if refused, is := got.(Rejected); is {
			if len(refused.Faults) == 0 {
				t.Errorf("%s: no faults", step.name)
			}
			got = Rejected{}
		}
		if difference := cmp.Diff(step.want, got); difference != "" {
			t.Errorf("%s: %s", step.name, difference)
		}
	}
	generation, document := m.Current()
	want := `{"generation":8,"note":"first","routes":[],"services":[{"name":"s"}],` +
		`"tenants":[{"name":"t","api_keys":["t"]}]}`
	if generation != 8 || string(document) != want {
		t.Errorf("current is %d, %s", generation, document)
	}
	if tenants := m.View().Configuration.Tenants; len(tenants) != 1 {
		t.Errorf("tenants are %+v", tenants)
	}
	history := []Version{
		{Generation: 5, Index: 2, Method: Replace, Bytes: len(put(5, "first"))},
		{Generation: 8, Index: 10, Method: Patch, Bytes: len(want)},
	}
	if difference := cmp.Diff(history, m.History()); difference != "" {
		t.Error(difference)
	}
}

// TestPackedChangeIsTheSameChange sends one change packed, and then as it is.
func TestPackedChangeIsTheSameChange(t *testing.T) {
	body := put(1, strings.Repeat("long ", packAboveBytes))
	packed := command(t, Replace, 0, body)
	if len(packed) > len(body)/10 {
		t.Errorf("%d bytes of %d", len(packed), len(body))
	}
	plain, err := cbor.Marshal(ChangeConfiguration{Method: Replace, Body: body})
	if err != nil {
		t.Fatal(err)
	}
	m := New()
	for _, encoded := range [][]byte{packed, plain} {
		if got := apply(t, m, 1, encoded); got != (Accepted{Generation: 1}) {
			t.Errorf("got %+v", got)
		}
	}
	if _, document := m.Current(); !bytes.Equal(document, body) {
		t.Error("the body changed")
	}
	if len(m.History()) != 1 {
		t.Errorf("taken %d times", len(m.History()))
	}
}

// TestLargeDocumentIsPackedInASnapshot takes a large configuration over a snapshot.
func TestLargeDocumentIsPackedInASnapshot(t *testing.T) {
	m := New()
	apply(t, m, 1, command(t, Replace, 0, put(1, strings.Repeat("long ", packAboveBytes))))
	snapshot := m.Snapshot()
	if _, document := m.Current(); len(snapshot) > len(document)/10 {
		t.Errorf("%d bytes of %d", len(snapshot), len(document))
	}
	other := New()
	if err := other.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(m.View(), other.View()); difference != "" {
		t.Error(difference)
	}
}

func TestBadPackingIsRefused(t *testing.T) {
	bomb, err := pack(make([]byte, maxBodyBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	whole, err := pack(put(1, "cut"))
	if err != nil {
		t.Fatal(err)
	}
	for _, body := range [][]byte{nil, []byte("x"), bomb, whole[:len(whole)/2]} {
		encoded, err := cbor.Marshal(ChangeConfiguration{Method: Replace, Body: body, Compressed: true})
		if err != nil {
			t.Fatal(err)
		}
		if _, is := apply(t, New(), 1, encoded).(Rejected); !is {
			t.Errorf("%d bytes were taken", len(body))
		}
	}
}

func TestOldestChangesAreForgotten(t *testing.T) {
	m := New()
	first := command(t, Replace, 0, put(1, ""))
	for generation := int64(1); generation <= remembered+1; generation++ {
		got := apply(t, m, uint64(generation), command(t, Replace, generation-1, put(generation, "")))
		if got != (Accepted{Generation: generation}) {
			t.Fatalf("%d: %+v", generation, got)
		}
	}
	if len(m.taken) != remembered || len(m.known) != remembered || len(m.History()) != remembered {
		t.Errorf("%d, %d, %d are remembered", len(m.taken), len(m.known), len(m.History()))
	}
	other := New()
	if err := other.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	unclear, newest := Forgotten{Current: remembered + 1}, VersionMismatch{Current: remembered + 1}
	for name, machine := range map[string]*Machine{"machine": m, "restored": other} {
		if got := apply(t, machine, 1, first); got != unclear {
			t.Errorf("%s: the forgotten one got %+v", name, got)
		}
		rival := command(t, Replace, 0, put(3, "rival"))
		if got := apply(t, machine, 1, rival); got != unclear {
			t.Errorf("%s: one that can't be told from the forgotten one got %+v", name, got)
		}
		rival = command(t, Replace, 1, put(3, "rival"))
		if got := apply(t, machine, 1, rival); got != newest {
			t.Errorf("%s: a rival of the oldest that is remembered got %+v", name, got)
		}
	}
	if difference := cmp.Diff(m.View(), other.View()); difference != "" {
		t.Error(difference)
	}
	if !bytes.Equal(m.Snapshot(), other.Snapshot()) {
		t.Error("the snapshots differ")
	}
}

func TestRestoreFailsWhole(t *testing.T) {
	m := New()
	apply(t, m, 1, command(t, Replace, 0, put(1, "kept")))
	encode := func(message any) []byte {
		encoded, err := cbor.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	}
	for name, snapshot := range map[string][]byte{
		"nothing":     nil,
		"cut":         m.Snapshot()[:20],
		"format":      encode(snapshotMessage{Format: 9}),
		"document":    encode(snapshotMessage{Format: snapshotFormat, Document: []byte("{")}),
		"fingerprint": encode(snapshotMessage{Format: snapshotFormat, Taken: []snapshotTaken{{Generation: 2}}}),
	} {
		if err := m.Restore(snapshot); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if generation, _ := m.Current(); generation != 1 || len(m.History()) != 1 {
		t.Error("a failed restore changed the state")
	}
	if err := m.Restore(New().Snapshot()); err != nil {
		t.Fatal(err)
	}
	if generation, document := m.Current(); generation != 0 || document != nil || len(m.History()) != 0 {
		t.Error("the state before the first configuration was not restored")
	}
}

func TestResultsThatAreNone(t *testing.T) {
	for _, encoded := range [][]byte{nil, {0xff}, {0xa0}} {
		if result, err := DecodeResult(encoded); err == nil {
			t.Errorf("%x gave %+v", encoded, result)
		}
	}
}

// reference is the state as a list of the changes that were taken.
type reference struct {
	generation int64
	tenants    map[string]bool
	answers    map[string]int64 // of each change that was taken, by operator's name for it
	builtOn    map[int64]bool   // versions that a change was taken on
}

// operation is one call of an operator. It is sent any number of times, in any order.
type operation struct {
	name       string
	method     string
	ifMatch    int64
	generation int64
	tenant     string
	invalid    bool
}

func (o *operation) body() []byte {
	switch {
	case o.invalid:
		return fmt.Appendf(nil, `{"generation":%d,"routes":7,"upsert":7,"note":%q}`, o.generation, o.name)
	case o.method == Replace:
		return put(o.generation, o.name)
	}
	return addTenant(o.generation, o.tenant)
}

// expect says what the machine must answer, and takes the change into the reference.
func (r *reference) expect(t *rapid.T, o *operation) Result {
	if generation, before := r.answers[o.name]; before {
		return Accepted{Generation: generation}
	}
	if o.ifMatch != r.generation {
		return VersionMismatch{Current: r.generation}
	}
	if o.invalid || o.generation <= r.generation {
		return Rejected{}
	}
	if r.builtOn[o.ifMatch] {
		t.Fatalf("two changes were taken on version %d", o.ifMatch)
	}
	r.builtOn[o.ifMatch] = true
	r.generation = o.generation
	r.answers[o.name] = o.generation
	if o.method == Replace {
		r.tenants = make(map[string]bool)
	} else {
		r.tenants[o.tenant] = true
	}
	return Accepted{Generation: o.generation}
}

// TestOperatorsRace lets two operators send changes on top of what they believe to be current, lets any call be
// sent again at any time, and replaces machines by restored ones in between. A second machine applies the
// same commands.
func TestOperatorsRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &reference{tenants: make(map[string]bool), answers: make(map[string]int64), builtOn: make(map[int64]bool)}
		machines := []*Machine{New(), New()}
		believed := map[string]int64{"one": 0, "two": 0}
		var sent []*operation
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for index := range uint64(steps) {
			o := draw(t, believed, sent, index)
			sent = append(sent, o)
			encoded, err := NewCommand(o.method, o.ifMatch, o.body())
			if err != nil {
				t.Fatal(err)
			}
			want := r.expect(t, o)
			for _, m := range machines {
				checkAnswer(t, m.Apply(index, encoded), want)
			}
			if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
				machines[1] = restored(t, machines[0])
			}
			checkState(t, r, machines)
		}
	})
}

// draw returns a call that was sent before, or a new one of one of the operators, who at times looks up the
// current version first.
func draw(t *rapid.T, believed map[string]int64, sent []*operation, index uint64) *operation {
	if len(sent) > 0 && rapid.IntRange(0, 2).Draw(t, "again") == 0 {
		return rapid.SampledFrom(sent).Draw(t, "resent")
	}
	operator := rapid.SampledFrom([]string{"one", "two"}).Draw(t, "operator")
	if len(sent) > 0 && rapid.Bool().Draw(t, "looks") {
		believed[operator] = sent[len(sent)-1].generation
	}
	tenant := fmt.Sprintf("%s-%d", operator, index)
	return &operation{
		name:       tenant,
		method:     rapid.SampledFrom([]string{Replace, Patch}).Draw(t, "method"),
		ifMatch:    believed[operator],
		generation: believed[operator] + rapid.Int64Range(0, 3).Draw(t, "step"),
		tenant:     tenant,
		invalid:    rapid.IntRange(0, 5).Draw(t, "invalid") == 0,
	}
}

func checkAnswer(t *rapid.T, encoded []byte, want Result) {
	got, err := DecodeResult(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if _, is := got.(Rejected); is {
		got = Rejected{}
	}
	if difference := cmp.Diff(want, got); difference != "" {
		t.Fatal(difference)
	}
}

func restored(t *rapid.T, from *Machine) *Machine {
	m := New()
	if err := m.Restore(from.Snapshot()); err != nil {
		t.Fatal(err)
	}
	return m
}

func checkState(t *rapid.T, r *reference, machines []*Machine) {
	view := machines[0].View()
	if view.Generation != r.generation || len(view.History) != len(r.answers) {
		t.Fatalf("version %d after %d changes, want %d after %d",
			view.Generation, len(view.History), r.generation, len(r.answers))
	}
	if difference := cmp.Diff(view, machines[1].View()); difference != "" {
		t.Fatal(difference)
	}
	if !bytes.Equal(machines[0].Snapshot(), machines[1].Snapshot()) {
		t.Fatal("the snapshots differ")
	}
	if view.Configuration == nil {
		return
	}
	if len(view.Configuration.Tenants) != len(r.tenants) {
		t.Fatalf("tenants are %+v, want %v", view.Configuration.Tenants, r.tenants)
	}
	for _, tenant := range view.Configuration.Tenants {
		if !r.tenants[tenant.Name] {
			t.Fatalf("tenant %s is not expected", tenant.Name)
		}
	}
}

// FuzzApply feeds any bytes as commands and snapshots.
func FuzzApply(f *testing.F) {
	f.Add(command(f, Replace, 0, put(1, "x")))
	f.Add(command(f, Patch, 0, addTenant(1, "x")))
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
