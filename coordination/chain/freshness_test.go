package chain

import (
	"testing"
	"time"

	"raventrestle/coordination/view"
)

const (
	testIncarnation = 7                    // of the head
	testLatency     = 3 * time.Millisecond // of a message
	testClockOffset = 40 * time.Minute     // offset of the follower's clock from the head's
)

// follower is a founder that follows the head in the chain. The test sends it the head's heartbeats.
type follower struct {
	*Node
	head view.Member
}

func newFollower(t *testing.T) *follower {
	t.Helper()
	n := newFounder(t, 1)
	n.Persisted()
	n.logMatched = true
	return &follower{Node: n, head: n.View().Head()}
}

// receive delivers a heartbeat at a time on the head's clock and returns the reply.
func (f *follower) receive(at time.Duration, heartbeat Heartbeat) HeartbeatReply {
	heartbeat.Incarnation = testIncarnation
	message := Message{From: f.head.Identity, Epoch: f.view.Epoch, Heartbeat: &heartbeat}
	out := f.Receive(at+testClockOffset, f.head.Address, message)
	f.Persisted()
	f.TakeCommitted()
	for _, envelope := range out.Messages {
		if envelope.Message.HeartbeatReply != nil {
			return *envelope.Message.HeartbeatReply
		}
	}
	return HeartbeatReply{}
}

// confirmedAt returns the time of the follower's proof on the head's clock, or 0.
func (f *follower) confirmedAt(at time.Duration) time.Duration {
	if confirmed := f.Status(at + testClockOffset).ConfirmedAt; confirmed > 0 {
		return confirmed - testClockOffset
	}
	return 0
}

// A follower dates the head's proof by the echo of its own reply. The delay of the heartbeat that carries the proof
// does not matter.
func TestFollowerDatesProofByEcho(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Second, 20 * time.Second} {
		f := newFollower(t)
		sent := time.Minute
		reply := f.receive(sent+testLatency, Heartbeat{SentAt: sent})
		if got := f.confirmedAt(sent + testLatency); got != 0 {
			t.Errorf("delay %v: got proof of %v before the first one, want none", delay, got)
		}
		proofHeartbeat := Heartbeat{
			SentAt: sent + time.Second, Echo: sent, EchoReceivedAt: sent + 2*testLatency,
			EchoGeneration: reply.ReceiptGeneration, ProofAt: sent,
		}
		f.receive(sent+time.Second+testLatency+delay, proofHeartbeat)
		got := f.confirmedAt(sent + time.Second + testLatency + delay)
		if got > sent || got < sent-2*testLatency {
			t.Errorf("delay %v: got proof of %v, want between %v and %v", delay, got, sent-2*testLatency, sent)
		}
	}
}

// The receipt of a duplicate heartbeat dates no proof, because it is later than the reply to the first one. The
// duplicate may come after a restart, a failed disk, many newer heartbeats or a heartbeat of another incarnation of
// the head.
func TestDuplicateHeartbeatDatesNoProof(t *testing.T) {
	sent := time.Minute
	first := Heartbeat{SentAt: sent}
	proofHeartbeat := Heartbeat{
		SentAt:         sent + 150*time.Millisecond,
		Echo:           sent,
		EchoReceivedAt: sent + 2*testLatency,
		ProofAt:        sent,
	}
	for name, event := range map[string]func(f *follower) *follower{
		"nothing": func(f *follower) *follower { return f },
		"restart": func(*follower) *follower {
			next := newFollower(t)
			next.incarnation += 2
			next.resetFreshness()
			return next
		},
		"failed disk": func(f *follower) *follower {
			f.PersistFailed(sent + testClockOffset)
			f.DiskRecovered(sent + testClockOffset)
			f.logMatched = true
			return f
		},
		"head of another incarnation": func(f *follower) *follower {
			f.handleProof(sent+testClockOffset, Heartbeat{Incarnation: testIncarnation + 1})
			return f
		},
		"newer receipts": func(f *follower) *follower {
			for i := range time.Duration(2 * maxFreshnessEntries) {
				f.receive(sent+2*testLatency+i, Heartbeat{SentAt: sent + 1 + i})
			}
			return f
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFollower(t)
			proofHeartbeat.EchoGeneration = f.receive(sent+testLatency, first).ReceiptGeneration
			f = event(f)
			f.receive(sent+10*time.Second, first)
			f.receive(sent+20*time.Second, proofHeartbeat)
			if got := f.confirmedAt(sent + 20*time.Second); got > sent {
				t.Errorf("got proof of %v, want %v at the latest", got, sent)
			}
		})
	}
}

// The drift between two clocks is subtracted, so that it never makes an old proof appear younger than it is.
func TestOldProofAllowsForClockDrift(t *testing.T) {
	const age = 100 * time.Second
	f := newFollower(t)
	sent := time.Hour
	generation := f.receive(sent, Heartbeat{SentAt: sent}).ReceiptGeneration
	proofHeartbeat := Heartbeat{
		SentAt:         sent + time.Second,
		Echo:           sent,
		EchoReceivedAt: sent,
		EchoGeneration: generation,
		ProofAt:        sent - age,
	}
	f.receive(sent+time.Second, proofHeartbeat)
	if got, drift := f.confirmedAt(sent+time.Second), age/clockDriftDivisor; got == 0 || got > sent-age-drift {
		t.Errorf("got proof of %v, want one of %v at the latest", got, sent-age-drift)
	}
}

