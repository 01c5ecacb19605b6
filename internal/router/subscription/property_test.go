package subscription

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"raventrestle/internal/protocol"
)

// acknowledgement of a version.
type acknowledgement struct {
	generation int64
	at         time.Time
}

// TestAgeIsNeverTooNew plays delays, freezes, cuts, restarts and changes of epoch at random. The network checks ConfirmedAt
// against the contacts at the times of sending; here it is checked against what was acknowledged, and that nobody is settled
// with who has lost its majority.
func TestAgeIsNeverTooNew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t, three...)
		acknowledged := []acknowledgement{{generation: 4, at: n.begin.Add(-time.Hour)}}
		for _, p := range n.peers {
			p.drift = time.Duration(rapid.IntRange(-400, 400).Draw(t, "drift")) * time.Microsecond
		}
		n.check = func() {
			for _, a := range acknowledged {
				if a.at.Before(n.out.FreshAsOf) && a.generation > n.inForce {
					t.Fatalf("version %d acknowledged %v before ConfirmedAt, %d is in force", a.generation,
						n.out.FreshAsOf.Sub(a.at), n.inForce)
				}
			}
			if p := n.peers[n.out.Following]; n.out.Trusted && n.now.Sub(p.contact) >= trustTTL {
				t.Fatalf("settled with %s, whose contact is %v old", p.address, n.now.Sub(p.contact))
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			disturb(t, n, func() {
				acknowledged = append(acknowledged, acknowledgement{generation: n.newest, at: n.now})
			})
			n.run(time.Duration(rapid.IntRange(1, 800).Draw(t, "wait")) * time.Millisecond)
		}
		heal(n)
		n.run(6 * time.Second)
		if !n.out.Trusted || !n.out.Ready || n.inForce != n.newest {
			t.Fatalf("after all is well: settled %v, ready %v, version %d of %d, follows %q: %v",
				n.out.Trusted, n.out.Ready, n.inForce, n.newest, n.out.Following, n.events)
		}
		most := int(n.now.Sub(n.begin)/minRoundBackoff) * len(three) * 2
		if n.dials > most || n.probes > most {
			t.Fatalf("%d dials, %d probes in %v", n.dials, n.probes, n.now.Sub(n.begin))
		}
	})
}

// disturb brings one trouble about, or ends one.
func disturb(t *rapid.T, n *network, acknowledge func()) {
	p := n.peers[rapid.SampledFrom(three).Draw(t, "peer")]
	held := func() time.Duration { return time.Duration(rapid.IntRange(0, 3000).Draw(t, "held")) * time.Millisecond }
	switch kind := rapid.SampledFrom([]string{
		"cut", "heal", "stop", "start", "hang up", "held up", "held down",
		"prompt", "mute", "frozen router", "commit", "epoch", "slow", "gone",
	}).Draw(t, "kind"); kind {
	case "cut":
		n.touch(p)
		p.cut = true
	case "heal":
		healPeer(n, p)
	case "stop":
		n.stop(p)
	case "start":
		p.refuses, p.gone = false, false
	case "hang up":
		n.hangUp(p)
	case "held up":
		p.heldUp = held()
	case "held down":
		p.heldDown = held()
	case "prompt":
		p.heldUp, p.heldDown, p.mute = 0, 0, false
	case "mute":
		p.mute = !p.mute
	case "frozen router":
		n.frozen = n.now.Add(held())
	case "commit":
		for _, other := range n.peers {
			n.touch(other)
		}
		n.commit()
		acknowledge()
	case "epoch":
		newest := n.epoch() + 1
		for _, other := range n.peers {
			if !other.cut {
				other.epoch = newest
			}
		}
	case "slow":
		n.slow = held()
	case "gone":
		p.gone = true
	default:
		panic(fmt.Sprint("kind ", kind))
	}
}

func (n *network) epoch() (newest uint64) {
	for _, p := range n.peers {
		newest = max(newest, p.epoch)
	}
	return newest
}

// healPeer brings a peer back to the others, with what they have.
func healPeer(n *network, p *peer) {
	if !p.cut {
		return
	}
	p.cut, p.epoch = false, n.epoch()
	n.take(p, n.newest)
	for _, w := range n.wires {
		if w.peer == p && w.follows && !w.closed {
			n.update(w, protocol.Update{Snapshot: true, GenerationConfirmed: true}, n.newest)
		}
	}
}

func heal(n *network) {
	n.slow = 0
	for _, p := range n.peers {
		p.refuses, p.gone, p.mute, p.heldUp, p.heldDown = false, false, false, 0, 0
		healPeer(n, p)
	}
}
