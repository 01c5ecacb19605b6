package controller

import (
	"time"

	"raventrestle/internal/control/distribution"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
)

// Config is fixed at the start of the process.
type Config struct {
	Origin protocol.Origin // of this instance; At is set in each message
}

// EndpointRegistry is the table of endpoints; *registry.Registry is one.
type EndpointRegistry interface {
	Step(now time.Time, inputs ...registry.Input) registry.Output
	Endpoints(now time.Time) []protocol.Endpoint
	EndpointsAndTombstones(now time.Time) []protocol.Endpoint
}

// Controller is the soft state of one instance. It is not safe for concurrent use.
type Controller struct {
	config   Config
	started  time.Time
	registry EndpointRegistry
	hub      *distribution.Hub

	// advertised is what the hub was given last of the registry's output, without changed endpoints.
	advertised  distribution.Endpoints
	connections connectionTable
	calls       pendingCalls
	replica     replicaView
	barrier     barrierState
	reports     reportQueue

	// Of the step in progress.
	timeOfDay      time.Time
	registryInputs []registry.Input
	hubInputs      []distribution.Input
	out            Output
}

// New returns a controller that knows nothing yet, around an empty registry. Its messages state the time since it
// started.
func New(config Config, endpoints EndpointRegistry, started time.Time) *Controller {
	return &Controller{
		config:      config,
		started:     started,
		registry:    endpoints,
		hub:         distribution.New(started),
		connections: newConnectionTable(),
		calls:       newPendingCalls(),
	}
}

// Step takes in what happened and returns what is to be done. Times of successive steps must not decrease.
func (c *Controller) Step(now time.Time, input Input) Output {
	c.registryInputs, c.hubInputs, c.out = nil, nil, Output{}
	c.timeOfDay = input.TimeOfDay
	c.observeDepartures(now, input.Replicated.Departures)
	c.observeCommitted(input.Replicated)
	for _, event := range input.Events {
		c.apply(now, event)
	}
	c.observeMembership(now, input.Replicated.Status)
	c.stepRegistryAndHub(now)
	c.forwardReports(now)
	c.limitWake(now)
	return c.out
}

func (c *Controller) apply(now time.Time, event Event) {
	switch event := event.(type) {
	case MessageReceived:
		c.receive(now, event)
	case ConnectionClosed:
		c.connectionClosed(event.Connection)
	case ReplicaChanged:
		c.replica.observedAt = time.Time{}
	case BarrierFinished:
		c.finishBarrier(now, event)
	case HeartbeatReceived:
		c.heartbeatReceived(event)
	case DeregistrationReceived:
		c.deregistrationReceived(event)
	case DepartureRecorded:
		c.finishRecord(event)
	case LoadingChanged:
		c.toRegistry(registry.LocalLoading{Table: event.Table})
	}
}

func (c *Controller) toRegistry(input registry.Input) {
	c.registryInputs = append(c.registryInputs, input)
}
func (c *Controller) toHub(input distribution.Input) { c.hubInputs = append(c.hubInputs, input) }

// stepRegistryAndHub steps the hub, then the registry, which needs to know what routers confirmed, and the hub once more
// with what the registry changed.
func (c *Controller) stepRegistryAndHub(now time.Time) {
	subscriptions := c.hub.Step(now, c.tableAt(now), c.hubInputs...)
	if subscriptions.RoutersChanged {
		c.toRegistry(registry.Routers{Connected: c.routerHashes()})
	}
	c.toRegistry(registry.RoutersConfirmed{Revision: subscriptions.MinConfirmedRevision})
	endpoints := c.registry.Step(now, c.registryInputs...)
	c.collectSubscriptions(subscriptions)
	barrier, wakeAt := subscriptions.StartBarrier, subscriptions.WakeAt
	if c.mustAdvertise(endpoints) {
		advertised := c.advertise(now, endpoints)
		barrier, wakeAt = advertised.StartBarrier, advertised.WakeAt
	}
	c.collectEndpoints(now, endpoints)
	c.startBarrier(now, barrier)
	c.out.WakeAt = mergeWakes(wakeAt, endpoints)
}

