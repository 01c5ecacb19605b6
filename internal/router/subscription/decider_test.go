package subscription

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

func TestRouterFollowsTheClosestInstanceAndBecomesReady(t *testing.T) {
	n := newSimulatedNetwork(t, threeInstances...)
	n.run(100 * time.Millisecond)
	if n.out.Following != threeInstances[0] || !n.out.Trusted || !n.out.Ready {
		t.Errorf("got %+v, want %s followed, trusted and ready; events %v", n.out, threeInstances[0], n.events)
	}
	if age := n.now.Sub(n.out.FreshAsOf); age < 0 || age > 100*time.Millisecond {
		t.Errorf("applied state: got an age of %v, want 0 to 100 ms", age)
	}
}

func TestPartitionedInstanceIsLeftOnceTrustExpires(t *testing.T) {
	n := newTrustingRouter(t, threeInstances...)
	partitioned := n.followedInstance()
	partitioned.partitioned = true
	if took := n.awaitLeft(partitioned, 3*trustTTL); took > trustTTL+100*time.Millisecond {
		t.Errorf("left: got after %v, want within 100 ms of the end of trust at %v", took, trustTTL)
	}
	n.run(20 * time.Millisecond)
	if want := []error{ErrTrustExpired}; !n.out.Trusted || !slices.Equal(n.reasonsForLeaving(), want) {
		t.Errorf("got trusted %v, left because of %v; want another one trusted, left because of %v", n.out.Trusted, n.reasonsForLeaving(), want)
	}
}

// Observed in the simulated day lompakko-reitti-cut-5: one instance is partitioned, the others restart, and the partitioned one
// answers first.
func TestPartitionedInstanceThatAnswersFirstIsNotTrusted(t *testing.T) {
	n := newTrustingRouter(t, threeInstances...)
	partitioned := n.others(n.followedInstance())[0]
	partitioned.partitioned = true
	n.run(10 * time.Second)
	for _, instance := range n.others(partitioned) {
		n.stopInstance(instance)
	}
	last := n.now
	for range 600 {
		n.run(time.Millisecond)
		if n.out.Trusted && n.out.Following == partitioned.address {
			t.Fatal("got the partitioned instance trusted, want it followed provisionally at most")
		}
	}
	if n.out.Following != partitioned.address {
		t.Errorf("followed: got %q, want %q provisionally: no other answers", n.out.Following, partitioned.address)
	}
	if n.out.FreshAsOf.After(last) {
		t.Errorf("fresh as of: got %v after all others had stopped, want no later", n.out.FreshAsOf.Sub(last))
	}
	for _, instance := range n.others(partitioned) {
		instance.refusesConnections = false
	}
	if took := n.awaitLeft(partitioned, time.Second); took > maxRoundBackoff+100*time.Millisecond {
		t.Errorf("left: got %v after the others came back, want at most %v", took, maxRoundBackoff+100*time.Millisecond)
	}
	n.commitConfiguration()
	n.run(50 * time.Millisecond)
	if !n.out.Trusted || n.appliedGeneration != n.newestGeneration {
		t.Errorf("got trusted %v, version %d applied; want true, %d", n.out.Trusted, n.appliedGeneration, n.newestGeneration)
	}
}

// A router that starts while only a partitioned instance answers applies its configuration, but does not trust it and is not ready.
func TestStartWithAPartitionedInstanceOnlyIsNeitherTrustedNorReady(t *testing.T) {
	n := newSimulatedNetwork(t, threeInstances...)
	partitioned := n.instances[threeInstances[0]]
	partitioned.majorityContactAt, partitioned.partitioned = n.start.Add(-5*time.Second), true
	for _, instance := range n.others(partitioned) {
		instance.blackholed = true
	}
	n.invariant = func() {
		if n.out.Trusted || n.out.Ready || !n.out.FreshAsOf.IsZero() && n.out.FreshAsOf.After(partitioned.majorityContactAt) {
			t.Fatalf("got %+v, want neither trusted nor ready, and nothing fresher than the instance's contact", n.out)
		}
	}
	n.run(2 * time.Second)
	if n.out.Following != partitioned.address || n.appliedGeneration != 4 {
		t.Errorf("got %q followed, version %d applied; want %q, 4", n.out.Following, n.appliedGeneration, partitioned.address)
	}
	n.invariant = nil
	n.instances[threeInstances[2]].blackholed = false
	n.run(dialTimeout + maxRoundBackoff + 100*time.Millisecond)
	if n.out.Following != threeInstances[2] || !n.out.Trusted || !n.out.Ready {
		t.Errorf("got %+v, want %s followed, trusted and ready; events %v", n.out, threeInstances[2], n.events)
	}
}

