package chain

// entries is the log in memory: what follows the entry at base.
type entries struct {
	base      uint64
	baseEpoch uint64
	list      []Entry
}

func (l *entries) last() uint64 { return l.base + uint64(len(l.list)) }

func (l *entries) lastEpoch() uint64 {
	if len(l.list) == 0 {
		return l.baseEpoch
	}
	return l.list[len(l.list)-1].Epoch
}

// epochAt returns the epoch of the entry at the index, where the log still knows it.
func (l *entries) epochAt(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseEpoch, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.list[index-l.base-1].Epoch, true
}

// after returns the entries that follow the index. The slice must not be changed.
func (l *entries) after(index uint64) []Entry { return l.list[index-l.base:] }

func (l *entries) append(entry Entry) { l.list = append(l.list, entry) }

// cut removes what follows the index. Earlier copies of the list keep their entries.
func (l *entries) cut(index uint64) {
	if index >= l.last() {
		return
	}
	keep := int(index - l.base)
	l.list = append(make([]Entry, 0, keep+1), l.list[:keep]...)
}

// trim forgets what lies at or before the index.
func (l *entries) trim(index uint64) {
	if index <= l.base {
		return
	}
	epoch, _ := l.epochAt(index)
	l.list = append([]Entry(nil), l.list[index-l.base:]...)
	l.base, l.baseEpoch = index, epoch
}

// ends summarises the entries above the index by epoch.
func (l *entries) ends(above uint64) []EpochEnd {
	var ends []EpochEnd
	for _, entry := range l.after(max(above, l.base)) {
		if len(ends) > 0 && ends[len(ends)-1].Epoch == entry.Epoch {
			ends[len(ends)-1].LastIndex = entry.Index
			continue
		}
		ends = append(ends, EpochEnd{Epoch: entry.Epoch, LastIndex: entry.Index})
	}
	return ends
}

// common returns the newest index up to which this log surely equals the asker's: an entry is the same
// wherever index and epoch are, and so is all before it.
func (l *entries) common(committed uint64, ends []EpochEnd) uint64 {
	for i := len(ends) - 1; i >= 0; i-- {
		first := committed + 1
		if i > 0 {
			first = ends[i-1].LastIndex + 1
		}
		for index := min(ends[i].LastIndex, l.last()); index >= first; index-- {
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