// An echo from long before the proof does not date it: the head no longer hears this member.
func TestProofLongAfterEchoIsRejected(t *testing.T) {
	f := newFollower(t)
	sent := time.Minute
	generation := f.receive(sent+testLatency, Heartbeat{SentAt: sent}).ReceiptGeneration
	proofHeartbeat := Heartbeat{
		SentAt:         sent + 3*time.Second,
		Echo:           sent,
		EchoReceivedAt: sent + 2*testLatency,
		EchoGeneration: generation,
		ProofAt:        sent + 2*time.Second,
	}
	f.receive(sent+3*time.Second, proofHeartbeat)
	if got := f.confirmedAt(sent + 3*time.Second); got != 0 {
		t.Errorf("got proof of %v by an echo of %v, want none", got, sent)
	}
}

// After an interruption a member fetches the entries that it lacks at once, however many fetches were lost before.
func TestMemberFetchesAtOnceAfterInterruption(t *testing.T) {
	f := newFollower(t)
	f.logMatched = false
	now := time.Minute
	for range 40 {
		f.receive(now, Heartbeat{SentAt: now, Echo: time.Second})
		now += f.timing.HeartbeatInterval
	}
	before := f.catchUp.lastRequestID
	f.receive(now, Heartbeat{SentAt: now, Echo: now - time.Millisecond})
	if got := f.catchUp.lastRequestID - before; got != 1 {
		t.Errorf("got %d fetches when it is heard again, want 1", got)
	}
}

// A proof is valid only once its index is applied.
func TestProofIsValidOnlyOnceItsIndexIsApplied(t *testing.T) {
	f := newFollower(t)
	sent := time.Minute
	generation := f.receive(sent+testLatency, Heartbeat{SentAt: sent}).ReceiptGeneration
	f.receive(sent+time.Second, Heartbeat{
		SentAt: sent + time.Second, Echo: sent, EchoReceivedAt: sent + 2*testLatency, EchoGeneration: generation,
		ProofAt: sent, ProofIndex: 1,
	})
	if got := f.confirmedAt(sent + time.Second); got != 0 {
		t.Errorf("got proof of %v without entry 1, want none", got)
	}
	f.Receive(sent+testClockOffset, f.head.Address, Message{From: f.head.Identity, Epoch: 1, Append: &Append{
		Entries: []Entry{{Index: 1, Epoch: 1}}, CommitIndex: 1,
	}})
	f.Persisted()
	f.TakeCommitted()
	if got := f.confirmedAt(sent + time.Second); got == 0 || got > sent {
		t.Errorf("got proof of %v with entry 1 applied, want one of %v at the latest", got, sent)
	}
}

// headNode is the founder at the head of the chain. The test sends it the replies of its successor.
type headNode struct{ *Node }

func newHeadNode(t *testing.T) headNode {
	t.Helper()
	h := headNode{newFounder(t, 0)}
	h.Tick(time.Second)
	h.Persisted()
	return h
}

// reply delivers the successor's reply to the heartbeat that was sent at the given time.
func (h headNode) reply(now, sent time.Duration, promisedEpoch uint64) {
	from := h.View().Chain[1]
	reply := HeartbeatReply{
		Incarnation: h.incarnation, HeartbeatSentAt: sent, CompleteEpoch: 1, ReceiptGeneration: 5,
		PromisedEpoch: promisedEpoch,
	}
	h.Receive(now, from.Address, Message{From: from.Identity, Epoch: 1, HeartbeatReply: &reply})
	h.Persisted()
	h.TakeCommitted()
}

// The head's proof is dated by the heartbeat that a majority has answered, not by the replies.
func TestHeadProofHasSendingTimeOfAnsweredHeartbeat(t *testing.T) {
	h := newHeadNode(t)
	if got := h.Status(2 * time.Second).ConfirmedAt; got != 0 {
		t.Errorf("got proof of %v without a reply, want none", got)
	}
	h.reply(1500*time.Millisecond, time.Second, 0)
	if got := h.Status(2 * time.Second).ConfirmedAt; got != time.Second {
		t.Errorf("got proof of %v, want 1s: the answered heartbeat", got)
	}
}

// A reply of a voter that has promised a proposal for the next epoch confirms no proof.
func TestReplyOfVoterThatHasPromisedConfirmsNoProof(t *testing.T) {
	h := newHeadNode(t)
	h.reply(1500*time.Millisecond, time.Second, 2)
	if got := h.Status(2 * time.Second).ConfirmedAt; got != 0 {
		t.Errorf("got proof of %v by a voter that has promised the next epoch, want none", got)
	}
}

// The head's own proof waits until the entries that it had appended by then are applied.
func TestHeadProofWaitsUntilEntriesAreApplied(t *testing.T) {
	h := newHeadNode(t)
	h.reply(1100*time.Millisecond, time.Second, 0)
	h.Propose(1200*time.Millisecond, []byte("x"))
	h.Tick(1300 * time.Millisecond)
	h.Persisted()
	h.reply(1350*time.Millisecond, 1300*time.Millisecond, 0)
	if got := h.Status(2 * time.Second).ConfirmedAt; got == 0 || got >= 1200*time.Millisecond {
		t.Errorf("got proof of %v, want one before the entry of 1.2s, which is not applied", got)
	}
}
