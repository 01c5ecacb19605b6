package roles

import (
	"context"
	"sync"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/configuration"
	"raventrestle/internal/control/host"
	"raventrestle/internal/control/placer"
	"raventrestle/internal/control/shares"
	"raventrestle/internal/protocol"
)

// viewTimeout limits the wait for the host's view. Without a view, the placer's step is skipped.
const viewTimeout = time.Second

// Placer decides on orders; *placer.Placer implements it.
type Placer interface {
	Step(now time.Time, in placer.Input) placer.Output
}

// Host provides the instance's soft state that the roles need; *host.Host implements it.
type Host interface {
	// View returns the endpoints, ordered by ID, and the number of routers.
	View(ctx context.Context) (host.View, error)
	// PublishLoading publishes the orders in progress to all instances. It does not block.
	PublishLoading(table protocol.LoadingTable)
}

// Configurations provides the committed state.
type Configurations interface {
	Current() *configuration.Configuration // newest configuration; nil before the first
	Shares() shares.Table                  // shares of the tenants' limits
}

// EventRecorder records the roles' events in the log, one line each. OrderCompleted and SharesProposed are called
// concurrently.
type EventRecorder interface {
	// LeadershipBegan records that this instance starts to act, and the delay since it was allowed to.
	LeadershipBegan(epoch uint64, delay time.Duration)
	// LeadershipEnded records that this instance has stopped acting.
	LeadershipEnded(epoch uint64)
	// OrderCompleted records an order and its outcome. err is not nil if there was no response, and says why.
	OrderCompleted(epoch uint64, order placer.Order, outcome placer.Outcome, err error)
	// SharesProposed records a proposed assignment of the limits' shares. err is not nil if the proposal may have failed,
	// and says why.
	SharesProposed(sequence uint64, err error)
}

// Config contains the settings of a Leader. They do not change while the process runs.
type Config struct {
	NodeName string        // name of this instance in orders
	Lease    time.Duration // lease_ms
	// HolderLease is shares.HolderLease of this deployment.
	HolderLease time.Duration
}

// Dependencies are the collaborators of a Leader. All are required.
type Dependencies struct {
	Replica        replica.Interface
	Host           Host
	Configurations Configurations
	NewPlacer      func(idleFor time.Duration) Placer // idleFor: minimum time since the last order of any leader
	Events         EventRecorder
}

// Leader runs the singleton roles while this instance may act in them. Its methods are safe for concurrent use.
type Leader struct {
	config       Config
	dependencies Dependencies
	client       *EndpointClient
	inbox        *inbox
	calls        sync.WaitGroup // calls to endpoints and proposals, one goroutine each

	// Owned by Run.
	leadership    *Leadership
	current       LeadershipOutput // newest output of leadership
	endedEpoch    uint64           // epoch in which this instance last stopped acting
	recovery      recoveryDetector
	schedule      schedule
	placement     *placement                   // nil until this instance leads for the first time
	assigner      *shares.Assigner             // also observes while this instance is not the leader
	configuration *configuration.Configuration // newest configuration that placement has received
}

// New returns a Leader, which Run starts.
func New(config Config, dependencies Dependencies) *Leader {
	l := &Leader{
		config:       config,
		dependencies: dependencies,
		inbox:        newInbox(),
		leadership:   NewLeadership(config.Lease, time.Now()),
		assigner:     shares.NewAssigner(config.HolderLease),
	}
	l.client = NewEndpointClient(config.NodeName, config.Lease, l.leaseHeld)
	return l
}

// leaseHeld reports whether this instance may act in an epoch at this moment. It is called again right before each order is
// sent, because the process may have been suspended since the step that decided on the order.
func (l *Leader) leaseHeld(epoch uint64) bool {
	if l.inbox.hasSteppedDown() {
		return false
	}
	status := l.dependencies.Replica.Status()
	return status.IsLeader && status.View.Epoch == epoch && time.Now().Add(leaseSafetyMargin).Before(status.LeaseExpiry)
}

// StepDown permanently stops all orders, because the process is about to hand over the roles.
func (l *Leader) StepDown() { l.inbox.stepDown() }

// HandleReports adds the reports of an instance's routers. It does not block.
func (l *Leader) HandleReports(batch *protocol.ReportBatch) { l.inbox.addReports(batch) }

