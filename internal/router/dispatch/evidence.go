package dispatch

import (
	"time"

	"raventrestle/internal/protocol"
)

// Evidence of an endpoint's health, from this router's own calls alone. An endpoint that fails is left for a
// while, then tried by single requests, then by twice as many after each success.
const (
	failureWeight = 1 // it answered, with a failure of its own
	lossWeight    = 2 // reset or garbled, or silent
	deadWeight    = 3 // no connection could be made
	tripWeight    = 3 // failures in a row that weigh so much: left for a while

	firstBackoff  = 250 * time.Millisecond
	mostBackoff   = 2 * time.Second
	patientGap    = 700 * time.Millisecond // between last resorts, for what can't be sent again
	allDownShare  = 0.8                    // of a service's endpoints
	firstPause    = 40 * time.Millisecond  // after it turned a request away
	mostPause     = 640 * time.Millisecond
	firstDistrust = 300 * time.Millisecond // of a table that says a model is there that isn't
	mostDistrust  = 5 * time.Second
	trialsOver    = 16 // calls at once, from which on an endpoint counts as well again
	silentTimes   = 4  // without a sign for so many times the expected: it is dark
	leastSilence  = 150 * time.Millisecond
	lately        = 2 * time.Second // a success within it vouches for a silent endpoint
)

// evidence is what calls told of an endpoint.
type evidence struct {
	weight  int // of failures in a row
	backoff time.Duration
	pause   time.Duration // after refusals
	until   time.Duration // no call before
	tripped time.Duration // when it was left
	most    int           // calls at once while it recovers, 0: no bound
	trials  int           // of those, out
	goodAt  time.Duration
	badAt   time.Duration
	heardAt time.Duration // last sign of life
	ever    bool          // goodAt counts
}

// good: it answered.
func (d *Decider) good(e *endpoint, r *request) {
	x := &e.evidence
	x.heardAt = d.now
	if r.sentAt < x.tripped {
		return
	}
	if x.most > 0 && e.service.allDown() {
		d.retryAll(e.service)
	}
	x.ever = true
	x.goodAt = d.now
	e.Trouble = false
	x.weight = 0
	x.backoff = 0
	x.pause = 0
	if x.most > 0 {
		x.most *= 2
	}
	if x.most >= trialsOver {
		x.most = 0
		e.service.down--
	}
}

// allDown says whether nearly all endpoints of the service are held for failed: then this router's own link
// may be to blame.
func (s *service) allDown() bool { return float64(s.down) >= allDownShare*float64(s.endpoints) }

// retryAll: an endpoint answers again after nearly all had failed, so the others are tried soon.
func (d *Decider) retryAll(s *service) {
	for _, e := range d.endpoints {
		if x := &e.evidence; e.service == s && x.until > d.now {
			x.until = d.now
			x.backoff = 0
		}
	}
}

// lastResort lets a request try an endpoint that failed before its time, where nothing else is left.
func (d *Decider) lastResort(r *request) *holding {
	g := r.group
	gap := firstBackoff
	if !r.Retryable {
		gap = patientGap
	}
	if g.resortAt > 0 && d.now-g.resortAt < gap {
		return nil
	}
	var best *holding
	for _, h := range g.holders {
		x := &h.at.evidence
		if !d.eligible(h, r) || x.most == 0 || x.trials > 0 || h.until > d.now {
			continue
		}
		if best == nil || x.until < best.at.evidence.until {
			best = h
		}
	}
	if best != nil {
		g.resortAt = d.now
		best.at.evidence.until = d.now
	}
	return best
}

// failed: a call to it failed. Calls that were out when it was left tell nothing new.
func (d *Decider) failed(e *endpoint, r *request, weight int) {
	x := &e.evidence
	if weight == failureWeight {
		x.heardAt = d.now
	}
	if r.sentAt < x.tripped {
		return
	}
	x.badAt = d.now
	x.weight += weight
	if x.most > 0 || x.weight >= tripWeight {
		d.trip(e)
	}
}

// trip leaves an endpoint for a while.
func (d *Decider) trip(e *endpoint) {
	x := &e.evidence
	if !e.listed {
		return
	}
	x.backoff = min(max(2*x.backoff, firstBackoff), mostBackoff)
	x.until = d.now + d.about(x.backoff)
	x.tripped = d.now
	d.counters.Ejected++
	if x.most == 0 {
		e.service.down++
	}
	x.most = 1
	e.Trouble = true
	x.trials = 0
	for _, r := range e.calls {
		r.trial = false
	}
	e.writeOff()
	d.moveOn(e)
	d.mark(e)
	d.urgent()
}

// about draws a time near the given one, so that routers don't come back in step.
func (d *Decider) about(t time.Duration) time.Duration {
	return time.Duration(float64(t) * (0.75 + d.draw.Float64()/2))
}

