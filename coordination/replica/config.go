package replica

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/wal"
)

// Config configures a replica.
type Config struct {
	// Self describes this member. Its Identity is ignored, because the identity is read from the disk.
	Self Member
	// Seeds are transport addresses: with Bootstrap, those of the founding members; without it, those of members that a
	// new or restarted member contacts to find the group.
	Seeds []string
	// Bootstrap is true only at the first start of the group; the seeds then form the first view.
	Bootstrap bool
	// FaultTolerance is how many disks may be lost at once without losing an acknowledged command.
	FaultTolerance int
	// Directory is the path of the log's directory, which is created if it is missing. It is ignored when FS is set.
	Directory string
	// FS is used in place of Directory by tests that simulate disks.
	FS wal.FS
	// Transport sends messages to other replicas.
	Transport Transport
	// StateMachine is the replicated state machine, which must be in its initial, empty state.
	StateMachine StateMachine
	// Clock returns the time; only its monotonic reading is used. Nil means time.Now.
	Clock func() time.Time
	// RandomSeed seeds all random choices and must differ at each start; 0 means a seed from crypto/rand.
	RandomSeed uint64
	// Timing sets the protocol's timeouts and intervals; the zero value means chain.DefaultTiming.
	Timing chain.Timing
	// CompactBytes is how many bytes are written to the log before it is compacted into a snapshot; 0 means 4 MiB.
	CompactBytes int64
	// RecordEvent logs an event: a fixed name, followed by alternating keys and values. It is called by the loop and must
	// not block. Nil means that events are not logged.
	RecordEvent func(event string, pairs ...any)
}

// withDefaults validates the configuration, sets defaults for zero fields, and opens the directory.
func (c Config) withDefaults() (Config, error) {
	switch {
	case c.Transport == nil:
		return c, errors.New("replica: Config.Transport is missing")
	case c.StateMachine == nil:
		return c, errors.New("replica: Config.StateMachine is missing")
	case c.Self.Address == "":
		return c, errors.New("replica: Config.Self.Address is missing")
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.RecordEvent == nil {
		c.RecordEvent = func(string, ...any) {}
	}
	if c.RandomSeed == 0 {
		var seed [8]byte
		if _, err := rand.Read(seed[:]); err != nil {
			return c, fmt.Errorf("replica: drawing a seed: %w", err)
		}
		c.RandomSeed = binary.BigEndian.Uint64(seed[:])
	}
	if c.FS != nil {
		return c, nil
	}
	if c.Directory == "" {
		return c, errors.New("replica: Config.Directory is missing")
	}
	directory, err := wal.OpenDirectory(c.Directory)
	if err != nil {
		return c, fmt.Errorf("replica: %w", err)
	}
	c.FS = directory
	return c, nil
}
