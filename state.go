package raventrestle

// The records that the policy files keep, and their arithmetic. Nothing is decided here.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle/asfq"
)

// Policy decides for one forwarder. It is not safe for concurrent use.
type Policy struct {
	set             Settings
	rng             *rand.Rand
	out             []Action
	dests           map[DestID]*dest
	flows           asfq.Scheduler[*dest]
	targets         map[TargetID]*target
	msgs            map[MessageID]*msg
	tenants         []odds  // messages of each tenant, in odds.all, with weights that fade
	stakes          float64 // the most that a held message has at stake, see stake
	times           times   // of all answers
	now             time.Duration
	longest, memory time.Duration    // deadline of the classes; how long failures count
	idleLife        time.Duration    // idle connections seem to live so long
	borne           [2]time.Duration // longest idle before an answered call, this period and last
	askAt, askGap   time.Duration    // when to ask for the list again, and the backoff
	stood           bool             // this batch came late
	told            bool             // answers bring reports
	connLimited     []bool           // by kind, the last for unknown ones: no room for idle connections
	closing         time.Duration    // when the host ends its life, 0 while it does not
	crowded         time.Duration    // targets may have few connections left, until then
	wakeAt, pending time.Duration    // when a decision may change, and the WakeAt still owed
}

// dest is one flow: a destination with its hold, and a turn for each message held.
type dest struct {
	asfq.Flow
	id      DestID
	ki      int // index of its kind, the number of kinds if unknown
	kind    DestinationKind
	targets []*target // by id
	shared  *route    // the route of all targets where they are not apart
	held    []*msg    // in order of arrival
	out     []*call
	shut    int           // refusals in a row with no word of the limit; with most of it left they count twice
	left    float64       // usual rate of the target that left last
	came    float64       // messages left by the host's last life
	heir    time.Duration // they tell its usual rate until then
	next    *msg          // its head in this batch, and where that would go
	on      *target
}

// route is what has a limit and waits of its own: a target where routes are apart,
// else the whole destination.
type route struct {
	targets      []*target
	size         float64 // calls a second from all forwarders, 0 if unknown
	told         bool    // by reports, which come before the list
	threshold    float64 // just under the pace that was last refused
	rate, tokens float64 // this forwarder's pace by AIMD, 0 while no limit is known
	sentRate     float64 // calls a second lately sent
	filledAt     time.Duration
	sentRateAt   time.Duration
	cutAt        time.Duration
	until        time.Duration // told to wait
	shut         bool          // its targets were held off together
	downAt       time.Duration // first failure of the present outage, 0 if none
	lastOK       time.Duration
	nextAt       time.Duration // next call to a target in trial or slow start
	fails        int           // failures in a row
	times        times
}

// times are the mean and deviation of answers' times over n answers.
type times struct {
	mean, dev time.Duration
	n         int
}

type health uint8

const (
	open     health = iota // usual sending
	halfOpen               // one trial at a time
	ramp                   // slow start after an outage
)

type target struct {
	id                    TargetID
	d                     *dest
	r                     *route
	zone                  int
	ready                 bool
	health                health
	fails, trials         int           // failures in a row, trials out
	mean                  time.Duration // of the answers' times
	taste                 float64       // this forwarder's bias, so that not all prefer the same target
	odds                  []odds        // of failure, by class, the last for all of them
	usual                 float64       // calls a second before its outage
	since, rampAt, lastOK time.Duration
	lastSent, okSent      time.Duration // okSent: of the calls that were answered
	inFlight              int           // calls out
	gap                   time.Duration // usual time between sends, 0 before the second
	idleAt                time.Duration // when its connections were last used, 0 if none is idle
	stale                 time.Duration // idle time before a call that was lost, until told apart
}

// odds count failures among calls, with weights that fade.
type odds struct {
	bad, all float64
	at       time.Duration
}

