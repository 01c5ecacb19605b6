package journal

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// With Options.RecordAttempts the journal keeps every attempt of an unfinished message, its outcome and the first
// attempt that may have run, however often the journal is reopened and rewritten.
func TestAttemptsAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "journal")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		o := Options{MaxBytes: 60_000, RecordAttempts: true} // so small that the file is often rewritten
		s, _, err := Open(dir, o, discardLogger)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { s.Close() }()
		model := map[string]*MessageState{}
		write := func(r Record) error {
			written := make(chan error, 1)
			if err := s.Append([]Record{r}, func(err error) { written <- err }); err != nil {
				return err
			}
			return <-written
		}
		id := rapid.SampledFrom([]string{"a", "b", "c"})
		at := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			target := id.Draw(t, "id")
			m := model[target]
			var r Record
			switch action := rapid.SampledFrom([]string{"take", "begin", "begin", "never", "may", "over", "reopen", "prior"}).Draw(t, "what"); {
			case action == "reopen":
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
				var messages []MessageState
				if s, messages, err = Open(dir, o, discardLogger); err != nil {
					t.Fatal(err)
				}
				if !s.Intact() {
					t.Fatal("the reopened journal is not intact")
				}
				got := map[string]Progress{}
				for _, m := range messages {
					got[m.ID] = m.Progress
				}
				want := map[string]Progress{}
				for id, m := range model {
					want[id] = m.Progress
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Fatal(diff)
				}
				continue
			case action == "take" && m == nil:
				m := newTestMessage(target, 400)
				m.ResendNumber = int64(rapid.IntRange(0, 2).Draw(t, "resend"))
				model[target] = &MessageState{Message: m}
				r = Accepted(m)
			case m == nil || action == "take":
				continue
			case action == "prior" && m.AttemptCount == 0 && m.PriorRun == nil:
				at++
				prior, firstRun := Attempt{"p0", "z0", at}, Attempt{"p0", "z0", at}
				m.PriorRun, m.FirstRun = &prior, &firstRun
				r = PriorRun(target, prior)
			case action == "begin" && m.InFlight == nil && m.AttemptCount < maxCompleted:
				at++
				attempt := Attempt{"p1", "z1", at}
				m.AttemptCount, m.InFlight = m.AttemptCount+1, &attempt
				r = AttemptBegun(target, attempt)
			case action == "never" && m.InFlight != nil:
				m.Completed, m.InFlight = append(m.Completed, CompletedAttempt{*m.InFlight, "full"}), nil
				r = NeverRan(target, "full")
			case action == "may" && m.InFlight != nil:
				if m.FirstRun == nil {
					m.FirstRun = m.InFlight
				}
				m.Completed, m.InFlight = append(m.Completed, CompletedAttempt{*m.InFlight, "reset"}), nil
				r = MayHaveRun(target, "reset")
			case action == "over":
				delete(model, target)
				r = Done(target)
			default:
				continue
			}
			if err := write(r); err != nil {
				t.Fatal(err)
			}
		}
	})
}
