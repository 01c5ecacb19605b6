package shares

import (
	"slices"
	"time"
)

// maxFormerHolders limits the former holders that a table lists.
const maxFormerHolders = 16

// Count is the number of shares of each limit. It is divisible by 1 to 6, so up to six holders own equal numbers of shares.
const Count = 60

// leaseMargin is added to the longest expected partition from the majority.
const leaseMargin = time.Second

// HolderLease returns how long a holder may issue credit after it last confirmed that it has applied every acknowledged change.
// It is longer than the longest time for which machines are expected to be partitioned from a majority. All instances must use
// the same value.
func HolderLease(partitionAllowance time.Duration) time.Duration {
	return partitionAllowance + leaseMargin
}

// Share is one of the equal shares of every limit.
type Share struct {
	Owner string `cbor:"1,keyasint,omitempty"` // identity of the holder; empty: none
	Since uint64 `cbor:"2,keyasint,omitempty"` // Table.Sequence as of which the share has had this owner, or none
	// Previous is the identity of the owner before this one; empty: the share has had no other owner.
	Previous string `cbor:"4,keyasint,omitempty"` // key 3 was used by a field of a test build
}

// Table lists the holders and the owner of each share. It is immutable.
type Table struct {
	Sequence      uint64   `cbor:"1,keyasint"`           // incremented by each change; 0: the table has never been changed
	Holders       []string `cbor:"2,keyasint,omitempty"` // sorted identities of the instances that can own shares
	Shares        []Share  `cbor:"3,keyasint,omitempty"` // Count shares, or none before the first Assignment
	FormerHolders []string `cbor:"4,keyasint,omitempty"` // the most recently removed holders, oldest first
}

// Registration is a replicated command: it adds an instance to the holders.
type Registration struct {
	Identity string `cbor:"1,keyasint"`
}

// Assignment is a replicated command: it replaces the lists of holders and owners.
type Assignment struct {
	Sequence uint64   `cbor:"1,keyasint"` // of the resulting table; the assignment is rejected unless it is the table's next sequence
	Holders  []string `cbor:"2,keyasint"`
	Owners   []string `cbor:"3,keyasint"` // one for each of the Count shares
}

// Register returns the table with the instance added to its holders. It returns an unchanged table if the instance is already
// listed or has no identity.
func (t Table) Register(change Registration) Table {
	index, known := slices.BinarySearch(t.Holders, change.Identity)
	if known || change.Identity == "" {
		return t
	}
	return Table{
		Sequence:      t.Sequence + 1,
		Holders:       slices.Insert(slices.Clone(t.Holders), index, change.Identity),
		Shares:        t.Shares,
		FormerHolders: slices.DeleteFunc(slices.Clone(t.FormerHolders), func(holder string) bool { return holder == change.Identity }),
	}
}

// Assign returns the table after an assignment. It is not ok if the assignment was made for another version of the table.
func (t Table) Assign(change Assignment) (next Table, ok bool) {
	if change.Sequence != t.Sequence+1 || len(change.Owners) != Count {
		return t, false
	}
	next = Table{Sequence: change.Sequence, Holders: slices.Clone(change.Holders), Shares: make([]Share, Count)}
	slices.Sort(next.Holders)
	next.FormerHolders = t.nextFormerHolders(next)
	for i, owner := range change.Owners {
		switch {
		case len(t.Shares) == 0:
			next.Shares[i] = Share{Owner: owner, Since: next.Sequence}
		case t.Shares[i].Owner == owner:
			next.Shares[i] = t.Shares[i]
		default:
			next.Shares[i] = Share{Owner: owner, Since: next.Sequence, Previous: t.Shares[i].latestOwner()}
		}
	}
	return next, true
}

// nextFormerHolders returns the former holders that the next table lists.
func (t Table) nextFormerHolders(next Table) []string {
	former := slices.Clone(t.FormerHolders)
	for _, holder := range t.Holders {
		if !next.HasHolder(holder) {
			former = append(former, holder)
		}
	}
	return former[max(0, len(former)-maxFormerHolders):]
}

// latestOwner returns the current owner, or the previous one if the share has none.
func (s Share) latestOwner() string {
	if s.Owner == "" {
		return s.Previous
	}
	return s.Owner
}

// HasHolder reports whether an instance is registered as a holder.
func (t Table) HasHolder(identity string) bool {
	_, known := slices.BinarySearch(t.Holders, identity)
	return known
}
