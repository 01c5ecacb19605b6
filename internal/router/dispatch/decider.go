package dispatch

import (
	"math/rand/v2"
	"time"

	"raventrestle/asfq"
)

// Decider decides for one router. It is not safe for concurrent use.
//
// Invariants, checked after each step by the world in world_test.go: no Send to an endpoint that is draining
// or gone; a request that is not repeatable is never sent again once it may have run; it may have run on
// MaxEndpoints endpoints at most; the retry budget and the quotas hold in every window; every request has
// one end; the eligible head with the lowest start tag plus delta leaves first.
type Decider struct {
	config    Config
	seed      uint64
	random    *rand.Rand
	startTime time.Time
	started   bool
	now       time.Duration // since base; never falls
	outputs   []Output
	wakeAt    time.Duration // when a decision may change, 0: none

	routerCount      int
	services         map[string]*service
	endpoints        map[string]*endpoint
	tenants          map[string]*tenant
	requests         map[RequestID]*request
	schedule         asfq.Scheduler[*endpoint]
	timers           timers
	unassignedGroups []*modelGroup // with requests that have no endpoint
	demand           demand
	predictionErrors PredictionErrors
	suspects         []*endpoint // silent or failing, to be reported
	tombstones       tombstones
	counters         Counters
	departing        []*endpoint // scratch
	lastSweepAt      time.Duration
	shutdown         shutdown
}

// stage is where a request stands.
type stage uint8

const (
	stageQueued   stage = iota // held in the flow of an endpoint, or homeless
	stageInFlight              // out
	stageDone
)

// request is a client's request with its history.
type request struct {
	Request
	arrived, latencyTarget, deadline time.Duration
	rank                             int // in a flow's order, 0 first
	group                            *modelGroup
	target                           *demandTarget
	prefixHashes                     []uint64 // see chain
	stage                            stage
	canceled                         bool

	endpoint        *endpoint // whose flow holds it, or where it is out; nil: homeless
	chosenAtVersion int       // group.changes when it was chosen
	queueDeadline   time.Duration
	timerAt         time.Duration // when it is looked at next
	pastTarget      bool          // goes as one that will be late, behind all others
	exploratory     bool          // goes against the estimates, which might be wrong

	sentAt           time.Duration
	predictedMS      float64 // ms to the first byte, as predicted
	slownessAtSend   float64
	prefillAtSend    float64    // thousands of tokens ahead of its first byte
	uncontended      bool       // its time tells of reading alone, not of waiting for a place
	verifying        *residency // which it tries: the model is only presumed to be there
	prefillTokens    int        // tokens
	answerStarted    bool       // an endpoint began to answer
	firstByteSeen    bool       // in this call
	probe            bool
	abandoned        bool
	responseTimeouts int // that it has borne

	attempted          []*endpoint
	possibleExecutions int // endpoints on which it may have run
	deferrals          int // how often it was put off at the end of its patience
	rejections         int // arrivals that surely did not run
	deliveries         int
	mayHaveExecuted    bool
	charged            float64
	quotaPreempted     bool // leaves its quota to more urgent ones
	awaitingQuota      bool // held until its tenant's quota allows it
	budgetSlice        int64
	budgetSpent        bool
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
	d.schedule.Period = options.MonitorPeriod
	d.schedule.Tolerance = monitorTolerance
	return d
}

// Step takes what happened until now and returns what is to be done, in order. The returned slice is used
// again by the next Step.
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
	d.dispatch()
	d.flushQueuesAtShutdown()
	d.emitReport()
	return d.outputs
}

// NextWake is when Step is to be called if nothing happens before, zero: at the next input.
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

func (d *Decider) wakeBy(at time.Duration) {
	at = max(at, d.now+time.Millisecond)
	if d.wakeAt == 0 || at < d.wakeAt {
		d.wakeAt = at
	}
}

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
	case ShutdownStarted:
		d.startShutdown(input)
	}
}

