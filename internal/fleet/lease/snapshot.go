package lease

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Snapshot is the state that the next incarnation needs: what this one acknowledged and has lent.
type Snapshot struct {
	Epoch       uint64
	UnusableFor time.Duration // remaining time until the own share may be used
	Lists       []List
	OldestInUse uint64
	Quotas      []QuotaSnapshot
}

// QuotaSnapshot is the state of one quota in a Snapshot.
type QuotaSnapshot struct {
	Quota         Quota // OldestInUse is the oldest generation in use
	Sizes         map[uint64]float64
	MinGeneration uint64 // an older generation permits no use
	Lent          []LentLoan
}

// LentLoan is a loan that is still lent.
type LentLoan struct {
	Key         LoanKey
	LastRequest uint64
	Fraction    float64
	Remaining   time.Duration // time until the lender takes it back
}

// Snapshot returns the state to store.
func (a *Allocator) Snapshot(now time.Duration) Snapshot {
	a.recompute(now)
	s := Snapshot{Epoch: a.epoch, UnusableFor: max(0, a.usableFrom-now), OldestInUse: a.oldestList}
	for _, v := range slices.Sorted(maps.Keys(a.lists)) {
		s.Lists = append(s.Lists, a.lists[v])
	}
	for _, qs := range a.sortedQuotas {
		saved := QuotaSnapshot{Quota: qs.Quota, Sizes: maps.Clone(qs.sizes), MinGeneration: qs.minGeneration}
		for _, l := range qs.lent {
			if now < l.end {
				saved.Lent = append(saved.Lent, LentLoan{l.key, l.lastRequest, l.fraction, l.end - now})
			}
		}
		s.Quotas = append(s.Quotas, saved)
	}
	return s
}

// Restore returns the Allocator of the incarnation after the one that made the snapshot. The remaining times of loans
// count from now, as the time between the two incarnations is unknown.
func Restore(cfg Config, epoch uint64, now time.Duration, s Snapshot) (*Allocator, error) {
	if epoch <= s.Epoch {
		return nil, fmt.Errorf("lease: epoch %d after %d: use a larger one", epoch, s.Epoch)
	}
	a, err := New(cfg, epoch, now, false)
	if err != nil {
		return nil, err
	}
	a.hasPredecessor, a.usableFrom, a.oldestInUse = true, now+s.UnusableFor, s.OldestInUse
	for _, l := range s.Lists {
		if err := a.SetMembers(l); err != nil {
			return nil, err
		}
	}
	for _, saved := range s.Quotas {
		for _, g := range slices.Sorted(maps.Keys(saved.Sizes)) {
			q := saved.Quota
			q.Generation, q.Size, q.OldestInUse = g, saved.Sizes[g], min(q.OldestInUse, g)
			if err := a.SetQuota(now, q); err != nil {
				return nil, err
			}
		}
		qs := a.quotas[saved.Quota.ID]
		if qs == nil {
			continue
		}
		qs.minGeneration = saved.MinGeneration
		for _, l := range saved.Lent {
			qs.lent = append(qs.lent, lentLoan{l.Key, l.LastRequest, l.Fraction, now + l.Remaining})
		}
	}
	a.stateChanged = true
	return a, nil
}
