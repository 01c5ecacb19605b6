package raventrestle

// This module holds all decisions of a forwarder. Its interface (settings, events and
// actions) is in raventrestle.go, its records are in state.go. Reading order:
// events, destination state, guards, worth, select and send, final answers.
//
// The ordinary path is ASFQ: each destination is a flow, the held head with the lowest
// start tag plus delta leaves while slots are free, and a monitor of slot-seconds
// pushes back the flows that use more than others. Guards only say which heads are
// eligible; they never touch the tags.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"raventrestle/asfq"
)

// ---- events ----

// Step takes a batch of events, all of them at the time now, and returns the actions.
func (p *Policy) Step(now time.Duration, events []Event) []Action {
	p.now = max(now, p.now)
	p.crowded = cmp.Or(p.crowded, p.now+p.memory)
	p.out, p.wakeAt = nil, math.MaxInt64
	p.stood = p.pending > 0 && p.now-p.pending > 2*p.set.Tick // woken late: it stood still itself
	if p.pending <= p.now {
		p.pending = 0
	}
	for _, e := range events {
		e.apply(p)
	}
	p.askForList()
	p.monitor()
	p.expire()
	p.dispatch()
	p.shed()
	if p.wakeAt < math.MaxInt64 && (p.pending == 0 || p.wakeAt < p.pending) {
		p.pending = p.wakeAt
		p.out = append(p.out, WakeAt{p.pending})
	}
	return p.out
}

func (p *Policy) listing(l Listing) {
	if l.How == ListFailed {
		p.askGap = min(max(2*p.askGap, p.set.AskWithin/20, p.set.Tick), p.set.AskWithin/4)
		p.askAt = p.now + p.askGap
		return
	}
	if p.askAt, p.askGap = -1, 0; l.How == ListStored && p.set.AskForList {
		p.askAt = p.now
	}
	seen := map[TargetID]bool{}
	for _, e := range l.Entries {
		seen[e.Target] = true
		t := p.targets[e.Target]
		if e.State == Gone {
			p.drop(t)
			continue
		}
		if t == nil {
			d := p.dest(e.Dest)
			if e.Kind >= 0 && e.Kind < len(p.set.Kinds) {
				d.ki, d.kind = e.Kind, p.set.Kinds[e.Kind]
			}
			t = &target{id: e.Target, d: d, zone: e.Zone, r: d.shared, since: p.now, lastOK: -1 << 60,
				lastSent: -1 << 60, taste: 1 + p.rng.Float64()/4, odds: make([]odds, len(p.set.Classes)+1)}
			if d.kind.Apart {
				t.r = &route{filledAt: p.now, until: d.shared.until}
			}
			if e.Joined > 0 && p.now-e.Joined < p.set.ColdFor { // cold, and finds what others left held
				t.health, t.rampAt, t.usual = ramp, p.now, d.left
			}
			p.targets[e.Target] = t
			t.r.targets = append(t.r.targets, t)
			d.targets = append(d.targets, t)
			slices.SortFunc(d.targets, func(a, b *target) int { return cmp.Compare(a.id, b.id) })
		}
		t.ready = e.State == Ready
		if p.set.Sizes != SizesNone && e.Size > 0 && !t.r.told {
			p.limit(t.r, e.Size)
		}
	}
	if l.How == ListWhole || l.How == ListStored {
		for _, id := range slices.Sorted(maps.Keys(p.targets)) {
			if !seen[id] {
				p.drop(p.targets[id])
			}
		}
	}
}

func (p *Policy) drop(t *target) {
	if t != nil {
		t.ready, t.d.left, t.d.shared.until = false, t.pace(p), max(t.d.shared.until, t.r.until)
		delete(p.targets, t.id)
		t.d.targets, t.r.targets = without(t.d.targets, t), without(t.r.targets, t)
	}
}

// askForList subscribes where the list must be asked for, again after a failure or silence.
func (p *Policy) askForList() {
	if p.askAt >= 0 && p.askAt <= p.now {
		p.askAt = p.now + p.set.AskWithin/2
		p.out = append(p.out, Subscribe{})
	}
	p.wakeBy(p.askAt)
}

