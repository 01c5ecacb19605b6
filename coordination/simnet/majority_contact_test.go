package simnet

import (
	"testing"
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/internal/mutation"
)

const (
	maxHealthyAge         = 500 * time.Millisecond // of the majority contact of a member without faults
	contactRenewalTimeout = time.Second            // after the end of a partition
	sampleInterval        = 5 * time.Millisecond
)

// Without faults every member, voter or not, has a majority contact of the last half second.
func TestAgeOfMajorityContactWithoutFaults(t *testing.T) {
	for _, machines := range []int{1, 3, 4, 5, 7} {
		var ages latencySample
		eachSeed(1, scenarioHistories, func(seed uint64) {
			w := NewWorld(Config{Seed: seed, Machines: machines, Seeds: min(machines, 3), FaultTolerance: min(machines/2, 1)})
			_ = w.Run(2 * startupDuration)
			w.startClients(w.now+5*time.Second, 5*time.Millisecond, 50*time.Millisecond)
			for range 5 * time.Second / sampleInterval {
				_ = w.Run(sampleInterval)
				for _, m := range w.machines {
					age, known := m.contactAge()
					if !known {
						t.Errorf("seed %d: %s has no majority contact, want one", seed, m.address)
					}
					ages.add(age)
				}
			}
			if err := w.Finish(); err != nil {
				t.Errorf("seed %d: %v, want nil", seed, err)
			}
		})
		t.Logf("%d machines", machines)
		ages.check(t, "age without faults", maxHealthyAge)
		if largest := ages.durations[len(ages.durations)-1]; largest > maxHealthyAge {
			t.Errorf("%d machines: the largest age is %v, want at most %v", machines, largest, maxHealthyAge)
		}
	}
}

// isolation is a scenario in which one member is partitioned from all others for a time.
type isolation struct {
	pick                         func(w *World) *machine
	blockOutgoing, blockIncoming bool                                             // which directions of its links
	meanwhile                    func(w *World, m *machine, length time.Duration) // what else happens; may be nil
	restarts                     bool                                             // the others restart meanwhile
}

// isolatedMembers are the members that are partitioned, by their place in the chain.
var isolatedMembers = map[string]func(w *World) *machine{
	"head":   func(w *World) *machine { return w.head() },
	"middle": func(w *World) *machine { return w.machineAt(w.head().engine.Node().View().Chain[1].Address) },
	"standby": func(w *World) *machine {
		v := w.head().engine.Node().View()
		for _, m := range w.machines {
			if v.ChainIndex(m.node.Self().Identity) < 0 {
				return m
			}
		}
		return nil
	},
}

// restartOthers kills all others during the partition and starts them again within a second.
func restartOthers(w *World, m *machine, length time.Duration) {
	w.after(length/4, func() {
		for _, other := range w.others(m) {
			other.kill()
			w.after(w.between(50*time.Millisecond, time.Second), func() { other.start(false) })
		}
	})
}

// freezeIsolated freezes the partitioned member for a part of the partition.
func freezeIsolated(w *World, m *machine, length time.Duration) {
	w.after(length/4, m.freeze)
	w.after(length/2, m.thaw)
}

// A partitioned member has no majority contact from after the begin of the partition, whatever the others do and whatever
// still arrives at it; within a second after the end of the partition it has one from after that.
func TestAgeOfMajorityContactOfAPartitionedMember(t *testing.T) {
	isolations := map[string]isolation{
		"both ways":               {blockOutgoing: true, blockIncoming: true},
		"outgoing links":          {blockOutgoing: true},
		"incoming links":          {blockIncoming: true},
		"others restart":          {blockOutgoing: true, blockIncoming: true, meanwhile: restartOthers, restarts: true},
		"freezes":                 {blockOutgoing: true, blockIncoming: true, meanwhile: freezeIsolated},
		"freezes, outgoing links": {blockOutgoing: true, meanwhile: freezeIsolated},
	}
	var allDelays latencySample
	for place, pick := range isolatedMembers {
		for name, test := range isolations {
			test.pick = pick
			t.Run(place+" "+name, func(t *testing.T) {
				var delays latencySample
				eachSeed(1, 4*scenarioHistories, func(seed uint64) { test.play(t, seed, &delays, &allDelays) })
				delays.check(t, "renewed after", contactRenewalTimeout)
			})
		}
	}
	allDelays.check(t, "renewed after, all together", contactRenewalTimeout)
}

