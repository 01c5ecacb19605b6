package simnet

import (
	"testing"
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/internal/mutation"
)

// Bounds on the age of what a member proves.
const (
	calmAge    = 500 * time.Millisecond
	freshAgain = time.Second
	sampling   = 5 * time.Millisecond
)

// In calm times every member, with a vote or without, proves a contact of the last half second.
func TestAgeInCalm(t *testing.T) {
	for _, machines := range []int{1, 3, 4, 5, 7} {
		var ages figures
		eachSeed(1, scenarioSeeds, func(seed uint64) {
			w := NewWorld(Config{Seed: seed, Machines: machines, Seeds: min(machines, 3), FaultTolerance: min(machines/2, 1)})
			_ = w.Run(2 * settling)
			w.clients(w.now+5*time.Second, 5*time.Millisecond, 50*time.Millisecond)
			for range 5 * time.Second / sampling {
				_ = w.Run(sampling)
				for _, m := range w.machines {
					age, known := m.age()
					if !known {
						t.Errorf("seed %d: %s proves nothing", seed, m.address)
					}
					ages.add(age)
				}
			}
			if err := w.Finish(); err != nil {
				t.Error(err)
			}
		})
		t.Logf("%d machines", machines)
		ages.check(t, "age in calm", calmAge)
		if largest := ages.list[len(ages.list)-1]; largest > calmAge {
			t.Errorf("the largest age is %v", largest)
		}
	}
}

// cutOffMember is one play of a member that loses its links for a while.
type cutOffMember struct {
	pick        func(w *World) *machine
	there, back bool // which directions are cut
	others      func(w *World, m *machine, length time.Duration)
	restarts    bool // others do
}

// The members that are cut off.
var cutPicks = map[string]func(w *World) *machine{
	"head":   func(w *World) *machine { return w.head() },
	"middle": func(w *World) *machine { return w.machineAt(w.head().engine.Node().View().Chain[1].Address) },
	"standby": func(w *World) *machine {
		v := w.head().engine.Node().View()
		for _, m := range w.machines {
			if v.ChainIndex(m.last.Self().Identity) < 0 {
				return m
			}
		}
		return nil
	},
}

// restartOthers has all others killed during the cut and started again within a second.
func restartOthers(w *World, m *machine, length time.Duration) {
	w.after(length/4, func() {
		for _, other := range w.others(m) {
			other.kill()
			w.after(w.between(50*time.Millisecond, time.Second), func() { other.start(false) })
		}
	})
}

// freezeIt freezes the member that is cut off for a part of the cut.
func freezeIt(w *World, m *machine, length time.Duration) {
	w.after(length/4, m.freeze)
	w.after(length/2, m.thaw)
}

// A member that is cut off proves nothing from after the cut, however it ends, whatever the others do and whatever
// still comes to it; once the cut is over it proves a contact from after that within a second.
func TestAgeOfCutOffMember(t *testing.T) {
	ways := map[string]cutOffMember{
		"both ways":        {there: true, back: true},
		"is not heard":     {there: true},
		"does not hear":    {back: true},
		"others restart":   {there: true, back: true, others: restartOthers, restarts: true},
		"freezes":          {there: true, back: true, others: freezeIt},
		"freezes, unheard": {there: true, others: freezeIt},
	}
	var all figures
	for who, pick := range cutPicks {
		for name, way := range ways {
			way.pick = pick
			t.Run(who+" "+name, func(t *testing.T) {
				var taken figures
				eachSeed(1, 4*scenarioSeeds, func(seed uint64) { way.play(t, seed, &taken, &all) })
				taken.check(t, "fresh again", freshAgain)
			})
		}
	}
	all.check(t, "fresh again, all together", freshAgain)
}

// unheard is how long a member that still hears the head can place the head's proofs.
func (c cutOffMember) unheard() time.Duration {
	if c.back {
		return 0
	}
	return chain.DefaultTiming().SuspectTimeout
}

// play plays one cut and notes how long after it the member proves a contact from after it.
func (c cutOffMember) play(t *testing.T, seed uint64, taken, all *figures) {
	w := calmWorld(t, seed, 4+int(seed%2), mutation.Set{})
	_ = w.Run(settling) // until the votes have spread
	w.clients(w.now+time.Minute, 5*time.Millisecond, 50*time.Millisecond)
	_ = w.Run(w.between(0, 500*time.Millisecond))
	m := c.pick(w)
	length := w.between(300*time.Millisecond, 8*time.Second)
	if c.restarts {
		length += 2 * time.Second // the others are back before it ends
	}
	began := w.now
	w.cutOff([]*machine{m}, w.machines, c.there, c.back)
	if c.others != nil {
		c.others(w, m, length)
	}
	for w.now-began < length && w.failure == nil {
		_ = w.Run(sampling)
		if m.confirmedAfter(began + c.unheard() + 2*w.MinLinkDelay) {
			t.Errorf("seed %d: cut off at %v, confirmed after it at %v", seed, began, w.now)
			return
		}
	}
	if length > 3*time.Second && !c.restarts {
		c.checkOthers(t, w, m)
	}
	w.joinAll()
	healed := w.now
	for !m.confirmedAfter(healed) && w.now-healed < 5*time.Second && w.failure == nil {
		_ = w.Run(sampling)
	}
	taken.add(w.now - healed)
	all.add(w.now - healed)
	if err := w.Finish(); err != nil {
		t.Error(err)
	}
}

// checkOthers checks that those who are not cut off know that all the time.
func (c cutOffMember) checkOthers(t *testing.T, w *World, m *machine) {
	for _, other := range w.others(m) {
		if age, known := other.age(); !known || age > calmAge {
			t.Errorf("seed %d: %s, not cut off, has age %v (%v)", w.Seed, other.address, age, known)
		}
	}
}

// Over a change of the head the others prove a contact again soon: right away when the head leaves in a planned way.
func TestAgeOverChangeOfHead(t *testing.T) {
	for name, change := range map[string]struct {
		act   func(w *World, head *machine)
		bound time.Duration
	}{
		"head leaves":    {func(w *World, head *machine) { w.leave(head, func() {}) }, calmAge},
		"head is killed": {func(_ *World, head *machine) { head.kill() }, 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var unknown, oldest figures
			eachSeed(1, 4*scenarioSeeds, func(seed uint64) {
				w := calmWorld(t, seed, 4+int(seed%2), mutation.Set{})
				_ = w.Run(settling)
				w.clients(w.now+3*time.Second, 5*time.Millisecond, 50*time.Millisecond)
				_ = w.Run(w.between(0, 500*time.Millisecond))
				head := w.head()
				began := w.now
				change.act(w, head)
				without, ages := watchOthers(w, began+3*time.Second, w.others(head))
				unknown.add(without)
				oldest.add(ages)
				if err := w.Finish(); err != nil {
					t.Error(err)
				}
			})
			unknown.check(t, "longest without a proof", change.bound)
			oldest.check(t, "largest age that is proved", change.bound)
		})
	}
}

// watchOthers returns the longest time that one of the machines is without a proof, and the largest age.
func watchOthers(w *World, until time.Duration, machines []*machine) (unknown, oldest time.Duration) {
	known := map[*machine]time.Duration{}
	for _, m := range machines {
		known[m] = w.now
	}
	for w.now < until && w.failure == nil {
		_ = w.Run(sampling)
		for _, m := range machines {
			age, proved := m.age()
			if proved {
				known[m] = w.now
				oldest = max(oldest, age)
			}
			unknown = max(unknown, w.now-known[m])
		}
	}
	return unknown, oldest
}
