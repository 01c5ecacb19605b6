package deadletter

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Decoding arbitrary bytes returns an error and never panics. What can be decoded is the same after it was encoded
// and decoded again.
func FuzzDecode(f *testing.F) {
	encoded, err := newTestMessage("m", 1, 2, 3).encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add(encoded[:len(encoded)-1])
	f.Add(addChecksum(nil))
	f.Add(addChecksum([]byte{0xa1, 1, 0x9f}))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, input := range [][]byte{b, addChecksum(b)} { // the second one has a valid checksum
			msg, err := decode(input)
			if err != nil {
				continue
			}
			encodedAgain, err := msg.encode()
			if err != nil {
				t.Fatal(err)
			}
			msg2, err := decode(encodedAgain)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(msg, msg2); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}
