package subscription

import (
	"time"

	"raventrestle/internal/protocol"
)

const (
	// maxStepDelay is the largest delay of a Step after Output.WakeAt that counts as normal. A larger one shows that this process
	// was paused, so a missing message does not show that an instance was.
	maxStepDelay = 100 * time.Millisecond
	// stallGracePeriod is the minimum time until the deadlines of the instances after such a pause, so that queued messages can
	// be processed before.
	stallGracePeriod = 250 * time.Millisecond

	maxQueuedReports = 8 // kept while no instance is followed
)

// Config holds the parameters of a subscription. All of them are required.
type Config struct {
	Node        string // name of this router
	Zone        string // failure domain of this router
	Incarnation uint64 // random number that identifies this process
	// TrustTTL is how long an instance is trusted after its newest proven contact with a majority. After that the router
	// searches for another instance. See trust.go.
	TrustTTL time.Duration
}

// Decider decides which instance a router follows and which of its updates are applied. It is a pure state machine: the host
// passes in inputs and the time, and executes the output. It is not safe for concurrent use.
//
// It follows one instance and knows the age of that instance's newest contact with a majority. When trust in the instance has
// expired, its connection ends, or it is unresponsive, the decider probes all instances, several at a time, and moves to one
// that proves a recent contact. If none does, it follows the best of them provisionally and continues to probe.
type Decider struct {
	config     Config
	candidates *Candidates

	applied        appliedState
	followed       *followedInstance // nil: none
	search         *search           // nil: no search is in progress
	pendingUpdates []pendingUpdate   // received from the followed instance and not yet being applied
	applying       *pendingUpdate    // update that Output.Apply requested; nil: none
	queuedReports  []protocol.Report // oldest first, sent once an instance is followed

	newestEpoch          uint64          // newest epoch that any instance has reported
	unresponsiveToProbes map[string]bool // by address; such an instance runs an older program, or its process is paused
	lastConnection       ConnectionID    // last ID that was assigned
	lastEcho             uint64          // last sequence number that was used
	lastReport           uint64          // last sequence number that was used
	zoneLocalBackoff     time.Duration   // until the next search for an instance in the local zone
	unreachableRecorded  bool            // ControlPlaneUnreachable was recorded, and no instance has been followed since
	lastRoundAt          time.Time       // start of the newest round of probes
	wakeAt               time.Time       // as last returned

	out Output // of the current Step
}

// NewDecider returns a decider that follows no instance yet. It owns the candidates from then on.
func NewDecider(config Config, candidates *Candidates) *Decider {
	return &Decider{
		config:               config,
		candidates:           candidates,
		unresponsiveToProbes: make(map[string]bool),
		zoneLocalBackoff:     minZoneLocalBackoff,
	}
}

// Step processes the inputs in their order of occurrence and returns what the host has to execute. The time must not decrease
// between steps.
func (d *Decider) Step(now time.Time, inputs ...Input) Output {
	d.out = Output{}
	d.extendDeadlinesAfterStall(now)
	for _, in := range inputs {
		d.handle(now, in)
	}
	d.checkFollowed(now)
	d.continueSearch(now)
	d.renewClockSync(now)
	d.applyNext()
	return d.completeOutput(now)
}

// extendDeadlinesAfterStall extends the deadlines of the instances if this process was paused, because messages that arrived
// during the pause have not been processed yet.
func (d *Decider) extendDeadlinesAfterStall(now time.Time) {
	if d.wakeAt.IsZero() || now.Sub(d.wakeAt) < maxStepDelay {
		return
	}
	until := now.Add(stallGracePeriod)
	if d.followed != nil {
		d.followed.unresponsiveAt = laterOf(d.followed.unresponsiveAt, until)
	}
	if d.search != nil {
		d.search.extendDeadlines(until)
	}
}

func (d *Decider) handle(now time.Time, in Input) {
	switch in := in.(type) {
	case ConnectionOpened:
		d.connectionOpened(now, in.Connection)
	case ConnectionClosed:
		d.connectionClosed(now, in.Connection, in.Err)
	case MessageReceived:
		d.messageReceived(now, in.Connection, in.Message)
	case ChangeApplied:
		d.changeApplied(now, in.Err)
	case SeedsRead:
		d.seedsRead(in.Addresses)
	case DemandReported:
		d.demandReported(in.Report)
	case CreditRequested:
		d.creditRequested(in.Request)
	}
}

