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

// Idempotency says what a repeat of a message does.
type Idempotency uint8

const (
	Idempotent    Idempotency = iota // repeats are harmless
	Keyed                            // repeats are dropped for a while (Class.Window, Class.Group)
	NonIdempotent                    // must never take effect twice
)

// DedupScope says which targets of a destination drop repeats of a keyed message.
type DedupScope uint8

const (
	DedupDestination DedupScope = iota // every target of the destination
	DedupZone                          // the targets in the zone of the earlier attempt
	DedupTarget                        // only the target of the earlier attempt
)

// Class describes one class of message.
type Class struct {
	Name           string
	SoftDeadline   time.Duration // delivered within this time it earns its full worth
	EstimateFactor float64       // the aim grows by this multiple of the message's estimate
	Deadline       time.Duration // delivery after this earns nothing
	Value          float64       // worth of a message
	LateValueShare float64       // share of the worth that is left at the deadline, see Settings.Loss
	Idempotency    Idempotency
	DedupScope     DedupScope
	DedupWindow    time.Duration // how long repeats of a keyed message are dropped
}

// DestinationKind describes one kind of destination.
type DestinationKind struct {
	RoutePerTarget bool // each target is a route with its own limit, waits and outages
	MaxBatch       int  // messages that may share a call
}

// Zone describes one location of targets.
type Zone struct {
	Name string
	Fee  float64 // points due for each message that a route apart in the zone takes on
}

// ValueDecay says how a message loses worth after its aim.
type ValueDecay uint8

const (
	DecayLinear  ValueDecay = iota // evenly, down to Class.Late at the deadline
	DecayHalving                   // by half with each further aim, not under Class.Late
)

// Tenant is one of the customers whose messages the forwarders carry.
type Tenant struct {
	Name  string
	Share float64 // its part of the service
	Quota float64 // messages a second within its share, over all forwarders
}

// ScoreWeights says how the parts of the result weigh.
type ScoreWeights struct{ Overall, WorstWindow, WorstClass, WorstTenant float64 }

// Charges are the points due for each unit, by first try.
type Charges struct {
	CrossZone    float64 // a call to another zone
	Handshake    float64 // a new connection
	WastedWork   float64 // destinations' work that delivered nothing, as a share of work offered
	LateFailure  float64 // worth that ended unserved after its aim
	RejectedCall float64 // a call refused above a limit
	Probe        float64
	PeerMessage  float64 // 256 bytes of notes, for each receiver
}

// ListedLimits says what Entry.Size holds.
type ListedLimits uint8

const (
	LimitsNone        ListedLimits = iota // nothing
	LimitsExact                           // calls a second that the destination or route takes from all forwarders
	LimitsApproximate                     // the same, up to half too high or too low
)

// Settings are what a forwarder is told at its start. Durations of zero in the
// rules switch a rule off.
type Settings struct {
	Forwarders       int // forwarders that share the destinations, this one included
	Position         int // this forwarder's index among them
	Zone             int // index into Zones, -1 if unknown
	Classes          []Class
	Kinds            []DestinationKind
	Zones            []Zone
	ListedLimits     ListedLimits
	MinBatchInterval time.Duration // least time between two batches
	MaxSendJitter    time.Duration // a send may take so much longer to arrive than another, 0 if not at all

	Tenants         []Tenant
	OverShareFactor float64 // worth of a message beyond its tenant's share, as a part of its class's
	ValueDecay      ValueDecay
	ScoreWeights    ScoreWeights
	Charges         Charges

	CallSlots               int           // calls out at once
	MaxMessages             int           // messages held, sent or not
	MaxAttempts             int           // attempts for one message; 0 is no limit
	IdleTimeout             time.Duration // idle connections close after this
	ConnectTimeout          time.Duration // a connection takes at most this long
	StreamsPerConnection    int           // calls that a connection carries at once; 0 is unknown
	AllowProbes             bool          // Probe is permitted
	AllowPeerMessages       bool          // Tell is permitted
	AllowCancel             bool          // Cancel is permitted
	AllowConcurrentAttempts bool          // two attempts of a message may be out together
	ClientsMarkRetries      bool          // clients mark messages that they submit again
	AdviseRetryAfter        bool          // clients are told when to come back
	MaxRetryAfter           time.Duration // and heed no more than this

	ListOnRequest      bool          // the list comes only when asked for
	ListRequestTimeout time.Duration // without asking for so long, it counts as told
	DrainGracePeriod   time.Duration // sends to a target that drains or is gone must have stopped by then
	AnswerGracePeriod  time.Duration // a final answer this long after a message's time is up still counts

	OverloadFactor    float64       // a cold destination falls over at this multiple of its capacity
	OverloadDuration  time.Duration // kept up for so long
	WarmupDuration    time.Duration // time from the end of an outage to full capacity
	ColdCapacityShare float64       // share of its capacity just after an outage
}

// Event is one of Listing, Arrival, Restored, Closing, Outcome, Withdrawn, Probed, Note and Wake.
type Event interface{ apply(*Policy) }

// ListKind says how a Listing relates to what came before.
type ListKind uint8

const (
	ListChanges  ListKind = iota // changed entries only
	ListSnapshot                 // the whole list; what is missing is gone
	ListCached                   // the whole list as last seen before a restart
	ListFailed                   // a subscription or resolve call failed; no entries
)

