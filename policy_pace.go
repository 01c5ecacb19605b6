package raventrestle

// How fast this forwarder may send over a route: usual times, limits, trials and slow start.

import (
	"cmp"
	"math"
	"time"
)

// usual is the mean and deviation of the route's answers' times. While it has few of its
// own it borrows from all others: a forwarder may see a destination once in a minute.
func (p *Policy) usual(r *route) (mean, dev time.Duration) {
	if p.times.n == 0 {
		return p.flows.MonitorPeriod / 4, p.flows.MonitorPeriod / 4
	}
	own, all := time.Duration(min(r.times.n, 64)), time.Duration(4)
	return (own*r.times.mean + all*p.times.mean) / (own + all), (own*r.times.dev + all*p.times.dev) / (own + all)
}

// step is what an answer adds to the pace below the threshold: one call in two periods, but of many
// forwarders each adds no more than a tenth of its even part, so that ten answers to each double it.
func (p *Policy) step(r *route) float64 {
	least := 0.5 / p.flows.MonitorPeriod.Seconds()
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
	if o.Report.Remaining < 0.5 {
		r.rate = min(r.rate, 2*p.even(r))
	} else if o.Status == OK && p.set.Forwarders > p.set.CallSlots {
		r.rate *= max(1, 2*o.Report.Remaining-0.5)
	}
}

// holdBack puts off a route's next trial. All forwarders with messages for it come back by
// themselves, and none sees how many they are: about what came in the outage's time. Each
// draws its place among them, in seconds of the usual traffic, and waits as long as a cold
// destination takes to get so far: from the end of a told wait on it warms up; else it may
// return at any time. One that calls it often waits for its own usual gap at most.
func (p *Policy) holdBack(r *route) {
	s := &p.set
	if r.downAt == 0 { // it may have begun any time since it last answered here
		r.downAt = max(p.now-s.WarmupDuration, r.lastOK)
	}
	if s.OverloadDuration <= 0 || s.WarmupDuration <= 0 || s.ColdCapacityShare <= 0 {
		return
	}
	from := max(r.until, p.now)
	seconds := max(from-r.downAt, s.OverloadDuration).Seconds()
	if rate := p.usualRate(r); rate > 0 {
		seconds = min(seconds, 1/rate)
	}
	seconds /= p.spend()
	place := p.rng.Float64() * seconds
	after := (place + seconds/2) / s.ColdCapacityShare // it is drawn again and again: the mean counts
	if r.until > p.now {                               // solves start*x + (1-start)*x*x/(2*warm-up) = place
		a, cold := s.ColdCapacityShare, s.WarmupDuration.Seconds()
		after = min(after, cold*(math.Sqrt(a*a+2*(1-a)*place/cold)-a)/max(1-a, 0.01))
	}
	r.nextAt = max(r.nextAt, from+time.Duration(after*float64(time.Second)))
}

// spend is how much of what a cold destination can do is sent to it by all: half of what
// it bears beyond that is left to chance and to those that know of no outage.
func (p *Policy) spend() float64 { return (1 + p.set.OverloadFactor) / 2 }

// usualRate is the calls a second that this forwarder usually sends over the route. In a new life
// little has been sent, and what the last one left tells what came within the longest deadline.
func (p *Policy) usualRate(r *route) float64 {
	usual := 0.0
	for _, t := range r.targets {
		if usual += t.pace(p); p.now < t.d.heir {
			left := t.d.came / p.longest.Seconds() / float64(t.d.kind.MaxBatch)
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
			warm += s.ColdCapacityShare + (1-s.ColdCapacityShare)*min(1, float64(p.now-t.rampAt)/float64(p.memory))
		}
	}
	return max(p.spend()*warm/float64(max(len(r.targets), 1))*p.usualRate(r), 2/s.OverloadDuration.Seconds())
}
