package simnet

import (
	"testing"
	"time"

	"raventrestle/coordination/internal/mutation"
)

// As many disks as must be borne are lost in the moment of an acknowledgement, while all others lose power.
func TestDiskIsLostAtAcknowledgement(t *testing.T) {
	for place := range 4 {
		scenario(t, 3*time.Second, 4, func(w *World) {
			before := w.ledger.ackedAt
			w.propose(w.pick(), "aimed")
			for w.ledger.ackedAt == before && w.failure == nil {
				_ = w.Run(200 * time.Microsecond)
			}
			for i, m := range w.machines {
				if i == place {
					m.wipe()
				} else {
					m.losePower()
				}
				w.after(w.between(50*time.Millisecond, time.Second), func() { m.start(false) })
			}
		})
	}
}

// A member that came back under the identity of its lost disk would take the others' entries away.
func TestVoteAfterWipeIsFound(t *testing.T) {
	w := calmWorld(t, 1, 3, mutation.Set{VoteAfterWipe: true})
	w.clients(w.now+time.Second, 5*time.Millisecond, 50*time.Millisecond)
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
		t.Error("a vote after a wipe is not found")
	} else {
		t.Logf("found: %v", err)
	}
}

// counts tells whether the machine's present member is in chain and voters of the newest view.
func (w *World) counts(m *machine) bool {
	if m.engine == nil {
		return false
	}
	v := w.head().engine.Node().View()
	identity := m.last.Self().Identity
	return v.IsVoter(identity) && v.ChainIndex(identity) >= 0 && m.engine.Node().IsComplete()
}

// rejoin measures how long a machine that starts on an empty disk takes to count again.
func rejoin(t *testing.T, lose func(w *World) *machine) {
	t.Helper()
	var taken figures
	eachSeed(1, scenarioSeeds, func(seed uint64) {
		w := calmWorld(t, seed, 3, mutation.Set{})
		w.clients(w.now+20*time.Second, 5*time.Millisecond, 50*time.Millisecond)
		_ = w.Run(w.between(0, time.Second))
		m := lose(w)
		began := w.now
		for !w.counts(m) && w.now-began < 10*time.Second && w.failure == nil {
			_ = w.Run(10 * time.Millisecond)
		}
		taken.add(w.now - began)
		if err := w.Finish(); err != nil {
			t.Error(err)
		}
	})
	taken.check(t, t.Name(), 3500*time.Millisecond)
}

func TestWipedMachineCountsAgain(t *testing.T) {
	rejoin(t, func(w *World) *machine {
		m := w.machines[w.random.IntN(3)]
		m.wipe()
		w.after(w.between(0, 500*time.Millisecond), func() { m.start(false) })
		return m
	})
}

func TestReplacedMachineCounts(t *testing.T) {
	rejoin(t, func(w *World) *machine {
		m := w.machines[w.random.IntN(3)]
		m.wipe()
		m.removed = true
		next := w.addMachine(len(w.machines), false)
		w.after(w.between(0, 500*time.Millisecond), func() { next.start(false) })
		return next
	})
}

// A machine that lost its disk finds the group although every seed that its settings name is gone but itself.
func TestWipedMachineIsFoundWithoutSeeds(t *testing.T) {
	eachSeed(1, scenarioSeeds, func(seed uint64) {
		w := sized(seed, size{3, 1}, mutation.Set{})
		for _, m := range w.machines[:2] {
			w.untilBorne(catchUp)
			m.wipe()
			m.removed = true
			w.addMachine(len(w.machines), false).start(false)
		}
		w.untilBorne(catchUp)
		last := w.machines[2]
		last.wipe()
		w.back(last)
		_ = w.Run(1500 * time.Millisecond)
		w.untilBorne(catchUp)
		if err := w.Finish(); err != nil {
			t.Error(err)
		}
	})
}