// Increasing delays leave no gap in the sequence of messages, but the messages prove older and older contacts.
func TestDelayedMessagesProveNoFreshContact(t *testing.T) {
	for _, onlyInstance := range []bool{true, false} {
		t.Run(fmt.Sprint("only instance ", onlyInstance), func(t *testing.T) {
			n := newTrustingRouter(t, threeInstances...)
			slow := n.followedInstance()
			for _, instance := range n.others(slow) {
				instance.blackholed = onlyInstance
			}
			for range 25 {
				slow.sendDelay += 200 * time.Millisecond
				n.run(beaconInterval) // the network checks FreshAsOf against the times of sending
			}
			if age := n.now.Sub(n.out.FreshAsOf); onlyInstance && age < 2*time.Second {
				t.Errorf("applied state: got an age of %v, want 2 s or more: messages are up to %v late", age, slow.sendDelay)
			}
			if onlyInstance != (n.out.Following == slow.address) || n.out.Trusted == onlyInstance {
				t.Errorf("got %q followed, trusted %v; want the delayed %q only if it is the only one, and then untrusted; events %v",
					n.out.Following, n.out.Trusted, slow.address, n.events)
			}
		})
	}
}

// Inputs of a connection that the router has closed have no effect.
func TestMessagesOnAClosedConnectionAreIgnored(t *testing.T) {
	n := newTrustingRouter(t, threeInstances...)
	first := n.followedConnection()
	first.instance.partitioned = true
	n.awaitLeft(first.instance, 2*trustTTL)
	n.run(time.Second)
	following, generation := n.out.Following, n.appliedGeneration
	late := n.freshnessProof(first)
	late.Epoch, late.HasMajorityContact, late.MajorityContactAge = 9, true, 0
	n.step(
		MessageReceived{Connection: first.id, Message: &protocol.Update{
			Sequence: first.lastUpdate + 1, Generation: 9, Document: []byte("nine"), Freshness: late,
		}},
		MessageReceived{Connection: first.id, Message: &protocol.Beacon{Sequence: 77, Generation: 9, Freshness: late}},
		MessageReceived{Connection: first.id, Message: &protocol.ProbeReply{Generation: 9, Freshness: late}},
		ConnectionOpened{Connection: first.id},
		ConnectionClosed{Connection: first.id, Err: errors.New("late")},
		ChangeApplied{},
	)
	n.run(time.Second)
	if n.out.Following != following || !n.out.Trusted || n.appliedGeneration != generation {
		t.Errorf("got %+v, version %d; want %q followed and trusted, version %d; events %v", n.out, n.appliedGeneration, following, generation, n.events)
	}
}

func TestInstanceInAnOlderEpochIsNotFollowed(t *testing.T) {
	n := newSimulatedNetwork(t, threeInstances...)
	for _, instance := range n.instances {
		instance.epoch = 3
	}
	n.run(time.Second)
	last := n.instances[threeInstances[2]]
	last.epoch, last.partitioned = 2, true
	for _, instance := range n.others(last) {
		n.stopInstance(instance)
	}
	n.run(5 * time.Second)
	if n.out.Following != "" {
		t.Errorf("followed: got %q in an older epoch, want none", n.out.Following)
	}
	last.epoch = 3
	n.run(time.Second)
	if n.out.Following != last.address || n.out.Trusted {
		t.Errorf("got %+v, want %q followed provisionally, now that it is in the newest epoch", n.out, last.address)
	}
}

