package roles

import (
	"context"
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
	placePart      = 2 // so many times as long as placing took pass before the next time
	dividePart     = 1 // and so many times as long as dividing took
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
	PublishLoading(table protocol.LoadingTable)
	DistributeGrants(batches map[string][]protocol.RouterGrants)
}

// Configurations gives the newest committed configuration, nil before the first.
type Configurations interface {
	Current() *configuration.Configuration
}

// EventRecorder are told to people, one line each.
type EventRecorder interface {
	LeadershipBegan(epoch uint64, from time.Duration)
	LeadershipEnded(epoch uint64)
	OrderCompleted(epoch uint64, order placer.Order, outcome placer.Outcome, err error)
}

// Dependencies are what the holder works with.
type Dependencies struct {
	Replica        replica.Interface
	Endpoints      Endpoints
	Configurations Configurations
	Mesh           host.Mesh
	NewPlacer      func(quiet time.Duration) Placer // nobody has sent an order for so long
	NewAllocator   func(quiet time.Duration) Allocator
	EventRecorder  EventRecorder
}

// Config are fixed at the start of the process.
type Config struct {
	Origin   protocol.Origin
	NodeName string        // name of the holder in orders
	Lease    time.Duration // lease_ms
}

// Leader runs the roles while this instance may.
type Leader struct {
	settings Config
	parts    Dependencies
	sender   *EndpointClient
	wake     chan struct{}
	tasks    sync.WaitGroup

	mutex   sync.Mutex // guards what other goroutines bring
	inbox   inbox
	stopped bool
	term    uint64 // number of the placer that the answers are for

	// Owned by Run.
	tenure        *Leadership
	turn          LeadershipOutput
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
	forPlacer     placer.Input // what came since its last step
	routerCount   int          // of the last view
	endpoints     []protocol.Endpoint
	nextStep      time.Time // not before then
	nextPlace     time.Time // no step of the placer before then
	stepped       time.Time // the last one's end
	rest          time.Duration
	placeAt       time.Time // when the placer wants its next step
	wakeAt        time.Time // when the next step is due
}

// inbox gathers what arrives between two steps.
type inbox struct {
	batches []*protocol.ReportBatch
	results []placer.Result
	looks   []placer.Inspection
}

// New makes a holder; Run starts it.
func New(settings Config, parts Dependencies) *Leader {
	h := &Leader{
		settings: settings,
		parts:    parts,
		wake:     make(chan struct{}, 1),
		tenure:   NewLeadership(settings.Lease, time.Now()),
		loadings: newLoadings(),
		looks:    newLooks(),
		orders:   make(map[uint64]placer.Order),
	}
	h.sender = NewEndpointClient(settings.NodeName, settings.Lease, h.permitted)
	return h
}

// permitted looks at the lease at this very moment.
func (h *Leader) permitted(epoch uint64) bool {
	h.mutex.Lock()
	stopped := h.stopped
	h.mutex.Unlock()
	if stopped {
		return false
	}
	status := h.parts.Replica.Status()
	return status.IsLeader && status.View.Epoch == epoch && time.Now().Add(leaseReserve).Before(status.LeaseExpiry)
}

// StepDown ends all orders for good: the roles are about to be handed over.
func (h *Leader) StepDown() {
	h.mutex.Lock()
	h.stopped = true
	h.mutex.Unlock()
	h.nudge()
}

// HandleReports takes what an instance's routers reported. It does not block.
func (h *Leader) HandleReports(batch *protocol.ReportBatch) {
	h.mutex.Lock()
	if len(h.inbox.batches) < maximumBatches {
		h.inbox.batches = append(h.inbox.batches, batch)
	}
	h.mutex.Unlock()
	h.nudge()
}

