package stats

import (
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The printed names are those of the platform. A class is printed after its first use, and counts are complete although
// other goroutines print at the same time.
func TestWriteToPrintsConcurrentCounts(t *testing.T) {
	var b Stats
	b.Class("b")
	var counting sync.WaitGroup
	for range 8 {
		counting.Go(func() {
			for range 1000 {
				b.Class("a").Completed.Add(1)
				b.Class("b").Failed.Add(1)
				b.WriteTo(&strings.Builder{})
			}
		})
	}
	counting.Wait()
	b.UpstreamRequests.Store(9001)
	b.Pending.Store(14)
	var text strings.Builder
	if n, err := b.WriteTo(&text); err != nil || int(n) != text.Len() {
		t.Fatal(n, err)
	}
	got := map[string]bool{}
	for line := range strings.Lines(text.String()) {
		got[strings.TrimSpace(line)] = true
	}
	want := map[string]bool{
		"app.downstream_requests.a.completed=8000": true, "app.downstream_requests.a.rejected=0": true,
		"app.downstream_requests.a.failed=0": true, "app.downstream_requests.b.completed=0": true, "app.downstream_requests.b.rejected=0": true,
		"app.downstream_requests.b.failed=8000": true, "app.upstream_requests=9001": true, "app.pending=14": true, "app.members=0": true,
		"app.members_unavailable=0": true, "app.config_reloads=0": true, "app.config_reload_errors=0": true,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// Measures the cost of counting one message: class lookup, pending up and down, one outcome, one call.
func BenchmarkMessage(b *testing.B) {
	var stats Stats
	for _, name := range []string{"booking-confirm", "rate-update", "deposit-charge"} {
		stats.Class(name)
	}
	b.ReportAllocs()
	for b.Loop() {
		stats.Pending.Add(1)
		stats.UpstreamRequests.Add(1)
		stats.Class("deposit-charge").Completed.Add(1)
		stats.Pending.Add(-1)
	}
}

// Measures the cost of printing all values, which no message waits for.
func BenchmarkWriteTo(b *testing.B) {
	var stats Stats
	for _, name := range []string{"booking-confirm", "rate-update", "deposit-charge"} {
		stats.Class(name)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := stats.WriteTo(io.Discard); err != nil {
			b.Fatal(err)
		}
	}
}
