package journal

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A journal that is written while it is followed tells the same as to the next life, at every byte that has
// come, also once it was made anew; what was told stays as it was told while more comes.
func TestFollow(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir, 1<<20)
	f := Follow(dir)
	look := func() Legacy {
		t.Helper()
		if _, err := f.Poll(); err != nil {
			t.Fatal(err)
		}
		return f.Legacy()
	}
	write := func(records ...Record) {
		t.Helper()
		heard := make(chan error, 1)
		if err := s.Append(records, func(err error) { heard <- err }); err != nil {
			t.Fatal(err)
		}
		if err := <-heard; err != nil {
			t.Fatal(err)
		}
	}
	write(Taken(message("a", 40)), Taken(message("b", 40)), Wait("p", 1<<62))
	first := look()
	write(Handed("a"), Over("b"), Wait("q", 1<<62), Closing([]byte("left")))
	look()
	if diff := cmp.Diff(map[string]int64{"p": 1 << 62}, first.Waits); diff != "" {
		t.Fatalf("changed while it was read: %s", diff)
	}
	want := Legacy{
		Kept: []Kept{{Message: message("a", 40), Progress: Progress{Handed: true}}}, Waits: map[string]int64{"p": 1 << 62, "q": 1 << 62},
		Adopted: map[string]bool{}, Closing: true, Left: []byte("left"),
	}
	if diff := cmp.Diff(want, look()); diff != "" {
		t.Fatal(diff)
	}
	if err := s.renew(); err != nil { // the writer rests
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, look()); diff != "" {
		t.Fatalf("made anew: %s", diff)
	}
	whole, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	slow := filepath.Join(t.TempDir(), fileName)
	piecemeal := Follow(filepath.Dir(slow))
	out, err := os.Create(slow)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	for i := range whole {
		if _, err := out.Write(whole[i : i+1]); err != nil {
			t.Fatal(err)
		}
		if _, err := piecemeal.Poll(); err != nil || piecemeal.bad > 0 {
			t.Fatalf("byte %d: %v, %d bytes passed over", i, err, piecemeal.bad)
		}
	}
	if diff := cmp.Diff(want, piecemeal.Legacy()); diff != "" {
		t.Fatalf("piecemeal: %s", diff)
	}
}
