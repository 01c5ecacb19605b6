// Package raventrestle decides, for one forwarder of a delivery service, when each
// held message leaves, over which target, and how it is finally answered.
//
// This file is the interface: settings, events and actions. It decides nothing.
// The decisions are all in the policy files, over the queue of package asfq. A host makes one [Policy] per forwarder with
// [New], hands it batches of events through [Policy.Step], and carries out the
// returned actions in the order given.
package raventrestle

import "time"

// Identifiers as the host knows them. They carry no meaning for the decisions.
type (
	MessageID string // unique over the life of a Policy
	TargetID  string // one endpoint of a destination
	DestID    int64  // a destination: a firm's system with one or more targets
)

// Effect says what a repeat of a message does.
type Effect uint8

const (
	Safe   Effect = iota // repeats are harmless
	Keyed                // repeats are dropped for a while (Class.Window, Class.Group)
	Unsafe               // must never take effect twice
)

// Group says which targets of a destination drop repeats of a keyed message.
type Group uint8

const (
	GroupAll    Group = iota // every target of the destination
	GroupZone                // the targets in the zone of the earlier attempt
	GroupTarget              // only the target of the earlier attempt
)

// Class describes one class of message.
type Class struct {
	Name     string
	Aim      time.Duration // delivered within this time it earns its full worth
	Stretch  float64       // the aim grows by this multiple of the message's estimate
	Deadline time.Duration // delivery after this earns nothing
	Credit   float64       // worth of a message
	Late     float64       // share of the worth that is left at the deadline, see Settings.Loss
	Effect   Effect
	Group    Group
	Window   time.Duration // how long repeats of a keyed message are dropped
}

// Kind describes one kind of destination.
type Kind struct {
	Apart     bool // each target is a route with its own limit, waits and outages
	BundleMax int  // messages that may share a call
}

// Zone describes one location of targets.
type Zone struct {
	Name string
	Fee  float64 // points due for each message that a route apart in the zone takes on
}

// Loss says how a message loses worth after its aim.
type Loss uint8

const (
	LossEven    Loss = iota // evenly, down to Class.Late at the deadline
	LossHalving             // by half with each further aim, not under Class.Late
)

// Tenant is one of the customers whose messages the forwarders carry.
type Tenant struct {
	Name  string
	Share float64 // its part of the service
	Quota float64 // messages a second within its share, over all forwarders
}

// Mix says how the parts of the result weigh.
type Mix struct{ Whole, WorstWindow, WorstClass, WorstTenant float64 }

// Charges are the points due for each unit, by first try.
type Charges struct {
	CrossZone float64 // a call to another zone
	Handshake float64 // a new connection
	Waste     float64 // destinations' work that delivered nothing, as a share of work offered
	LateFail  float64 // worth that ended unserved after its aim
	Refused   float64 // a call refused above a limit
	Probe     float64
	Note      float64 // 256 bytes of notes, for each receiver
}

// Sizes says what Entry.Size holds.
type Sizes uint8

const (
	SizesNone  Sizes = iota // nothing
	SizesExact              // calls a second that the destination or route takes from all forwarders
	SizesRough              // the same, up to half too high or too low
)

// Settings are what a forwarder is told at its start. Durations of zero in the
// rules switch a rule off.
type Settings struct {
	Forwarders int // forwarders that share the destinations, this one included
	Position   int // this forwarder's index among them
	Zone       int // index into Zones, -1 if unknown
	Classes    []Class
	Kinds      []Kind
	Zones      []Zone
	Sizes      Sizes
	Tick       time.Duration // least time between two batches
	Lag        time.Duration // a send may take so much longer to arrive than another, 0 if not at all

	Tenants   []Tenant
	OverShare float64 // worth of a message beyond its tenant's share, as a part of its class's
	Loss      Loss
	Mix       Mix
	Charges   Charges

	CallSlots     int           // calls out at once
	MostHeld      int           // messages held, sent or not
	SendCap       int           // attempts for one message; 0 is no limit
	IdleClose     time.Duration // idle connections close after this
	ConnectWithin time.Duration // a connection takes at most this long
	Streams       int           // calls that a connection carries at once; 0 is unknown
	Probes        bool          // Probe is permitted
	Notes         bool          // Tell is permitted
	Cancels       bool          // Cancel is permitted
	SecondCopies  bool          // two attempts of a message may be out together
	MarksRetry    bool          // clients mark messages that they submit again
	RetryAfter    bool          // clients are told when to come back
	MaxRetryAfter time.Duration // and heed no more than this

	AskForList bool          // the list comes only when asked for
	AskWithin  time.Duration // without asking for so long, it counts as told
	DrainGrace time.Duration // sends to a target that drains or is gone must have stopped by then
	Slack      time.Duration // a final answer this long after a message's time is up still counts

	TipMultiple   float64       // a cold destination falls over at this multiple of its capacity
	TipAfter      time.Duration // kept up for so long
	ColdFor       time.Duration // time from the end of an outage to full capacity
	StartCapacity float64       // share of its capacity just after an outage
}

// Event is one of Listing, Arrival, Restored, Closing, Outcome, Withdrawn, Probed, Note and Wake.
type Event interface{ apply(*Policy) }

// ListKind says how a Listing relates to what came before.
type ListKind uint8

const (
	ListChanges ListKind = iota // changed entries only
	ListWhole                   // the whole list; what is missing is gone
	ListStored                  // the whole list as last seen before a restart
	ListFailed                  // a subscription or resolve call failed; no entries
)