func (p *Policy) arrival(a Arrival) *msg {
	if a.Class < 0 || a.Class >= len(p.set.Classes) { // of settings that have changed
		p.out = append(p.out, Fail{a.ID})
	}
	if p.msgs[a.ID] != nil || a.Class < 0 || a.Class >= len(p.set.Classes) {
		return nil
	}
	c := &p.set.Classes[a.Class]
	end := p.now + a.Budget
	aim := min(c.Aim+time.Duration(c.Stretch*float64(a.Estimate)), c.Deadline)
	m := &msg{id: a.ID, class: c, ci: a.Class, d: p.dest(a.Dest), aim: end - c.Deadline + aim, end: end,
		worth: c.Credit * p.inShare(a.Tenant)}
	p.msgs[a.ID] = m
	p.hold(m)
	return m
}

// restored: where an earlier attempt may have run stands for a target, which may be gone.
func (p *Policy) restored(r Restored) {
	m := p.arrival(r.Arrival)
	if m == nil {
		return
	}
	if !r.Moved {
		m.d.came, m.d.heir = m.d.came+1, p.now+p.longest
	}
	m.sends, m.mayRun, m.ranAt = r.Sends, r.MayRun, r.RanAt
	m.ranOn = &target{id: r.RanOn, zone: r.RanZone}
	if r.Sends > 0 && !r.Moved && p.set.TipAfter > 0 {
		p.failedBefore(m, r)
	}
	if p.spent(m) {
		p.unhold(m)
		p.giveUp(m)
	}
}

// failedBefore: a message that failed at a target in the last life, or was turned away by whichever. With
// two such a target may be cold, and what is left goes in about TipAfter: lives that end early would else
// each send all that they found at once.
func (p *Policy) failedBefore(m *msg, r Restored) {
	from := m.d.targets
	if t := p.targets[r.RanOn]; r.MayRun {
		if from = nil; t != nil && r.Failed && p.now-r.RanAt < p.memory {
			t.fails++
			from = []*target{t}
		}
	}
	for _, t := range from {
		if t.usual > 0 && t.health == open {
			t.health, t.rampAt = ramp, p.now
		}
		t.usual += 1 / p.set.TipAfter.Seconds() / float64(len(from))
	}
}

func (p *Policy) withdrawn(w Withdrawn) {
	if m := p.msgs[w.ID]; m != nil && m.call != nil {
		m.over = true
	} else if m != nil {
		p.unhold(m)
		p.forget(m)
	}
}

func (p *Policy) outcome(o Outcome) {
	m := p.msgs[o.ID]
	if m == nil || m.call == nil {
		return
	}
	c := m.call
	m.call = nil
	if o.Wait > 0 { // each mate of a call may be told for itself
		c.t.r.until = max(c.t.r.until, p.now+o.Wait)
	}
	if !c.told {
		c.told = true
		p.learn(c, o, m.ci)
	}
	if c.n--; c.n == 0 {
		p.hangUp(c)
	}
	lost := o.Status == TimedOut || o.Status == Reset || o.Status == Cancelled // may still run
	if (lost || o.Status == Error) && !m.mayRun {
		m.mayRun, m.ranAt, m.ranOn = true, c.at, c.t
	}
	switch {
	case o.Closed || m.over || o.Status == OK:
		p.forget(m)
	case p.spent(m) || p.now >= p.lastCall(m):
		p.giveUp(m)
	default:
		p.hold(m)
	}
}

// spent says that no further attempt is allowed.
func (p *Policy) spent(m *msg) bool {
	return p.set.SendCap > 0 && m.sends >= p.set.SendCap || m.mayRun && m.class.Effect == Unsafe
}

// ---- destination state ----

// hold gives the message's flow one more turn.
func (p *Policy) hold(m *msg) {
	p.flows.Hold(m.d, p.flows.Cost(m.d), p.now)
	m.d.held = append(m.d.held, m)
}

// unhold: the last turn goes too.
func (p *Policy) unhold(m *msg) {
	p.flows.Unhold(m.d)
	m.d.held = without(m.d.held, m)
}

func (p *Policy) hangUp(c *call) {
	c.t.d.out = without(c.t.d.out, c)
	p.flows.Ended(c.t.d, (p.now - c.at).Seconds(), p.now)
	p.letGo(c.t)
}

// letGo ends a call's use of its connection. One not expected to be used before it closes by
// itself is shut at once: those of hundreds of forwarders would fill targets that take few. That
// costs new ones, so it ends once no call has missed one for a while; few forwarders do without.
// Where a destination of the kind was seen to take no more, none is left idle: another waits for it.
func (p *Policy) letGo(t *target) {
	t.inFlight--
	t.idleAt = p.now
	seldom := t.inFlight+len(t.d.held) == 0 && p.set.Forwarders > p.set.CallSlots &&
		p.now < p.crowded && (t.gap == 0 || t.gap > p.set.IdleClose)
	if seldom || p.cramped[t.d.ki] {
		p.closeIdle(t)
	}
}

