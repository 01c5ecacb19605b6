package lease

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Snapshot is what a next life needs to know: what this one acknowledged and has lent.
type Snapshot struct {
	Epoch  uint64
	Wait   time.Duration // what was left of this life's own wait
	Lists  []List
	Since  uint64
	Wholes []HeldWhole
}

// HeldWhole is one whole of a snapshot.
type HeldWhole struct {
	Whole Whole // Since is the floor
	Sizes map[uint64]float64
	Must  uint64 // nothing is used under an older generation
	Lent  []Lent
}

// Lent is one loan that is out.
type Lent struct {
	Key      Key
	LastAsk  uint64
	Fraction float64
	Left     time.Duration // until the lender takes it back
}

// Snapshot returns the state to store.
func (b *Book) Snapshot(now time.Duration) Snapshot {
	b.reckon(now)
	s := Snapshot{Epoch: b.epoch, Wait: max(0, b.free-now), Since: b.floor}
	for _, v := range slices.Sorted(maps.Keys(b.lists)) {
		s.Lists = append(s.Lists, b.lists[v])
	}
	for _, w := range b.order {
		h := HeldWhole{Whole: w.Whole, Sizes: maps.Clone(w.sizes), Must: w.must}
		for _, l := range w.lent {
			if now < l.end {
				h.Lent = append(h.Lent, Lent{l.key, l.lastAsk, l.fraction, l.end - now})
			}
		}
		s.Wholes = append(s.Wholes, h)
	}
	return s
}

// Restore begins a life that follows the one of the snapshot. What was left of each loan counts from now, as the time
// between the two lives is not known.
func Restore(cfg Config, epoch uint64, now time.Duration, s Snapshot) (*Book, error) {
	if epoch <= s.Epoch {
		return nil, fmt.Errorf("lease: epoch %d after %d: draw a larger one", epoch, s.Epoch)
	}
	b, err := New(cfg, epoch, now, false)
	if err != nil {
		return nil, err
	}
	b.earlier, b.free, b.since = true, now+s.Wait, s.Since
	for _, l := range s.Lists {
		if err := b.Members(l); err != nil {
			return nil, err
		}
	}
	for _, h := range s.Wholes {
		for _, g := range slices.Sorted(maps.Keys(h.Sizes)) {
			n := h.Whole
			n.Generation, n.Size, n.Since = g, h.Sizes[g], min(n.Since, g)
			if err := b.SetWhole(now, n); err != nil {
				return nil, err
			}
		}
		w := b.wholes[h.Whole.ID]
		if w == nil {
			continue
		}
		w.must = h.Must
		for _, l := range h.Lent {
			w.lent = append(w.lent, lent{l.Key, l.LastAsk, l.Fraction, now + l.Left})
		}
	}
	b.changed = true
	return b, nil
}
