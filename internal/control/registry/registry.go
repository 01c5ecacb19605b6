// Package registry decides what one control instance believes of the endpoints. It is pure: the host passes
// in heartbeats, messages of the other instances and the time, and carries out what comes back.
//
// Invariants, each with its test in registry_test.go:
//   - The record with the highest sequence of an endpoint wins; one that left never comes back.
//   - A draining or leaving endpoint is acknowledged as settled only when every connected router, here and at
//     the reachable instances, has confirmed it.
//   - A draining or leaving endpoint is acknowledged only by an instance that has had contact with a majority of the
//     voters since the call arrived.
//   - An endpoint is silent only when no reachable instance has heard it within the allowed time.
package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// Times that the registry counts in.
const (
	// SettleWithin bounds the wait of a draining endpoint for its acknowledgement: it asks another instance
	// after a second.
	DrainAckTimeout = 600 * time.Millisecond
	// ContactWithin bounds its wait for contact with a majority: without one, it is to ask another instance.
	QuorumConfirmTimeout = 800 * time.Millisecond
	// IsolatedAfter is how long an instance believes in its newest contact with a majority.
	QuorumContactTTL = time.Second

	syncHeartbeats           = 2                      // every living endpoint has called somewhere by then
	loadingResendInterval    = 5 * time.Second        // the orders under way are told again
	minFlushInterval         = 50 * time.Millisecond  // deltas with ordinary changes to other instances
	tableCacheTTL            = 400 * time.Millisecond // a table without changes is not made anew
	tickInterval             = time.Second
	quorumPollInterval       = 30 * time.Millisecond  // a call waits for contact with a majority: look for it so often
	drainResendDelay         = 250 * time.Millisecond // a settling record that is not confirmed is sent once more
	heartbeatMargin          = 400 * time.Millisecond
	maxMissedHeartbeats      = 3                // heartbeats that may be missing
	evictionTimeout          = 15 * time.Second // of silence
	reachedFor               = 15 * time.Second // a router's successful call keeps a silent endpoint so long
	routerSuccessTTL         = 2 * time.Second  // and outweighs another router's failed call so long
	evictedTombstoneTTL      = time.Minute      // a given up endpoint is remembered, with its sequence
	deregisteredTombstoneTTL = 10 * time.Minute // one that left
	startupSyncTime          = time.Second      // after the start, to hear from all other instances
	stallThreshold           = 1500 * time.Millisecond
	routerTTL                = 10 * time.Second // a router that vanished still counts
	unreachablePeerRouterTTL = time.Minute      // and those of an instance that is out of reach
	warmUpTolerance          = 500 * time.Millisecond
	urgentFlushDelay         = time.Duration(0)
	ordinaryFlushDelay       = 5 * time.Millisecond // other instances get ordinary changes together
	maxHints                 = 8192                 // kept for one instance; beyond, a full exchange
	minFullExchangeInterval  = 2 * time.Second      // between full exchanges with one instance
)

// Config are fixed at the start of the process.
type Config struct {
	Origin    protocol.Origin // of this instance
	Heartbeat time.Duration   // between an endpoint's heartbeats
}

// Registry is the table of one instance. It is not safe for concurrent use.
type Registry struct {
	config   Config
	started  time.Time
	lastTick time.Time
	nextTick time.Time
	lastStep time.Time

	entries              map[string]*entry
	byHash               map[uint32]*entry
	byAddress            map[string]*entry // newest of each address
	heardSinceDigest     map[uint32]struct{}
	loads                loadingTable
	localLoading         *protocol.LoadingTable // of this instance's placer; nil: another's is in force
	loadingSentAt        time.Time              // to all instances
	peers                map[string]*peer
	peersByAddress       []*peer                  // by address: what is decided must not depend on the order of a map
	pendingDrains        map[uint64]*pendingDrain // by ticket
	pendingConfirmations []pendingConfirmation
	routers              routerCount
	complete             bool
	syncingSince         time.Time // endpoints' calls count from then on until the table is whole
	wasPossiblyStale     bool      // the table was stale in the last step
	rejoinedAt           time.Time // contact with a majority came back, and the table may still be stale; zero: it is not
	quorumContactAt      time.Time // newest contact with a majority of the voters; zero: there was none
	routersConfirmed     uint64    // every connected router has confirmed this revision
	revision             uint64
	changed              map[string]struct{}
	urgent               bool
	nextFlush            time.Time // for deltas to other instances; zero: none are due
	lastFlush            time.Time

	tableCache         []protocol.Endpoint // the whole table at a revision
	tableCachedAt      time.Time
	tableCacheRevision uint64

	output Output
}

