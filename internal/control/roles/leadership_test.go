package roles

import (
	"math/rand/v2"
	"testing"
	"time"

	"raventrestle/coordination/replica"
)

const lease = 3 * time.Second

var begin = time.Unix(1000, 0)

func leaderStatus(epoch uint64, since, previous, until time.Time) replica.Status {
	return replica.Status{
		View: replica.View{Epoch: epoch}, IsLeader: true,
		LeaderSince: since, PreviousLeaseExpiry: previous, LeaseExpiry: until,
	}
}

func TestFirstLeaderActsAtOnce(t *testing.T) {
	out := NewLeadership(lease, begin).Step(begin, leaderStatus(initialEpoch, begin, time.Time{}, begin.Add(time.Second)))
	if !out.MayAct || out.IdleFor != 0 {
		t.Errorf("output is %+v, want that it may act and was idle for 0", out)
	}
}

// newLongRunning returns the Leadership of a process that started an hour before begin, and has therefore not acted within
// the last lease.
func newLongRunning() *Leadership { return NewLeadership(lease, begin.Add(-time.Hour)) }

func TestNextLeaderWaitsForTheFormerLeaseAndTheHandoverDelay(t *testing.T) {
	leadership := newLongRunning()
	previous := begin.Add(700 * time.Millisecond)
	for wait := time.Duration(0); wait < 5*time.Second; wait += 100 * time.Millisecond {
		now := begin.Add(wait)
		out := leadership.Step(now, leaderStatus(2, begin, previous, now.Add(time.Second)))
		if want := !now.Before(previous.Add(lease / handoverDivisor)); out.MayAct != want {
			t.Fatalf("after %v: may act %t, want %t", wait, out.MayAct, want)
		}
		if out.MayAct && out.IdleFor < lease/handoverDivisor {
			t.Errorf("after %v: idle for %v, want %v or more", wait, out.IdleFor, lease/handoverDivisor)
		}
	}
}

func TestRestartedLeaderWaitsForACompleteLease(t *testing.T) {
	leadership := NewLeadership(lease, begin)
	for wait := time.Duration(0); wait < 5*time.Second; wait += 100 * time.Millisecond {
		now := begin.Add(wait)
		out := leadership.Step(now, leaderStatus(2, begin, begin, now.Add(time.Second)))
		if want := !now.Before(begin.Add(lease)); out.MayAct != want {
			t.Fatalf("after %v: may act %t, want %t", wait, out.MayAct, want)
		}
	}
}

func TestLeaderContinuesInTheNextEpoch(t *testing.T) {
	leadership := NewLeadership(lease, begin)
	leadership.Step(begin, leaderStatus(initialEpoch, begin, time.Time{}, begin.Add(time.Second)))
	later := begin.Add(500 * time.Millisecond)
	if out := leadership.Step(later, leaderStatus(2, later, begin.Add(time.Second), later.Add(time.Second))); !out.MayAct {
		t.Errorf("in the next epoch: %+v, want that it may act at once", out)
	}
	skipped := later.Add(time.Second)
	if out := leadership.Step(skipped, leaderStatus(4, skipped, skipped, skipped.Add(time.Second))); out.MayAct {
		t.Errorf("after an epoch that another may have led: %+v, want that it waits", out)
	}
}

func TestNoInstanceActsWithoutALease(t *testing.T) {
	leadership := NewLeadership(lease, begin)
	status := leaderStatus(initialEpoch, begin, time.Time{}, begin)
	if out := leadership.Step(begin, status); out.MayAct || out.Leads {
		t.Errorf("with an expired lease: %+v, want that it neither leads nor acts", out)
	}
	status.LeaseExpiry, status.IsLeader = begin.Add(time.Second), false
	if out := leadership.Step(begin, status); out.MayAct || out.Leads {
		t.Errorf("without being the head: %+v, want that it neither leads nor acts", out)
	}
}

// TestLeadersNeverAlternateInOneLease simulates sequences of leaders, some of which release their lease at once. It checks
// the handover delay between two leaders, and that no instance acts before and after another within one lease.
func TestLeadersNeverAlternateInOneLease(t *testing.T) {
	const seeds = 500
	leaderChanges := 0
	for seed := range uint64(seeds) {
		leaderChanges += runLeaderSequence(t, rand.New(rand.NewPCG(seed, 1)))
	}
	t.Logf("%d leader changes", leaderChanges)
	if leaderChanges < seeds {
		t.Errorf("%d leader changes in %d sequences, want at least one per sequence", leaderChanges, seeds)
	}
}

func runLeaderSequence(t *testing.T, random *rand.Rand) (leaderChanges int) {
	t.Helper()
	instances := []*Leadership{newLongRunning(), newLongRunning(), newLongRunning()}
	now, previous := begin, time.Time{}
	lastActor, lastActed := -1, time.Time{}
	lastActs := make([]time.Time, len(instances)) // time of each instance's last act
	epoch := uint64(0)
	for range 12 {
		epoch += 1 + random.Uint64N(2)
		if epoch == 2 && lastActor < 0 {
			epoch = 3 // nobody led in the skipped epoch
		}
		leader := random.IntN(len(instances))
		since := now
		end := now.Add(time.Duration(random.IntN(4000)) * time.Millisecond)
		until := now
		for now.Before(end) {
			until = now.Add(800 * time.Millisecond)
			out := instances[leader].Step(now, leaderStatus(epoch, since, previous, until))
			if out.MayAct && lastActor >= 0 && lastActor != leader {
				leaderChanges++
				if now.Sub(lastActed) < lease/handoverDivisor {
					t.Fatalf("instance %d acts %v after instance %d, want %v or more",
						leader, now.Sub(lastActed), lastActor, lease/handoverDivisor)
				}
				if !lastActs[leader].IsZero() && now.Sub(lastActs[leader]) < lease {
					t.Fatalf("instance %d acts %v after its last act, with instance %d in between, want %v or more",
						leader, now.Sub(lastActs[leader]), lastActor, lease)
				}
			}
			if out.MayAct {
				lastActor, lastActed, lastActs[leader] = leader, now, now
			}
			now = now.Add(50 * time.Millisecond)
		}
		previous = until
		if random.IntN(2) == 0 { // this leader releases its lease at once
			previous = now
		}
	}
	return leaderChanges
}
