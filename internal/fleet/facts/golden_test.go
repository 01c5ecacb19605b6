package facts

// The encoding of facts, on the wire and in snapshots, as build 73ca247 wrote it. The file in testdata/golden is never
// rewritten.

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const goldenText = "testdata/golden/facts.txt" // one line each: name and hex bytes; every kind by itself, and all in a batch

// goldenFacts returns a fact of each kind with a different value in every field.
func goldenFacts() (all []Fact) {
	for i, kind := range []Kind{ListVersion, Wait, Limit, Outage, OutageEnd, WarmUp, Throughput} {
		n := int64(100 * (i + 1))
		all = append(all, Fact{
			Subject: Subject{Dest: n + 1, Endpoint: "endpoint-" + kind.String()}, Kind: kind,
			Value: Value{Number: float64(n) + 2, For: time.Duration(n+3) * time.Millisecond}, Origin: "origin-" + kind.String(),
			Epoch: uint64(n + 4), Seq: uint64(n + 5), Age: time.Duration(n + 6), TTL: time.Duration(n+7) * time.Second,
		})
	}
	return all
}

func TestFactsKeepTheirForm(t *testing.T) {
	text, err := os.ReadFile(goldenText)
	if err != nil {
		t.Fatal(err)
	}
	lines := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		if lines[name], err = hex.DecodeString(digits); err != nil {
			t.Fatal(err)
		}
	}
	codec, err := NewCodec(100, 10_000)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(lines), len(goldenFacts())+1; got != want {
		t.Errorf("%s has %d lines, want %d", goldenText, got, want)
	}
	for _, want := range goldenFacts() {
		kind := want.Kind
		stored := lines[kind.String()]
		written, err := codec.EncodeOne(want)
		if diff := cmp.Diff(stored, written); err != nil || diff != "" {
			t.Errorf("%s: %v: bytes (-stored +written):\n%s", kind, err, diff)
		}
		got, err := codec.DecodeOne(stored)
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Errorf("%s: %v: fact (-want +got):\n%s", kind, err, diff)
		}
	}
	written, err := codec.Encode(goldenFacts())
	if diff := cmp.Diff(lines["batch"], written); err != nil || diff != "" {
		t.Errorf("batch: %v: bytes (-stored +written):\n%s", err, diff)
	}
	got, err := codec.Decode(lines["batch"])
	if diff := cmp.Diff(goldenFacts(), got); err != nil || diff != "" {
		t.Errorf("batch: %v: facts (-want +got):\n%s", err, diff)
	}
}