func (p *Policy) closeIdle(t *target) {
	p.out, t.idleAt = append(p.out, CloseIdle{t.id}), 0
}

// connection says how long the one for the next call may have been idle. Those idle for longer
// than they seem to live are shut before, and all where a call was just lost on one: see learn.
func (p *Policy) connection(t *target) time.Duration {
	idle := p.now - t.idleAt
	if t.idleAt == 0 || idle >= p.set.IdleClose {
		return 0
	}
	if t.stale > 0 || idle >= p.idleLife {
		p.closeIdle(t)
		return 0
	}
	return idle
}

// monitor drops destinations that are gone and idle, at the end of each of its periods.
func (p *Policy) monitor() {
	if p.flows.Tick(p.now) {
		maps.DeleteFunc(p.dests, func(_ DestID, d *dest) bool {
			return d.Held()+d.Out()+len(d.targets) == 0 && d.shared.until <= p.now
		})
		p.borne = [2]time.Duration{0, p.borne[0]}
	}
	if len(p.msgs) > 0 {
		p.wakeBy(p.flows.TickAt)
	}
}

// risk is the share of failed calls to expect of a class at a target: what was seen of the
// class there counts before the target's other classes.
func (p *Policy) risk(t *target, class int) float64 {
	return t.odds[class].share(p, t.odds[len(p.set.Classes)].share(p, 0, 1), 1)
}

// usual is the mean and deviation of the route's answers' times. While it has few of its
// own it borrows from all others: a forwarder may see a destination once in a minute.
func (p *Policy) usual(r *route) (mean, dev time.Duration) {
	if p.times.n == 0 {
		return p.flows.Period / 4, p.flows.Period / 4
	}
	own, all := time.Duration(min(r.times.n, 64)), time.Duration(4)
	return (own*r.times.mean + all*p.times.mean) / (own + all), (own*r.times.dev + all*p.times.dev) / (own + all)
}

// step is what an answer adds to the pace below the knee: one call in two periods, but of many
// forwarders each adds no more than a tenth of its even part, so that ten answers to each double it.
func (p *Policy) step(r *route) float64 {
	least := 0.5 / p.flows.Period.Seconds()
	return min(least, cmp.Or(p.even(r)/10, least))
}

// even is this forwarder's part of the limit if all have the same, 0 if the limit is unknown.
func (p *Policy) even(r *route) float64 { return r.size / float64(p.set.Forwarders) }

// span is the time over which calls tell a rate: two of the even part, a second at least.
func (p *Policy) span(r *route) float64 {
	return min(max(2/cmp.Or(p.even(r), 2), 1), p.memory.Seconds())
}

// limit takes in a listed or reported limit. The pace starts at half of it, or at half more
// than the even part where that is more, and follows when it changes.
func (p *Policy) limit(r *route, size float64) {
	if r.rate == 0 || r.size == 0 {
		r.rate = size * max(1.5/float64(p.set.Forwarders), 0.5)
	} else {
		r.rate *= size / r.size
	}
	r.size = size
}

// heed follows what a report says is left for all: under half, and the pace falls to twice the even
// part, since a limit that refused calls use up as well serves nobody while more than that is sent.
// Twice, as the traffic is never even, and those with less of it leave their part to the others. Over
// three quarters, and an answer adds up to half: all the paces together leave much of the limit unused.
func (p *Policy) heed(r *route, o Outcome) {
	if o.Report.Left < 0.5 {
		r.rate = min(r.rate, 2*p.even(r))
	} else if o.Status == OK && p.set.Forwarders > p.set.CallSlots {
		r.rate *= max(1, 2*o.Report.Left-0.5)
	}
}

