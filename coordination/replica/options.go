package replica

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/engine"
	"raventrestle/coordination/wal"
)

// Config sets up a replica.
type Config struct {
	// Self is the member; its Identity is ignored, because the disk has it.
	Self Member
	// Seeds are transport addresses by which the group is founded or found.
	Seeds []string
	// Bootstrap is true only at the first start of the whole group: then the seeds are the first view.
	Bootstrap bool
	// Faults is how many disks may be lost at once.
	FaultTolerance int
	// Folder is where the log is kept. FS takes its place when it is set.
	Directory string
	FS        wal.FS
	// Transport carries the messages.
	Transport Transport
	// Machine is the replicated state.
	StateMachine StateMachine
	// Clock tells the time; only its monotonic reading is used. Nil means time.Now.
	Clock func() time.Time
	// Random seeds all random choices; 0 means a seed from the system. It must differ at each start.
	RandomSeed uint64
	// Timing holds the intervals; the zero value means chain.DefaultTiming.
	Timing chain.Timing
	// CompactBytes is how much log is written before a snapshot replaces it; 0 means 4 MiB.
	CompactBytes int64
	// Log takes events for people: a fixed name, then keys and values. Nil means none.
	RecordEvent func(event string, pairs ...any)
}

// The kinds of failure of Propose and Barrier.
var (
	// ErrUnclear says that the command may or may not be applied, now or later.
	ErrOutcomeUnknown = engine.ErrOutcomeUnknown
	// ErrUnavailable says that the command was not sent on, or that the barrier was not answered.
	ErrUnavailable = errors.New("no member of the group could take the call")
	// ErrNeeded says that the replica was stopped although the group still needs it: too few others hold everything.
	ErrStillNeeded = errors.New("the member is still needed")
	// ErrStopped says that the replica was stopped.
	ErrStopped = errors.New("the replica is stopped")
)

// OperationError tells at which step and with which peer a call failed.
type OperationError struct {
	Step string
	Peer string // address of the head as this member knows it; empty when it knows none
	Err  error
}

// Error implements error.
func (e *OperationError) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("replica: %s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("replica: %s by %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *OperationError) Unwrap() error { return e.Err }

func (o *Config) complete() error {
	switch {
	case o.Transport == nil:
		return errors.New("replica: Options.Transport is missing")
	case o.StateMachine == nil:
		return errors.New("replica: Options.Machine is missing")
	case o.Self.Address == "":
		return errors.New("replica: Options.Self.Address is missing")
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.RecordEvent == nil {
		o.RecordEvent = func(string, ...any) {}
	}
	if o.RandomSeed == 0 {
		var seed [8]byte
		if _, err := rand.Read(seed[:]); err != nil {
			return fmt.Errorf("replica: drawing a seed: %w", err)
		}
		o.RandomSeed = binary.BigEndian.Uint64(seed[:])
	}
	if o.FS != nil {
		return nil
	}
	if o.Directory == "" {
		return errors.New("replica: Options.Folder is missing")
	}
	folder, err := wal.OpenDirectory(o.Directory)
	if err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	o.FS = folder
	return nil
}
