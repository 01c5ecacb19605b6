package controller

import (
	"slices"
	"testing"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/departures"
	"raventrestle/internal/control/distribution"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
)

// start is when the controllers of these tests start.
var start = time.Unix(1000, 0)

func newTestController(now time.Time) *Controller {
	origin := protocol.Origin{Address: "self", Incarnation: 1}
	return New(Config{Origin: origin}, registry.New(registry.Config{Origin: origin, Heartbeat: time.Second}, now), now)
}

// recordingRegistry keeps the inputs of the newest step.
type recordingRegistry struct {
	EndpointRegistry
	inputs []registry.Input
}

func (r *recordingRegistry) Step(now time.Time, inputs ...registry.Input) registry.Output {
	r.inputs = inputs
	return r.EndpointRegistry.Step(now, inputs...)
}

// busyReplica commits a version whenever its status is read, and its contact covers that version.
type busyReplica struct {
	committed int64
	now       time.Time
}

func (b *busyReplica) Status() replica.Status {
	b.committed++
	return replica.Status{View: replica.View{Epoch: 4}, ConfirmedAt: b.now}
}

func (b *busyReplica) Newest() (int64, []byte) { return b.committed, []byte("document") }

func (b *busyReplica) Departures() departures.Table {
	return departures.Table{}.Record(departures.Departure{ID: "left", Deregistered: true, RecordedAt: b.now.UnixMilli()})
}

// TestContactIsGivenAfterWhatItCovers: whatever a contact with a majority covers is given to the hub before the
// contact, and both before the events of the step.
func TestContactIsGivenAfterWhatItCovers(t *testing.T) {
	c := newTestController(start)
	endpoints := &recordingRegistry{EndpointRegistry: c.registry}
	c.registry = endpoints
	busy := &busyReplica{}
	passed := BarrierFinished{Number: 1, Succeeded: true}
	heartbeat := HeartbeatReceived{Endpoint: protocol.Endpoint{ID: "e"}}
	for n := range 3 {
		now := start.Add(time.Duration(n) * time.Second)
		busy.now = now
		c.Step(now, Input{Replicated: ReadReplicatedState(busy, busy), Events: []Event{passed, heartbeat}})
		contact := slices.IndexFunc(c.hubInputs, func(in distribution.Input) bool {
			is, isContact := in.(distribution.QuorumContact)
			return isContact && is.Epoch == 4 && is.ConfirmedAt.Equal(now)
		})
		version := slices.IndexFunc(c.hubInputs, func(in distribution.Input) bool {
			is, isVersion := in.(distribution.Configuration)
			return isVersion && is.Generation == busy.committed
		})
		barrier := slices.Index(c.hubInputs, distribution.Input(distribution.BarrierPassed{Barrier: 1}))
		if version < 0 || contact < version || barrier < contact {
			t.Fatalf("version at %d, contact at %d, barrier at %d; want them in this order", version, contact, barrier)
		}
		forDrains := slices.Index(endpoints.inputs, registry.Input(registry.QuorumContact{ConfirmedAt: now}))
		call := slices.IndexFunc(endpoints.inputs, func(in registry.Input) bool {
			_, isCall := in.(registry.Heartbeat)
			return isCall
		})
		if forDrains < 0 || call < forDrains {
			t.Fatalf("contact at %d, heartbeat at %d of the registry's inputs; want them in this order", forDrains, call)
		}
	}
}

// TestContactOutlivesTheEpoch: the replica proves nothing in the first moments of an epoch. That is no loss of contact.
func TestContactOutlivesTheEpoch(t *testing.T) {
	c := newTestController(start)
	observe := func(now time.Time, epoch uint64, confirmedAt time.Time) Output {
		status := replica.Status{View: replica.View{Epoch: epoch}, ConfirmedAt: confirmedAt}
		return c.Step(now, Input{Replicated: ReplicatedState{Status: status}})
	}
	observe(start, 4, time.Time{})
	contact := c.replica.contact
	if contact.Epoch != 4 || !contact.ConfirmedAt.IsZero() || !c.ConfirmedAt().IsZero() || !c.QuorumLost() {
		t.Fatalf("without a contact: %+v, quorum lost %v; want epoch 4, none, true", contact, c.QuorumLost())
	}
	now := start.Add(time.Second)
	out := observe(now, 4, now)
	known := c.replica.contact
	if known.Epoch != 4 || !known.ConfirmedAt.Equal(now) || c.QuorumLost() {
		t.Fatalf("with a contact: %+v, quorum lost %v; want epoch 4, %v, false", known, c.QuorumLost(), now)
	}
	if out.QuorumChange == nil || out.QuorumChange.Lost {
		t.Errorf("quorum change %+v, want its end", out.QuorumChange)
	}
	observe(now.Add(time.Millisecond), 5, time.Time{})
	if c.replica.contact != known || c.QuorumLost() || !c.ConfirmedAt().Equal(known.ConfirmedAt) {
		t.Errorf("in a new epoch: %+v, quorum lost %v; want %+v, false", c.replica.contact, c.QuorumLost(), known)
	}
	if observe(known.ConfirmedAt.Add(quorumContactTTL), 5, time.Time{}); c.QuorumLost() {
		t.Errorf("quorum lost after %v, want after more than that", quorumContactTTL)
	}
	out = observe(known.ConfirmedAt.Add(quorumContactTTL+1), 5, time.Time{})
	if !c.QuorumLost() || out.QuorumChange == nil || !out.QuorumChange.Lost {
		t.Errorf("quorum lost %v, quorum change %+v; the earlier epoch's contact is believed for ever", c.QuorumLost(), out.QuorumChange)
	}
	now = now.Add(2 * time.Second)
	observe(now, 5, now)
	if contact := c.replica.contact; contact.Epoch != 5 || !contact.ConfirmedAt.After(known.ConfirmedAt) {
		t.Errorf("with a contact of the new epoch: %+v, want epoch 5 after %v", contact, known.ConfirmedAt)
	}
}

// TestMembershipIsObservedAtIntervalsAndOnChange: between intervals only the contact is looked at, unless the replica
// changed.
func TestMembershipIsObservedAtIntervalsAndOnChange(t *testing.T) {
	c := newTestController(start)
	live := []replica.Member{{Identity: "1", Address: "self"}, {Identity: "2", Address: "c2"}}
	observe := func(now time.Time, members []replica.Member, events ...Event) {
		status := replica.Status{View: replica.View{Epoch: 1}, LiveMembers: members, ConfirmedAt: now}
		c.Step(now, Input{Replicated: ReplicatedState{Status: status}, Events: events})
	}
	observe(start, nil)
	if len(c.replica.peers) != 0 {
		t.Fatalf("peers %v, want none", c.replica.peers)
	}
	observe(start.Add(statusInterval-1), live)
	if len(c.replica.peers) != 0 {
		t.Errorf("peers %v within the interval, want none", c.replica.peers)
	}
	observe(start.Add(statusInterval), live)
	if !slices.Equal(c.replica.peers, []string{"c2"}) || len(c.Members()) != 3 {
		t.Errorf("peers %v, members %v after the interval; want c2, and three with the empty self",
			c.replica.peers, c.Members())
	}
	observe(start.Add(statusInterval+1), nil, ReplicaChanged{})
	if len(c.replica.peers) != 0 {
		t.Errorf("peers %v after a change, want none", c.replica.peers)
	}
}