// learn: a call lost on an idle connection only makes the next use a new one, as the suspect.
func (p *Policy) learn(c *call, o Outcome, class int) {
	t, r := c.t, c.t.r
	if c.trial {
		t.trials--
	}
	silent := o.Status == TimedOut && t.lastOK < c.at // nothing was answered meanwhile
	if (silent || o.Status == Reset) && c.idle > max(p.borne[0], p.borne[1]) {
		t.stale, t.fails = c.idle, max(t.fails, 1)
		return
	}
	if o.Status == OK && t.stale > 0 && c.idle == 0 {
		p.idleLife = min(p.idleLife, t.stale)
		p.log("idle connections seem to be dropped after %v: shut before", t.stale)
	}
	if o.Status != Full && o.Status != Moot {
		t.stale = 0
		for _, x := range []*odds{&t.odds[class], &t.odds[len(p.set.Classes)]} {
			x.fade(p)
			if x.all++; o.Status != OK {
				x.bad++
			}
		}
	}
	if o.Status == Full && c.idle == 0 && o.Wait == 0 && o.Report == (Report{}) && p.told &&
		p.set.Forwarders > p.set.CallSlots {
		p.cramped[t.d.ki] = true // the load would come with its report
	}
	if o.Report.Limit > 0 {
		r.told, p.told = true, true
		p.limit(r, o.Report.Limit)
		p.heed(r, o)
	}
	if (o.Status == OK || silent) && !p.stood { // else it was lost, not slow
		r.times.add(o.Took)
		p.times.add(o.Took)
		t.mean = asfq.Mix(t.mean, o.Took, 8)
	}
	switch o.Status {
	case OK:
		p.borne[0], t.okSent = max(p.borne[0], c.idle), max(t.okSent, c.at)
		p.answered(t)
	case Full:
		p.refused(c, o)
	case Error:
		p.failed(t, "errors")
	case ConnectFailed:
		p.crowded = p.now + 2*p.memory
		p.failed(t, "no connection")
	case TimedOut, Reset:
		if silent { // trips at once
			t.fails++
		}
		p.failed(t, "calls lost")
	}
}

// failed: one failure only makes the next call a trial; a second in a row there or on its route,
// or a silent time-out, trips the target.
func (p *Policy) failed(t *target, why string) {
	t.fails++
	t.r.fails++
	if max(t.fails, t.r.fails) > 1 || t.health == halfOpen {
		p.trip(t, why)
	}
}

func (p *Policy) answered(t *target) {
	r := t.r
	r.lastOK = p.now
	t.lastOK, t.d.shut, r.fails = p.now, 0, 0
	if r.rate > 0 {
		if r.rate += p.step(r) / 4; r.rate < r.knee { // back to where it was refused
			r.rate += p.step(r) * 3 / 4
		}
	}
	if t.health == halfOpen && t.fails == 0 {
		t.health = open
	} else if t.health == halfOpen {
		whole := !slices.ContainsFunc(r.targets, func(x *target) bool { return x.health != halfOpen })
		for _, x := range r.targets {
			if x == t || r.shut && x.health == halfOpen {
				x.health, x.rampAt, x.fails = ramp, p.now, 0
			} else if whole { // what struck all of them has ended for all, but one call there shows it first
				x.health, x.rampAt, x.fails = ramp, p.now, 1
			}
		}
		r.downAt, r.shut = 0, false
		r.nextAt = p.now + gap(p.rampRate(r))
		p.log("target %s answers again: slow start", t.id)
	}
	t.fails = 0
}

// pace is the calls a second lately sent to the target, as it was before an outage.
func (t *target) pace(p *Policy) float64 {
	if t.health != open {
		return t.usual
	}
	x := &t.odds[len(p.set.Classes)]
	x.fade(p)
	age := max(float64(p.now-t.since)/float64(p.memory), 0.25)
	few := min(float64(p.set.CallSlots)/float64(p.set.Forwarders), 1)
	seen := max(x.all-max(1-age, 0)*(1-few), 0) // of many the one that just called has no rate yet
	return seen / (p.memory.Seconds() * (1 - math.Exp(-age)))
}

// refused: above the limit, or shut. A long wait means shut, and so do three in a row at a
// destination, whichever its routes, or two with most of the limit left; else the pace is cut.
func (p *Policy) refused(c *call, o Outcome) {
	t, r := c.t, c.t.r
	spent := o.Report.Limit > 0 && o.Report.Left < 0.5 // then it is the limit
	r.tokens = min(r.tokens, -p.rng.Float64())         // a clump refused at many does not return in step
	if c.at > r.cutAt || r.cutAt == 0 {                // refusals of calls sent together say the same once
		r.cutAt = p.now
		t.d.shut++
		if spent {
			t.d.shut = 0
		} else if o.Report.Limit > 0 { // most is left: it weighs twice
			t.d.shut++
		}
		r.rate = min(cmp.Or(r.rate, r.brisk), r.brisk) // a pace that was not used proves nothing
		r.knee = 0.9 * r.rate
		n := float64(p.set.Forwarders) // the more peers, the fewer of the refusals are met here
		if r.rate = max((0.5+0.5/n)*r.rate, r.size/n/2); r.size == 0 {
			r.rate = max(r.rate, 1/p.longest.Seconds())
		}
	}
	if t.d.shut >= 3 || o.Wait > p.set.TipAfter { // all that share the limit are shut with it
		r.shut = true
		for _, x := range r.targets {
			x.fails = max(x.fails, 2)
			p.trip(x, "refused")
		}
	}
}

