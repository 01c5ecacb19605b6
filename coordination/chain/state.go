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
	// RecentCommands are the newest commands applied at or before the snapshot, oldest first. The snapshot holds them;
	// the records do not.
	RecentCommands []CommandID
	KnownMembers   []view.Member
}

// SnapshotPoint is the entry up to which, inclusive, the newest snapshot on disk reaches.
type SnapshotPoint struct {
	Index uint64 `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}
