package deadletter

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// What is no dead letter is an error and never a fault; what is one comes back the same.
func FuzzLetter(f *testing.F) {
	whole, err := letter("m", 1, 2, 3).head()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add(seal(nil))
	f.Add(seal([]byte{0xa1, 1, 0x9f}))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, text := range [][]byte{b, seal(b)} { // the second passes the checksum
			l, err := parse(text)
			if err != nil {
				continue
			}
			again, err := l.head()
			if err != nil {
				t.Fatal(err)
			}
			l2, err := parse(again)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(l, l2); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}
