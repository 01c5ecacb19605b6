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
	options Config
	seed    uint64
	draw    *rand.Rand
	base    time.Time
	started bool
	now     time.Duration // since base; never falls
	out     []Output
	wake    time.Duration // when a decision may change, 0: none

	routers   int
	services  map[string]*service
	endpoints map[string]*endpoint
	tenants   map[string]*tenant
	requests  map[RequestID]*request
	schedule  asfq.Scheduler[*endpoint]
	timers    timers
	homeless  []*group // with requests that have no endpoint
	demand    demand
	errors    PredictionErrors
	suspects  []*endpoint // silent or failing, to be reported
	graves    graves
	counters  Counters
	gone      []*endpoint // scratch
	sweptAt   time.Duration
	closing   closing
}

// stage is where a request stands.
type stage uint8

const (
	waiting stage = iota // held in the flow of an endpoint, or homeless
	sent                 // out
	ended
)

// request is a client's request with its history.
type request struct {
	Request
	arrived, objective, deadline time.Duration
	rank                         int // in a flow's order, 0 first
	group                        *group
	target                       *target
	links                        []uint64 // see chain
	stage                        stage
	withdrawn                    bool

	at        *endpoint // whose flow holds it, or where it is out; nil: homeless
	chosenAt  int       // group.changes when it was chosen
	holdUntil time.Duration
	timer     time.Duration // when it is looked at next
	late      bool          // goes as one that will be late, behind all others
	explores  bool          // goes against the estimates, which might be wrong

	sentAt     time.Duration
	expected   float64 // ms to the first byte, as predicted
	slowAtSend float64
	readAtSend float64  // thousands of tokens ahead of its first byte
	plain      bool     // its time tells of reading alone, not of waiting for a place
	proves     *holding // which it tries: the model is only presumed to be there
	toRead     int      // tokens
	answering  bool     // an endpoint began to answer
	heard      bool     // in this call
	trial      bool
	abandoned  bool
	silences   int // that it has borne

	tried      []*endpoint
	runs       int // endpoints on which it may have run
	settled    int // how often it was put off at the end of its patience
	rejections int // arrivals that surely did not run
	arrivals   int
	mayHaveRun bool
	charged    float64
	yields     bool // leaves its quota to more urgent ones
	unpaid     bool // held until its tenant's quota allows it
	spentAt    int64
	spentNow   bool
}

// New returns the decider of one router.
func New(options Config) *Decider {
	options = options.withDefaults()
	d := &Decider{
		options:   options,
		seed:      options.Seed,
		draw:      rand.New(rand.NewPCG(options.Seed, hashSeed)),
		routers:   options.RouterCount,
		services:  map[string]*service{},
		endpoints: map[string]*endpoint{},
		tenants:   map[string]*tenant{},
		requests:  map[RequestID]*request{},
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
		d.base = now.Add(-time.Second)
	}
	d.now = max(d.now, now.Sub(d.base))
	d.out = d.out[:0]
	d.wake = 0
	for _, input := range inputs {
		d.take(input)
	}
	d.schedule.Tick(d.now)
	d.sweep()
	d.fire()
	d.dispatch()
	d.close()
	d.report()
	return d.out
}

// NextWake is when Step is to be called if nothing happens before, zero: at the next input.
func (d *Decider) NextWake() time.Time {
	at := d.wake
	if next, ok := d.timers.next(); ok && (at == 0 || next < at) {
		at = next
	}
	if at == 0 {
		return time.Time{}
	}
	return d.base.Add(at)
}

func (d *Decider) wakeBy(at time.Duration) {
	at = max(at, d.now+time.Millisecond)
	if d.wake == 0 || at < d.wake {
		d.wake = at
	}
}

func (d *Decider) take(input Input) {
	switch input := input.(type) {
	case RequestArrived:
		d.arrived(&input.Request)
	case RequestCanceled:
		d.withdraw(input.ID)
	case FirstByteReceived:
		d.firstByte(input)
	case StreamProgress:
		d.progress(input)
	case StreamStalled:
		d.stalled(input)
	case AttemptFinished:
		d.finished(input)
	case ViewChanged:
		d.view(input)
	case ShutdownStarted:
		d.beginClosing(input)
	}
}

