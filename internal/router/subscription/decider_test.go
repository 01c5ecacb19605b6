package subscription

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

func TestFollowsTheNearestAndIsReady(t *testing.T) {
	n := newNetwork(t, three...)
	n.run(100 * time.Millisecond)
	if n.out.Following != three[0] || !n.out.Trusted || !n.out.Ready {
		t.Errorf("%+v after %v", n.out, n.events)
	}
	if age := n.now.Sub(n.out.FreshAsOf); age < 0 || age > 100*time.Millisecond {
		t.Errorf("confirmed %v ago", age)
	}
}

func TestCutOffInstanceIsLeft(t *testing.T) {
	n := settled(t, three...)
	cut := n.followed()
	cut.cut = true
	if took := n.leaves(cut, 3*trustTTL); took > trustTTL+100*time.Millisecond {
		t.Errorf("left after %v", took)
	}
	n.run(20 * time.Millisecond)
	if !n.out.Trusted || !slices.Equal(n.left(), []error{ErrTrustExpired}) {
		t.Errorf("settled %v, left because of %v", n.out.Trusted, n.left())
	}
}

// Day lompakko-reitti-cut-5: one instance is cut off, the others restart, and the cut-off one answers first.
func TestCutOffInstanceThatAnswersFirstIsNotSettledWith(t *testing.T) {
	n := settled(t, three...)
	cut := n.others(n.followed())[0]
	cut.cut = true
	n.run(10 * time.Second)
	for _, p := range n.others(cut) {
		n.stop(p)
	}
	last := n.now
	for range 600 {
		n.run(time.Millisecond)
		if n.out.Trusted && n.out.Following == cut.address {
			t.Fatal("settled with the one that is cut off")
		}
	}
	if n.out.Following != cut.address {
		t.Errorf("follows %q, not even provisionally the one that answers", n.out.Following)
	}
	if n.out.FreshAsOf.After(last) {
		t.Errorf("confirmed %v after all others had gone", n.out.FreshAsOf.Sub(last))
	}
	for _, p := range n.others(cut) {
		p.refuses = false
	}
	if took := n.leaves(cut, time.Second); took > maxRoundBackoff+100*time.Millisecond {
		t.Errorf("left %v after the others came back", took)
	}
	n.commit()
	n.run(50 * time.Millisecond)
	if !n.out.Trusted || n.inForce != n.newest {
		t.Errorf("settled %v, version %d of %d", n.out.Trusted, n.inForce, n.newest)
	}
}

// A router that starts while only a cut-off instance answers serves by what that has, and neither settles with it nor is
// ready.
func TestStartsWithACutOffInstance(t *testing.T) {
	n := newNetwork(t, three...)
	cut := n.peers[three[0]]
	cut.contact, cut.cut = n.begin.Add(-5*time.Second), true
	for _, p := range n.others(cut) {
		p.gone = true
	}
	n.check = func() {
		if n.out.Trusted || n.out.Ready || !n.out.FreshAsOf.IsZero() && n.out.FreshAsOf.After(cut.contact) {
			t.Fatalf("%+v", n.out)
		}
	}
	n.run(2 * time.Second)
	if n.out.Following != cut.address || n.inForce != 4 {
		t.Errorf("follows %q, version %d in force", n.out.Following, n.inForce)
	}
	n.check = nil
	n.peers[three[2]].gone = false
	n.run(dialTimeout + maxRoundBackoff + 100*time.Millisecond)
	if n.out.Following != three[2] || !n.out.Trusted || !n.out.Ready {
		t.Errorf("%+v after %v", n.out, n.events)
	}
}

// Messages that are held up on their way tell of a past that gets longer, though they come without a pause.
func TestMessagesHeldUpGiveNoFreshKnowledge(t *testing.T) {
	for _, alone := range []bool{true, false} {
		t.Run(fmt.Sprint("alone ", alone), func(t *testing.T) {
			n := settled(t, three...)
			slow := n.followed()
			for _, p := range n.others(slow) {
				p.gone = alone
			}
			for range 25 {
				slow.heldUp += 200 * time.Millisecond
				n.run(beacon) // the network checks ConfirmedAt against the times of sending
			}
			if age := n.now.Sub(n.out.FreshAsOf); alone && age < 2*time.Second {
				t.Errorf("messages are up to %v late, confirmed %v ago", slow.heldUp, age)
			}
			if alone != (n.out.Following == slow.address) || n.out.Trusted == alone {
				t.Errorf("follows %q, settled %v: %v", n.out.Following, n.out.Trusted, n.events)
			}
		})
	}
}

