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
	leastPause = 50 * time.Millisecond // before the second round over all instances
	mostPause  = 250 * time.Millisecond

	ownZone  = 33 // nearness of an instance that is known to be in the own zone: above that of any address
	farthest = -1 // nearness of the one that comes last
)

// Target is an instance to ask.
type Target struct {
	Address  string
	Nearness int // an answer of a higher one is worth a short wait
}

// Course decides in which order control instances are asked: those of the own zone first, then the others, shuffled. Once
// all were tried it pauses, longer with each round.
type Course struct {
	zone    string
	own     netip.Addr
	random  *rand.Rand
	seeds   []string
	members []protocol.Member
	last    string // comes last in the next round
	pause   time.Duration
	started bool
}

// NewCourse returns the course of a router in that zone and at that address.
func NewCourse(zone string, own netip.Addr, random *rand.Rand) *Course {
	return &Course{zone: zone, own: own, random: random}
}

// SetSeeds replaces the addresses that the settings name. It says whether they are others than before.
func (c *Course) SetSeeds(seeds []string) bool {
	if slices.Equal(c.seeds, seeds) {
		return false
	}
	c.seeds = slices.Clone(seeds)
	return true
}

// SetMembers replaces the instances that the control plane names.
func (c *Course) SetMembers(members []protocol.Member) {
	c.members = slices.Clone(members)
}

// Pause is the time to wait before the next round: none before the first one, then longer each time.
func (c *Course) Pause() time.Duration {
	if !c.started {
		c.started = true
		return 0
	}
	c.pause = min(mostPause, max(leastPause, 2*c.pause))
	return c.pause/2 + time.Duration(c.random.Int64N(int64(c.pause/2)))
}

// Anew begins a new round without a pause. Last is the instance that is tried last in it: one that did its work for a
// while and has been left, or empty.
func (c *Course) Anew(last string) {
	c.last = last
	c.pause = 0
	c.started = false
}

// Postpone has an instance that failed come last in the next round.
func (c *Course) Postpone(address string) { c.last = address }

// Round lists all instances that are known.
func (c *Course) Round() []Target {
	var list []Target
	add := func(address string, nearness int) {
		if !slices.ContainsFunc(list, func(t Target) bool { return t.Address == address }) {
			list = append(list, Target{Address: address, Nearness: nearness})
		}
	}
	for _, member := range c.members {
		if member.Zone == c.zone {
			add(member.Address, ownZone)
		} else {
			add(member.Address, 0)
		}
	}
	for _, seed := range c.seeds {
		add(seed, c.nearness(seed))
	}
	for i := range list {
		if list[i].Address == c.last {
			list[i].Nearness = farthest
		}
	}
	c.last = ""
	c.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b Target) int { return b.Nearness - a.Nearness })
	return list
}

// OwnZone lists the instances that are known to be in the own zone.
func (c *Course) OwnZone() []Target {
	return slices.DeleteFunc(c.Round(), func(t Target) bool { return t.Nearness != ownZone })
}

// nearness guesses which seeds are in the own zone, whose zones nobody has told: addresses of one zone begin alike.
func (c *Course) nearness(address string) int {
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

// Nearer says whether an instance of the own zone is known while the one at this address is of another.
func (c *Course) Nearer(address string) bool {
	nearer := false
	for _, member := range c.members {
		if member.Zone != c.zone {
			continue
		}
		if member.Address == address {
			return false
		}
		nearer = true
	}
	return nearer
}
