package shares

import (
	"slices"
	"time"
)

// Count is the number of shares of each limit. Up to six holders have equal numbers of them.
const Count = 60

// leaseMargin is added to the longest expected lack of a majority.
const leaseMargin = time.Second

// HolderLease returns how long a holder issues credit after its newest proof that it knows everything that was acknowledged
// before: longer than machines are expected to be cut off from a majority. All instances must have the same.
func HolderLease(partitionAllowance time.Duration) time.Duration {
	return partitionAllowance + leaseMargin
}

// Share is one of the equal shares of every limit.
type Share struct {
	Owner string `cbor:"1,keyasint,omitempty"` // identity of the holder; "": none
	Since uint64 `cbor:"2,keyasint,omitempty"` // Table.Sequence with which the owner, or the lack of one, began
	First bool   `cbor:"3,keyasint,omitempty"` // nobody has owned it before
}

// Table says who holds what. It is immutable.
type Table struct {
	Sequence uint64   `cbor:"1,keyasint"`           // rises by one with each change; 0: there was none
	Holders  []string `cbor:"2,keyasint,omitempty"` // identities of the instances that can hold shares, sorted
	Shares   []Share  `cbor:"3,keyasint,omitempty"` // Count of them, or none before the first Assignment
}

// Registration is a change: an instance can hold shares.
type Registration struct {
	Identity string `cbor:"1,keyasint"`
}

// Assignment is a change: the complete list of holders and owners.
type Assignment struct {
	Sequence uint64   `cbor:"1,keyasint"` // of the table that it makes; it is rejected unless that is the next
	Holders  []string `cbor:"2,keyasint"`
	Owners   []string `cbor:"3,keyasint"` // Count of them, "" for none
}

// Register returns the table with one holder more; the table itself if it has the holder.
func (t Table) Register(change Registration) Table {
	at, known := slices.BinarySearch(t.Holders, change.Identity)
	if known || change.Identity == "" {
		return t
	}
	return Table{
		Sequence: t.Sequence + 1,
		Holders:  slices.Insert(slices.Clone(t.Holders), at, change.Identity),
		Shares:   t.Shares,
	}
}

// Assign returns the table that an assignment makes; ok is false if the assignment was made for another table.
func (t Table) Assign(change Assignment) (next Table, ok bool) {
	if change.Sequence != t.Sequence+1 || len(change.Owners) != Count {
		return t, false
	}
	next = Table{Sequence: change.Sequence, Holders: slices.Clone(change.Holders), Shares: make([]Share, Count)}
	slices.Sort(next.Holders)
	for i, owner := range change.Owners {
		switch {
		case len(t.Shares) == 0:
			next.Shares[i] = Share{Owner: owner, Since: next.Sequence, First: true}
		case t.Shares[i].Owner == owner:
			next.Shares[i] = t.Shares[i]
		default:
			next.Shares[i] = Share{Owner: owner, Since: next.Sequence}
		}
	}
	return next, true
}

// HasHolder reports whether an instance is registered.
func (t Table) HasHolder(identity string) bool {
	_, known := slices.BinarySearch(t.Holders, identity)
	return known
}
