package virtual

import (
	"fmt"
	"slices"
	"time"

	"raventrestle"
	"raventrestle/internal/config"
	"raventrestle/internal/emulator"
	"raventrestle/internal/emulator/model"
)

// courier is the host of a module: it carries out what the module decides, and decides nothing.
type courier struct {
	w        *world
	n        int
	set      raventrestle.Settings
	names    *config.Names
	journal  map[string]*record // what is owed, across lives
	order    []string           // of the journal
	module   Decider
	up       bool
	draining bool
	life     int
	steps    int
	mail     []raventrestle.Event
	stepAt   time.Time // of the step that is due, zero if none is
	last     time.Time // step
	wake     time.Time
	out      []*call
}

// record is what the journal has of a message.
type record struct {
	id    string
	msg   *emulator.Message
	class int
	ci    *emulator.ClassSpec
	sends int
	out   *try // begun, with no word of its end
	ran   *try // the first that may have run
	owed  *end // ended, and the platform has not heard of it yet
}

type try struct {
	peer raventrestle.TargetID
	at   time.Time
}

type end struct {
	status string
	after  time.Duration
}

// call is one call under way.
type call struct {
	to       *endpoint
	tries    []raventrestle.Send
	numbers  map[raventrestle.MessageID]int // try's number in its message's life
	began    time.Time
	open     map[raventrestle.MessageID]bool // no outcome yet
	arrived  map[raventrestle.MessageID]int  // number in the ledger, of those that have come
	answered bool                            // its connection has ended, or its answer is written
	conn     bool                            // it has a connection
}

func newCourier(w *world, n int) (*courier, error) {
	set, names, err := w.settings(n)
	if err != nil {
		return nil, err
	}
	return &courier{w: w, n: n, set: set, names: names, journal: map[string]*record{}}, nil
}

// clock is the module's.
func (c *courier) clock() time.Duration { return time.Duration(c.w.now.UnixNano()) }

// start begins a life; it is ready some time later.
func (c *courier) start() {
	w := c.w
	w.after(w.costs.Start, func() {
		if c.up { // two restarts of it overlap
			return
		}
		m, err := w.make(c.n, c.set, 0x9e3779b97f4a7c15+uint64(c.n))
		if err != nil {
			w.err = fmt.Errorf("virtual: n%d: %w", c.n, err)
			return
		}
		c.life++
		c.module, c.up, c.draining, c.mail, c.wake, c.last, c.stepAt = m, true, false, nil, time.Time{}, time.Time{}, time.Time{}
		for _, ch := range w.order {
			for _, e := range ch.Endpoints {
				e.ClearWaits(c.n)
			}
		}
		w.ledger.CourierReady(c.n, w.now)
		w.front.Up(c.n)
		c.post(c.listing(raventrestle.ListCached))
		for _, id := range slices.Clone(c.order) {
			r := c.journal[id]
			if r.owed != nil {
				c.told(r)
				continue
			}
			back := raventrestle.Restored{Arrival: c.arrival(r, false), Attempts: r.sends}
			ran := r.ran
			if ran == nil {
				ran = r.out
			} else {
				back.AttemptFailed = true
			}
			if ran != nil {
				back.MayHaveRun, back.RunTarget, back.RunAt = true, ran.peer, time.Duration(ran.at.UnixNano())
				back.RunZone = config.Index(c.names.Zones, w.ends[ran.peer].Floor)
			}
			c.post(back)
		}
	})
}

// kill ends the life at once: connections are reset, what is not in the journal is gone.
func (c *courier) kill() {
	if !c.up {
		return
	}
	c.up, c.module = false, nil
	c.life++
	c.w.ledger.CourierEnded(c.n, c.w.now)
	c.w.front.Down(c.n, c.w.now)
	c.dropCalls()
}

func (c *courier) dropCalls() {
	for _, x := range c.out {
		c.hangUp(x)
	}
	c.out = nil
	for _, ch := range c.w.order {
		for _, m := range ch.Endpoints {
			e := c.w.ends[raventrestle.TargetID(m.Name)]
			e.conns -= len(e.pools[c.n].idle)
			e.pools[c.n].idle = nil
		}
	}
}