// Of several untrusted instances, the router follows the one in the newest epoch, and among those the one with the newest contact. It
// keeps the followed instance unless another is in a newer epoch.
func TestProvisionalChoicePrefersEpochThenContact(t *testing.T) {
	n := newSimulatedNetwork(t, threeInstances...)
	for i, address := range threeInstances {
		instance := n.instances[address]
		instance.partitioned, instance.epoch, instance.majorityContactAt = true, 2, n.start.Add(-time.Duration(10-i)*time.Second)
	}
	n.run(time.Second)
	if n.out.Following != threeInstances[2] {
		t.Errorf("followed: got %q, want %q, which has the newest contact", n.out.Following, threeInstances[2])
	}
	n.instances[threeInstances[0]].majorityContactAt = n.now.Add(-trustTTL)
	n.run(time.Second)
	if !slices.Equal(n.followedInOrder, []string{threeInstances[2]}) {
		t.Errorf("followed: got %v, want %v only: no other is in a newer epoch", n.followedInOrder, threeInstances[2])
	}
	n.instances[threeInstances[1]].epoch = 3
	n.run(time.Second)
	want := []string{threeInstances[2], threeInstances[1]}
	if !slices.Equal(n.followedInOrder, want) || !slices.Contains(n.reasonsForLeaving(), ErrOlderEpoch) {
		t.Errorf("got %v followed, left because of %v; want %v, %v", n.followedInOrder, n.reasonsForLeaving(), want, ErrOlderEpoch)
	}
}

// Without a majority anywhere the router keeps the followed instance and trusts it again once it has proved a contact.
func TestInstanceIsKeptWhileNoneCanBeTrusted(t *testing.T) {
	n := newTrustingRouter(t, threeInstances...)
	for _, instance := range n.instances {
		instance.partitioned = true
	}
	n.run(20 * time.Second)
	for _, instance := range n.instances {
		instance.partitioned = false
	}
	n.run(beaconInterval + 10*time.Millisecond)
	if len(n.followedInOrder) != 1 || !n.out.Trusted || n.decider.search != nil {
		t.Errorf("got %v followed, trusted %v, search %v; want one, true, none", n.followedInOrder, n.out.Trusted, n.decider.search)
	}
}

// The router does not alternate between instances whose contacts are all nearly as old as TrustTTL.
func TestContactsNearTheTrustTTLCauseNoFlapping(t *testing.T) {
	n := newTrustingRouter(t, threeInstances...)
	for _, instance := range n.instances {
		instance.partitioned = true
	}
	for i := range 200 {
		instance := n.instances[threeInstances[i%3]]
		instance.majorityContactAt = n.now.Add(-trustTTL*9/10 + time.Duration(i%7)*trustTTL/100)
		n.run(100 * time.Millisecond)
	}
	if len(n.followedInOrder) > 3 {
		t.Errorf("followed in 20 s: got %d instances, want 3 at most: %v", len(n.followedInOrder), n.followedInOrder)
	}
}

func TestNoOthersAreProbedWhileTheInstanceIsTrusted(t *testing.T) {
	n := newTrustingRouter(t, threeInstances...)
	dials, probes := n.dials, n.probes
	n.invariant = func() {
		if sent := n.now.Sub(n.decider.followed.clock.lastEchoAt); sent > 30*time.Second {
			t.Fatalf("newest echo: got one sent %v ago, want 30 s at most", sent)
		}
	}
	n.run(10 * time.Minute)
	echoes := int(10 * time.Minute / echoInterval) // to the followed instance
	if n.dials != dials || n.probes-probes > echoes || len(n.followedInOrder) != 1 {
		t.Errorf("got %d dials, %d probes, %v followed; want none, %d at most, one", n.dials-dials, n.probes-probes, n.followedInOrder, echoes)
	}
	if age := n.now.Sub(n.out.FreshAsOf); age > beaconInterval+100*time.Millisecond {
		t.Errorf("applied state: got an age of %v, want %v at most: the clock was not kept in sync", age, beaconInterval+100*time.Millisecond)
	}
}

