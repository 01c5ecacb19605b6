package simnet

import (
	"errors"
	"fmt"
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/view"
)

// voterState is the state of a voter of the newest view on its disk.
type voterState struct {
	completeEpoch      uint64 // newest epoch in which its log was complete
	hasAllAcknowledged bool
}

// newestView returns the view of the newest epoch that any member has entered on its disk.
func (w *World) newestView() view.View {
	var newest view.View
	for _, m := range w.machines {
		if m.node != nil && !m.node.DiskFailing() && m.node.View().Epoch > newest.Epoch {
			newest = m.node.View()
		}
	}
	return newest
}

// intactDisks returns the members whose disks are not lost, by identity. It reports false while the content of one of them
// is not certain: it fails writes, or power failed during a step.
func (w *World) intactDisks() (map[string]*chain.Node, bool) {
	intact := make(map[string]*chain.Node, len(w.machines))
	for _, m := range w.machines {
		if m.node == nil || m.removed || m.wiped {
			continue
		}
		if m.diskUncertain || m.node.DiskFailing() {
			return nil, false
		}
		intact[m.node.Self().Identity] = m.node
	}
	return intact, true
}

// hasAllAcknowledged reports whether the disk of a member has everything that was acknowledged.
func (w *World) hasAllAcknowledged(node *chain.Node) bool {
	return node.HasDurable(w.model.newestAcknowledged, w.model.committed[w.model.newestAcknowledged])
}

// checkMembership checks after each step that no majority of the newest view's voters can decide a next view whose head
// lacks what was acknowledged. The head is chosen among the promises with the newest complete epoch, so for each voter
// that lacks something, the voters with no newer complete epoch than its own must not be a majority. As this is true of
// every majority, it is true after the loss of any disks that leaves one.
func (w *World) checkMembership() {
	if w.model.newestAcknowledged == 0 || w.Mutation.NoSync {
		return
	}
	intact, certain := w.intactDisks()
	if !certain {
		return
	}
	v := w.newestView()
	voters := make([]voterState, 0, len(v.Voters))
	for _, voter := range v.Voters {
		if node := intact[voter.Identity]; node != nil {
			voters = append(voters, voterState{
				completeEpoch: node.CompleteEpoch(), hasAllAcknowledged: w.hasAllAcknowledged(node),
			})
		}
	}
	for _, incomplete := range voters {
		if incomplete.hasAllAcknowledged {
			continue
		}
		notNewer := 0
		for _, other := range voters {
			if other.completeEpoch <= incomplete.completeEpoch {
				notNewer++
			}
		}
		if notNewer >= v.Majority() {
			w.fail("epoch %d: %d of %d voters can decide a view whose head lacks entry %d",
				v.Epoch, notNewer, len(v.Voters), w.model.newestAcknowledged)
		}
	}
}

// toleratesLosses returns why the loss of that many further disks would not be tolerated at this moment; nil when it would:
// a majority of the voters is left, and so are a member that has everything and one that has entered the view.
func (w *World) toleratesLosses(losses int) error {
	intact, certain := w.intactDisks()
	if !certain {
		return errors.New("the content of a disk is not certain")
	}
	v := w.newestView()
	voters := 0
	for _, voter := range v.Voters {
		if intact[voter.Identity] != nil {
			voters++
		}
	}
	if voters-losses < v.Majority() {
		return fmt.Errorf("epoch %d: %d of %d voters have their disks", v.Epoch, voters, len(v.Voters))
	}
	if complete := w.countComplete(intact); complete < losses+1 {
		return fmt.Errorf("epoch %d: %d disks have everything", v.Epoch, complete)
	}
	entered := 0
	for _, node := range intact {
		if node.Epoch() == v.Epoch {
			entered++
		}
	}
	if entered < losses+1 {
		return fmt.Errorf("epoch %d: %d members have entered it", v.Epoch, entered)
	}
	return nil
}

// countComplete counts the disks that have everything that was acknowledged.
func (w *World) countComplete(intact map[string]*chain.Node) int {
	complete := 0
	for _, node := range intact {
		if w.model.newestAcknowledged == 0 || w.hasAllAcknowledged(node) {
			complete++
		}
	}
	return complete
}

// awaitFaultTolerance runs the world until the loss of FaultTolerance disks would be tolerated, and returns how long that
// took.
func (w *World) awaitFaultTolerance(timeout time.Duration) time.Duration {
	beganAt := w.now
	for w.failure == nil {
		err := w.toleratesLosses(w.FaultTolerance)
		if err == nil {
			break
		}
		if w.now-beganAt >= timeout {
			w.fail("after %v: %v", timeout, err)
			break
		}
		_ = w.Run(10 * time.Millisecond)
	}
	return w.now - beganAt
}