// onArrival takes in a new request.
func (d *Decider) onArrival(asked *Request) {
	if d.requests[asked.ID] != nil {
		return
	}
	d.counters.Arrived++
	if d.namesUnknownModel(asked) {
		d.counters.Rejected[NoEndpoint]++
		d.outputs = append(d.outputs, Reject{ID: asked.ID, Reason: NoEndpoint, RetryAfter: unknownModelRetryAfter})
		return
	}
	r := &request{Request: *asked}
	r.arrived = d.now
	if !asked.ArrivedAt.IsZero() {
		r.arrived = min(asked.ArrivedAt.Sub(d.startTime), d.now)
	}
	r.latencyTarget = asked.LatencyTarget.Sub(d.startTime)
	r.deadline = asked.Deadline.Sub(d.startTime)
	r.rank = rank(asked)
	r.group = d.ensureService(asked.Service).ensureGroup(asked.Model)
	if !d.finishesBeforeShutdown(r) {
		d.rejectForShutdown(r)
		return
	}
	wait, paid := d.charge(r)
	d.requests[r.ID] = r
	switch {
	case paid:
		d.admit(r)
	case r.quotaPreempted || !d.queueForQuota(r):
		d.reject(r, QuotaExceeded, wait)
	}
}

// admit lets in a request that is paid for.
func (d *Decider) admit(r *request) {
	if !d.finishesBeforeShutdown(r) { // it has waited to be paid
		d.rejectForShutdown(r)
		d.remove(r)
		return
	}
	d.countRequest(r.group.service)
	d.countDemand(r)
	r.queueDeadline = r.initialQueueDeadline()
	d.timers.add(r.queueDeadline, r)
	d.assign(r)
}

// cancel forgets a held request. One that is out goes on until Finished.
func (d *Decider) cancel(id RequestID) {
	r := d.requests[id]
	if r == nil {
		return
	}
	r.canceled = true
	if r.stage == stageQueued {
		d.dequeue(r)
		d.remove(r)
	}
}

// remove drops a request that has ended.
func (d *Decider) remove(r *request) {
	r.stage = stageDone
	if r.awaitingQuota {
		d.removeFromQuotaQueue(r)
	}
	d.refundQuota(r)
	delete(d.requests, r.ID)
}

// reject ends a held request.
func (d *Decider) reject(r *request, reason Reason, after time.Duration) {
	d.dequeue(r)
	if reason == NoEndpoint || reason == TargetUnreachable {
		d.countUnserved(r)
	}
	d.counters.Rejected[reason]++
	if t := d.tenants[r.Tenant]; t != nil && reason == QuotaExceeded && !r.quotaPreempted {
		t.denials.record(r, d.now)
	}
	d.outputs = append(d.outputs, Reject{ID: r.ID, Reason: reason, RetryAfter: after})
	if reason != QuotaExceeded && reason != NoEndpoint {
		r.group.service.fairness.record(r, false)
	}
	d.remove(r)
}

func (d *Decider) onFirstByte(input FirstByteReceived) {
	r := d.requests[input.ID]
	if r == nil || r.stage != stageInFlight || r.endpoint.id != input.Endpoint || r.firstByteSeen {
		return
	}
	e := r.endpoint
	r.firstByteSeen = true
	r.answerStarted = true
	e.removeBacklog(r)
	d.endVerification(r)
	d.confirmResidency(r, e)
	d.recordAdvertisedLoad(e, input.Load)
	d.learnFirstByte(r, e)
	d.recordSuccess(e, r)
	e.capacityChanged()
}

func (d *Decider) onProgress(input StreamProgress) {
	r := d.requests[input.ID]
	if r != nil && r.stage == stageInFlight && r.endpoint.id == input.Endpoint {
		r.endpoint.health.lastContactAt = d.now
	}
}

// runTimers looks at the requests whose time has come.
func (d *Decider) runTimers() {
	for {
		r, ok := d.timers.popDue(d.now)
		if !ok {
			return
		}
		if r.stage == stageQueued {
			d.onQueueDeadline(r)
		} else if r.stage == stageInFlight {
			d.checkResponse(r)
		}
	}
}
