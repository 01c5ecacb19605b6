package host

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/distribution"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
	"raventrestle/internal/transport"
)

const (
	queueCommands  = 1024
	batchCommands  = 256
	statusEvery    = 100 * time.Millisecond    // the replica's status is read no more often
	reportsEvery   = 200 * time.Millisecond    // routers' reports go on together
	lacksEvery     = 4 * time.Millisecond      // the same, while requests wait for quota
	staleGrant     = 300 * time.Millisecond    // one that was held up longer may be somebody else's by now
	isolatedAfter  = registry.QuorumContactTTL // without contact with a majority
	barrierWithin  = 1500 * time.Millisecond
	barrierPause   = 200 * time.Millisecond // after one that failed
	maximumReports = 4096                   // kept while no holder of the placer's role is known
)

// Configurations gives the committed configuration.
type Configurations interface {
	// Newest returns the newest committed version, or 0 and nil. The document must not be changed.
	Newest() (generation int64, document []byte)
}

// Mesh sends messages to other instances. It never blocks; messages may be lost.
type Mesh interface {
	Send(address string, message any)
}

// Roles takes what concerns the singleton roles.
type Roles interface {
	// Reports takes what an instance's routers reported and confirmed. It does not block.
	HandleReports(batch *protocol.ReportBatch)
}

// Events are told to people, one line each.
type Events interface {
	RouterSubscribed(node, zone string, generation int64)
	RouterClosed(node, reason string)
	Isolated(isolated bool, live, voters int)
}

// Settings are fixed at the start of the process.
type Settings struct {
	Origin    protocol.Origin
	Heartbeat time.Duration // between an endpoint's heartbeats
	Codec     *transport.Codec
}

// Parts are what the host works with.
type Parts struct {
	Replica        replica.Interface
	Configurations Configurations
	Mesh           Mesh
	Roles          Roles
	Events         Events
}

// Host owns the soft state.
type Host struct {
	settings Settings
	parts    Parts
	queue    chan any
	ended    chan struct{} // closed when Run returns
	tasks    sync.WaitGroup

	confirmedAt atomic.Pointer[time.Time] // of status.contact, for all; nil: there was none

	// Owned by Run.
	desk        *Desk
	news        News
	connections map[*transport.Connection]distribution.ConnectionID
	byID        map[distribution.ConnectionID]*transport.Connection
	nextID      distribution.ConnectionID
	tickets     map[uint64]chan registry.Reply
	nextTicket  uint64
	barrier     bool // one is under way
	status      statusView
	started     time.Time
	delays      delays
	frames      frames
	reports     []protocol.Report
	granted     []protocol.GrantConfirmed
	reportsSent time.Time
	lacking     bool   // a report says that requests wait for quota
	grantEpoch  uint64 // newest epoch whose grants were passed on
}

// New makes a host; Run starts it.
func New(settings Settings, parts Parts) *Host {
	now := time.Now()
	return &Host{
		settings:    settings,
		parts:       parts,
		queue:       make(chan any, queueCommands),
		ended:       make(chan struct{}),
		desk:        NewDesk(registry.Config{Origin: settings.Origin, Heartbeat: settings.Heartbeat}, now),
		started:     now,
		delays:      newDelays(),
		frames:      frames{codec: settings.Codec},
		connections: make(map[*transport.Connection]distribution.ConnectionID),
		byID:        make(map[distribution.ConnectionID]*transport.Connection),
		tickets:     make(map[uint64]chan registry.Reply),
	}
}

// Run works through the queue until the context ends.
func (h *Host) Run(ctx context.Context) {
	defer h.tasks.Wait()
	defer close(h.ended)
	h.tasks.Add(1)
	go h.watchReplica(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-h.queue:
			h.take(command)
			h.takeWaiting()
		case <-timer.C:
		}
		now := time.Now()
		h.readReplica(now)
		h.carryOut(ctx, now, h.step(now))
		h.forwardReports(now)
		timer.Reset(time.Until(h.wakeAt(now)))
	}
}

// takeWaiting empties the queue as far as one step should go.
func (h *Host) takeWaiting() {
	for range batchCommands {
		select {
		case command := <-h.queue:
			h.take(command)
		default:
			return
		}
	}
}

func (h *Host) step(now time.Time) Orders {
	news := h.news
	h.news = News{}
	return h.desk.Step(now, news)
}

