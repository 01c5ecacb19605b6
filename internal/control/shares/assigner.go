package shares

import (
	"slices"
	"time"
)

const (
	// goneTimeout is how long a holder must have been gone before its shares are taken from it. It gets as many back when
	// it returns.
	goneTimeout = time.Second
	// firstAssignmentDelay is how long the first assignment waits for live instances that have not registered yet.
	firstAssignmentDelay = 2 * time.Second
	// settleMargin is added to the lease until an instance counts as settled.
	settleMargin = time.Second
	// proposalTimeout is how long an assignment may be under way before the next is proposed.
	proposalTimeout = 2 * time.Second
	// balanceInterval and maxMovedShares bound how fast shares are taken from live holders.
	balanceInterval = 2 * time.Second
	maxMovedShares  = Count / 3
)

// Assigner decides which assignment the leader proposes. It is pure and not safe for concurrent use. Each instance has one that
// observes all the time, so that a new leader knows since when holders are gone.
type Assigner struct {
	startedAt  time.Time
	proposedAt time.Time
	proposed   uint64               // sequence of the newest proposal
	balancedAt time.Time            // when shares were taken from live holders last
	goneSince  map[string]time.Time // holders that are not live
	liveSince  map[string]time.Time // since when each instance has been live, or silent for a moment only
	settleTime time.Duration
}

// AssignerInput is what an instance knows at a step.
type AssignerInput struct {
	Table   Table    // as applied here
	Members []string // identities of the view's voters and of the chain's members
	Live    []string // identities of the instances heard from lately
}

// NewAssigner returns an assigner that has observed nothing; lease is HolderLease of the deployment. An instance that has run for
// less than its lease may have to wait for that before it can use another one's shares (package quota), so they go to others if
// possible.
func NewAssigner(lease time.Duration) *Assigner {
	return &Assigner{
		goneSince:  make(map[string]time.Time),
		liveSince:  make(map[string]time.Time),
		settleTime: lease + settleMargin,
	}
}

// Step takes in what the leader knows and returns the assignment to be proposed now, nil if none is due.
func (a *Assigner) Step(now time.Time, in AssignerInput) *Assignment {
	a.Observe(now, in)
	if a.startedAt.IsZero() {
		a.startedAt = now
	}
	if a.proposed > in.Table.Sequence && now.Sub(a.proposedAt) < proposalTimeout {
		return nil
	}
	owners, remaining := a.decide(now, in), a.remaining(now, in)
	if owners == nil && len(remaining) < len(in.Table.Holders) && len(in.Table.Shares) > 0 {
		owners = currentOwners(in.Table) // who is gone is dropped also if it owns nothing: a successor would ask it
	}
	if owners == nil {
		return nil
	}
	a.proposed, a.proposedAt = in.Table.Sequence+1, now
	return &Assignment{Sequence: in.Table.Sequence + 1, Holders: remaining, Owners: owners}
}

// Observe notes which holders are gone. All instances call it when something changed.
func (a *Assigner) Observe(now time.Time, in AssignerInput) {
	for _, instance := range in.Live {
		if _, noted := a.liveSince[instance]; !noted {
			a.liveSince[instance] = now
		}
	}
	for _, holder := range in.Table.Holders {
		if slices.Contains(in.Live, holder) {
			delete(a.goneSince, holder)
		} else if since, noted := a.goneSince[holder]; !noted {
			a.goneSince[holder] = now
		} else if now.Sub(since) >= goneTimeout {
			delete(a.liveSince, holder) // it settles anew; a moment's silence is none of it
		}
	}
}

// isGone reports whether a holder loses its shares: it has been gone for a while, or has been replaced in the group.
func (a *Assigner) isGone(now time.Time, in AssignerInput, holder string) bool {
	since, gone := a.goneSince[holder]
	return gone && (now.Sub(since) >= goneTimeout || !slices.Contains(in.Members, holder))
}

// remaining returns the registered holders without those that are gone.
func (a *Assigner) remaining(now time.Time, in AssignerInput) []string {
	return slices.DeleteFunc(slices.Clone(in.Table.Holders), func(holder string) bool { return a.isGone(now, in, holder) })
}

// candidates returns the holders that may be given shares: the live ones, sorted.
func (a *Assigner) candidates(in AssignerInput) []string {
	return slices.DeleteFunc(slices.Clone(in.Table.Holders), func(holder string) bool {
		_, gone := a.goneSince[holder]
		return gone
	})
}

// settled returns those candidates that have been live for long.
func (a *Assigner) settled(now time.Time, candidates []string) []string {
	return slices.DeleteFunc(slices.Clone(candidates), func(holder string) bool {
		since, live := a.liveSince[holder]
		return !live || now.Sub(since) < a.settleTime
	})
}

// owning returns those candidates that own a share already.
func owning(owners, candidates []string) []string {
	return slices.DeleteFunc(slices.Clone(candidates), func(holder string) bool { return !slices.Contains(owners, holder) })
}

func firstNonEmpty(lists ...[]string) []string {
	for _, list := range lists {
		if len(list) > 0 {
			return list
		}
	}
	return nil
}

// decide returns the owners of all shares after the next assignment, nil if nothing is to change.
func (a *Assigner) decide(now time.Time, in AssignerInput) []string {
	candidates := a.candidates(in)
	if len(candidates) == 0 {
		return nil
	}
	if len(in.Table.Shares) == 0 {
		if len(candidates) < len(in.Live) && now.Sub(a.startedAt) < firstAssignmentDelay {
			return nil
		}
		return give(make([]string, Count), candidates, func(string) bool { return true })
	}
	owners := currentOwners(in.Table)
	settled := a.settled(now, candidates)
	given := give(owners, firstNonEmpty(settled, owning(owners, candidates), candidates), func(owner string) bool {
		return owner == "" || a.isGone(now, in, owner) || !in.Table.HasHolder(owner)
	})
	if len(settled) > 0 && slices.Equal(given, owners) && now.Sub(a.balancedAt) >= balanceInterval {
		given = balance(given, settled)
		a.balancedAt = now
	}
	if slices.Equal(given, owners) {
		return nil
	}
	return given
}

// give returns the owners with the shares of some owners spread evenly: each goes to the candidate with the fewest.
func give(owners, candidates []string, isGiven func(owner string) bool) []string {
	given := slices.Clone(owners)
	owned := countOwned(owners)
	for i, owner := range owners {
		if !isGiven(owner) {
			continue
		}
		given[i] = slices.MinFunc(candidates, func(x, y string) int { return owned[x] - owned[y] })
		owned[given[i]]++
	}
	return given
}

// balance gives shares of the holders with the most to candidates that have notably fewer than an even part.
func balance(owners, candidates []string) []string {
	owned := countOwned(owners)
	balanced := slices.Clone(owners)
	even := Count / len(candidates)
	for range maxMovedShares {
		richest := slices.MaxFunc(candidates, func(x, y string) int { return owned[x] - owned[y] })
		poorest := slices.MinFunc(candidates, func(x, y string) int { return owned[x] - owned[y] })
		if owned[poorest] >= even || owned[richest] <= even {
			break
		}
		balanced[slices.Index(balanced, richest)] = poorest
		owned[richest]--
		owned[poorest]++
	}
	return balanced
}

func currentOwners(table Table) []string {
	owners := make([]string, Count)
	for i, share := range table.Shares {
		owners[i] = share.Owner
	}
	return owners
}

func countOwned(owners []string) map[string]int {
	owned := make(map[string]int)
	for _, owner := range owners {
		owned[owner]++
	}
	return owned
}
