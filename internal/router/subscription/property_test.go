package subscription

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"raventrestle/internal/protocol"
)

// committedVersion is a version that was acknowledged, with the time of the acknowledgement.
type committedVersion struct {
	generation  int64
	committedAt time.Time
}

// Delays, pauses, partitions, restarts and changes of epoch are injected at random. The simulated network checks FreshAsOf against
// the contacts at the time when messages were sent. This test checks it against the acknowledged versions, and also checks that an
// instance is not trusted once its contact with the majority is as old as TrustTTL.
func TestTrustNeverOutlastsTheMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newSimulatedNetwork(t, threeInstances...)
		acknowledged := []committedVersion{{generation: 4, committedAt: n.start.Add(-time.Hour)}}
		for _, instance := range n.instances {
			instance.driftPerSecond = time.Duration(rapid.IntRange(-400, 400).Draw(t, "drift")) * time.Microsecond
		}
		n.invariant = func() {
			for _, a := range acknowledged {
				if a.committedAt.Before(n.out.FreshAsOf) && a.generation > n.appliedGeneration {
					t.Fatalf("applied: got version %d, want %d, which was acknowledged %v before FreshAsOf",
						n.appliedGeneration, a.generation, n.out.FreshAsOf.Sub(a.committedAt))
				}
			}
			if instance := n.instances[n.out.Following]; n.out.Trusted && n.now.Sub(instance.majorityContactAt) >= trustTTL {
				t.Fatalf("trusted: got %s, whose contact is %v old, want less than %v", instance.address, n.now.Sub(instance.majorityContactAt), trustTTL)
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			injectFault(t, n, func() {
				acknowledged = append(acknowledged, committedVersion{generation: n.newestGeneration, committedAt: n.now})
			})
			n.run(time.Duration(rapid.IntRange(1, 800).Draw(t, "wait")) * time.Millisecond)
		}
		healAll(n)
		n.run(6 * time.Second)
		if !n.out.Trusted || !n.out.Ready || n.appliedGeneration != n.newestGeneration {
			t.Fatalf("after the faults: got trusted %v, ready %v, version %d, want true, true, %d; follows %q, events %v",
				n.out.Trusted, n.out.Ready, n.appliedGeneration, n.newestGeneration, n.out.Following, n.events)
		}
		limit := int(n.now.Sub(n.start)/minRoundBackoff) * len(threeInstances) * 2
		if n.dials > limit || n.probes > limit {
			t.Fatalf("in %v: got %d dials and %d probes, want %d of each at most", n.now.Sub(n.start), n.dials, n.probes, limit)
		}
	})
}

// injectFault injects or ends a fault drawn at random.
func injectFault(t *rapid.T, n *simulatedNetwork, acknowledge func()) {
	instance := n.instances[rapid.SampledFrom(threeInstances).Draw(t, "instance")]
	duration := func() time.Duration {
		return time.Duration(rapid.IntRange(0, 3000).Draw(t, "duration")) * time.Millisecond
	}
	switch kind := rapid.SampledFrom([]string{
		"partition", "heal", "stop", "start", "close connections", "send delay", "receive delay",
		"no delay", "unresponsive", "router paused", "commit", "new epoch", "slow changes", "blackhole",
	}).Draw(t, "kind"); kind {
	case "partition":
		n.renewContact(instance)
		instance.partitioned = true
	case "heal":
		healPartition(n, instance)
	case "stop":
		n.stopInstance(instance)
	case "start":
		instance.refusesConnections, instance.blackholed = false, false
	case "close connections":
		n.closeConnections(instance)
	case "send delay":
		instance.sendDelay = duration()
	case "receive delay":
		instance.receiveDelay = duration()
	case "no delay":
		instance.sendDelay, instance.receiveDelay, instance.unresponsive = 0, 0, false
	case "unresponsive":
		instance.unresponsive = !instance.unresponsive
	case "router paused":
		n.pausedUntil = n.now.Add(duration())
	case "commit":
		for _, other := range n.instances {
			n.renewContact(other)
		}
		n.commitConfiguration()
		acknowledge()
	case "new epoch":
		newest := n.newestEpoch() + 1
		for _, other := range n.instances {
			if !other.partitioned {
				other.epoch = newest
			}
		}
	case "slow changes":
		n.applyDelay = duration()
	case "blackhole":
		instance.blackholed = true
	default:
		panic(fmt.Sprint("kind ", kind))
	}
}

func (n *simulatedNetwork) newestEpoch() (newest uint64) {
	for _, instance := range n.instances {
		newest = max(newest, instance.epoch)
	}
	return newest
}

// healPartition ends an instance's partition. The instance receives the newest generation and sends a complete update.
func healPartition(n *simulatedNetwork, instance *simulatedInstance) {
	if !instance.partitioned {
		return
	}
	instance.partitioned, instance.epoch = false, n.newestEpoch()
	n.setGeneration(instance, n.newestGeneration)
	for _, conn := range n.connections {
		if conn.instance == instance && conn.subscribed && !conn.closedByRouter {
			n.sendUpdate(conn, protocol.Update{Snapshot: true, GenerationConfirmed: true}, n.newestGeneration)
		}
	}
}

func healAll(n *simulatedNetwork) {
	n.applyDelay = 0
	for _, instance := range n.instances {
		instance.refusesConnections, instance.blackholed, instance.unresponsive, instance.sendDelay, instance.receiveDelay = false, false, false, 0, 0
		healPartition(n, instance)
	}
}
