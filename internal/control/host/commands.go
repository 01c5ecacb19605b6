package host

import (
	"context"
	"errors"
	"fmt"
	"time"

	"raventrestle/internal/control/distribution"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
	"raventrestle/internal/transport"
)

// Errors of calls to the host.
var (
	ErrStopped  = errors.New("instance stops")
	ErrIsolated = errors.New("instance has no contact with a majority of the others")
)

// The commands of the queue.
type (
	arrived struct {
		connection *transport.Connection
		message    any
	}
	ended        struct{ connection *transport.Connection }
	replicaMoved struct{}
	barrierEnded struct {
		number uint64
		passed bool
	}
	heartbeat struct {
		endpoint protocol.Endpoint
		answer   chan registry.Reply
	}
	leave struct {
		id     string
		answer chan registry.Reply
	}
	ownLoading struct{ table protocol.LoadingTable }
	ownGrants  struct {
		batches map[string][]protocol.RouterGrants
	}
	lookup struct{ answer chan View }
)

// Message takes what arrives on a connection; the host is a transport.Handler.
func (h *Host) Message(c *transport.Connection, message any) {
	if body, isReplica := message.(*protocol.ReplicaMessage); isReplica {
		h.parts.Replica.Deliver(body.From, body.Body)
		return
	}
	h.post(context.Background(), arrived{connection: c, message: message})
}

// Closed notes a connection's end.
func (h *Host) Closed(c *transport.Connection, _ error) {
	h.post(context.Background(), ended{connection: c})
}

// Heartbeat takes in an endpoint's call and returns once it may be answered.
func (h *Host) Heartbeat(ctx context.Context, endpoint protocol.Endpoint) error {
	answer := make(chan registry.Reply, 1)
	return h.wait(ctx, heartbeat{endpoint: endpoint, answer: answer}, answer)
}

// Deregister takes in an endpoint's end and returns once it may be answered.
func (h *Host) Deregister(ctx context.Context, id string) error {
	answer := make(chan registry.Reply, 1)
	return h.wait(ctx, leave{id: id, answer: answer}, answer)
}

func (h *Host) wait(ctx context.Context, command any, answer chan registry.Reply) error {
	if !h.post(ctx, command) {
		return ErrStopped
	}
	select {
	case result := <-answer:
		if result.Rejected {
			return ErrIsolated
		}
		return nil
	case <-h.ended:
		return ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("wait for acknowledgement: %w", ctx.Err())
	}
}

// ShowLoading tells routers and instances which orders are under way.
func (h *Host) ShowLoading(table protocol.LoadingTable) {
	h.post(context.Background(), ownLoading{table: table})
}

// Grant sends quota grants to the instances that have the routers, by address.
func (h *Host) Grant(batches map[string][]protocol.RouterGrants) {
	h.post(context.Background(), ownGrants{batches: batches})
}

// View is the soft state for people and for the placer.
type View struct {
	Endpoints   []protocol.Endpoint
	Routers     []string // connected here
	RouterCount int      // of all instances; 0 while unknown
	Members     []protocol.Member
	Isolated    bool
}

// View returns the newest soft state.
func (h *Host) View(ctx context.Context) (View, error) {
	answer := make(chan View, 1)
	if !h.post(ctx, lookup{answer: answer}) {
		return View{}, ErrStopped
	}
	select {
	case view := <-answer:
		return view, nil
	case <-h.ended:
		return View{}, ErrStopped
	case <-ctx.Done():
		return View{}, fmt.Errorf("wait for the table: %w", ctx.Err())
	}
}

