package systemsim

import (
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// The rules, as a broken one is told.
const (
	ruleConfirmed = "confirmed age"
	ruleStale     = "staleness"
	ruleMonotone  = "monotone versions"
	ruleOneBase   = "one change on a base"
	ruleRejected  = "acknowledged order refused"
	ruleContent   = "content of a version"
	ruleDrain     = "drain bound"
	ruleLeader    = "one holder"
	ruleMajority  = "no majority, no answer"
	ruleReadBack  = "read back"
	ruleFresh     = "fresh proof"
	ruleBusy      = "busy loop"
)

// checkRejection checks a refusal of an order, which was valid when it was made.
func (w *World) checkRejection(i *instance, o *change, code answerCode) {
	if o.acknowledged {
		w.fail(ruleRejected, "%s refuses %s (%d), which was acknowledged", i.address, o.name, code)
	}
	if code == codeInvalid {
		w.fail(ruleRejected, "%s refuses the valid order %s on %d", i.address, o.name, o.base)
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
	if confirmedAt > w.Now()+roundingTolerance {
		w.fail(ruleConfirmed, "%s has a proof of %v from now", who, confirmedAt-w.Now())
	}
	if newest := w.model.newestBefore(confirmedAt - roundingTolerance); newest > generation {
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
	o := w.model.byNumber[content.Generation]
	if o != nil && (len(content.Services) != 1 || content.Services[0].Name != o.name) {
		w.fail(ruleContent, "%s has another version %d than %s", who, content.Generation, o.name)
	}
}

// checkInstance looks at what the replica has just published.
func (w *World) checkInstance(i *instance) {
	if epoch := i.status.View.Epoch; epoch > w.model.epoch {
		w.model.epoch = epoch
		w.observeConnectivity()
	}
	if i.status.ConfirmedAt.IsZero() {
		return
	}
	confirmed := i.worldTime(i.status.ConfirmedAt)
	generation, _ := i.newest()
	w.checkClaim(i.address, confirmed, generation)
	if i.hearsNobodySince != never && confirmed > i.hearsNobodySince+roundingTolerance {
		w.fail(ruleConfirmed, "%s has a proof of %.3f s, has heard nobody since %.3f s",
			i.address, confirmed.Seconds(), i.hearsNobodySince.Seconds())
	}
}

// checkRouters holds each router against what must be in force there by now.
func (w *World) checkRouters() {
	now := w.Now()
	w.checkProofs()
	for _, r := range w.routers {
		if !r.running || r.frozen {
			continue
		}
		inTouch := w.isBound(r)
		if newest := w.model.newestBefore(now - configBound); inTouch && r.generation < newest {
			w.fail(ruleStale, "%s has version %d in force, %d was acknowledged over %v ago",
				r.address, r.generation, newest, configBound)
		}
		w.checkOuter(r)
		if !inTouch {
			continue
		}
		w.model.countCheck(w.instances)
		for _, e := range w.endpoints {
			if at, drained := w.model.drained[e.id]; drained && now > at+drainBound && r.table.eligible(e.id) {
				w.fail(ruleDrain, "%s sends to %s, acknowledged as leaving %v ago", r.address, e.id, now-at)
			}
		}
	}
}

// checkProofs: in calm times every instance has a proof that is young.
func (w *World) checkProofs() {
	const young = min(configBound, drainBound) / 2
	if w.model.majoritySince == never || w.Now()-max(w.newestInstanceFault(), w.network.degradedAt, w.network.instanceLinksAt) < livenessBound {
		return
	}
	for _, i := range w.instances {
		if i.status.ConfirmedAt.IsZero() || !i.reachesMajority || i.isolatedSince != never || len(w.network.blocked) > 0 || w.network.degradedAt == never {
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
	since := max(r.faultAt, r.pathSince, w.model.majoritySince, w.network.degradedAt)
	if since == never || w.Now()-since < stretched {
		return
	}
	if newest := w.model.newestBefore(w.Now() - stretched); r.generation < newest {
		w.fail(ruleStale, "%s has version %d in force, %d was acknowledged over %v ago",
			r.address, r.generation, newest, stretched)
	}
}
