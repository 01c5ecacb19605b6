package quota

import (
	"time"

	"raventrestle/internal/control/shares"
)

// leaseMargin is added to the holder lease where a previous owner may issue credit until its lease ends.
const leaseMargin = 500 * time.Millisecond

// ownership tracks the shares for which this instance may issue credit, and from when.
//
// A share that was reassigned to this instance is usable as soon as the credit issued by the previous owner is known
// (takeover.go), or else after that owner's lease has ended and the credit has expired. A share that an earlier process of
// this instance owned is usable at once if that process recorded it, or else after an issuance interval.
type ownership struct {
	identity       string
	issuanceExpiry time.Duration // how long issued credit is counted: an issuance interval and a cell
	holderLease    time.Duration
	startedAt      time.Time
	recordedShares map[int]uint64     // Since of the shares that an earlier process recorded as usable, by index
	mayHaveIssued  bool               // an earlier process of this instance may have issued credit
	owned          map[int]ownedShare // by index
	lostAt         map[int]time.Time  // when this instance lost usable shares, by index
}

type ownedShare struct {
	since      uint64 // as in shares.Share
	previous   string // as in shares.Share
	usableFrom time.Time
}

func newOwnership(config Config, now time.Time, previousRecord *Record, diskEmpty bool) ownership {
	o := ownership{
		identity:       config.Identity,
		issuanceExpiry: config.issuanceInterval() + cellLength,
		holderLease:    config.HolderLease,
		startedAt:      now,
		recordedShares: make(map[int]uint64),
		mayHaveIssued:  !diskEmpty,
		owned:          make(map[int]ownedShare),
		lostAt:         make(map[int]time.Time),
	}
	if previousRecord != nil {
		for _, share := range previousRecord.Shares {
			o.recordedShares[share.Index] = share.Since
		}
	}
	return o
}

// observeTable applies the table. It returns the indexes of shares that were reassigned to this instance, by previous owner.
func (o *ownership) observeTable(now time.Time, table shares.Table) (reassigned map[string][]int) {
	reassigned = make(map[string][]int)
	for i, share := range table.Shares {
		known, owned := o.owned[i]
		switch {
		case share.Owner != o.identity:
			if owned && !now.Before(known.usableFrom) {
				o.lostAt[i] = now
			}
			delete(o.owned, i)
			continue
		case owned && known.since == share.Since:
			continue
		}
		from := o.usableFrom(now, i, share)
		o.owned[i] = ownedShare{since: share.Since, previous: share.Previous, usableFrom: from}
		if share.Previous != "" && now.Before(from) {
			reassigned[share.Previous] = append(reassigned[share.Previous], i)
		}
	}
	return reassigned
}

// usableFrom returns when a share of this instance becomes usable unless a takeover makes it usable before.
func (o *ownership) usableFrom(now time.Time, index int, share shares.Share) time.Time {
	since, recorded := o.recordedShares[index]
	switch {
	case recorded && since == share.Since:
		return now
	case share.Previous == "" && !o.mayHaveIssued:
		return now
	case share.Previous == "" || share.Previous == o.identity:
		return o.startedAt.Add(o.issuanceExpiry)
	}
	return now.Add(o.holderLease + leaseMargin + o.issuanceExpiry)
}

// setUsable makes a share usable at once. The credit issued by its previous owner is counted here from then on.
func (o *ownership) setUsable(now time.Time, index int) {
	if share, owned := o.owned[index]; owned && now.Before(share.usableFrom) {
		share.usableFrom = now
		o.owned[index] = share
	}
}

// usableFraction returns the fraction of every limit for which this instance may issue credit.
func (o *ownership) usableFraction(now time.Time) float64 {
	count := 0
	for _, share := range o.owned {
		if !now.Before(share.usableFrom) {
			count++
		}
	}
	return float64(count) / shares.Count
}

// usableShares lists the usable shares for a record.
func (o *ownership) usableShares(now time.Time) []RecordedShare {
	var usable []RecordedShare
	for i := range shares.Count {
		if share, owned := o.owned[i]; owned && !now.Before(share.usableFrom) {
			usable = append(usable, RecordedShare{Index: i, Since: share.since})
		}
	}
	return usable
}

// recentlyUsableShares lists the shares for which this instance may have issued credit in the newest issuance interval.
func (o *ownership) recentlyUsableShares(now time.Time) []RecordedShare {
	recent := o.usableShares(now)
	for i, at := range o.lostAt {
		if now.Sub(at) > o.issuanceExpiry {
			delete(o.lostAt, i)
			continue
		}
		recent = append(recent, RecordedShare{Index: i})
	}
	return recent
}
