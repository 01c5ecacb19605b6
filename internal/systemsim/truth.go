package systemsim

import (
	"math"
	"slices"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// never is later than all times of a history.
const never = time.Duration(math.MaxInt64)

// The rules, as a broken one is told.
const (
	ruleConfirmed = "confirmed age"
	ruleStale     = "staleness"
	ruleMonotone  = "monotone versions"
	ruleOneBase   = "one change on a base"
	ruleRefused   = "acknowledged order refused"
	ruleContent   = "content of a version"
	ruleDrain     = "drain bound"
	ruleHolder    = "one holder"
	ruleMajority  = "no majority, no answer"
	ruleReadBack  = "read back"
	ruleFresh     = "fresh proof"
	ruleBusy      = "busy loop"
)

// truth is what really happened, to hold the processes against.
type truth struct {
	acks       []ack            // of versions, in the order of time
	byBase     map[int64]*order // acknowledged
	byNumber   map[int64]*order
	drained    map[string]time.Duration // by endpoint: when its draining or leaving was acknowledged to it
	acts       []act
	epoch      uint64        // newest that any instance has entered
	looks      int           // at routers in touch
	looksApart int           // of these, while an instance was out of touch with a majority
	major      time.Duration // since when the instances are stable; never: they are not
}

// ack: a version's acknowledgement has left an instance; newest is the highest so far.
type ack struct {
	at     time.Duration
	newest int64
}

// act: an instance has acted in the single roles.
type act struct {
	at time.Duration
	by *instance
}

// count notes that a router was held against the truth while in touch.
func (t *truth) count(instances []*instance) {
	t.looks++
	if slices.ContainsFunc(instances, func(i *instance) bool { return i.apartSince != never }) {
		t.looksApart++
	}
}

func newTruth() truth {
	return truth{
		byBase: make(map[int64]*order), byNumber: make(map[int64]*order),
		drained: make(map[string]time.Duration), major: never,
	}
}

// newestBefore is the highest version whose acknowledgement left an instance before a time.
func (t *truth) newestBefore(at time.Duration) int64 {
	for i := len(t.acks) - 1; i >= 0; i-- {
		if t.acks[i].at < at {
			return t.acks[i].newest
		}
	}
	return 0
}

// acknowledged notes that an instance acknowledges an order.
func (w *World) acknowledged(i *instance, o *order, generation int64) {
	t := &w.truth
	w.tracef("%s acknowledges version %d on %d of %s", i.address, generation, o.base, o.name)
	if generation != o.generation {
		w.fail(ruleContent, "order %s for version %d is acknowledged as %d", o.name, o.generation, generation)
	}
	if other := t.byBase[o.base]; other != nil && other != o {
		w.fail(ruleOneBase, "%s and %s on version %d are both acknowledged", other.name, o.name, o.base)
	}
	if other := t.byNumber[generation]; other != nil && other != o {
		w.fail(ruleOneBase, "%s and %s are both acknowledged as version %d", other.name, o.name, generation)
	}
	o.acknowledged = true
	t.byBase[o.base], t.byNumber[generation] = o, o
	newest := generation
	if len(t.acks) > 0 {
		newest = max(newest, t.acks[len(t.acks)-1].newest)
	}
	t.acks = append(t.acks, ack{at: w.Now(), newest: newest})
}

// refused checks a refusal of an order, which was valid when it was made.
func (w *World) refused(i *instance, o *order, code answerCode) {
	if o.acknowledged {
		w.fail(ruleRefused, "%s refuses %s (%d), which was acknowledged", i.address, o.name, code)
	}
	if code == codeBad {
		w.fail(ruleRefused, "%s refuses the valid order %s on %d", i.address, o.name, o.base)
	}
}

// checkAnswered: an instance has answered a call that came at a time with more than 503. Apart is since when it can't
// have decided that with the others.
func (w *World) checkAnswered(i *instance, came, apart time.Duration, what string) {
	if apart != never && came >= apart {
		w.fail(ruleMajority, "%s answers %s, out of touch with a majority for %v", i.address, what, w.Now()-apart)
	}
}

// checkClaim holds what a process believes to be confirmed against the truth.
func (w *World) checkClaim(who string, confirmedAt time.Duration, generation int64) {
	if confirmedAt > w.Now()+rounding {
		w.fail(ruleConfirmed, "%s has a proof of %v from now", who, confirmedAt-w.Now())
	}
	if newest := w.truth.newestBefore(confirmedAt - rounding); newest > generation {
		w.fail(ruleConfirmed, "%s has version %d and a proof of %.3f s, before which %d was acknowledged",
			who, generation, confirmedAt.Seconds(), newest)
	}
}

// checkStanding holds what an instance states to a router against the truth.
func (w *World) checkStanding(i *instance, message any) {
	var standing protocol.FreshnessProof
	var generation int64
	switch m := message.(type) {
	case *protocol.Update:
		standing, generation = m.Freshness, m.Generation
	case *protocol.Beacon:
		standing, generation = m.Freshness, m.Generation
	case *protocol.ProbeReply:
		standing, generation = m.Freshness, m.Generation
	}
	if standing.HasMajorityContact {
		w.checkClaim(i.address+" tells that it", w.Now()-standing.MajorityContactAge, generation)
	}
}

// checkContent holds the content of a version against the order that was acknowledged.
func (w *World) checkContent(who string, content *configuration.Configuration) {
	o := w.truth.byNumber[content.Generation]
	if o != nil && (len(content.Services) != 1 || content.Services[0].Name != o.name) {
		w.fail(ruleContent, "%s has another version %d than %s", who, content.Generation, o.name)
	}
}

// checkInstance looks at what the replica has just published.
func (w *World) checkInstance(i *instance) {
	if epoch := i.status.View.Epoch; epoch > w.truth.epoch {
		w.truth.epoch = epoch
		w.observe()
	}
	if i.status.ConfirmedAt.IsZero() {
		return
	}
	confirmed := i.worldTime(i.status.ConfirmedAt)
	generation, _ := i.newest()
	w.checkClaim(i.address, confirmed, generation)
	if i.deafSince != never && confirmed > i.deafSince+rounding {
		w.fail(ruleConfirmed, "%s has a proof of %.3f s, has heard nobody since %.3f s",
			i.address, confirmed.Seconds(), i.deafSince.Seconds())
	}
}

// acted notes that an instance acts in the single roles.
func (w *World) acted(by *instance) {
	for _, other := range w.instances {
		if other != by && other.acts() {
			w.fail(ruleHolder, "%s acts beside %s", by.address, other.address)
		}
	}
	acts := w.truth.acts
	if last := len(acts) - 1; last >= 0 && acts[last].by == by {
		acts[last].at = w.Now()
		return
	}
	for _, earlier := range acts {
		if earlier.by == by && w.Now()-earlier.at < lease {
			w.fail(ruleHolder, "%s acts %v after its last act, another one between", by.address, w.Now()-earlier.at)
		}
	}
	w.tracef("%s acts", by.address)
	w.truth.acts = append(acts, act{at: w.Now(), by: by})
}

// checkRouters holds each router against what must be in force there by now.
func (w *World) checkRouters() {
	now := w.Now()
	w.checkProofs()
	for _, r := range w.routers {
		if !r.running || r.frozen {
			continue
		}
		inTouch := w.inTouch(r)
		if newest := w.truth.newestBefore(now - configBound); inTouch && r.generation < newest {
			w.fail(ruleStale, "%s has version %d in force, %d was acknowledged over %v ago",
				r.address, r.generation, newest, configBound)
		}
		w.checkOuter(r)
		if !inTouch {
			continue
		}
		w.truth.count(w.instances)
		for _, e := range w.endpoints {
			if at, drained := w.truth.drained[e.id]; drained && now > at+drainBound && r.table.eligible(e.id) {
				w.fail(ruleDrain, "%s sends to %s, acknowledged as leaving %v ago", r.address, e.id, now-at)
			}
		}
	}
}

// checkProofs: in calm times every instance has a proof that is young.
func (w *World) checkProofs() {
	const young = min(configBound, drainBound) / 2
	if w.truth.major == never || w.Now()-max(w.coreTrouble(), w.network.badAt, w.network.coreAt) < liveness {
		return
	}
	for _, i := range w.instances {
		if i.status.ConfirmedAt.IsZero() || !i.major || i.apartSince != never || len(w.network.cuts) > 0 || w.network.badAt == never {
			continue
		}
		if age := w.Now() - i.worldTime(i.status.ConfirmedAt); age > young {
			w.fail(ruleFresh, "%s has a proof that is %v old", i.address, age)
		}
	}
}

// checkOuter: trouble among the instances stretches the bound, as long as more than half of them are connected.
func (w *World) checkOuter(r *router) {
	const stretched = configBound + partitionBound
	since := max(r.trouble, r.pathSince, w.truth.major, w.network.badAt)
	if since == never || w.Now()-since < stretched {
		return
	}
	if newest := w.truth.newestBefore(w.Now() - stretched); r.generation < newest {
		w.fail(ruleStale, "%s has version %d in force, %d was acknowledged over %v ago",
			r.address, r.generation, newest, stretched)
	}
}
