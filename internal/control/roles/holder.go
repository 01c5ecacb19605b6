package roles

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/configuration"
	"raventrestle/internal/control/host"
	"raventrestle/internal/control/placer"
	"raventrestle/internal/control/quota"
	"raventrestle/internal/protocol"
)

const (
	shortestPause  = 50 * time.Millisecond // between two steps
	lackingPause   = 4 * time.Millisecond  // the same, while requests wait for quota
	watchEvery     = 500 * time.Millisecond
	troubleLasts   = 4 * time.Second // after a change of view or of who is live
	maximumBatches = 1024            // of reports, kept until the next step
	viewWithin     = time.Second
)

// Placer decides about orders; *placer.Placer is one.
type Placer interface {
	Step(now time.Time, in placer.Input) placer.Output
}

// Allocator divides tenants' limits; *quota.Allocator is one.
type Allocator interface {
	Step(now time.Time, in quota.Input) quota.Output
}

// Endpoints is the soft state that the roles work on; *host.Host is one.
type Endpoints interface {
	View(ctx context.Context) (host.View, error)
	ShowLoading(table protocol.LoadingTable)
	Grant(batches map[string][]protocol.RouterGrants)
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
	NewAllocator   func(quiet time.Duration) Allocator
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
	allocator     Allocator
	roster        *roster
	loadings      *loadings
	looks         *looks
	configuration *configuration.Configuration // that the placer has
	divided       *configuration.Configuration // that the allocator has
	orders        map[uint64]placer.Order      // without a result
	trouble       trouble
	nextStep      time.Time // not before then
	stepped       time.Time // the last one
	wakeAt        time.Time // when the placer wants its next step
}

// inbox gathers what arrives between two steps.
type inbox struct {
	batches []*protocol.ReportBatch
	results []placer.Result
	looks   []placer.Look
}

