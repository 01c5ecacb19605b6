package members

import (
	"cmp"
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Figures are the rates and sizes of a fleet's traffic, as the package's comment reckons them; a model of a fleet takes
// them from here.
type Figures struct {
	Gossip   time.Duration // changes are passed on so often
	FanOut   int           // to so many members, each with changes of its own choosing
	Datagram int           // bytes
	Exchange time.Duration // each member begins an exchange of everything so often
	Stream   time.Duration // after which an exchange is given up
	Probes   int           // bytes a second sent for probing and its answers
	Listed   int           // bytes of a member in an exchange
	Packet   int           // bytes around a message in a packet
	Piece    int           // bytes around a piece in a message
}

const (
	fanOut      = 4
	probeBytes  = 150
	listedBytes = 130
)

// Figures of a fleet of so many members.
func (c Config) Figures(members int) Figures {
	c = c.defaults()
	exchange := c.exchange()
	if members > 32 { // memberlist's own scaling
		exchange *= time.Duration(math.Ceil(math.Log2(float64(members))-5) + 1)
	}
	return Figures{
		Gossip: c.GossipInterval, FanOut: fanOut, Datagram: c.MaxDatagram, Exchange: exchange, Stream: tcpTime,
		Probes: probeBytes, Listed: listedBytes, Packet: packetOverhead, Piece: pieceOverhead,
	}
}

// Head is the length of what stands before each payload of the named courier: version, kind, and the node that sends it.
func Head(name string) int { return 3 + len(name) + len(tagMark) + tagBytes }

func (c Config) defaults() Config {
	c.MaxMembers = cmp.Or(c.MaxMembers, 512)
	c.MaxBytes = cmp.Or(c.MaxBytes, 2<<20)
	c.MaxDatagram = cmp.Or(c.MaxDatagram, 1400)
	c.GossipInterval = cmp.Or(c.GossipInterval, 500*time.Millisecond)
	c.ProbeInterval = cmp.Or(c.ProbeInterval, time.Second)
	c.SeedsInterval = cmp.Or(c.SeedsInterval, 15*time.Second)
	return c
}

func (c Config) exchange() time.Duration {
	return max(30*time.Second, 60*c.GossipInterval) * time.Duration(max(1, (c.MaxMembers+1023)/1024))
}

// Budget bounds what one life sends: see the package's comment. It is safe for several goroutines.
type Budget struct{ gossip, whole *rate.Limiter }

// NewBudget of a life that begins at now.
func NewBudget(now time.Time, c Config) *Budget {
	c = c.defaults()
	b := &Budget{rate.NewLimiter(gossipRate, 8*c.MaxDatagram), rate.NewLimiter(wholeRate, max(c.MaxBytes, 64<<10))}
	b.whole.AllowN(now, b.whole.Burst()-min(b.whole.Burst(), 64<<10)) // a new life has no credit for megabytes
	return b
}

// Room is what of a packet's limit may be used for facts: of a bucket that runs low no more than a round's share, since
// the first packet of a round would otherwise take all, and news reach one member a round in place of fanOut.
func (b *Budget) Room(now time.Time, limit int) int {
	return min(limit, int(b.gossip.TokensAt(now)/fanOut))
}

// Spent charges a packet's bytes, which Room allowed.
func (b *Budget) Spent(now time.Time, bytes int) { b.gossip.AllowN(now, bytes) }

// WholeDue says whether a whole table may go into an exchange; WholeSent charges one.
func (b *Budget) WholeDue(now time.Time) bool { return b.whole.TokensAt(now) >= 0 }

func (b *Budget) WholeSent(now time.Time, bytes int) {
	b.whole.ReserveN(now, min(bytes, b.whole.Burst()))
}
