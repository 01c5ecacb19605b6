package view

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"raventrestle/coordination/internal/mutation"
)

func goldenMember(name string) Member {
	return Member{Identity: "identity-" + name, Address: "address-" + name, Zone: "zone-" + name, Tag: "tag-" + name}
}

func goldenView(epoch uint64) View {
	return View{
		Epoch:  epoch,
		Chain:  []Member{goldenMember("a"), goldenMember("b")},
		Voters: []Member{goldenMember("b"), goldenMember("c"), goldenMember("a")},
	}
}

// goldenValues returns the values that are stored and sent, each with all fields set and then with none, in the order
// of the lines in the file.
func goldenValues() []any {
	member, v := goldenMember("m"), goldenView(101)
	number := ProposalNumber{Round: 102, Proposer: "proposer"}
	acceptor := Acceptor{
		Epoch: 103, Promised: ProposalNumber{Round: 104, Proposer: "promised"},
		Accepted: ProposalNumber{Round: 105, Proposer: "accepted"},
		Value:    goldenView(106),
	}
	report := Report{Member: goldenMember("r"), CompleteEpoch: 107, LastIndex: 108, LastEpoch: 109, Leaving: true}
	promise := Promise{
		Number: ProposalNumber{Round: 110, Proposer: "asked"}, Granted: true,
		Promised: ProposalNumber{Round: 111, Proposer: "promised"},
		Accepted: ProposalNumber{Round: 112, Proposer: "accepted"}, Value: goldenView(113), Report: report,
	}
	return []any{
		&member, &Member{}, &v, &View{}, &number, &ProposalNumber{}, &acceptor, &Acceptor{}, &report, &Report{},
		&promise, &Promise{},
	}
}

// readGolden returns the decoded lines of a golden file. Build 73ca247 wrote them, in hex; they never change.
func readGolden(t *testing.T, file string) [][]byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", file))
	if err != nil {
		t.Fatalf("reading golden data: %v", err)
	}
	var lines [][]byte
	for line := range strings.Lines(string(text)) {
		body, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil {
			t.Fatalf("%s: line %q: %v", file, line, err)
		}
		lines = append(lines, body)
	}
	return lines
}

// Views, proposal numbers and acceptors are decoded and encoded as in build 73ca247, on disk and between processes.
func TestGoldenValues(t *testing.T) {
	lines, values := readGolden(t, "values.hex"), goldenValues()
	if len(lines) != len(values) {
		t.Fatalf("got %d golden lines, want %d", len(lines), len(values))
	}
	for i, want := range values {
		read := reflect.New(reflect.TypeOf(want).Elem()).Interface()
		if err := cbor.Unmarshal(lines[i], read); err != nil {
			t.Errorf("line %d: reading: %v", i+1, err)
		}
		if !reflect.DeepEqual(read, want) {
			t.Errorf("line %d is read as\ngot  %+v\nwant %+v", i+1, read, want)
		}
		written, err := cbor.Marshal(want)
		if err != nil || !bytes.Equal(written, lines[i]) {
			t.Errorf("line %d is written as\ngot  %x, %v\nwant %x", i+1, written, err, lines[i])
		}
	}
}

// Each field of the golden values is set, at any depth.
func TestGoldenValuesAreComplete(t *testing.T) {
	for i, value := range goldenValues() {
		if i%2 == 0 { // the values at odd positions have no field set
			checkAllSet(t, reflect.TypeOf(value).Elem().Name(), reflect.ValueOf(value).Elem())
		}
	}
}

func checkAllSet(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			checkAllSet(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		if v.Len() == 0 {
			t.Errorf("%s is empty", path)
		}
		for i := range v.Len() {
			checkAllSet(t, path+"[]", v.Index(i))
		}
	default:
		if v.IsZero() {
			t.Errorf("%s is zero", path)
		}
	}
}

// An acceptor that continues from its golden state keeps its promise, and its next states are encoded as before.
func TestGoldenAcceptorIsContinued(t *testing.T) {
	var acceptor Acceptor
	if err := cbor.Unmarshal(readGolden(t, "values.hex")[6], &acceptor); err != nil {
		t.Fatalf("reading the golden acceptor: %v", err)
	}
	if acceptor.Prepare(103, ProposalNumber{Round: 104, Proposer: "prior"}) {
		t.Error("got a promise for a proposal below the promised one, want none")
	}
	if acceptor.Accept(ProposalNumber{Round: 103, Proposer: "z"}, goldenView(103), mutation.Set{}) {
		t.Error("got a value accepted from a proposal below the promised one, want it rejected")
	}
	var got [][]byte
	store := func() {
		body, err := cbor.Marshal(acceptor)
		if err != nil {
			t.Fatalf("writing the acceptor: %v", err)
		}
		got = append(got, body)
	}
	if !acceptor.Prepare(103, ProposalNumber{Round: 114, Proposer: "later"}) {
		t.Error("got no promise for a proposal above the promised one, want one")
	}
	store()
	if !acceptor.Accept(ProposalNumber{Round: 114, Proposer: "later"}, goldenView(103), mutation.Set{}) {
		t.Error("got the value of the promised proposal rejected, want it accepted")
	}
	store()
	if !acceptor.Prepare(104, ProposalNumber{Round: 1, Proposer: "next"}) {
		t.Error("got no promise for the first proposal of the next epoch, want one")
	}
	store()
	if want := readGolden(t, "acceptor_continued.hex"); !reflect.DeepEqual(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
}
