package chain

import (
	"testing"
	"time"

	"raventrestle/coordination/internal/mutation"
	"raventrestle/coordination/view"
)

// headOfTwo returns the head of a chain of two, which one voter has left, with three entries at the epoch's beginning.
func headOfTwo(planted mutation.Set) *Node {
	member := func(name string) view.Member { return view.Member{Identity: name, Address: name} }
	state := State{Self: member("a"), CompleteEpoch: 2}
	state.View = view.View{
		Epoch: 2, Chain: []view.Member{member("a"), member("c")},
		Voters: []view.Member{member("a"), member("b"), member("c")},
	}
	for index := uint64(1); index <= 3; index++ {
		state.Entries = append(state.Entries, Entry{Index: index, Epoch: 1})
	}
	return New(time.Second, state, Config{FaultTolerance: 1, RandomSeed: 1, Mutation: planted})
}

// copiesTold has the head hear the other member of the chain, and returns what it then tells the member that leaves.
func copiesTold(t *testing.T, n *Node, pong HeartbeatReply) int {
	t.Helper()
	now := n.lastStep + 400*time.Millisecond
	pong.Incarnation, pong.HeartbeatSentAt = n.incarnation, now
	n.Receive(now, "c", Message{From: "c", To: "a", Epoch: 2, HeartbeatReply: &pong})
	for _, envelope := range n.Tick(now + n.timing.HeartbeatInterval).Messages {
		if envelope.Address == "b" && envelope.Message.Heartbeat != nil {
			return envelope.Message.Heartbeat.DurableReplicas
		}
	}
	t.Fatal("the member that leaves is not pinged")
	return 0
}

// The head counts itself and those whose logs have all that there was when the epoch began, and stay.
func TestCopiesBesideALeavingMember(t *testing.T) {
	for _, c := range []struct {
		name string
		pong HeartbeatReply
		want int
	}{
		{"not compared yet", HeartbeatReply{LastIndex: 3}, 1},
		{"lacks an entry", HeartbeatReply{Matched: true, LastIndex: 2}, 1},
		{"holds everything", HeartbeatReply{Matched: true, LastIndex: 3}, 2},
		{"its disk refuses", HeartbeatReply{Matched: true, LastIndex: 3, DiskFailing: true}, 1},
		{"leaves too", HeartbeatReply{Matched: true, LastIndex: 3, Leaving: true}, 1},
	} {
		if got := copiesTold(t, headOfTwo(mutation.Set{}), c.pong); got != c.want {
			t.Errorf("%s: %d copies, want %d", c.name, got, c.want)
		}
	}
	if copiesTold(t, headOfTwo(mutation.Set{CountLearners: true}), HeartbeatReply{}) == 1 {
		t.Error("a learner that counts as a holder is not found")
	}
}