// A connection that was given up changes nothing any more, whatever still comes on it.
func TestDoubledConnections(t *testing.T) {
	n := settled(t, three...)
	first := n.followedWire()
	first.peer.cut = true
	n.leaves(first.peer, 2*trustTTL)
	n.run(time.Second)
	follows, generation := n.out.Following, n.inForce
	late := n.standing(first)
	late.Epoch, late.HasMajorityContact, late.MajorityContactAge = 9, true, 0
	n.step(
		MessageReceived{Connection: first.id, Message: &protocol.Update{
			Sequence: first.sequence + 1, Generation: 9, Document: []byte("nine"), Freshness: late,
		}},
		MessageReceived{Connection: first.id, Message: &protocol.Beacon{Sequence: 77, Generation: 9, Freshness: late}},
		MessageReceived{Connection: first.id, Message: &protocol.ProbeReply{Generation: 9, Freshness: late}},
		ConnectionOpened{Connection: first.id},
		ConnectionClosed{Connection: first.id, Err: errors.New("late")},
		ChangeApplied{},
	)
	n.run(time.Second)
	if n.out.Following != follows || !n.out.Trusted || n.inForce != generation {
		t.Errorf("%+v: %v", n.out, n.events)
	}
}

func TestLowerEpochIsRefused(t *testing.T) {
	n := newNetwork(t, three...)
	for _, p := range n.peers {
		p.epoch = 3
	}
	n.run(time.Second)
	last := n.peers[three[2]]
	last.epoch, last.cut = 2, true
	for _, p := range n.others(last) {
		n.stop(p)
	}
	n.run(5 * time.Second)
	if n.out.Following != "" {
		t.Errorf("follows %q in an earlier epoch", n.out.Following)
	}
	last.epoch = 3
	n.run(time.Second)
	if n.out.Following != last.address || n.out.Trusted {
		t.Errorf("does not follow %q provisionally in the newest epoch: %+v", last.address, n.out)
	}
}

// Of instances without proof the one in the higher epoch is followed, then the one with the younger contact; the one that is
// followed is kept where no other is in a higher epoch.
func TestChoiceWithoutProof(t *testing.T) {
	n := newNetwork(t, three...)
	for i, address := range three {
		p := n.peers[address]
		p.cut, p.epoch, p.contact = true, 2, n.begin.Add(-time.Duration(10-i)*time.Second)
	}
	n.run(time.Second)
	if n.out.Following != three[2] {
		t.Errorf("follows %q, not the one with the youngest contact", n.out.Following)
	}
	n.peers[three[0]].contact = n.now.Add(-trustTTL)
	n.run(time.Second)
	if !slices.Equal(n.moves, []string{three[2]}) {
		t.Errorf("moves %v though none is in a higher epoch", n.moves)
	}
	n.peers[three[1]].epoch = 3
	n.run(time.Second)
	if !slices.Equal(n.moves, []string{three[2], three[1]}) || !slices.Contains(n.left(), ErrOlderEpoch) {
		t.Errorf("moves %v, left because of %v", n.moves, n.left())
	}
}

// With no majority anywhere the instance that is followed is kept, and it is settled with again once it has proof.
func TestKeepsItsInstanceWhileNobodyHasProof(t *testing.T) {
	n := settled(t, three...)
	for _, p := range n.peers {
		p.cut = true
	}
	n.run(20 * time.Second)
	for _, p := range n.peers {
		p.cut = false
	}
	n.run(beacon + 10*time.Millisecond)
	if len(n.moves) != 1 || !n.out.Trusted || n.decider.search != nil {
		t.Errorf("moves %v, settled %v", n.moves, n.out.Trusted)
	}
}

// Contacts that are all about as old as the limit are no reason to go to and fro.
func TestAgesAroundTheLimit(t *testing.T) {
	n := settled(t, three...)
	for _, p := range n.peers {
		p.cut = true
	}
	for i := range 200 {
		p := n.peers[three[i%3]]
		p.contact = n.now.Add(-trustTTL*9/10 + time.Duration(i%7)*trustTTL/100)
		n.run(100 * time.Millisecond)
	}
	if len(n.moves) > 3 {
		t.Errorf("%d moves in 20 s: %v", len(n.moves), n.moves)
	}
}