// arrived takes in a new request.
func (d *Decider) arrived(asked *Request) {
	if d.requests[asked.ID] != nil {
		return
	}
	d.counters.Arrived++
	if d.unknown(asked) {
		d.counters.Rejected[NoEndpoint]++
		d.out = append(d.out, Reject{ID: asked.ID, Reason: NoEndpoint, RetryAfter: unknownAfter})
		return
	}
	r := &request{Request: *asked}
	r.arrived = d.now
	if !asked.ArrivedAt.IsZero() {
		r.arrived = min(asked.ArrivedAt.Sub(d.base), d.now)
	}
	r.objective = asked.LatencyTarget.Sub(d.base)
	r.deadline = asked.Deadline.Sub(d.base)
	r.rank = rank(asked)
	r.group = d.serviceNamed(asked.Service).groupNamed(asked.Model)
	if !d.endsInTime(r) {
		d.turnAway(r)
		return
	}
	wait, paid := d.charge(r)
	d.requests[r.ID] = r
	switch {
	case paid:
		d.admit(r)
	case r.yields || !d.holdUnpaid(r):
		d.refuse(r, QuotaExceeded, wait)
	}
}

// admit lets in a request that is paid for.
func (d *Decider) admit(r *request) {
	if !d.endsInTime(r) { // it has waited to be paid
		d.turnAway(r)
		d.forget(r)
		return
	}
	d.countRequest(r.group.service)
	d.countDemand(r)
	r.holdUntil = r.patience()
	d.timers.add(r.holdUntil, r)
	d.place(r)
}

// withdraw forgets a held request. One that is out goes on until Finished.
func (d *Decider) withdraw(id RequestID) {
	r := d.requests[id]
	if r == nil {
		return
	}
	r.withdrawn = true
	if r.stage == waiting {
		d.lift(r)
		d.forget(r)
	}
}

// forget drops a request that has ended.
func (d *Decider) forget(r *request) {
	r.stage = ended
	if r.unpaid {
		d.dropUnpaid(r)
	}
	d.refund(r)
	delete(d.requests, r.ID)
}

// refuse ends a held request.
func (d *Decider) refuse(r *request, reason Reason, after time.Duration) {
	d.lift(r)
	if reason == NoEndpoint || reason == TargetUnreachable {
		d.countUnserved(r)
	}
	d.counters.Rejected[reason]++
	if t := d.tenants[r.Tenant]; t != nil && reason == QuotaExceeded && !r.yields {
		t.over.note(r, d.now)
	}
	d.out = append(d.out, Reject{ID: r.ID, Reason: reason, RetryAfter: after})
	if reason != QuotaExceeded && reason != NoEndpoint {
		r.group.service.fairness.count(r, false)
	}
	d.forget(r)
}

func (d *Decider) firstByte(input FirstByteReceived) {
	r := d.requests[input.ID]
	if r == nil || r.stage != sent || r.at.id != input.Endpoint || r.heard {
		return
	}
	e := r.at
	r.heard = true
	r.answering = true
	e.unqueue(r)
	d.tried(r)
	d.prove(r, e)
	d.heard(e, input.Load)
	d.answered(r, e)
	d.good(e, r)
	e.changed()
}

func (d *Decider) progress(input StreamProgress) {
	r := d.requests[input.ID]
	if r != nil && r.stage == sent && r.at.id == input.Endpoint {
		r.at.evidence.heardAt = d.now
	}
}

// fire looks at the requests whose time has come.
func (d *Decider) fire() {
	for {
		r, ok := d.timers.due(d.now)
		if !ok {
			return
		}
		if r.stage == waiting {
			d.settle(r)
		} else if r.stage == sent {
			d.watch(r)
		}
	}
}