// turnedAway: it surely did not run the request. Where it told that it has places free, an order concerning
// the model is the cause; else it is full.
func (d *Decider) turnedAway(e *endpoint, r *request, load *AdvertisedLoad) {
	x := &e.evidence
	x.heardAt = d.now
	h := e.holding(r.Model)
	if h != nil && load != nil && r.Model != "" && load.Running+load.Waiting < load.Slots {
		h.pause = min(max(2*h.pause, firstPause), mostPause)
		h.until = d.now + d.about(h.pause)
		return
	}
	x.pause = min(max(2*x.pause, firstPause), mostPause)
	x.until = max(x.until, d.now+d.about(x.pause))
}

// misdirected: the model is not there, or another incarnation has the address.
func (d *Decider) misdirected(e *endpoint, r *request) {
	e.evidence.heardAt = d.now
	h := e.holding(r.Model)
	if h == nil {
		return
	}
	if h.wrong == nil {
		h.wrong = map[string]wrong{}
	}
	before := h.wrong[r.Adapter]
	h.distrust = min(max(2*h.distrust, firstDistrust), mostDistrust)
	h.wrong[r.Adapter] = wrong{sequence: max(e.sequence, before.sequence), until: d.now + h.distrust}
	if r.Model == "" {
		d.trip(e)
	}
}

// gaveUp: this side ended the call. If nothing at all came of it for long, the endpoint is to blame.
func (d *Decider) gaveUp(e *endpoint, r *request) {
	if r.heard || d.now < e.quietFrom(r) {
		return
	}
	d.failed(e, r, deadWeight)
}

// silence is how long the call may bring nothing before its endpoint counts as dark: some times what was
// expected, but not much longer than the request's objective.
func (r *request) silence() time.Duration {
	expected := time.Duration(r.expected * float64(time.Millisecond))
	most := max(r.objective-r.arrived, 2*expected)
	return max(leastSilence, min(silentTimes*expected, most))
}

// quietFrom is the time from which on the endpoint counts as dark if nothing more comes of it, judged by
// this call.
func (e *endpoint) quietFrom(r *request) time.Duration {
	return max(e.evidence.heardAt, r.sentAt) + r.silence()
}

// dark says whether the endpoint seems not to answer at all, judged by the oldest unanswered call.
func (d *Decider) dark(e *endpoint) bool {
	return len(e.unanswered) > 0 && d.now >= e.quietFrom(e.unanswered[0])
}

// watch looks at a call that is out and unanswered after its silence. A first silence may be a queue that this
// router doesn't see: until the endpoint is heard of it gets nothing new, which is enough. At the second one, or at the
// end of the objective, the call goes elsewhere where it may.
func (d *Decider) watch(r *request) {
	e := r.at
	if r.heard || r.abandoned {
		return
	}
	if from := e.quietFrom(r); from > d.now {
		d.timers.add(from, r)
		return
	}
	e.Trouble = true
	if r.silences++; r.silences > 1 {
		d.failed(e, r, deadWeight)
	}
	if r.silences > 1 || d.now >= r.objective || e.evidence.most > 0 {
		d.abandon(r)
	}
	if r.abandoned {
		return
	}
	next := d.now + r.silence()
	if r.silences == 1 && r.objective > d.now {
		next = min(next, r.objective)
	}
	d.timers.add(next, r)
}

// abandon ends a call to a dark endpoint where the request may go on elsewhere.
func (d *Decider) abandon(r *request) {
	if r.answering {
		return
	}
	d.moveCall(r)
}

// stalled ends the call of a stream that has paused for long, where it may go on elsewhere; else it waits on:
// silence alone is no reason to end an answer.
func (d *Decider) stalled(input StreamStalled) {
	r := d.requests[input.ID]
	if r == nil || r.stage != sent || r.abandoned || r.at.id != input.Endpoint {
		return
	}
	d.moveCall(r)
}

// moveCall ends a call so that its request goes on elsewhere, if it may and can go there now.
func (d *Decider) moveCall(r *request) {
	e := r.at
	if !r.Retryable || r.withdrawn {
		return
	}
	if r.runs+1 >= max(r.MaxEndpoints, 1) || !d.mayGoAgain(r) {
		return
	}
	h, class := d.choose(r)
	if h == nil || h.at == e || class != goesNow {
		return
	}
	r.abandoned = true
	d.counters.Abandoned++
	d.out = append(d.out, Abandon{ID: r.ID, Endpoint: e.id})
}

// usable says whether the endpoint may take a call now, and if not, when it may be looked at again.
func (d *Decider) usable(e *endpoint) (from time.Duration, ok bool) {
	x := &e.evidence
	if x.until > d.now {
		return x.until, false
	}
	if x.most > 0 && x.trials >= x.most {
		return 0, false
	}
	if x.most == 0 && d.dark(e) {
		return 0, false
	}
	return 0, true
}

// doubtful: its heartbeats stopped, and no call of this router vouches for it.
func (d *Decider) doubtful(e *endpoint) bool {
	if e.state != protocol.Unresponsive {
		return false
	}
	return !e.evidence.ever || d.now-e.evidence.goodAt > lately
}