// trip makes a target half-open: one trial at a time, spaced by holdBack.
func (p *Policy) trip(t *target, why string) {
	if t.health == open {
		t.usual = t.pace(p)
		p.log("target %s held off: %s", t.id, why)
	}
	t.health = halfOpen
	p.holdBack(t.r)
}

// holdBack puts off a route's next trial. All forwarders with messages for it come back by
// themselves, and none sees how many they are: about what came in the outage's time. Each
// draws its place among them, in seconds of the usual traffic, and waits as long as a cold
// destination takes to get so far: from the end of a told wait on it warms up; else it may
// return at any time. One that calls it often waits for its own usual gap at most.
func (p *Policy) holdBack(r *route) {
	s := &p.set
	if r.downAt == 0 { // it may have begun any time since it last answered here
		r.downAt = max(p.now-s.ColdFor, r.lastOK)
	}
	if s.TipAfter <= 0 || s.ColdFor <= 0 || s.StartCapacity <= 0 {
		return
	}
	from := max(r.until, p.now)
	seconds := max(from-r.downAt, s.TipAfter).Seconds()
	if rate := p.usualRate(r); rate > 0 {
		seconds = min(seconds, 1/rate)
	}
	seconds /= p.spend()
	place := p.rng.Float64() * seconds
	after := (place + seconds/2) / s.StartCapacity // it is drawn again and again: the mean counts
	if r.until > p.now {                           // solves start*x + (1-start)*x*x/(2*warm-up) = place
		a, cold := s.StartCapacity, s.ColdFor.Seconds()
		after = min(after, cold*(math.Sqrt(a*a+2*(1-a)*place/cold)-a)/max(1-a, 0.01))
	}
	r.nextAt = max(r.nextAt, from+time.Duration(after*float64(time.Second)))
}

// spend is how much of what a cold destination can do is sent to it by all: half of what
// it bears beyond that is left to chance and to those that know of no outage.
func (p *Policy) spend() float64 { return (1 + p.set.TipMultiple) / 2 }

// usualRate is the calls a second that this forwarder usually sends over the route. In a new life
// little has been sent, and what the last one left tells what came within the longest deadline.
func (p *Policy) usualRate(r *route) float64 {
	usual := 0.0
	for _, t := range r.targets {
		if usual += t.pace(p); p.now < t.d.heir {
			left := t.d.came / p.longest.Seconds() / float64(t.d.kind.BundleMax)
			usual = max(usual, left*float64(len(r.targets))/float64(len(t.d.targets)))
		}
	}
	return max(usual, r.size/float64(p.set.Forwarders))
}

// rampRate is this forwarder's part of what a route's targets in slow start bear by now.
func (p *Policy) rampRate(r *route) float64 {
	s := &p.set
	warm := 0.0
	for _, t := range r.targets {
		if t.health == ramp {
			warm += s.StartCapacity + (1-s.StartCapacity)*min(1, float64(p.now-t.rampAt)/float64(p.memory))
		}
	}
	return max(p.spend()*warm/float64(max(len(r.targets), 1))*p.usualRate(r), 2/s.TipAfter.Seconds())
}

// ---- guards ----

// sick: half of its targets are held off, or one is and the route that they share has not answered
// since its last failure, or a call out has passed twice its usual time.
func (p *Policy) sick(d *dest) bool {
	bad := 0
	for _, t := range d.targets {
		if t.health == halfOpen {
			bad++
		}
	}
	return bad > 0 && (2*bad >= len(d.targets) || d.shared.fails > 0) ||
		slices.ContainsFunc(d.out, func(c *call) bool { return p.overdue(c, 1) })
}

// full says whether the destination holds all the slots that it may. Sick ones share a quarter:
// several that are slow or hang at once would else hold most slots for as long as their calls
// last, and each of them stays far under the half that the design allows it.
func (p *Policy) full(d *dest, quarters int) bool {
	if !d.Trouble {
		return p.flows.Full(d)
	}
	out := 0
	for _, x := range p.flows.Active {
		if x.Trouble {
			out += x.Out()
		}
	}
	return out >= max(p.set.CallSlots*quarters/4, 1)
}

