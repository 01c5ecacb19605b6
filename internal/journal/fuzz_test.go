package journal

import "testing"

// Random bytes before a valid record are skipped without a panic, and the record after them is decoded.
func FuzzDecode(f *testing.F) {
	msg := newTestMessage("a", 64)
	f.Add(Accepted(msg).append(nil))
	f.Add(PriorRun("a", Attempt{"p", "z", 1}).append(NeverRan("a", "full").append(nil)))
	f.Add([]byte(recordMarker))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, input []byte) {
		last := Record{}
		if bad := decode(Done("the last").append(input), func(r Record) { last = r }); bad > len(input) {
			t.Fatalf("%d bytes of %d are not part of a valid record", bad, len(input))
		}
		if last.kind != kindDone || last.id != "the last" {
			t.Fatalf("the record after the random bytes was not decoded: %+v", last)
		}
	})
}
