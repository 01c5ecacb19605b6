package chain

import (
	"testing"
	"time"

	"raventrestle/coordination/view"
)

// fetchesIn lists the questions that a step asks.
func fetchesIn(out Output) (fetches []Fetch) {
	for _, envelope := range out.Messages {
		if envelope.Message.Fetch != nil {
			fetches = append(fetches, *envelope.Message.Fetch)
		}
	}
	return fetches
}

// answersIn counts the answers to questions that a step gives.
func answersIn(out Output) (answers int) {
	for _, envelope := range out.Messages {
		if a := envelope.Message.Append; a != nil && a.InReplyTo != 0 {
			answers++
		}
	}
	return answers
}

// upstream is a head with one large entry, and its successor, which has nothing.
type upstream struct {
	t    *testing.T
	head *Node
	asks view.Member
}

func newUpstream(t *testing.T) upstream {
	t.Helper()
	u := upstream{t: t, head: founder(t, 0)}
	u.asks = u.head.View().Chain[1]
	u.head.Propose(time.Second, make([]byte, 1<<20))
	u.head.Persisted()
	return u
}

// ask has the successor ask for everything, and returns how many answers it gets.
func (u upstream) ask(at time.Duration, number uint64) int {
	u.t.Helper()
	out := u.head.Receive(at, u.asks.Address,
		Message{From: u.asks.Identity, Epoch: 1, Fetch: &Fetch{RequestID: number}})
	u.head.Persisted()
	return answersIn(out)
}

// A question that comes a second time, also after newer ones, is not answered a second time: with large entries the
// second answer would keep a slow link from all that is new.
func TestQuestionThatComesAgainIsNotAnswered(t *testing.T) {
	const first = 1000
	u := newUpstream(t)
	at := 2 * time.Second
	if u.ask(at, first) != 1 {
		t.Fatal("the first question is not answered")
	}
	at += 3 * time.Second // the answer was lost
	if u.ask(at, first+1) != 1 {
		t.Fatal("the second question is not answered")
	}
	at += 3 * time.Second
	for _, number := range []uint64{first, first + 1} {
		if u.ask(at, number) != 0 {
			t.Errorf("question %d is answered again", number)
		}
	}
	if u.ask(at, first+2) != 1 {
		t.Error("the third question is not answered")
	}
}

// A copy that comes after many newer questions is known for one too; it is not taken for the question of another life,
// which would be answered at once, and so would the next one of the life that asks.
func TestOldCopyIsNoOtherLife(t *testing.T) {
	const first, newest = 1000, 1400
	u := newUpstream(t)
	at := 2 * time.Second
	for number := uint64(first); number < newest; number++ {
		u.ask(at, number)
		at += 10 * time.Millisecond
	}
	at += 3 * time.Second
	if u.ask(at, newest) != 1 {
		t.Fatal("the newest question is not answered")
	}
	if u.ask(at, first) != 0 {
		t.Error("an old copy is answered")
	}
	if u.ask(at, newest+1) != 0 {
		t.Error("what is on its way is sent again after an old copy")
	}
	if u.ask(at, 1<<40) != 1 {
		t.Error("another life is not answered")
	}
}

// lagging is a member of the chain that a head tells of entries which it lacks.
type lagging struct {
	t    *testing.T
	node *Node
	head view.Member
	at   time.Duration
}

// receive hands a message of the head to the member, and returns what it asks for then.
func (f *lagging) receive(m Message) []Fetch {
	m.From, m.Epoch = f.head.Identity, 1
	out := f.node.Receive(f.at, f.head.Address, m)
	f.node.Persisted()
	return fetchesIn(out)
}

// ping tells of entries that the member lacks, some time later.
func (f *lagging) ping() []Fetch {
	f.at += 50 * time.Millisecond
	return f.receive(Message{Heartbeat: &Heartbeat{Incarnation: 1, SentAt: f.at, LastIndex: 5}})
}

// answer has the member ask, and answers that there is nothing. It returns what is asked for at once.
func (f *lagging) answer() []Fetch {
	f.t.Helper()
	for until := f.at + time.Second; f.at < until; {
		if asked := f.ping(); len(asked) > 0 {
			return f.receive(Message{Append: &Append{InReplyTo: asked[0].RequestID}})
		}
	}
	f.t.Fatal("the member does not ask for what it lacks")
	return nil
}

// A member whose upstream member has nothing more itself doesn't ask again at once, and does some time later.
func TestNothingIsFollowedByARest(t *testing.T) {
	n := founder(t, 1)
	f := &lagging{t: t, node: n, head: n.View().Head(), at: time.Second}
	f.answer() // now it is whole, and asks because it lags
	if again := f.answer(); len(again) > 0 {
		t.Errorf("asks again at once: %+v", again)
	}
	answered := f.at
	if n.NextTick() > answered+n.timing.RetryInterval {
		t.Errorf("answered at %v, wakes at %v", answered, n.NextTick())
	}
	for f.at < answered+n.timing.RetryInterval-50*time.Millisecond {
		if again := f.ping(); len(again) > 0 {
			t.Errorf("asks again after %v: %+v", f.at-answered, again)
		}
	}
	if len(f.ping()) != 1 {
		t.Error("does not ask again after the rest")
	}
}
