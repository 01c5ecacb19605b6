package chain

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"raventrestle/coordination/view"
)

var testSeeds = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}

// founder returns a founding node that has just started.
func founder(t *testing.T, number int) *Node {
	t.Helper()
	state, ok := Bootstrap(view.Member{Address: testSeeds[number], Zone: fmt.Sprint("z", number)}, testSeeds)
	if !ok {
		t.Fatal("no founder")
	}
	return New(time.Second, state, Config{FaultTolerance: 1, Seeds: testSeeds, RandomSeed: uint64(number + 1)})
}

// later returns the view that follows the founders' one, with another head.
func later(n *Node) view.View {
	first := n.View()
	return view.View{Epoch: 2, Chain: []view.Member{first.Chain[1], first.Chain[2]}, Voters: first.Voters}
}

// epochMessages are the messages that belong to an epoch.
func epochMessages(from view.Member) []Message {
	return []Message{
		{Heartbeat: &Heartbeat{Incarnation: 1, SentAt: 1}},
		{HeartbeatReply: &HeartbeatReply{Incarnation: 1}},
		{Fetch: &Fetch{RequestID: 1}},
		{Append: &Append{Entries: []Entry{{Index: 1, Epoch: 1}}}},
		{Commit: &Commit{Index: 1}},
		{Forward: &Forward{ID: CommandID{Proposer: 1}}},
		{Barrier: &Barrier{RequestID: 1, Requester: "x", RequesterAddress: "x"}},
		{PreVote: &PreVote{RequestID: 1}},
		{PreVoteReply: &PreVoteReply{RequestID: 1}},
		{Promise: &view.Promise{Granted: true}},
		{Accept: &Accept{Number: view.ProposalNumber{Round: 9}}},
		{Accepted: &Accepted{}},
	}
}

// Whatever belongs to an epoch that is over changes nothing; its sender is told of the newer view.
func TestEarlierEpochIsRefused(t *testing.T) {
	for _, message := range epochMessages(view.Member{}) {
		n := founder(t, 1)
		from := n.View().Chain[0]
		n.Receive(time.Second, from.Address, Message{From: from.Identity, ViewDecision: &ViewDecision{View: later(n)}})
		n.Persisted()
		before := n.durableState
		message.From, message.Epoch = from.Identity, 1
		out := n.Receive(2*time.Second, from.Address, message)
		if len(out.Records) > 0 || !reflect.DeepEqual(before, n.durableState) {
			t.Errorf("%+v changes the state", message)
		}
		told := false
		for _, envelope := range out.Messages {
			told = told || envelope.Message.ViewDecision != nil && envelope.Address == from.Address
			if m := envelope.Message; m.HeartbeatReply != nil || m.BarrierReply != nil || m.Barrier != nil {
				t.Errorf("%+v is answered by %+v", message, m)
			}
		}
		if !told {
			t.Errorf("the sender of %+v is not told the view", message)
		}
	}
}

// A voter that has promised the next epoch takes part in its own no more.
func TestPromiseEndsTheEpoch(t *testing.T) {
	n := founder(t, 1)
	head, proposer := n.View().Chain[0], n.View().Chain[2]
	ballot := view.ProposalNumber{Round: 1, Proposer: proposer.Identity}
	out := n.Receive(time.Second, proposer.Address,
		Message{From: proposer.Identity, Epoch: 1, Prepare: &Prepare{View: n.View(), Number: ballot}})
	n.Persisted()
	if len(out.Records) == 0 {
		t.Fatal("the promise is not kept on disk")
	}
	for _, message := range []Message{
		{Append: &Append{InReplyTo: n.catchUp.lastRequestID, Entries: []Entry{{Index: 1, Epoch: 1}}}},
		{Barrier: &Barrier{RequestID: 1, Requester: "x", RequesterAddress: "x"}},
	} {
		message.From, message.Epoch = head.Identity, 1
		n.Receive(time.Second, head.Address, message)
		if n.log.lastIndex() != 0 {
			t.Errorf("%+v is taken", message)
		}
	}
	out = n.Receive(time.Second, head.Address,
		Message{From: head.Identity, Epoch: 1, Heartbeat: &Heartbeat{Incarnation: 1, SentAt: time.Second}})
	for _, envelope := range out.Messages {
		if pong := envelope.Message.HeartbeatReply; pong != nil && pong.PromisedEpoch != 2 {
			t.Errorf("the answer to a ping hides the promise: %+v", pong)
		}
	}
}

// Records come before the messages that rest on them: a refused write takes the step back.
func TestRefusedWriteIsTakenBack(t *testing.T) {
	n := founder(t, 0)
	n.Persisted()
	before := n.durableState
	_, out := n.Propose(time.Second, []byte("x"))
	if len(out.Records) == 0 || n.log.lastIndex() != 1 {
		t.Fatal("the head does not take the command")
	}
	n.PersistFailed(time.Second)
	if !reflect.DeepEqual(before.log, n.durableState.log) || !n.DiskFailing() {
		t.Errorf("log %+v after a refused write", n.log)
	}
	if _, out := n.Propose(time.Second, []byte("y")); len(out.Records) > 0 {
		t.Error("a command is taken while the disk refuses")
	}
}

// A command that is forwarded twice is in the log once.
func TestForwardTwice(t *testing.T) {
	n := founder(t, 0)
	from := n.View().Chain[1]
	for range 3 {
		n.Receive(time.Second, from.Address, Message{
			From: from.Identity, Epoch: 1,
			Forward: &Forward{ID: CommandID{Proposer: 7, Number: 1}, Command: []byte("x")},
		})
		n.Persisted()
	}
	if n.log.lastIndex() != 1 {
		t.Errorf("%d entries", n.log.lastIndex())
	}
}
