package chain

import (
	"raventrestle/coordination/view"
)

// State is what a member keeps on disk. The zero State with Self set is that of a learner that searches for the group.
type State struct {
	Self          view.Member
	View          view.View
	Acceptor      view.Acceptor
	CompleteEpoch uint64 // newest epoch in whose chain the log was complete
	CommitIndex   uint64 // newest entry known to be committed; may lag behind
	BaseIndex     uint64 // index of the entry before Entries
	BaseEpoch     uint64 // epoch of the entry before Entries
	Entries       []Entry
	Snapshot      SnapshotPoint
	// RecentCommands are the newest commands applied at or before the snapshot, oldest first. They are stored in the
	// snapshot, not in the records.
	RecentCommands []CommandID
	KnownMembers   []view.Member
}

// SnapshotPoint identifies the last entry that the newest snapshot on disk includes.
type SnapshotPoint struct {
	Index uint64 `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}
