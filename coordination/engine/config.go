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
	// DefaultCompactBytes is the growth of the log, in bytes, after which a snapshot is made. If the newest snapshot
	// is larger, its size is used instead.
	DefaultCompactBytes = 4 << 20
	// DefaultKeepBytes is how many bytes of commands are kept in the log after a snapshot, for members that lack only
	// these.
	DefaultKeepBytes = 256 << 10

	// diskRetryBackoff is the time between two attempts to write to a disk that has failed.
	diskRetryBackoff = 500 * time.Millisecond
)

// ErrOutcomeUnknown means that a command may or may not have been applied, or may be applied later.
var ErrOutcomeUnknown = errors.New("the command may or may not have been applied")

// StateMachine is the replicated state. Its methods are called one at a time, by the goroutine that calls Open, Step
// or Maintain.
//
// An implementation must:
//   - be deterministic: the same commands in the same order give the same state, results and snapshots on every
//     member. It reads no clock, no random numbers, and no map in iteration order;
//   - have no effects outside its state: after a restart it is restored from a snapshot, and the commands after the
//     snapshot are applied again;
//   - not fail: it rejects a command by the result that it returns, and does so on every member alike.
type StateMachine interface {
	// Apply applies the command that was committed at the index and returns its result for the caller that proposed
	// it. Indexes increase, with gaps where a repeated command is not applied again. The implementation may keep the
	// command but must not change it.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the complete state. It is encoded before the next call of Apply.
	Snapshot() []byte
	// Restore replaces the complete state with one that Snapshot returned on this or another member. It is called at a
	// start, and later when a peer has sent a snapshot. After an error the state is not used any more.
	Restore(snapshot []byte) error
}

// Config sets up an engine.
type Config struct {
	Self           view.Member  // Identity is ignored: the one on the disk is used
	Seeds          []string     // transport addresses by which the group is founded or found
	Bootstrap      bool         // on an empty disk, a member among the seeds founds the group
	FaultTolerance int          // how many disks may be lost at once
	FS             wal.FS       // the directory of the log
	StateMachine   StateMachine // must be empty when Open is called
	RandomSeed     uint64       // seed of all random choices; must differ at each start
	Timing         chain.Timing // the zero value means chain.DefaultTiming
	CompactBytes   int64        // 0 means DefaultCompactBytes
	KeepBytes      int          // 0 means DefaultKeepBytes
	SegmentBytes   int64        // 0 means wal.DefaultSegmentBytes
	Mutation       mutation.Set // faults injected by tests
}

// withDefaults replaces sizes of zero by their defaults.
func (c Config) withDefaults() Config {
	if c.CompactBytes <= 0 {
		c.CompactBytes = DefaultCompactBytes
	}
	if c.KeepBytes <= 0 {
		c.KeepBytes = DefaultKeepBytes
	}
	return c
}
