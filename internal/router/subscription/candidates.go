package subscription

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

const (
	minRoundBackoff = 50 * time.Millisecond // before the second round over all instances
	maxRoundBackoff = 250 * time.Millisecond

	zoneLocalProximity = 33 // of an instance that is known to be in the own zone: above that of any address
	lastProximity      = -1 // of the instance that comes last
)

// Candidate is an instance to probe.
type Candidate struct {
	Address   string
	Proximity int // higher is closer; a reply from a closer instance is worth a short wait
}

// Candidates decides in which order control instances are probed: those in the own zone first, then the others, shuffled.
// Between rounds over all of them there is an exponential backoff. It is not safe for concurrent use.
type Candidates struct {
	zone          string
	own           netip.Addr
	random        *rand.Rand
	seeds         []string
	members       []protocol.Member
	deprioritized string        // address that comes last in the next round
	backoff       time.Duration // before jitter
	started       bool          // the first round has been due
}

// NewCandidates returns the candidates of a router in that zone and at that address. Random shuffles and draws the
// jitter.
func NewCandidates(zone string, own netip.Addr, random *rand.Rand) *Candidates {
	return &Candidates{zone: zone, own: own, random: random}
}

// SetSeeds replaces the addresses of the settings. It says whether they have changed.
func (c *Candidates) SetSeeds(seeds []string) bool {
	if slices.Equal(c.seeds, seeds) {
		return false
	}
	c.seeds = slices.Clone(seeds)
	return true
}

// SetMembers replaces the instances that the control plane has named.
func (c *Candidates) SetMembers(members []protocol.Member) {
	c.members = slices.Clone(members)
}

// NextBackoff is the wait before the next round: none before the first one, then longer each time, with jitter.
func (c *Candidates) NextBackoff() time.Duration {
	if !c.started {
		c.started = true
		return 0
	}
	c.backoff = min(maxRoundBackoff, max(minRoundBackoff, 2*c.backoff))
	return c.backoff/2 + time.Duration(c.random.Int64N(int64(c.backoff/2)))
}

// Restart has the next round begin without a backoff. Deprioritized is the address that is probed last in it: one that worked
// for a while and has been left. It may be empty.
func (c *Candidates) Restart(deprioritized string) {
	c.deprioritized = deprioritized
	c.backoff = 0
	c.started = false
}

// Deprioritize has an instance that failed come last in the next round.
func (c *Candidates) Deprioritize(address string) { c.deprioritized = address }

// NextRound lists all known instances in the order in which to probe them.
func (c *Candidates) NextRound() []Candidate {
	var list []Candidate
	add := func(address string, proximity int) {
		if !slices.ContainsFunc(list, func(known Candidate) bool { return known.Address == address }) {
			list = append(list, Candidate{Address: address, Proximity: proximity})
		}
	}
	for _, member := range c.members {
		if member.Zone == c.zone {
			add(member.Address, zoneLocalProximity)
		} else {
			add(member.Address, 0)
		}
	}
	for _, seed := range c.seeds {
		add(seed, c.proximity(seed))
	}
	for i := range list {
		if list[i].Address == c.deprioritized {
			list[i].Proximity = lastProximity
		}
	}
	c.deprioritized = ""
	c.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b Candidate) int { return b.Proximity - a.Proximity })
	return list
}

// ZoneLocal lists the instances that are known to be in the own zone, as the next round.
func (c *Candidates) ZoneLocal() []Candidate {
	return slices.DeleteFunc(c.NextRound(), func(candidate Candidate) bool { return candidate.Proximity != zoneLocalProximity })
}

// HasZoneLocalAlternative says whether an instance in the own zone is known while the one at this address is in another.
func (c *Candidates) HasZoneLocalAlternative(address string) bool {
	has := false
	for _, member := range c.members {
		if member.Zone != c.zone {
			continue
		}
		if member.Address == address {
			return false
		}
		has = true
	}
	return has
}

// proximity guesses how close a seed is, whose zone is unknown: addresses of one zone have a long prefix in common. It is the
// length of that prefix in bits, from 0 to 32.
func (c *Candidates) proximity(address string) int {
	other, err := netip.ParseAddrPort(address)
	if err != nil || !other.Addr().Is4() || !c.own.Is4() {
		return 0
	}
	a, b := c.own.As4(), other.Addr().As4()
	for i := range a {
		if a[i] != b[i] {
			return 8*i + bits.LeadingZeros8(a[i]^b[i])
		}
	}
	return 8 * len(a)
}
