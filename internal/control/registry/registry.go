package registry

import (
	"time"

	"raventrestle/internal/protocol"
)

// Registry is the endpoint table of one instance with its replication to the others. It is not safe for concurrent use.
type Registry struct {
	config   Config
	started  time.Time
	nextTick time.Time

	table         endpointTable
	updates       updateQueue
	tableSnapshot tableSnapshot
	loads         loadingTable
	localLoading  *protocol.LoadingTable // of this instance's placer; nil: another instance's is in force
	loadingSentAt time.Time              // when localLoading was last sent to all peers

	peers          map[string]*peer
	peersByAddress []*peer             // the same, sorted: what is decided must not depend on the order of a map
	aliveHashes    map[uint32]struct{} // endpoints whose heartbeat arrived here since the last digest
	nextFlush      time.Time           // when deltas are due; zero: none are
	lastFlush      time.Time

	pendingDrains      map[uint64]*pendingDrain // by request
	pendingInForceAcks []inForceAck
	routersConfirmed   uint64 // every connected router has this revision in force
	routers            routerCount

	quorumContactAt  time.Time // newest contact with a majority of the voters; zero: there was none
	complete         bool      // the table lacks nothing that the other instances have
	syncingSince     time.Time // while not complete: since when heartbeats are counted towards it
	rejoinedAt       time.Time // the quorum was regained then and the table may still be stale; zero: it is not
	wasPossiblyStale bool      // as of the last step

	output Output // of the step in progress
}

// New returns an empty registry.
func New(config Config, now time.Time) *Registry {
	return &Registry{
		config:           config,
		started:          now,
		syncingSince:     now,
		nextTick:         now.Add(tickInterval),
		table:            newEndpointTable(),
		updates:          newUpdateQueue(),
		aliveHashes:      make(map[uint32]struct{}),
		peers:            make(map[string]*peer),
		pendingDrains:    make(map[uint64]*pendingDrain),
		routers:          newRouterCount(),
		routersConfirmed: NoRouters,
	}
}

// Step takes in events and returns what is to be done. Times of successive calls must not decrease.
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
	r.publishUpdates(now)
	r.acknowledgeDrains(now)
	r.acknowledgeInForceDeltas(now)
	if !r.nextFlush.IsZero() && !now.Before(r.nextFlush) {
		r.flush(now)
	}
	r.output.Revision = r.updates.revision
	r.output.Complete = r.complete
	r.output.RouterCount = r.routerCount()
	r.output.WakeAt = r.wakeAt()
	r.output.DeadlineAt = r.deadlineAt()
	return r.output
}

func (r *Registry) handle(now time.Time, in Input) {
	switch in := in.(type) {
	case Heartbeat:
		r.handleHeartbeat(now, in)
	case Deregister:
		r.handleDeregister(now, in)
	case RecordedDepartures:
		r.handleRecordedDepartures(now, in)
	case PeerMessage:
		r.handlePeerMessage(now, in.Content)
	case Peers:
		r.handlePeers(now, in)
	case QuorumContact:
		r.handleQuorumContact(now, in)
	case Routers:
		r.handleRouters(now, in)
	case RoutersConfirmed:
		r.routersConfirmed = in.Revision
	case RouterReport:
		r.handleRouterReport(now, in)
	case LocalLoading:
		r.handleLocalLoading(now, in.Table)
	}
}

// handlePeerMessage dispatches a message of another instance.
func (r *Registry) handlePeerMessage(now time.Time, content any) {
	switch content := content.(type) {
	case *protocol.RegistryDelta:
		r.handleDelta(now, content)
	case *protocol.RegistryAck:
		r.handleAck(now, content)
	case *protocol.RegistrySummary:
		r.handleSummary(now, content)
	case *protocol.RegistryDigest:
		r.handleDigest(now, content)
	case *protocol.LoadingTable:
		r.identifyPeer(now, content.Origin)
		r.applyLoading(now, content)
	}
}

// tick runs once a second.
func (r *Registry) tick(now time.Time) {
	r.nextTick = now.Add(tickInterval)
	r.detectFailures(now)
	r.expireLoading(now)
	r.resendLoading(now)
	r.routers.refresh(now, r.peers)
	r.resendUnacknowledged(now)
	r.sendDigests(now)
}

// wakeAt returns when the next step is due.
func (r *Registry) wakeAt() time.Time {
	if deadline := r.deadlineAt(); !deadline.IsZero() {
		return earliest(r.nextTick, deadline)
	}
	return r.nextTick
}

// deadlineAt returns when the first thing is due beside the tick; zero: nothing is.
func (r *Registry) deadlineAt() time.Time {
	deadline := r.nextFlush
	add := func(at time.Time) {
		if deadline.IsZero() || !at.IsZero() && at.Before(deadline) {
			deadline = at
		}
	}
	add(r.stalenessDeadline())
	for _, drain := range r.pendingDrains {
		add(drain.wakeAt)
	}
	return deadline
}

// scheduleFlush has changes sent to the other instances after the delay at the latest. Ordinary changes in quick
// succession are sent together.
func (r *Registry) scheduleFlush(now time.Time, delay time.Duration) {
	at := now.Add(delay)
	if delay > urgentFlushDelay {
		at = latest(at, r.lastFlush.Add(minFlushInterval))
	}
	if r.nextFlush.IsZero() || at.Before(r.nextFlush) {
		r.nextFlush = at
	}
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
