package roles

import (
	"context"
	"sync"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/configuration"
	"raventrestle/internal/control/host"
	"raventrestle/internal/control/placer"
	"raventrestle/internal/protocol"
)

const (
	shortestPause  = 50 * time.Millisecond // between two steps
	watchEvery     = 500 * time.Millisecond
	troubleLasts   = 4 * time.Second // after a change of view or of who is live
	maximumReports = 4096            // kept until the next step
	viewWithin     = time.Second
)

// Placer decides about orders; *placer.Placer is one.
type Placer interface {
	Step(now time.Time, in placer.Input) placer.Output
}

// Endpoints is the soft state that the roles work on; *host.Host is one.
type Endpoints interface {
	View(ctx context.Context) (host.View, error)
	ShowLoading(table protocol.LoadingTable)
	Grant(routers []protocol.RouterGrants)
}

// Configurations gives the newest committed configuration, nil before the first.
type Configurations interface {
	Current() *configuration.Configuration
}

// Events are told to people, one line each.
type Events interface {
	RoleBegan(epoch uint64, from time.Duration)
	RoleEnded(epoch uint64)
	Order(epoch uint64, order placer.Order, outcome placer.Outcome, err error)
}

// Parts are what the holder works with.
type Parts struct {
	Replica        replica.Interface
	Endpoints      Endpoints
	Configurations Configurations
	Mesh           host.Mesh
	NewPlacer      func(quiet time.Duration) Placer // nobody has sent an order for so long
	Events         Events
}

// Settings are fixed at the start of the process.
type Settings struct {
	Origin protocol.Origin
	Node   string        // name of the holder in orders
	Lease  time.Duration // lease_ms
}

// Holder runs the roles while this instance may.
type Holder struct {
	settings Settings
	parts    Parts
	sender   *Sender
	wake     chan struct{}
	tasks    sync.WaitGroup

	mutex   sync.Mutex // guards what other goroutines bring
	inbox   inbox
	stopped bool
	term    uint64 // number of the placer that the answers are for

	// Owned by Run.
	tenure        *Tenure
	turn          Turn
	ended         uint64 // epoch in which this instance last ceased to act
	placer        Placer
	loadings      *loadings
	configuration *configuration.Configuration
	orders        map[uint64]placer.Order // without a result
	trouble       trouble
	nextStep      time.Time // not before then
	wakeAt        time.Time // when the placer wants its next step
}

// inbox gathers what arrives between two steps.
type inbox struct {
	reports []arrivedReport
	results []placer.Result
	looks   []placer.Look
}

type arrivedReport struct {
	from   string // the instance that the router is connected to
	report protocol.Report
}

// New makes a holder; Run starts it.
func New(settings Settings, parts Parts) *Holder {
	h := &Holder{
		settings: settings,
		parts:    parts,
		wake:     make(chan struct{}, 1),
		tenure:   NewTenure(settings.Lease, time.Now()),
		loadings: newLoadings(),
		orders:   make(map[uint64]placer.Order),
	}
	h.sender = NewSender(settings.Node, h.permitted)
	return h
}

// permitted looks at the lease at this very moment.
func (h *Holder) permitted(epoch uint64) bool {
	h.mutex.Lock()
	stopped := h.stopped
	h.mutex.Unlock()
	if stopped {
		return false
	}
	status := h.parts.Replica.Status()
	return status.Leader && status.View.Epoch == epoch && time.Now().Add(leaseReserve).Before(status.LeaseUntil)
}

// Stop ends all orders for good: the roles are about to be handed over.
func (h *Holder) Stop() {
	h.mutex.Lock()
	h.stopped = true
	h.mutex.Unlock()
	h.nudge()
}

// Reports takes routers' reports that arrived at an instance. It does not block.
func (h *Holder) Reports(from string, reports []protocol.Report) {
	h.mutex.Lock()
	for _, report := range reports {
		if len(h.inbox.reports) < maximumReports {
			h.inbox.reports = append(h.inbox.reports, arrivedReport{from: from, report: report})
		}
	}
	h.mutex.Unlock()
	h.nudge()
}

func (h *Holder) nudge() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Run holds the roles whenever this instance may, until the context ends.
func (h *Holder) Run(ctx context.Context) {
	defer h.tasks.Wait()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		changed := h.parts.Replica.Changed() // before the look, so that no change is missed
		now := time.Now()
		h.look(now)
		if h.turn.Acts && !now.Before(h.nextStep) {
			h.step(ctx, now)
		}
		timer.Reset(h.pause(now))
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-h.wake:
		case <-timer.C:
		}
	}
}

// look draws from the replica's status what this instance may do.
func (h *Holder) look(now time.Time) {
	status := h.parts.Replica.Status()
	h.trouble.observe(now, status)
	before := h.turn
	h.turn = h.tenure.Step(now, status)
	h.mutex.Lock()
	if h.stopped {
		h.turn = Turn{}
	}
	if !h.turn.Leads {
		h.inbox.reports = nil
	}
	h.mutex.Unlock()
	switch {
	case h.turn.Acts && !before.Acts:
		h.begin(now)
	case before.Acts && !h.turn.Acts:
		h.end(before)
	}
}