// refill brings the token bucket up to now. It holds one call.
func (p *Policy) refill(r *route) {
	r.tokens = min(1, r.tokens+r.rate*(p.now-r.filledAt).Seconds())
	if r.rate == 0 { // no limit met yet: what was sent so far is no debt
		r.tokens = 1
	}
	r.filledAt = p.now
}

// overdue: the call has been out for twice the mean time plus so many deviations.
func (p *Policy) overdue(c *call, devs time.Duration) bool {
	mean, dev := p.usual(c.t.r)
	return p.now-c.at > 2*(mean+devs*dev)
}

// usable says whether the target takes a call now.
func (p *Policy) usable(t *target) bool {
	r := t.r
	p.refill(r)
	hangs := func(c *call) bool { return c.t == t && t.lastOK < c.at && p.overdue(c, 4) }
	if t.health == open && slices.ContainsFunc(t.d.out, hangs) { // its time-out would lose more
		t.usual, t.health = t.pace(p), halfOpen
	}
	if t.health == ramp && p.now-t.rampAt >= p.set.ColdFor {
		t.health = open
	}
	from := r.until
	if r.tokens < 1 {
		from = max(from, p.now+gap(r.rate/(1-r.tokens))+1)
	}
	if t.health != open || r.fails > 1 && p.usualRate(r)*p.set.TipAfter.Seconds() < 1 {
		from = max(from, r.nextAt) // one that calls seldom takes the other endpoints for out too
	}
	if !t.ready || t.onTrial() && t.trials > 0 {
		return false
	}
	if mean, dev := p.usual(r); p.closing > 0 && p.now+mean+4*dev > p.closing {
		return false // the answer would hardly come in this life
	}
	p.wakeBy(from)
	return from <= p.now
}

func (t *target) onTrial() bool { return t.health == halfOpen || t.fails > 0 }

// allowed says whether the message may go to the target: a repeat only where they are dropped.
func (p *Policy) allowed(m *msg, t *target) bool {
	return !m.mayRun || m.class.Effect == Safe || m.class.Group == GroupAll || t.id == m.ranOn.id ||
		m.class.Group == GroupZone && t.zone == m.ranOn.zone
}

// ---- worth ----

// inShare is what a message of the tenant is worth, as a part of its class's worth: beyond its
// share it is worth less, and nobody is told which are beyond. The tenants' parts of what
// comes here are held against their parts of the quotas: that needs no even spread.
func (p *Policy) inShare(tenant int) float64 {
	if tenant < 0 || tenant >= len(p.tenants) {
		return 1
	}
	quota, all, seen := 0.0, 0.0, 0.0
	for i, t := range p.set.Tenants {
		p.tenants[i].fade(p)
		part := cmp.Or(t.Quota, t.Share)
		all, seen = all+part, seen+p.tenants[i].all
		if i == tenant {
			p.tenants[i].all++
			quota = part
		}
	}
	if quota <= 0 {
		return 1
	}
	within := min(1, quota/all*(seen+1)/p.tenants[tenant].all)
	return within + (1-within)*p.set.OverShare
}

// left is the part of its worth that a message has at the time t.
func (p *Policy) left(m *msg, t time.Duration) float64 {
	late := float64(t - m.aim)
	switch {
	case t > p.lastCall(m):
		return 0
	case late <= 0:
		return 1
	case p.set.Loss == LossHalving:
		return max(m.class.Late, math.Exp2(-late/float64(m.class.Aim)))
	}
	return 1 - (1-m.class.Late)*min(1, late/float64(max(m.end-m.aim, 1)))
}

// weigh sets what each held message has at stake: the worth that it loses if it waits until all
// that is held has left, and a part of what it has left then.
func (p *Policy) weigh() {
	p.stakes = 0
	held := max(len(p.msgs)-p.flows.Busy, 0)
	wait := time.Duration(float64(held) * p.flows.Mean / float64(p.set.CallSlots) * float64(time.Second))
	for _, d := range p.flows.Active {
		mean, _ := p.usual(d.shared)
		for _, m := range d.held {
			now := p.left(m, p.now+mean)
			m.stake = m.worth * (now - p.left(m, p.now+mean+wait) + now*min(1, float64(wait)/float64(p.longest)))
			p.stakes = max(p.stakes, m.stake)
			if m.waste = m.stake; !m.mayRun && p.now < m.end-m.class.Deadline*3/10 {
				m.waste += 0.3 * m.worth // of one given up untried before seven tenths of its time
			}
		}
	}
}

