package deadletter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"raventrestle"
	"raventrestle/internal/deadletter/rule"
	"raventrestle/internal/journal"
)

func appends(_ []journal.Record, then func(error)) error {
	if then != nil {
		then(nil)
	}
	return nil
}

// Every state that a crash can leave between the store and the journal ends with one place that
// answers for the message.
func TestReconcile(t *testing.T) {
	fresh := journal.Kept{Message: &journal.Message{ID: "m"}}
	owed := journal.Kept{Message: &journal.Message{ID: "m"}, Progress: journal.Progress{Owed: &journal.End{}}}
	deferred := journal.Kept{Message: &journal.Message{ID: "m"}, Progress: journal.Progress{Owed: &journal.End{Deferred: true}}}
	resend := func(n int64) journal.Kept { return journal.Kept{Message: &journal.Message{ID: "m", Resend: n}} }
	held := func(l *Letter) {}
	out := func(l *Letter) { l.State, l.Resends = rule.Resending, []Resend{{Began: 7}} }
	for name, c := range map[string]struct {
		letter   func(*Letter) // nil for none
		kept     []journal.Kept
		sound    bool
		live     int
		stale    []string
		want     string // state of the dead letter afterwards, "" for none
		mayRun   bool
		attempts int
	}{
		"letter written, end not":                    {held, []journal.Kept{fresh}, true, 0, nil, "", false, 0},
		"end written, notice owed":                   {held, []journal.Kept{owed}, true, 0, nil, "held", false, 0},
		"told to come again, letter late":            {held, []journal.Kept{deferred}, true, 0, nil, "", false, 0},
		"notice told":                                {held, nil, true, 0, nil, "held", false, 0},
		"marked out, journal not written":            {out, nil, true, 0, nil, "held", false, 0},
		"marked out, journal torn":                   {out, nil, false, 0, nil, "held", true, 1},
		"out in both":                                {out, []journal.Kept{resend(1)}, true, 1, nil, "out", false, 1},
		"out in both, journal torn":                  {out, []journal.Kept{resend(1)}, false, 1, nil, "out", false, 1},
		"end written into the letter, journal holds": {held, []journal.Kept{resend(1)}, true, 0, []string{"m"}, "held", false, 0},
		"the journal's resend is an earlier one":     {out, []journal.Kept{resend(9)}, true, 0, []string{"m"}, "held", false, 0},
		"the letter is gone":                         {nil, []journal.Kept{resend(1)}, true, 0, []string{"m"}, "", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := open(t, t.TempDir(), large)
			if c.letter != nil {
				l := letter("m", 1, 1, 1)
				c.letter(l)
				if _, err := s.Put(l); err != nil {
					t.Fatal(err)
				}
			}
			live, stale, err := reconcile(s, c.kept, c.sound, time.Unix(9, 0))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.stale, stale); diff != "" || len(live) != c.live {
				t.Fatal(diff, live)
			}
			l, err := s.Get("m")
			if c.want == "" {
				if err == nil {
					t.Fatalf("the letter is still there, %s", l.State)
				}
				return
			}
			if err != nil || l.State.String() != c.want || (l.Ran != nil) != c.mayRun || len(l.Resends) != c.attempts {
				t.Fatalf("%v %+v", err, l)
			}
		})
	}
}

// A guarded dead letter whose first try may have run on a floor that has no endpoint left is held with
// that reason, goes nowhere else, and goes there when an endpoint is back in time.
func TestFloorGone(t *testing.T) {
	begun := make(chan Again, 4)
	class := raventrestle.Class{Deadline: time.Second, Idempotency: raventrestle.Keyed, DedupScope: raventrestle.DedupZone, DedupWindow: time.Hour}
	k, _, _, err := Start(Config{
		Folder: t.TempDir(), Options: large, Log: quiet, MaxAge: time.Hour, Settled: time.Hour, Append: appends,
		Limits: rule.Limits{
			Automatic: true, MaxResends: 9, MaxAge: time.Hour, InitialRate: 100, MaxRate: 100, Backoff: time.Millisecond,
			MaxBackoff: time.Millisecond, SlotsShare: 0.5, HeldShare: 0.5,
		},
		Class: func(string) (raventrestle.Class, bool) { return class, true },
		Begin: func(a Again) bool { begun <- a; return true },
	}, nil, true)
	if err != nil {
		t.Fatal(err)
	}
	run(t, k)
	l := letter("m", 1, 1, 0)
	l.Failed, l.Effect, l.Group, l.Window = time.Now().UnixNano(), class.Idempotency, class.DedupScope, int64(class.DedupWindow)
	l.Ran = &Try{Peer: "p1", Floor: "a", At: time.Now().UnixNano(), Outcome: "reset"}
	heard := make(chan error, 1)
	k.Keep(l, false, func(err error) { heard <- err })
	if err := <-heard; err != nil {
		t.Fatal(err)
	}
	tell := func(places ...rule.Endpoint) {
		k.Tell(&View{Load: rule.Load{Slots: 100, MaxHeld: 100}, Places: map[int64][]rule.Endpoint{1: places}})
		k.Saw([]Seen{{Dest: 1, Delivered: true}})
	}
	tell(rule.Endpoint{Peer: "p2", Zone: "b"})
	if _, err := k.Resend(t.Context(), Filter{}, false); err != nil { // an operator can't change it either
		t.Fatal(err)
	}
	time.Sleep(3 * beat) // room for what must not come
	it, err := k.Show(t.Context(), "m")
	if err != nil || it.Reason != rule.NoDedupEndpoint || it.Never || len(begun) > 0 {
		t.Fatalf("%+v %v, %d begun", it, err, len(begun))
	}
	tell(rule.Endpoint{Peer: "p2", Zone: "b"}, rule.Endpoint{Peer: "p9", Zone: "a"})
	select {
	case a := <-begun:
		if !a.MayRun || a.Ran.Zone != "a" {
			t.Fatalf("%+v: the module would not know its floor", a)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("not sent though its floor is back")
	}
}
