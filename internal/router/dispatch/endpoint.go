package dispatch

import (
	"math"
	"time"

	"raventrestle/asfq"
	"raventrestle/internal/protocol"
)

// endpoint is one incarnation of a server.
type endpoint struct {
	id, address         string
	hash                uint64
	service             *service
	state               protocol.EndpointState
	sequence            uint64
	slots               int
	sameZone            bool // as the router
	listed              bool // in the table
	residencies         []*residency
	pendingLoads        []protocol.ModelLoad
	loadsReceivedAt     time.Duration
	loadingGroups       []*modelGroup // of pendingLoads
	inSuspects          bool          // in Decider.suspects
	drainingAtDeparture bool
	slowStartUntil      time.Duration

	asfq.Flow                    // its turns are the requests of queue
	queue             []*request // in the order of insertQueued
	dispatched        int        // turns taken, see oldestTurnInterval
	inFlight          []*request
	awaitingFirstByte []*request // of inFlight, in order of sending
	backlog           backlog    // of awaitingFirstByte
	pastTargetBacklog backlog    // of those sent past their target
	openConnections   int        // estimate
	lastUsedAt        time.Duration
	health            health
	advertised        advertisedLoad
	slowness          slowness
}

// advertisedLoad is the newest load that the endpoint stated, without this router's own calls.
type advertisedLoad struct {
	running, waiting int
	receivedAt       time.Duration
	known            bool
}

// routerConnectionFraction is the part of an endpoint's connections that all routers together open: their traffic isn't even, and an
// endpoint resets connections beyond its limit.
const routerConnectionFraction = 0.8

// acceptsRequests reports whether it neither drains nor has departed.
func (e *endpoint) acceptsRequests() bool {
	return e.state != protocol.Draining && e.state != protocol.Departed
}

// capacityChanged notes that a slot may have become free for all models of the endpoint.
func (e *endpoint) capacityChanged() {
	for _, res := range e.residencies {
		res.group.version++
	}
}

// slotCount returns how many requests the endpoint executes at once.
func (e *endpoint) slotCount() int {
	if e.slots > 0 {
		return e.slots
	}
	if engine := e.service.engine(); engine != nil && engine.Slots > 0 {
		return engine.Slots
	}
	return 1
}

// maxConnections returns how many connections this router may have to an endpoint of the service.
func (d *Decider) maxConnections(s *service) int {
	if s.config == nil || s.config.MaxConnections <= 0 {
		return math.MaxInt32
	}
	return max(1, int(float64(s.config.MaxConnections)/float64(d.routerCount)*routerConnectionFraction))
}

// recordAdvertisedLoad stores the load that an endpoint stated, less this router's own calls.
func (d *Decider) recordAdvertisedLoad(e *endpoint, load *AdvertisedLoad) {
	if load == nil {
		return
	}
	if load.Slots > 0 {
		e.slots = load.Slots
	}
	own := len(e.inFlight) - len(e.awaitingFirstByte)
	e.advertised = advertisedLoad{
		running:    max(load.Running-own, 0),
		waiting:    max(load.Waiting-len(e.awaitingFirstByte), 0),
		receivedAt: d.now,
		known:      true,
	}
}
