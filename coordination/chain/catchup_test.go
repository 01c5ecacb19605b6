package chain

import (
	"testing"
	"time"

	"raventrestle/coordination/view"
)

// fetchesIn returns the fetches that a step sends.
func fetchesIn(out Output) (fetches []Fetch) {
	for _, envelope := range out.Messages {
		if envelope.Message.Fetch != nil {
			fetches = append(fetches, *envelope.Message.Fetch)
		}
	}
	return fetches
}

// answersIn counts the answers to fetches that a step sends.
func answersIn(out Output) (answers int) {
	for _, envelope := range out.Messages {
		if a := envelope.Message.Append; a != nil && a.InReplyTo != 0 {
			answers++
		}
	}
	return answers
}

// upstream is a head with one large entry, and its successor, which has none.
type upstream struct {
	t         *testing.T
	head      *Node
	successor view.Member
}

func newUpstream(t *testing.T) upstream {
	t.Helper()
	u := upstream{t: t, head: newFounder(t, 0)}
	u.successor = u.head.View().Chain[1]
	u.head.Propose(time.Second, make([]byte, 1<<20))
	u.head.Persisted()
	return u
}

// fetch delivers the successor's fetch of the complete log to the head, and returns the number of answers.
func (u upstream) fetch(at time.Duration, requestID uint64) int {
	u.t.Helper()
	out := u.head.Receive(at, u.successor.Address,
		Message{From: u.successor.Identity, Epoch: 1, Fetch: &Fetch{RequestID: requestID}})
	u.head.Persisted()
	return answersIn(out)
}

// A duplicate of a fetch is not answered a second time, even if it arrives after newer fetches. With large entries the
// second answer would delay all newer messages on a slow link.
func TestDuplicateFetchIsNotAnswered(t *testing.T) {
	const first = 1000
	u := newUpstream(t)
	at := 2 * time.Second
	if got := u.fetch(at, first); got != 1 {
		t.Fatalf("first fetch: got %d answers, want 1", got)
	}
	at += 3 * time.Second // the answer was lost
	if got := u.fetch(at, first+1); got != 1 {
		t.Fatalf("second fetch: got %d answers, want 1", got)
	}
	at += 3 * time.Second
	for _, requestID := range []uint64{first, first + 1} {
		if got := u.fetch(at, requestID); got != 0 {
			t.Errorf("duplicate of fetch %d: got %d answers, want 0", requestID, got)
		}
	}
	if got := u.fetch(at, first+2); got != 1 {
		t.Errorf("third fetch: got %d answers, want 1", got)
	}
}

// A duplicate that arrives after many newer fetches is detected too. If it were taken for a fetch of another
// incarnation, it would be answered at once, and so would the next fetch of the current incarnation.
func TestOldDuplicateFetchIsNotTakenForAnotherIncarnation(t *testing.T) {
	const first, newest = 1000, 1400
	u := newUpstream(t)
	at := 2 * time.Second
	for requestID := uint64(first); requestID < newest; requestID++ {
		u.fetch(at, requestID)
		at += 10 * time.Millisecond
	}
	at += 3 * time.Second
	if got := u.fetch(at, newest); got != 1 {
		t.Fatalf("newest fetch: got %d answers, want 1", got)
	}
	if got := u.fetch(at, first); got != 0 {
		t.Errorf("old duplicate: got %d answers, want 0", got)
	}
	if got := u.fetch(at, newest+1); got != 0 {
		t.Errorf("fetch of entries in flight, after an old duplicate: got %d answers, want 0", got)
	}
	if got := u.fetch(at, 1<<40); got != 1 {
		t.Errorf("fetch of another incarnation: got %d answers, want 1", got)
	}
}

// laggingMember is a member of the chain that lacks entries that the head has.
type laggingMember struct {
	t    *testing.T
	node *Node
	head view.Member
	at   time.Duration
}

// receive delivers a message of the head, and returns the fetches that the member sends in response.
func (f *laggingMember) receive(m Message) []Fetch {
	m.From, m.Epoch = f.head.Identity, 1
	out := f.node.Receive(f.at, f.head.Address, m)
	f.node.Persisted()
	return fetchesIn(out)
}

// heartbeat advances the time by 50 ms and delivers a heartbeat that reports entries that the member lacks.
func (f *laggingMember) heartbeat() []Fetch {
	f.at += 50 * time.Millisecond
	return f.receive(Message{Heartbeat: &Heartbeat{Incarnation: 1, SentAt: f.at, LastIndex: 5}})
}

// answerEmpty waits until the member fetches, and answers without entries. It returns the fetches that the member
// sends in response.
func (f *laggingMember) answerEmpty() []Fetch {
	f.t.Helper()
	for until := f.at + time.Second; f.at < until; {
		if fetches := f.heartbeat(); len(fetches) > 0 {
			return f.receive(Message{Append: &Append{InReplyTo: fetches[0].RequestID}})
		}
	}
	f.t.Fatal("got no fetch for a second, want one from a member that lacks entries")
	return nil
}

// A member whose upstream member has no further entries does not fetch again at once, but after the retry interval.
func TestEmptyAnswerIsFollowedByBackoff(t *testing.T) {
	n := newFounder(t, 1)
	f := &laggingMember{t: t, node: n, head: n.View().Head(), at: time.Second}
	f.answerEmpty() // from now on its log is complete, and it fetches because it lags
	if fetches := f.answerEmpty(); len(fetches) > 0 {
		t.Errorf("got fetches %+v right after an empty answer, want none", fetches)
	}
	answered := f.at
	if n.NextTick() > answered+n.timing.RetryInterval {
		t.Errorf("got next tick at %v, want %v at the latest", n.NextTick(), answered+n.timing.RetryInterval)
	}
	for f.at < answered+n.timing.RetryInterval-50*time.Millisecond {
		if fetches := f.heartbeat(); len(fetches) > 0 {
			t.Errorf("got fetches %+v after %v, want none before %v", fetches, f.at-answered, n.timing.RetryInterval)
		}
	}
	if got := f.heartbeat(); len(got) != 1 {
		t.Errorf("got fetches %+v after the backoff, want one", got)
	}
}
