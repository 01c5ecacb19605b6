package quota

import (
	"time"

	"raventrestle/internal/control/shares"
)

// ownership says which shares this instance may issue credit for, and from when.
//
// A share that was given to this instance has belonged to another one until a moment before, or to an earlier process of
// this one whose issues are unknown: it is usable after a whole interval in which nobody issued credit for it. It is usable at
// once if nobody has owned it before, or if the record of the earlier process says that it was usable then.
type ownership struct {
	identity string
	interval time.Duration // of bounded issues, with a cell
	started  time.Time
	recorded map[int]uint64 // shares usable by the record of an earlier process, and their shares.Share.Since
	hasPast  bool           // an earlier process of this instance may have issued credit
	owned    map[int]ownedShare
}

type ownedShare struct {
	since      uint64 // as in shares.Share
	usableFrom time.Time
}

func newOwnership(identity string, interval time.Duration, now time.Time, earlier *Record, fresh bool) ownership {
	o := ownership{
		identity: identity,
		interval: interval + cellLength,
		started:  now,
		recorded: make(map[int]uint64),
		hasPast:  !fresh,
		owned:    make(map[int]ownedShare),
	}
	if earlier != nil {
		for _, share := range earlier.Shares {
			o.recorded[share.Index] = share.Since
		}
	}
	return o
}

// observe takes in the table.
func (o *ownership) observe(now time.Time, table shares.Table) {
	for i, share := range table.Shares {
		if share.Owner != o.identity {
			delete(o.owned, i)
			continue
		}
		if known, owned := o.owned[i]; owned && known.since == share.Since {
			continue
		}
		o.owned[i] = ownedShare{since: share.Since, usableFrom: o.usableFrom(now, i, share)}
	}
}

func (o *ownership) usableFrom(now time.Time, index int, share shares.Share) time.Time {
	since, recorded := o.recorded[index]
	switch {
	case recorded && since == share.Since:
		return now
	case share.First && !o.hasPast:
		return now
	case share.First:
		return o.started.Add(o.interval)
	}
	return now.Add(o.interval)
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
