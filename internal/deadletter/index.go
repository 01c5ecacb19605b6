package deadletter

// The in-memory index of the store.

import (
	"cmp"
	"slices"
	"time"

	"raventrestle/internal/deadletter/rule"
)

// destIndex lists the dead letters of one destination, ordered by sequence number.
type destIndex struct{ entries []indexEntry }

// indexEntry holds what scheduling and eviction need to know of one dead letter. Times are Unix time in
// nanoseconds.
type indexEntry struct {
	seq        uint64
	failedAt   int64
	checkAfter int64 // not a candidate for a resend before; in a final state, the time at which it was reached
	size       uint32
	value      float32
	state      rule.State
	requested  bool
	parked     bool // not a candidate until an operator requests it or the limits change
}

func (s *Store) addToIndex(seq uint64, msg *Message, headerSize int) {
	size := uint32(headerSize + msg.BodySize + entryOverhead)
	index := s.indexes[msg.Dest]
	if index == nil {
		index = &destIndex{}
		s.indexes[msg.Dest] = index
	}
	e := indexEntry{seq: seq, failedAt: msg.FailedAt, checkAfter: msg.NotBefore, size: size, value: msg.Value, state: msg.State, requested: msg.Requested}
	i, found := index.find(seq)
	if found {
		s.Bytes -= int64(index.entries[i].size)
		index.entries[i] = e
	} else {
		index.entries = slices.Insert(index.entries, i, e)
		s.Count++
	}
	s.Bytes += int64(size)
}

func (x *destIndex) find(seq uint64) (int, bool) {
	return slices.BinarySearchFunc(x.entries, seq, func(e indexEntry, seq uint64) int {
		switch {
		case e.seq < seq:
			return -1
		case e.seq > seq:
			return 1
		}
		return 0
	})
}

func (s *Store) removeFromIndex(dest int64, seq uint64) {
	index := s.indexes[dest]
	if index == nil {
		return
	}
	if i, found := index.find(seq); found {
		s.Bytes -= int64(index.entries[i].size)
		s.Count--
		index.entries = slices.Delete(index.entries, i, i+1)
	}
	if len(index.entries) == 0 {
		delete(s.indexes, dest)
	}
}

// candidates returns up to limit dead letters of a destination that may be due, in the order of
// compareUrgency.
func (s *Store) candidates(dest int64, now time.Time, limit int) []*indexEntry {
	index := s.indexes[dest]
	if index == nil {
		return nil
	}
	// A single pass that keeps the best entries, because one destination may have all 100,000 dead letters.
	var best []*indexEntry
	for i := range index.entries {
		e := &index.entries[i]
		if e.state != rule.Held || e.parked || e.checkAfter > now.UnixNano() ||
			len(best) == limit && e.compareUrgency(best[limit-1]) >= 0 {
			continue
		}
		pos, _ := slices.BinarySearchFunc(best, e, func(a, b *indexEntry) int { return a.compareUrgency(b) })
		best = slices.Insert(best, pos, e)
		best = best[:min(len(best), limit)]
	}
	return best
}

// compareUrgency sorts requested resends first, then by higher value, then by earlier failure.
func (e *indexEntry) compareUrgency(o *indexEntry) int {
	if e.requested != o.requested {
		if e.requested {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(o.value, e.value), cmp.Compare(e.failedAt, o.failedAt), cmp.Compare(e.seq, o.seq))
}
