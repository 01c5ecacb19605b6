package journal

import (
	"errors"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
)

// Follower reads the journal of another life, which may go on writing it.
type Follower struct {
	path string
	file *os.File
	rest []byte // a record at the end that has not come whole
	bad  int
	content
}

// Legacy is what a followed journal tells.
type Legacy struct {
	Kept    []Kept           // in the order taken
	Waits   map[string]int64 // of peers, until when
	Adopted map[string]bool  // ids that it took up from earlier lives, over or not
	Closing bool             // it begins nothing any more
	Left    []byte           // beside its messages
}

// Follow returns a follower of the journal in the folder, which need not be there yet.
func Follow(dir string) *Follower { return &Follower{path: filepath.Join(dir, fileName)} }

// Poll reads what has come since; it says whether anything has.
func (f *Follower) Poll() (fresh bool, err error) {
	now, err := os.Stat(f.path)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if f.file != nil {
		if own, err := f.file.Stat(); err != nil || !os.SameFile(own, now) { // it was made anew, and tells all again
			f.Close()
		}
	}
	if f.file == nil {
		if f.file, err = os.Open(f.path); err != nil {
			return false, err
		}
		f.rest, f.content, fresh = nil, newContent(false), true
	}
	buf := make([]byte, 64<<10)
	for {
		n, err := f.file.Read(buf)
		if n > 0 {
			var bad int
			f.rest, bad = decodeHead(append(f.rest, buf[:n]...), f.apply)
			f.rest, f.bad, fresh = slices.Clone(f.rest), f.bad+bad, true
		}
		if errors.Is(err, io.EOF) {
			return fresh, nil
		}
		if err != nil {
			return fresh, err
		}
	}
}

// Legacy is what has been read.
func (f *Follower) Legacy() Legacy {
	// Copies: whoever is told goes on reading while the next Poll writes.
	l := Legacy{Waits: maps.Clone(f.waits), Adopted: maps.Clone(f.adopted), Closing: f.closing, Left: f.left}
	for _, k := range f.order {
		if !f.isOver(k) {
			l.Kept = append(l.Kept, *k)
		}
	}
	return l
}

// Close ends the following.
func (f *Follower) Close() error {
	if f.file == nil {
		return nil
	}
	err := f.file.Close()
	f.file = nil
	return err
}