// Readiness is the state of a target in the list. It says nothing of health.
type Readiness uint8

const (
	Ready Readiness = iota
	Draining
	Gone
)

// Entry is one line of the list of targets.
type Entry struct {
	Target TargetID
	Dest   DestID
	State  Readiness
	Kind   int // index into Settings.Kinds, -1 if unknown
	Zone   int // index into Settings.Zones, -1 if unknown
	Size   float64
	Joined time.Duration // when it joined the list, on the clock of Step; 0 is unknown or long ago
}

// Listing tells of targets.
type Listing struct {
	How     ListKind
	Entries []Entry
}

// Arrival is a new message. It is owed exactly one final answer.
type Arrival struct {
	ID       MessageID
	Class    int // index into Settings.Classes
	Tenant   int // index into Settings.Tenants, -1 if unknown
	Dest     DestID
	Budget   time.Duration // how long it may still be delivered
	Estimate time.Duration // expected work, 0 if unknown
	Again    bool          // submitted again, where clients mark it
	Orphan   bool          // comes from a forwarder that died
}

// Restored is a message taken on in an earlier life of the host, which still owes its answer.
// It comes before any attempt of this life.
type Restored struct {
	Arrival               // Budget is what is left of it, negative once its time is up
	Sends   int           // attempts so far
	MayRun  bool          // one of them may have run
	RanOn   TargetID      // and went there first
	RanZone int           // index into Settings.Zones, -1 if unknown
	RanAt   time.Duration // on the clock of Step
	Failed  bool          // it was over before that life ended, which was not its success
	Moved   bool          // from a process that goes, whose Learned came with it
}

// Closing says that the host ends its life at that time: attempts out then may have run.
type Closing struct{ At time.Duration }

// Status is how an attempt ended.
type Status uint8

const (
	OK            Status = iota
	Error                // answered with an error; it may have run
	Full                 // turned away; it never ran
	TimedOut             // no answer in time; it may have run or still run
	ConnectFailed        // no connection; it never ran
	Reset                // the connection broke; it may have run
	Cancelled            // called off; it may have run
	Moot                 // not sent; it never ran
)

// Report is what a destination tells of its limit. Limit is 0 where there is none.
type Report struct {
	Left  float64 // share of the limit left
	Limit float64 // calls a second from all forwarders
}

// Outcome is the result of one attempt. Each Send gets exactly one.
type Outcome struct {
	ID     MessageID
	Target TargetID
	Try    int // index of the attempt, from 0
	Status Status
	Took   time.Duration
	Closed bool          // the message needs no further answer
	Wait   time.Duration // told with it: how long to send nothing there
	Report Report
}

// Withdrawn says that the client no longer waits for the message.
type Withdrawn struct{ ID MessageID }

// Probed is the result of a Probe.
type Probed struct {
	Target TargetID
	Status Status
	Took   time.Duration
	Report Report
}

// Note is what another forwarder told.
type Note struct {
	From int // its Settings.Position
	Data []byte
}

// Wake says that the time of a WakeAt has come.
type Wake struct{}

func (e Listing) apply(p *Policy)   { p.listing(e) }
func (e Arrival) apply(p *Policy)   { p.arrival(e) }
func (e Restored) apply(p *Policy)  { p.restored(e) }
func (e Closing) apply(p *Policy)   { p.closing = e.At }
func (e Outcome) apply(p *Policy)   { p.outcome(e) }
func (e Withdrawn) apply(p *Policy) { p.withdrawn(e) }
func (Probed) apply(*Policy)        {}
func (Note) apply(*Policy)          {}
func (Wake) apply(*Policy)          {}

// Action is one of Send, Refuse, Fail, Cancel, CloseIdle, Subscribe, Probe, Tell, WakeAt and Log.
type Action interface{ action() }

// Send makes one attempt. Sends of one batch to the same target share a call as far
// as Kind.BundleMax allows.
type Send struct {
	ID      MessageID
	Target  TargetID
	Timeout time.Duration
	Within  time.Duration // a repeat is on its way by then or not at all, 0 where nothing binds it
}

// Refuse ends a message undelivered: trying again is harmless.
type Refuse struct {
	ID    MessageID
	After time.Duration // when to come back, 0 for no advice
}

// Fail ends a message as failed, with no promise whether it took effect.
type Fail struct{ ID MessageID }

// Cancel calls off an attempt; its Outcome still comes. Only where Settings.Cancels.
type Cancel struct {
	ID  MessageID
	Try int
}

// Probe sends a check to a target. Only where Settings.Probes.
type Probe struct{ Target TargetID }

// Tell sends a note of at most 256 bytes to one other forwarder, or to all. Only where Settings.Notes.
type Tell struct {
	To   int // its Settings.Position, -1 for all
	Data []byte
}

// CloseIdle shuts the idle connections to a target. Calls that are out are not touched. A
// host that keeps no connections may pass over it.
type CloseIdle struct{ Target TargetID }

// Subscribe asks for the list and its changes.
type Subscribe struct{}

// WakeAt asks for a Wake at or after that time.
type WakeAt struct{ At time.Duration }

// Log is a line for the staff.
type Log struct{ Text string }

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (Probe) action()     {}
func (Tell) action()      {}
func (CloseIdle) action() {}
func (Subscribe) action() {}
func (WakeAt) action()    {}
func (Log) action()       {}
