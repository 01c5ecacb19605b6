// Package learned stores what a process has learned about its routes, such as reported limits and waits, outages and
// send rates, in the state directory, for the next process of the same courier. Without it, a courier that was killed
// would start without any limits and send all its restored messages at once.
//
// A snapshot has the time at which it was saved, by the clock of the same machine. [Fresh] decides whether it can still
// be used; it reads neither a clock nor a file. Invariants:
//   - a snapshot is not used if it is older than the time after which the decision module forgets a failure, or if its age
//     is unknown because the clock was set back (TestOnlyFreshSnapshotsAreUsed);
//   - a file that is truncated, corrupt, too large or of another format is an error and changes nothing
//     (TestTruncatedAndCorruptFilesAreErrors);
//   - saving never waits for the disk, and the disk space reserved for it covers two files (TestLatestSnapshotIsWritten).
package learned

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"raventrestle"
)

// MaxFileBytes is the maximum size of the file; a larger snapshot is not saved. MaxDiskBytes is the disk space that it
// needs: while a snapshot is written, the old and the new file exist.
const (
	MaxFileBytes = 64 << 10
	MaxDiskBytes = 2 * (MaxFileBytes + 512)
)

const (
	fileName, tempName = "beliefs", "beliefs.next" // the names that earlier versions use
	magic              = "rvtb\x00\x01\x00\x00"    // ends with the version of the format
	headerBytes        = len(magic) + 16           // magic, checksum of the rest, time of saving
)

// Snapshot is what a process had learned when it was saved.
type Snapshot struct {
	SavedAt time.Duration // since the Unix epoch, like the time that Policy.Step gets
	raventrestle.Learned
}

// Errors of a file that can't be used.
var (
	ErrFormat   = errors.New("learned: the file has an unknown format")
	ErrCorrupt  = errors.New("learned: the file is truncated or its checksum is wrong")
	ErrTooLarge = fmt.Errorf("learned: the file is larger than %d bytes", MaxFileBytes)
)

// Fresh returns what the snapshot contains, and true, if the snapshot is at most memory old. The argument memory is how
// long the decision module remembers failures.
func Fresh(s Snapshot, now, memory time.Duration) (raventrestle.Learned, bool) {
	if age := now - s.SavedAt; age < 0 || age > memory {
		return raventrestle.Learned{}, false
	}
	return s.Learned, true
}

func encode(s Snapshot) ([]byte, error) {
	text, err := json.Marshal(s.Learned)
	if err != nil {
		return nil, fmt.Errorf("learned: %w", err)
	}
	if headerBytes+len(text) > MaxFileBytes {
		return nil, ErrTooLarge
	}
	b := make([]byte, headerBytes, headerBytes+len(text))
	copy(b, magic)
	binary.BigEndian.PutUint64(b[len(magic)+8:], uint64(s.SavedAt))
	b = append(b, text...)
	binary.BigEndian.PutUint64(b[len(magic):], xxhash.Sum64(b[len(magic)+8:]))
	return b, nil
}

func decode(b []byte) (Snapshot, error) {
	switch {
	case len(b) > MaxFileBytes:
		return Snapshot{}, ErrTooLarge
	case len(b) < headerBytes:
		return Snapshot{}, ErrCorrupt
	case string(b[:len(magic)]) != magic:
		return Snapshot{}, ErrFormat
	case binary.BigEndian.Uint64(b[len(magic):]) != xxhash.Sum64(b[len(magic)+8:]):
		return Snapshot{}, ErrCorrupt
	}
	s := Snapshot{SavedAt: time.Duration(binary.BigEndian.Uint64(b[len(magic)+8:]))}
	if err := json.Unmarshal(b[headerBytes:], &s.Learned); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	return s, nil
}

// Load reads the snapshot in the directory. If there is no file, the error is os.ErrNotExist.
func Load(dir string) (Snapshot, error) {
	path := filepath.Join(dir, fileName)
	info, err := os.Stat(path)
	if err != nil {
		return Snapshot{}, fmt.Errorf("learned: %w", err)
	}
	if info.Size() > MaxFileBytes {
		return Snapshot{}, ErrTooLarge
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return Snapshot{}, fmt.Errorf("learned: %w", err)
	}
	return decode(b)
}

// Writer writes snapshots in its own goroutine. If several are waiting, it writes only the latest.
type Writer struct {
	dir     string
	log     *slog.Logger
	done    chan struct{}
	mu      sync.Mutex
	closed  bool
	pending chan Snapshot // closed by Close, under mu
}

// NewWriter starts a writer of the file in the directory. It runs until Close.
func NewWriter(dir string, log *slog.Logger) *Writer {
	k := &Writer{dir: dir, log: log, pending: make(chan Snapshot, 1), done: make(chan struct{})}
	go k.run()
	return k
}

// Save passes a snapshot to the writer without waiting. After Close, snapshots are dropped.
func (k *Writer) Save(s Snapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return
	}
	select {
	case <-k.pending: // an older snapshot
	default:
	}
	k.pending <- s
}

// Close writes the latest snapshot and stops the writer.
func (k *Writer) Close() {
	k.mu.Lock()
	if !k.closed {
		k.closed = true
		close(k.pending)
	}
	k.mu.Unlock()
	<-k.done
}

func (k *Writer) run() {
	defer close(k.done)
	lastMessage := ""
	for s := range k.pending {
		message := ""
		if err := writeFile(k.dir, s); err != nil {
			message = err.Error()
		}
		if message != "" && message != lastMessage {
			k.log.Warn("learned: snapshot not written", "folder", k.dir, "err", message)
		}
		lastMessage = message
	}
}

// writeFile replaces the old file atomically.
func writeFile(dir string, s Snapshot) error {
	b, err := encode(s)
	if err != nil {
		return err
	}
	temp := filepath.Join(dir, tempName)
	if err := os.WriteFile(temp, b, 0o600); err != nil {
		return errors.Join(fmt.Errorf("learned: %w", err), os.Remove(temp))
	}
	if err := os.Rename(temp, filepath.Join(dir, fileName)); err != nil {
		return fmt.Errorf("learned: %w", err)
	}
	return nil
}
