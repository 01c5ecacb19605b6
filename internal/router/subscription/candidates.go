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
	minRoundBackoff = 50 * time.Millisecond  // before the second round
	maxRoundBackoff = 250 * time.Millisecond // before later rounds

	zoneLocalProximity     = 33 // of an instance that is known to be in the local zone; higher than that of any address
	deprioritizedProximity = -1 // of an instance that is probed last
)

// Candidate is an instance to probe.
type Candidate struct {
	Address   string
	Proximity int // higher is closer; the router waits briefly for a reply of a closer instance
}

// Candidates determines the order in which control instances are probed: first those in the local zone, then the others, each
// group shuffled. Rounds over all instances are separated by an exponential backoff. It is not safe for concurrent use.
type Candidates struct {
	zone          string
	ownAddress    netip.Addr
	random        *rand.Rand
	seeds         []string
	members       []protocol.Member
	deprioritized string        // address of the instance that comes last in the next round
	backoff       time.Duration // without jitter
	started       bool          // the first round has begun, or is due now
}

// NewCandidates returns the candidates of a router in the given zone with the given address. Random is used for shuffling and
// jitter.
func NewCandidates(zone string, own netip.Addr, random *rand.Rand) *Candidates {
	return &Candidates{zone: zone, ownAddress: own, random: random}
}

// SetSeeds replaces the instances from the settings. It reports whether they have changed.
func (c *Candidates) SetSeeds(seeds []string) bool {
	if slices.Equal(c.seeds, seeds) {
		return false
	}
	c.seeds = slices.Clone(seeds)
	return true
}

// SetMembers replaces the instances that the control plane has reported.
func (c *Candidates) SetMembers(members []protocol.Member) {
	c.members = slices.Clone(members)
}

// NextBackoff returns the wait before the next round: none before the first one, then increasing waits with jitter.
func (c *Candidates) NextBackoff() time.Duration {
	if !c.started {
		c.started = true
		return 0
	}
	c.backoff = min(maxRoundBackoff, max(minRoundBackoff, 2*c.backoff))
	return c.backoff/2 + time.Duration(c.random.Int64N(int64(c.backoff/2)))
}

// Restart lets the next round begin without a backoff. The instance at the deprioritized address, which may be empty, is probed
// last in that round. It is an instance that worked for a while and was then left.
func (c *Candidates) Restart(deprioritized string) {
	c.deprioritized = deprioritized
	c.backoff = 0
	c.started = false
}

// Deprioritize makes an instance that failed come last in the next round.
func (c *Candidates) Deprioritize(address string) { c.deprioritized = address }

// NextRound returns all known instances in the order in which to probe them.
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
			list[i].Proximity = deprioritizedProximity
		}
	}
	c.deprioritized = ""
	c.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b Candidate) int { return b.Proximity - a.Proximity })
	return list
}

// ZoneLocal returns the instances that are known to be in the local zone. They form the next round.
func (c *Candidates) ZoneLocal() []Candidate {
	return slices.DeleteFunc(c.NextRound(), func(candidate Candidate) bool { return candidate.Proximity != zoneLocalProximity })
}

// HasZoneLocalAlternative reports whether an instance in the local zone is known while the one at this address is in another zone.
func (c *Candidates) HasZoneLocalAlternative(address string) bool {
	found := false
	for _, member := range c.members {
		if member.Zone != c.zone {
			continue
		}
		if member.Address == address {
			return false
		}
		found = true
	}
	return found
}

// proximity estimates how close a seed is. The zone of a seed is unknown, but addresses in one zone share a long prefix. The
// result is the length of the common prefix in bits, from 0 to 32.
func (c *Candidates) proximity(address string) int {
	other, err := netip.ParseAddrPort(address)
	if err != nil || !other.Addr().Is4() || !c.ownAddress.Is4() {
		return 0
	}
	a, b := c.ownAddress.As4(), other.Addr().As4()
	for i := range a {
		if a[i] != b[i] {
			return 8*i + bits.LeadingZeros8(a[i]^b[i])
		}
	}
	return 8 * len(a)
}
