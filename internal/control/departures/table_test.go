package departures

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

func draining(id string, sequence uint64) Departure {
	return Departure{ID: id, Sequence: sequence, RecordedAt: 1_000_000}
}

func deregistered(id string) Departure {
	return Departure{ID: id, Deregistered: true, RecordedAt: 1_000_000}
}

// The same departure again, and one that says less, change nothing: endpoints repeat their calls at other instances.
func TestCoveredDeparturesChangeNothing(t *testing.T) {
	table := Table{}.Record(draining("a", 5)).Record(deregistered("b"))
	for name, departure := range map[string]Departure{
		"the same draining":           draining("a", 5),
		"an earlier draining":         draining("a", 4),
		"the same deregistration":     deregistered("b"),
		"draining after deregistered": draining("b", 9),
		"no ID":                       {Deregistered: true},
	} {
		if next := table.Record(departure); next.Sequence != table.Sequence || len(next.Records) != len(table.Records) {
			t.Errorf("%s: got %+v, want the table unchanged", name, next)
		}
	}
	for name, departure := range map[string]Departure{
		"a later draining":           draining("a", 6),
		"a deregistration":           deregistered("a"),
		"draining of another one":    draining("c", 1),
		"an endpoint without number": draining("d", 0),
	} {
		next := table.Record(departure)
		if next.Sequence != table.Sequence+1 || !next.Covers(departure) || table.Covers(departure) {
			t.Errorf("%s: got %+v, want it recorded", name, next)
		}
	}
}

func TestSinceReturnsWhatIsNewer(t *testing.T) {
	table := Table{}.Record(draining("a", 1)).Record(draining("b", 1)).Record(draining("a", 2))
	for sequence, want := range map[uint64]string{0: "b1 a2 ", 1: "b1 a2 ", 2: "a2 ", 3: "", 9: ""} {
		got := ""
		for _, departure := range table.Since(sequence) {
			got += fmt.Sprintf("%s%d ", departure.ID, departure.Sequence)
		}
		if got != want {
			t.Errorf("since %d: got %q, want %q", sequence, got, want)
		}
	}
}

// The table stays bounded, and keeps what a whole fleet that ends at once leaves.
func TestTableIsBounded(t *testing.T) {
	table := Table{}
	for n := range maxRecords + 100 {
		table = table.Record(deregistered(fmt.Sprintf("e%d", n)))
	}
	if len(table.Records) != maxRecords || table.Covers(deregistered("e99")) || !table.Covers(deregistered("e100")) {
		t.Errorf("got %d records, the oldest %+v; want the newest %d", len(table.Records), table.Records[0], maxRecords)
	}
	later := deregistered("later")
	later.RecordedAt += retention.Milliseconds() + time.Minute.Milliseconds()
	if next := table.Record(later); len(next.Records) != 1 || !next.Covers(later) {
		t.Errorf("a day later: got %d records, want 1", len(next.Records))
	}
	earlier := deregistered("a clock that is behind")
	earlier.RecordedAt -= retention.Milliseconds()
	if next := table.Record(earlier); len(next.Records) != maxRecords || !next.Covers(earlier) {
		t.Errorf("got %d records, want %d with the new one", len(next.Records), maxRecords)
	}
}

// A full table stays small enough for each snapshot of the replicated state.
func TestFullTableIsSmall(t *testing.T) {
	const maxTableBytes = 512 << 10
	table := Table{}
	for n := range maxRecords {
		departure := deregistered(fmt.Sprintf("i-%022d", n)) // 24 bytes
		departure.RecordedAt = 1_800_000_000_000
		table = table.Record(departure)
	}
	encoded, err := cbor.Marshal(table)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d records: %d bytes", len(table.Records), len(encoded))
	if len(encoded) > maxTableBytes {
		t.Errorf("got %d bytes, want %d at most", len(encoded), maxTableBytes)
	}
}

// BenchmarkRecord records the end of one more endpoint in a full table.
func BenchmarkRecord(b *testing.B) {
	table := Table{}
	for n := range maxRecords {
		table = table.Record(deregistered(fmt.Sprintf("i-%022d", n)))
	}
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		table.Record(deregistered("one more"))
	}
}