// oldContactWindow returns for how long after the begin of the partition a member that still receives the head's pings may
// derive contacts from them.
func (i isolation) oldContactWindow() time.Duration {
	if i.blockIncoming {
		return 0
	}
	return chain.DefaultTiming().SuspectTimeout
}

// play plays one partition, and adds how long after its end the member has a majority contact from after that.
func (i isolation) play(t *testing.T, seed uint64, delays, allDelays *latencySample) {
	t.Helper()
	w := healthyWorld(t, seed, 4+int(seed%2), mutation.Set{})
	_ = w.Run(startupDuration) // until all machines that should vote do
	w.startClients(w.now+time.Minute, 5*time.Millisecond, 50*time.Millisecond)
	_ = w.Run(w.between(0, 500*time.Millisecond))
	m := i.pick(w)
	length := w.between(300*time.Millisecond, 8*time.Second)
	if i.restarts {
		length += 2 * time.Second // the others are back before it ends
	}
	beganAt := w.now
	w.partition([]*machine{m}, w.machines, i.blockOutgoing, i.blockIncoming)
	if i.meanwhile != nil {
		i.meanwhile(w, m, length)
	}
	for w.now-beganAt < length && w.failure == nil {
		_ = w.Run(sampleInterval)
		if m.confirmedAfter(beganAt + i.oldContactWindow() + 2*w.MinLinkDelay) {
			t.Errorf("seed %d: partitioned at %v, has a later majority contact at %v, want none", seed, beganAt, w.now)
			return
		}
	}
	if length > 3*time.Second && !i.restarts {
		i.checkOthers(t, w, m)
	}
	w.healLinks()
	healedAt := w.now
	for !m.confirmedAfter(healedAt) && w.now-healedAt < 5*time.Second && w.failure == nil {
		_ = w.Run(sampleInterval)
	}
	delays.add(w.now - healedAt)
	allDelays.add(w.now - healedAt)
	if err := w.Finish(); err != nil {
		t.Errorf("seed %d: %v, want nil", seed, err)
	}
}

// checkOthers checks that the majority contacts of all others are fresh.
func (i isolation) checkOthers(t *testing.T, w *World, m *machine) {
	t.Helper()
	for _, other := range w.others(m) {
		if age, known := other.contactAge(); !known || age > maxHealthyAge {
			t.Errorf("seed %d: %s, not partitioned, has a majority contact of age %v (%v), want at most %v",
				w.Seed, other.address, age, known, maxHealthyAge)
		}
	}
}

// During a change of the head the other members soon have a majority contact again: at once when the head leaves in the
// planned way.
func TestAgeOfMajorityContactDuringAChangeOfTheHead(t *testing.T) {
	for name, change := range map[string]struct {
		act   func(w *World, head *machine)
		bound time.Duration
	}{
		"head leaves":    {func(w *World, head *machine) { w.leave(head, func() {}) }, maxHealthyAge},
		"head is killed": {func(_ *World, head *machine) { head.kill() }, 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var gaps, ages latencySample
			eachSeed(1, 4*scenarioHistories, func(seed uint64) {
				w := healthyWorld(t, seed, 4+int(seed%2), mutation.Set{})
				_ = w.Run(startupDuration)
				w.startClients(w.now+3*time.Second, 5*time.Millisecond, 50*time.Millisecond)
				_ = w.Run(w.between(0, 500*time.Millisecond))
				head := w.head()
				beganAt := w.now
				change.act(w, head)
				gap, age := observeContacts(w, beganAt+3*time.Second, w.others(head))
				gaps.add(gap)
				ages.add(age)
				if err := w.Finish(); err != nil {
					t.Errorf("seed %d: %v, want nil", seed, err)
				}
			})
			gaps.check(t, "longest without a majority contact", change.bound)
			ages.check(t, "largest age of a majority contact", change.bound)
		})
	}
}

// observeContacts returns the longest time for which one of the machines has no majority contact, and the largest age of
// one.
func observeContacts(w *World, until time.Duration, machines []*machine) (longestGap, maxAge time.Duration) {
	lastKnownAt := map[*machine]time.Duration{}
	for _, m := range machines {
		lastKnownAt[m] = w.now
	}
	for w.now < until && w.failure == nil {
		_ = w.Run(sampleInterval)
		for _, m := range machines {
			age, known := m.contactAge()
			if known {
				lastKnownAt[m] = w.now
				maxAge = max(maxAge, age)
			}
			longestGap = max(longestGap, w.now-lastKnownAt[m])
		}
	}
	return longestGap, maxAge
}
