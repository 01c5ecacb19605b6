package deadletter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"raventrestle"
	"raventrestle/internal/deadletter/rule"
	"raventrestle/internal/journal"
)

// skipJournal stands in for Config.AppendJournal and reports success without writing.
func skipJournal(_ []journal.Record, done func(error)) error {
	if done != nil {
		done(nil)
	}
	return nil
}

// After every state that a crash can leave between the writes to the store and to the journal, exactly one of
// them is authoritative for the message.
func TestReconcileAfterCrash(t *testing.T) {
	fresh := journal.MessageState{Message: &journal.Message{ID: "m"}}
	noticePending := journal.MessageState{Message: &journal.Message{ID: "m"}, Progress: journal.Progress{PendingNotice: &journal.End{}}}
	deferred := journal.MessageState{Message: &journal.Message{ID: "m"}, Progress: journal.Progress{PendingNotice: &journal.End{Deferred: true}}}
	resend := func(n int64) journal.MessageState {
		return journal.MessageState{Message: &journal.Message{ID: "m", ResendNumber: n}}
	}
	held := func(msg *Message) {}
	out := func(msg *Message) { msg.State, msg.Resends = rule.Resending, []Resend{{StartedAt: 7}} }
	for name, c := range map[string]struct {
		change        func(*Message) // nil for none
		journaled     []journal.MessageState
		journalIntact bool
		live          int
		stale         []string
		want          string // state of the dead letter afterwards, "" for none
		mayHaveRun    bool
		resends       int
	}{
		"dead letter written, end not in the journal":            {held, []journal.MessageState{fresh}, true, 0, nil, "", false, 0},
		"end written, notice not sent":                           {held, []journal.MessageState{noticePending}, true, 0, nil, "held", false, 0},
		"deferred, dead letter written late":                     {held, []journal.MessageState{deferred}, true, 0, nil, "", false, 0},
		"notice sent":                                            {held, nil, true, 0, nil, "held", false, 0},
		"marked as being resent, journal not written":            {out, nil, true, 0, nil, "held", false, 0},
		"marked as being resent, journal truncated":              {out, nil, false, 0, nil, "held", true, 1},
		"being resent in both":                                   {out, []journal.MessageState{resend(1)}, true, 1, nil, "out", false, 1},
		"being resent in both, journal truncated":                {out, []journal.MessageState{resend(1)}, false, 1, nil, "out", false, 1},
		"result in the dead letter, resend still in the journal": {held, []journal.MessageState{resend(1)}, true, 0, []string{"m"}, "held", false, 0},
		"the journal has another resend":                         {out, []journal.MessageState{resend(9)}, true, 0, []string{"m"}, "held", false, 0},
		"dead letter missing":                                    {nil, []journal.MessageState{resend(1)}, true, 0, []string{"m"}, "", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := openStore(t, t.TempDir(), largeOptions)
			if c.change != nil {
				msg := newTestMessage("m", 1, 1, 1)
				c.change(msg)
				if _, err := s.Put(msg); err != nil {
					t.Fatal(err)
				}
			}
			live, stale, err := reconcile(s, c.journaled, c.journalIntact, time.Unix(9, 0))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.stale, stale); diff != "" || len(live) != c.live {
				t.Fatal(diff, live)
			}
			msg, err := s.Get("m")
			if c.want == "" {
				if err == nil {
					t.Fatalf("the dead letter still exists, in state %s", msg.State)
				}
				return
			}
			if err != nil || msg.State.String() != c.want || (msg.FirstRun != nil) != c.mayHaveRun || len(msg.Resends) != c.resends {
				t.Fatalf("%v %+v", err, msg)
			}
		})
	}
}

// A guarded dead letter whose first attempt may have run in a zone without a listed endpoint is held with that
// reason and is not sent to another zone. It is sent once an endpoint in that zone is listed again.
func TestGuardedResendWaitsForEndpointInZone(t *testing.T) {
	submitted := make(chan ResendRequest, 4)
	class := raventrestle.Class{Deadline: time.Second, Idempotency: raventrestle.Keyed, DedupScope: raventrestle.DedupZone, DedupWindow: time.Hour}
	mgr, _, _, err := Start(Config{
		Dir: t.TempDir(), Options: largeOptions, Log: discardLogger, MaxAge: time.Hour, MaxFinalAge: time.Hour, AppendJournal: skipJournal,
		Limits: rule.Limits{
			Automatic: true, MaxResends: 9, MaxAge: time.Hour, InitialRate: 100, MaxRate: 100, Backoff: time.Millisecond,
			MaxBackoff: time.Millisecond, SlotsShare: 0.5, HeldShare: 0.5,
		},
		LookupClass:  func(string) (raventrestle.Class, bool) { return class, true },
		SubmitResend: func(a ResendRequest) bool { submitted <- a; return true },
	}, nil, true)
	if err != nil {
		t.Fatal(err)
	}
	runManager(t, mgr)
	msg := newTestMessage("m", 1, 1, 0)
	msg.FailedAt, msg.Idempotency, msg.DedupScope, msg.DedupWindow = time.Now().UnixNano(), class.Idempotency, class.DedupScope, int64(class.DedupWindow)
	msg.FirstRun = &Attempt{Peer: "p1", Zone: "a", At: time.Now().UnixNano(), Outcome: "reset"}
	added := make(chan error, 1)
	mgr.Add(msg, false, func(err error) { added <- err })
	if err := <-added; err != nil {
		t.Fatal(err)
	}
	setEndpoints := func(endpoints ...rule.Endpoint) {
		mgr.SetCourierState(&CourierState{Load: rule.Load{Slots: 100, MaxHeld: 100}, Endpoints: map[int64][]rule.Endpoint{1: endpoints}})
		mgr.RecordCalls([]CallEnd{{Dest: 1, Delivered: true}})
	}
	setEndpoints(rule.Endpoint{Peer: "p2", Zone: "b"})
	if _, err := mgr.Resend(t.Context(), Filter{}, false); err != nil { // not even at an operator's request
		t.Fatal(err)
	}
	time.Sleep(3 * tickInterval) // time for a resend that must not begin
	it, err := mgr.Show(t.Context(), "m")
	if err != nil || it.Reason != rule.NoDedupEndpoint || it.Permanent || len(submitted) > 0 {
		t.Fatalf("%+v %v, %d resends begun", it, err, len(submitted))
	}
	setEndpoints(rule.Endpoint{Peer: "p2", Zone: "b"}, rule.Endpoint{Peer: "p9", Zone: "a"})
	select {
	case a := <-submitted:
		if !a.MayHaveRun || a.FirstRun.Zone != "a" {
			t.Fatalf("%+v: the request lacks the zone of the first attempt", a)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("not sent although its zone has an endpoint again")
	}
}