// ---- select and send ----

// dispatch sends heads in order of start tag plus delta while slots are free. The paper's cost
// over weight comes on top: a head with less at stake than others waits for as many more turns. A
// flow with no eligible message is passed over and does not block the others.
func (p *Policy) dispatch() {
	for _, d := range p.flows.Active {
		d.Trouble = p.sick(d)
	}
	p.weigh()
	for _, d := range p.flows.Active {
		p.look(d)
	}
	for d, ok := p.flows.Next(p.offer); ok; d, ok = p.flows.Next(p.offer) {
		p.call(d.next, d.on)
		p.look(d)
	}
}

// look finds the destination's head while a slot is free.
func (p *Policy) look(d *dest) {
	if d.next = nil; d.Held() > 0 && p.flows.Busy < p.flows.Slots {
		d.next, d.on = p.head(d)
	}
}

// offer says whether the destination has a head, and how many turns later than its own that is due.
func (p *Policy) offer(d *dest) (later float64, ok bool) {
	if d.next != nil && p.full(d, 1) {
		p.look(d)
	}
	if d.next == nil {
		return 0, false
	}
	return min(p.stakes/max(d.next.stake, 1e-9), float64(len(p.msgs))), true
}

// head picks which message of the destination takes its turn, and the target. One that seems to hang before
// anything has failed there gets a message that is harmless to repeat, whatever slots the sick hold: its
// connection may have fallen silent alone.
func (p *Policy) head(d *dest) (*msg, *target) {
	var free []*target
	full := p.full(d, 1)
	for _, t := range d.targets {
		if !p.usable(t) {
			continue
		}
		free = append(free, t)
		if t.health == halfOpen && t.fails == 0 && !p.full(d, 2) {
			if i := slices.IndexFunc(d.held, func(m *msg) bool { return m.class.Effect == Safe }); i >= 0 {
				return d.held[i], t
			}
		}
	}
	if full {
		return nil, nil
	}
	return p.pick(d, free)
}

// pick is the message that goes first to any of the targets, and its cheapest one.
func (p *Policy) pick(d *dest, free []*target) (best *msg, on *target) {
	for _, m := range d.held {
		if len(free) == 0 || best != nil && !p.before(m, best) {
			continue
		}
		var to *target
		for _, t := range free {
			if p.allowed(m, t) && (to == nil || p.cost(m, t) < p.cost(m, to)) {
				to = t
			}
		}
		if to != nil {
			best, on = m, to
		}
	}
	return best, on
}

// before orders the messages of one destination: the one with more at stake first.
func (p *Policy) before(a, b *msg) bool {
	return a.stake > b.stake || a.stake == b.stake && a.aim < b.aim
}

// cost of a target in seconds: the expected time with the calls out there, that of failures, and
// the fees, in parts of the time in which a message loses its worth. One on trial comes last.
func (p *Policy) cost(m *msg, t *target) float64 {
	mean, _ := p.usual(t.r)
	c := cmp.Or(t.mean, mean).Seconds() * float64(1+t.inFlight) * t.taste
	fees := 0.0
	if t.idleAt == 0 || p.now-t.idleAt > p.set.IdleClose {
		fees += p.set.Charges.Handshake
	}
	if t.zone != p.set.Zone {
		fees += p.set.Charges.CrossZone
	}
	if t.d.kind.Apart && t.zone >= 0 && t.zone < len(p.set.Zones) {
		fees += p.set.Zones[t.zone].Fee
	}
	if t.onTrial() {
		c *= 10
	}
	return c + fees*p.longest.Seconds() + p.risk(t, m.ci)*p.timeout(m, t).Seconds()
}

// call sends the message, with mates for the same target where the kind bundles.
func (p *Policy) call(m *msg, t *target) {
	d, r := m.d, t.r
	c := &call{t: t, at: p.now, idle: p.connection(t), trial: t.onTrial()}
	d.out = append(d.out, c)
	t.inFlight++
	r.tokens--
	if t.lastSent > 0 {
		t.gap = asfq.Mix(t.gap, p.now-t.lastSent, 4)
	}
	span := p.span(r)
	r.brisk, r.briskAt = r.brisk*math.Exp(-(p.now-r.briskAt).Seconds()/span)+1/span, p.now
	t.lastSent = p.now
	if c.trial {
		t.trials++
	}
	if t.health == halfOpen {
		p.holdBack(t.r)
	} else if t.health == ramp {
		r.nextAt = p.now + gap(p.rampRate(r))
	}
	p.send(m, c)
	for !c.trial && c.n < d.kind.BundleMax {
		mate, _ := p.pick(d, []*target{t})
		if mate == nil {
			break
		}
		p.send(mate, c)
	}
}

