package simnet

import (
	"fmt"
	"testing"
	"time"

	"raventrestle/coordination/engine"
	"raventrestle/coordination/internal/mutation"
)

func TestGroupCommitsAgainAfterTheHeadIsKilled(t *testing.T) {
	for _, machines := range []int{3, 4, 5} {
		checkScenario(t, 1500*time.Millisecond, machines, func(w *World) { w.head().kill() })
	}
}

func TestGroupCommitsAgainAfterTheTailIsKilled(t *testing.T) {
	checkScenario(t, 1500*time.Millisecond, 4, func(w *World) {
		tail := w.head().engine.Node().View().Tail()
		for _, m := range w.machines {
			if m.address == tail.Address {
				m.kill()
			}
		}
	})
}

func TestGroupCommitsAgainWhileTheHeadIsFrozen(t *testing.T) {
	checkScenario(t, 1500*time.Millisecond, 4, func(w *World) {
		head := w.head()
		head.freeze()
		w.after(w.between(1200*time.Millisecond, 4*time.Second), head.thaw)
	})
}

func TestGroupCommitsAgainWhileTheHeadIsPartitioned(t *testing.T) {
	for _, test := range []struct {
		name               string
		outgoing, incoming bool // which links of the head are blocked
	}{{"both ways", true, true}, {"outgoing", true, false}, {"incoming", false, true}} {
		t.Run(test.name, func(t *testing.T) {
			checkScenario(t, 1900*time.Millisecond, 4, func(w *World) {
				w.partition([]*machine{w.head()}, w.machines, test.outgoing, test.incoming)
			})
		})
	}
}

func TestGroupCommitsAgainWhileTwoFollowersArePartitionedFromEachOther(t *testing.T) {
	checkScenario(t, 2200*time.Millisecond, 3, func(w *World) {
		others := w.others(w.head())
		w.partition(others[:1], others[1:], true, true)
	})
}

// All processes are killed, or lose power, and restart within a second.
func TestGroupCommitsAgainAfterAllMachinesFailAtOnce(t *testing.T) {
	for name, end := range map[string]func(m *machine){
		"kill":       (*machine).kill,
		"power loss": (*machine).losePower,
	} {
		t.Run(name, func(t *testing.T) {
			checkScenario(t, 2200*time.Millisecond, 4, func(w *World) {
				for _, m := range w.machines {
					end(m)
					w.after(w.between(50*time.Millisecond, time.Second), func() { m.start(false) })
				}
			})
		})
	}
}

// When the head leaves in the planned way, commands wait for a moment only, and the next head is soon leader.
func TestHeadThatLeavesHandsOverAtOnce(t *testing.T) {
	var handovers latencySample
	checkScenario(t, 300*time.Millisecond, 4, func(w *World) {
		head := w.head()
		beganAt := w.now
		w.leave(head, func() { w.after(500*time.Millisecond, func() { head.start(false) }) })
		for w.now-beganAt < 3*time.Second && w.failure == nil {
			_ = w.Run(2 * time.Millisecond)
			if next := w.head(); next != head && next.engine != nil && next.engine.IsLeader(next.localTime()) {
				handovers.add(w.now - beganAt)
				return
			}
		}
		handovers.add(w.now - beganAt)
	})
	handovers.check(t, "next leader", 400*time.Millisecond)
}

func TestGroupCommitsAgainWhileTheDiskOfTheHeadIsFull(t *testing.T) {
	checkScenario(t, 1500*time.Millisecond, 4, func(w *World) { w.head().disk.FailWrites = true })
}

// While all disks are full no command is committed, but barriers are answered; afterwards the group goes on.
func TestBarriersAreAnsweredWhileAllDisksAreFull(t *testing.T) {
	eachSeed(1, scenarioHistories, func(seed uint64) {
		w := healthyWorld(t, seed, 4, mutation.Set{})
		w.startClients(w.now+time.Second, 5*time.Millisecond, 50*time.Millisecond)
		_ = w.Run(2 * time.Second)
		for _, m := range w.machines {
			m.disk.FailWrites = true
		}
		w.startClients(w.now+time.Second, 5*time.Millisecond, 50*time.Millisecond)
		_ = w.Run(2 * time.Second)
		answered := 0
		for _, m := range w.machines {
			w.barrier(m, func() { answered++ })
		}
		_ = w.Run(time.Second)
		if answered != len(w.machines) {
			t.Errorf("seed %d: %d members answer a barrier, want all %d", seed, answered, len(w.machines))
		}
		if err := w.Finish(); err != nil {
			t.Errorf("seed %d: %v, want nil", seed, err)
		}
	})
}

// One flapping link doesn't change the view again and again: it has 30 chances to, at two views each.
func TestFlappingLinkChangesFewViews(t *testing.T) {
	eachSeed(1, scenarioHistories, func(seed uint64) {
		w := healthyWorld(t, seed, 3, mutation.Set{})
		before := w.head().engine.Node().View().Epoch
		other := w.machines[2]
		for range 30 {
			w.partition([]*machine{w.head()}, []*machine{other}, true, true)
			_ = w.Run(w.between(100*time.Millisecond, time.Second))
			w.healLinks()
			_ = w.Run(w.between(100*time.Millisecond, time.Second))
		}
		if changes := w.head().engine.Node().View().Epoch - before; changes > 20 {
			t.Errorf("seed %d: %d changes of the view in %v, want at most 20", seed, changes, w.now)
		}
		if err := w.Finish(); err != nil {
			t.Errorf("seed %d: %v, want nil", seed, err)
		}
	})
}

