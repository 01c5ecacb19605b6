package systemsim

import (
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// Rules, by the names that violations and the flag -rules use.
const (
	ruleConfirmed = "confirmed age"
	ruleStale     = "staleness"
	ruleMonotone  = "monotone versions"
	ruleOneBase   = "one change on a base"
	ruleRejected  = "acknowledged change rejected"
	ruleContent   = "content of a version"
	ruleDrain     = "drain bound"
	ruleLeader    = "one leader"
	ruleMajority  = "no majority, no answer"
	ruleReadBack  = "read back"
	ruleFresh     = "fresh proof"
	ruleBusy      = "busy loop"
)

// checkRejection checks the rejection of a change, all of which are valid when they are made.
func (w *World) checkRejection(i *instance, c *change, code answerCode) {
	if c.acknowledged {
		w.fail(ruleRejected, "%s rejects %s (%d), which was acknowledged", i.address, c.name, code)
	}
	if code == codeInvalid {
		w.fail(ruleRejected, "%s rejects the valid change %s on %d", i.address, c.name, c.base)
	}
}

// checkAnswered checks an answer other than 503 to a call that arrived at a time. The instance can't have decided it with
// the others if it has been isolated since before that; never: it has not been.
func (w *World) checkAnswered(i *instance, arrivedAt, isolatedSince time.Duration, what string) {
	if isolatedSince != never && arrivedAt >= isolatedSince {
		w.fail(ruleMajority, "%s answers %s, without a majority for %v", i.address, what, w.Now()-isolatedSince)
	}
}

// checkClaim checks what a process takes to be confirmed: its version must be as new as all that were acknowledged before
// the time of its proof.
func (w *World) checkClaim(who string, confirmedAt time.Duration, generation int64) {
	if confirmedAt > w.Now()+roundingTolerance {
		w.fail(ruleConfirmed, "%s has a proof of %v from now", who, confirmedAt-w.Now())
	}
	if newest := w.model.newestBefore(confirmedAt - roundingTolerance); newest > generation {
		w.fail(ruleConfirmed, "%s has version %d and a proof of %.3f s, before which %d was acknowledged",
			who, generation, confirmedAt.Seconds(), newest)
	}
}

// checkStanding checks the proof of freshness that an instance sends to a router.
func (w *World) checkStanding(i *instance, message any) {
	var proof protocol.FreshnessProof
	var generation int64
	switch m := message.(type) {
	case *protocol.Update:
		proof, generation = m.Freshness, m.Generation
	case *protocol.Beacon:
		proof, generation = m.Freshness, m.Generation
	case *protocol.ProbeReply:
		proof, generation = m.Freshness, m.Generation
	}
	if proof.HasMajorityContact {
		w.checkClaim(i.address+" states that it", w.Now()-proof.MajorityContactAge, generation)
	}
}

// checkContent checks that a version has the content of the change that was acknowledged as it.
func (w *World) checkContent(who string, content *configuration.Configuration) {
	c := w.model.byNumber[content.Generation]
	if c != nil && (len(content.Services) != 1 || content.Services[0].Name != c.name) {
		w.fail(ruleContent, "%s has another version %d than that of %s", who, content.Generation, c.name)
	}
}

// checkInstance checks the status that the replica has just published.
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
		w.fail(ruleConfirmed, "%s has a proof of %.3f s, but has received nothing since %.3f s",
			i.address, confirmed.Seconds(), i.hearsNobodySince.Seconds())
	}
}

// checkRouters checks what each router has in force.
func (w *World) checkRouters() {
	now := w.Now()
	w.checkProofs()
	for _, r := range w.routers {
		if !r.running || r.frozen {
			continue
		}
		bound := w.isBound(r)
		if newest := w.model.newestBefore(now - configBound); bound && r.generation < newest {
			w.fail(ruleStale, "%s has version %d in force, %d was acknowledged over %v ago",
				r.address, r.generation, newest, configBound)
		}
		w.checkWithFaults(r)
		if !bound {
			continue
		}
		w.model.countCheck(w.instances)
		for _, e := range w.endpoints {
			if at, drained := w.model.drained[e.id]; drained && now > at+drainBound && r.table.eligible(e.id) {
				w.fail(ruleDrain, "%s may send to %s, whose drain was acknowledged %v ago", r.address, e.id, now-at)
			}
		}
	}
}

// checkProofs checks that, some time after the newest fault, the proof of each connected instance is young.
func (w *World) checkProofs() {
	const maxAge = min(configBound, drainBound) / 2
	newestFault := max(w.newestInstanceFault(), w.network.degradedAt, w.network.instanceLinksAt)
	if w.model.majoritySince == never || w.Now()-newestFault < livenessBound {
		return
	}
	if len(w.network.blocked) > 0 || w.network.degradedAt == never {
		return
	}
	for _, i := range w.instances {
		if i.status.ConfirmedAt.IsZero() || !i.reachesMajority || i.isolatedSince != never {
			continue
		}
		if age := w.Now() - i.worldTime(i.status.ConfirmedAt); age > maxAge {
			w.fail(ruleFresh, "%s has a proof that is %v old", i.address, age)
		}
	}
}

// checkWithFaults checks the longer bound that holds during faults among the instances, as long as more than half of them
// are connected.
func (w *World) checkWithFaults(r *router) {
	const extendedBound = configBound + partitionBound
	since := max(r.faultAt, r.pathSince, w.model.majoritySince, w.network.degradedAt)
	if since == never || w.Now()-since < extendedBound {
		return
	}
	if newest := w.model.newestBefore(w.Now() - extendedBound); r.generation < newest {
		w.fail(ruleStale, "%s has version %d in force, %d was acknowledged over %v ago",
			r.address, r.generation, newest, extendedBound)
	}
}
