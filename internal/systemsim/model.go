package systemsim

import (
	"math"
	"slices"
	"time"
)

// never is later than all times of a history.
const never = time.Duration(math.MaxInt64)

// model is what really happened, to hold the processes against.
type model struct {
	acks           []acknowledgement // of versions, in the order of time
	byBase         map[int64]*change // acknowledged
	byNumber       map[int64]*change
	drained        map[string]time.Duration // by endpoint: when its draining or leaving was acknowledged to it
	roleActions    []roleAction
	epoch          uint64        // newest that any instance has entered
	checks         int           // at routers in touch
	checksIsolated int           // of these, while an instance was out of touch with a majority
	majoritySince  time.Duration // since when the instances are stable; never: they are not
}

// ack: a version's acknowledgement has left an instance; newest is the highest so far.
type acknowledgement struct {
	at     time.Duration
	newest int64
}

// act: an instance has acted in the single roles.
type roleAction struct {
	at time.Duration
	by *instance
}

func newModel() model {
	return model{
		byBase: make(map[int64]*change), byNumber: make(map[int64]*change),
		drained: make(map[string]time.Duration), majoritySince: never,
	}
}

// newestBefore is the highest version whose acknowledgement left an instance before a time.
func (t *model) newestBefore(at time.Duration) int64 {
	for i := len(t.acks) - 1; i >= 0; i-- {
		if t.acks[i].at < at {
			return t.acks[i].newest
		}
	}
	return 0
}

// countCheck notes that a router was held against the truth while in touch.
func (t *model) countCheck(instances []*instance) {
	t.checks++
	if slices.ContainsFunc(instances, func(i *instance) bool { return i.isolatedSince != never }) {
		t.checksIsolated++
	}
}

// recordAcknowledgement notes that an instance acknowledges an order.
func (w *World) recordAcknowledgement(i *instance, o *change, generation int64) {
	t := &w.model
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
	t.acks = append(t.acks, acknowledgement{at: w.Now(), newest: newest})
}

// recordRoleAction notes that an instance acts in the single roles.
func (w *World) recordRoleAction(by *instance) {
	for _, other := range w.instances {
		if other != by && other.mayAct() {
			w.fail(ruleLeader, "%s acts beside %s", by.address, other.address)
		}
	}
	acts := w.model.roleActions
	if last := len(acts) - 1; last >= 0 && acts[last].by == by {
		acts[last].at = w.Now()
		return
	}
	for _, earlier := range acts {
		if earlier.by == by && w.Now()-earlier.at < lease {
			w.fail(ruleLeader, "%s acts %v after its last act, another one between", by.address, w.Now()-earlier.at)
		}
	}
	w.tracef("%s acts", by.address)
	w.model.roleActions = append(acts, roleAction{at: w.Now(), by: by})
}

func (w *World) recordDrain(e *endpoint) {
	if _, before := w.model.drained[e.id]; !before {
		w.tracef("%s is acknowledged as leaving", e.id)
		w.model.drained[e.id] = w.Now()
	}
}