func (d *Decider) connectionClosed(now time.Time, id ConnectionID, err error) {
	if f := d.followed; f != nil && f.id == id {
		d.leave(now, err)
		return
	}
	if p := d.search.probeByConnection(id); p != nil {
		d.probeFailed(p, err)
	}
}

// messageReceived ignores messages on connections that the decider has closed.
func (d *Decider) messageReceived(now time.Time, id ConnectionID, message any) {
	if f := d.followed; f != nil && f.id == id {
		d.followedMessageReceived(now, f, message)
		return
	}
	reply, isReply := message.(*protocol.ProbeReply)
	if p := d.search.probeByConnection(id); p != nil && isReply {
		d.probeReplied(now, p, reply)
	}
}

// seedsRead updates the seeds. If no instance is followed, changed seeds are probed at once.
func (d *Decider) seedsRead(addresses []string) {
	if !d.candidates.SetSeeds(addresses) || d.followed != nil {
		return
	}
	d.candidates.Restart("")
	if d.search != nil {
		d.search.restartRound()
	}
}

// demandReported sends a report to the followed instance. While none is followed, reports are queued and the oldest dropped.
func (d *Decider) demandReported(report protocol.Report) {
	if d.followed != nil {
		d.sendReport(report)
		return
	}
	if len(d.queuedReports) == maxQueuedReports {
		d.queuedReports = d.queuedReports[1:]
	}
	d.queuedReports = append(d.queuedReports, report)
}

// creditRequested sends a request for credit to the followed instance if that instance issues credit.
func (d *Decider) creditRequested(request protocol.CreditRequest) {
	if d.followed != nil && d.followed.issuesCredit {
		d.send(d.followed.id, request)
	}
}

func (d *Decider) sendReport(report protocol.Report) {
	d.lastReport++
	report.Node = d.config.Node
	report.Incarnation = d.config.Incarnation
	report.Sequence = d.lastReport
	d.send(d.followed.id, report)
}

func (d *Decider) send(id ConnectionID, message any) {
	d.out.Send = append(d.out.Send, Send{Connection: id, Message: message})
}

func (d *Decider) record(event Event) { d.out.Events = append(d.out.Events, event) }

// nextEcho returns the sequence number of an echo to be sent on a connection now.
func (d *Decider) nextEcho(now time.Time, c *instanceConnection) uint64 {
	d.lastEcho++
	c.clock.echoSent(d.lastEcho, now)
	return d.lastEcho
}

// proofReceived processes an instance's proof of freshness. The proof also covers the configuration: all versions that were
// acknowledged anywhere before the instance's contact with a majority have at most the given generation.
func (d *Decider) proofReceived(now time.Time, c *instanceConnection, proof protocol.FreshnessProof, generation int64) {
	if proof == (protocol.FreshnessProof{}) { // an older program, which proves nothing
		return
	}
	d.newestEpoch = max(d.newestEpoch, proof.Epoch)
	c.epoch, c.provesFreshness = proof.Epoch, true
	contact, ok := c.clock.majorityContact(now, proof)
	if !ok {
		return
	}
	c.majorityContactAt = laterOf(c.majorityContactAt, contact)
	d.applied.addClaim(freshnessClaim{generation: generation, asOf: contact})
}

// completeOutput adds the state after the Step and the time of the next one to the output.
func (d *Decider) completeOutput(now time.Time) Output {
	if d.followed != nil {
		d.out.Following = d.followed.address
		d.out.Trusted = d.trusted(now, &d.followed.instanceConnection)
	}
	d.out.FreshAsOf = d.applied.freshAsOf
	d.out.Ready = d.applied.ready
	next := earliestDeadline{now: now}
	if d.followed != nil {
		d.addFollowedDeadlines(&next, d.followed)
	}
	if d.search != nil {
		d.addSearchDeadlines(&next, d.search)
	}
	d.wakeAt = next.at
	d.out.WakeAt = next.at
	return d.out
}

// instanceConnection is a connection to an instance, with what the instance has proved on it.
type instanceConnection struct {
	id                ConnectionID
	address           string
	clock             remoteClock
	provesFreshness   bool // false: nothing has been received yet, or the program is an older one
	epoch             uint64
	majorityContactAt time.Time // newest time at which the instance is proven to have had contact with a majority
}

// earliestDeadline is the earliest deadline after now; at is zero if there is none.
type earliestDeadline struct{ now, at time.Time }

func (e *earliestDeadline) add(deadline time.Time) {
	if deadline.After(e.now) && (e.at.IsZero() || deadline.Before(e.at)) {
		e.at = deadline
	}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