// begin takes the role up. Where nobody else can have held it in between, the placer goes on as it was.
func (h *Holder) begin(now time.Time) {
	h.nextStep = now
	h.parts.Events.RoleBegan(h.turn.Epoch, now.Sub(h.turn.From))
	if h.placer != nil && h.turn.Epoch-h.ended <= 1 {
		return
	}
	h.placer = h.parts.NewPlacer(h.turn.Quiet)
	h.loadings = newLoadings()
	h.loadings.changed = true // the others forget what an earlier holder showed
	h.configuration = nil
	clear(h.orders)
	h.mutex.Lock()
	h.term++
	h.inbox.results, h.inbox.looks = nil, nil
	h.mutex.Unlock()
}

func (h *Holder) end(before Turn) {
	h.ended = before.Epoch
	h.parts.Events.RoleEnded(before.Epoch)
}

// step has the placer decide and begins what it orders.
func (h *Holder) step(ctx context.Context, now time.Time) {
	view, err := h.view(ctx)
	if err != nil {
		h.nextStep = now.Add(shortestPause)
		return // the instance stops, or is behind: later
	}
	in := placer.Input{Endpoints: view.Endpoints, Recovering: h.trouble.lasts(now)}
	if newest := h.parts.Configurations.Current(); newest != nil && newest != h.configuration {
		h.configuration = newest
		in.Configuration = newest
		h.loadings.configure(newest)
	}
	arrived := h.takeInbox()
	for _, report := range arrived.reports {
		in.Reports = append(in.Reports, report.report)
	}
	in.Results, in.Looks = arrived.results, arrived.looks
	h.note(now, arrived.results)
	h.loadings.observe(now, view.Endpoints)
	out := h.placer.Step(now, in)
	h.carryOut(ctx, out, view.Endpoints)
	if table, changed := h.loadings.table(now, h.turn.Epoch); changed {
		h.parts.Endpoints.ShowLoading(table)
	}
	h.nextStep = now.Add(shortestPause)
	h.wakeAt = out.WakeAt
}

func (h *Holder) view(ctx context.Context) (host.View, error) {
	ctx, cancel := context.WithTimeout(ctx, viewWithin)
	defer cancel()
	return h.parts.Endpoints.View(ctx)
}

func (h *Holder) takeInbox() inbox {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	taken := h.inbox
	h.inbox = inbox{}
	return taken
}

// note keeps in mind which orders are under way now.
func (h *Holder) note(now time.Time, results []placer.Result) {
	for _, result := range results {
		order, known := h.orders[result.ID]
		delete(h.orders, result.ID)
		if known && result.Outcome == placer.Accepted {
			h.loadings.begin(now, order)
		}
	}
}

// carryOut begins what the placer decided, one goroutine for each call.
func (h *Holder) carryOut(ctx context.Context, out placer.Output, endpoints []protocol.Endpoint) {
	epoch, term := h.turn.Epoch, h.term
	for _, order := range out.Orders {
		h.orders[order.ID] = order
		h.tasks.Add(1)
		go h.order(ctx, epoch, term, order)
	}
	for _, id := range out.Looks {
		for i := range endpoints {
			if endpoints[i].ID == id {
				h.tasks.Add(1)
				go h.lookAt(ctx, epoch, term, id, endpoints[i].Address)
			}
		}
	}
}

func (h *Holder) order(ctx context.Context, epoch, term uint64, order placer.Order) {
	defer h.tasks.Done()
	outcome, err := h.sender.Order(ctx, epoch, order)
	h.parts.Events.Order(epoch, order, outcome, err)
	h.deliver(term, func(in *inbox) {
		in.results = append(in.results, placer.Result{ID: order.ID, Outcome: outcome})
	})
}

func (h *Holder) lookAt(ctx context.Context, epoch, term uint64, id, address string) {
	defer h.tasks.Done()
	look, _ := h.sender.Look(ctx, epoch, id, address) // a failure is said in the look itself
	h.deliver(term, func(in *inbox) { in.looks = append(in.looks, look) })
}

// deliver puts an answer into the inbox, unless the placer that asked is gone.
func (h *Holder) deliver(term uint64, put func(in *inbox)) {
	h.mutex.Lock()
	if term == h.term {
		put(&h.inbox)
	}
	h.mutex.Unlock()
	h.nudge()
}

// pause says when to look again, while nothing arrives.
func (h *Holder) pause(now time.Time) time.Duration {
	if !h.turn.Leads {
		return time.Hour // until the replica's state changes
	}
	if !h.turn.Acts {
		return min(watchEvery, max(0, h.turn.From.Sub(now)))
	}
	pause := watchEvery
	if due := h.wakeAt; !due.IsZero() {
		pause = min(pause, due.Sub(now))
	}
	return max(pause, h.nextStep.Sub(now), 0)
}
