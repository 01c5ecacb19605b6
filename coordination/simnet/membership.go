package simnet

import (
	"fmt"
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/view"
)

// standing is one voter of the newest view as its disk has it.
type standing struct {
	active uint64 // newest epoch in whose chain its log was whole
	holds  bool   // everything that was acknowledged
}

// newestView returns the view of the latest epoch that any member has entered on its disk.
func (w *World) newestView() view.View {
	var newest view.View
	for _, m := range w.machines {
		if m.last != nil && !m.last.DiskFailing() && m.last.View().Epoch > newest.Epoch {
			newest = m.last.View()
		}
	}
	return newest
}

// disks returns the members whose disks are there, by identity. It tells false while what stands on one of them is not
// known for sure: its disk refuses, or power failed in the midst of a step.
func (w *World) disks() (map[string]*chain.Node, bool) {
	there := make(map[string]*chain.Node, len(w.machines))
	for _, m := range w.machines {
		if m.last == nil || m.removed || m.wiped {
			continue
		}
		if m.unsure || m.last.DiskFailing() {
			return nil, false
		}
		there[m.last.Self().Identity] = m.last
	}
	return there, true
}

// holdsAll tells whether a disk has everything that was acknowledged.
func (w *World) holdsAll(node *chain.Node) bool {
	return node.HasDurable(w.ledger.newest, w.ledger.committed[w.ledger.newest])
}

// checkMembership states after each step that no majority of the newest view's voters can decide a next view whose head
// lacks what was acknowledged. The head is chosen among the promises with the newest active epoch. So whoever lacks
// something must be outnumbered: those that would let it win must not be a majority. As this holds of every majority, it
// holds after the loss of any disks that leaves one.
func (w *World) checkMembership() {
	if w.ledger.newest == 0 || w.Mutation.NoSync {
		return
	}
	there, sure := w.disks()
	if !sure {
		return
	}
	v := w.newestView()
	standings := make([]standing, 0, len(v.Voters))
	for _, voter := range v.Voters {
		if node := there[voter.Identity]; node != nil {
			standings = append(standings, standing{active: node.CompleteEpoch(), holds: w.holdsAll(node)})
		}
	}
	for _, lacking := range standings {
		if lacking.holds {
			continue
		}
		outvoted := 0
		for _, other := range standings {
			if other.active <= lacking.active {
				outvoted++
			}
		}
		if outvoted >= v.Majority() {
			w.fail("epoch %d: %d of %d voters can decide a view whose head lacks entry %d",
				v.Epoch, outvoted, len(v.Voters), w.ledger.newest)
		}
	}
}

// bears tells why the loss of that many further disks would not be borne at this moment; nil when it would: a majority of
// the voters is left, and so is one that holds everything, and one that has entered the view and can tell it.
func (w *World) bears(losses int) error {
	there, sure := w.disks()
	if !sure {
		return fmt.Errorf("what stands on a disk is not known")
	}
	v := w.newestView()
	voters := 0
	for _, voter := range v.Voters {
		if there[voter.Identity] != nil {
			voters++
		}
	}
	if voters-losses < v.Majority() {
		return fmt.Errorf("epoch %d: %d of %d voters have their disks", v.Epoch, voters, len(v.Voters))
	}
	if copies := w.copiesThere(there); copies < losses+1 {
		return fmt.Errorf("epoch %d: %d disks hold everything", v.Epoch, copies)
	}
	entered := 0
	for _, node := range there {
		if node.Epoch() == v.Epoch {
			entered++
		}
	}
	if entered < losses+1 {
		return fmt.Errorf("epoch %d: %d members have entered it", v.Epoch, entered)
	}
	return nil
}

func (w *World) copiesThere(there map[string]*chain.Node) int {
	copies := 0
	for _, node := range there {
		if w.ledger.newest == 0 || w.holdsAll(node) {
			copies++
		}
	}
	return copies
}

// untilBorne plays until the loss of as many disks as must be borne would be, and returns how long that took.
func (w *World) untilBorne(bound time.Duration) time.Duration {
	began := w.now
	for w.failure == nil {
		err := w.bears(w.FaultTolerance)
		if err == nil {
			break
		}
		if w.now-began >= bound {
			w.fail("after %v: %v", bound, err)
			break
		}
		_ = w.Run(10 * time.Millisecond)
	}
	return w.now - began
}
