package registry

import (
	"time"

	"raventrestle/internal/protocol"
)

// Config is fixed at the start of the process.
type Config struct {
	Origin    protocol.Origin // of this instance; At is set by who sends the messages
	Heartbeat time.Duration   // interval of an endpoint's heartbeats (heartbeat_ms)
}

// Bounds of a drain acknowledgement. An endpoint moves to another instance when a request is not answered within a second
// (PROTOCOL.md, Service discovery), so both end before that, with time for the answer on its way.
const (
	// DrainAckTimeout is the longest wait for routers and other instances to confirm a drain. After it the drain is
	// acknowledged without their confirmation if a majority of the instances has the record.
	DrainAckTimeout = 600 * time.Millisecond
	// QuorumConfirmTimeout is the longest wait for contact with a majority of the voters. After it the request is
	// rejected, and the endpoint asks another instance.
	QuorumConfirmTimeout = 800 * time.Millisecond
	// QuorumContactTTL is how long a contact with a majority counts. Without a newer one the instance may be partitioned
	// from the majority.
	QuorumContactTTL = time.Second

	quorumPollInterval = 30 * time.Millisecond  // between two checks for contact while a drain waits for it
	drainResendDelay   = 250 * time.Millisecond // an unconfirmed drain is sent once more: a message may have been lost
	startupSyncTime    = time.Second            // from the start until an instance has heard of all others
)

// Failure detection.
const (
	tickInterval        = time.Second             // between two runs of what needs no better time
	heartbeatMargin     = 400 * time.Millisecond  // tolerance for heartbeats that are late on their way
	maxMissedHeartbeats = 3                       // intervals without a heartbeat before an endpoint is unresponsive
	evictionTimeout     = 15 * time.Second        // without a heartbeat or a router's success, before it is removed
	routerSuccessTTL    = 2 * time.Second         // one router's success outweighs another's failure for this long
	stallThreshold      = 1500 * time.Millisecond // a step later than this says that the process did not run
	warmUpTolerance     = 500 * time.Millisecond  // change of the end of a warm-up that routers need not know
)

// Tombstones keep late messages from reviving an endpoint.
const (
	evictedTombstoneTTL      = time.Minute      // of an endpoint that was removed by this instance's own judgement
	deregisteredTombstoneTTL = 10 * time.Minute // of one that deregistered
)

// Replication to the other instances.
const (
	urgentFlushDelay        = time.Duration(0)        // of changes that take an endpoint out of use
	ordinaryFlushDelay      = 5 * time.Millisecond    // of other changes, so that those of one moment share a delta
	minFlushInterval        = 50 * time.Millisecond   // between two flushes of ordinary changes
	deltaAckTimeout         = 2500 * time.Millisecond // a delta that is not acknowledged is taken for lost
	maxHints                = 8192                    // for one peer; beyond it a full exchange repairs the peer
	maxDigestInterval       = 5 * time.Second         // a digest without any change is sent at this interval
	fullExchangeMismatches  = 2                       // consecutive digests that differ: deltas would have arrived by then
	minFullExchangeInterval = 2 * time.Second         // between two full exchanges with one peer
	syncHeartbeats          = 2                       // heartbeat intervals in which every living endpoint calls somewhere
	peerTTL                 = 10 * time.Minute        // an unreachable peer is forgotten after this
)

// Router count. Too high a count costs little, too low a count lets routers together exceed shared limits.
const (
	routerTTL                = 10 * time.Second // a router that disconnected still counts
	unreachablePeerRouterTTL = time.Minute      // as do those of an unreachable peer
)

// Orders of the placer.
const (
	loadingResendInterval = 5 * time.Second  // the table is sent again while it has orders: a message may have been lost
	loadOverdueTTL        = 30 * time.Second // an order is shown for this long beyond its expected end
)

// tableCacheTTL is how long Endpoints returns the same slice while nothing changes. Only warm-up times and sequences
// are older by that.
const tableCacheTTL = 400 * time.Millisecond
