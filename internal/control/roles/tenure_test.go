package roles

import (
	"math/rand/v2"
	"testing"
	"time"

	"raventrestle/coordination/replica"
)

const lease = 3 * time.Second

var begin = time.Unix(1000, 0)

func leading(epoch uint64, since, previous, until time.Time) replica.Status {
	return replica.Status{
		View: replica.View{Epoch: epoch}, IsLeader: true,
		LeaderSince: since, PreviousLeaseExpiry: previous, LeaseExpiry: until,
	}
}

func TestFirstHolderActsAtOnce(t *testing.T) {
	turn := NewLeadership(lease, begin).Step(begin, leading(foundingEpoch, begin, time.Time{}, begin.Add(time.Second)))
	if !turn.MayAct || turn.IdleFor != 0 {
		t.Errorf("%+v", turn)
	}
}

// begunLongAgo is a tenure of a process that can't have acted within a lease.
func begunLongAgo() *Leadership { return NewLeadership(lease, begin.Add(-time.Hour)) }

func TestNextHolderWaitsForTheFormerLeaseAndAPause(t *testing.T) {
	tenure := begunLongAgo()
	previous := begin.Add(700 * time.Millisecond)
	for wait := time.Duration(0); wait < 5*time.Second; wait += 100 * time.Millisecond {
		now := begin.Add(wait)
		turn := tenure.Step(now, leading(2, begin, previous, now.Add(time.Second)))
		if want := !now.Before(previous.Add(lease / handoverPart)); turn.MayAct != want {
			t.Fatalf("after %v: acts %v", wait, turn.MayAct)
		}
		if turn.MayAct && turn.IdleFor < lease/handoverPart {
			t.Errorf("after %v: quiet %v", wait, turn.IdleFor)
		}
	}
}

func TestRestartedHolderWaitsForAWholeLease(t *testing.T) {
	tenure := NewLeadership(lease, begin)
	for wait := time.Duration(0); wait < 5*time.Second; wait += 100 * time.Millisecond {
		now := begin.Add(wait)
		turn := tenure.Step(now, leading(2, begin, begin, now.Add(time.Second)))
		if want := !now.Before(begin.Add(lease)); turn.MayAct != want {
			t.Fatalf("after %v: acts %v", wait, turn.MayAct)
		}
	}
}

func TestHolderGoesOnInTheNextEpoch(t *testing.T) {
	tenure := NewLeadership(lease, begin)
	tenure.Step(begin, leading(foundingEpoch, begin, time.Time{}, begin.Add(time.Second)))
	later := begin.Add(500 * time.Millisecond)
	if turn := tenure.Step(later, leading(2, later, begin.Add(time.Second), later.Add(time.Second))); !turn.MayAct {
		t.Error("it waits for itself")
	}
	skipped := later.Add(time.Second)
	if turn := tenure.Step(skipped, leading(4, skipped, skipped, skipped.Add(time.Second))); turn.MayAct {
		t.Error("another may have held the epoch between")
	}
}

func TestNobodyActsWithoutALease(t *testing.T) {
	tenure := NewLeadership(lease, begin)
	status := leading(foundingEpoch, begin, time.Time{}, begin)
	if turn := tenure.Step(begin, status); turn.MayAct || turn.Leads {
		t.Errorf("lease over: %+v", turn)
	}
	status.LeaseExpiry, status.IsLeader = begin.Add(time.Second), false
	if turn := tenure.Step(begin, status); turn.MayAct || turn.Leads {
		t.Errorf("not the leader: %+v", turn)
	}
}

// TestHoldersNeverTakeTurnsWithinALease plays successions of leaders, each with a lease of its own, which some give up
// at once. It checks the pause between the acts of two different ones, and that none acts before and after another
// within a lease.
func TestHoldersNeverTakeTurnsWithinALease(t *testing.T) {
	const seeds = 500
	turns := 0
	for seed := range uint64(seeds) {
		turns += playSuccession(t, rand.New(rand.NewPCG(seed, 1)))
	}
	t.Logf("%d changes of holder", turns)
	if turns < seeds {
		t.Error("the role hardly ever changes")
	}
}

func playSuccession(t *testing.T, random *rand.Rand) (turns int) {
	t.Helper()
	tenures := []*Leadership{begunLongAgo(), begunLongAgo(), begunLongAgo()}
	now, previous := begin, time.Time{}
	lastActor, lastActed := -1, time.Time{}
	acted := make([]time.Time, len(tenures)) // by whom when, before another one acted
	epoch := uint64(0)
	for range 12 {
		epoch += 1 + random.Uint64N(2)
		if epoch == 2 && lastActor < 0 {
			epoch = 3 // an epoch that nobody led
		}
		leader := random.IntN(len(tenures))
		since := now
		end := now.Add(time.Duration(random.IntN(4000)) * time.Millisecond)
		until := now
		for now.Before(end) {
			until = now.Add(800 * time.Millisecond)
			turn := tenures[leader].Step(now, leading(epoch, since, previous, until))
			if turn.MayAct && lastActor >= 0 && lastActor != leader {
				turns++
				if now.Sub(lastActed) < lease/handoverPart {
					t.Fatalf("%d acts %v after %d", leader, now.Sub(lastActed), lastActor)
				}
				if !acted[leader].IsZero() && now.Sub(acted[leader]) < lease {
					t.Fatalf("%d acts %v after its last act, %d between", leader, now.Sub(acted[leader]), lastActor)
				}
			}
			if turn.MayAct {
				lastActor, lastActed, acted[leader] = leader, now, now
			}
			now = now.Add(50 * time.Millisecond)
		}
		previous = until
		if random.IntN(2) == 0 { // this leader has given its lease up
			previous = now
		}
	}
	return turns
}
