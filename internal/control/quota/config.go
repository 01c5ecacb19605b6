package quota

import (
	"time"

	"raventrestle/internal/control/shares"
	"raventrestle/internal/protocol"
)

// Config is fixed at the start of the process. A Window or HolderLease of zero is replaced by its default.
type Config struct {
	Identity          string        // of this instance's disk, as in shares.Share.Owner
	Address           string        // of this instance's transport
	Incarnation       uint64        // of this process
	Zone              string        // peers of this zone are asked first
	HolderLease       time.Duration // shares.HolderLease
	Window            time.Duration // quota_window_s: every window of this length is bounded
	OvershootFraction float64       // quota_over: fraction of a window's limit that may be exceeded
	OvershootSlack    float64       // quota_slack: what may be exceeded on top, in the tenant's unit
}

// Defaults of Config.
const (
	DefaultWindow             = 8 * time.Second
	defaultPartitionAllowance = 5 * time.Second
)

const (
	withheldShare = 0.01                   // of a window's allowance, never spent: routers may not agree on their number
	cellLength    = 100 * time.Millisecond // resolution of the count of issues

	peerTimeout    = 40 * time.Millisecond  // of a request to a peer
	askTimeout     = 90 * time.Millisecond  // of an ask with all its requests to peers
	minPeerBackoff = 50 * time.Millisecond  // a peer that did not answer in time is not asked for so long, then twice as long
	maxPeerBackoff = time.Second            // and at most for so long
	exhaustedTime  = cellLength             // a peer that granted less than was asked is not asked again for that tenant
	maxRetryAfter  = 2 * time.Second        // of refusals
	minRetryAfter  = 100 * time.Millisecond // of refusals

	// aheadFraction is the part of what is left of this holder's own shares that credit for expected requests may take.
	aheadFraction = 0.25
)

func (c Config) withDefaults() Config {
	if c.Window <= 0 {
		c.Window = DefaultWindow
	}
	if c.HolderLease <= 0 {
		c.HolderLease = shares.HolderLease(defaultPartitionAllowance)
	}
	return c
}

// interval is the time in which all issues together are bounded.
func (c Config) interval() time.Duration { return c.Window + protocol.CreditTTL }
