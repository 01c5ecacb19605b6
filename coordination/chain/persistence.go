package chain

import (
	"time"

	"raventrestle/coordination/view"
)

// Invariants between node and disk:
//
//   - persisted is the state on disk. It follows durableState only when the owner confirms the sync (Persisted).
//   - After a failed write the node returns to persisted, discards all later changes, and accepts nothing that must be
//     synced until the owner has written the complete state again (DiskRecovered).
//   - A checkpoint keeps every entry after the applied index.

// durableState is the part of the state that is on disk once the step's records are synced.
type durableState struct {
	self          view.Member
	view          view.View
	acceptor      view.Acceptor
	completeEpoch uint64 // newest epoch in whose chain the log was complete
	commitIndex   uint64
	snapshot      SnapshotPoint
	log           memoryLog
	knownMembers  []view.Member
}

// appliedState is the applied state that a snapshot from another member replaces, kept until the snapshot is on disk.
type appliedState struct {
	appliedIndex uint64
	recent       recentCommands
}

// State returns the durable state, with the entries that a checkpoint must keep. RecentCommands is left empty.
func (n *Node) State() State {
	d := n.durableState
	return State{
		Self: d.self, View: d.view, Acceptor: d.acceptor, CompleteEpoch: d.completeEpoch, CommitIndex: d.commitIndex,
		BaseIndex: d.log.baseIndex, BaseEpoch: d.log.baseEpoch, Entries: d.log.entries, Snapshot: d.snapshot,
		KnownMembers: d.knownMembers,
	}
}

// Persisted confirms that everything that the outputs so far asked for is on disk.
func (n *Node) Persisted() { n.persisted, n.beforeInstall = n.durableState, nil }

// PersistFailed reports that the records of the outputs since the last Persisted could not be written. The node
// returns to the state on disk and accepts nothing that must be synced until DiskRecovered is called.
func (n *Node) PersistFailed(now time.Duration) {
	n.durableState = n.persisted
	if n.beforeInstall != nil {
		n.appliedIndex, n.recent, n.beforeInstall = n.beforeInstall.appliedIndex, n.beforeInstall.recent, nil
	}
	n.diskFailing = true
	n.resetVolatile(now)
}

// DiskFailing reports whether the disk rejects writes.
func (n *Node) DiskFailing() bool { return n.diskFailing }

// DiskRecovered reports that the disk accepts writes again and that Checkpointed was called for the complete state.
func (n *Node) DiskRecovered(now time.Duration) {
	n.diskFailing = false
	n.resetLastHeard(now)
	n.resetVolatile(now)
}

// Checkpoint returns the state to write together with a snapshot of the applied state. It keeps the newest entries, up
// to keepBytes bytes of commands, for members that lack only a few.
func (n *Node) Checkpoint(keepBytes int) State {
	base, bytes := n.appliedIndex, 0
	for base > n.log.baseIndex {
		bytes += len(n.log.entries[base-n.log.baseIndex-1].Command)
		if bytes > keepBytes {
			break
		}
		base--
	}
	state := n.State()
	compacted := n.log
	compacted.compact(base)
	state.BaseIndex, state.BaseEpoch, state.Entries = compacted.baseIndex, compacted.baseEpoch, compacted.entries
	state.Snapshot, _ = n.Applied()
	return state
}

// Checkpointed confirms that the state that Checkpoint returned is on disk, together with the snapshot.
func (n *Node) Checkpointed(state State) {
	n.log = memoryLog{baseIndex: state.BaseIndex, baseEpoch: state.BaseEpoch, entries: state.Entries}
	n.snapshot = state.Snapshot
	n.unsavedProgress = false
	n.persisted = n.durableState
}

// SetSnapshotSize sets the size in bytes of the newest snapshot on disk.
func (n *Node) SetSnapshotSize(bytes int) { n.snapshotBytes = bytes }