// A new member joins although all seeds but one are down, and a restarted one finds the group although all its seeds are.
func TestMembersFindTheGroupWhileSeedsAreDown(t *testing.T) {
	eachSeed(1, scenarioHistories, func(seed uint64) {
		w := healthyWorld(t, seed, 5, mutation.Set{})
		_ = w.Run(2 * time.Second)
		w.machines[0].kill()
		_ = w.Run(3 * time.Second)
		w.machines[1].kill()
		_ = w.Run(3 * time.Second)
		next := w.addMachine(len(w.machines), false)
		next.start(false)
		_ = w.Run(2 * time.Second)
		if next.engine.Node().View().Epoch < 2 {
			t.Errorf("seed %d: the new member has not found the group, want it to have a view of epoch 2 or later", seed)
		}
		w.machines[2].kill()
		_ = w.Run(3 * time.Second)
		if took, ok := w.awaitAcknowledgement(3 * time.Second); !ok {
			t.Errorf("seed %d: nothing is committed without the seeds in %v, want a command", seed, took)
		}
		next.kill()
		_ = w.Run(time.Second)
		next.start(false)
		_ = w.Run(2 * time.Second)
		answered := false
		w.barrier(next, func() { answered = true })
		_ = w.Run(time.Second)
		if !answered {
			t.Errorf("seed %d: the restarted member answers no barrier, want it to have found the group", seed)
		}
	})
}

// A head that thaws after its connections were closed is not leader beside its successor. The mutant that answers messages
// of earlier epochs must be found.
func TestThawedHeadIsNotLeader(t *testing.T) {
	thaw := func(seed uint64, mutant mutation.Set) error {
		w := healthyWorld(t, seed, 3, mutant)
		head := w.head()
		head.freeze()
		_ = w.Run(w.between(2500*time.Millisecond, 3*time.Second))
		head.inbox = nil
		head.thaw()
		return w.Run(500 * time.Millisecond)
	}
	found := false
	for seed := uint64(1); seed <= 10; seed++ {
		if err := thaw(seed, mutation.Set{}); err != nil {
			t.Errorf("seed %d: %v, want nil", seed, err)
		}
		found = found || thaw(seed, mutation.Set{NoEpochCheck: true}) != nil
	}
	if !found {
		t.Error("the mutant NoEpochCheck is not found, want a violated invariant")
	}
}

// Calls complete although the head changes. (That each command is applied once is checked by the state machine.)
func TestCallsCompleteDuringAChangeOfTheHead(t *testing.T) {
	eachSeed(1, scenarioHistories, func(seed uint64) {
		w := healthyWorld(t, seed, 4, mutation.Set{})
		completed := 0
		const calls = 40
		for i := range calls {
			m := w.machines[i%4]
			m.call(engine.Input{Command: []byte(fmt.Sprintf("call %d", i))}, func(engine.Result) { completed++ })
			_ = w.Run(20 * time.Millisecond)
			if i == 10 {
				head := w.head()
				w.leave(head, func() {})
			}
		}
		_ = w.Run(3 * time.Second)
		if completed < calls-10 { // those of the member that left end with it
			t.Errorf("seed %d: %d of %d calls have completed, want at least %d", seed, completed, calls, calls-10)
		}
	})
}

// The side of a partition that has more than half of the machines commits, also when it has less than half of the seeds.
func TestLargerSideOfAPartitionCommits(t *testing.T) {
	for _, machines := range []int{4, 5, 6, 7} {
		checkScenario(t, 2500*time.Millisecond, machines, func(w *World) {
			_ = w.Run(2 * time.Second) // until all machines that should vote do
			order := w.random.Perm(len(w.machines))
			var smaller, larger []*machine
			for position, i := range order {
				if position < (machines-1)/2 {
					smaller = append(smaller, w.machines[i])
				} else {
					larger = append(larger, w.machines[i])
				}
			}
			w.partition(smaller, larger, true, true)
			for _, m := range smaller { // their clients are not served
				m.inbox = nil
			}
		})
	}
}

// Without faults a command is acknowledged after three syncs in a row and some hops.
func TestAcknowledgementsOfAHealthyGroupAreFast(t *testing.T) {
	var delays latencySample
	eachSeed(1, scenarioHistories, func(seed uint64) {
		w := healthyWorld(t, seed, 4, mutation.Set{})
		for i := range 100 {
			beganAt := w.now
			command := fmt.Sprint("calm ", i)
			w.randomMachine().call(engine.Input{Command: []byte(command)}, func(result engine.Result) {
				delays.add(w.now - beganAt)
				w.model.acknowledge(w, command, result.Index)
			})
			_ = w.Run(w.between(0, 100*time.Millisecond))
		}
		if err := w.Finish(); err != nil {
			t.Errorf("seed %d: %v, want nil", seed, err)
		}
	})
	delays.check(t, t.Name(), 60*time.Millisecond)
}

// A rolling restart, in which each machine leaves as soon as the one before is back, interrupts commits for moments only.
func TestRollingRestartInterruptsCommitsBriefly(t *testing.T) {
	checkScenario(t, 300*time.Millisecond, 4, func(w *World) {
		for _, m := range w.machines {
			done := false
			w.leave(m, func() {
				w.after(300*time.Millisecond, func() { m.start(false); done = true })
			})
			for !done && w.failure == nil {
				_ = w.Run(10 * time.Millisecond)
			}
			delay, ok := w.awaitAcknowledgement(3 * time.Second)
			if !ok || delay > 800*time.Millisecond {
				w.fail("nothing is committed for %v after %s has left", delay, m.address)
			}
			_ = w.Run(w.between(0, 700*time.Millisecond))
		}
	})
}
