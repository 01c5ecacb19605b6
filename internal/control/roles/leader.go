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

// viewTimeout bounds the wait for the host's view; without one the placer's step is left out.
const viewTimeout = time.Second

// Placer decides about orders; *placer.Placer is one.
type Placer interface {
	Step(now time.Time, in placer.Input) placer.Output
}

// Host is the instance's soft state that the roles work on; *host.Host is one.
type Host interface {
	// View returns the endpoints, ordered by ID, and the number of routers.
	View(ctx context.Context) (host.View, error)
	// PublishLoading publishes the orders in progress to all instances. It does not block.
	PublishLoading(table protocol.LoadingTable)
}

// Configurations gives what is committed.
type Configurations interface {
	Current() *configuration.Configuration // newest; nil before the first
	Shares() shares.Table                  // of the tenants' limits
}

// EventRecorder records the roles' events in the log, one line each. OrderCompleted and SharesProposed are called by several
// goroutines at a time.
type EventRecorder interface {
	// LeadershipBegan records that this instance begins to act, and how long after it might have.
	LeadershipBegan(epoch uint64, late time.Duration)
	// LeadershipEnded records that this instance has ceased to act.
	LeadershipEnded(epoch uint64)
	// OrderCompleted records an order and its outcome; err says why there was no response.
	OrderCompleted(epoch uint64, order placer.Order, outcome placer.Outcome, err error)
	// SharesProposed records that shares of the limits were given or taken; err says why that may have failed.
	SharesProposed(sequence uint64, err error)
}

// Config is fixed at the start of the process.
type Config struct {
	NodeName string        // of this instance, in orders
	Lease    time.Duration // lease_ms
	// HolderLease is shares.HolderLease of the deployment.
	HolderLease time.Duration
}

// Dependencies are the collaborators of a Leader. All are required.
type Dependencies struct {
	Replica        replica.Interface
	Host           Host
	Configurations Configurations
	NewPlacer      func(idleFor time.Duration) Placer // no leader has sent an order for so long
	Events         EventRecorder
}

// Leader runs the singleton roles while this instance may act in them. Its methods are safe for concurrent use.
type Leader struct {
	config       Config
	dependencies Dependencies
	client       *EndpointClient
	inbox        *inbox
	calls        sync.WaitGroup // to endpoints, each a goroutine

	// Owned by Run.
	leadership    *Leadership
	current       LeadershipOutput // newest
	endedEpoch    uint64           // in which this instance last ceased to act
	recovery      recoveryDetector
	schedule      schedule
	placement     *placement                   // nil before this instance first leads
	assigner      *shares.Assigner             // observes also while this instance does not lead
	configuration *configuration.Configuration // newest, that the placement has
}

// New makes a Leader; Run starts it.
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

// leaseHeld reports whether this instance may act in an epoch at this very moment. It is asked again right before each
// order is sent, because the process may have been suspended since the step that decided on it.
func (l *Leader) leaseHeld(epoch uint64) bool {
	if l.inbox.hasSteppedDown() {
		return false
	}
	status := l.dependencies.Replica.Status()
	return status.IsLeader && status.View.Epoch == epoch && time.Now().Add(leaseSafetyMargin).Before(status.LeaseExpiry)
}

// StepDown ends all orders for good: the process is about to hand the roles over.
func (l *Leader) StepDown() { l.inbox.stepDown() }

// HandleReports takes what an instance's routers reported. It does not block.
func (l *Leader) HandleReports(batch *protocol.ReportBatch) { l.inbox.addReports(batch) }

// Run acts in the roles whenever this instance may, until the context ends. It returns when all calls to endpoints have
// ended.
func (l *Leader) Run(ctx context.Context) {
	defer l.calls.Wait()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		changed := l.dependencies.Replica.Changed() // before the status is read, so that no change is missed
		now := time.Now()
		l.observeStatus(now)
		if l.current.MayAct && !now.Before(l.schedule.nextStep) {
			l.step(ctx, now)
		}
		if l.current.Leads && !l.current.MayAct {
			l.learn(now)
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

// timeToNextStep is how long to wait while nothing arrives.
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

// observeStatus decides from the replica's status what this instance may do, and records when it begins and ceases to
// act.
func (l *Leader) observeStatus(now time.Time) {
	status := l.dependencies.Replica.Status()
	l.recovery.observe(now, status)
	l.assigner.Observe(now, l.assignerInput(status))
	before := l.current
	l.current = l.leadership.Step(now, status)
	if l.inbox.hasSteppedDown() {
		l.current = LeadershipOutput{}
	}
	if !l.current.Leads {
		l.inbox.discardReports()
	}
	if l.current.Leads && (!before.Leads || before.Epoch != l.current.Epoch) {
		l.prepare()
	}
	switch {
	case l.current.MayAct && !before.MayAct:
		l.schedule.begin(now)
		l.dependencies.Events.LeadershipBegan(l.current.Epoch, now.Sub(l.current.ActsFrom))
	case before.MayAct && !l.current.MayAct:
		l.endedEpoch = before.Epoch
		l.dependencies.Events.LeadershipEnded(before.Epoch)
	}
}

// prepare makes ready for the roles. Where no other instance can have acted in between, the placer continues with
// what it knows; else it is replaced by a new one.
func (l *Leader) prepare() {
	if l.placement != nil && l.current.Epoch-l.endedEpoch <= 1 {
		return
	}
	l.placement = newPlacement(l.dependencies.NewPlacer(l.current.IdleFor))
	l.configuration = nil
	l.inbox.nextGeneration()
}

// step has the placer and the assigner decide, and starts to carry out what they decided.
func (l *Leader) step(ctx context.Context, now time.Time) {
	l.gather(now, l.inbox.take())
	if !now.Before(l.schedule.nextPlacement) {
		l.place(ctx, now)
		l.schedule.placerWakeAt = latest(l.schedule.placerWakeAt, l.schedule.nextPlacement)
	}
	l.startInspections(ctx)
	l.assignShares(ctx, now)
	l.schedule.stepped(now)
}

// learn takes in what is reported before this instance may act.
func (l *Leader) learn(now time.Time) {
	if now.Before(l.schedule.nextStep) {
		return
	}
	l.schedule.nextStep = now.Add(minStepInterval)
	l.gather(now, l.inbox.take())
}

// gather takes in what has arrived, and a new configuration.
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

// place has the placer decide and sends its orders.
func (l *Leader) place(ctx context.Context, now time.Time) {
	view, err := l.view(ctx)
	if err != nil {
		return // the host stops or is behind: the next step retries
	}
	began := time.Now() // after the wait for the view, which the placer did not cause
	out := l.placement.step(now, view.Endpoints, l.recovery.recovering(now))
	l.sendOrders(ctx, out.Orders)
	if table, changed := l.placement.loads.table(now, l.current.Epoch); changed {
		l.dependencies.Host.PublishLoading(table)
	}
	l.schedule.placed(began, time.Now(), out.WakeAt)
}

func (l *Leader) view(ctx context.Context) (host.View, error) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	return l.dependencies.Host.View(ctx)
}
