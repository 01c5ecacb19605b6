package journal

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// With Options.Tries the journal knows every try of what it holds, how it ended and which was the
// first that may have run, over any number of lives and of files made anew.
func TestTriesAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "journal")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		o := Options{Limit: 60_000, Tries: true} // so small that the file is often made anew
		s, _, err := Open(dir, o, quiet)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { s.Close() }()
		model := map[string]*Kept{}
		write := func(r Record) error {
			heard := make(chan error, 1)
			if err := s.Append([]Record{r}, func(err error) { heard <- err }); err != nil {
				return err
			}
			return <-heard
		}
		id := rapid.SampledFrom([]string{"a", "b", "c"})
		at := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			x := id.Draw(t, "id")
			k := model[x]
			var r Record
			switch what := rapid.SampledFrom([]string{"take", "begin", "begin", "never", "may", "over", "reopen", "prior"}).Draw(t, "what"); {
			case what == "reopen":
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
				var kept []Kept
				if s, kept, err = Open(dir, o, quiet); err != nil {
					t.Fatal(err)
				}
				if !s.Sound() {
					t.Fatal("not sound")
				}
				got := map[string]Progress{}
				for _, y := range kept {
					got[y.ID] = y.Progress
				}
				want := map[string]Progress{}
				for id, y := range model {
					want[id] = y.Progress
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Fatal(diff)
				}
				continue
			case what == "take" && k == nil:
				m := message(x, 400)
				m.Resend = int64(rapid.IntRange(0, 2).Draw(t, "resend"))
				model[x] = &Kept{Message: m}
				r = Taken(m)
			case k == nil || what == "take":
				continue
			case what == "prior" && k.Tries == 0 && k.Prior == nil:
				at++
				t1, t2 := Try{"p0", "z0", at}, Try{"p0", "z0", at}
				k.Prior, k.Ran = &t1, &t2
				r = Prior(x, t1)
			case what == "begin" && k.Out == nil && k.Tries < mostPast:
				at++
				try := Try{"p1", "z1", at}
				k.Tries, k.Out = k.Tries+1, &try
				r = Begun(x, try)
			case what == "never" && k.Out != nil:
				k.Past, k.Out = append(k.Past, Tried{*k.Out, "full"}), nil
				r = NeverRan(x, "full")
			case what == "may" && k.Out != nil:
				if k.Ran == nil {
					k.Ran = k.Out
				}
				k.Past, k.Out = append(k.Past, Tried{*k.Out, "reset"}), nil
				r = MayHaveRun(x, "reset")
			case what == "over":
				delete(model, x)
				r = Over(x)
			default:
				continue
			}
			if err := write(r); err != nil {
				t.Fatal(err)
			}
		}
	})
}