func TestNoProbesWhileFresh(t *testing.T) {
	n := settled(t, three...)
	dials, probes := n.dials, n.probes
	n.check = func() {
		if sent := n.now.Sub(n.decider.followed.clock.lastEchoAt); sent > 30*time.Second {
			t.Fatalf("the last mark was sent %v ago", sent)
		}
	}
	n.run(10 * time.Minute)
	marks := int(10 * time.Minute / echoInterval) // to the instance that is followed
	if n.dials != dials || n.probes-probes > marks || len(n.moves) != 1 {
		t.Errorf("%d dials, %d probes, moves %v", n.dials-dials, n.probes-probes, n.moves)
	}
	if age := n.now.Sub(n.out.FreshAsOf); age > beacon+100*time.Millisecond {
		t.Errorf("confirmed %v ago: anchors were not kept up", age)
	}
}

// An instance whose proof is often nearly too old between two beacons is asked itself, before any other is.
func TestAsksItsInstanceFirst(t *testing.T) {
	n := settled(t, three...)
	n.followed().lag = 760 * time.Millisecond
	dials, probes := n.dials, n.probes
	n.run(20 * time.Second)
	if n.dials != dials || len(n.moves) != 1 || !n.out.Trusted {
		t.Errorf("%d dials, moves %v, settled %v", n.dials-dials, n.moves, n.out.Trusted)
	}
	if asked := n.probes - probes; asked > 20*int(time.Second/minRoundBackoff) {
		t.Errorf("asked %d times in 20 s", asked)
	}
}

func TestProbesAreBounded(t *testing.T) {
	for name, trouble := range map[string]func(*peer){
		"cut off":  func(p *peer) { p.cut = true },
		"refusing": func(p *peer) { p.refuses = true },
		"gone":     func(p *peer) { p.gone = true },
		"frozen":   func(p *peer) { p.mute = true },
	} {
		t.Run(name, func(t *testing.T) {
			var addresses []string
			for i := range 15 {
				addresses = append(addresses, fmt.Sprintf("10.%d.0.1:1", i+1))
			}
			n := settled(t, addresses...)
			followed := n.followed()
			for _, p := range n.peers {
				trouble(p)
			}
			n.hangUp(followed)
			n.check = func() {
				if s := n.decider.search; s != nil && s.inFlight() > maxConcurrentProbes {
					t.Fatalf("%d probes at once", s.inFlight())
				}
			}
			n.run(trustTTL)
			dials, probes := n.dials, n.probes
			const seconds = 20
			n.run(seconds * time.Second)
			rounds := seconds * time.Second / (125 * time.Millisecond)
			if most := int(rounds) * len(addresses); n.dials-dials > most || n.probes-probes > most {
				t.Errorf("%d dials and %d probes in %d s, want %d at most", n.dials-dials, n.probes-probes, seconds, most)
			}
			if n.dials+n.probes-dials-probes == 0 {
				t.Error("nobody is asked")
			}
		})
	}
}

func TestSilentInstanceIsLeft(t *testing.T) {
	n := settled(t, three...)
	silent := n.followed()
	silent.mute = true
	if took := n.leaves(silent, 2*time.Second); took > beaconTimeout+100*time.Millisecond {
		t.Errorf("left after %v", took)
	}
	if !slices.Equal(n.left(), []error{ErrUnresponsive}) {
		t.Errorf("left because of %v", n.left())
	}
	n.run(100 * time.Millisecond)
	if !n.out.Trusted {
		t.Errorf("not settled: %v", n.events)
	}
}

// The process slept; what the instance sent meanwhile waits, or comes a little later.
func TestSleptItself(t *testing.T) {
	for _, waits := range []bool{true, false} {
		t.Run(fmt.Sprint("messages wait ", waits), func(t *testing.T) {
			n := settled(t, three...)
			n.run(10 * time.Millisecond)
			followed := n.followed()
			followed.mute = !waits
			n.frozen = n.now.Add(5 * time.Second)
			n.run(5*time.Second - time.Millisecond)
			followed.mute = false
			n.run(time.Second)
			if len(n.moves) != 1 || !n.out.Trusted {
				t.Errorf("moves %v, settled %v: %v", n.moves, n.out.Trusted, n.events)
			}
		})
	}
}

func TestInstanceThatKeepsAConfigurationBack(t *testing.T) {
	n := settled(t, three...)
	behind := n.followed()
	behind.generation = 5
	n.newest = 5
	for _, p := range n.others(behind) {
		p.generation = 5
	}
	n.run(beacon + announcedConfigurationTimeout + 10*time.Millisecond)
	if !slices.Equal(n.left(), []error{ErrConfigurationWithheld}) {
		t.Errorf("left because of %v", n.left())
	}
	n.run(50 * time.Millisecond)
	if n.inForce != 5 || n.out.Following == behind.address {
		t.Errorf("version %d from %q", n.inForce, n.out.Following)
	}
}

