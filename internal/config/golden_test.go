package config

import (
	"os"
	"strings"
	"testing"

	"raventrestle"
)

// Couriers' journals contain the encoded terms of classes. The golden file has them as build 73ca247 wrote them.
func TestStoredTermsAreReadAndWrittenUnchanged(t *testing.T) {
	text, err := os.ReadFile("testdata/golden/terms.txt")
	if err != nil {
		t.Fatal(err)
	}
	stored := strings.TrimSuffix(string(text), "\n")
	want := raventrestle.Class{Name: "c", SoftDeadline: 1, EstimateFactor: 2.5, Deadline: 3, Value: 4.5, LateValueShare: 0.75, Idempotency: raventrestle.NonIdempotent, DedupScope: raventrestle.DedupZone, DedupWindow: 6}
	if got := EncodeTerms(want); got != stored {
		t.Errorf("terms: got %q, want %q", got, stored)
	}
	if got, err := ParseTerms("c", stored); got != want || err != nil {
		t.Errorf("class of the stored terms: got %+v, %v, want %+v", got, err, want)
	}
}