type msg struct {
	id       MessageID
	class    *Class
	ci       int // index of the class
	d        *dest
	call     *call
	aim, end time.Duration
	worth    float64 // of its class, less beyond its tenant's share
	stake    float64 // see weigh
	waste    float64 // what is lost if it is given up now, see weigh
	sends    int
	mayRun   bool // an earlier attempt may have run
	ranAt    time.Duration
	ranOn    *target
	over     bool // answered or withdrawn, with an attempt still out
}

// call is one call to a target; mates that ride on it share its slot and fate.
type call struct {
	t           *target
	at          time.Duration
	n           int // messages without an outcome
	first       *msg
	off         bool          // called off
	trial, told bool          // whether it was a trial; its fate has been learned
	idle        time.Duration // how long its connection may have been idle, 0 for a new one
}

func (p *Policy) dest(id DestID) *dest {
	d := p.dests[id]
	if d == nil {
		d = &dest{id: id, ki: len(p.set.Kinds), kind: DestinationKind{MaxBatch: 1}}
		d.shared = &route{filledAt: p.now}
		p.dests[id] = d
	}
	return d
}

// target makes the record of a target that joins the list.
func (p *Policy) target(e Entry) *target {
	d := p.dest(e.Dest)
	if e.Kind >= 0 && e.Kind < len(p.set.Kinds) {
		d.ki, d.kind = e.Kind, p.set.Kinds[e.Kind]
	}
	t := &target{
		id: e.Target, d: d, zone: e.Zone, r: d.shared, since: p.now, lastOK: -1 << 60,
		lastSent: -1 << 60, taste: 1 + p.rng.Float64()/4, odds: make([]odds, len(p.set.Classes)+1),
	}
	if d.kind.RoutePerTarget {
		t.r = &route{filledAt: p.now, until: d.shared.until}
	}
	p.targets[e.Target] = t
	t.r.targets = append(t.r.targets, t)
	d.targets = append(d.targets, t)
	slices.SortFunc(d.targets, func(a, b *target) int { return cmp.Compare(a.id, b.id) })
	return t
}

// forget ends a message.
func (p *Policy) forget(m *msg) { delete(p.msgs, m.id) }

// without returns the list less its member x.
func without[T comparable](list []T, x T) []T {
	i := slices.Index(list, x)
	return slices.Delete(list, i, i+1)
}

func (t *times) add(took time.Duration) {
	if t.n++; t.n == 1 {
		t.mean, t.dev = took, took/2
	}
	diff := took - t.mean
	t.mean += diff / 8
	t.dev += (max(diff, -diff) - t.dev) / 4
}

func (x *odds) fade(p *Policy) {
	f := math.Exp(-float64(p.now-x.at) / float64(p.memory))
	x.bad, x.all, x.at = x.bad*f, x.all*f, p.now
}

// share is that of the failures, with a prior share that counts for so many calls.
func (x *odds) share(p *Policy, prior, weight float64) float64 {
	x.fade(p)
	return (x.bad + prior*weight) / (x.all + weight)
}

// risk is the share of failed calls to expect of a class at a target: what was seen of the
// class there counts before the target's other classes.
func (p *Policy) risk(t *target, class int) float64 {
	return t.odds[class].share(p, t.odds[len(p.set.Classes)].share(p, 0, 1), 1)
}

// pace is the calls a second lately sent to the target, as it was before an outage.
func (t *target) pace(p *Policy) float64 {
	if t.health != open {
		return t.usual
	}
	x := &t.odds[len(p.set.Classes)]
	x.fade(p)
	age := max(float64(p.now-t.since)/float64(p.memory), 0.25)
	few := min(float64(p.set.CallSlots)/float64(p.set.Forwarders), 1)
	seen := max(x.all-max(1-age, 0)*(1-few), 0) // of many the one that just called has no rate yet
	return seen / (p.memory.Seconds() * (1 - math.Exp(-age)))
}

func gap(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

func (p *Policy) log(format string, args ...any) {
	p.out = append(p.out, Log{fmt.Sprintf(format, args...)})
}

func (p *Policy) wakeBy(t time.Duration) {
	if t > p.now {
		p.wakeAt = min(p.wakeAt, t)
	}
}
