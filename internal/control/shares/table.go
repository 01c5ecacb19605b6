package shares

import (
	"slices"
	"time"
)

// maxFormer bounds the former holders that a table lists.
const maxFormer = 16

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
	// Previous is the identity of the last owner before this one; "": nobody has owned it before.
	Previous string `cbor:"4,keyasint,omitempty"` // number 3 was another field in trials
}

// Table says who holds what. It is immutable.
type Table struct {
	Sequence uint64   `cbor:"1,keyasint"`           // rises by one with each change; 0: there was none
	Holders  []string `cbor:"2,keyasint,omitempty"` // identities of the instances that can hold shares, sorted
	Shares   []Share  `cbor:"3,keyasint,omitempty"` // Count of them, or none before the first Assignment
	Former   []string `cbor:"4,keyasint,omitempty"` // the newest holders that were dropped, oldest first
}

// Registration is a change: an instance can hold shares.
type Registration struct {
	Identity string `cbor:"1,keyasint"`
}

// Assignment is a change: the complete list of holders and owners.
type Assignment struct {
	Sequence uint64   `cbor:"1,keyasint"` // of the table that it makes; it is rejected unless that is the next
	Holders  []string `cbor:"2,keyasint"`
	Owners   []string `cbor:"3,keyasint"` // Count of them
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
		Former:   slices.DeleteFunc(slices.Clone(t.Former), func(holder string) bool { return holder == change.Identity }),
	}
}

// Assign returns the table that an assignment makes; ok is false if the assignment was made for another table.
func (t Table) Assign(change Assignment) (next Table, ok bool) {
	if change.Sequence != t.Sequence+1 || len(change.Owners) != Count {
		return t, false
	}
	next = Table{Sequence: change.Sequence, Holders: slices.Clone(change.Holders), Shares: make([]Share, Count)}
	slices.Sort(next.Holders)
	next.Former = t.formerAfter(next)
	for i, owner := range change.Owners {
		switch {
		case len(t.Shares) == 0:
			next.Shares[i] = Share{Owner: owner, Since: next.Sequence}
		case t.Shares[i].Owner == owner:
			next.Shares[i] = t.Shares[i]
		default:
			next.Shares[i] = Share{Owner: owner, Since: next.Sequence, Previous: t.Shares[i].lastOwner()}
		}
	}
	return next, true
}

// formerAfter returns the former holders of the table that follows.
func (t Table) formerAfter(next Table) []string {
	former := slices.Clone(t.Former)
	for _, holder := range t.Holders {
		if !next.HasHolder(holder) {
			former = append(former, holder)
		}
	}
	return former[max(0, len(former)-maxFormer):]
}

// lastOwner is the owner, or the one before where there is none.
func (s Share) lastOwner() string {
	if s.Owner == "" {
		return s.Previous
	}
	return s.Owner
}

// HasHolder reports whether an instance is registered.
func (t Table) HasHolder(identity string) bool {
	_, known := slices.BinarySearch(t.Holders, identity)
	return known
}
