package journal

import (
	"errors"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
)

// Follower reads the journal of another process, which may still write to it.
type Follower struct {
	path         string
	file         *os.File
	partial      []byte // incomplete record at the end
	invalidBytes int
	state
}

// Snapshot is the state of a followed journal.
type Snapshot struct {
	Messages     []MessageState   // unfinished, in the order accepted
	PeerWaits    map[string]int64 // by peer: Unix time in nanoseconds until which it asked the courier to wait
	Adopted      map[string]bool  // IDs of messages adopted from earlier processes, finished or not
	Closing      bool             // the process begins no further calls
	HandoverData []byte           // other data for the next process
}

// Follow returns a Follower of the journal in the directory. The journal need not exist yet.
func Follow(dir string) *Follower { return &Follower{path: filepath.Join(dir, fileName)} }

// Poll reads the records written since the last call and reports whether the state may have changed. If the file
// was rewritten, it reads the new file from the start.
func (f *Follower) Poll() (changed bool, err error) {
	current, err := os.Stat(f.path)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if f.file != nil {
		if opened, err := f.file.Stat(); err != nil || !os.SameFile(opened, current) { // the file was rewritten
			f.Close()
		}
	}
	if f.file == nil {
		if f.file, err = os.Open(f.path); err != nil {
			return false, err
		}
		f.partial, f.state, changed = nil, newState(false), true
	}
	buf := make([]byte, 64<<10)
	for {
		n, err := f.file.Read(buf)
		if n > 0 {
			var invalid int
			f.partial, invalid = decodePrefix(append(f.partial, buf[:n]...), f.apply)
			f.partial, f.invalidBytes, changed = slices.Clone(f.partial), f.invalidBytes+invalid, true
		}
		if errors.Is(err, io.EOF) {
			return changed, nil
		}
		if err != nil {
			return changed, err
		}
	}
}

// Snapshot returns the state after the records read so far.
func (f *Follower) Snapshot() Snapshot {
	// Copies, because the caller may still read them while the next Poll updates the maps.
	snapshot := Snapshot{PeerWaits: maps.Clone(f.peerWaits), Adopted: maps.Clone(f.adopted), Closing: f.closing, HandoverData: f.handoverData}
	for _, m := range f.order {
		if !f.isDropped(m) {
			snapshot.Messages = append(snapshot.Messages, *m)
		}
	}
	return snapshot
}

// Close closes the followed file. A later Poll reads it again from the start.
func (f *Follower) Close() error {
	if f.file == nil {
		return nil
	}
	err := f.file.Close()
	f.file = nil
	return err
}