func (h *Host) take(command any) {
	switch command := command.(type) {
	case arrived:
		h.arrived(command)
	case ended:
		h.forgetConnection(command.connection)
	case replicaMoved:
		h.status.read = time.Time{} // it may be about who is there
	case barrierEnded:
		h.endBarrier(command)
	case heartbeat:
		h.news.Registry = append(h.news.Registry,
			registry.Heartbeat{RequestID: h.ticket(command.answer), Endpoint: command.endpoint})
	case leave:
		h.news.Registry = append(h.news.Registry, registry.Deregister{RequestID: h.ticket(command.answer), ID: command.id})
	case ownLoading:
		h.news.Registry = append(h.news.Registry, registry.LocalLoading{Table: command.table})
	case ownGrants:
		h.spreadGrants(command.batches)
	case lookup:
		command.answer <- h.view()
	}
}

func (h *Host) ticket(answer chan registry.Reply) uint64 {
	h.nextTicket++
	h.tickets[h.nextTicket] = answer
	return h.nextTicket
}

func (h *Host) arrived(in arrived) {
	var heldUp time.Duration
	if fromPeer, isPeer := in.message.(protocol.FromPeer); isPeer {
		heldUp = h.delays.heldUp(time.Since(h.started), fromPeer.Sender())
	}
	switch message := in.message.(type) {
	case *protocol.Subscribe:
		h.news.Hub = append(h.news.Hub,
			distribution.Subscribed{Connection: h.identify(in.connection), Router: *message})
	case *protocol.Confirm:
		if id, known := h.connections[in.connection]; known {
			h.news.Hub = append(h.news.Hub,
				distribution.Confirmed{Connection: id, Sequence: message.Sequence, Mark: message.EchoSequence})
		}
	case *protocol.Probe:
		h.news.Hub = append(h.news.Hub,
			distribution.Probed{Connection: h.identify(in.connection), Mark: message.EchoSequence})
	case *protocol.Report:
		h.reported(message)
	case *protocol.ReportBatch:
		h.parts.Roles.HandleReports(message)
	case *protocol.GrantBatch:
		if heldUp <= staleGrant {
			h.grantHere(message.Routers)
		}
	default:
		h.news.Registry = append(h.news.Registry, registry.PeerMessage{Content: in.message})
	}
}

// identify returns the number of a connection. It keeps it for its life: a probe may come before a subscription.
func (h *Host) identify(connection *transport.Connection) distribution.ConnectionID {
	if id, known := h.connections[connection]; known {
		return id
	}
	h.nextID++
	h.connections[connection] = h.nextID
	h.byID[h.nextID] = connection
	return h.nextID
}

func (h *Host) forgetConnection(connection *transport.Connection) {
	id, known := h.connections[connection]
	if !known {
		return
	}
	delete(h.connections, connection)
	delete(h.byID, id)
	h.news.Hub = append(h.news.Hub, distribution.Closed{Connection: id})
}

func (h *Host) reported(report *protocol.Report) {
	if len(report.Unreachable)+len(report.Reached) > 0 {
		h.news.Registry = append(h.news.Registry,
			registry.RouterReport{Unreachable: report.Unreachable, Reached: report.Reached})
	}
	h.lacking = h.lacking || report.Lacks()
	h.reports = append(h.reports, *report)
}

func (h *Host) spreadGrants(batches map[string][]protocol.RouterGrants) {
	now := time.Now()
	for address, routers := range batches {
		if address == h.settings.Origin.Address {
			h.grantHere(routers)
			continue
		}
		h.sendPeer(now, address, &protocol.GrantBatch{Origin: h.settings.Origin, Routers: routers})
	}
}

// grantHere passes grants on. Those of an earlier holder that come after a later one's are not its to give any more.
func (h *Host) grantHere(routers []protocol.RouterGrants) {
	for _, router := range routers {
		if router.Epoch < h.grantEpoch {
			continue
		}
		h.grantEpoch = router.Epoch
		h.news.Hub = append(h.news.Hub, distribution.Granted{Router: router})
	}
}

func (h *Host) endBarrier(in barrierEnded) {
	h.barrier = false
	if !in.passed {
		return // the next step asks for another where it is still needed
	}
	h.news.Hub = append(h.news.Hub, distribution.BarrierPassed{Barrier: in.number})
}
