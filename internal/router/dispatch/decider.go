package dispatch

import (
	"math/rand/v2"
	"time"

	"raventrestle/asfq"
)

// Decider makes the decisions of one router. It is not safe for concurrent use: package dispatcher owns it.
//
// Invariants, which the simulation in simulation_test.go checks:
//   - Nothing is sent to an endpoint that is draining or has departed.
//   - A request that is not retryable is not sent again once it may have executed.
//   - A request may have executed on at most MaxEndpoints endpoints.
//   - The retry budget and the quotas hold in every window.
//   - Every request ends exactly once.
//   - Among the eligible first requests of the queues, the one with the lowest start tag plus penalty is sent first.
type Decider struct {
	config    Config
	seed      uint64
	random    *rand.Rand
	startTime time.Time
	started   bool
	now       time.Duration // since startTime; never decreases
	outputs   []Output
	wakeAt    time.Duration // when a step is needed without an input, apart from timers; 0: never

	routerCount      int
	services         map[string]*service
	endpoints        map[string]*endpoint
	tenants          map[string]*tenant
	requests         map[RequestID]*request
	schedule         asfq.Scheduler[*endpoint]
	timers           timers
	unassignedGroups []*modelGroup // groups with unassigned requests
	demand           demand

	creditChecks        []*tenant // tenants whose need for credit is checked in this step
	lastCreditRequestID uint64

	predictionErrors PredictionErrors
	suspects         []*endpoint // endpoints that may have to be reported: failing, or without heartbeats
	tombstones       tombstones
	counters         Counters
	outcomes         outcomeLog
	departing        []*endpoint   // buffer of removeUnlisted
	lastSweepAt      time.Duration // when expirePrefixes last ran
	shutdown         shutdown
}

// New returns the decider of one router.
func New(config Config) *Decider {
	config = config.withDefaults()
	d := &Decider{
		config:      config,
		seed:        config.Seed,
		random:      rand.New(rand.NewPCG(config.Seed, hashSeed)),
		routerCount: config.RouterCount,
		services:    map[string]*service{},
		endpoints:   map[string]*endpoint{},
		tenants:     map[string]*tenant{},
		requests:    map[RequestID]*request{},
	}
	d.schedule.Slots = config.Slots
	d.schedule.MonitorPeriod = config.MonitorPeriod
	d.schedule.Tolerance = monitorTolerance
	return d
}

// Step processes the inputs that arrived until now and returns the outputs that the caller must perform, in order.
// The returned slice is reused by the next Step.
func (d *Decider) Step(now time.Time, inputs []Input) []Output {
	if !d.started {
		d.started = true
		d.startTime = now.Add(-time.Second)
	}
	d.now = max(d.now, now.Sub(d.startTime))
	d.outputs = d.outputs[:0]
	d.wakeAt = 0
	for _, input := range inputs {
		d.handle(input)
	}
	d.schedule.Tick(d.now)
	d.expirePrefixes()
	d.runTimers()
	d.emitCreditRequests()
	d.dispatch()
	d.flushQueuesAtShutdown()
	d.emitReport()
	d.emitOutcomes()
	return d.outputs
}

// NextWake returns when Step must be called if no input arrives before. The zero time means that only an input can
// change anything.
func (d *Decider) NextWake() time.Time {
	at := d.wakeAt
	if next, ok := d.timers.next(); ok && (at == 0 || next < at) {
		at = next
	}
	if at == 0 {
		return time.Time{}
	}
	return d.startTime.Add(at)
}

// wakeBy requests a Step at the given time at the latest.
func (d *Decider) wakeBy(at time.Duration) {
	at = max(at, d.now+time.Millisecond)
	if d.wakeAt == 0 || at < d.wakeAt {
		d.wakeAt = at
	}
}

// handle passes an input to its handler.
func (d *Decider) handle(input Input) {
	switch input := input.(type) {
	case RequestArrived:
		d.onArrival(&input.Request)
	case RequestCanceled:
		d.cancel(input.ID)
	case FirstByteReceived:
		d.onFirstByte(input)
	case StreamProgress:
		d.onProgress(input)
	case StreamStalled:
		d.onStall(input)
	case AttemptFinished:
		d.onAttemptFinished(input)
	case ViewChanged:
		d.applyView(input)
	case CreditGranted:
		d.onCreditGranted(input.Grant)
	case ShutdownStarted:
		d.startShutdown(input)
	}
}

// runTimers handles the requests whose timer is due.
func (d *Decider) runTimers() {
	for {
		r, ok := d.timers.popDue(d.now)
		if !ok {
			return
		}
		switch r.stage {
		case stageQueued:
			d.onQueueDeadline(r)
		case stageInFlight:
			d.checkResponse(r)
		case stageDone: // its timers are stale and never fire
		}
	}
}