// New makes a holder; Run starts it.
func New(settings Settings, parts Parts) *Holder {
	h := &Holder{
		settings: settings,
		parts:    parts,
		wake:     make(chan struct{}, 1),
		tenure:   NewTenure(settings.Lease, time.Now()),
		loadings: newLoadings(),
		looks:    newLooks(),
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

// Reports takes what an instance's routers reported. It does not block.
func (h *Holder) Reports(batch *protocol.ReportBatch) {
	h.mutex.Lock()
	if len(h.inbox.batches) < maximumBatches {
		h.inbox.batches = append(h.inbox.batches, batch)
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
		if h.turn.Acts && !now.Before(h.stepFrom()) {
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

// stepFrom is when the next step may be made: soon if requests wait for quota.
func (h *Holder) stepFrom() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, batch := range h.inbox.batches {
		if batch.Lacks() {
			return h.stepped.Add(lackingPause)
		}
	}
	return h.nextStep
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
		h.inbox.batches = nil
	}
	h.mutex.Unlock()
	switch {
	case h.turn.Acts && !before.Acts:
		h.begin(now)
	case before.Acts && !h.turn.Acts:
		h.end(before)
	}
}

// begin takes the role up. Where nobody else can have held it in between, the deciders go on as they were.
func (h *Holder) begin(now time.Time) {
	h.nextStep = now
	if h.placer == nil || h.turn.Epoch-h.ended > 1 {
		h.startAnew()
	}
	h.parts.Events.RoleBegan(h.turn.Epoch, now.Sub(h.turn.From))
}

func (h *Holder) startAnew() {
	h.placer = h.parts.NewPlacer(h.turn.Quiet)
	h.allocator = h.parts.NewAllocator(h.turn.Quiet)
	h.roster = newRoster()
	h.loadings = newLoadings()
	h.looks = newLooks()
	h.loadings.changed = true // the others forget what an earlier holder showed
	h.configuration, h.divided = nil, nil
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

// step has the placer and the allocator decide, and begins what they order.
func (h *Holder) step(ctx context.Context, now time.Time) {
	h.stepped = now
	h.nextStep = now.Add(shortestPause)
	view, err := h.view(ctx)
	if err != nil {
		return // the instance stops, or is behind: later
	}
	arrived := h.takeInbox()
	reports := h.reportsOf(now, arrived.batches)
	changed := h.newConfiguration()
	h.note(now, arrived.results)
	for _, look := range arrived.looks {
		h.looks.done(look.Endpoint)
	}
	h.loadings.observe(now, view.Endpoints)
	out := h.placer.Step(now, placer.Input{
		Configuration: changed,
		Endpoints:     view.Endpoints,
		Reports:       reports,
		Results:       arrived.results,
		Looks:         arrived.looks,
		Recovering:    h.trouble.lasts(now),
	})
	h.carryOut(ctx, out, view.Endpoints)
	if table, changed := h.loadings.table(now, h.turn.Epoch); changed {
		h.parts.Endpoints.ShowLoading(table)
	}
	h.wakeAt = out.WakeAt
	h.divide(now, quota.Input{
		Routers:   h.roster.routers(now),
		Floors:    h.roster.count(now, view.RouterCount),
		Reports:   reports,
		Confirmed: h.confirmedOf(arrived.batches),
	})
}

// newConfiguration returns the newest version if it is new here.
func (h *Holder) newConfiguration() *configuration.Configuration {
	newest := h.parts.Configurations.Current()
	if newest == nil || newest == h.configuration {
		return nil
	}
	h.configuration = newest
	h.loadings.configure(newest)
	return newest
}

func (h *Holder) reportsOf(now time.Time, batches []*protocol.ReportBatch) []protocol.Report {
	var reports []protocol.Report
	for _, batch := range batches {
		for i := range batch.Reports {
			h.roster.see(now, batch.Origin.Address, &batch.Reports[i])
		}
		reports = append(reports, batch.Reports...)
	}
	return reports
}

// confirmedOf returns the confirmations of grants of this epoch; numbers of others mean nothing here.
func (h *Holder) confirmedOf(batches []*protocol.ReportBatch) []quota.Confirmation {
	var confirmed []quota.Confirmation
	for _, batch := range batches {
		for _, told := range batch.Confirmed {
			if told.Epoch == h.turn.Epoch {
				router := quota.Router{Node: told.Node, Incarnation: told.Incarnation}
				confirmed = append(confirmed, quota.Confirmation{Router: router, Batch: told.Batch})
			}
		}
	}
	return confirmed
}

// divide has the tenants' limits divided. While the number of routers is unknown, all keep to their floors.
func (h *Holder) divide(now time.Time, in quota.Input) {
	if in.Floors == 0 {
		return
	}
	if h.configuration != h.divided {
		h.divided = h.configuration
		in.Configuration = h.configuration
	}
	out := h.allocator.Step(now, in)
	if len(out.Grants) > 0 {
		h.parts.Endpoints.Grant(h.roster.batches(out.Grants, h.turn.Epoch))
	}
	if len(in.Routers) > 0 && out.WakeAt.Before(h.wakeAt) {
		h.wakeAt = out.WakeAt
	}
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
	h.looks.want(out.Looks)
	for _, id := range h.looks.next() {
		at, known := slices.BinarySearchFunc(endpoints, id, compareID)
		if !known {
			h.deliver(term, func(in *inbox) { in.looks = append(in.looks, placer.Look{Endpoint: id, Failed: true}) })
			continue
		}
		h.tasks.Add(1)
		go h.lookAt(ctx, epoch, term, id, endpoints[at].Address)
	}
}

// compareID orders endpoints as tables have them.
func compareID(e protocol.Endpoint, id string) int { return strings.Compare(e.ID, id) }

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
	if h.looks.wait() {
		pause = 0 // until the next step may be made
	}
	if due := h.wakeAt; !due.IsZero() {
		pause = min(pause, due.Sub(now))
	}
	return max(pause, h.stepFrom().Sub(now), 0)
}
