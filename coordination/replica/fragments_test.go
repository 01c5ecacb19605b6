package replica

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// A message of any size comes back whole from its pieces, in any order and with some twice.
func TestFragments(t *testing.T) {
	for seed, size := range []int{0, 1, fragmentBytes, fragmentBytes + 1, 3*fragmentBytes - 1, 3 * fragmentBytes} {
		random := rand.New(rand.NewPCG(uint64(seed), 0))
		message := make([]byte, size)
		for i := range message {
			message[i] = byte(i >> 3)
		}
		pieces := split(7, append([]byte{wholeMark}, message...))
		pieces = append(pieces, pieces[random.IntN(len(pieces))])
		random.Shuffle(len(pieces), func(i, j int) { pieces[i], pieces[j] = pieces[j], pieces[i] })
		var f fragments
		whole := 0
		for _, piece := range pieces {
			got, err := f.join("peer", piece)
			if err != nil {
				t.Fatal(err)
			}
			if got == nil {
				continue
			}
			whole++
			if !bytes.Equal(got, message) {
				t.Fatalf("%d bytes come back as %d", len(message), len(got))
			}
		}
		if whole == 0 {
			t.Fatalf("a message of %d bytes does not come back", size)
		}
	}
}

func TestSenselessFragments(t *testing.T) {
	var f fragments
	for _, piece := range [][]byte{nil, {9}, {fragmentMark}, append([]byte{fragmentMark}, make([]byte, 12)...)} {
		if _, err := f.join("peer", piece); err == nil {
			t.Errorf("%v is taken", piece)
		}
	}
	for number := range uint64(100) { // the first pieces of messages that never end
		if _, err := f.join("peer", split(number, make([]byte, fragmentBytes+2))[0]); err != nil {
			t.Fatal(err)
		}
	}
	if open := len(f.open["peer"]); open > fragmentsOpen {
		t.Errorf("%d messages are open", open)
	}
}
