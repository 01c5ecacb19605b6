package store

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"raventrestle/internal/fleet/facts"
)

// Snapshot is the state for the next incarnation on the same machine.
type Snapshot struct {
	Name  string // of the member, to detect the directory of another one
	Epoch uint64
	Facts []facts.Fact
}

// Loaded is a snapshot that was read back.
type Loaded struct {
	Snapshot                   // only the unexpired facts, with Age added to their ages
	Age          time.Duration // time since the snapshot was saved
	ClockSetBack bool          // Age is unknown, so all facts are considered expired
	Expired      int           // number of facts left out
}

// Reasons for not using a snapshot. The incarnation then starts without facts, and its epoch is chosen from the clock
// and from the epochs that other members know.
var (
	ErrNoSnapshot = errors.New("no snapshot")
	ErrCorrupt    = errors.New("the snapshot is truncated or corrupt: it is ignored and will be overwritten")
	ErrTooLarge   = errors.New("the snapshot exceeds its size limit: it is ignored and will be overwritten")
)

const (
	fileName = "facts.snapshot"
	// Header: magic number with the version of the file format, a checksum, and then the checksummed data: wall clock in
	// milliseconds, epoch, length of the name, the name, and the encoded batch of facts up to the end of the file.
	magic         = "RTFACTS\x01"
	checksumBytes = 8
	headerSize    = len(magic) + checksumBytes + 8 + 8 + 2
)

// Save writes the snapshot with at most limit bytes and returns the number of facts omitted for lack of space: those
// with the least time to live remaining. It writes a new file and renames it over the old one, so that an incarnation
// finds the old or the new file, complete. There is no fsync: a machine crash may leave a truncated file, which the checksum detects,
// and which costs only the facts.
//
// This is the only use of the wall clock in the fleet packages besides the choice of an epoch. No monotonic clock
// continues between two incarnations, and the machine's own wall clock is the best approximation. It is compared only
// with itself, and if it was set back, no fact is used (Load).
func Save(dir string, limit int64, wall time.Time, snap Snapshot) (omitted int, err error) {
	if len(snap.Name) > facts.MaxName {
		return 0, fmt.Errorf("snapshot: the member's name is %d bytes long, at most %d", len(snap.Name), facts.MaxName)
	}
	space := limit - int64(headerSize+len(snap.Name)) - 16
	if space < 0 {
		return 0, fmt.Errorf("snapshot: a limit of %d bytes is too small: raise it", limit)
	}
	included := slices.SortedFunc(slices.Values(snap.Facts), func(a, b facts.Fact) int { return cmp.Compare(b.TTL-b.Age, a.TTL-a.Age) })
	for i := range included {
		if space -= int64(included[i].MaxEncodedSize()); space < 0 {
			included, omitted = included[:i], len(included)-i
			break
		}
	}
	codec, err := newCodec(limit)
	if err != nil {
		return 0, err
	}
	body, err := codec.Encode(included)
	if err != nil {
		return 0, fmt.Errorf("snapshot: %w", err)
	}
	data := make([]byte, 0, headerSize+len(snap.Name)+len(body))
	data = append(data, magic...)
	data = append(data, make([]byte, checksumBytes)...)
	data = binary.BigEndian.AppendUint64(data, uint64(wall.UnixMilli()))
	data = binary.BigEndian.AppendUint64(data, snap.Epoch)
	data = binary.BigEndian.AppendUint16(data, uint16(len(snap.Name)))
	data = append(data, snap.Name...)
	data = append(data, body...)
	binary.BigEndian.PutUint64(data[len(magic):], xxhash.Sum64(data[len(magic)+checksumBytes:]))

	path := filepath.Join(dir, fileName)
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		_ = os.Remove(path + ".new") // the disk may be full: free the space of the partial file
		return 0, fmt.Errorf("snapshot: writing: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return 0, fmt.Errorf("snapshot: replacing the old one: %w", err)
	}
	return omitted, nil
}

// Load reads the snapshot of a directory. The time since it was saved is added to the facts' ages. If the wall clock was
// set back since then, that time is unknown: all facts are considered expired, and only the name and epoch are returned.
func Load(dir string, limit int64, wall time.Time) (Loaded, error) {
	file, err := os.Open(filepath.Join(dir, fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return Loaded{}, ErrNoSnapshot
	} else if err != nil {
		return Loaded{}, fmt.Errorf("snapshot: %w", err)
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, limit+1))
	if err != nil {
		return Loaded{}, fmt.Errorf("snapshot: reading: %w", err)
	}
	if int64(len(data)) > limit {
		return Loaded{}, ErrTooLarge
	}
	return parse(data, limit, wall)
}

func parse(data []byte, limit int64, wall time.Time) (Loaded, error) {
	versionAt := len(magic) - 1
	switch {
	case len(data) < headerSize || !bytes.Equal(data[:versionAt], []byte(magic[:versionAt])):
		return Loaded{}, ErrCorrupt
	case binary.BigEndian.Uint64(data[len(magic):]) != xxhash.Sum64(data[len(magic)+checksumBytes:]):
		return Loaded{}, ErrCorrupt
	case data[versionAt] != magic[versionAt]:
		return Loaded{}, fmt.Errorf("snapshot: %w: the file has format version %d", facts.ErrVersion, data[versionAt])
	}
	rest := data[len(magic)+checksumBytes:]
	savedAt, epoch := int64(binary.BigEndian.Uint64(rest)), binary.BigEndian.Uint64(rest[8:])
	nameLen := int(binary.BigEndian.Uint16(rest[16:]))
	if rest = rest[18:]; nameLen > len(rest) {
		return Loaded{}, ErrCorrupt
	}
	out := Loaded{Snapshot: Snapshot{Name: string(rest[:nameLen]), Epoch: epoch}}
	codec, err := newCodec(limit)
	if err != nil {
		return Loaded{}, err
	}
	all, err := codec.Decode(rest[nameLen:])
	switch {
	case errors.Is(err, facts.ErrVersion):
		return Loaded{}, fmt.Errorf("snapshot: %w", err)
	case err != nil:
		return Loaded{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	age := wall.UnixMilli() - savedAt
	if age < 0 {
		out.ClockSetBack, out.Expired = true, len(all)
		return out, nil
	}
	// Add a millisecond, as both readings were truncated to whole milliseconds.
	out.Age = time.Duration(min(age+1, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
	for _, f := range all {
		if f.Age < 0 || out.Age > f.TTL-f.Age {
			out.Expired++
			continue
		}
		f.Age += out.Age
		out.Facts = append(out.Facts, f)
	}
	return out, nil
}

func newCodec(limit int64) (*facts.Codec, error) {
	maxBytes := int(min(limit, math.MaxInt32))
	return facts.NewCodec(maxBytes/12+1, maxBytes) // an encoded fact has at least 12 bytes
}