func (p *Policy) send(m *msg, c *call) {
	d := m.d
	if c.n > 0 { // a mate takes no slot, and so no turn: the flow's last one is not needed
		p.unhold(m)
	} else {
		d.held, c.first = without(d.held, m), m
		p.flows.Sent(d, p.now)
	}
	m.call, m.sends = c, m.sends+1
	c.n++
	p.out = append(p.out, Send{m.id, c.t.id, p.timeout(m, c.t), p.within(m)})
}

// timeout: an unsafe message is lost with its call, so it gets twice the time of others, and its
// aim; beyond that an answer hardly comes and its slot is worth more. A keyed one
// keeps room for a repeat inside its window.
func (p *Policy) timeout(m *msg, t *target) time.Duration {
	mean, dev := p.usual(t.r)
	usual := mean + 4*dev // nearly all answers come by then
	limit := p.set.ConnectWithin + 2*usual
	if m.class.Effect == Unsafe {
		limit = max(2*limit, m.class.Aim)
	} else if m.class.Effect == Keyed && !m.mayRun && 2*usual < m.class.Window {
		limit = min(limit, m.class.Window-usual) // a slower one has no time for a repeat anyway
	}
	return max(min(limit, m.end-p.now), 1)
}

// within is how long a keyed repeat may take until it is on its way: its connection may come up late.
func (p *Policy) within(m *msg) time.Duration {
	if m.mayRun && m.class.Effect == Keyed {
		return m.ranAt + m.class.Window - p.set.Tick - p.set.Lag/2 - p.now
	}
	return 0
}

// ---- final answers ----

// lastCall is when it must have been sent: shortly before its end, or its key's.
func (p *Policy) lastCall(m *msg) time.Duration {
	if m.mayRun && m.class.Effect == Keyed {
		return min(m.end-2*p.set.Tick, m.ranAt+m.class.Window-p.set.Tick-p.set.Lag)
	}
	return m.end - 2*p.set.Tick
}

// expire answers the held messages that can't be sent any more. A call that is overdue while its target
// has answered one that was sent later is on a connection that has fallen silent: it is called off.
func (p *Policy) expire() {
	for _, d := range p.flows.Active {
		for _, c := range d.out {
			if p.set.Cancels && !c.off && c.t.okSent > c.at && p.overdue(c, 4) {
				c.off, p.out = true, append(p.out, Cancel{c.first.id, c.first.sends - 1})
			}
		}
		for _, m := range slices.Clone(d.held) {
			p.wakeBy(p.lastCall(m))
			if p.now >= p.lastCall(m) || p.spent(m) { // fewer attempts may be allowed than when it was held
				p.unhold(m)
				p.giveUp(m)
			}
		}
	}
}

// shed keeps the last eighth of the store free: the destination that holds the most
// gives up what is the least waste, so that none can fill the store for the others.
func (p *Policy) shed() {
	for len(p.msgs) > p.set.MostHeld*7/8 {
		worst := slices.MaxFunc(p.flows.Active, func(a, b *dest) int { return len(a.held) - len(b.held) })
		var last *msg
		for _, m := range worst.held {
			if p.refusable(m) && (last == nil || m.waste <= last.waste) {
				last = m
			}
		}
		if last == nil {
			return
		}
		p.unhold(last)
		p.giveUp(last)
	}
}

func (p *Policy) refusable(m *msg) bool {
	return !m.mayRun || m.class.Effect == Safe || m.class.Effect == Keyed && m.class.Group == GroupAll
}

func (p *Policy) giveUp(m *msg) {
	if p.refusable(m) {
		p.out = append(p.out, Refuse{m.id, p.comeBack(m.d)})
	} else {
		p.out = append(p.out, Fail{m.id})
	}
	p.forget(m)
}

func (p *Policy) comeBack(d *dest) time.Duration {
	if !p.set.RetryAfter {
		return 0
	}
	after := p.flows.Period
	for _, t := range d.targets {
		after = max(after, t.r.until-p.now, t.r.nextAt-p.now)
	}
	return min(after, p.set.MaxRetryAfter)
}
