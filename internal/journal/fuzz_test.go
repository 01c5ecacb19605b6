package journal

import "testing"

// Noise in the journal's file is passed over: it never ends the process, and the whole record after
// it is found.
func FuzzDecode(f *testing.F) {
	m := message("a", 64)
	f.Add(Taken(m).append(nil))
	f.Add(Prior("a", Try{"p", "z", 1}).append(NeverRan("a", "full").append(nil)))
	f.Add([]byte(mark))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, noise []byte) {
		last := Record{}
		if bad := decode(Over("the last").append(noise), func(r Record) { last = r }); bad > len(noise) {
			t.Fatalf("%d bytes of %d are no record", bad, len(noise))
		}
		if last.kind != over || last.id != "the last" {
			t.Fatalf("the record after the noise is lost: %+v", last)
		}
	})
}
