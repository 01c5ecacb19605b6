package members

import (
	"cmp"
	"math"
	"time"

	"golang.org/x/time/rate"
)

// TrafficModel contains the rates and sizes of a fleet's traffic that the package comment explains. Simulations of a
// fleet use it.
type TrafficModel struct {
	GossipInterval   time.Duration // time between two rounds of gossip
	FanOut           int           // members that receive gossip in each round, each with its own selection of updates
	MaxDatagram      int           // bytes
	ExchangeInterval time.Duration // time between two full exchanges that a member starts
	StreamTimeout    time.Duration // after it an exchange is given up
	ProbeRate        int           // bytes per second for probes and their answers
	MemberBytes      int           // bytes of a member in an exchange
	PacketOverhead   int           // bytes around a message in a packet
	UpdateOverhead   int           // bytes around an update in a message
}

const (
	fanOut      = 4
	probeRate   = 150
	memberBytes = 130
)

// TrafficModel returns the model for a fleet of the given number of members.
func (c Config) TrafficModel(members int) TrafficModel {
	c = c.withDefaults()
	interval := c.exchangeInterval()
	if members > 32 { // scaling by memberlist
		interval *= time.Duration(math.Ceil(math.Log2(float64(members))-5) + 1)
	}
	return TrafficModel{
		GossipInterval: c.GossipInterval, FanOut: fanOut, MaxDatagram: c.MaxDatagram, ExchangeInterval: interval, StreamTimeout: tcpTimeout,
		ProbeRate: probeRate, MemberBytes: memberBytes, PacketOverhead: packetOverhead, UpdateOverhead: updateOverhead,
	}
}

// HeaderSize returns the size of the header before each payload of the named member: format version, kind and node.
func HeaderSize(name string) int { return 3 + len(name) + len(tagSeparator) + tagBytes }

func (c Config) withDefaults() Config {
	c.MaxMembers = cmp.Or(c.MaxMembers, 512)
	c.MaxBytes = cmp.Or(c.MaxBytes, 2<<20)
	c.MaxDatagram = cmp.Or(c.MaxDatagram, 1400)
	c.GossipInterval = cmp.Or(c.GossipInterval, 500*time.Millisecond)
	c.ProbeInterval = cmp.Or(c.ProbeInterval, time.Second)
	c.SeedsInterval = cmp.Or(c.SeedsInterval, 15*time.Second)
	return c
}

// exchangeInterval is the interval of full exchanges for up to 32 live members.
func (c Config) exchangeInterval() time.Duration {
	return max(30*time.Second, 60*c.GossipInterval) * time.Duration(max(1, (c.MaxMembers+1023)/1024))
}

// Budget limits the traffic of one member, as the package comment explains. It is safe for concurrent use.
type Budget struct{ gossip, fullState *rate.Limiter }

// NewBudget returns the budget of a member that starts at now.
func NewBudget(now time.Time, c Config) *Budget {
	c = c.withDefaults()
	b := &Budget{rate.NewLimiter(gossipRate, 8*c.MaxDatagram), rate.NewLimiter(fullStateRate, max(c.MaxBytes, 64<<10))}
	b.fullState.AllowN(now, b.fullState.Burst()-min(b.fullState.Burst(), 64<<10)) // start with tokens for at most 64 KiB of full states, not for megabytes
	return b
}

// PacketAllowance returns how many bytes of a packet's limit may be used for facts. If the bucket is low, a packet gets
// at most its share of a round: otherwise the first packet of the round would take everything, and news would reach
// one member per round instead of fanOut.
func (b *Budget) PacketAllowance(now time.Time, limit int) int {
	return min(limit, int(b.gossip.TokensAt(now)/fanOut))
}

// ChargePacket charges bytes that PacketAllowance permitted.
func (b *Budget) ChargePacket(now time.Time, bytes int) { b.gossip.AllowN(now, bytes) }

// FullStateAllowed reports whether a full state may be part of an exchange now.
func (b *Budget) FullStateAllowed(now time.Time) bool { return b.fullState.TokensAt(now) >= 0 }

// ChargeFullState charges a full state of the given size.
func (b *Budget) ChargeFullState(now time.Time, bytes int) {
	b.fullState.ReserveN(now, min(bytes, b.fullState.Burst()))
}
