package chain

// Invariant: each entry is returned for application once, in the order of the log, and only after it is committed. A
// member that restarts begins after its snapshot.

// Applied is an entry to apply.
type Applied struct {
	Entry
	Duplicate bool // the command was applied before under the same ID: it must not be applied again
}

// Applied returns the position of the last applied entry, and the recent commands that a snapshot taken at that
// position must include.
func (n *Node) Applied() (SnapshotPoint, []CommandID) {
	epoch, _ := n.log.epochAt(n.appliedIndex)
	return SnapshotPoint{Index: n.appliedIndex, Epoch: epoch}, n.recent.order
}

// TakeCommitted returns the entries to apply now, in order. The owner calls it after Persisted.
func (n *Node) TakeCommitted() []Applied {
	if n.commitIndex <= n.appliedIndex {
		return nil
	}
	var list []Applied
	for _, entry := range n.log.after(n.appliedIndex)[:n.commitIndex-n.appliedIndex] {
		duplicate := n.recent.has(entry.ID)
		if !duplicate {
			n.recent.add(entry.ID)
		}
		n.pending.commandApplied(entry.ID, n.incarnation)
		list = append(list, Applied{Entry: entry, Duplicate: duplicate})
	}
	n.appliedIndex = n.commitIndex
	return list
}