// Readiness is the state of a target in the list. It says nothing of health.
type Readiness uint8

const (
	Ready Readiness = iota
	Draining
	Removed
)

// Entry is one line of the list of targets.
type Entry struct {
	Target    TargetID
	Dest      DestID
	State     Readiness
	Kind      int // index into Settings.Kinds, -1 if unknown
	Zone      int // index into Settings.Zones, -1 if unknown
	RateLimit float64
	JoinedAt  time.Duration // when it joined the list, on the clock of Step; 0 is unknown or long ago
}

// ListUpdate tells of targets.
type ListUpdate struct {
	Kind    ListKind
	Entries []Entry
}

// Arrival is a new message. It is owed exactly one final answer.
type Arrival struct {
	ID          MessageID
	Class       int // index into Settings.Classes
	Tenant      int // index into Settings.Tenants, -1 if unknown
	Dest        DestID
	Budget      time.Duration // how long it may still be delivered
	Estimate    time.Duration // expected work, 0 if unknown
	Resubmitted bool          // submitted again, where clients mark it
	Orphaned    bool          // comes from a forwarder that died
}

// Restored is a message taken on in an earlier life of the host, which still owes its answer.
// It comes before any attempt of this life.
type Restored struct {
	Arrival                     // Budget is what is left of it, negative once its time is up
	Attempts      int           // attempts so far
	MayHaveRun    bool          // one of them may have run
	RunTarget     TargetID      // and went there first
	RunZone       int           // index into Settings.Zones, -1 if unknown
	RunAt         time.Duration // on the clock of Step
	AttemptFailed bool          // it was over before that life ended, which was not its success
	HandedOver    bool          // from a process that goes, whose Learned came with it
}

// Shutdown says that the host ends its life at that time: attempts out then may have run.
type Shutdown struct{ At time.Duration }

// Status is how an attempt ended.
type Status uint8

const (
	OK            Status = iota
	Error                // answered with an error; it may have run
	Rejected             // turned away; it never ran
	TimedOut             // no answer in time; it may have run or still run
	ConnectFailed        // no connection; it never ran
	Reset                // the connection broke; it may have run
	Canceled             // called off; it may have run
	NotSent              // not sent; it never ran
)

// LimitReport is what a destination tells of its limit. Limit is 0 where there is none.
type LimitReport struct {
	Remaining float64 // share of the limit left
	Limit     float64 // calls a second from all forwarders
}

// Outcome is the result of one attempt. Each Send gets exactly one.
type Outcome struct {
	ID         MessageID
	Target     TargetID
	Attempt    int // index of the attempt, from 0
	Status     Status
	Duration   time.Duration
	Final      bool          // the message needs no further answer
	RetryAfter time.Duration // told with it: how long to send nothing there
	Report     LimitReport
}

// Withdrawn says that the client no longer waits for the message.
type Withdrawn struct{ ID MessageID }

// ProbeResult is the result of a Probe.
type ProbeResult struct {
	Target   TargetID
	Status   Status
	Duration time.Duration
	Report   LimitReport
}

// PeerMessage is what another forwarder told.
type PeerMessage struct {
	From int // its Settings.Position
	Data []byte
}

// Wake says that the time of a WakeAt has come.
type Wake struct{}

func (e ListUpdate) apply(p *Policy) { p.listing(e) }
func (e Arrival) apply(p *Policy)    { p.arrival(e) }
func (e Restored) apply(p *Policy)   { p.restored(e) }
func (e Shutdown) apply(p *Policy)   { p.closing = e.At }
func (e Outcome) apply(p *Policy)    { p.outcome(e) }
func (e Withdrawn) apply(p *Policy)  { p.withdrawn(e) }
func (ProbeResult) apply(*Policy)    {}
func (PeerMessage) apply(*Policy)    {}
func (Wake) apply(*Policy)           {}

// Action is one of Send, Refuse, Fail, Cancel, CloseIdle, Subscribe, Probe, Tell, WakeAt and Log.
type Action interface{ action() }

// Send makes one attempt. Sends of one batch to the same target share a call as far
// as Kind.BundleMax allows.
type Send struct {
	ID           MessageID
	Target       TargetID
	Timeout      time.Duration
	MaxSendDelay time.Duration // a repeat is on its way by then or not at all, 0 where nothing binds it
}

// Refuse ends a message undelivered: trying again is harmless.
type Refuse struct {
	ID         MessageID
	RetryAfter time.Duration // when to come back, 0 for no advice
}

// Fail ends a message as failed, with no promise whether it took effect.
type Fail struct{ ID MessageID }

// Cancel calls off an attempt; its Outcome still comes. Only where Settings.Cancels.
type Cancel struct {
	ID      MessageID
	Attempt int
}

// Probe sends a check to a target. Only where Settings.Probes.
type Probe struct{ Target TargetID }

// SendPeerMessage sends a note of at most 256 bytes to one other forwarder, or to all. Only where Settings.Notes.
type SendPeerMessage struct {
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

func (Send) action()            {}
func (Refuse) action()          {}
func (Fail) action()            {}
func (Cancel) action()          {}
func (Probe) action()           {}
func (SendPeerMessage) action() {}
func (CloseIdle) action()       {}
func (Subscribe) action()       {}
func (WakeAt) action()          {}
func (Log) action()             {}