// term ends the life by SIGTERM: nothing new is taken on, and it ends when it owes nothing, or after
// its last word; the next one starts after the time down.
func (c *courier) term(down time.Duration) {
	w, life := c.w, c.life
	if !c.up {
		return
	}
	c.draining = true
	w.ledger.CourierEnded(c.n, w.now)
	w.front.Down(c.n, w.now)
	last := w.now.Add(w.costs.Last)
	c.post(raventrestle.Shutdown{At: time.Duration(last.UnixNano())})
	const look = 20 * time.Millisecond
	var quiet func()
	quiet = func() {
		if c.life != life {
			return
		}
		if len(c.journal) > 0 && w.now.Before(last) {
			w.after(look, quiet)
			return
		}
		c.up, c.module = false, nil
		c.life++
		c.dropCalls()
		w.after(down, c.start)
	}
	w.after(700*time.Millisecond, quiet)
}

func (c *courier) listing(how raventrestle.ListKind) raventrestle.ListUpdate {
	l := raventrestle.ListUpdate{Kind: how}
	for _, ch := range c.w.order {
		for _, e := range ch.Endpoints {
			state := c.w.state(e.Name)
			if state == raventrestle.Removed {
				continue
			}
			l.Entries = append(l.Entries, c.entry(ch, e, state))
			if state != raventrestle.Ready {
				e.NoteDraining(c.n, c.w.now)
			}
		}
	}
	return l
}

func (c *courier) entry(ch *model.Channel, e *model.Endpoint, state raventrestle.Readiness) raventrestle.Entry {
	return raventrestle.Entry{
		Target: raventrestle.TargetID(e.Name), Dest: raventrestle.DestID(ch.Dest), State: state,
		Kind: config.Index(c.names.Kinds, ch.Kind), Zone: config.Index(c.names.Zones, e.Floor),
	}
}

// tell tells the courier of a change of the list.
func (c *courier) tell(endpoint string, state raventrestle.Readiness) {
	for _, ch := range c.w.order {
		for _, e := range ch.Endpoints {
			if e.Name != endpoint {
				continue
			}
			if state == raventrestle.Ready {
				e.NoteServing(c.n)
			} else {
				e.NoteDraining(c.n, c.w.now)
			}
			c.post(raventrestle.ListUpdate{Kind: raventrestle.ListChanges, Entries: []raventrestle.Entry{c.entry(ch, e, state)}})
		}
	}
}

// submit is a client's request: taken on once the journal has it, unless the courier holds all it may.
func (c *courier) submit(m *emulator.Message, id string, class *emulator.ClassSpec, try int, answer func(int)) {
	w := c.w
	switch {
	case !c.up:
		answer(0)
		return
	case c.draining || len(c.journal) >= c.set.MaxMessages:
		w.after(w.costs.Hop, func() { answer(503) })
		return
	}
	r := &record{id: id, msg: m, ci: class, class: config.Index(c.names.Classes, class.Name)}
	c.journal[id] = r
	c.order = append(c.order, id)
	life := c.life
	w.after(w.costs.Write, func() {
		if c.life != life { // its client heard nothing, and the next life drops it
			c.forget(id)
			answer(0)
			return
		}
		answer(202)
		c.post(c.arrival(r, try > 0))
	})
}

func (c *courier) arrival(r *record, again bool) raventrestle.Arrival {
	return raventrestle.Arrival{
		ID: raventrestle.MessageID(r.id), Class: r.class, Tenant: config.Index(c.names.Tenants, r.msg.Tenant),
		Dest: raventrestle.DestID(r.msg.Dest), Budget: r.msg.Deadline.Sub(c.w.now), Resubmitted: again,
	}
}

func (c *courier) forget(id string) {
	if c.journal[id] != nil {
		delete(c.journal, id)
		c.order = slices.Delete(c.order, slices.Index(c.order, id), slices.Index(c.order, id)+1)
	}
}

// post puts an event into the module's mailbox; a step takes all that has come, the module's least
// time after the last.
func (c *courier) post(e raventrestle.Event) {
	if c.up {
		c.mail = append(c.mail, e)
		c.stepBy(c.w.now)
	}
}

func (c *courier) stepBy(at time.Time) {
	at = later(at, c.last.Add(c.set.MinBatchInterval))
	if !c.stepAt.IsZero() && !c.stepAt.After(at) {
		return
	}
	c.stepAt = at
	life := c.life
	c.w.at(at, func() {
		if c.life == life && c.up && c.stepAt.Equal(at) {
			c.step()
		}
	})
}