func TestWhatIsMissingOrCannotBeUsedMovesOn(t *testing.T) {
	for name, c := range map[string]struct {
		amiss func(n *network, w *wire)
		want  error
	}{
		"gap":      {func(n *network, w *wire) { w.sequence++; n.update(w, protocol.Update{}, 4) }, ErrSequenceGap},
		"repeated": {func(n *network, w *wire) { w.sequence--; n.update(w, protocol.Update{}, 4) }, ErrSequenceGap},
		"beacon of others": {func(n *network, w *wire) {
			n.post(w, &protocol.Beacon{Sequence: w.sequence + 1, Generation: 4, Freshness: n.standing(w)})
		}, ErrSequenceGap},
		"document": {func(n *network, w *wire) { n.refuse = ErrInvalidConfiguration; n.commit() }, ErrInvalidConfiguration},
		"epoch":    {func(n *network, w *wire) { w.peer.epoch = 0 }, ErrOlderEpoch},
	} {
		t.Run(name, func(t *testing.T) {
			n := settled(t, three...)
			w := n.followedWire()
			c.amiss(n, w)
			n.leaves(w.peer, beacon+10*time.Millisecond)
			n.refuse = nil
			if !slices.Equal(n.left(), []error{c.want}) {
				t.Errorf("left because of %v", n.left())
			}
			n.run(2 * maxRoundBackoff)
			if !n.out.Trusted || n.out.Following == w.peer.address {
				t.Errorf("%+v", n.out)
			}
		})
	}
}

// An instance whose first update is lost, while its beacons come, is left as well.
func TestFirstUpdateIsMissing(t *testing.T) {
	n := newNetwork(t, three...)
	for n.out.Following == "" {
		n.run(time.Millisecond)
	}
	first := n.peers[n.out.Following]
	first.mute = true
	n.run(10 * time.Millisecond)
	first.mute = false
	n.run(beacon + 2*maxRoundBackoff)
	if n.out.Following == first.address || !n.out.Ready {
		t.Errorf("%+v after %v", n.out, n.events)
	}
}

// A change that takes long is not the instance's silence, and counts only once it is in force.
func TestSlowApply(t *testing.T) {
	n := settled(t, three...)
	followed := n.followed()
	n.slow = 2500 * time.Millisecond
	n.commit()
	n.commit()
	acknowledged := n.now
	confirms := len(followed.confirms)
	n.run(n.slow)
	if len(followed.confirms) != confirms || n.out.FreshAsOf.After(acknowledged) {
		t.Errorf("confirms %v, confirmed at %v", followed.confirms, n.out.FreshAsOf.Sub(acknowledged))
	}
	n.run(n.slow + 10*time.Millisecond)
	if len(n.moves) != 1 || !n.out.Trusted || !slices.Equal(followed.confirms[confirms:], []uint64{2, 3}) {
		t.Errorf("moves %v, settled %v, confirms %v", n.moves, n.out.Trusted, followed.confirms)
	}
	if age := n.now.Sub(n.out.FreshAsOf); n.inForce != 6 || age > beacon+100*time.Millisecond {
		t.Errorf("version %d, confirmed %v ago", n.inForce, age)
	}
}

// The router goes back to its own zone once somebody there has proof, and asks for that more and more rarely.
func TestNearerInstance(t *testing.T) {
	n := newNetwork(t, three...)
	near := n.peers[three[0]]
	near.refuses = true
	n.run(time.Second)
	var members []protocol.Member
	for i, address := range three {
		members = append(members, protocol.Member{Address: address, Zone: fmt.Sprint("z", i+1)})
	}
	n.update(n.followedWire(), protocol.Update{Members: members}, 4)
	dials := n.dials
	n.run(3 * time.Minute)
	if looked := n.dials - dials; looked < 3 || looked > 8 || len(n.moves) != 1 {
		t.Errorf("%d looks in 3 minutes, moves %v", looked, n.moves)
	}
	near.refuses, near.cut = false, true
	n.run(2 * maxZoneLocalBackoff)
	if len(n.moves) != 1 {
		t.Errorf("moves %v, the last one without proof", n.moves)
	}
	near.cut, near.lag = false, trustTTL*9/10
	n.run(2 * maxZoneLocalBackoff)
	if len(n.moves) != 1 {
		t.Errorf("moves %v, the last one by a proof that is nearly too old", n.moves)
	}
	near.lag = 0
	n.run(maxZoneLocalBackoff + time.Second)
	if n.out.Following != near.address || !n.out.Trusted || !slices.Equal(n.left(), []error{ErrZoneLocalAlternative}) {
		t.Errorf("follows %q, left because of %v", n.out.Following, n.left())
	}
}

