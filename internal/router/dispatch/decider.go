package dispatch

import (
	"math/rand/v2"
	"time"

	"raventrestle/asfq"
)

// Decider decides for one router. It is not safe for concurrent use: package dispatcher owns it.
//
// Invariants, checked after each step by the simulation of simulation_test.go: nothing is sent to an endpoint that drains or has departed;
// a request that is not retryable is never sent again once it may have executed; a request may have executed on at most MaxEndpoints
// endpoints; the retry budget and the quotas hold in every window; every request ends exactly once; among eligible heads of queues
// the one with the lowest start tag plus penalty is sent first.
type Decider struct {
	config    Config
	seed      uint64
	random    *rand.Rand
	startTime time.Time
	started   bool
	now       time.Duration // since startTime; never decreases
	outputs   []Output
	wakeAt    time.Duration // when a decision may change without an input, 0: never

	routerCount      int
	services         map[string]*service
	endpoints        map[string]*endpoint
	tenants          map[string]*tenant
	requests         map[RequestID]*request
	schedule         asfq.Scheduler[*endpoint]
	timers           timers
	unassignedGroups []*modelGroup // those with unassigned requests
	demand           demand

	creditAskers      []*tenant // whose need for credit is looked at in this step
	lastCreditRequest uint64

	predictionErrors PredictionErrors
	suspects         []*endpoint // failing, or without heartbeats: to be reported
	tombstones       tombstones
	counters         Counters
	outcomes         outcomeLog
	departing        []*endpoint // buffer of removeUnlisted
	lastSweepAt      time.Duration
	shutdown         shutdown
}

// New returns the decider of one router.
func New(options Config) *Decider {
	options = options.withDefaults()
	d := &Decider{
		config:      options,
		seed:        options.Seed,
		random:      rand.New(rand.NewPCG(options.Seed, hashSeed)),
		routerCount: options.RouterCount,
		services:    map[string]*service{},
		endpoints:   map[string]*endpoint{},
		tenants:     map[string]*tenant{},
		requests:    map[RequestID]*request{},
	}
	d.schedule.Slots = options.Slots
	d.schedule.MonitorPeriod = options.MonitorPeriod
	d.schedule.Tolerance = monitorTolerance
	return d
}

// Step processes the inputs that happened until now and returns what is to be done, in order. The returned slice is reused by the next
// Step.
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

// NextWake returns when Step must be called if no input arrives before; zero: not before the next input.
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

// wakeBy asks for a Step at the given time at the latest.
func (d *Decider) wakeBy(at time.Duration) {
	at = max(at, d.now+time.Millisecond)
	if d.wakeAt == 0 || at < d.wakeAt {
		d.wakeAt = at
	}
}

// handle dispatches one input to its handler.
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
		d.onCredit(input.Grant)
	case ShutdownStarted:
		d.startShutdown(input)
	}
}

// runTimers handles the requests whose time has come.
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
