// Package learned keeps what a life has learned of channels in the folder that lasts, for the next one: limits and waits
// that were told, outages, paces. A life that was killed would else know no limit, and all that it restores would leave
// at once.
//
// What is kept is evidence with an age. It is read by the clock of the same machine; [Current] says what of it still
// counts, and decides so without a clock or a file. Invariants:
//   - nothing is used that is older than the time in which the module forgets a failure, nor anything whose age can't be
//     known since the clock went back (TestOnlyWhatIsFreshCounts);
//   - a file that is torn, garbled, too large or of another form is an error, and changes nothing (TestTornAndGarbledFiles);
//   - whoever saves never waits for the disk, and the folder's limit counts the file twice (TestTheNewestIsWritten).
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

// MostBytes is what the file may have; what is larger is not kept. Room is what the folder needs for it: the old file
// and the next one, while that is written.
const (
	MostBytes = 64 << 10
	Room      = 2 * (MostBytes + 512)
)

const (
	fileName, nextName = "beliefs", "beliefs.next" // as earlier versions named them
	magic              = "rvtb\x00\x01\x00\x00"    // the last bytes are the form's version
	head               = len(magic) + 16           // checksum of what follows it, then when it was saved
)

// Saved is what a life had learned at a time, on the clock of Policy.Step: Unix time in nanoseconds.
type Saved struct {
	At time.Duration
	raventrestle.Learned
}

// Why a file is not used.
var (
	ErrForm  = errors.New("learned: not a file of this form")
	ErrTorn  = errors.New("learned: the file is not whole")
	ErrLarge = fmt.Errorf("learned: over %d bytes", MostBytes)
)

// Current is what of it counts at that time, and whether anything does. Memory is how long the module counts
// failures.
func Current(s Saved, now, memory time.Duration) (raventrestle.Learned, bool) {
	if age := now - s.At; age < 0 || age > memory {
		return raventrestle.Learned{}, false
	}
	return s.Learned, true
}

func encode(s Saved) ([]byte, error) {
	text, err := json.Marshal(s.Learned)
	if err != nil {
		return nil, fmt.Errorf("learned: %w", err)
	}
	if head+len(text) > MostBytes {
		return nil, ErrLarge
	}
	b := make([]byte, head, head+len(text))
	copy(b, magic)
	binary.BigEndian.PutUint64(b[len(magic)+8:], uint64(s.At))
	b = append(b, text...)
	binary.BigEndian.PutUint64(b[len(magic):], xxhash.Sum64(b[len(magic)+8:]))
	return b, nil
}

func decode(b []byte) (Saved, error) {
	switch {
	case len(b) > MostBytes:
		return Saved{}, ErrLarge
	case len(b) < head:
		return Saved{}, ErrTorn
	case string(b[:len(magic)]) != magic:
		return Saved{}, ErrForm
	case binary.BigEndian.Uint64(b[len(magic):]) != xxhash.Sum64(b[len(magic)+8:]):
		return Saved{}, ErrTorn
	}
	s := Saved{At: time.Duration(binary.BigEndian.Uint64(b[len(magic)+8:]))}
	if err := json.Unmarshal(b[head:], &s.Learned); err != nil {
		return Saved{}, fmt.Errorf("%w: %w", ErrForm, err)
	}
	return s, nil
}

// Load reads the folder's file; without one the error is os.ErrNotExist.
func Load(folder string) (Saved, error) {
	path := filepath.Join(folder, fileName)
	info, err := os.Stat(path)
	if err != nil {
		return Saved{}, fmt.Errorf("learned: %w", err)
	}
	if info.Size() > MostBytes {
		return Saved{}, ErrLarge
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return Saved{}, fmt.Errorf("learned: %w", err)
	}
	return decode(b)
}

// Keeper writes what was learned in its own goroutine, the newest where several wait.
type Keeper struct {
	folder string
	log    *slog.Logger
	done   chan struct{}
	mu     sync.Mutex
	ended  bool
	next   chan Saved // closed at the end, under mu
}

// Keep returns a keeper of the folder's file, until it is closed.
func Keep(folder string, log *slog.Logger) *Keeper {
	k := &Keeper{folder: folder, log: log, next: make(chan Saved, 1), done: make(chan struct{})}
	go k.run()
	return k
}

// Save hands what was learned to the keeper without waiting; once it is closed they are dropped.
func (k *Keeper) Save(s Saved) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return
	}
	select {
	case <-k.next: // one that is out of date
	default:
	}
	k.next <- s
}

// Close writes what was saved last and ends the keeper.
func (k *Keeper) Close() {
	k.mu.Lock()
	if !k.ended {
		k.ended = true
		close(k.next)
	}
	k.mu.Unlock()
	<-k.done
}

func (k *Keeper) run() {
	defer close(k.done)
	failing := ""
	for s := range k.next {
		word := ""
		if err := write(k.folder, s); err != nil {
			word = err.Error()
		}
		if word != "" && word != failing {
			k.log.Warn("learned: not kept", "folder", k.folder, "err", word)
		}
		failing = word
	}
}

// write puts the file in the place of the old one, whole or not at all.
func write(folder string, s Saved) error {
	b, err := encode(s)
	if err != nil {
		return err
	}
	next := filepath.Join(folder, nextName)
	if err := os.WriteFile(next, b, 0o600); err != nil {
		return errors.Join(fmt.Errorf("learned: %w", err), os.Remove(next))
	}
	if err := os.Rename(next, filepath.Join(folder, fileName)); err != nil {
		return fmt.Errorf("learned: %w", err)
	}
	return nil
}
