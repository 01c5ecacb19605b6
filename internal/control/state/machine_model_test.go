package state

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// referenceModel is the state as simple tables of the accepted changes.
type referenceModel struct {
	generation         int64
	tenants            map[string]bool
	acceptedGeneration map[string]int64 // by the name of the operation
	usedBases          map[int64]bool   // versions on which a change was accepted
}

// operation is one call of an operator. It may be sent any number of times, in any order.
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
		return replaceBody(o.generation, o.name)
	}
	return addTenantPatch(o.generation, o.tenant)
}

// expect returns the result that the machine must return, and applies the operation to the model.
func (r *referenceModel) expect(t *rapid.T, o *operation) Result {
	if generation, before := r.acceptedGeneration[o.name]; before {
		return Accepted{Generation: generation}
	}
	if o.ifMatch != r.generation {
		return VersionMismatch{Current: r.generation}
	}
	if o.invalid || o.generation <= r.generation {
		return Rejected{}
	}
	if r.usedBases[o.ifMatch] {
		t.Fatalf("two changes were accepted on version %d, want no more than one", o.ifMatch)
	}
	r.usedBases[o.ifMatch] = true
	r.generation = o.generation
	r.acceptedGeneration[o.name] = o.generation
	if o.method == Replace {
		r.tenants = make(map[string]bool)
	} else {
		r.tenants[o.tenant] = true
	}
	return Accepted{Generation: o.generation}
}

// TestConcurrentOperatorsMatchReferenceModel has two operators send changes based on the version they assume
// to be current. Any call may be sent again at any time, and machines are replaced by restored ones in between. A second machine
// applies the same commands and must have the same state.
func TestConcurrentOperatorsMatchReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &referenceModel{tenants: make(map[string]bool), acceptedGeneration: make(map[string]int64), usedBases: make(map[int64]bool)}
		machines := []*Machine{New(), New()}
		assumedVersion := map[string]int64{"one": 0, "two": 0}
		var sent []*operation
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for index := range uint64(steps) {
			o := draw(t, assumedVersion, sent, index)
			sent = append(sent, o)
			encoded, err := NewCommand(o.method, o.ifMatch, o.body())
			if err != nil {
				t.Fatal(err)
			}
			want := r.expect(t, o)
			for _, m := range machines {
				checkResult(t, m.Apply(index, encoded), want)
			}
			if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
				machines[1] = restored(t, machines[0])
			}
			checkState(t, r, machines)
		}
	})
}

// draw returns an operation that was sent before, or a new one of one of the operators, who at times reads the current
// version first.
func draw(t *rapid.T, assumedVersion map[string]int64, sent []*operation, index uint64) *operation {
	if len(sent) > 0 && rapid.IntRange(0, 2).Draw(t, "repeat") == 0 {
		return rapid.SampledFrom(sent).Draw(t, "resent")
	}
	operator := rapid.SampledFrom([]string{"one", "two"}).Draw(t, "operator")
	if len(sent) > 0 && rapid.Bool().Draw(t, "reads") {
		assumedVersion[operator] = sent[len(sent)-1].generation
	}
	tenant := fmt.Sprintf("%s-%d", operator, index)
	return &operation{
		name:       tenant,
		method:     rapid.SampledFrom([]string{Replace, Patch}).Draw(t, "method"),
		ifMatch:    assumedVersion[operator],
		generation: assumedVersion[operator] + rapid.Int64Range(0, 3).Draw(t, "step"),
		tenant:     tenant,
		invalid:    rapid.IntRange(0, 5).Draw(t, "invalid") == 0,
	}
}

func checkResult(t *rapid.T, encoded []byte, want Result) {
	t.Helper()
	got, err := DecodeResult(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if _, is := got.(Rejected); is {
		got = Rejected{}
	}
	if difference := cmp.Diff(want, got); difference != "" {
		t.Fatalf("result (-want +got):\n%s", difference)
	}
}

func restored(t *rapid.T, from *Machine) *Machine {
	t.Helper()
	m := New()
	if err := m.Restore(from.Snapshot()); err != nil {
		t.Fatal(err)
	}
	return m
}

func checkState(t *rapid.T, r *referenceModel, machines []*Machine) {
	t.Helper()
	view := machines[0].View()
	if view.Generation != r.generation || len(view.History) != len(r.acceptedGeneration) {
		t.Fatalf("generation %d after %d changes, want %d after %d",
			view.Generation, len(view.History), r.generation, len(r.acceptedGeneration))
	}
	if difference := cmp.Diff(view, machines[1].View()); difference != "" {
		t.Fatalf("the second machine's view (-want +got):\n%s", difference)
	}
	if want, got := machines[0].Snapshot(), machines[1].Snapshot(); !bytes.Equal(got, want) {
		t.Fatalf("the second machine's snapshot differs: %d bytes, want the same %d", len(got), len(want))
	}
	if view.Configuration == nil {
		return
	}
	if len(view.Configuration.Tenants) != len(r.tenants) {
		t.Fatalf("tenants are %+v, want %v", view.Configuration.Tenants, r.tenants)
	}
	for _, tenant := range view.Configuration.Tenants {
		if !r.tenants[tenant.Name] {
			t.Fatalf("tenant %s, want one of %v", tenant.Name, r.tenants)
		}
	}
}
