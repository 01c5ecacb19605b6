package simnet

import (
	"time"

	"raventrestle/coordination/chain"
)

// model is the reference model: what the world has observed of all members and clients, against which each member is
// checked.
type model struct {
	committed          map[uint64]string // command by index, once a member has applied it
	acknowledged       map[string]uint64 // index by command, once its client has the result
	newestAcknowledged uint64            // highest index that was acknowledged
	acknowledgedAt     time.Duration     // time of the newest acknowledgement
	epochs             map[string]uint64 // newest epoch that a member has entered, by identity
	views              map[uint64]string // members and voters by epoch, as the first member entered it
	awaitingHealthy    bool              // a loss of disks waits for a healthy world
	contacts           majorityContacts
}

func newModel() model {
	return model{
		committed: map[uint64]string{}, acknowledged: map[string]uint64{},
		epochs: map[string]uint64{}, views: map[uint64]string{}, contacts: newMajorityContacts(),
	}
}

// checkApplied checks an entry as a machine applies it: all members apply the same command at an index, and at the first
// time FaultTolerance+1 disks have it.
func (r *model) checkApplied(w *World, m *machine, index uint64, command string) {
	known, seen := r.committed[index]
	if seen && known != command {
		w.fail("%s applies %q at %d, another member applied %q", m.address, command, index, known)
		return
	}
	if seen {
		return
	}
	r.committed[index] = command
	if w.Mutation.NoSync {
		return // the records on the disks are not synced
	}
	if replicas := w.replicas(m, index, command); replicas < w.FaultTolerance+1 {
		w.fail("%q at %d is applied with %d replicas", command, index, replicas)
	}
}

// replicas counts the members whose disks have the entry at the index, or had it when they were lost. The member that
// applies it now is one of them.
func (w *World) replicas(applying *machine, index uint64, command string) int {
	identities := map[string]bool{}
	if applying.node != nil && applying.engine == nil { // it is recovering from its disk
		identities[applying.node.Self().Identity] = true
	}
	for _, m := range w.machines {
		for _, node := range append(m.formerNodes[:len(m.formerNodes):len(m.formerNodes)], m.node) {
			if node != nil && node.HasDurable(index, command) {
				identities[node.Self().Identity] = true
			}
		}
	}
	return len(identities)
}

// acknowledge notes that a client has the result of its command.
func (r *model) acknowledge(w *World, command string, index uint64) {
	r.acknowledged[command] = index
	r.newestAcknowledged = max(r.newestAcknowledged, index)
	r.acknowledgedAt = w.now
	r.contacts.noteAcknowledged(w.now, index)
	if r.committed[index] != command {
		w.fail("%q is acknowledged at %d, where %q was committed", command, index, r.committed[index])
	}
}

// checkStarted checks that a member does not restart in an earlier epoch than one that it had entered.
func (r *model) checkStarted(w *World, m *machine) {
	identity, epoch := m.node.Self().Identity, m.node.Epoch()
	if epoch < r.epochs[identity] {
		w.fail("%s restarts in epoch %d after %d", identity, epoch, r.epochs[identity])
	}
}

// checkViewEntered checks that all members enter the same view in an epoch.
func (r *model) checkViewEntered(w *World, node *chain.Node) {
	v := node.View()
	members := ""
	for _, member := range append(v.Chain[:len(v.Chain):len(v.Chain)], v.Voters...) {
		members += member.Identity + " "
	}
	if known, seen := r.views[v.Epoch]; seen && known != members {
		w.fail("%s enters epoch %d as %s, another member as %s", node.Self().Identity, v.Epoch, members, known)
	}
	r.views[v.Epoch] = members
}

// checkInvariants checks all machines after a step: no member returns to an earlier epoch, all enter the same view in an
// epoch, and at most one is the leader.
func (w *World) checkInvariants() {
	var leader *machine
	for _, m := range w.machines {
		if m.engine == nil {
			continue
		}
		node := m.engine.Node()
		identity, epoch := node.Self().Identity, node.Epoch()
		if node.DiskFailing() {
			continue // it may forget the epoch that it enters: it takes part in nothing that must survive
		}
		if epoch < w.model.epochs[identity] {
			w.fail("%s returns from epoch %d to %d", identity, w.model.epochs[identity], epoch)
		}
		if epoch > w.model.epochs[identity] {
			w.model.checkViewEntered(w, node)
		}
		w.model.epochs[identity] = epoch
		if !m.engine.IsLeader(m.localTime()) {
			continue
		}
		if leader != nil {
			w.fail("%s and %s are both leader", leader.address, m.address)
		}
		leader = m
	}
	w.checkMembership()
}
