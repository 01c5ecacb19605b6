package placer

import (
	"slices"
	"strings"
	"time"

	"raventrestle/internal/protocol"
)

// Times within which an endpoint's knowledge is refreshed.
const (
	lookAgain     = 300 * time.Millisecond // a look is asked again when no answer came or it told nothing new
	firstLook     = 120 * time.Millisecond // after an order: a report is about 100 ms old
	adapterTime   = 200 * time.Millisecond // an adapter arrives within some ms, and a heartbeat says so
	adapterLate   = time.Second            // without one it is taken as there
	answerTime    = 3 * time.Second        // an order without a result for so long has none
	doubtTime     = time.Second            // an order without an answer may still arrive for so long
	refusedPause  = 300 * time.Millisecond // after 409
	invalidPause  = 2 * time.Second        // after another 4xx
	settleTime    = 15 * time.Second       // without looks: an earlier holder's order is over by then
	settleBeats   = 2                      // without looks: heartbeats that must have followed
	goneBeats     = 2                      // heartbeats without the model after an unload's answer, one may be older
	forgetBeats   = 4                      // heartbeats without a model that nobody unloaded
	loadLate      = 3                      // an unanswered load is over after so many load times
	dragTime      = 700 * time.Millisecond // an unload that lasts longer waits for runs
	decidedWithin = 4 * time.Second        // a plan that could not begin for so long is decided anew
)

// phase says how far an order is.
type phase uint8

const (
	sent    phase = iota // no result yet
	running              // accepted
	doubted              // no answer: it may have been taken
)

// pending is the one order that an endpoint may be carrying out.
type pending struct {
	order    Order
	phase    phase
	issued   time.Time
	answered time.Time
	sequence uint64 // of the newest heartbeat when it was answered
	expected time.Time
	shown    bool // a heartbeat showed the effect before the answer came
	seen     bool // of an adapter to be unloaded: a heartbeat had shown it
}

// copyOf is a model in an endpoint's memory.
type copyOf struct {
	model    string
	adapters []string // sorted
	since    time.Time
	missing  int                  // heartbeats in a row that did not show it
	seen     bool                 // a heartbeat showed it: one without it is newer than its end
	told     []string             // its adapters in the newest heartbeat that showed it
	came     map[string]time.Time // when its adapters came, where that was seen
}

// plan is what is to become of an endpoint in several orders: victims make way, then the target is loaded.
type plan struct {
	target  string
	victims []string
	decided time.Time
	touched time.Time // when its last order was sent
	score   float64
	reason  string
}

// endpoint is what the placer believes of one endpoint. It errs on the side of less room: copies holds everything
// that may be there, pending what may be arriving.
type endpoint struct {
	protocol.Endpoint
	copies     []copyOf // sorted by model
	pending    *pending
	plan       *plan
	firstSeen  time.Time
	beats      int // heartbeats seen
	revision   uint64
	known      bool // revision and copies are exact, but for pending
	settled    bool // without looks: nobody else's order can be under way
	lookAt     time.Time
	looking    bool
	pauseUntil time.Time
	held       map[string]bool // models this incarnation has surely held: its own disk has them
	used       float64         // share of its time in use, as estimated
	kept       reservation     // a place for an adapter
}

func (e *endpoint) live() bool { return e.State == protocol.Ready }

func (e *endpoint) find(model string) *copyOf {
	for i := range e.copies {
		if e.copies[i].model == model {
			return &e.copies[i]
		}
	}
	return nil
}

func (e *endpoint) add(model string, now time.Time) *copyOf {
	if found := e.find(model); found != nil {
		return found
	}
	e.copies = append(e.copies, copyOf{model: model, since: now})
	slices.SortFunc(e.copies, func(a, b copyOf) int { return strings.Compare(a.model, b.model) })
	e.held[model] = true
	return e.find(model)
}

func (e *endpoint) remove(model string) {
	e.copies = slices.DeleteFunc(e.copies, func(c copyOf) bool { return c.model == model })
}

func (c *copyOf) has(adapter string) bool { return slices.Contains(c.adapters, adapter) }

func (c *copyOf) addAdapter(adapter string) {
	if c.has(adapter) {
		return
	}
	c.adapters = append(c.adapters, adapter)
	slices.Sort(c.adapters)
}

func (c *copyOf) arrived(adapter string, now time.Time) {
	if c.came == nil {
		c.came = map[string]time.Time{}
	}
	c.came[adapter] = now
}

// adapterSince is when the adapter came, zero if it was always there.
func (c *copyOf) adapterSince(adapter string) time.Time { return c.came[adapter] }

func (c *copyOf) removeAdapter(adapter string) {
	c.adapters = slices.DeleteFunc(c.adapters, func(a string) bool { return a == adapter })
}

// serves tells whether requests for the model can go there now or after a load that is under way.
func (e *endpoint) serves(model string) bool {
	if !e.live() {
		return false
	}
	if e.leaving(model) {
		return false
	}
	return e.find(model) != nil || e.arriving(model)
}

// offers tells whether the endpoint has the model and keeps it.
func (e *endpoint) offers(model string) bool {
	return e.live() && e.find(model) != nil && !e.leaving(model)
}

// arriving tells whether the model is being loaded or is the target of a plan.
func (e *endpoint) arriving(model string) bool {
	if e.plan != nil && e.plan.target == model {
		return true
	}
	return e.pending != nil && !e.pending.order.Unload && e.pending.order.Model == model && e.pending.order.Adapter == ""
}

