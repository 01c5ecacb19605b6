package host

import (
	"testing"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/distribution"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/control/replicatest"
	"raventrestle/internal/control/state"
	"raventrestle/internal/protocol"
	"raventrestle/internal/transport"
)

// TestConfirmedMomentOutlivesTheEpoch: the replica proves nothing in the first moments of an epoch. What it proved
// before stays true, for all who ask the host.
func TestConfirmedMomentOutlivesTheEpoch(t *testing.T) {
	double := replicatest.New(nil, replica.Status{View: replica.View{Epoch: 4}})
	fake := &fakeDependencies{machine: state.New()}
	h := New(Config{Codec: testCodec()}, Dependencies{Replica: double, Configurations: fake, Events: fake})
	double.NeverReachMajority()
	h.step(time.Now())
	if confirmedAt := h.ConfirmedAt(); !confirmedAt.IsZero() {
		t.Fatalf("confirmed at %v without contact, want never", confirmedAt)
	}
	double.SetPartitioned(false)
	h.step(time.Now())
	known := h.controller.ConfirmedAt()
	if known.IsZero() || h.view().QuorumLost {
		t.Fatalf("confirmed at %v, quorum lost %v with a contact; want some time, false", known, h.view().QuorumLost)
	}
	double.SetStatus(replica.Status{View: replica.View{Epoch: 5}})
	double.NeverReachMajority()
	h.step(time.Now())
	if confirmedAt := h.ConfirmedAt(); !confirmedAt.Equal(known) || h.view().QuorumLost {
		t.Errorf("in a new epoch: confirmed at %v, quorum lost %v; want %v, false", confirmedAt, h.view().QuorumLost, known)
	}
	if h.step(known.Add(registry.QuorumContactTTL + 1)); !h.view().QuorumLost {
		t.Errorf("quorum not lost %v after the earlier epoch's contact, want it lost", registry.QuorumContactTTL+1)
	}
	double.SetPartitioned(false)
	h.step(time.Now())
	if confirmedAt := h.controller.ConfirmedAt(); !confirmedAt.After(known) {
		t.Errorf("confirmed at %v with a contact of the new epoch, want after %v", confirmedAt, known)
	}
}

// prober is a client that keeps the answers to its probes.
type prober struct {
	client
	probed chan *protocol.ProbeReply
}

func (p *prober) Message(connection *transport.Connection, message any) {
	if answer, isAnswer := message.(*protocol.ProbeReply); isAnswer {
		p.probed <- answer
		return
	}
	p.client.Message(connection, message)
}

// TestProbeThenSubscription: both are sent on one connection, and the answers to both return the number of the first.
func TestProbeThenSubscription(t *testing.T) {
	nodes := startNodes(t, 1)
	nodes[0].fake.set(7, "seven")
	p := &prober{probed: make(chan *protocol.ProbeReply, 4), client: client{
		t: t, confirmsNothing: true,
		updates: make(chan *protocol.Update, 64), beacons: make(chan *protocol.Beacon, 1), closed: make(chan struct{}),
	}}
	connection, err := transport.Dial(t.Context(), nodes[0].address, testCodec(), p)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(connection.Close)
	if err := connection.Send(protocol.Probe{EchoSequence: 6}); err != nil {
		t.Fatal(err)
	}
	select {
	case answer := <-p.probed:
		proof := answer.Freshness
		if answer.Generation != 7 || proof.EchoedSequence != 6 || proof.Epoch != 1 || !proof.HasMajorityContact {
			t.Errorf("answer %+v, want version 7, number 6 returned, epoch 1, a known contact", answer)
		}
	case <-time.After(testTimeout):
		t.Fatalf("no answer to a probe after %v", testTimeout)
	}
	if err := connection.Send(protocol.Subscribe{Node: "r1"}); err != nil {
		t.Fatal(err)
	}
	first := p.await("first", func(u *protocol.Update) bool { return u.Sequence == 1 })
	if first.Freshness.EchoedSequence != 6 || !first.Freshness.HasMajorityContact {
		t.Errorf("first update states %+v, want number 6 returned and a known contact", first.Freshness)
	}
}

// TestIsolatedInstanceStatesTheAgeOfItsContact: a router stays subscribed and sees the age grow.
func TestInstanceWithoutQuorumStatesTheAgeOfItsContact(t *testing.T) {
	nodes := startNodes(t, 1)
	c := subscribe(t, nodes[0], protocol.Subscribe{Node: "r1"}, false)
	c.await("first", func(u *protocol.Update) bool { return u.Sequence == 1 })
	nodes[0].replica.SetPartitioned(true)
	deadline := time.After(testTimeout)
	for age := time.Duration(0); age < distribution.QuorumContactTTL; {
		select {
		case beacon := <-c.beacons:
			age = beacon.Freshness.MajorityContactAge
		case <-c.closed:
			t.Fatal("the connection is closed, want it open")
		case <-deadline:
			t.Fatalf("no age of %v stated after %v", distribution.QuorumContactTTL, testTimeout)
		}
	}
	nodes[0].replica.SetPartitioned(false)
	for {
		select {
		case beacon := <-c.beacons:
			if beacon.Freshness.HasMajorityContact && beacon.Freshness.MajorityContactAge < distribution.QuorumContactTTL {
				return
			}
		case <-deadline:
			t.Fatalf("no fresh contact stated after %v", testTimeout)
		}
	}
}