// An instance of the own zone that ends soon after each return is returned to more and more rarely.
func TestNearerInstanceThatKeepsEnding(t *testing.T) {
	n := newNetwork(t, three...)
	near := n.peers[three[0]]
	near.refuses = true
	n.run(time.Second)
	members := []protocol.Member{{Address: three[0], Zone: "z1"}, {Address: three[1], Zone: "z2"}}
	n.update(n.followedWire(), protocol.Update{Members: members}, 4)
	returns := 0
	for range 360 {
		near.refuses = false
		n.run(500 * time.Millisecond)
		if n.out.Following == near.address {
			returns++
			n.stop(near)
			n.run(500 * time.Millisecond)
		}
	}
	if returns < 3 || returns > 8 {
		t.Errorf("%d returns in 3 minutes", returns)
	}
}

// While the nearest instance is slow to answer, it is waited for a little, and no more.
func TestWaitsALittleForTheOwnZone(t *testing.T) {
	for late, want := range map[time.Duration]string{15 * time.Millisecond: three[0], 60 * time.Millisecond: three[1]} {
		n := newNetwork(t, three[0], three[1])
		n.peers[three[0]].heldUp = late
		n.run(100 * time.Millisecond)
		if n.out.Following != want {
			t.Errorf("nearest %v late: follows %q", late, n.out.Following)
		}
	}
}

// An instance whose contact is nearly too old is not moved to while another one may answer with a younger one.
func TestWaitsALittleForYoungerProof(t *testing.T) {
	n := newNetwork(t, three[0], three[1])
	n.peers[three[0]].lag = trustTTL * 95 / 100
	n.peers[three[1]].heldUp = 10 * time.Millisecond
	n.run(time.Second)
	if !slices.Equal(n.moves, three[1:2]) || !n.out.Trusted {
		t.Errorf("moves %v, settled %v", n.moves, n.out.Trusted)
	}
}

func TestReportsWaitWhileNobodyIsFollowed(t *testing.T) {
	n := newNetwork(t, three...)
	for i := range maxQueuedReports + 2 {
		n.step(DemandReported{Report: protocol.Report{Window: time.Duration(i)}})
	}
	n.run(100 * time.Millisecond)
	n.step(DemandReported{Report: protocol.Report{Window: 100}})
	n.run(10 * time.Millisecond)
	reports := n.followed().reports
	if len(reports) != maxQueuedReports+1 {
		t.Fatalf("%d reports", len(reports))
	}
	for i, report := range reports[:maxQueuedReports] {
		if report.Window != time.Duration(i+2) || report.Sequence != uint64(i+1) || report.Node != "n" || report.Incarnation != 7 {
			t.Errorf("report %d: %+v", i, report)
		}
	}
}

// Instances of an older program state nothing and answer no probes: the router works with them, provisionally.
func TestOlderInstances(t *testing.T) {
	n := newNetwork(t, three...)
	for _, p := range n.peers {
		p.old = true
	}
	n.run(time.Second)
	if !n.out.Ready || n.out.Trusted || !n.out.FreshAsOf.IsZero() || n.inForce != 4 {
		t.Errorf("%+v", n.out)
	}
	n.run(10 * time.Second)
	if len(n.moves) != 1 {
		t.Errorf("moves %v", n.moves)
	}
	newer := n.others(n.followed())[0]
	newer.old = false
	n.run(time.Second)
	if n.out.Following != newer.address || !n.out.Trusted {
		t.Errorf("%+v", n.out)
	}
}

// A configuration never goes back, and an older one confirmed as the newest makes nobody ready.
func TestConfigurationNeverGoesBack(t *testing.T) {
	n := settled(t, three...)
	w := n.followedWire()
	w.peer.generation = 3
	n.update(w, protocol.Update{GenerationConfirmed: true}, 0)
	n.run(10 * time.Millisecond)
	if last := n.applies[len(n.applies)-1]; last.Document != nil {
		t.Errorf("%+v was asked for", last)
	}
}

func TestSeedsAreReadAnew(t *testing.T) {
	n := newNetwork(t, three...)
	n.seeds = nil
	for _, p := range n.peers {
		p.refuses = true
	}
	n.run(time.Second)
	n.peers["10.9.0.1:1"] = &peer{address: "10.9.0.1:1", epoch: 1, generation: 4}
	n.seeds = []string{"10.9.0.1:1"}
	n.run(maxRoundBackoff + 100*time.Millisecond)
	if n.out.Following != "10.9.0.1:1" {
		t.Errorf("follows %q", n.out.Following)
	}
}