// step hands the module all that has come in, lists and answers first.
func (c *courier) step() {
	w := c.w
	c.stepAt, c.last = time.Time{}, w.now
	var lists, answers, rest []raventrestle.Event
	for _, e := range c.mail {
		switch e.(type) {
		case raventrestle.ListUpdate:
			lists = append(lists, e)
		case raventrestle.Outcome:
			answers = append(answers, e)
		default:
			rest = append(rest, e)
		}
	}
	c.mail = nil
	events := slices.Concat(lists, answers, rest)
	if !c.wake.IsZero() && !c.wake.After(w.now) {
		c.wake = time.Time{}
		events = append(events, raventrestle.Wake{})
	}
	c.steps++
	var calls []*call
	for _, a := range c.module.Step(c.clock(), events) {
		switch a := a.(type) {
		case raventrestle.Send:
			calls = c.send(a, calls)
		case raventrestle.Refuse:
			c.ended(string(a.ID), "deferred", a.RetryAfter)
		case raventrestle.Fail:
			c.ended(string(a.ID), "undeliverable", 0)
		case raventrestle.CloseIdle:
			if e := w.ends[a.Target]; e != nil {
				e.conns -= len(e.pools[c.n].idle)
				e.pools[c.n].idle = nil
			}
		case raventrestle.Cancel:
			for _, x := range slices.Clone(c.out) {
				if len(x.tries) == 1 && x.tries[0].ID == a.ID {
					c.fail(x, raventrestle.Canceled)
				}
			}
		case raventrestle.Subscribe:
			c.subscribe()
		case raventrestle.WakeAt:
			if at := time.Unix(0, int64(a.At)); c.wake.IsZero() || at.Before(c.wake) {
				c.wake = at
			}
		}
	}
	if !c.wake.IsZero() {
		c.stepBy(c.wake)
	}
	life := c.life
	for _, x := range calls {
		c.out = append(c.out, x)
		w.after(w.costs.Write, func() {
			if c.life == life {
				c.dial(x)
			}
		})
	}
}

func (c *courier) subscribe() {
	w, life := c.w, c.life
	w.after(2*w.costs.Hop, func() {
		if c.life != life || !c.up {
			return
		}
		if w.now.Before(w.listOut) {
			c.post(raventrestle.ListUpdate{Kind: raventrestle.ListFailed})
			return
		}
		c.post(c.listing(raventrestle.ListSnapshot))
	})
}

// send notes a try and puts it into a call with others of this step to the endpoint.
func (c *courier) send(a raventrestle.Send, calls []*call) []*call {
	r, e := c.journal[string(a.ID)], c.w.ends[a.Target]
	n := 0
	if r != nil {
		n = r.sends
		r.sends++
	}
	if e == nil || r != nil && e.dest != r.msg.Dest && c.w.channels[e.dest] == nil {
		c.post(raventrestle.Outcome{ID: a.ID, Target: a.Target, Attempt: n, Status: raventrestle.NotSent})
		return calls
	}
	if r != nil {
		if r.ran == nil { // out when the last life ended
			r.ran = r.out
		}
		r.out = &try{a.Target, c.w.now}
	}
	bulk := max(c.w.channels[e.dest].Bulk, 1)
	i := slices.IndexFunc(calls, func(x *call) bool { return x.to == e && len(x.tries) < bulk && !x.open[a.ID] })
	if i < 0 {
		i = len(calls)
		calls = append(calls, &call{
			to: e, numbers: map[raventrestle.MessageID]int{}, open: map[raventrestle.MessageID]bool{},
			arrived: map[raventrestle.MessageID]int{},
		})
	}
	x := calls[i]
	x.tries, x.numbers[a.ID], x.open[a.ID] = append(x.tries, a), n, true
	return calls
}

// ended tells the platform of a message's end, once the journal has it.
func (c *courier) ended(id, status string, after time.Duration) {
	r := c.journal[id]
	if r == nil { // the module speaks of what it no longer has: the platform hears it all the same
		c.w.after(c.w.costs.Write+c.w.costs.Hop, func() { c.w.notice(id, status, after, c.n) })
		return
	}
	r.owed = &end{status, after}
	life := c.life
	c.w.after(c.w.costs.Write, func() {
		if c.life == life {
			c.told(r)
		}
	})
}

func (c *courier) told(r *record) {
	life := c.life
	c.w.after(c.w.costs.Hop, func() {
		if c.life == life {
			c.w.notice(r.id, r.owed.status, r.owed.after, c.n)
			c.forget(r.id)
		}
	})
}
