package host

import (
	"slices"
	"testing"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/distribution"
	"raventrestle/internal/control/replicatest"
	"raventrestle/internal/protocol"
	"raventrestle/internal/transport"
)

// busyReplica commits a version whenever its status is read, and its contact covers it.
type busyReplica struct {
	*replicatest.Double
	commit func()
}

func (b *busyReplica) Status() replica.Status {
	b.commit()
	return b.Double.Status()
}

// TestContactIsGivenAfterWhatItCovers: whatever is in the contact's majority is known to the hub before the contact,
// and both before what the step takes in.
func TestContactIsGivenAfterWhatItCovers(t *testing.T) {
	stand := &standIn{}
	committed := int64(0)
	busy := &busyReplica{Double: replicatest.New(nil, replica.Status{View: replica.View{Epoch: 4}})}
	busy.commit = func() {
		committed++
		stand.set(committed, "document")
	}
	h := New(Settings{Codec: testCodec()}, Parts{Replica: busy, Configurations: stand, Events: stand})
	for range 3 {
		h.news = News{Hub: []distribution.Input{distribution.BarrierPassed{Barrier: 1}}}
		h.readReplica(time.Now())
		contact := slices.IndexFunc(h.news.Hub, func(in distribution.Input) bool {
			is, isContact := in.(distribution.Contact)
			return isContact && is.Epoch == 4
		})
		version := slices.IndexFunc(h.news.Hub, func(in distribution.Input) bool {
			is, isVersion := in.(distribution.Configuration)
			return isVersion && is.Generation == committed
		})
		passed := slices.Index(h.news.Hub, distribution.Input(distribution.BarrierPassed{Barrier: 1}))
		if version < 0 || contact < version || passed < contact {
			t.Fatalf("version at %d, contact at %d, barrier at %d", version, contact, passed)
		}
	}
}

// TestContactOutlivesTheEpoch: the replica proves nothing in the first moments of an epoch. That is no loss of contact.
func TestContactOutlivesTheEpoch(t *testing.T) {
	double := replicatest.New(nil, replica.Status{View: replica.View{Epoch: 4}})
	h := New(Settings{Codec: testCodec()}, Parts{Replica: double, Configurations: &standIn{}, Events: &standIn{}})
	double.NeverReachMajority()
	h.readReplica(time.Now())
	if contact := h.status.contact; contact.Epoch != 4 || !contact.ConfirmedAt.IsZero() || !h.ConfirmedAt().IsZero() {
		t.Fatalf("without any: %+v", contact)
	}
	double.SetPartitioned(false)
	h.readReplica(time.Now())
	known := h.status.contact
	if known.Epoch != 4 || known.ConfirmedAt.IsZero() || h.status.isolated {
		t.Fatalf("with one: %+v", known)
	}
	double.SetStatus(replica.Status{View: replica.View{Epoch: 5}})
	double.NeverReachMajority()
	h.readReplica(time.Now())
	if h.status.contact != known || h.status.isolated || !h.ConfirmedAt().Equal(known.ConfirmedAt) {
		t.Errorf("in a new epoch: %+v, isolated %v", h.status.contact, h.status.isolated)
	}
	if h.readReplica(known.ConfirmedAt.Add(isolatedAfter + 1)); !h.status.isolated {
		t.Error("the earlier epoch's contact is believed for ever")
	}
	double.SetPartitioned(false)
	h.readReplica(time.Now())
	if contact := h.status.contact; contact.Epoch != 5 || !contact.ConfirmedAt.After(known.ConfirmedAt) {
		t.Errorf("with one of the new epoch: %+v", contact)
	}
}

// prober keeps the answers to probes.
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

// TestProbeThenSubscription: both come on one connection, and the mark of the first is in the answers to both.
func TestProbeThenSubscription(t *testing.T) {
	nodes := startNodes(t, 1)
	nodes[0].stand.set(7, "seven")
	p := &prober{probed: make(chan *protocol.ProbeReply, 4), client: client{
		t: t, mute: true,
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
		standing := answer.Freshness
		if answer.Generation != 7 || standing.EchoedSequence != 6 || standing.Epoch != 1 || !standing.HasMajorityContact {
			t.Errorf("%+v", answer)
		}
	case <-time.After(patience):
		t.Fatal("no answer to a probe")
	}
	if err := connection.Send(protocol.Subscribe{Node: "r1"}); err != nil {
		t.Fatal(err)
	}
	first := p.await("first", func(u *protocol.Update) bool { return u.Sequence == 1 })
	if first.Freshness.EchoedSequence != 6 || !first.Freshness.HasMajorityContact {
		t.Errorf("first: %+v", first.Freshness)
	}
}

// TestPartedInstanceTellsItsAge: a router stays, and sees the contact's age grow.
func TestPartedInstanceTellsItsAge(t *testing.T) {
	nodes := startNodes(t, 1)
	c := subscribe(t, nodes[0], protocol.Subscribe{Node: "r1"}, false)
	c.await("first", func(u *protocol.Update) bool { return u.Sequence == 1 })
	nodes[0].double.SetPartitioned(true)
	deadline := time.After(patience)
	for age := time.Duration(0); age < distribution.FreshFor; {
		select {
		case beacon := <-c.beacons:
			age = beacon.Freshness.MajorityContactAge
		case <-c.closed:
			t.Fatal("sent away")
		case <-deadline:
			t.Fatal("no age over a second was told")
		}
	}
	nodes[0].double.SetPartitioned(false)
	for {
		select {
		case beacon := <-c.beacons:
			if beacon.Freshness.HasMajorityContact && beacon.Freshness.MajorityContactAge < distribution.FreshFor {
				return
			}
		case <-deadline:
			t.Fatal("no fresh contact was told")
		}
	}
}
