package simnet

import (
	"fmt"
	"testing"
	"time"

	"raventrestle/coordination/internal/mutation"
)

// restartTime is how long a process takes to start in these tests.
const restartTime = 100 * time.Millisecond

// memberFailure is one way in which a member fails for some time.
type memberFailure int

const (
	failsByKill memberFailure = iota
	failsByPowerLoss
	failsByFreeze
	failsByPartition
	failsBySlowDisk
	memberFailures
)

// failFor lets the machine fail for the given time and return.
func (w *World) failFor(m *machine, kind memberFailure, downtime time.Duration) {
	switch kind {
	case failsByKill:
		m.kill()
	case failsByPowerLoss:
		m.losePower()
	case failsByFreeze:
		m.freeze()
	case failsByPartition:
		w.partition([]*machine{m}, w.machines, true, true)
	case failsBySlowDisk:
		m.syncDelay = 2 * time.Second
	}
	_ = w.Run(downtime)
	m.syncDelay = 0
	m.thaw()
	w.healLinks()
	m.start(false)
}

// awaitInChain runs the world until the member is in the chain of the newest view, or the timeout has passed.
func (w *World) awaitInChain(m *machine, timeout time.Duration) {
	for end := w.now + timeout; w.now < end && w.failure == nil; {
		if w.newestView().ChainIndex(m.node.Self().Identity) >= 0 {
			return
		}
		_ = w.Run(20 * time.Millisecond)
	}
}

// failRepeatedly lets the members fail several times at once, each time after they were taken back into the chain.
func (w *World) failRepeatedly(members []*machine) {
	const maxAwaited = 10 * time.Second
	for range 3 + w.random.IntN(4) {
		kind := memberFailure(w.random.IntN(int(memberFailures)))
		downtime := w.between(700*time.Millisecond, 3*time.Second)
		for _, m := range members[1:] {
			m.kill()
		}
		w.failFor(members[0], kind, downtime)
		for _, m := range members[1:] {
			m.start(false)
		}
		w.awaitInChain(members[0], maxAwaited)
		_ = w.Run(w.between(0, time.Second))
	}
	w.failFor(members[0], failsByKill, time.Second)
}

// loseDisksInTurn loses the disks of the machines, as many at once as the group tolerates, each as soon as repairTimeout has
// passed since the return before it. Each loss must be tolerated, and commands must be acknowledged soon after it.
func (w *World) loseDisksInTurn(machines []*machine, acknowledged *latencySample) error {
	_ = w.Run(repairTimeout)
	for len(machines) >= w.FaultTolerance {
		if err := w.toleratesLosses(w.FaultTolerance); err != nil {
			return fmt.Errorf("%v after the last return: %w", repairTimeout, err)
		}
		_ = w.Run(w.between(0, 150*time.Millisecond))
		for _, m := range machines[:w.FaultTolerance] {
			m.wipe()
		}
		_ = w.Run(restartTime)
		for _, m := range machines[:w.FaultTolerance] {
			m.start(false)
		}
		machines = machines[w.FaultTolerance:]
		returnedAt := w.now
		took, ok := w.awaitAcknowledgement(repairTimeout)
		acknowledged.add(took)
		if !ok {
			return fmt.Errorf("no command is acknowledged within %v after %d lost disks", repairTimeout, w.FaultTolerance)
		}
		_ = w.Run(returnedAt + repairTimeout - w.now)
	}
	return w.Finish()
}

// Guards against review/4: a member that failed several times was kept out of the chain for twice catch_up_s, and disks
// lost one after the other meanwhile left the group without a majority for good.
func TestDisksMayBeLostAfterAMemberHasFailedRepeatedly(t *testing.T) {
	for _, s := range groupSizes() {
		t.Run(s.String(), func(t *testing.T) {
			var acknowledged latencySample
			eachSeed(1, membershipSeeds(t), func(seed uint64) {
				w := worldOfSize(seed, s, mutation.Set{})
				_ = w.Run(repairTimeout)
				others := w.others(w.head())
				failing := others[:s.tolerance]
				w.failRepeatedly(failing)
				remaining := append(others[s.tolerance:], w.head())
				w.random.Shuffle(len(remaining), func(i, j int) { remaining[i], remaining[j] = remaining[j], remaining[i] })
				if err := w.loseDisksInTurn(remaining, &acknowledged); err != nil {
					t.Errorf("seed %d: %v, want nil", seed, err)
				}
			})
			acknowledged.check(t, "acknowledged after lost disks", repairTimeout)
		})
	}
}
