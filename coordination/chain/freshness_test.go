package chain

import (
	"testing"
	"time"

	"raventrestle/coordination/view"
)

const (
	testLife  = 7
	testHop   = 3 * time.Millisecond
	testShift = 40 * time.Minute // of the follower's clock against the head's
)

// follower is a founder behind the head, whose pings the test plays.
type follower struct {
	*Node
	head view.Member
}

func newFollower(t *testing.T) *follower {
	n := founder(t, 1)
	n.Persisted()
	n.logMatched = true
	return &follower{Node: n, head: n.View().Head()}
}

// ping delivers a ping at a time of the head's clock and returns the answer.
func (f *follower) ping(at time.Duration, ping Heartbeat) HeartbeatReply {
	ping.Incarnation = testLife
	out := f.Receive(at+testShift, f.head.Address, Message{From: f.head.Identity, Epoch: f.view.Epoch, Heartbeat: &ping})
	f.Persisted()
	f.TakeCommitted()
	for _, envelope := range out.Messages {
		if envelope.Message.HeartbeatReply != nil {
			return *envelope.Message.HeartbeatReply
		}
	}
	return HeartbeatReply{}
}

// confirmedAt is the follower's proof on the head's clock.
func (f *follower) confirmedAt(at time.Duration) time.Duration {
	if confirmed := f.Status(at + testShift).ConfirmedAt; confirmed > 0 {
		return confirmed - testShift
	}
	return 0
}

// A follower places the head's proof by the echo of its own answer: how long the ping that tells it was on its way
// doesn't matter.
func TestFollowerPlacesTheProofByTheEcho(t *testing.T) {
	for _, late := range []time.Duration{0, time.Second, 20 * time.Second} {
		f := newFollower(t)
		sent := time.Minute
		pong := f.ping(sent+testHop, Heartbeat{SentAt: sent})
		if got := f.confirmedAt(sent + testHop); got != 0 {
			t.Errorf("%v is proved before the first proof", got)
		}
		told := Heartbeat{SentAt: sent + time.Second, Echo: sent, EchoReceivedAt: sent + 2*testHop, EchoGeneration: pong.ReceiptGeneration, ProofAt: sent}
		f.ping(sent+time.Second+testHop+late, told)
		got := f.confirmedAt(sent + time.Second + testHop + late)
		if got > sent || got < sent-2*testHop {
			t.Errorf("%v late: %v is proved by the proof of %v", late, got, sent)
		}
	}
}

// A ping that came before and comes again, after a restart, after many others or after a head of another life, places
// nothing: its second receipt lies behind the answer to the first.
func TestPingThatComesTwicePlacesNothing(t *testing.T) {
	sent := time.Minute
	first := Heartbeat{SentAt: sent}
	told := Heartbeat{SentAt: sent + 150*time.Millisecond, Echo: sent, EchoReceivedAt: sent + 2*testHop, ProofAt: sent}
	for name, disturb := range map[string]func(f *follower) *follower{
		"nothing": func(f *follower) *follower { return f },
		"restart": func(*follower) *follower {
			next := newFollower(t)
			next.incarnation += 2
			next.resetFreshness()
			return next
		},
		"disk": func(f *follower) *follower {
			f.PersistFailed(sent + testShift)
			f.DiskRecovered(sent + testShift)
			f.logMatched = true
			return f
		},
		"life of head": func(f *follower) *follower {
			f.handleProof(sent+testShift, Heartbeat{Incarnation: testLife + 1})
			return f
		},
		"newer receipts": func(f *follower) *follower {
			for i := range time.Duration(2 * maxFreshnessEntries) {
				f.ping(sent+2*testHop+i, Heartbeat{SentAt: sent + 1 + i})
			}
			return f
		},
	} {
		f := newFollower(t)
		told.EchoGeneration = f.ping(sent+testHop, first).ReceiptGeneration
		f = disturb(f)
		f.ping(sent+10*time.Second, first)
		f.ping(sent+20*time.Second, told)
		if got := f.confirmedAt(sent + 20*time.Second); got > sent {
			t.Errorf("%s: %v is proved by a proof of %v", name, got, sent)
		}
	}
}

// Clocks that run a little unequally don't make an old proof younger than it is.
func TestOldProofAllowsForUnequalClocks(t *testing.T) {
	const old = 100 * time.Second
	f := newFollower(t)
	sent := time.Hour
	number := f.ping(sent, Heartbeat{SentAt: sent}).ReceiptGeneration
	told := Heartbeat{SentAt: sent + time.Second, Echo: sent, EchoReceivedAt: sent, EchoGeneration: number, ProofAt: sent - old}
	f.ping(sent+time.Second, told)
	if got, least := f.confirmedAt(sent+time.Second), old/clockDriftDivisor; got == 0 || got > sent-old-least {
		t.Errorf("%v is proved by a proof of %v", got, sent-old)
	}
}

