package courier

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"time"

	"raventrestle"
	"raventrestle/internal/fleet/facts"
)

// Fleet is what the couriers that know one another share, as the actor sees it. No method waits for anything.
type Fleet interface {
	Learn(s facts.Subject, k facts.Kind, v facts.Value)
	Read(s facts.Subject, k facts.Kind) (facts.Evidence, bool)
	Forget(endpoint string)
}

// sharing is the actor's part in it: what this life is told goes out when it comes, and every adviseEvery the outages
// that it sees and what others told of the listed destinations.
type sharing struct {
	fleet   Fleet // nil where there is none
	chance  *rand.Rand
	timer   *time.Timer
	version int64                                   // of the list, as last told
	named   map[raventrestle.TargetID]bool          // by the list, as of the last look
	outages map[raventrestle.TargetID]time.Duration // told and not ended, since when
}

// adviseEvery is the mean time between two looks, each of which is drawn from half to one and a half of it.
const adviseEvery = 250 * time.Millisecond

// Share makes the courier tell and hear what the fleet shares. Call it before Run.
func (c *Courier) Share(f Fleet) {
	c.sharing = sharing{
		fleet: f, chance: rand.New(rand.NewPCG(c.conf.Seed, uint64(now()))),
		named: map[raventrestle.TargetID]bool{}, outages: map[raventrestle.TargetID]time.Duration{},
	}
}

// looks is the channel of the next look at what is shared, nil without a fleet.
func (c *Courier) looks() <-chan time.Time {
	if c.fleet == nil {
		return nil
	}
	if c.timer == nil {
		c.timer = time.NewTimer(c.pause())
	}
	return c.timer.C
}

func (c *Courier) pause() time.Duration {
	return time.Duration((0.5 + c.chance.Float64()) * float64(adviseEvery))
}

// route is what the limits and waits of a target are about: itself where routes are apart, else its destination.
func (c *Courier) route(r *ref) facts.Subject {
	s := facts.Subject{Dest: int64(r.entry.Dest)}
	if c.kind(r).RoutePerTarget {
		s.Endpoint = string(r.entry.Target)
	}
	return s
}

// told shares the wait and the limit that came with an outcome.
func (c *Courier) told(o raventrestle.Outcome) {
	if c.fleet == nil {
		return
	}
	r := c.peers[o.Target]
	if r == nil {
		return
	}
	defer c.unharmed()
	if o.RetryAfter > 0 {
		c.fleet.Learn(c.route(r), facts.Wait, facts.Value{For: o.RetryAfter})
	}
	if o.Report.Limit > 0 {
		c.fleet.Learn(c.route(r), facts.Limit, facts.Value{Number: o.Report.Limit, For: time.Second})
	}
}

// share is one look.
func (c *Courier) share() {
	c.timer.Reset(c.pause())
	defer c.unharmed()
	t := now()
	c.tellList()
	c.tellOutages(t)
	c.hear(t)
}

// unharmed keeps a fault of what is shared from ending the process.
func (c *Courier) unharmed() {
	if e := recover(); e != nil {
		c.Counts.Panics.Add(1)
		c.log.Error("courier: what couriers share broke", "panic", fmt.Sprint(e), "stack", string(debug.Stack()))
	}
}

// tellList tells the list's version, and which endpoints are gone from it.
func (c *Courier) tellList() {
	if c.index > c.version {
		c.version = c.index
		c.fleet.Learn(facts.Subject{}, facts.ListVersion, facts.Value{Number: float64(c.index)})
	}
	for id := range c.named {
		if c.peers[id] == nil {
			delete(c.named, id)
			delete(c.outages, id)
			c.fleet.Forget(string(id))
		}
	}
	for id := range c.peers {
		c.named[id] = true
	}
}

// tellOutages compares the targets' health with that of the last look. One that is held off without a failure of its own
// (a call that seems to hang) is no outage yet.
func (c *Courier) tellOutages(t time.Duration) {
	for _, d := range c.policy.View() {
		for _, x := range d.Targets {
			s := facts.Subject{Dest: int64(d.Dest), Endpoint: string(x.Target)}
			was, out := c.outages[x.Target]
			switch held := x.Health == heldOff; {
			case held && x.ConsecutiveFailures > 0 && !out:
				c.outages[x.Target] = t
				c.fleet.Learn(s, facts.Outage, facts.Value{Number: 1}) // of the calls in a row that held it off
			case held && out: // told again before it is too old to count
				c.fleet.Learn(s, facts.Outage, facts.Value{Number: 1, For: t - was})
			case !held && out:
				delete(c.outages, x.Target)
				c.fleet.Learn(s, facts.OutageEnd, facts.Value{For: t - was})
			}
		}
	}
}

// heldOff is the module's word for a target that gets trials only.
const heldOff = "half-open"

// hear hands the module what others told of the listed targets. What a life told that is over decides nothing, and what
// this life told the module has heard before.
func (c *Courier) hear(t time.Duration) {
	var told []raventrestle.PeerObservation
	c.look()
	read := func(s facts.Subject, k facts.Kind) (facts.Evidence, bool) {
		e, ok := c.fleet.Read(s, k)
		if ok = ok && !e.Retired; ok {
			c.takes(s, k, e)
		}
		return e, ok
	}
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		r := c.peers[id]
		s := c.route(r)
		a := raventrestle.PeerObservation{Target: id}
		if e, ok := read(s, facts.Wait); ok && e.Origin != c.conf.Name && e.Remaining > 0 {
			a.WaitUntil = t + e.Remaining
			r.Hold(time.Unix(0, int64(a.WaitUntil)))
		}
		if e, ok := read(s, facts.Limit); ok && e.Origin != c.conf.Name && e.For > 0 {
			a.Limit, a.LimitAt = e.Number/e.For.Seconds(), t-e.Age
		}
		s.Endpoint = string(id)
		if e, ok := read(s, facts.Outage); ok && e.Origin != c.conf.Name {
			if end, ended := read(s, facts.OutageEnd); !ended || end.Age > e.Age {
				a.OutageAt = t - e.Age
			}
		}
		if a != (raventrestle.PeerObservation{Target: id}) {
			told = append(told, a)
		}
	}
	if len(told) > 0 {
		c.policy.ApplyObservations(t, told)
		c.decided(told)
	}
}
