package chain

// Output is what a step asks of the node's owner. The records must be synced to disk before any of the messages is
// sent and before Node.Persisted is called. If that fails, the messages are dropped and Node.PersistFailed is called.
type Output struct {
	Records         [][]byte         // to append to the log on disk
	InstallSnapshot *SnapshotInstall // replaces log and snapshot on disk; Records is empty then
	Messages        []Envelope
}

// SnapshotInstall is a snapshot received from another member.
type SnapshotInstall struct {
	Snapshot []byte   // to write to disk unchanged
	Records  [][]byte // the complete state to store with it
}

// Envelope is an outgoing message with its destination.
type Envelope struct {
	Address string // of the destination's transport
	Message Message
	// AttachSnapshot asks the owner to put the newest snapshot on disk into Message.Append.Snapshot.
	AttachSnapshot bool
}
