// Package raventrestle decides, for one forwarder of a message delivery service, when each queued message is sent, to
// which target, and how it is finally answered.
//
// This file declares the interface: settings, events and actions. The decisions are made in the policy files, which use
// the fair queue of package asfq. A host creates one [Policy] per forwarder with [New], passes batches of events to
// [Policy.Step], and carries out the returned actions in the given order.
package raventrestle

import "time"

// Identifiers are assigned by the host. The policy does not interpret them.
type (
	MessageID string // unique during the lifetime of a Policy
	TargetID  string // one endpoint of a destination
	DestID    int64  // a destination: a recipient's system with one or more targets
)

// Idempotency says what happens if a message is delivered twice.
type Idempotency uint8

const (
	Idempotent    Idempotency = iota // a repeat is harmless
	Keyed                            // a repeat is dropped within Class.DedupWindow by the targets of Class.DedupScope
	NonIdempotent                    // must not take effect twice
)

// DedupScope says which targets of a destination drop a repeat of a keyed message.
type DedupScope uint8

const (
	DedupDestination DedupScope = iota // every target of the destination
	DedupZone                          // the targets in the zone of the first attempt that may have run
	DedupTarget                        // only the target of that attempt
)

// Class describes a class of messages.
type Class struct {
	Name           string
	SoftDeadline   time.Duration // delivery within this time earns the full value
	EstimateFactor float64       // multiple of Arrival.Estimate that is added to SoftDeadline
	Deadline       time.Duration // delivery after this time earns nothing
	Value          float64       // value of a delivered message
	LateValueShare float64       // share of the value that remains at the deadline, see Settings.ValueDecay
	Idempotency    Idempotency
	DedupScope     DedupScope
	DedupWindow    time.Duration // how long repeats of a keyed message are dropped
}

// DestinationKind describes a kind of destination.
type DestinationKind struct {
	RoutePerTarget bool // each target is a route with its own limit, retry-after time and outages
	MaxBatch       int  // maximum number of messages in one call
}

// Zone describes a location of targets.
type Zone struct {
	Name string
	Fee  float64 // charge for each message delivered in the zone to a destination with RoutePerTarget
}

// ValueDecay says how a message loses value after its soft deadline.
type ValueDecay uint8

const (
	DecayLinear  ValueDecay = iota // linearly, down to Class.LateValueShare at the deadline
	DecayHalving                   // halved each time the soft deadline's duration passes, but not below Class.LateValueShare
)

// Tenant is a customer whose messages the forwarders deliver.
type Tenant struct {
	Name  string
	Share float64 // share of the service
	Quota float64 // messages per second within its share, over all forwarders
}

// ScoreWeights are the weights of the parts of the service's overall score.
type ScoreWeights struct{ Overall, WorstWindow, WorstClass, WorstTenant float64 }

// Charges are the points deducted from the score for each unit.
type Charges struct {
	CrossZone    float64 // a call to another zone
	Handshake    float64 // a new connection
	WastedWork   float64 // work at destinations that delivered nothing, as a share of the work offered
	LateFailure  float64 // value of messages that ended undelivered after their soft deadline
	RejectedCall float64 // a call rejected because it exceeded a limit
	Probe        float64
	PeerMessage  float64 // 256 bytes of peer messages, for each receiver
}

// ListedLimits says what Entry.RateLimit contains.
type ListedLimits uint8

const (
	LimitsNone        ListedLimits = iota // nothing
	LimitsExact                           // calls per second that the destination or route accepts from all forwarders together
	LimitsApproximate                     // the same, but up to half too high or too low
)

