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

// Fleet is the access to the facts that couriers share with each other. Its methods do not block.
type Fleet interface {
	Learn(s facts.Subject, k facts.Kind, v facts.Value)
	Read(s facts.Subject, k facts.Kind) (facts.Evidence, bool)
	Forget(endpoint string)
}

// fleetState is the part of the actor that exchanges facts with the fleet. Waits and limits from endpoints are shared as
// they arrive. Outages are shared, and the facts of other couriers are read, once per exchangeInterval.
type fleetState struct {
	fleet             Fleet // nil if the courier belongs to no fleet
	rng               *rand.Rand
	timer             *time.Timer
	sharedListVersion int64                                   // last version of the endpoint list that was shared
	sharedTargets     map[raventrestle.TargetID]bool          // targets listed at the last exchange
	outages           map[raventrestle.TargetID]time.Duration // shared outages that have not ended, by target, with their start
}

// exchangeInterval is the mean interval between two exchanges. Each interval is drawn from 0.5 to 1.5 times this value.
const exchangeInterval = 250 * time.Millisecond

// UseFleet makes the courier exchange facts with the fleet. Call it before Run.
func (c *Courier) UseFleet(f Fleet) {
	c.fleetState = fleetState{
		fleet: f, rng: rand.New(rand.NewPCG(c.conf.Seed, uint64(now()))),
		sharedTargets: map[raventrestle.TargetID]bool{}, outages: map[raventrestle.TargetID]time.Duration{},
	}
}

// exchangeTimer returns the channel that signals the next exchange, nil without a fleet.
func (c *Courier) exchangeTimer() <-chan time.Time {
	if c.fleet == nil {
		return nil
	}
	if c.timer == nil {
		c.timer = time.NewTimer(c.nextExchange())
	}
	return c.timer.C
}

func (c *Courier) nextExchange() time.Duration {
	return time.Duration((0.5 + c.rng.Float64()) * float64(exchangeInterval))
}

// routeSubject returns what the limits and waits of a target apply to: the target itself if its destination kind has a
// route per target, else the destination.
func (c *Courier) routeSubject(r *listedPeer) facts.Subject {
	s := facts.Subject{Dest: int64(r.entry.Dest)}
	if c.destinationKind(r).RoutePerTarget {
		s.Endpoint = string(r.entry.Target)
	}
	return s
}

// shareOutcome shares the Retry-After wait and the limit that an outcome reported.
func (c *Courier) shareOutcome(o raventrestle.Outcome) {
	if c.fleet == nil {
		return
	}
	r := c.peers[o.Target]
	if r == nil {
		return
	}
	defer c.recoverPanic()
	if o.RetryAfter > 0 {
		c.fleet.Learn(c.routeSubject(r), facts.Wait, facts.Value{For: o.RetryAfter})
	}
	if o.Report.Limit > 0 {
		c.fleet.Learn(c.routeSubject(r), facts.Limit, facts.Value{Number: o.Report.Limit, For: time.Second})
	}
}

// exchangeFacts shares what this courier observed and applies what others did.
func (c *Courier) exchangeFacts() {
	c.timer.Reset(c.nextExchange())
	defer c.recoverPanic()
	t := now()
	c.shareList()
	c.shareOutages(t)
	c.applyFleetFacts(t)
}

// recoverPanic keeps a panic in the fleet code from ending the process.
func (c *Courier) recoverPanic() {
	if e := recover(); e != nil {
		c.Counts.Panics.Add(1)
		c.log.Error("courier: panic in the fleet code", "panic", fmt.Sprint(e), "stack", string(debug.Stack()))
	}
}

// shareList shares the version of the endpoint list and removes the facts of endpoints that are gone.
func (c *Courier) shareList() {
	if c.listIndex > c.sharedListVersion {
		c.sharedListVersion = c.listIndex
		c.fleet.Learn(facts.Subject{}, facts.ListVersion, facts.Value{Number: float64(c.listIndex)})
	}
	for id := range c.sharedTargets {
		if c.peers[id] == nil {
			delete(c.sharedTargets, id)
			delete(c.outages, id)
			c.fleet.Forget(string(id))
		}
	}
	for id := range c.peers {
		c.sharedTargets[id] = true
	}
}

// shareOutages compares the targets' health with that at the last exchange. A target that is half-open without a failure
// of its own (a call that seems to hang) is not reported as an outage.
func (c *Courier) shareOutages(t time.Duration) {
	for _, d := range c.policy.View() {
		for _, x := range d.Targets {
			s := facts.Subject{Dest: int64(d.Dest), Endpoint: string(x.Target)}
			since, shared := c.outages[x.Target]
			switch isHalfOpen := x.Health == halfOpen; {
			case isHalfOpen && x.ConsecutiveFailures > 0 && !shared:
				c.outages[x.Target] = t
				c.fleet.Learn(s, facts.Outage, facts.Value{Number: 1}) // the number of consecutive calls that made it half-open
			case isHalfOpen && shared: // renewed before it expires
				c.fleet.Learn(s, facts.Outage, facts.Value{Number: 1, For: t - since})
			case !isHalfOpen && shared:
				delete(c.outages, x.Target)
				c.fleet.Learn(s, facts.OutageEnd, facts.Value{For: t - since})
			}
		}
	}
}

// halfOpen is the policy's name for the health of a target that is sent probes only.
const halfOpen = "half-open"

// applyFleetFacts passes to the policy what other couriers reported about the listed targets. It ignores the facts of
// processes that have ended, and those of this process, which the policy already has.
func (c *Courier) applyFleetFacts(t time.Duration) {
	var observations []raventrestle.PeerObservation
	c.startEvidenceRead()
	read := func(s facts.Subject, k facts.Kind) (facts.Evidence, bool) {
		e, ok := c.fleet.Read(s, k)
		if ok = ok && !e.Retired; ok {
			c.recordEvidence(s, k, e)
		}
		return e, ok
	}
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		r := c.peers[id]
		s := c.routeSubject(r)
		observation := raventrestle.PeerObservation{Target: id}
		if e, ok := read(s, facts.Wait); ok && e.Origin != c.conf.Name && e.Remaining > 0 {
			observation.WaitUntil = t + e.Remaining
			r.BlockUntil(time.Unix(0, int64(observation.WaitUntil)))
		}
		if e, ok := read(s, facts.Limit); ok && e.Origin != c.conf.Name && e.For > 0 {
			observation.Limit, observation.LimitAt = e.Number/e.For.Seconds(), t-e.Age
		}
		s.Endpoint = string(id)
		if e, ok := read(s, facts.Outage); ok && e.Origin != c.conf.Name {
			if end, ended := read(s, facts.OutageEnd); !ended || end.Age > e.Age {
				observation.OutageAt = t - e.Age
			}
		}
		if observation != (raventrestle.PeerObservation{Target: id}) {
			observations = append(observations, observation)
		}
	}
	if len(observations) > 0 {
		c.policy.ApplyObservations(t, observations)
		c.recordDecision(observations)
	}
}