// An echo from long before the proof places nothing: the head hears this member no more.
func TestProofLongAfterTheEchoIsNotPlaced(t *testing.T) {
	f := newFollower(t)
	sent := time.Minute
	number := f.ping(sent+testHop, Heartbeat{SentAt: sent}).ReceiptGeneration
	told := Heartbeat{SentAt: sent + 3*time.Second, Echo: sent, EchoReceivedAt: sent + 2*testHop, EchoGeneration: number, ProofAt: sent + 2*time.Second}
	f.ping(sent+3*time.Second, told)
	if got := f.confirmedAt(sent + 3*time.Second); got != 0 {
		t.Errorf("%v is proved by an echo of %v", got, sent)
	}
}

// After a silence a member asks again at once for what it lacks, however often it had asked in vain.
func TestAsksAgainWhenItIsHeardAgain(t *testing.T) {
	f := newFollower(t)
	f.logMatched = false
	now := time.Minute
	for range 40 {
		f.ping(now, Heartbeat{SentAt: now, Echo: time.Second})
		now += f.timing.HeartbeatInterval
	}
	before := f.catchUp.lastRequestID
	f.ping(now, Heartbeat{SentAt: now, Echo: now - time.Millisecond})
	if f.catchUp.lastRequestID != before+1 {
		t.Errorf("%d questions when it is heard again", f.catchUp.lastRequestID-before)
	}
}

// A proof waits until its index is applied.
func TestProofWaitsForItsIndex(t *testing.T) {
	f := newFollower(t)
	sent := time.Minute
	number := f.ping(sent+testHop, Heartbeat{SentAt: sent}).ReceiptGeneration
	f.ping(sent+time.Second, Heartbeat{
		SentAt: sent + time.Second, Echo: sent, EchoReceivedAt: sent + 2*testHop, EchoGeneration: number, ProofAt: sent, ProofIndex: 1,
	})
	if got := f.confirmedAt(sent + time.Second); got != 0 {
		t.Errorf("%v is proved without entry 1", got)
	}
	f.Receive(sent+testShift, f.head.Address, Message{From: f.head.Identity, Epoch: 1, Append: &Append{
		Entries: []Entry{{Index: 1, Epoch: 1}}, CommitIndex: 1,
	}})
	f.Persisted()
	f.TakeCommitted()
	if got := f.confirmedAt(sent + time.Second); got == 0 || got > sent {
		t.Errorf("%v is proved once entry 1 is applied", got)
	}
}

// testHead is a founder at the head, to which the test plays the answers of its successor.
type testHead struct{ *Node }

func newTestHead(t *testing.T) testHead {
	h := testHead{founder(t, 0)}
	h.Tick(time.Second)
	h.Persisted()
	return h
}

func (h testHead) answer(now, sent time.Duration, promised uint64) {
	from := h.View().Chain[1]
	pong := HeartbeatReply{Incarnation: h.incarnation, HeartbeatSentAt: sent, CompleteEpoch: 1, ReceiptGeneration: 5, PromisedEpoch: promised}
	h.Receive(now, from.Address, Message{From: from.Identity, Epoch: 1, HeartbeatReply: &pong})
	h.Persisted()
	h.TakeCommitted()
}

// The head proves the moment of the ping that a majority has answered, not that of the answer.
func TestHeadProvesByAnswers(t *testing.T) {
	h := newTestHead(t)
	if got := h.Status(2 * time.Second).ConfirmedAt; got != 0 {
		t.Errorf("%v is proved without an answer", got)
	}
	h.answer(1500*time.Millisecond, time.Second, 0)
	if got := h.Status(2 * time.Second).ConfirmedAt; got != time.Second {
		t.Errorf("%v is proved by an answer to the ping of 1 s", got)
	}
}

// A voter that has promised the next epoch proves nothing of this one.
func TestPromisedVoterProvesNothing(t *testing.T) {
	h := newTestHead(t)
	h.answer(1500*time.Millisecond, time.Second, 2)
	if got := h.Status(2 * time.Second).ConfirmedAt; got != 0 {
		t.Errorf("%v is proved by a voter that has promised the next epoch", got)
	}
}

// The head's own proof waits until what it had taken by then is applied.
func TestHeadProvesWhatItHasApplied(t *testing.T) {
	h := newTestHead(t)
	h.answer(1100*time.Millisecond, time.Second, 0)
	h.Propose(1200*time.Millisecond, []byte("x"))
	h.Tick(1300 * time.Millisecond)
	h.Persisted()
	h.answer(1350*time.Millisecond, 1300*time.Millisecond, 0)
	if got := h.Status(2 * time.Second).ConfirmedAt; got == 0 || got >= 1200*time.Millisecond {
		t.Errorf("%v is proved with an entry of 1.2 s that isn't applied", got)
	}
}
