package subscription

import (
	"time"

	"raventrestle/internal/protocol"
)

const (
	// maxStepDelay is how much later than Output.WakeAt a Step may come. One that is later shows that this process was
	// paused, not that the instances were.
	maxStepDelay = 100 * time.Millisecond
	// resumeGrace is how long the instances then have to be heard: what they sent meanwhile has yet to be read.
	resumeGrace = 250 * time.Millisecond

	maxQueuedReports = 8 // while no instance is followed
)

// Config holds the values of a subscription. All are required.
type Config struct {
	Node        string // name of this router
	Zone        string // failure domain of this router
	Incarnation uint64 // random, one for each start of the process
	// TrustTTL is how long an instance is trusted after its newest proven contact with a majority. Then the router looks
	// for another instance. See trust.go.
	TrustTTL time.Duration
}

// Decider decides which instance a router follows, and which of its updates are applied. It is pure: its host passes in
// what has happened with the time, and carries out what is returned. It is not safe for concurrent use.
//
// It follows one instance and knows how old that one's newest contact with a majority is. When trust in it has expired, or its
// connection ends or it is unresponsive, it probes all instances at once and moves to one that proves a fresh contact. If none
// does, it follows the best of them provisionally and goes on probing.
type Decider struct {
	config     Config
	candidates *Candidates

	applied        appliedState
	followed       *followedInstance // nil: none
	search         *search           // nil: nothing is probed
	pendingUpdates []pendingUpdate   // of the followed instance, received and not applied yet
	applying       *pendingUpdate    // requested by Output.Apply; nil: none
	queuedReports  []protocol.Report // oldest first, until an instance is followed

	newestEpoch          uint64          // newest epoch that any instance has stated
	unresponsiveToProbes map[string]bool // by address: an older program, or a paused process
	lastConnection       ConnectionID    // number used last
	lastEcho             uint64          // number used last
	lastReport           uint64          // sequence number used last
	zoneLocalBackoff     time.Duration   // until the next search for an instance in the own zone
	unreachableRecorded  bool            // ControlPlaneUnreachable is recorded, and no instance was followed since
	lastRoundAt          time.Time       // start of the newest round of probes
	wakeAt               time.Time       // as returned last

	out Output // of the current Step
}

// NewDecider returns a decider that follows no instance yet. The candidates are the decider's from then on.
func NewDecider(config Config, candidates *Candidates) *Decider {
	return &Decider{
		config:               config,
		candidates:           candidates,
		unresponsiveToProbes: make(map[string]bool),
		zoneLocalBackoff:     minZoneLocalBackoff,
	}
}

// Step takes in what has happened up to now, in that order, and returns what the host is to carry out. Now must not go
// back.
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

// extendDeadlinesAfterStall gives the instances time if this process was the one that paused: what they sent meanwhile
// waits to be read.
func (d *Decider) extendDeadlinesAfterStall(now time.Time) {
	if d.wakeAt.IsZero() || now.Sub(d.wakeAt) < maxStepDelay {
		return
	}
	until := now.Add(resumeGrace)
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
	if p := d.search.probeOn(id); p != nil {
		d.probeFailed(p, err)
	}
}

// messageReceived ignores what comes on a connection that was given up.
func (d *Decider) messageReceived(now time.Time, id ConnectionID, message any) {
	if f := d.followed; f != nil && f.id == id {
		d.followedMessage(now, f, message)
		return
	}
	reply, isReply := message.(*protocol.ProbeReply)
	if p := d.search.probeOn(id); p != nil && isReply {
		d.probeReplied(now, p, reply)
	}
}

// seedsRead takes in the addresses of the settings. New ones are probed at once if no instance is followed.
func (d *Decider) seedsRead(addresses []string) {
	if !d.candidates.SetSeeds(addresses) || d.followed != nil {
		return
	}
	d.candidates.Restart("")
	if d.search != nil {
		d.search.restartRound()
	}
}

// demandReported sends demand to the control plane. While no instance is followed the oldest reports are dropped.
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

// creditRequested sends a request for credit to the followed instance, if that answers such requests.
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

// nextEcho draws the sequence number of an echo that is sent on a connection now.
func (d *Decider) nextEcho(now time.Time, c *instanceConnection) uint64 {
	d.lastEcho++
	c.clock.echoSent(d.lastEcho, now)
	return d.lastEcho
}

// proofReceived takes in what an instance proves about its freshness, and about a version of the configuration: all that were
// acknowledged anywhere before its contact with a majority are at or below that version.
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

// completeOutput adds the state after the Step and the time of the next one.
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

// instanceConnection is a connection to an instance and what the instance has proved on it.
type instanceConnection struct {
	id                ConnectionID
	address           string
	clock             remoteClock
	provesFreshness   bool // false: nothing was received yet, or the program is an older one
	epoch             uint64
	majorityContactAt time.Time // newest moment at which the instance is proven to have had contact with a majority
}

// earliestDeadline is the earliest of the deadlines that are still to come; zero: there is none.
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
