package engine

import (
	"errors"
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/internal/mutation"
	"raventrestle/coordination/view"
	"raventrestle/coordination/wal"
)

const (
	// DefaultCompactBytes is after how many bytes of log a snapshot is made, unless the snapshot itself is larger.
	DefaultCompactBytes = 4 << 20
	// DefaultKeepBytes is how many bytes of commands a snapshot leaves in the log, for members that lack only these.
	DefaultKeepBytes = 256 << 10

	// diskRetryBackoff is the time between two attempts to write to a disk that has failed.
	diskRetryBackoff = 500 * time.Millisecond
)

// ErrOutcomeUnknown means that a command may or may not have been applied, or may be applied later.
var ErrOutcomeUnknown = errors.New("the command may or may not have been applied")

// StateMachine is the replicated state. Its methods are called by whoever calls Open, Step and Maintain, one at a time.
//
// An implementation promises:
//   - to be deterministic: the same commands in the same order give the same state, results and snapshots on every
//     member. It reads no clock, no random numbers, and no map in iteration order;
//   - to have no effects outside its state: after a restart it is restored from a snapshot, and the commands that follow
//     are applied again;
//   - not to fail: a command that it rejects is rejected by its result, on every member alike.
type StateMachine interface {
	// Apply applies the command that was committed at the index and returns its result for the caller that proposed
	// it. Indexes rise, with gaps where a command was repeated and is not applied again. The command may be kept, but
	// not changed.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the complete state. It is encoded before the next call of Apply.
	Snapshot() []byte
	// Restore replaces the complete state by one that Snapshot returned, on this member or on another one. It is
	// called at a start, and while running when a peer has sent a snapshot. After an error the state isn't used.
	Restore(snapshot []byte) error
}

// Config sets up an engine.
type Config struct {
	Self           view.Member  // Identity is ignored: the one on the disk counts
	Seeds          []string     // transport addresses by which the group is founded or found
	Bootstrap      bool         // on an empty disk, a member among the seeds founds the group
	FaultTolerance int          // how many disks may be lost at once
	FS             wal.FS       // the directory of the log
	StateMachine   StateMachine // the replicated state, empty at the start
	RandomSeed     uint64       // seed of all random choices; must differ at each start
	Timing         chain.Timing // the zero value means chain.DefaultTiming
	CompactBytes   int64        // 0 means DefaultCompactBytes
	KeepBytes      int          // 0 means DefaultKeepBytes
	SegmentBytes   int64        // 0 means wal.DefaultSegmentBytes
	Mutation       mutation.Set // faults injected by tests
}

// withDefaults fills in what is zero.
func (c Config) withDefaults() Config {
	if c.CompactBytes <= 0 {
		c.CompactBytes = DefaultCompactBytes
	}
	if c.KeepBytes <= 0 {
		c.KeepBytes = DefaultKeepBytes
	}
	return c
}
