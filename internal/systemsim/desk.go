package systemsim

import (
	"cmp"
	"slices"
	"time"

	"raventrestle/coordination/engine"
	"raventrestle/coordination/replica"
	"raventrestle/internal/control/distribution"
	"raventrestle/internal/control/host"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
)

// Times of the host's loop, as those of package host.
const (
	statusEvery = 100 * time.Millisecond
)

// desk does what package host does around its Desk: it reads the replica's status, then the configuration, runs
// barriers and keeps the calls of endpoints until they may be answered.
type desk struct {
	owner       *instance
	desk        *host.Desk
	news        host.News
	connections map[*stream]distribution.ConnectionID
	byID        map[distribution.ConnectionID]*stream
	nextID      distribution.ConnectionID
	tickets     map[uint64]func(registry.Reply)
	nextTicket  uint64
	barrier     bool
	due         time.Duration

	statusRead time.Duration
	contact    distribution.Contact
	generation int64
	peers      []string
	members    []protocol.Member
	told       bool
}

func newDesk(i *instance) desk {
	return desk{
		owner:       i,
		desk:        host.NewDesk(registry.Config{Origin: i.origin(), Heartbeat: heartbeatEvery}, i.clock()),
		connections: make(map[*stream]distribution.ConnectionID),
		byID:        make(map[distribution.ConnectionID]*stream),
		tickets:     make(map[uint64]func(registry.Reply)),
	}
}

// wake has the host's loop run after the delay at the latest.
func (d *desk) wake(delay time.Duration) {
	now := d.owner.world.Now()
	at := now + max(0, delay)
	if d.due > now && d.due <= at {
		return
	}
	d.due = at
	d.owner.after(at-now, func() {
		if d.due == at {
			d.due = 0
			d.run()
		}
	})
}

// soon is how long a command waits in the host's queue.
func (d *desk) soon() { d.wake(d.owner.world.between(10*time.Microsecond, 500*time.Microsecond)) }

func (d *desk) run() {
	d.owner.countStep()
	d.readReplica()
	news := d.news
	d.news = host.News{}
	now := d.owner.clock()
	orders := d.desk.Step(now, news)
	d.carryOut(orders)
	d.wake(orders.WakeAt.Sub(now))
}

func (d *desk) carryOut(orders host.Orders) {
	for _, message := range orders.Routers {
		d.owner.world.checkStanding(d.owner, message.Message)
		if s := d.byID[message.Connection]; s != nil {
			s.endOf(&d.owner.process).send(message.Message)
		}
	}
	for _, message := range orders.Peers {
		d.owner.mesh.send(message.To, d.owner.stamp(message.Message))
	}
	for _, closing := range orders.Close {
		s := d.byID[closing.Connection]
		if s == nil {
			continue
		}
		d.owner.world.tracef("%s sends %s away: %s", d.owner.address, closing.Node, closing.Reason)
		delete(d.byID, closing.Connection)
		delete(d.connections, s)
		s.endOf(&d.owner.process).close()
	}
	for _, answer := range orders.Acknowledge {
		if waiting := d.tickets[answer.RequestID]; waiting != nil {
			delete(d.tickets, answer.RequestID)
			waiting(answer)
		}
	}
	if orders.Barrier != 0 && !d.barrier {
		d.runBarrier(orders.Barrier)
	}
}

func (d *desk) runBarrier(number uint64) {
	d.barrier = true
	ended := func(passed bool) {
		d.barrier = false
		if passed {
			d.news.Hub = append(d.news.Hub, distribution.BarrierPassed{Barrier: number})
		}
		d.soon()
	}
	d.owner.ask(engine.Input{Barrier: true}, barrierWithin, func(result engine.Result) {
		if result.Err == nil {
			ended(true)
			return
		}
		d.owner.after(barrierPause, func() { ended(false) })
	})
}

func (d *desk) replicaMoved() {
	d.statusRead = 0
	d.soon()
}

func (d *desk) arrived(s *stream, message any) {
	switch message := message.(type) {
	case *protocol.Subscribe:
		d.news.Hub = append(d.news.Hub, distribution.Subscribed{Connection: d.identify(s), Router: *message})
	case *protocol.Confirm:
		if id, known := d.connections[s]; known {
			d.news.Hub = append(d.news.Hub,
				distribution.Confirmed{Connection: id, Sequence: message.Sequence, Mark: message.EchoSequence})
		}
	case *protocol.Probe:
		d.news.Hub = append(d.news.Hub, distribution.Probed{Connection: d.identify(s), Mark: message.EchoSequence})
	case *protocol.Report:
		return
	default:
		d.news.Registry = append(d.news.Registry, registry.PeerMessage{Content: message})
	}
	d.soon()
}