// Settings configure a policy. A duration of zero disables the rule that it belongs to.
type Settings struct {
	Forwarders       int // number of forwarders that share the destinations, including this one
	Position         int // this forwarder's index among them
	Zone             int // index into Zones, -1 if unknown
	Classes          []Class
	Kinds            []DestinationKind
	Zones            []Zone
	ListedLimits     ListedLimits
	MinBatchInterval time.Duration // minimum time between two batches of events
	MaxSendJitter    time.Duration // maximum difference between the transit times of two sends; 0 if there is none

	Tenants         []Tenant
	OverShareFactor float64 // value of a message beyond its tenant's share, as a fraction of its class's value
	ValueDecay      ValueDecay
	ScoreWeights    ScoreWeights
	Charges         Charges

	CallSlots               int           // maximum number of calls in flight
	MaxMessages             int           // maximum number of messages, queued or in flight
	MaxAttempts             int           // attempts per message; 0 is no limit
	IdleTimeout             time.Duration // idle connections are closed after this time
	ConnectTimeout          time.Duration // maximum time to establish a connection
	StreamsPerConnection    int           // concurrent calls per connection; 0 if unknown
	AllowProbes             bool          // Probe is permitted
	AllowPeerMessages       bool          // SendPeerMessage is permitted
	AllowCancel             bool          // Cancel is permitted
	AllowConcurrentAttempts bool          // a message may have two attempts in flight
	ClientsFlagRetries      bool          // clients mark messages that they submit again
	AdviseRetryAfter        bool          // refused clients are told when to retry
	MaxRetryAfter           time.Duration // clients wait no longer than this

	ListOnRequest      bool          // the list of targets is sent only on request
	ListRequestTimeout time.Duration // after this time without a request, changes count as known to the forwarder
	DrainGracePeriod   time.Duration // sends to a target must stop within this time after it is draining or removed
	AnswerGracePeriod  time.Duration // a final answer still counts this long after the message's deadline

	OverloadFactor       float64       // a destination that warms up fails if it gets this multiple of its current capacity
	OverloadDuration     time.Duration // for this long
	WarmupDuration       time.Duration // time from the end of an outage to full capacity
	InitialCapacityShare float64       // capacity just after an outage, as a share of the full capacity
}

// Event is one of ListUpdate, Arrival, Restored, Shutdown, Outcome, Withdrawn, ProbeResult, PeerMessage and Wake.
type Event interface{ apply(*Policy) }

// ListKind says what the entries of a ListUpdate are.
type ListKind uint8

const (
	ListChanges  ListKind = iota // the changed entries only
	ListSnapshot                 // the complete list; targets that are not in it were removed
	ListCached                   // the complete list as last known before a restart
	ListFailed                   // a subscription or resolve call failed; no entries
)

// Readiness is the state of a target in the list. It does not describe its health.
type Readiness uint8

const (
	Ready Readiness = iota
	Draining
	Removed
)

// Entry is one target of the list.
type Entry struct {
	Target    TargetID
	Dest      DestID
	State     Readiness
	Kind      int // index into Settings.Kinds, -1 if unknown
	Zone      int // index into Settings.Zones, -1 if unknown
	RateLimit float64
	JoinedAt  time.Duration // when it joined the list, on the clock of Step; 0 if unknown or long ago
}

// ListUpdate reports targets that were added, changed or removed.
type ListUpdate struct {
	Kind    ListKind
	Entries []Entry
}

// Arrival is a new message. The policy must answer it exactly once: by a successful delivery, Refuse or Fail.
type Arrival struct {
	ID          MessageID
	Class       int // index into Settings.Classes
	Tenant      int // index into Settings.Tenants, -1 if unknown
	Dest        DestID
	Budget      time.Duration // time until its deadline
	Estimate    time.Duration // expected processing time, 0 if unknown
	Resubmitted bool          // submitted again, where clients mark it
	Orphaned    bool          // taken over from a forwarder that failed
}

// Restored is a message that was accepted before the host restarted and is still unanswered. It comes before any
// attempt of the restarted host.
type Restored struct {
	Arrival                     // Budget is the remaining time, negative once the deadline has passed
	Attempts      int           // number of attempts before the restart
	MayHaveRun    bool          // one of these attempts may have run
	RunTarget     TargetID      // target of the first attempt that may have run
	RunZone       int           // index into Settings.Zones, -1 if unknown
	RunAt         time.Duration // when that attempt was sent, on the clock of Step
	AttemptFailed bool          // that attempt had ended without success before the restart
	HandedOver    bool          // from a process that hands over to this one together with its Learned
}

