package deadletter

// What the store has of its dead letters in memory.

import (
	"cmp"
	"slices"
	"time"

	"raventrestle/internal/deadletter/rule"
)

// shelf has a destination's dead letters, in the order they were put there.
type shelf struct{ entries []entry }

type entry struct {
	seq    uint64
	failed int64
	due    int64 // not to be looked at for a resend before
	size   uint32
	worth  float32
	state  rule.State
	asked  bool
	never  bool // no time will change what the rule says
}

func (s *Store) shelve(seq uint64, l *Letter, head int) {
	size := uint32(head + l.BodySize + overhead)
	sh := s.shelves[l.Dest]
	if sh == nil {
		sh = &shelf{}
		s.shelves[l.Dest] = sh
	}
	e := entry{seq: seq, failed: l.Failed, due: l.NotBefore, size: size, worth: l.Worth, state: l.State, asked: l.Asked}
	i, found := sh.find(seq)
	if found {
		s.Bytes -= int64(sh.entries[i].size)
		sh.entries[i] = e
	} else {
		sh.entries = slices.Insert(sh.entries, i, e)
		s.Letters++
	}
	s.Bytes += int64(size)
}

func (sh *shelf) find(seq uint64) (int, bool) {
	return slices.BinarySearchFunc(sh.entries, seq, func(e entry, seq uint64) int {
		switch {
		case e.seq < seq:
			return -1
		case e.seq > seq:
			return 1
		}
		return 0
	})
}

func (s *Store) unshelve(dest int64, seq uint64) {
	sh := s.shelves[dest]
	if sh == nil {
		return
	}
	if i, found := sh.find(seq); found {
		s.Bytes -= int64(sh.entries[i].size)
		s.Letters--
		sh.entries = slices.Delete(sh.entries, i, i+1)
	}
	if len(sh.entries) == 0 {
		delete(s.shelves, dest)
	}
}

// next are the dead letters of a destination that may be due, the most urgent first: asked for, of more
// worth, older.
func (s *Store) next(dest int64, now time.Time, most int) []*entry {
	sh := s.shelves[dest]
	if sh == nil {
		return nil
	}
	// One pass that keeps the best few: a destination may have all of 100,000 dead letters.
	var due []*entry
	for i := range sh.entries {
		e := &sh.entries[i]
		if e.state != rule.Held || e.never || e.due > now.UnixNano() ||
			len(due) == most && e.urgent(due[most-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(due, e, func(a, b *entry) int { return a.urgent(b) })
		due = slices.Insert(due, at, e)
		due = due[:min(len(due), most)]
	}
	return due
}

// urgent orders entries by which goes first.
func (e *entry) urgent(o *entry) int {
	if e.asked != o.asked {
		if e.asked {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(o.worth, e.worth), cmp.Compare(e.failed, o.failed), cmp.Compare(e.seq, o.seq))
}