// If the proof of the followed instance is nearly too old between beacons, the router probes that instance before any other.
func TestFollowedInstanceIsProbedBeforeTrustExpires(t *testing.T) {
	n := newTrustingRouter(t, threeInstances...)
	n.followedInstance().contactLag = 760 * time.Millisecond
	dials, probes := n.dials, n.probes
	n.run(20 * time.Second)
	if n.dials != dials || len(n.followedInOrder) != 1 || !n.out.Trusted {
		t.Errorf("got %d dials, %v followed, trusted %v; want none, one, true", n.dials-dials, n.followedInOrder, n.out.Trusted)
	}
	if sent, limit := n.probes-probes, 20*int(time.Second/minRoundBackoff); sent > limit {
		t.Errorf("probes in 20 s: got %d, want %d at most", sent, limit)
	}
}

func TestProbeRateIsBounded(t *testing.T) {
	for name, inject := range map[string]func(*simulatedInstance){
		"partitioned":  func(instance *simulatedInstance) { instance.partitioned = true },
		"refusing":     func(instance *simulatedInstance) { instance.refusesConnections = true },
		"blackholed":   func(instance *simulatedInstance) { instance.blackholed = true },
		"unresponsive": func(instance *simulatedInstance) { instance.unresponsive = true },
	} {
		t.Run(name, func(t *testing.T) {
			var addresses []string
			for i := range 15 {
				addresses = append(addresses, fmt.Sprintf("10.%d.0.1:1", i+1))
			}
			n := newTrustingRouter(t, addresses...)
			followed := n.followedInstance()
			for _, instance := range n.instances {
				inject(instance)
			}
			n.closeConnections(followed)
			n.invariant = func() {
				if s := n.decider.search; s != nil && s.inFlight() > maxConcurrentProbes {
					t.Fatalf("probes in flight: got %d, want %d at most", s.inFlight(), maxConcurrentProbes)
				}
			}
			n.run(trustTTL)
			dials, probes := n.dials, n.probes
			const seconds = 20
			n.run(seconds * time.Second)
			rounds := seconds * time.Second / (125 * time.Millisecond)
			if limit := int(rounds) * len(addresses); n.dials-dials > limit || n.probes-probes > limit {
				t.Errorf("in %d s: got %d dials and %d probes, want %d of each at most", seconds, n.dials-dials, n.probes-probes, limit)
			}
			if n.dials+n.probes-dials-probes == 0 {
				t.Error("got no dials and no probes, want some")
			}
		})
	}
}

func TestUnresponsiveInstanceIsLeft(t *testing.T) {
	n := newTrustingRouter(t, threeInstances...)
	unresponsive := n.followedInstance()
	unresponsive.unresponsive = true
	if took := n.awaitLeft(unresponsive, 2*time.Second); took > beaconTimeout+100*time.Millisecond {
		t.Errorf("left: got after %v, want within 100 ms of %v", took, beaconTimeout)
	}
	if want := []error{ErrUnresponsive}; !slices.Equal(n.reasonsForLeaving(), want) {
		t.Errorf("left because of: got %v, want %v", n.reasonsForLeaving(), want)
	}
	n.run(100 * time.Millisecond)
	if !n.out.Trusted {
		t.Errorf("trusted: got false, want true; events %v", n.events)
	}
}

// The router's process is paused. Messages that the instance sent during the pause are queued, or are received shortly afterwards.
func TestPausedRouterKeepsFollowingItsInstance(t *testing.T) {
	for _, messagesQueued := range []bool{true, false} {
		t.Run(fmt.Sprint("messages queued ", messagesQueued), func(t *testing.T) {
			n := newTrustingRouter(t, threeInstances...)
			n.run(10 * time.Millisecond)
			followed := n.followedInstance()
			followed.unresponsive = !messagesQueued
			n.pausedUntil = n.now.Add(5 * time.Second)
			n.run(5*time.Second - time.Millisecond)
			followed.unresponsive = false
			n.run(time.Second)
			if len(n.followedInOrder) != 1 || !n.out.Trusted {
				t.Errorf("got %v followed, trusted %v; want one, true; events %v", n.followedInOrder, n.out.Trusted, n.events)
			}
		})
	}
}