// New returns an empty registry.
func New(settings Config, now time.Time) *Registry {
	return &Registry{
		config:           settings,
		started:          now,
		syncingSince:     now,
		lastTick:         now,
		nextTick:         now.Add(tickInterval),
		lastStep:         now,
		entries:          make(map[string]*entry),
		byHash:           make(map[uint32]*entry),
		byAddress:        make(map[string]*entry),
		heardSinceDigest: make(map[uint32]struct{}),
		peers:            make(map[string]*peer),
		pendingDrains:    make(map[uint64]*pendingDrain),
		routers:          newRouterCount(),
		changed:          make(map[string]struct{}),
		routersConfirmed: NoRouters,
	}
}

// NoRouters is the floor where no router is connected.
const NoRouters = ^uint64(0)

// Input is something that happened: one of the types below.
type Input interface{ input() }

// Heartbeat: an endpoint called here. The ticket names the call in Acknowledge.
type Heartbeat struct {
	RequestID uint64
	Endpoint  protocol.Endpoint
}

// Leave: an endpoint said here that it ends.
type Deregister struct {
	RequestID uint64
	ID        string
}

// Message: another instance sent a registry message, as a pointer.
type PeerMessage struct{ Content any }

// Peers: the other instances that can be reached now, by the addresses of their transports.
type Peers struct{ Reachable []string }

// Contact: the newest moment at which this instance had contact with a majority of the voters; zero: there was none.
// An instance without one of late notes what endpoints say, but does not acknowledge it, so that they ask where it
// takes effect.
type QuorumContact struct{ ConfirmedAt time.Time }

// Routers: the routers connected here, by NameHash, sorted.
type Routers struct{ Connected []uint32 }

// RoutersConfirmed: every connected router has confirmed all changes up to the revision, or NoRouters.
type RoutersConfirmed struct{ Revision uint64 }

// RouterReport: what a router's own calls say of endpoints.
type RouterReport struct{ Unreachable, Reached []string }

// OwnLoading: the placer of this instance has a new table of orders under way.
type LocalLoading struct{ Table protocol.LoadingTable }

func (Heartbeat) input()        {}
func (Deregister) input()       {}
func (PeerMessage) input()      {}
func (Peers) input()            {}
func (QuorumContact) input()    {}
func (Routers) input()          {}
func (RoutersConfirmed) input() {}
func (RouterReport) input()     {}
func (LocalLoading) input()     {}

// Reply answers a heartbeat or leave.
type Reply struct {
	RequestID uint64
	InForce   bool // in force at every connected router; false: the time was up
	Rejected  bool // this instance has no contact with a majority: the endpoint is to ask another
}

// Send is a message for another instance.
type Send struct {
	To      string
	Message any
}

// Output is what the host carries out.
type Output struct {
	Replies        []Reply
	Send           []Send
	Changed        []protocol.Endpoint // for the routers: added, changed, or Gone
	Urgent         bool                // Changed must not wait for others
	Revision       uint64              // of Changed; routers' confirmations come back with it
	RouterCount    int                 // routers of all instances; 0 while unknown
	Complete       bool                // the table lacks nothing that the others know
	WakeAt         time.Time           // Step again then at the latest
	WakeDeferrable bool                // WakeAt may be late by a quarter of a second: nobody waits for it
}

// Step takes in what happened.
func (r *Registry) Step(now time.Time, inputs ...Input) Output {
	r.output = Output{}
	r.forgiveStall(now)
	for _, in := range inputs {
		r.handle(now, in)
	}
	if !now.Before(r.nextTick) {
		r.tick(now)
	}
	r.updateStaleness(now)
	r.publishChanges(now)
	r.acknowledgeDrains(now)
	r.confirmInForceDeltas(now)
	if !r.nextFlush.IsZero() && !now.Before(r.nextFlush) {
		r.flush(now)
	}
	r.output.Revision = r.revision
	r.output.Complete = r.complete
	r.output.RouterCount = r.routerCount()
	r.output.WakeAt = r.wakeAt()
	r.output.WakeDeferrable = r.output.WakeAt.Equal(r.nextTick)
	r.lastStep = now
	return r.output
}

