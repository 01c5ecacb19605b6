package chain

// Invariants of the log:
//
//   - Indexes are consecutive, and epochs never decrease from one entry to the next.
//   - The index and epoch of an entry determine the entry and all entries before it: in each epoch only that epoch's
//     head assigns indexes, and it continues a single log.
//   - Entries up to the commit index are never truncated; commonIndex never returns a lower index.

// CommandID identifies a command, so that a command that is forwarded twice is applied once.
type CommandID struct {
	Proposer uint64 `cbor:"1,keyasint"` // incarnation of the proposing member, drawn at random at each start
	Number   uint64 `cbor:"2,keyasint"` // unique within the incarnation
}

// Entry is one command at its position in the log.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Epoch   uint64    `cbor:"2,keyasint"` // in which the head appended it
	ID      CommandID `cbor:"3,keyasint"`
	Command []byte    `cbor:"4,keyasint"`
}

// memoryLog holds the newest part of the log in memory: the entries after baseIndex.
type memoryLog struct {
	baseIndex uint64
	baseEpoch uint64 // epoch of the entry at baseIndex
	entries   []Entry
}

func (l *memoryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memoryLog) lastEpoch() uint64 {
	if len(l.entries) == 0 {
		return l.baseEpoch
	}
	return l.entries[len(l.entries)-1].Epoch
}

// epochAt returns the epoch of the entry at the index, and false when the log does not hold that entry.
func (l *memoryLog) epochAt(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseEpoch, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Epoch, true
}

// after returns the entries that follow the index. The caller must not change the slice.
func (l *memoryLog) after(index uint64) []Entry { return l.entries[index-l.baseIndex:] }

func (l *memoryLog) append(entry Entry) { l.entries = append(l.entries, entry) }

// truncate removes the entries after the index. Slices that were taken before keep their entries.
func (l *memoryLog) truncate(index uint64) {
	if index >= l.lastIndex() {
		return
	}
	keep := int(index - l.baseIndex)
	l.entries = append(make([]Entry, 0, keep+1), l.entries[:keep]...)
}

// compact drops the entries at or before the index.
func (l *memoryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	epoch, _ := l.epochAt(index)
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseEpoch = index, epoch
}

// epochEnds returns the last index of each epoch among the entries after the index.
func (l *memoryLog) epochEnds(index uint64) []EpochEnd {
	var ends []EpochEnd
	for _, entry := range l.after(max(index, l.baseIndex)) {
		if len(ends) > 0 && ends[len(ends)-1].Epoch == entry.Epoch {
			ends[len(ends)-1].LastIndex = entry.Index
			continue
		}
		ends = append(ends, EpochEnd{Epoch: entry.Epoch, LastIndex: entry.Index})
	}
	return ends
}

// commonIndex returns the highest index up to which this log is known to equal the log of another member. That member
// has committed its entries up to commitIndex; ends are the epoch ends of its later entries.
func (l *memoryLog) commonIndex(commitIndex uint64, ends []EpochEnd) uint64 {
	for i := len(ends) - 1; i >= 0; i-- {
		first := commitIndex + 1
		if i > 0 {
			first = ends[i-1].LastIndex + 1
		}
		for index := min(ends[i].LastIndex, l.lastIndex()); index >= first; index-- {
			epoch, known := l.epochAt(index)
			if !known {
				break
			}
			if epoch == ends[i].Epoch {
				return index
			}
			if epoch < ends[i].Epoch {
				break
			}
		}
	}
	return commitIndex
}
