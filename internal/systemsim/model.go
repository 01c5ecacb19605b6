package systemsim

import (
	"math"
	"slices"
	"time"
)

// never is later than all times of a history.
const never = time.Duration(math.MaxInt64)

// model is the reference: what really happened, by which the processes are checked.
type model struct {
	acks           []acknowledgement // of versions, in the order of time
	byBase         map[int64]*change // acknowledged
	byNumber       map[int64]*change
	drained        map[string]time.Duration // by endpoint: when its drain or deregistration was acknowledged to it
	roleActions    []roleAction
	epoch          uint64        // newest that any instance has entered
	checks         int           // of routers that were bound: see isBound
	checksIsolated int           // of these, while an instance was isolated
	majoritySince  time.Duration // since when the instances are stable; never: they are not
}

// acknowledgement is the moment at which a version's acknowledgement left an instance.
type acknowledgement struct {
	at     time.Duration
	newest int64 // highest version acknowledged by then
}

// roleAction is the newest moment at which an instance acted in the singleton roles.
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

// newestBefore returns the highest version whose acknowledgement left an instance before a time.
func (m *model) newestBefore(at time.Duration) int64 {
	for i := len(m.acks) - 1; i >= 0; i-- {
		if m.acks[i].at < at {
			return m.acks[i].newest
		}
	}
	return 0
}

// countCheck counts a check of a router that was bound.
func (m *model) countCheck(instances []*instance) {
	m.checks++
	if slices.ContainsFunc(instances, func(i *instance) bool { return i.isolatedSince != never }) {
		m.checksIsolated++
	}
}

// recordAcknowledgement records that an instance acknowledges a change, and checks that it may.
func (w *World) recordAcknowledgement(i *instance, c *change, generation int64) {
	m := &w.model
	w.tracef("%s acknowledges version %d on %d of %s", i.address, generation, c.base, c.name)
	if generation != c.generation {
		w.fail(ruleContent, "change %s to version %d is acknowledged as %d", c.name, c.generation, generation)
	}
	if other := m.byBase[c.base]; other != nil && other != c {
		w.fail(ruleOneBase, "%s and %s on version %d are both acknowledged", other.name, c.name, c.base)
	}
	if other := m.byNumber[generation]; other != nil && other != c {
		w.fail(ruleOneBase, "%s and %s are both acknowledged as version %d", other.name, c.name, generation)
	}
	c.acknowledged = true
	m.byBase[c.base], m.byNumber[generation] = c, c
	newest := generation
	if len(m.acks) > 0 {
		newest = max(newest, m.acks[len(m.acks)-1].newest)
	}
	m.acks = append(m.acks, acknowledgement{at: w.Now(), newest: newest})
	if w.observeVersion != nil {
		w.observeVersion(c)
	}
}

// recordRoleAction records that an instance acts in the singleton roles, and checks that no other one may.
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

// recordDrain records that an endpoint got the acknowledgement of its drain or deregistration.
func (w *World) recordDrain(e *endpoint) {
	if _, before := w.model.drained[e.id]; !before {
		w.tracef("the drain of %s is acknowledged", e.id)
		w.model.drained[e.id] = w.Now()
		if w.observeDrain != nil {
			w.observeDrain(e)
		}
	}
}
