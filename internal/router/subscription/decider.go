package subscription

import (
	"time"

	"raventrestle/internal/protocol"
)

const (
	mostLate    = 100 * time.Millisecond // a Step that is later shows that this process slept
	afterSleep  = 250 * time.Millisecond // then instances have so long to be heard
	mostReports = 8                      // that wait while nobody is followed
)

// Decider decides which instance a router follows, and what of it is put in force. It is pure: its host passes in what
// happened with the time, and carries out what comes back. It is not safe for concurrent use.
//
// It follows one instance and knows how old that one's newest contact with a majority is. When that is older than
// Limits.Stale, or the connection ends or is silent, it probes all instances at once and moves to one that proves a fresh
// contact. Where none does, it follows the best of the others provisionally and goes on probing.
type Decider struct {
	identity Identity
	course   *Course
	limits   Limits

	knowledge knowledge
	followed  *following // nil: none
	search    *search    // nil: nothing is probed
	updates   []queued   // of the instance that is followed, not in force yet
	applying  *queued    // is being put in force; nil: none
	reports   []protocol.Report

	epoch       uint64          // the newest that was seen
	mute        map[string]bool // instances that don't answer probes: older ones, or frozen
	connections ConnectionID    // the last number used
	marks       uint64          // the last number used
	reported    uint64
	nearer      time.Duration // before the next look for an instance of the own zone
	alone       bool          // no instance is followed, and that was told
	roundAt     time.Time     // start of the last round of probes
	wakeAt      time.Time

	out Output
}

// NewDecider returns a decider that follows nobody yet.
func NewDecider(identity Identity, course *Course, limits Limits) *Decider {
	return &Decider{
		identity: identity,
		course:   course,
		limits:   limits,
		mute:     make(map[string]bool),
		nearer:   leastNearer,
	}
}

// Step takes in what happened.
func (d *Decider) Step(now time.Time, inputs ...Input) Output {
	d.out = Output{}
	d.forgive(now)
	for _, in := range inputs {
		d.take(now, in)
	}
	d.watch(now)
	d.probe(now)
	d.markAgain(now)
	d.applyNext()
	return d.output(now)
}

// forgive gives the instances time where this process was the one that slept: what they have sent waits to be read.
func (d *Decider) forgive(now time.Time) {
	if d.wakeAt.IsZero() || now.Sub(d.wakeAt) < mostLate {
		return
	}
	until := now.Add(afterSleep)
	if d.followed != nil {
		d.followed.silentAt = later(d.followed.silentAt, until)
	}
	if d.search != nil {
		d.search.extend(until)
	}
}

func (d *Decider) take(now time.Time, in Input) {
	switch in := in.(type) {
	case Opened:
		d.opened(now, in.Connection)
	case Ended:
		d.ended(now, in.Connection, in.Err)
	case Received:
		d.received(now, in.Connection, in.Message)
	case Applied:
		d.applied(now, in.Err)
	case SeedsRead:
		d.seedsRead(in.Addresses)
	case Demand:
		d.report(in.Report)
	}
}

func (d *Decider) ended(now time.Time, id ConnectionID, err error) {
	if f := d.followed; f != nil && f.id == id {
		d.leave(now, err)
		return
	}
	if p := d.search.find(id); p != nil {
		d.failed(p, err)
	}
}

func (d *Decider) received(now time.Time, id ConnectionID, message any) {
	if f := d.followed; f != nil && f.id == id {
		d.listen(now, f, message)
		return
	}
	probed, isProbed := message.(*protocol.ProbeReply)
	if p := d.search.find(id); p != nil && isProbed {
		d.probed(now, p, probed)
	}
}

// seedsRead takes the addresses of the settings. New ones are asked at once where nobody is followed.
func (d *Decider) seedsRead(addresses []string) {
	if !d.course.SetSeeds(addresses) || d.followed != nil {
		return
	}
	d.course.Anew("")
	if d.search != nil {
		d.search.anew()
	}
}

// report passes demand up. While nobody is followed the oldest is lost.
func (d *Decider) report(report protocol.Report) {
	if d.followed != nil {
		d.sendReport(report)
		return
	}
	if len(d.reports) == mostReports {
		d.reports = d.reports[1:]
	}
	d.reports = append(d.reports, report)
}

func (d *Decider) sendReport(report protocol.Report) {
	d.reported++
	report.Node = d.identity.Node
	report.Incarnation = d.identity.Incarnation
	report.Sequence = d.reported
	d.send(d.followed.id, report)
}

func (d *Decider) send(id ConnectionID, message any) {
	d.out.Send = append(d.out.Send, Send{Connection: id, Message: message})
}

func (d *Decider) tell(event Event) { d.out.Events = append(d.out.Events, event) }

// mark draws the number of a mark that goes out on a connection now.
func (d *Decider) mark(now time.Time, l *link) uint64 {
	d.marks++
	l.anchor.mark(d.marks, now)
	return d.marks
}

// state takes in what an instance can prove of itself and of a generation.
func (d *Decider) state(now time.Time, l *link, s protocol.FreshnessProof, generation int64) {
	if s == (protocol.FreshnessProof{}) { // an older instance
		return
	}
	d.epoch = max(d.epoch, s.Epoch)
	l.epoch, l.states = s.Epoch, true
	contact, ok := l.anchor.take(now, s)
	if !ok {
		return
	}
	l.contactAt = later(l.contactAt, contact)
	d.knowledge.claim(claim{generation: generation, moment: contact})
}

// output completes what the host carries out.
func (d *Decider) output(now time.Time) Output {
	if d.followed != nil {
		d.out.Follows = d.followed.address
		d.out.Settled = d.fresh(now, &d.followed.link)
	}
	d.out.ConfirmedAt = d.knowledge.confirmedAt
	d.out.Ready = d.knowledge.ready
	var next wake
	next.now = now
	if d.followed != nil {
		d.followingWakes(&next, d.followed)
	}
	if d.search != nil {
		d.searchWakes(&next, d.search)
	}
	d.wakeAt = next.at
	d.out.WakeAt = next.at
	return d.out
}

// link is a connection to an instance and what came on it.
type link struct {
	id        ConnectionID
	address   string
	anchor    anchor
	states    bool // the instance tells its standing: it is no older one
	epoch     uint64
	contactAt time.Time // newest moment at which the instance is known to have had contact with a majority
}

// fresh says whether an instance has proved a contact that is young enough.
func (d *Decider) fresh(now time.Time, l *link) bool {
	return !l.contactAt.IsZero() && now.Before(l.contactAt.Add(d.limits.Stale))
}

// wake finds the earliest of some times that are still to come.
type wake struct{ now, at time.Time }

func (w *wake) add(at time.Time) {
	if at.After(w.now) && (w.at.IsZero() || at.Before(w.at)) {
		w.at = at
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
