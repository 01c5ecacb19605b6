package simnet

import (
	"testing"
	"time"

	"raventrestle/coordination/internal/mutation"
)

// One disk is lost in the moment of an acknowledgement, while all other machines lose power: the acknowledged command is
// still there.
func TestAcknowledgedCommandSurvivesTheLossOfADisk(t *testing.T) {
	for lost := range 4 {
		checkScenario(t, 3*time.Second, 4, func(w *World) {
			before := w.model.acknowledgedAt
			w.propose(w.randomMachine(), "aimed")
			for w.model.acknowledgedAt == before && w.failure == nil {
				_ = w.Run(200 * time.Microsecond)
			}
			for i, m := range w.machines {
				if i == lost {
					m.wipe()
				} else {
					m.losePower()
				}
				w.after(w.between(50*time.Millisecond, time.Second), func() { m.start(false) })
			}
		})
	}
}

// A member that restarts under the identity of its lost disk could decide with others that lack an entry: the mutant must
// be found.
func TestVoteAfterWipeIsFound(t *testing.T) {
	w := healthyWorld(t, 1, 3, mutation.Set{VoteAfterWipe: true})
	w.startClients(w.now+time.Second, 5*time.Millisecond, 50*time.Millisecond)
	_ = w.Run(2 * time.Second)
	head := w.head()
	for _, m := range w.machines {
		if m == head {
			m.wipe()
		} else {
			m.losePower()
		}
		m.start(false)
	}
	_ = w.Run(2 * time.Second)
	if err := w.Finish(); err == nil {
		t.Error("the mutant VoteAfterWipe is not found, want a violated invariant")
	} else {
		t.Logf("found: %v", err)
	}
}

// isFullMember reports whether the machine's present identity is in the chain and a voter of the newest view, and its log
// is complete.
func (w *World) isFullMember(m *machine) bool {
	if m.engine == nil {
		return false
	}
	v := w.head().engine.Node().View()
	identity := m.node.Self().Identity
	return v.IsVoter(identity) && v.ChainIndex(identity) >= 0 && m.engine.Node().IsComplete()
}

// checkRejoin checks how long the machine that lose returns, which starts on an empty disk, takes to be a full member.
func checkRejoin(t *testing.T, lose func(w *World) *machine) {
	t.Helper()
	var delays latencySample
	eachSeed(1, scenarioHistories, func(seed uint64) {
		w := healthyWorld(t, seed, 3, mutation.Set{})
		w.startClients(w.now+20*time.Second, 5*time.Millisecond, 50*time.Millisecond)
		_ = w.Run(w.between(0, time.Second))
		m := lose(w)
		beganAt := w.now
		for !w.isFullMember(m) && w.now-beganAt < 10*time.Second && w.failure == nil {
			_ = w.Run(10 * time.Millisecond)
		}
		delays.add(w.now - beganAt)
		if err := w.Finish(); err != nil {
			t.Errorf("seed %d: %v, want nil", seed, err)
		}
	})
	delays.check(t, t.Name(), 3500*time.Millisecond)
}

func TestWipedMachineIsAFullMemberAgain(t *testing.T) {
	checkRejoin(t, func(w *World) *machine {
		m := w.machines[w.random.IntN(3)]
		m.wipe()
		w.after(w.between(0, 500*time.Millisecond), func() { m.start(false) })
		return m
	})
}

func TestReplacementIsAFullMember(t *testing.T) {
	checkRejoin(t, func(w *World) *machine {
		m := w.machines[w.random.IntN(3)]
		m.wipe()
		m.removed = true
		next := w.addMachine(len(w.machines), false)
		w.after(w.between(0, 500*time.Millisecond), func() { next.start(false) })
		return next
	})
}

// A machine that lost its disk finds the group although all its seeds but itself are out of service.
func TestWipedMachineFindsTheGroupWithoutSeeds(t *testing.T) {
	eachSeed(1, scenarioHistories, func(seed uint64) {
		w := worldOfSize(seed, groupSize{3, 1}, mutation.Set{})
		for _, m := range w.machines[:2] {
			w.awaitFaultTolerance(repairTimeout)
			m.wipe()
			m.removed = true
			w.addMachine(len(w.machines), false).start(false)
		}
		w.awaitFaultTolerance(repairTimeout)
		last := w.machines[2]
		last.wipe()
		w.restartSoon(last)
		_ = w.Run(1500 * time.Millisecond)
		w.awaitFaultTolerance(repairTimeout)
		if err := w.Finish(); err != nil {
			t.Errorf("seed %d: %v, want nil", seed, err)
		}
	})
}