// drags tells that an unload of the endpoint's plan waits for runs: another place may be sooner.
func (e *endpoint) drags(now time.Time) bool {
	return e.plan != nil && e.pending != nil && e.pending.order.Unload && now.Sub(e.pending.issued) > dragTime
}

// leaving tells whether the model is being unloaded or is a victim of a plan.
func (e *endpoint) leaving(model string) bool {
	if e.plan != nil && slices.Contains(e.plan.victims, model) {
		return true
	}
	return e.pending != nil && e.pending.order.Unload && e.pending.order.Model == model && e.pending.order.Adapter == ""
}

// beat takes a registration that is newer than the last one.
func (e *endpoint) beat(now time.Time, told protocol.Endpoint) {
	newer := told.Sequence > e.Sequence || e.beats == 0
	e.Endpoint = told
	if !newer {
		return
	}
	e.beats++
	for _, model := range told.Models {
		e.sees(now, model)
	}
	for i := range e.copies {
		e.copies[i].missing++
		if slices.ContainsFunc(told.Models, func(m protocol.LoadedModel) bool { return m.Name == e.copies[i].model }) {
			e.copies[i].missing = 0
		}
	}
	e.finishByBeat(now, told)
	e.forget(now)
}

// sees takes in that the model is there.
func (e *endpoint) sees(now time.Time, told protocol.LoadedModel) {
	if e.find(told.Name) == nil {
		if e.beats > 1 && !e.arriving(told.Name) {
			e.doubts(now)
		}
		e.add(told.Name, now)
	}
	found := e.find(told.Name)
	found.seen, found.told = true, told.Adapters
	for _, adapter := range told.Adapters {
		found.addAdapter(adapter)
	}
	order := e.pending
	if order == nil || order.order.Unload || order.order.Model != told.Name {
		return
	}
	if order.order.Adapter == "" || slices.Contains(told.Adapters, order.order.Adapter) {
		e.shows(now)
	}
}

// shows takes in that a heartbeat shows the pending order's effect. An answer that is still to come counts in the
// revision, so the order is not over before it.
func (e *endpoint) shows(now time.Time) {
	if e.pending.phase == sent {
		e.pending.shown = true
		return
	}
	e.done(now)
}

// finishByBeat ends an unload that a heartbeat shows as done.
func (e *endpoint) finishByBeat(now time.Time, told protocol.Endpoint) {
	order := e.pending
	if order == nil || !order.order.Unload {
		return
	}
	at := slices.IndexFunc(told.Models, func(m protocol.LoadedModel) bool { return m.Name == order.order.Model })
	if order.order.Adapter != "" {
		if at >= 0 && !slices.Contains(told.Models[at].Adapters, order.order.Adapter) && order.seen {
			e.shows(now)
		}
		return
	}
	found := e.find(order.order.Model)
	if found == nil || (at < 0 && (found.seen || (order.phase != sent && told.Sequence >= order.sequence+goneBeats))) {
		e.shows(now)
	}
}

// forget drops copies that several heartbeats in a row did not show.
func (e *endpoint) forget(now time.Time) {
	for _, c := range slices.Clone(e.copies) {
		if c.missing >= forgetBeats && (e.pending == nil || e.pending.order.Model != c.model) {
			e.remove(c.model)
			e.doubts(now)
		}
	}
}

// done ends the pending order: its effect is there.
func (e *endpoint) done(now time.Time) {
	order := e.pending.order
	e.pending = nil
	if e.known {
		e.lookAt = time.Time{} // nothing is left to ask
	}
	switch {
	case order.Adapter == "" && order.Unload:
		e.remove(order.Model)
	case order.Adapter == "":
		e.add(order.Model, now).since = now
	case order.Unload:
		if found := e.find(order.Model); found != nil {
			found.removeAdapter(order.Adapter)
		}
	default:
		if found := e.find(order.Model); found != nil {
			found.addAdapter(order.Adapter)
			found.arrived(order.Adapter, now)
		}
	}
}

// doubts gives up exact knowledge until the next look.
func (e *endpoint) doubts(now time.Time) {
	e.known = false
	e.lookAt = now
}

// look takes the endpoint's own report.
func (e *endpoint) look(now time.Time, told Inspection) {
	e.looking = false
	e.lookAt = now.Add(lookAgain)
	if told.Failed || (e.pending != nil && e.pending.phase == sent) {
		return
	}
	if e.known && told.Revision < e.revision {
		return // older than an order that was taken
	}
	order := e.pending
	if order != nil && order.phase == doubted && told.Revision == e.revision && now.Sub(order.answered) < doubtTime {
		return // may still arrive
	}
	for _, model := range told.Models {
		e.add(model.Name, now)
	}
	if told.Busy {
		return
	}
	e.adopt(now, told)
}

// adopt takes a report without an order under way as the truth.
func (e *endpoint) adopt(now time.Time, told Inspection) {
	e.pending = nil
	e.known = true
	e.revision = told.Revision
	e.lookAt = time.Time{}
	before := e.copies
	e.copies = nil
	for _, model := range told.Models {
		found := e.add(model.Name, now)
		for _, old := range before {
			if old.model == model.Name {
				found.since, found.seen, found.told, found.came = old.since, old.seen, old.told, old.came
			}
		}
		for _, adapter := range model.Adapters {
			found.addAdapter(adapter)
		}
	}
}
