package shares

import (
	"slices"
	"time"
)

const (
	// goneTimeout is how long a holder must have been gone before its shares are taken from it. One that restarts is
	// back sooner, and can go on with its shares after a window, or at once if it has its record.
	goneTimeout = 8 * time.Second
	// releaseMargin is added to the lease between taking a share from its holder and giving it to the next.
	releaseMargin = 500 * time.Millisecond
	// firstAssignmentDelay is how long the first assignment waits for live instances that have not registered yet.
	firstAssignmentDelay = 2 * time.Second
	// proposalTimeout is how long an assignment may be under way before the next is proposed.
	proposalTimeout = 2 * time.Second
	// maxMovedShares bounds the shares that are taken from live holders at a time: until they are given on nobody issues
	// credit for them.
	maxMovedShares = Count / 12
)

// Assigner decides which assignment the leader proposes. It is pure and not safe for concurrent use. Each instance has one that
// observes all the time, so that a new leader knows since when holders are gone and shares are without an owner.
type Assigner struct {
	lease        time.Duration // HolderLease
	startedAt    time.Time
	proposedAt   time.Time
	proposed     uint64               // sequence of the newest proposal
	goneSince    map[string]time.Time // holders that are not live
	addresses    map[string]string    // of all instances that were live, by identity
	ended        map[string]bool      // holders at whose address another one runs now
	releasedFrom map[int]release      // shares without an owner
}

// release is when a share was first seen without an owner.
type release struct {
	since uint64 // as in Share
	at    time.Time
}

// AssignerInput is what an instance knows at a step.
type AssignerInput struct {
	Table   Table    // as applied here
	Members []string // identities of the view's voters and of the chain's members
	Live    []Instance
}

// Instance is an instance that was heard from lately.
type Instance struct {
	Identity string // of its disk
	Address  string // of its transport
}

// NewAssigner returns an assigner that has observed nothing.
func NewAssigner(lease time.Duration) *Assigner {
	return &Assigner{
		lease:        lease,
		goneSince:    make(map[string]time.Time),
		addresses:    make(map[string]string),
		ended:        make(map[string]bool),
		releasedFrom: make(map[int]release),
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
	owners := a.decide(now, in)
	if owners == nil {
		return nil
	}
	a.proposed, a.proposedAt = in.Table.Sequence+1, now
	return &Assignment{Sequence: in.Table.Sequence + 1, Holders: a.remaining(now, in), Owners: owners}
}

// Observe notes which holders are gone and which shares are without an owner. All instances call it when something changed.
func (a *Assigner) Observe(now time.Time, in AssignerInput) {
	a.observeAddresses(in.Live)
	for _, holder := range in.Table.Holders {
		if slices.ContainsFunc(in.Live, func(i Instance) bool { return i.Identity == holder }) {
			delete(a.goneSince, holder)
		} else if _, noted := a.goneSince[holder]; !noted {
			a.goneSince[holder] = now
		}
	}
	for i, share := range in.Table.Shares {
		noted, isNoted := a.releasedFrom[i]
		switch {
		case share.Owner != "":
			delete(a.releasedFrom, i)
		case !isNoted || noted.since != share.Since:
			a.releasedFrom[i] = release{since: share.Since, at: now}
		}
	}
}

// observeAddresses notes which holders have surely ended: two processes can't listen at one address, so one with a new identity
// there, on an empty disk, follows the end of the former.
func (a *Assigner) observeAddresses(live []Instance) {
	for _, instance := range live {
		if _, known := a.addresses[instance.Identity]; known {
			continue
		}
		for former, address := range a.addresses {
			if address == instance.Address {
				a.ended[former] = true
			}
		}
		a.addresses[instance.Identity] = instance.Address
	}
}

// isGone reports whether a holder loses its shares: it has ended for good, has been gone for long, or has been replaced in the
// group.
func (a *Assigner) isGone(now time.Time, in AssignerInput, holder string) bool {
	since, gone := a.goneSince[holder]
	return gone && (a.ended[holder] || now.Sub(since) >= goneTimeout || !slices.Contains(in.Members, holder))
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
		return give(make([]string, Count), candidates, func(int) bool { return true })
	}
	owners := make([]string, Count)
	for i, share := range in.Table.Shares {
		owners[i] = share.Owner
	}
	given := give(owners, candidates, func(i int) bool {
		return a.ended[owners[i]] || owners[i] == "" && now.Sub(a.releasedFrom[i].at) >= a.lease+releaseMargin
	})
	for i, owner := range given {
		if owner != "" && a.isGone(now, in, owner) {
			given[i] = ""
		}
	}
	if slices.Equal(given, owners) {
		given = balance(given, candidates)
	}
	if slices.Equal(given, owners) {
		return nil
	}
	return given
}

// give returns the owners with the shares that may be given spread evenly: each goes to the candidate with the fewest.
func give(owners, candidates []string, mayGive func(share int) bool) []string {
	given := slices.Clone(owners)
	owned := countOwned(owners)
	for i := range given {
		if !mayGive(i) {
			continue
		}
		given[i] = slices.MinFunc(candidates, func(x, y string) int { return owned[x] - owned[y] })
		owned[given[i]]++
	}
	return given
}

// balance takes shares from the holders with the most while some candidate has notably fewer than an even part, and no share
// is without an owner already.
func balance(owners, candidates []string) []string {
	owned := countOwned(owners)
	if owned[""] > 0 {
		return owners
	}
	balanced := slices.Clone(owners)
	even := Count / len(candidates)
	missing := 0
	for _, holder := range candidates {
		missing += max(0, even-owned[holder])
	}
	for range min(missing, maxMovedShares) {
		richest := slices.MaxFunc(candidates, func(x, y string) int { return owned[x] - owned[y] })
		if owned[richest] <= even {
			break
		}
		balanced[slices.Index(balanced, richest)] = ""
		owned[richest]--
	}
	return balanced
}

func countOwned(owners []string) map[string]int {
	owned := make(map[string]int)
	for _, owner := range owners {
		owned[owner]++
	}
	return owned
}
