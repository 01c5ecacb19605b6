package shares

import (
	"slices"
	"time"
)

const (
	// failureTimeout is how long a holder must be unreachable before its shares are reassigned. It gets an equal number of
	// shares again after it returns.
	failureTimeout = time.Second
	// firstAssignmentDelay is how long the first assignment waits for live instances that have not registered yet.
	firstAssignmentDelay = 2 * time.Second
	// minLiveTimeMargin is added to the holder lease to give Assigner.minLiveTime.
	minLiveTimeMargin = time.Second
	// proposalTimeout is how long a proposed assignment may take to be applied before another one is proposed.
	proposalTimeout = 2 * time.Second
	// balanceInterval and maxMovedShares limit how many shares are moved between live holders, and how often.
	balanceInterval = 2 * time.Second
	maxMovedShares  = Count / 3
)

// Assigner determines which assignment the leader proposes. It is a pure state machine and not safe for concurrent use. Every
// instance has one that observes all the time, so that a new leader already knows how long each holder has been unreachable.
type Assigner struct {
	startedAt        time.Time
	lastProposedAt   time.Time
	lastProposed     uint64               // sequence of the newest proposal
	lastBalancedAt   time.Time            // when shares were last moved between live holders
	unreachableSince map[string]time.Time // holders that are not live, and since when
	liveSince        map[string]time.Time // since when each instance has been live; absences shorter than failureTimeout do not count
	minLiveTime      time.Duration        // live time from which an instance is preferred as an owner
}

// AssignerInput is the state that an instance observes at a step.
type AssignerInput struct {
	Table   Table    // as applied at this instance
	Members []string // identities of the voters in the view and of the chain members
	Live    []string // identities of the instances with recent heartbeats
}

// NewAssigner returns an assigner without observations; lease is the HolderLease of the deployment. An instance that has been
// running for less than the lease may have to wait for the rest of it before it can issue credit for reassigned shares (package
// quota), so such shares go to instances that have been live for longer, if there are any.
func NewAssigner(lease time.Duration) *Assigner {
	return &Assigner{
		unreachableSince: make(map[string]time.Time),
		liveSince:        make(map[string]time.Time),
		minLiveTime:      lease + minLiveTimeMargin,
	}
}

// Step observes the input and returns the assignment to propose now, or nil if none is due.
func (a *Assigner) Step(now time.Time, in AssignerInput) *Assignment {
	a.Observe(now, in)
	if a.startedAt.IsZero() {
		a.startedAt = now
	}
	if a.lastProposed > in.Table.Sequence && now.Sub(a.lastProposedAt) < proposalTimeout {
		return nil
	}
	owners, remaining := a.nextOwners(now, in), a.remainingHolders(now, in)
	if owners == nil && len(remaining) < len(in.Table.Holders) && len(in.Table.Shares) > 0 {
		owners = currentOwners(in.Table) // also remove failed holders without shares: a new owner of shares would wait for their answers
	}
	if owners == nil {
		return nil
	}
	a.lastProposed, a.lastProposedAt = in.Table.Sequence+1, now
	return &Assignment{Sequence: in.Table.Sequence + 1, Holders: remaining, Owners: owners}
}

// Observe tracks which holders are unreachable. Every instance calls it when its input has changed.
func (a *Assigner) Observe(now time.Time, in AssignerInput) {
	for _, instance := range in.Live {
		if _, known := a.liveSince[instance]; !known {
			a.liveSince[instance] = now
		}
	}
	for _, holder := range in.Table.Holders {
		if slices.Contains(in.Live, holder) {
			delete(a.unreachableSince, holder)
		} else if since, known := a.unreachableSince[holder]; !known {
			a.unreachableSince[holder] = now
		} else if now.Sub(since) >= failureTimeout {
			delete(a.liveSince, holder) // its live time starts again when it returns
		}
	}
}

// hasFailed reports whether a holder's shares are to be reassigned: it has been unreachable for failureTimeout, or it is
// unreachable and is no longer a member of the group.
func (a *Assigner) hasFailed(now time.Time, in AssignerInput, holder string) bool {
	since, unreachable := a.unreachableSince[holder]
	return unreachable && (now.Sub(since) >= failureTimeout || !slices.Contains(in.Members, holder))
}

// remainingHolders returns the registered holders that have not failed.
func (a *Assigner) remainingHolders(now time.Time, in AssignerInput) []string {
	return slices.DeleteFunc(slices.Clone(in.Table.Holders), func(holder string) bool { return a.hasFailed(now, in, holder) })
}

// candidates returns the live holders, sorted. Only they are given shares.
func (a *Assigner) candidates(in AssignerInput) []string {
	return slices.DeleteFunc(slices.Clone(in.Table.Holders), func(holder string) bool {
		_, unreachable := a.unreachableSince[holder]
		return unreachable
	})
}

// stable returns the candidates that have been live for at least minLiveTime.
func (a *Assigner) stable(now time.Time, candidates []string) []string {
	return slices.DeleteFunc(slices.Clone(candidates), func(holder string) bool {
		since, live := a.liveSince[holder]
		return !live || now.Sub(since) < a.minLiveTime
	})
}

// withShares returns the candidates that already own a share.
func withShares(owners, candidates []string) []string {
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

// nextOwners returns the owners of all shares after the next assignment, or nil if no share changes its owner.
func (a *Assigner) nextOwners(now time.Time, in AssignerInput) []string {
	candidates := a.candidates(in)
	if len(candidates) == 0 {
		return nil
	}
	if len(in.Table.Shares) == 0 {
		if len(candidates) < len(in.Live) && now.Sub(a.startedAt) < firstAssignmentDelay {
			return nil
		}
		return reassign(make([]string, Count), candidates, func(string) bool { return true })
	}
	owners := currentOwners(in.Table)
	stable := a.stable(now, candidates)
	updated := reassign(owners, firstNonEmpty(stable, withShares(owners, candidates), candidates), func(owner string) bool {
		return owner == "" || a.hasFailed(now, in, owner) || !in.Table.HasHolder(owner)
	})
	if len(stable) > 0 && slices.Equal(updated, owners) && now.Sub(a.lastBalancedAt) >= balanceInterval {
		updated = balance(updated, stable)
		a.lastBalancedAt = now
	}
	if slices.Equal(updated, owners) {
		return nil
	}
	return updated
}

// reassign gives each share whose owner matches needsOwner to the candidate with the fewest shares, and returns all owners.
func reassign(owners, candidates []string, needsOwner func(owner string) bool) []string {
	updated := slices.Clone(owners)
	owned := countOwned(owners)
	for i, owner := range owners {
		if !needsOwner(owner) {
			continue
		}
		updated[i] = slices.MinFunc(candidates, func(x, y string) int { return owned[x] - owned[y] })
		owned[updated[i]]++
	}
	return updated
}

// balance moves up to maxMovedShares shares from the candidates with the most to those with fewer than an equal number.
func balance(owners, candidates []string) []string {
	owned := countOwned(owners)
	balanced := slices.Clone(owners)
	equalCount := Count / len(candidates)
	for range maxMovedShares {
		largestOwner := slices.MaxFunc(candidates, func(x, y string) int { return owned[x] - owned[y] })
		smallestOwner := slices.MinFunc(candidates, func(x, y string) int { return owned[x] - owned[y] })
		if owned[smallestOwner] >= equalCount || owned[largestOwner] <= equalCount {
			break
		}
		balanced[slices.Index(balanced, largestOwner)] = smallestOwner
		owned[largestOwner]--
		owned[smallestOwner]++
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