func TestInstanceThatWithholdsAConfigurationIsLeft(t *testing.T) {
	n := newTrustingRouter(t, threeInstances...)
	withholding := n.followedInstance()
	withholding.generation = 5
	n.newestGeneration = 5
	for _, instance := range n.others(withholding) {
		instance.generation = 5
	}
	n.run(beaconInterval + announcedConfigurationTimeout + 10*time.Millisecond)
	if want := []error{ErrConfigurationWithheld}; !slices.Equal(n.reasonsForLeaving(), want) {
		t.Errorf("left because of: got %v, want %v", n.reasonsForLeaving(), want)
	}
	n.run(50 * time.Millisecond)
	if n.appliedGeneration != 5 || n.out.Following == withholding.address {
		t.Errorf("got version %d from %q, want 5 from another one than %q", n.appliedGeneration, n.out.Following, withholding.address)
	}
}

func TestInstanceIsLeftAfterAnInvalidMessage(t *testing.T) {
	for name, c := range map[string]struct {
		inject func(n *simulatedNetwork, conn *simulatedConnection)
		want   error
	}{
		"missing update": {func(n *simulatedNetwork, conn *simulatedConnection) {
			conn.lastUpdate++
			n.sendUpdate(conn, protocol.Update{}, 4)
		}, ErrSequenceGap},
		"repeated update": {func(n *simulatedNetwork, conn *simulatedConnection) {
			conn.lastUpdate--
			n.sendUpdate(conn, protocol.Update{}, 4)
		}, ErrSequenceGap},
		"beacon of another sequence": {func(n *simulatedNetwork, conn *simulatedConnection) {
			n.sendToRouter(conn, &protocol.Beacon{Sequence: conn.lastUpdate + 1, Generation: 4, Freshness: n.freshnessProof(conn)})
		}, ErrSequenceGap},
		"unusable configuration": {func(n *simulatedNetwork, conn *simulatedConnection) {
			n.applyError = ErrInvalidConfiguration
			n.commitConfiguration()
		}, ErrInvalidConfiguration},
		"older epoch": {func(n *simulatedNetwork, conn *simulatedConnection) { conn.instance.epoch = 0 }, ErrOlderEpoch},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTrustingRouter(t, threeInstances...)
			conn := n.followedConnection()
			c.inject(n, conn)
			n.awaitLeft(conn.instance, beaconInterval+10*time.Millisecond)
			n.applyError = nil
			if want := []error{c.want}; !slices.Equal(n.reasonsForLeaving(), want) {
				t.Errorf("left because of: got %v, want %v", n.reasonsForLeaving(), want)
			}
			n.run(2 * maxRoundBackoff)
			if !n.out.Trusted || n.out.Following == conn.instance.address {
				t.Errorf("got %+v, want another instance than %q trusted", n.out, conn.instance.address)
			}
		})
	}
}

// An instance is also left if its first update is lost while its beacons are received.
func TestInstanceWhoseFirstUpdateIsLostIsLeft(t *testing.T) {
	n := newSimulatedNetwork(t, threeInstances...)
	for n.out.Following == "" {
		n.run(time.Millisecond)
	}
	first := n.instances[n.out.Following]
	first.unresponsive = true
	n.run(10 * time.Millisecond)
	first.unresponsive = false
	n.run(beaconInterval + 2*maxRoundBackoff)
	if n.out.Following == first.address || !n.out.Ready {
		t.Errorf("got %+v, want another instance than %q followed, and ready; events %v", n.out, first.address, n.events)
	}
}

// A change that takes long to apply does not make the instance count as unresponsive. It is acknowledged only after it is applied.
func TestSlowChangeCountsOnlyOnceApplied(t *testing.T) {
	n := newTrustingRouter(t, threeInstances...)
	followed := n.followedInstance()
	n.applyDelay = 2500 * time.Millisecond
	n.commitConfiguration()
	n.commitConfiguration()
	committedAt := n.now
	acks := len(followed.acks)
	n.run(n.applyDelay)
	if len(followed.acks) != acks || n.out.FreshAsOf.After(committedAt) {
		t.Errorf("before it is applied: got acknowledgements %v, fresh as of %v after the commit; want %d, no later than it",
			followed.acks, n.out.FreshAsOf.Sub(committedAt), acks)
	}
	n.run(n.applyDelay + 10*time.Millisecond)
	if len(n.followedInOrder) != 1 || !n.out.Trusted || !slices.Equal(followed.acks[acks:], []uint64{2, 3}) {
		t.Errorf("got %v followed, trusted %v, acknowledgements %v; want one, true, [2 3] at the end", n.followedInOrder, n.out.Trusted, followed.acks)
	}
	if age := n.now.Sub(n.out.FreshAsOf); n.appliedGeneration != 6 || age > beaconInterval+100*time.Millisecond {
		t.Errorf("got version %d, an age of %v; want 6, %v at most", n.appliedGeneration, age, beaconInterval+100*time.Millisecond)
	}
}

