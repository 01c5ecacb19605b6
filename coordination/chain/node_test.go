package chain

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"raventrestle/coordination/view"
)

var testSeeds = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}

// newFounder returns a founder that has just started.
func newFounder(t *testing.T, number int) *Node {
	t.Helper()
	state, founds := Bootstrap(view.Member{Address: testSeeds[number], Zone: fmt.Sprint("z", number)}, testSeeds)
	if !founds {
		t.Fatalf("got no founder for seed %d, want one", number)
	}
	return New(time.Second, state, Config{FaultTolerance: 1, Seeds: testSeeds, RandomSeed: uint64(number + 1)})
}

// nextView returns a view that follows the first one, with another head.
func nextView(n *Node) view.View {
	first := n.View()
	return view.View{Epoch: 2, Chain: []view.Member{first.Chain[1], first.Chain[2]}, Voters: first.Voters}
}

// epochMessages returns a message of each kind that belongs to an epoch.
func epochMessages() []Message {
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

// A message of an earlier epoch changes nothing, and its sender is sent the newer view.
func TestMessagesOfAnEarlierEpochAreRejected(t *testing.T) {
	for _, message := range epochMessages() {
		n := newFounder(t, 1)
		from := n.View().Chain[0]
		n.Receive(time.Second, from.Address, Message{From: from.Identity, ViewDecision: &ViewDecision{View: nextView(n)}})
		n.Persisted()
		before := n.durableState
		message.From, message.Epoch = from.Identity, 1
		out := n.Receive(2*time.Second, from.Address, message)
		if len(out.Records) > 0 || !reflect.DeepEqual(before, n.durableState) {
			t.Errorf("%+v: got %d records and state %+v, want no change of %+v",
				message, len(out.Records), n.durableState, before)
		}
		viewSent := false
		for _, envelope := range out.Messages {
			viewSent = viewSent || envelope.Message.ViewDecision != nil && envelope.Address == from.Address
			if m := envelope.Message; m.HeartbeatReply != nil || m.BarrierReply != nil || m.Barrier != nil {
				t.Errorf("%+v: got answer %+v, want none", message, m)
			}
		}
		if !viewSent {
			t.Errorf("%+v: got messages %+v, want the view sent to its sender", message, out.Messages)
		}
	}
}

// A voter that has promised a proposal for the next epoch takes no further part in its own.
func TestPromiseSealsTheEpoch(t *testing.T) {
	n := newFounder(t, 1)
	head, proposer := n.View().Chain[0], n.View().Chain[2]
	number := view.ProposalNumber{Round: 1, Proposer: proposer.Identity}
	out := n.Receive(time.Second, proposer.Address,
		Message{From: proposer.Identity, Epoch: 1, Prepare: &Prepare{View: n.View(), Number: number}})
	n.Persisted()
	if len(out.Records) == 0 {
		t.Fatal("got no record of the promise, want one")
	}
	for _, message := range []Message{
		{Append: &Append{InReplyTo: n.catchUp.lastRequestID, Entries: []Entry{{Index: 1, Epoch: 1}}}},
		{Barrier: &Barrier{RequestID: 1, Requester: "x", RequesterAddress: "x"}},
	} {
		message.From, message.Epoch = head.Identity, 1
		n.Receive(time.Second, head.Address, message)
		if got := n.log.lastIndex(); got != 0 {
			t.Errorf("%+v: got last index %d, want 0", message, got)
		}
	}
	out = n.Receive(time.Second, head.Address,
		Message{From: head.Identity, Epoch: 1, Heartbeat: &Heartbeat{Incarnation: 1, SentAt: time.Second}})
	for _, envelope := range out.Messages {
		if reply := envelope.Message.HeartbeatReply; reply != nil && reply.PromisedEpoch != 2 {
			t.Errorf("got promised epoch %d in the reply, want 2", reply.PromisedEpoch)
		}
	}
}

// A failed write returns the node to the state on disk, and no command is accepted while the disk rejects writes.
func TestFailedWriteIsRolledBack(t *testing.T) {
	n := newFounder(t, 0)
	n.Persisted()
	before := n.durableState
	_, out := n.Propose(time.Second, []byte("x"))
	if len(out.Records) == 0 || n.log.lastIndex() != 1 {
		t.Fatalf("got %d records and last index %d, want the command appended", len(out.Records), n.log.lastIndex())
	}
	n.PersistFailed(time.Second)
	if !reflect.DeepEqual(before.log, n.log) || !n.DiskFailing() {
		t.Errorf("got log %+v and disk failing %v after a failed write, want log %+v and true",
			n.log, n.DiskFailing(), before.log)
	}
	if _, out := n.Propose(time.Second, []byte("y")); len(out.Records) > 0 {
		t.Errorf("got %d records while the disk rejects writes, want 0", len(out.Records))
	}
}

// A command that is forwarded several times is in the log once.
func TestRepeatedForwardIsAppendedOnce(t *testing.T) {
	n := newFounder(t, 0)
	from := n.View().Chain[1]
	for range 3 {
		n.Receive(time.Second, from.Address, Message{
			From: from.Identity, Epoch: 1,
			Forward: &Forward{ID: CommandID{Proposer: 7, Number: 1}, Command: []byte("x")},
		})
		n.Persisted()
	}
	if got := n.log.lastIndex(); got != 1 {
		t.Errorf("got %d entries, want 1", got)
	}
}

// A founder that the head lists by its address alone sends its description until the head knows its zone and tag. The
// head may have started after the founder's first Hello, and a founder that hears the head does not search for it
// again.
func TestMemberSendsDescriptionToHeadThatLacksIt(t *testing.T) {
	n := newFounder(t, 1)
	head, self := n.View().Chain[0], n.self
	addressOnly := view.Member{Identity: self.Identity, Address: self.Address}
	cases := []struct {
		name   string
		listed view.Member
		want   int // descriptions sent
	}{
		{"listed by its address alone", addressOnly, 1},
		{"listed so again, its first description lost", addressOnly, 1},
		{"listed as it is", self, 0},
	}
	now := time.Second
	for i, c := range cases {
		now += time.Second
		out := n.Receive(now, head.Address, Message{From: head.Identity, Epoch: 1, Heartbeat: &Heartbeat{
			Incarnation: 1, SentAt: now, MembershipVersion: uint64(i + 1),
			Members: []view.Member{head, c.listed}, Live: []bool{true, true},
		}})
		got := 0
		for _, envelope := range out.Messages {
			if envelope.Message.Hello != nil && envelope.Address == head.Address && envelope.Message.Hello.Member == self {
				got++
			}
		}
		if got != c.want {
			t.Errorf("%s: sent the head %d descriptions, want %d", c.name, got, c.want)
		}
	}
}

// A member without zone and tag sends no description, because the head would not replace the listed one by it.
func TestMemberWithoutZoneAndTagSendsNoDescription(t *testing.T) {
	state, founds := Bootstrap(view.Member{Address: testSeeds[1]}, testSeeds)
	if !founds {
		t.Fatal("got no founder for the second seed, want one")
	}
	n := New(time.Second, state, Config{FaultTolerance: 1, Seeds: testSeeds, RandomSeed: 2})
	head := n.View().Chain[0]
	listed := n.self
	listed.Zone = "former"
	out := n.Receive(2*time.Second, head.Address, Message{From: head.Identity, Epoch: 1, Heartbeat: &Heartbeat{
		Incarnation: 1, SentAt: 2 * time.Second, MembershipVersion: 1, Members: []view.Member{head, listed}, Live: []bool{true, true},
	}})
	for _, envelope := range out.Messages {
		if envelope.Message.Hello != nil {
			t.Errorf("sent %+v, want no description", envelope.Message.Hello)
		}
	}
}

// Guards against review/4: a member that had failed repeatedly was kept out of the chain while the chain could not commit
// without it.
func TestRepeatedFailuresDelayAdmissionOnlyWhileTheChainCanCommit(t *testing.T) {
	const flaps = 5
	n := newFounder(t, 0)
	voters := n.View().Voters
	now := time.Minute
	n.view = view.View{Epoch: 2, Chain: voters[:2], Voters: voters}
	other, flapping := n.findPeer(voters[1].Identity), n.findPeer(voters[2].Identity)
	flapping.flaps, flapping.flappedAt = flaps, now-time.Second
	other.heardAt, other.replied, other.lastReply = now, true, HeartbeatReply{CompleteEpoch: 2, LastIndex: n.log.lastIndex()}
	if got, want := n.admissionWindow(now, flapping), n.timing.MaxAdmissionWindow; got != want {
		t.Errorf("window after %d failures is %v, want %v", flaps, got, want)
	}
	other.heardAt = now - n.timing.SuspectTimeout - time.Millisecond
	if got, want := n.admissionWindow(now, flapping), n.timing.AdmissionWindow; got != want {
		t.Errorf("window while the chain is too short is %v, want %v", got, want)
	}
}
