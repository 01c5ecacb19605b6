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
	mostPause  = 500 * time.Millisecond
)

// Course decides which control instance is asked next: those of the own zone first, then the others, shuffled. Once all
// were tried it pauses, longer with each round.
type Course struct {
	zone    string
	own     netip.Addr
	random  *rand.Rand
	seeds   []string
	members []protocol.Member
	ahead   []string // of this round
	last    string   // comes last in this round
	pause   time.Duration
	started bool
}

// NewCourse returns the course of a router in that zone and at that address.
func NewCourse(zone string, own netip.Addr, random *rand.Rand) *Course {
	return &Course{zone: zone, own: own, random: random}
}

// SetSeeds replaces the addresses that the settings name.
func (c *Course) SetSeeds(seeds []string) {
	c.seeds = slices.Clone(seeds)
}

// SetMembers replaces the instances that the control plane names.
func (c *Course) SetMembers(members []protocol.Member) {
	c.members = slices.Clone(members)
}

// Next is the instance to ask, after a pause. It is empty where none is known.
func (c *Course) Next() (address string, pause time.Duration) {
	if len(c.ahead) == 0 {
		c.ahead = c.round()
		if c.started {
			c.pause = min(mostPause, max(leastPause, 2*c.pause))
			pause = c.pause/2 + time.Duration(c.random.Int64N(int64(c.pause/2)))
		}
		c.started = true
	}
	if len(c.ahead) == 0 {
		return "", max(pause, leastPause)
	}
	address = c.ahead[0]
	c.ahead = c.ahead[1:]
	return address, pause
}

// Anew begins a new round without a pause. Last is the instance that is tried last in it: one that did its work for a
// while and has been left, or empty.
func (c *Course) Anew(last string) {
	c.last = last
	c.ahead = nil
	c.pause = 0
	c.started = false
}

// round lists all instances that are known.
func (c *Course) round() []string {
	var near, far []string
	for _, member := range c.members {
		if member.Zone == c.zone {
			near = append(near, member.Address)
		} else {
			far = append(far, member.Address)
		}
	}
	c.shuffle(near)
	c.shuffle(far)
	seeds := slices.Clone(c.seeds)
	c.shuffle(seeds)
	slices.SortStableFunc(seeds, func(a, b string) int { return c.nearness(b) - c.nearness(a) })
	list := append(near, far...)
	for _, seed := range seeds {
		if !slices.Contains(list, seed) {
			list = append(list, seed)
		}
	}
	if at := slices.Index(list, c.last); at >= 0 {
		list = append(slices.Delete(list, at, at+1), c.last)
	}
	c.last = ""
	return list
}

func (c *Course) shuffle(list []string) {
	c.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
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