func (r *Registry) handle(now time.Time, in Input) {
	switch in := in.(type) {
	case Heartbeat:
		r.handleHeartbeat(now, in)
	case Deregister:
		r.handleDeregister(now, in)
	case PeerMessage:
		r.handlePeerMessage(now, in.Content)
	case Peers:
		r.handlePeers(now, in)
	case QuorumContact:
		r.handleQuorumContact(now, in)
	case Routers:
		r.routers.own = in.Connected
		for _, p := range r.peersByAddress {
			p.routersSent = false
		}
		r.routers.refresh(now, r.peers)
	case RoutersConfirmed:
		r.routersConfirmed = in.Revision
	case RouterReport:
		r.handleRouterReport(now, in)
	case LocalLoading:
		r.handleLocalLoading(now, in.Table)
	}
}

// forgiveStall keeps a process that did not run for a while from taking its own silence for the endpoints'.
func (r *Registry) forgiveStall(now time.Time) {
	late := now.Sub(r.nextTick)
	if late < stallThreshold {
		return
	}
	for _, e := range r.entries {
		e.lastHeartbeat = e.lastHeartbeat.Add(late)
	}
}

// publishChanges gives what changed in this step a revision.
func (r *Registry) publishChanges(now time.Time) {
	if len(r.changed) == 0 {
		return
	}
	r.revision++
	for _, id := range slices.Sorted(maps.Keys(r.changed)) {
		e := r.entries[id]
		e.revision = r.revision
		if r.hiddenWhileStale(now, e) {
			continue
		}
		r.output.Changed = append(r.output.Changed, r.routerView(now, e))
	}
	r.output.Urgent = r.urgent
	r.urgent = false
	clear(r.changed)
}

// Endpoints returns the whole table as routers see it, by ID. Those given up are not in it. Times and sequences may be
// some hundred milliseconds old. The table must not be changed.
func (r *Registry) Endpoints(now time.Time) []protocol.Endpoint {
	isNew := r.tableCache != nil && r.tableCacheRevision == r.revision && len(r.changed) == 0 && now.Sub(r.tableCachedAt) < tableCacheTTL
	if !isNew {
		r.tableCache = r.routerViews(now, func(e *entry) bool { return !e.tombstone })
		r.tableCachedAt, r.tableCacheRevision = now, r.revision
	}
	return r.tableCache
}

// EndpointsAndTombstones returns the same with those that are gone and not forgotten yet.
func (r *Registry) EndpointsAndTombstones(now time.Time) []protocol.Endpoint {
	return r.routerViews(now, func(*entry) bool { return true })
}

func (r *Registry) routerViews(now time.Time, shown func(e *entry) bool) []protocol.Endpoint {
	table := make([]protocol.Endpoint, 0, len(r.entries))
	for _, e := range r.entries {
		if shown(e) && !r.hiddenWhileStale(now, e) {
			table = append(table, r.routerView(now, e))
		}
	}
	slices.SortFunc(table, func(a, b protocol.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return table
}

// Revision returns the newest revision of the table.
func (r *Registry) Revision() uint64 { return r.revision }

func (r *Registry) wakeAt() time.Time {
	wake := r.nextTick
	if !r.nextFlush.IsZero() && r.nextFlush.Before(wake) {
		wake = r.nextFlush
	}
	if ends := r.stalenessDeadline(); !ends.IsZero() && ends.Before(wake) {
		wake = ends
	}
	for _, p := range r.pendingDrains {
		if p.wakeAt.Before(wake) {
			wake = p.wakeAt
		}
	}
	return wake
}

// scheduleFlush has the changes sent to the other instances soon. Ordinary ones in quick succession go together.
func (r *Registry) scheduleFlush(now time.Time, wait time.Duration) {
	at := now.Add(wait)
	if wait > urgentFlushDelay {
		at = latest(at, r.lastFlush.Add(minFlushInterval))
	}
	if r.nextFlush.IsZero() || at.Before(r.nextFlush) {
		r.nextFlush = at
	}
}
