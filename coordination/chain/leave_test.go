package chain

import (
	"testing"
	"time"

	"raventrestle/coordination/internal/mutation"
	"raventrestle/coordination/view"
)

// headOfTwo returns the head of a chain of two members. A third voter has left the chain, and the log had three
// entries when the epoch began.
func headOfTwo(mutants mutation.Set) *Node {
	member := func(name string) view.Member { return view.Member{Identity: name, Address: name} }
	state := State{Self: member("a"), CompleteEpoch: 2}
	state.View = view.View{
		Epoch: 2, Chain: []view.Member{member("a"), member("c")},
		Voters: []view.Member{member("a"), member("b"), member("c")},
	}
	for index := uint64(1); index <= 3; index++ {
		state.Entries = append(state.Entries, Entry{Index: index, Epoch: 1})
	}
	return New(time.Second, state, Config{FaultTolerance: 1, RandomSeed: 1, Mutation: mutants})
}

// reportedReplicas delivers a reply of the other member of the chain to the head, and returns the number of durable
// replicas that the head then reports to the member that leaves.
func reportedReplicas(t *testing.T, n *Node, reply HeartbeatReply) int {
	t.Helper()
	now := n.lastStep + 400*time.Millisecond
	reply.Incarnation, reply.HeartbeatSentAt = n.incarnation, now
	n.Receive(now, "c", Message{From: "c", To: "a", Epoch: 2, HeartbeatReply: &reply})
	for _, envelope := range n.Tick(now + n.timing.HeartbeatInterval).Messages {
		if envelope.Address == "b" && envelope.Message.Heartbeat != nil {
			return envelope.Message.Heartbeat.DurableReplicas
		}
	}
	t.Fatal("got no heartbeat to the member that leaves, want one")
	return 0
}

// The head counts itself, and the members that stay and have all entries from before the epoch.
func TestDurableReplicasWithoutTheLeavingMember(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply HeartbeatReply
		want  int
	}{
		{"log not compared yet", HeartbeatReply{LastIndex: 3}, 1},
		{"lacks an entry", HeartbeatReply{Matched: true, LastIndex: 2}, 1},
		{"has everything", HeartbeatReply{Matched: true, LastIndex: 3}, 2},
		{"disk rejects writes", HeartbeatReply{Matched: true, LastIndex: 3, DiskFailing: true}, 1},
		{"leaves as well", HeartbeatReply{Matched: true, LastIndex: 3, Leaving: true}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := reportedReplicas(t, headOfTwo(mutation.Set{}), c.reply); got != c.want {
				t.Errorf("got %d durable replicas, want %d", got, c.want)
			}
		})
	}
	if got := reportedReplicas(t, headOfTwo(mutation.Set{CountLearners: true}), HeartbeatReply{}); got == 1 {
		t.Errorf("got %d durable replicas with the check disabled, want more", got)
	}
}
