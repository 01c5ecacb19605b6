package chain

// memoryLog is the log in memory: what follows the entry at base.
type memoryLog struct {
	baseIndex uint64
	baseEpoch uint64
	entries   []Entry
}

func (l *memoryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memoryLog) lastEpoch() uint64 {
	if len(l.entries) == 0 {
		return l.baseEpoch
	}
	return l.entries[len(l.entries)-1].Epoch
}

// epochAt returns the epoch of the entry at the index, where the log still knows it.
func (l *memoryLog) epochAt(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseEpoch, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Epoch, true
}

// after returns the entries that follow the index. The slice must not be changed.
func (l *memoryLog) after(index uint64) []Entry { return l.entries[index-l.baseIndex:] }

func (l *memoryLog) append(entry Entry) { l.entries = append(l.entries, entry) }

// truncate removes what follows the index. Earlier copies of the list keep their entries.
func (l *memoryLog) truncate(index uint64) {
	if index >= l.lastIndex() {
		return
	}
	keep := int(index - l.baseIndex)
	l.entries = append(make([]Entry, 0, keep+1), l.entries[:keep]...)
}

// compact forgets what lies at or before the index.
func (l *memoryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	epoch, _ := l.epochAt(index)
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseEpoch = index, epoch
}

// epochEnds summarises the entries above the index by epoch.
func (l *memoryLog) epochEnds(above uint64) []EpochEnd {
	var ends []EpochEnd
	for _, entry := range l.after(max(above, l.baseIndex)) {
		if len(ends) > 0 && ends[len(ends)-1].Epoch == entry.Epoch {
			ends[len(ends)-1].LastIndex = entry.Index
			continue
		}
		ends = append(ends, EpochEnd{Epoch: entry.Epoch, LastIndex: entry.Index})
	}
	return ends
}

// commonIndex returns the newest index up to which this log surely equals the asker's: an entry is the same
// wherever index and epoch are, and so is all before it.
func (l *memoryLog) commonIndex(committed uint64, ends []EpochEnd) uint64 {
	for i := len(ends) - 1; i >= 0; i-- {
		first := committed + 1
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
	return committed
}
