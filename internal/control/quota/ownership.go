package quota

import (
	"time"

	"raventrestle/internal/control/shares"
)

// leaseMargin is added to the holder lease where a former owner may go on issuing until its lease ends.
const leaseMargin = 500 * time.Millisecond

// ownership says which shares this instance may issue credit for, and from when.
//
// A share that was given to this instance has belonged to another one until a moment before. It is usable as soon as that
// one's issues are known (takeover.go), else once its lease has ended and a whole interval has passed. A share that an
// earlier process of this instance had is usable at once by that one's record, else after a whole interval.
type ownership struct {
	identity string
	rest     time.Duration // a whole interval
	lease    time.Duration
	started  time.Time
	recorded map[int]uint64 // shares usable by the record of an earlier process, and their shares.Share.Since
	hasPast  bool           // an earlier process of this instance may have issued credit
	owned    map[int]ownedShare
	lost     map[int]time.Time // usable shares that were taken from this instance, and when
}

type ownedShare struct {
	since      uint64 // as in shares.Share
	previous   string // as in shares.Share
	usableFrom time.Time
}

func newOwnership(config Config, now time.Time, earlier *Record, fresh bool) ownership {
	o := ownership{
		identity: config.Identity,
		rest:     config.interval() + cellLength,
		lease:    config.HolderLease,
		started:  now,
		recorded: make(map[int]uint64),
		hasPast:  !fresh,
		owned:    make(map[int]ownedShare),
		lost:     make(map[int]time.Time),
	}
	if earlier != nil {
		for _, share := range earlier.Shares {
			o.recorded[share.Index] = share.Since
		}
	}
	return o
}

// observe takes in the table, and returns which shares were given to this instance by another one, by their former owner.
func (o *ownership) observe(now time.Time, table shares.Table) (given map[string][]int) {
	given = make(map[string][]int)
	for i, share := range table.Shares {
		known, owned := o.owned[i]
		switch {
		case share.Owner != o.identity:
			if owned && !now.Before(known.usableFrom) {
				o.lost[i] = now
			}
			delete(o.owned, i)
			continue
		case owned && known.since == share.Since:
			continue
		}
		from := o.usableFrom(now, i, share)
		o.owned[i] = ownedShare{since: share.Since, previous: share.Previous, usableFrom: from}
		if share.Previous != "" && now.Before(from) {
			given[share.Previous] = append(given[share.Previous], i)
		}
	}
	return given
}

func (o *ownership) usableFrom(now time.Time, index int, share shares.Share) time.Time {
	since, recorded := o.recorded[index]
	switch {
	case recorded && since == share.Since:
		return now
	case share.Previous == "" && !o.hasPast:
		return now
	case share.Previous == "" || share.Previous == o.identity:
		return o.started.Add(o.rest)
	}
	return now.Add(o.lease + leaseMargin + o.rest)
}

// takeOver makes a share usable at once: its former owner's issues are counted here now.
func (o *ownership) takeOver(now time.Time, index int) {
	if share, owned := o.owned[index]; owned && now.Before(share.usableFrom) {
		share.usableFrom = now
		o.owned[index] = share
	}
}

// usable returns the fraction of every limit that this instance may issue credit for.
func (o *ownership) usable(now time.Time) float64 {
	count := 0
	for _, share := range o.owned {
		if !now.Before(share.usableFrom) {
			count++
		}
	}
	return float64(count) / shares.Count
}

// record lists the usable shares.
func (o *ownership) record(now time.Time) []RecordedShare {
	var usable []RecordedShare
	for i := range shares.Count {
		if share, owned := o.owned[i]; owned && !now.Before(share.usableFrom) {
			usable = append(usable, RecordedShare{Index: i, Since: share.since})
		}
	}
	return usable
}

// issuedFor lists the shares that this instance may have issued credit for in the newest interval.
func (o *ownership) issuedFor(now time.Time) []RecordedShare {
	list := o.record(now)
	for i, at := range o.lost {
		if now.Sub(at) > o.rest {
			delete(o.lost, i)
			continue
		}
		list = append(list, RecordedShare{Index: i})
	}
	return list
}
