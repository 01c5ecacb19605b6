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
	"raventrestle/internal/net/notice"
	"raventrestle/internal/net/upstream"
)

// lines are a history as text.
type lines []string

func (l *lines) Write(r history.Record) {
	text := fmt.Sprint(r.Kind, " ", r.ID, r.What, r.How, " ", r.Subject)
	for _, x := range r.Evidence {
		text += fmt.Sprint(" ", x.ID, " ", time.Duration(x.Age), " of ", time.Duration(x.MaxAge))
	}
	*l = append(*l, text)
}

func (l *lines) all() []string { all := *l; *l = nil; return all }

// Without a history nothing is allocated. With one a fact is written when it is news and a decision when it changed
// something; an answer counts once the journal has it, and what the platform is told in any case.
func TestHistory(t *testing.T) {
	c := open(t, "")
	c.conf.Name, c.conf.Settings.WarmupDuration = "me", time.Minute
	if err := c.policy.Reconfigure(c.conf.Settings); err != nil {
		t.Fatal(err)
	}
	f := &scripted{says: map[facts.Key]facts.Evidence{}}
	c.Share(f)
	<-c.looks()
	u := upstream.Update{How: raventrestle.ListSnapshot}
	for _, n := range []raventrestle.TargetID{"a", "b"} {
		u.Entries = append(u.Entries, upstream.Entry{Addr: "127.0.0.1:1", Entry: raventrestle.Entry{Target: n, Dest: 7, Zone: -1}})
	}
	c.policy.Step(now(), []raventrestle.Event{c.update(t.Context(), u)})

	m, told := &journal.Message{ID: "m"}, []raventrestle.PeerObservation{{Target: "a", WaitUntil: 1, Applied: raventrestle.AppliedWait}}
	if n := testing.AllocsPerRun(100, func() {
		c.look()
		c.takes(facts.Subject{Dest: 7}, facts.Wait, facts.Evidence{Origin: "o"})
		c.decided(told)
		c.takenOn(m)
		c.tries("m", "a")
		c.called("a")
		c.waits("a", time.Time{})
		c.answered("m", raventrestle.OK)
		c.ended(nil, c.answers(), nil)
		c.deadLetterEnded("m", "delivered")
	}); n > 0 || c.taken != nil {
		t.Fatalf("%v allocations with no history", n)
	}

	l := &lines{}
	c.Record(l)
	want := func(what string, all ...string) {
		t.Helper()
		if diff := cmp.Diff(all, l.all()); diff != "" {
			t.Errorf("%s: %s", what, diff)
		}
	}
	wait := facts.Key{Subject: facts.Subject{Dest: 7}, Kind: facts.Wait}
	f.says[wait] = facts.Evidence{Remaining: time.Minute, Age: time.Second, Origin: "o", Epoch: 4, Seq: 9}
	c.share()
	want("a wait", "fact taken o/4/9wait dest 7", "wait heard  a", "wait heard  b", "decided advise  o/4/9 1s of 0s")
	c.share()
	want("the same again")
	delete(f.says, wait)
	out := facts.Key{Subject: facts.Subject{Dest: 7, Endpoint: "b"}, Kind: facts.Outage}
	f.says[out] = facts.Evidence{Age: 2 * time.Second, Origin: "o", Epoch: 4, Seq: 10}
	c.share()
	c.share()
	want("an outage", "fact taken o/4/10outage b", "decided advise  o/4/10 2s of 1m0s")
	f.says[out] = facts.Evidence{Age: 2 * time.Minute, Origin: "o", Epoch: 5, Seq: 1}
	c.share()
	want("one that is too old", "fact taken o/5/1outage b")

	c.answered("m", raventrestle.OK)
	c.ended(errors.New("disk"), c.answers(), []notice.Item{{ID: "n", End: journal.End{Deferred: true}}, {ID: "o"}})
	want("a disk that fails", "message ended ndeferred ", "message ended oundeliverable ")
	c.answered("m", raventrestle.Error)
	c.ended(nil, c.answers(), nil)
	c.ended(nil, c.answers(), nil)
	c.deadLetterEnded("o", "failed")
	c.deadLetterEnded("o", "delivered")
	want("ends", "message ended mvoid ", "message ended oletter_delivered ")
}