// watchReplica wakes the owner when the replicated state moved.
func (h *Host) watchReplica(ctx context.Context) {
	defer h.tasks.Done()
	for {
		changed := h.parts.Replica.Changed()
		if !h.post(ctx, replicaMoved{}) {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// post queues a command. It waits while the queue is full, and says whether it was taken.
func (h *Host) post(ctx context.Context, command any) bool {
	select {
	case h.queue <- command:
		return true
	case <-h.ended:
		return false
	case <-ctx.Done():
		return false
	}
}

// carryOut sends first and acknowledges last.
func (h *Host) carryOut(ctx context.Context, now time.Time, orders Orders) {
	h.status.wakeAt = orders.WakeAt
	for _, message := range orders.Routers {
		h.sendRouter(message)
	}
	for _, message := range orders.Peers {
		h.sendPeer(now, message.To, message.Message)
	}
	for _, router := range orders.Joined {
		h.parts.Events.RouterSubscribed(router.Node, router.Zone, router.Generation)
	}
	for _, closing := range orders.Close {
		h.closeRouter(closing)
	}
	h.granted = append(h.granted, orders.Granted...)
	for _, answer := range orders.Acknowledge {
		if waiting, known := h.tickets[answer.RequestID]; known {
			waiting <- answer
			delete(h.tickets, answer.RequestID)
		}
	}
	if orders.Barrier != 0 && !h.barrier {
		h.barrier = true
		h.tasks.Add(1)
		go h.runBarrier(ctx, orders.Barrier)
	}
}

// sendPeer sends with a stamp of this process's clock.
func (h *Host) sendPeer(now time.Time, to string, message any) {
	if stamped, isStamped := message.(protocol.FromPeer); isStamped {
		*stamped.Sender() = h.settings.Origin
		stamped.Sender().At = now.Sub(h.started)
	}
	h.parts.Mesh.Send(to, message)
}

func (h *Host) sendRouter(message distribution.Send) {
	connection := h.byID[message.Connection]
	if connection == nil {
		return
	}
	if err := h.sendOn(connection, message.Message); err != nil {
		connection.Close() // it reads too slowly, or is gone: it subscribes anew
	}
}

func (h *Host) sendOn(connection *transport.Connection, message any) error {
	update, isUpdate := message.(*protocol.Update)
	if !isUpdate {
		return connection.Send(message)
	}
	frame, err := h.frames.update(update)
	if err != nil {
		return err
	}
	return connection.SendFrame(frame)
}

func (h *Host) closeRouter(closing distribution.Closing) {
	connection := h.byID[closing.Connection]
	if connection == nil {
		return
	}
	delete(h.byID, closing.Connection)
	delete(h.connections, connection)
	h.parts.Events.RouterClosed(closing.Node, closing.Reason)
	connection.Close()
}

// runBarrier asks the chain for its newest state on behalf of all routers that subscribed before.
func (h *Host) runBarrier(ctx context.Context, number uint64) {
	defer h.tasks.Done()
	asked, cancel := context.WithTimeout(ctx, barrierWithin)
	defer cancel()
	_, err := h.parts.Replica.Barrier(asked)
	if err != nil {
		pause(ctx, barrierPause)
	}
	h.post(ctx, barrierEnded{number: number, passed: err == nil})
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// forwardReports sends what the routers reported and confirmed to the holder of the roles.
func (h *Host) forwardReports(now time.Time) {
	if len(h.reports)+len(h.granted) == 0 || now.Before(h.reportsDue()) {
		return
	}
	h.reportsSent = now
	h.lacking = false
	holder := h.status.holder
	if holder == "" {
		h.reports = h.reports[max(0, len(h.reports)-maximumReports):]
		h.granted = nil
		return
	}
	batch := &protocol.ReportBatch{Origin: h.settings.Origin, Reports: h.reports, Confirmed: h.granted}
	h.reports, h.granted = nil, nil
	if holder == h.settings.Origin.Address {
		h.parts.Roles.HandleReports(batch)
		return
	}
	h.sendPeer(now, holder, batch)
}

// reportsDue is when what was reported goes on.
func (h *Host) reportsDue() time.Time {
	if h.lacking {
		return h.reportsSent.Add(lacksEvery)
	}
	return h.reportsSent.Add(reportsEvery)
}

func (h *Host) wakeAt(now time.Time) time.Time {
	wake := h.status.wakeAt
	if len(h.reports)+len(h.granted) > 0 {
		if due := h.reportsDue(); due.Before(wake) {
			wake = due
		}
	}
	if wake.Before(now) {
		return now
	}
	return wake
}