func (h *Leader) nudge() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Run holds the roles whenever this instance may, until the context ends.
func (h *Leader) Run(ctx context.Context) {
	defer h.tasks.Wait()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		changed := h.parts.Replica.Changed() // before the look, so that no change is missed
		now := time.Now()
		h.look(now)
		if h.turn.MayAct && !now.Before(h.stepFrom()) {
			h.step(ctx, now)
		}
		if h.turn.Leads && !h.turn.MayAct {
			h.learn(ctx, now)
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
func (h *Leader) stepFrom() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, batch := range h.inbox.batches {
		if batch.HasShortfall() {
			return h.stepped.Add(max(lackingPause, h.rest))
		}
	}
	return h.nextStep
}

// look draws from the replica's status what this instance may do.
func (h *Leader) look(now time.Time) {
	status := h.parts.Replica.Status()
	h.trouble.observe(now, status)
	before := h.turn
	h.turn = h.tenure.Step(now, status)
	h.mutex.Lock()
	if h.stopped {
		h.turn = LeadershipOutput{}
	}
	if !h.turn.Leads {
		h.inbox.batches = nil
	}
	h.mutex.Unlock()
	if h.turn.Leads && (!before.Leads || before.Epoch != h.turn.Epoch) {
		h.prepare()
	}
	switch {
	case h.turn.MayAct && !before.MayAct:
		h.begin(now)
	case before.MayAct && !h.turn.MayAct:
		h.end(before)
	}
}

// prepare makes ready to gather for the role. Where nobody else can have held it in between, the deciders go on as
// they were.
func (h *Leader) prepare() {
	if h.placer == nil || h.turn.Epoch-h.ended > 1 {
		h.startAnew()
	}
}

// begin takes the role up.
func (h *Leader) begin(now time.Time) {
	h.nextStep, h.nextPlace = now, now
	h.parts.EventRecorder.LeadershipBegan(h.turn.Epoch, now.Sub(h.turn.ActsFrom))
}

func (h *Leader) startAnew() {
	h.placer = h.parts.NewPlacer(h.turn.IdleFor)
	h.allocator = h.parts.NewAllocator(h.turn.IdleFor)
	h.roster = newRoster()
	h.loadings = newLoadings()
	h.looks = newLooks()
	h.loadings.changed = true // the others forget what an earlier holder showed
	h.configuration, h.divided = nil, nil
	h.forPlacer = placer.Input{}
	clear(h.orders)
	h.mutex.Lock()
	h.term++
	h.inbox.results, h.inbox.looks = nil, nil
	h.mutex.Unlock()
}

func (h *Leader) end(before LeadershipOutput) {
	h.ended = before.Epoch
	h.parts.EventRecorder.LeadershipEnded(before.Epoch)
}

// step has the placer and the allocator decide, and begins what they order. Where one of them takes long, it gets a
// part of the time only: heartbeats, configurations and routers of this instance must not wait for it.
func (h *Leader) step(ctx context.Context, now time.Time) {
	arrived := h.takeInbox()
	reports := h.reportsOf(now, arrived.batches)
	h.gather(now, arrived, reports)
	if !now.Before(h.nextPlace) {
		h.place(ctx, now)
		h.placeAt = later(h.placeAt, h.nextPlace)
	}
	h.ask(ctx)
	h.wakeAt = h.placeAt
	divided := time.Now()
	h.divide(now, quota.Input{
		Routers:        h.roster.routers(now),
		MinRouterCount: h.roster.count(now, h.routerCount),
		Reports:        reports,
		Confirmations:  h.confirmedOf(arrived.batches),
	})
	h.stepped = time.Now()
	h.rest = dividePart * h.stepped.Sub(divided)
	h.nextStep = later(now.Add(shortestPause), h.stepped.Add(h.rest))
}

// learn takes in what is reported before this instance may act.
func (h *Leader) learn(ctx context.Context, now time.Time) {
	if now.Before(h.nextStep) {
		return
	}
	h.nextStep = now.Add(shortestPause)
	if h.routerCount == 0 {
		view, err := h.view(ctx)
		if err != nil {
			return // later
		}
		h.routerCount = view.RouterCount
	}
	arrived := h.takeInbox()
	reports := h.reportsOf(now, arrived.batches)
	h.gather(now, arrived, reports)
	h.divide(now, quota.Input{
		Routers:        h.roster.routers(now),
		MinRouterCount: h.roster.count(now, h.routerCount),
		Reports:        reports,
		ObserveOnly:    true,
	})
}

// pauseAfter is when work that began at a time, and ends now, may be done again.
func pauseAfter(began time.Time, part time.Duration) time.Time {
	ended := time.Now()
	return ended.Add(part * ended.Sub(began))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// gather keeps what arrived for the placer's next step.
func (h *Leader) gather(now time.Time, arrived inbox, reports []protocol.Report) {
	if changed := h.newConfiguration(); changed != nil {
		h.forPlacer.Configuration = changed
	}
	h.note(now, arrived.results)
	for _, look := range arrived.looks {
		h.looks.done(look.Endpoint)
	}
	h.forPlacer.Reports = append(h.forPlacer.Reports, reports...)
	h.forPlacer.Results = append(h.forPlacer.Results, arrived.results...)
	h.forPlacer.Inspections = append(h.forPlacer.Inspections, arrived.looks...)
}

// place has the placer decide.
func (h *Leader) place(ctx context.Context, now time.Time) {
	view, err := h.view(ctx)
	if err != nil {
		return // the instance stops, or is behind: later
	}
	began := time.Now() // without the wait for the view, which the holder has not caused
	in := h.forPlacer
	h.forPlacer = placer.Input{}
	h.routerCount, h.endpoints = view.RouterCount, view.Endpoints
	h.loadings.observe(now, view.Endpoints)
	in.Endpoints = view.Endpoints
	in.Recovering = h.trouble.lasts(now)
	out := h.placer.Step(now, in)
	h.carryOut(ctx, out)
	if table, changed := h.loadings.table(now, h.turn.Epoch); changed {
		h.parts.Endpoints.PublishLoading(table)
	}
	h.placeAt = out.WakeAt
	h.nextPlace = pauseAfter(began, placePart)
}

// newConfiguration returns the newest version if it is new here.
func (h *Leader) newConfiguration() *configuration.Configuration {
	newest := h.parts.Configurations.Current()
	if newest == nil || newest == h.configuration {
		return nil
	}
	h.configuration = newest
	h.loadings.configure(newest)
	return newest
}

func (h *Leader) reportsOf(now time.Time, batches []*protocol.ReportBatch) []protocol.Report {
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
func (h *Leader) confirmedOf(batches []*protocol.ReportBatch) []quota.Confirmation {
	var confirmed []quota.Confirmation
	for _, batch := range batches {
		for _, told := range batch.GrantAcks {
			if told.Epoch == h.turn.Epoch {
				router := quota.Router{Node: told.Node, Incarnation: told.Incarnation}
				confirmed = append(confirmed, quota.Confirmation{Router: router, BatchID: told.Batch})
			}
		}
	}
	return confirmed
}

// divide has the tenants' limits divided. While the number of routers is unknown, all keep to their floors.
func (h *Leader) divide(now time.Time, in quota.Input) {
	if in.MinRouterCount == 0 {
		return
	}
	if h.configuration != h.divided {
		h.divided = h.configuration
		in.Configuration = h.configuration
	}
	out := h.allocator.Step(now, in)
	if len(out.Batches) > 0 && h.permitted(h.turn.Epoch) { // the process may have stood still since the step began
		h.parts.Endpoints.DistributeGrants(h.roster.batches(out.Batches, h.turn.Epoch))
	}
	if len(in.Routers) > 0 && out.WakeAt.Before(h.wakeAt) {
		h.wakeAt = out.WakeAt
	}
}

func (h *Leader) view(ctx context.Context) (host.View, error) {
	ctx, cancel := context.WithTimeout(ctx, viewWithin)
	defer cancel()
	return h.parts.Endpoints.View(ctx)
}

func (h *Leader) takeInbox() inbox {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	taken := h.inbox
	h.inbox = inbox{}
	return taken
}

// note keeps in mind which orders are under way now.
func (h *Leader) note(now time.Time, results []placer.Result) {
	for _, result := range results {
		order, known := h.orders[result.ID]
		delete(h.orders, result.ID)
		if known && result.Outcome == placer.Accepted {
			h.loadings.begin(now, order)
		}
	}
}

// pause says when to look again, while nothing arrives.
func (h *Leader) pause(now time.Time) time.Duration {
	if !h.turn.Leads {
		return time.Hour // until the replica's state changes
	}
	if !h.turn.MayAct {
		return min(watchEvery, max(0, h.turn.ActsFrom.Sub(now)))
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