// tableAt gives the hub the table of endpoints as it is during the step.
func (c *Controller) tableAt(now time.Time) distribution.Table {
	return func(includeTombstones bool) []protocol.Endpoint {
		if includeTombstones {
			return c.registry.EndpointsAndTombstones(now)
		}
		return c.registry.Endpoints(now)
	}
}

// mustAdvertise says whether the hub must take in the registry's output. It notes that it does.
func (c *Controller) mustAdvertise(out registry.Output) bool {
	summary := distribution.Endpoints{RouterCount: out.RouterCount, Complete: out.Complete}
	changed := summary.RouterCount != c.advertised.RouterCount || summary.Complete != c.advertised.Complete
	c.advertised = summary
	return changed || len(out.Changed) > 0
}

// advertise has the hub send the registry's changes to the routers.
func (c *Controller) advertise(now time.Time, out registry.Output) distribution.Output {
	sent := c.hub.Step(now, c.tableAt(now), changedEndpoints(out))
	c.collectMessages(sent)
	return sent
}

// changedEndpoints returns what the hub takes in of the registry's output.
func changedEndpoints(out registry.Output) distribution.Endpoints {
	return distribution.Endpoints{
		Changed:     out.Changed,
		Revision:    out.Revision,
		Urgent:      out.Urgent,
		RouterCount: out.RouterCount,
		Complete:    out.Complete,
	}
}

// collectSubscriptions puts what the hub decided into the output.
func (c *Controller) collectSubscriptions(out distribution.Output) {
	c.collectMessages(out)
	c.out.Subscribed = out.Subscribed
}

// collectMessages puts the hub's messages and closings into the output.
func (c *Controller) collectMessages(out distribution.Output) {
	for _, message := range out.Messages {
		if connection, open := c.connections.connection(message.Connection); open {
			c.out.RouterMessages = append(c.out.RouterMessages,
				RouterMessage{Connection: connection, Message: message.Content})
		}
	}
	for _, closing := range out.Close {
		connection, open := c.connections.connection(closing.Connection)
		if !open {
			continue
		}
		c.connections.remove(connection)
		c.out.Close = append(c.out.Close, Closing{Connection: connection, Node: closing.Node, Reason: closing.Reason})
	}
}

// collectEndpoints puts what the registry decided into the output.
func (c *Controller) collectEndpoints(now time.Time, out registry.Output) {
	for _, message := range out.Send {
		c.sendPeer(now, message.To, message.Message)
	}
	for _, reply := range out.Replies {
		if answer, answered := c.calls.replied(reply); answered {
			c.out.Answers = append(c.out.Answers, answer)
		}
	}
}

// sendPeer sends to another instance, with a stamp of this process's origin and clock.
func (c *Controller) sendPeer(now time.Time, to string, message any) {
	if stamped, isStamped := message.(protocol.PeerMessage); isStamped {
		*stamped.Sender() = c.config.Origin
		stamped.Sender().SentAt = now.Sub(c.started)
	}
	c.out.PeerMessages = append(c.out.PeerMessages, registry.Send{To: to, Message: message})
}

func (c *Controller) routerHashes() []uint32 {
	nodes := c.hub.Connected()
	hashes := make([]uint32, len(nodes))
	for i, node := range nodes {
		hashes[i] = registry.NameHash(node)
	}
	return hashes
}

// mergeWakes lets the registry's tick wait for the hub's beacons, unless anything else is due at the registry before them.
func mergeWakes(hub time.Time, out registry.Output) time.Time {
	switch {
	case hub.IsZero():
		return out.WakeAt
	case hub.Before(out.WakeAt):
		return hub
	case !out.DeadlineAt.IsZero() && out.DeadlineAt.Before(hub), hub.Sub(out.WakeAt) > distribution.BeaconInterval:
		return out.WakeAt
	}
	return hub
}

// limitWake brings the wake forward to when reports are due or a barrier may be repeated.
func (c *Controller) limitWake(now time.Time) {
	c.out.WakeAt = earlier(c.out.WakeAt, c.reports.dueAt())
	c.out.WakeAt = earlier(c.out.WakeAt, c.barrier.retryAt)
	if c.out.WakeAt.Before(now) {
		c.out.WakeAt = now
	}
}

// earlier returns the earlier of two times; a zero b counts as none.
func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
