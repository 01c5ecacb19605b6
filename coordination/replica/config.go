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

// Config sets up a replica.
type Config struct {
	// Self is the member. Its Identity is ignored, because the disk has it.
	Self Member
	// Seeds are transport addresses by which the group is founded or found.
	Seeds []string
	// Bootstrap is true only at the first start of the group: then the seeds are the first view.
	Bootstrap bool
	// FaultTolerance is how many disks may be lost at once.
	FaultTolerance int
	// Directory is where the log is kept; it is created if it is missing. FS replaces it when it is set.
	Directory string
	// FS is the directory of the log, for tests that simulate disks.
	FS wal.FS
	// Transport carries the messages.
	Transport Transport
	// StateMachine is the replicated state, empty at the start.
	StateMachine StateMachine
	// Clock returns the time; only its monotonic reading is used. Nil means time.Now.
	Clock func() time.Time
	// RandomSeed seeds all random choices and must differ at each start; 0 means a seed from the system.
	RandomSeed uint64
	// Timing sets the protocol's timeouts and intervals; the zero value means chain.DefaultTiming.
	Timing chain.Timing
	// CompactBytes is how many bytes of log are written before a snapshot replaces them; 0 means 4 MiB.
	CompactBytes int64
	// RecordEvent takes log events for people: a fixed name, then keys and values. It is called by the loop and must not
	// block. Nil means none.
	RecordEvent func(event string, pairs ...any)
}

// withDefaults checks the configuration, fills in what is zero, and opens the directory.
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
