package figures

import (
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The names are the platform's; a class stays readable from the first time that it is asked for, and
// whoever counts waits for no reader.
func TestFigures(t *testing.T) {
	var b Book
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

// What counting adds to a message: its class looked up, pending up and down, one end, one call.
func BenchmarkMessage(b *testing.B) {
	var book Book
	for _, name := range []string{"booking-confirm", "rate-update", "deposit-charge"} {
		book.Class(name)
	}
	b.ReportAllocs()
	for b.Loop() {
		book.Pending.Add(1)
		book.UpstreamRequests.Add(1)
		book.Class("deposit-charge").Completed.Add(1)
		book.Pending.Add(-1)
	}
}

// What a look at all figures costs, which no message waits for.
func BenchmarkWriteTo(b *testing.B) {
	var book Book
	for _, name := range []string{"booking-confirm", "rate-update", "deposit-charge"} {
		book.Class(name)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := book.WriteTo(io.Discard); err != nil {
			b.Fatal(err)
		}
	}
}
