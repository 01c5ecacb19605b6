package raventrestle

// The records that policy.go keeps. Nothing is decided here.

import "time"

// dest is one flow: a destination with its hold.
type dest struct {
	id           DestID
	ki           int // index of its kind, the number of kinds if unknown
	kind         Kind
	targets      []*target // by id
	shared       *route    // the route of all targets where they are not apart
	held         []*msg    // in order of arrival
	tags         []float64 // start tags of the flow's turns, one for each held message
	lastF, delta float64   // last finish tag, and the monitor's setback in messages
	out          []*call
	use          float64 // slot-seconds in this period, calls still out included
	usedAt       time.Duration
	callSec      float64       // mean slot-seconds of a call
	shut         int           // refusals in a row with no word of the limit; with most of it left they count twice
	left         float64       // usual rate of the target that left last
	came         float64       // messages left by the host's last life
	heir         time.Duration // they tell its usual rate until then
	next         *msg          // its head in this batch, and where that would go
	on           *target
	active       bool // in Policy.active
	sick, stuck  bool // in this batch: see sick; nothing is eligible
}

// route is what has a limit and waits of its own: a target where routes are apart,
// else the whole destination.
type route struct {
	targets      []*target
	size         float64 // calls a second from all forwarders, 0 if unknown
	told         bool    // by reports, which come before the list
	knee         float64 // just under the pace that was last refused
	rate, tokens float64 // this forwarder's pace by AIMD, 0 while no limit is known
	brisk        float64 // calls a second lately sent
	filledAt     time.Duration
	briskAt      time.Duration
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