// Run acts in the roles whenever this instance may, until the context ends. It returns when all calls to endpoints and all
// proposals have ended.
func (l *Leader) Run(ctx context.Context) {
	defer l.calls.Wait()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		changed := l.dependencies.Replica.Changed() // taken before the status is read, so that no change is missed
		now := time.Now()
		l.observeStatus(now)
		if l.current.MayAct && !now.Before(l.schedule.nextStep) {
			l.step(ctx, now)
		}
		if l.current.Leads && !l.current.MayAct {
			l.gatherBeforeActing(now)
		}
		timer.Reset(l.timeToNextStep(now))
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-l.inbox.wake:
		case <-timer.C:
		}
	}
}

// timeToNextStep returns how long to wait if nothing arrives.
func (l *Leader) timeToNextStep(now time.Time) time.Duration {
	if !l.current.Leads {
		return time.Hour // until the replica's status changes
	}
	if !l.current.MayAct {
		return min(statusCheckInterval, max(0, l.current.ActsFrom.Sub(now)))
	}
	wait := statusCheckInterval
	if l.placement.inspections.hasNext() {
		wait = 0
	}
	if due := l.schedule.placerWakeAt; !due.IsZero() {
		wait = min(wait, due.Sub(now))
	}
	return max(wait, l.schedule.nextStep.Sub(now), 0)
}

// observeStatus determines from the replica's status what this instance may do, and records when it starts and stops
// acting.
func (l *Leader) observeStatus(now time.Time) {
	status := l.dependencies.Replica.Status()
	l.recovery.observe(now, status)
	l.assigner.Observe(now, l.assignerInput(status))
	previous := l.current
	l.current = l.leadership.Step(now, status)
	if l.inbox.hasSteppedDown() {
		l.current = LeadershipOutput{}
	}
	if !l.current.Leads {
		l.inbox.discardReports()
	}
	if l.current.Leads && (!previous.Leads || previous.Epoch != l.current.Epoch) {
		l.preparePlacement()
	}
	switch {
	case l.current.MayAct && !previous.MayAct:
		l.schedule.reset(now)
		l.dependencies.Events.LeadershipBegan(l.current.Epoch, now.Sub(l.current.ActsFrom))
	case previous.MayAct && !l.current.MayAct:
		l.endedEpoch = previous.Epoch
		l.dependencies.Events.LeadershipEnded(previous.Epoch)
	}
}

// preparePlacement keeps the placer with its state if no other instance can have acted in the meantime. Otherwise it
// replaces the placer with a new one.
func (l *Leader) preparePlacement() {
	if l.placement != nil && l.current.Epoch-l.endedEpoch <= 1 {
		return
	}
	l.placement = newPlacement(l.dependencies.NewPlacer(l.current.IdleFor))
	l.configuration = nil
	l.inbox.nextGeneration()
}

// step steps the placer and the assigner and starts to carry out their decisions.
func (l *Leader) step(ctx context.Context, now time.Time) {
	l.gather(now, l.inbox.take())
	if !now.Before(l.schedule.nextPlacement) {
		l.stepPlacer(ctx, now)
		l.schedule.placerWakeAt = latest(l.schedule.placerWakeAt, l.schedule.nextPlacement)
	}
	l.startInspections(ctx)
	l.assignShares(ctx, now)
	l.schedule.recordStep(now)
}

// gatherBeforeActing gathers what arrives while this instance leads but may not act yet.
func (l *Leader) gatherBeforeActing(now time.Time) {
	if now.Before(l.schedule.nextStep) {
		return
	}
	l.schedule.nextStep = now.Add(minStepInterval)
	l.gather(now, l.inbox.take())
}

// gather passes everything that has arrived, and a new configuration, to the placement.
func (l *Leader) gather(now time.Time, arrived arrivals) {
	if newest := l.dependencies.Configurations.Current(); newest != nil && newest != l.configuration {
		l.configuration = newest
		l.placement.configure(newest)
	}
	var reports []protocol.Report
	for _, batch := range arrived.reports {
		reports = append(reports, batch.Reports...)
	}
	l.placement.gather(now, arrived, reports)
}

// stepPlacer steps the placer and sends its orders.
func (l *Leader) stepPlacer(ctx context.Context, now time.Time) {
	view, err := l.view(ctx)
	if err != nil {
		return // the host is stopping or overloaded; the next step retries
	}
	startedAt := time.Now() // taken after the wait for the view, which is not part of the placer's step
	out := l.placement.step(now, view.Endpoints, l.recovery.recovering(now))
	l.sendOrders(ctx, out.Orders)
	if table, changed := l.placement.loads.table(now, l.current.Epoch); changed {
		l.dependencies.Host.PublishLoading(table)
	}
	l.schedule.recordPlacerStep(startedAt, time.Now(), out.WakeAt)
}

func (l *Leader) view(ctx context.Context) (host.View, error) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	return l.dependencies.Host.View(ctx)
}
