package courier

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"raventrestle"
	"raventrestle/internal/fleet/facts"
	"raventrestle/internal/history"
	"raventrestle/internal/journal"
	"raventrestle/internal/net/discovery"
	"raventrestle/internal/net/notify"
)

// recordedLines is a history as text lines.
type recordedLines []string

func (l *recordedLines) Write(r history.Record) {
	text := fmt.Sprint(r.Kind, " ", r.ID, r.What, r.How, " ", r.Subject)
	for _, x := range r.Evidence {
		text += fmt.Sprint(" ", x.ID, " ", time.Duration(x.Age), " of ", time.Duration(x.MaxAge))
	}
	*l = append(*l, text)
}

func (l *recordedLines) takeAll() []string { all := *l; *l = nil; return all }

// Without a history nothing is allocated. With one, a fact is recorded when it is new and a decision when a fact changed
// something. An answer is recorded once the journal has it; the end of a message that was given up is always recorded.
func TestHistoryRecords(t *testing.T) {
	c := newTestCourier(t, "")
	c.conf.Name, c.conf.Settings.WarmupDuration = "me", time.Minute
	if err := c.policy.Reconfigure(c.conf.Settings); err != nil {
		t.Fatal(err)
	}
	f := &fakeFleet{facts: map[facts.Key]facts.Evidence{}}
	c.UseFleet(f)
	<-c.exchangeTimer()
	u := discovery.Update{Kind: raventrestle.ListSnapshot}
	for _, n := range []raventrestle.TargetID{"a", "b"} {
		u.Entries = append(u.Entries, discovery.Entry{Addr: "127.0.0.1:1", Entry: raventrestle.Entry{Target: n, Dest: 7, Zone: -1}})
	}
	c.policy.Step(now(), []raventrestle.Event{c.applyList(t.Context(), u)})

	m, observations := &journal.Message{ID: "m"}, []raventrestle.PeerObservation{{Target: "a", WaitUntil: 1, Applied: raventrestle.AppliedWait}}
	if n := testing.AllocsPerRun(100, func() {
		c.startEvidenceRead()
		c.recordEvidence(facts.Subject{Dest: 7}, facts.Wait, facts.Evidence{Origin: "o"})
		c.recordDecision(observations)
		c.recordAccepted(m)
		c.recordAttempt("m", "a")
		c.recordCallWritten("a")
		c.recordWait("a", time.Time{})
		c.addPendingEnding("m", raventrestle.OK)
		c.recordEndings(nil, c.takePendingEndings(), nil)
		c.deadLetterEnded("m", "delivered")
	}); n > 0 || c.evidence != nil {
		t.Fatalf("%v allocations without a history", n)
	}

	l := &recordedLines{}
	c.Record(l)
	want := func(what string, all ...string) {
		t.Helper()
		if diff := cmp.Diff(all, l.takeAll()); diff != "" {
			t.Errorf("%s: %s", what, diff)
		}
	}
	wait := facts.Key{Subject: facts.Subject{Dest: 7}, Kind: facts.Wait}
	f.facts[wait] = facts.Evidence{Remaining: time.Minute, Age: time.Second, Origin: "o", Epoch: 4, Seq: 9}
	c.exchangeFacts()
	want("a wait", "fact taken o/4/9wait dest 7", "wait heard  a", "wait heard  b", "decided advise  o/4/9 1s of 0s")
	c.exchangeFacts()
	want("the same wait again")
	delete(f.facts, wait)
	outage := facts.Key{Subject: facts.Subject{Dest: 7, Endpoint: "b"}, Kind: facts.Outage}
	f.facts[outage] = facts.Evidence{Age: 2 * time.Second, Origin: "o", Epoch: 4, Seq: 10}
	c.exchangeFacts()
	c.exchangeFacts()
	want("an outage", "fact taken o/4/10outage b", "decided advise  o/4/10 2s of 1m0s")
	f.facts[outage] = facts.Evidence{Age: 2 * time.Minute, Origin: "o", Epoch: 5, Seq: 1}
	c.exchangeFacts()
	want("an outage that is too old", "fact taken o/5/1outage b")

	c.addPendingEnding("m", raventrestle.OK)
	c.recordEndings(errors.New("disk"), c.takePendingEndings(), []notify.Notification{{ID: "n", End: journal.End{Deferred: true}}, {ID: "o"}})
	want("a failed write", "message ended ndeferred ", "message ended oundeliverable ")
	c.addPendingEnding("m", raventrestle.Error)
	c.recordEndings(nil, c.takePendingEndings(), nil)
	c.recordEndings(nil, c.takePendingEndings(), nil)
	c.deadLetterEnded("o", "failed")
	c.deadLetterEnded("o", "delivered")
	want("ends", "message ended mvoid ", "message ended oletter_delivered ")
}
