package quota

import (
	"time"

	"raventrestle/internal/control/shares"
	"raventrestle/internal/protocol"
)

// Config is fixed when the process starts. A Window or HolderLease of zero is replaced by its default.
type Config struct {
	Identity          string        // of this instance, as in shares.Share.Owner; stored on its disk
	Address           string        // transport address of this instance
	Incarnation       uint64        // identifies this process
	Zone              string        // peers in this zone receive credit requests first
	HolderLease       time.Duration // shares.HolderLease
	Window            time.Duration // quota_window_s: spending is limited in every window of this length
	OvershootFraction float64       // quota_over: fraction by which a window's limit may be exceeded
	OvershootSlack    float64       // quota_slack: additional amount by which it may be exceeded, in the tenant's unit
}

// Defaults of Config.
const (
	DefaultWindow             = 8 * time.Second
	defaultPartitionAllowance = 5 * time.Second
)

const (
	withheldShare = 0.01                   // of a window's allowance, never issued: routers may disagree on their number
	cellLength    = 100 * time.Millisecond // length of the cells in which issued credit is counted

	peerRequestTimeout   = 40 * time.Millisecond // for the answer to a credit request to a peer
	routerRequestTimeout = 90 * time.Millisecond // for the answer to a router, including all requests to peers
	minPeerBackoff       = 50 * time.Millisecond // without requests to a peer after its first timeout; doubles with each further one
	maxPeerBackoff       = time.Second
	exhaustedPeerBackoff = cellLength             // without requests to a peer for a tenant after it granted too little
	maxRetryAfter        = 2 * time.Second        // of denials
	minRetryAfter        = 100 * time.Millisecond // of denials

	// maxPrefetchFraction limits what is issued for expected requests: a request that includes credit for them gets at most this
	// fraction of what this holder's shares have left, or the amount for its waiting requests if that is more.
	maxPrefetchFraction = 0.25
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

// issuanceInterval returns the length of the interval in which the sum of all issued credit is limited.
func (c Config) issuanceInterval() time.Duration { return c.Window + protocol.CreditTTL }