// The router returns to its zone once an instance there is trusted. The searches for one become less frequent.
func TestRouterReturnsToItsZoneWithGrowingBackoff(t *testing.T) {
	n := newSimulatedNetwork(t, threeInstances...)
	zoneLocal := n.instances[threeInstances[0]]
	zoneLocal.refusesConnections = true
	n.run(time.Second)
	var members []protocol.Member
	for i, address := range threeInstances {
		members = append(members, protocol.Member{Address: address, Zone: fmt.Sprint("z", i+1)})
	}
	n.sendUpdate(n.followedConnection(), protocol.Update{Members: members}, 4)
	dials := n.dials
	n.run(3 * time.Minute)
	if searches := n.dials - dials; searches < 3 || searches > 8 || len(n.followedInOrder) != 1 {
		t.Errorf("in 3 minutes: got %d searches, %v followed; want 3 to 8, one", searches, n.followedInOrder)
	}
	zoneLocal.refusesConnections, zoneLocal.partitioned = false, true
	n.run(2 * maxZoneLocalBackoff)
	if len(n.followedInOrder) != 1 {
		t.Errorf("followed: got %v, want one: the instance in the local zone is partitioned", n.followedInOrder)
	}
	zoneLocal.partitioned, zoneLocal.contactLag = false, trustTTL*9/10
	n.run(2 * maxZoneLocalBackoff)
	if len(n.followedInOrder) != 1 {
		t.Errorf("followed: got %v, want one: the instance in the local zone has no trust margin", n.followedInOrder)
	}
	zoneLocal.contactLag = 0
	n.run(maxZoneLocalBackoff + time.Second)
	if n.out.Following != zoneLocal.address || !n.out.Trusted || !slices.Equal(n.reasonsForLeaving(), []error{ErrZoneLocalAlternative}) {
		t.Errorf("got %q followed, trusted %v, left because of %v; want %q, true, %v",
			n.out.Following, n.out.Trusted, n.reasonsForLeaving(), zoneLocal.address, ErrZoneLocalAlternative)
	}
}

// Returns to an instance in the local zone that fails soon after each return become less frequent.
func TestReturnsToAFailingZoneLocalInstanceBackOff(t *testing.T) {
	n := newSimulatedNetwork(t, threeInstances...)
	zoneLocal := n.instances[threeInstances[0]]
	zoneLocal.refusesConnections = true
	n.run(time.Second)
	members := []protocol.Member{{Address: threeInstances[0], Zone: "z1"}, {Address: threeInstances[1], Zone: "z2"}}
	n.sendUpdate(n.followedConnection(), protocol.Update{Members: members}, 4)
	returns := 0
	for range 360 {
		zoneLocal.refusesConnections = false
		n.run(500 * time.Millisecond)
		if n.out.Following == zoneLocal.address {
			returns++
			n.stopInstance(zoneLocal)
			n.run(500 * time.Millisecond)
		}
	}
	if returns < 3 || returns > 8 {
		t.Errorf("returns in 3 minutes: got %d, want 3 to 8", returns)
	}
}

// The router waits for a slow closest instance, but only for a short time.
func TestRouterWaitsBrieflyForTheClosestInstance(t *testing.T) {
	for delay, want := range map[time.Duration]string{15 * time.Millisecond: threeInstances[0], 60 * time.Millisecond: threeInstances[1]} {
		n := newSimulatedNetwork(t, threeInstances[0], threeInstances[1])
		n.instances[threeInstances[0]].sendDelay = delay
		n.run(100 * time.Millisecond)
		if n.out.Following != want {
			t.Errorf("closest instance %v late: got %q followed, want %q", delay, n.out.Following, want)
		}
	}
}