// identify numbers a stream, once in its life.
func (d *desk) identify(s *stream) distribution.ConnectionID {
	if id, known := d.connections[s]; known {
		return id
	}
	d.nextID++
	d.connections[s], d.byID[d.nextID] = d.nextID, s
	return d.nextID
}

func (d *desk) forget(s *stream) {
	id, known := d.connections[s]
	if !known {
		return
	}
	delete(d.connections, s)
	delete(d.byID, id)
	d.news.Hub = append(d.news.Hub, distribution.Closed{Connection: id})
	d.soon()
}

func (d *desk) readConfiguration() {
	generation, document := d.owner.newest()
	if generation > d.generation {
		d.generation = generation
		d.news.Hub = append(d.news.Hub,
			distribution.Configuration{Generation: generation, Document: protocol.PackDocument(document)})
	}
}

// heartbeat and leave are endpoints' calls.
func (d *desk) heartbeat(told protocol.Endpoint, answer func(bool)) {
	d.news.Registry = append(d.news.Registry, registry.Heartbeat{RequestID: d.ticket(answer), Endpoint: told})
	d.soon()
}

func (d *desk) leave(id string, answer func(bool)) {
	d.news.Registry = append(d.news.Registry, registry.Deregister{RequestID: d.ticket(answer), ID: id})
	d.soon()
}

func (d *desk) ticket(answer func(bool)) uint64 {
	d.nextTicket++
	d.tickets[d.nextTicket] = func(a registry.Reply) { answer(!a.Rejected) }
	return d.nextTicket
}

// readReplica tells the desk what the replica knows at the beginning of a step.
func (d *desk) readReplica() {
	now := d.owner.world.Now()
	status := d.owner.currentStatus()
	d.readContact(status)
	if d.statusRead > 0 && now-d.statusRead < statusEvery {
		return
	}
	d.statusRead = now
	d.readPeers(status)
	d.readMembers(status)
}

// readContact puts what is committed, and the contact that covers it, before all that the step takes in.
func (d *desk) readContact(status replica.Status) {
	later := d.news
	d.news = host.News{}
	d.readConfiguration()
	contact := distribution.Contact{Epoch: status.View.Epoch, ConfirmedAt: status.ConfirmedAt}
	if d.owner.world.Mutant == StampFresh {
		contact.ConfirmedAt = d.owner.clock()
	}
	forDrains := registry.QuorumContact{ConfirmedAt: contact.ConfirmedAt}
	if d.owner.world.Mutant == DrainWithoutContact {
		forDrains.ConfirmedAt = d.owner.clock()
	}
	if contact != d.contact {
		d.contact = contact
		d.news.Hub = append(d.news.Hub, contact)
	}
	d.news.Registry = append(d.news.Registry, forDrains)
	d.news.Hub = append(d.news.Hub, later.Hub...)
	d.news.Registry = append(d.news.Registry, later.Registry...)
}

func (d *desk) readPeers(status replica.Status) {
	var peers []string
	for _, member := range status.Live {
		if member.Address != d.owner.address {
			peers = append(peers, member.Address)
		}
	}
	slices.Sort(peers)
	peers = slices.Compact(peers)
	if !d.told || !slices.Equal(peers, d.peers) {
		d.news.Registry = append(d.news.Registry, registry.Peers{Reachable: peers})
	}
	d.told, d.peers = true, peers
}

func (d *desk) readMembers(status replica.Status) {
	known := make(map[string]protocol.Member)
	for _, members := range [][]replica.Member{status.View.Voters, status.View.Chain, status.Live, {status.Self}} {
		for _, member := range members {
			known[member.Identity] = protocol.Member{
				Identity: member.Identity, Address: member.Address, ControlAddress: member.Tag, Zone: member.Zone,
			}
		}
	}
	var members []protocol.Member
	for _, member := range known {
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b protocol.Member) int { return cmp.Compare(a.Identity, b.Identity) })
	if !slices.Equal(members, d.members) {
		d.members = members
		d.news.Hub = append(d.news.Hub, distribution.Members{Members: members})
	}
}
