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

// Snapshot is what a life leaves to the next one on the same machine.
type Snapshot struct {
	Name  string // of the courier, so that another's folder is told apart
	Epoch uint64
	Facts []facts.Fact
}

// Loaded is a snapshot read back.
type Loaded struct {
	Snapshot                // with the facts' ages grown by Away, and only those still within their time
	Away      time.Duration // since it was saved
	ClockBack bool          // Away isn't known: all facts are treated as past their time
	Expired   int           // facts left out
}

// Reasons not to use a snapshot. The life then begins with no facts, and its epoch is drawn from the clock and from
// what members heard.
var (
	ErrNone     = errors.New("no snapshot")
	ErrTorn     = errors.New("the snapshot is torn or garbled: it is not used, the next one replaces it")
	ErrTooLarge = errors.New("the snapshot is larger than its limit: it is not used, the next one replaces it")
)

const (
	fileName = "facts.snapshot"
	// Head: magic and version of the file, then what the checksum is over: milliseconds of the wall clock, epoch,
	// length of the name, the name, and the facts' batch up to the end.
	magic    = "RTFACTS\x01"
	sumBytes = 8
	headSize = len(magic) + sumBytes + 8 + 8 + 2
)

// Save writes the snapshot under the limit, and gives the number of facts that had no room: those with the least time
// to live left. It is written beside the old one and renamed over it, so a life finds one or the other whole. There is
// no fsync: a machine that dies may leave a torn file, and that is found by the checksum and costs only the facts.
//
// wall is the one wall clock in the fleet's packages. Between two lives of a process no monotonic clock goes on; a
// machine's own wall clock is the nearest to one, it is compared only with itself, and where it went back nothing is
// believed (Load).
func Save(folder string, limit int64, wall time.Time, snap Snapshot) (left int, err error) {
	if len(snap.Name) > facts.MaxName {
		return 0, fmt.Errorf("snapshot: the courier's name is %d bytes long, at most %d", len(snap.Name), facts.MaxName)
	}
	room := limit - int64(headSize+len(snap.Name)) - 16
	if room < 0 {
		return 0, fmt.Errorf("snapshot: %d bytes hold no snapshot: raise its limit", limit)
	}
	kept := slices.SortedFunc(slices.Values(snap.Facts), func(a, b facts.Fact) int { return cmp.Compare(b.TTL-b.Age, a.TTL-a.Age) })
	for i := range kept {
		if room -= int64(kept[i].MaxEncodedSize()); room < 0 {
			kept, left = kept[:i], len(kept)-i
			break
		}
	}
	codec, err := newCodec(limit)
	if err != nil {
		return 0, err
	}
	body, err := codec.Encode(kept)
	if err != nil {
		return 0, fmt.Errorf("snapshot: %w", err)
	}
	data := make([]byte, 0, headSize+len(snap.Name)+len(body))
	data = append(data, magic...)
	data = append(data, make([]byte, sumBytes)...)
	data = binary.BigEndian.AppendUint64(data, uint64(wall.UnixMilli()))
	data = binary.BigEndian.AppendUint64(data, snap.Epoch)
	data = binary.BigEndian.AppendUint16(data, uint16(len(snap.Name)))
	data = append(data, snap.Name...)
	data = append(data, body...)
	binary.BigEndian.PutUint64(data[len(magic):], xxhash.Sum64(data[len(magic)+sumBytes:]))

	path := filepath.Join(folder, fileName)
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		_ = os.Remove(path + ".new") // a full disk: what was written of it is in the way
		return 0, fmt.Errorf("snapshot: writing: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return 0, fmt.Errorf("snapshot: replacing the old one: %w", err)
	}
	return left, nil
}

// Load reads the folder's snapshot. Ages grow by the time away; a wall clock that went back since it was saved tells
// no time away, so all facts count as past their time, and only the epoch is given.
func Load(folder string, limit int64, wall time.Time) (Loaded, error) {
	file, err := os.Open(filepath.Join(folder, fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return Loaded{}, ErrNone
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
	last := len(magic) - 1
	switch {
	case len(data) < headSize || !bytes.Equal(data[:last], []byte(magic[:last])):
		return Loaded{}, ErrTorn
	case binary.BigEndian.Uint64(data[len(magic):]) != xxhash.Sum64(data[len(magic)+sumBytes:]):
		return Loaded{}, ErrTorn
	case data[last] != magic[last]:
		return Loaded{}, fmt.Errorf("snapshot: %w: the file's form is %d", facts.ErrVersion, data[last])
	}
	rest := data[len(magic)+sumBytes:]
	saved, epoch := int64(binary.BigEndian.Uint64(rest)), binary.BigEndian.Uint64(rest[8:])
	n := int(binary.BigEndian.Uint16(rest[16:]))
	if rest = rest[18:]; n > len(rest) {
		return Loaded{}, ErrTorn
	}
	out := Loaded{Snapshot: Snapshot{Name: string(rest[:n]), Epoch: epoch}}
	codec, err := newCodec(limit)
	if err != nil {
		return Loaded{}, err
	}
	all, err := codec.Decode(rest[n:])
	switch {
	case errors.Is(err, facts.ErrVersion):
		return Loaded{}, fmt.Errorf("snapshot: %w", err)
	case err != nil:
		return Loaded{}, fmt.Errorf("%w: %w", ErrTorn, err)
	}
	away := wall.UnixMilli() - saved
	if away < 0 {
		out.ClockBack, out.Expired = true, len(all)
		return out, nil
	}
	// A millisecond more: both readings were cut to whole ones.
	out.Away = time.Duration(min(away+1, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
	for _, f := range all {
		if f.Age < 0 || out.Away > f.TTL-f.Age {
			out.Expired++
			continue
		}
		f.Age += out.Away
		out.Facts = append(out.Facts, f)
	}
	return out, nil
}

func newCodec(limit int64) (*facts.Codec, error) {
	most := int(min(limit, math.MaxInt32))
	return facts.NewCodec(most/12+1, most) // a fact is never shorter than 12 bytes
}