// The router does not move to an instance without a trust margin while another one may answer with a newer contact.
func TestRouterWaitsBrieflyForANewerProof(t *testing.T) {
	n := newSimulatedNetwork(t, threeInstances[0], threeInstances[1])
	n.instances[threeInstances[0]].contactLag = trustTTL * 95 / 100
	n.instances[threeInstances[1]].sendDelay = 10 * time.Millisecond
	n.run(time.Second)
	if !slices.Equal(n.followedInOrder, threeInstances[1:2]) || !n.out.Trusted {
		t.Errorf("got %v followed, trusted %v; want %v, true", n.followedInOrder, n.out.Trusted, threeInstances[1:2])
	}
}

func TestReportsAreQueuedWhileNoInstanceIsFollowed(t *testing.T) {
	n := newSimulatedNetwork(t, threeInstances...)
	for i := range maxQueuedReports + 2 {
		n.step(DemandReported{Report: protocol.Report{Window: time.Duration(i)}})
	}
	n.run(100 * time.Millisecond)
	n.step(DemandReported{Report: protocol.Report{Window: 100}})
	n.run(10 * time.Millisecond)
	reports := n.followedInstance().reports
	if len(reports) != maxQueuedReports+1 {
		t.Fatalf("reports: got %d, want the newest %d and one more", len(reports), maxQueuedReports)
	}
	for i, report := range reports[:maxQueuedReports] {
		if report.Window != time.Duration(i+2) || report.Sequence != uint64(i+1) || report.Node != "n" || report.Incarnation != 7 {
			t.Errorf("report %d: got %+v, want over %d, sequence %d, node n, incarnation 7", i, report, i+2, i+1)
		}
	}
}

// Older programs prove nothing and answer no probes. The router follows one of them provisionally.
func TestOlderProgramsAreFollowedProvisionally(t *testing.T) {
	n := newSimulatedNetwork(t, threeInstances...)
	for _, instance := range n.instances {
		instance.olderProgram = true
	}
	n.run(time.Second)
	if !n.out.Ready || n.out.Trusted || !n.out.FreshAsOf.IsZero() || n.appliedGeneration != 4 {
		t.Errorf("got %+v, version %d; want ready, not trusted, freshness unknown, version 4", n.out, n.appliedGeneration)
	}
	n.run(10 * time.Second)
	if len(n.followedInOrder) != 1 {
		t.Errorf("followed: got %v, want one", n.followedInOrder)
	}
	newer := n.others(n.followedInstance())[0]
	newer.olderProgram = false
	n.run(time.Second)
	if n.out.Following != newer.address || !n.out.Trusted {
		t.Errorf("got %+v, want %q followed and trusted", n.out, newer.address)
	}
}

// An update with an older configuration does not replace the applied one.
func TestConfigurationIsNotReplacedByAnOlderOne(t *testing.T) {
	n := newTrustingRouter(t, threeInstances...)
	conn := n.followedConnection()
	conn.instance.generation = 3
	n.sendUpdate(conn, protocol.Update{GenerationConfirmed: true}, 0)
	n.run(10 * time.Millisecond)
	if last := n.changes[len(n.changes)-1]; last.Document != nil {
		t.Errorf("change: got %+v, want one without a document: version 4 is applied", last)
	}
}

func TestSeedsAreReadAgainAfterAFailedRound(t *testing.T) {
	n := newSimulatedNetwork(t, threeInstances...)
	n.seeds = nil
	for _, instance := range n.instances {
		instance.refusesConnections = true
	}
	n.run(time.Second)
	n.instances["10.9.0.1:1"] = &simulatedInstance{address: "10.9.0.1:1", epoch: 1, generation: 4}
	n.seeds = []string{"10.9.0.1:1"}
	n.run(maxRoundBackoff + 100*time.Millisecond)
	if n.out.Following != "10.9.0.1:1" {
		t.Errorf("followed: got %q, want the new seed 10.9.0.1:1", n.out.Following)
	}
}
