package dispatch

import (
	"math"
	"time"

	"raventrestle/asfq"
	"raventrestle/internal/protocol"
)

// endpoint is one incarnation of a server, as this router sees it.
type endpoint struct {
	id, address         string
	hash                uint64
	service             *service
	state               protocol.EndpointState
	sequence            uint64
	slots               int
	sameZone            bool // it is in the router's zone
	listed              bool // it is in the control plane's table
	residencies         []*residency
	pendingLoads        []protocol.ModelLoad
	loadsReceivedAt     time.Duration // when pendingLoads was received
	loadingGroups       []*modelGroup // groups of the models in pendingLoads
	inSuspects          bool          // it is in Decider.suspects
	drainingAtDeparture bool          // it accepts no requests if it comes back
	slowStartUntil      time.Duration // until then it answers more slowly than predicted

	asfq.Flow                    // has one turn per request of queue
	queue             []*request // in the order of insertQueued
	dispatched        int        // requests sent from queue, see oldestTurnInterval
	inFlight          []*request
	awaitingFirstByte []*request // those of inFlight without a first byte, in order of sending
	backlog           backlog    // of awaitingFirstByte
	pastTargetBacklog backlog    // the part of backlog that was sent past its target
	openConnections   int        // estimate
	lastUsedAt        time.Duration
	health            health
	advertised        advertisedLoad
	slowness          slowness
}

// advertisedLoad is the latest load that the endpoint advertised, without this router's own calls.
type advertisedLoad struct {
	running, waiting int
	receivedAt       time.Duration
	known            bool
}

// routerConnectionFraction is the fraction of an endpoint's connection limit that all routers together use. The
// margin is needed because traffic is not spread evenly over the routers, and an endpoint resets connections beyond
// its limit.
const routerConnectionFraction = 0.8

// acceptsRequests reports whether the endpoint is neither draining nor departed.
func (e *endpoint) acceptsRequests() bool {
	return e.state != protocol.Draining && e.state != protocol.Departed
}

// recordCapacityChange records for all models of the endpoint that a slot may have become free.
func (e *endpoint) recordCapacityChange() {
	for _, res := range e.residencies {
		res.group.version++
	}
}

// slotCount returns how many requests the endpoint can execute concurrently.
func (e *endpoint) slotCount() int {
	if e.slots > 0 {
		return e.slots
	}
	if engine := e.service.engine(); engine != nil && engine.Slots > 0 {
		return engine.Slots
	}
	return 1
}

// maxConnections returns how many connections this router may have to each endpoint of the service.
func (d *Decider) maxConnections(s *service) int {
	if s.config == nil || s.config.MaxConnections <= 0 {
		return math.MaxInt32
	}
	return max(1, int(float64(s.config.MaxConnections)/float64(d.routerCount)*routerConnectionFraction))
}

// recordAdvertisedLoad stores the load that an endpoint advertised, less this router's own calls.
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