// Shutdown announces that the host stops at the given time. Attempts that are still in flight then may have run.
type Shutdown struct{ At time.Duration }

// Status is how an attempt ended.
type Status uint8

const (
	OK            Status = iota
	Error                // answered with an error; it may have run
	Rejected             // rejected by the target; it never ran
	TimedOut             // no answer in time; it may have run or may still be running
	ConnectFailed        // no connection; it never ran
	Reset                // the connection broke; it may have run
	Canceled             // canceled by the forwarder; it may have run
	NotSent              // not sent; it never ran
)

// LimitReport is what a destination reports about its rate limit. Limit is 0 if it has none.
type LimitReport struct {
	Remaining float64 // share of the limit that remains
	Limit     float64 // calls per second from all forwarders together
}

// Outcome is the result of one attempt. Each Send gets exactly one Outcome.
type Outcome struct {
	ID         MessageID
	Target     TargetID
	Attempt    int // index of the attempt, from 0
	Status     Status
	Duration   time.Duration
	Final      bool          // the message needs no further answer
	RetryAfter time.Duration // no calls may be sent there for this long, as the target demanded
	Report     LimitReport
}

// Withdrawn reports that the client no longer waits for the message.
type Withdrawn struct{ ID MessageID }

// ProbeResult is the result of a Probe.
type ProbeResult struct {
	Target   TargetID
	Status   Status
	Duration time.Duration
	Report   LimitReport
}

// PeerMessage is a message from another forwarder.
type PeerMessage struct {
	From int // its Settings.Position
	Data []byte
}

// Wake reports that the time of a WakeAt has come.
type Wake struct{}

func (e ListUpdate) apply(p *Policy) { p.applyListUpdate(e) }
func (e Arrival) apply(p *Policy)    { p.addMessage(e) }
func (e Restored) apply(p *Policy)   { p.restoreMessage(e) }
func (e Shutdown) apply(p *Policy)   { p.shutdownAt = e.At }
func (e Outcome) apply(p *Policy)    { p.handleOutcome(e) }
func (e Withdrawn) apply(p *Policy)  { p.withdrawMessage(e) }
func (ProbeResult) apply(*Policy)    {}
func (PeerMessage) apply(*Policy)    {}
func (Wake) apply(*Policy)           {}

// Action is one of Send, Refuse, Fail, Cancel, CloseIdle, Subscribe, Probe, SendPeerMessage, WakeAt and Log.
type Action interface{ action() }

// Send makes one attempt. Sends to the same target in one batch share a call, up to DestinationKind.MaxBatch messages.
type Send struct {
	ID           MessageID
	Target       TargetID
	Timeout      time.Duration
	MaxSendDelay time.Duration // a repeat must leave within this time or not at all; 0 is no limit
}

// Refuse ends a message that was not delivered. The client may safely submit it again.
type Refuse struct {
	ID         MessageID
	RetryAfter time.Duration // when the client should retry, 0 for no advice
}

// Fail ends a message as failed. It may have taken effect.
type Fail struct{ ID MessageID }

// Cancel cancels an attempt, which still gets its Outcome. It requires Settings.AllowCancel.
type Cancel struct {
	ID      MessageID
	Attempt int
}

// Probe sends a health check to a target. It requires Settings.AllowProbes.
type Probe struct{ Target TargetID }

// SendPeerMessage sends at most 256 bytes to one forwarder or to all others. It requires Settings.AllowPeerMessages.
type SendPeerMessage struct {
	To   int // its Settings.Position, -1 for all
	Data []byte
}

// CloseIdle closes the idle connections to a target; calls in flight continue. A host without persistent connections
// may ignore it.
type CloseIdle struct{ Target TargetID }

// Subscribe requests the list of targets and its changes.
type Subscribe struct{}

// WakeAt requests a Wake at or after the given time.
type WakeAt struct{ At time.Duration }

// Log is a message for the operators' log.
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
