package raventrestle

import (
	"cmp"
	"slices"
	"time"
)

// Beliefs are what a policy has learned of destinations, for the process that takes its place. They are told
// on the clock of Step, which both share. What belongs to messages, calls and connections is not among them.
type Beliefs struct {
	CallSec  float64
	Mean     time.Duration
	Dev      time.Duration
	N        int
	IdleLife time.Duration
	Told     bool
	Dests    []DestBeliefs
}

// DestBeliefs are those of one destination. Route is that of all its targets, nil where they are apart.
type DestBeliefs struct {
	Dest    DestID
	CallSec float64
	Shut    int
	Left    float64
	Cramped bool
	Route   *RouteBeliefs `json:",omitempty"`
	Targets []TargetBeliefs
}

// TargetBeliefs are those of one target.
type TargetBeliefs struct {
	Target                  TargetID
	Health                  uint8
	Fails                   int
	Mean                    time.Duration
	Usual, Bad, All         float64
	OddsAt, Since, RampAt   time.Duration
	LastOK, LastSent, Every time.Duration
	Route                   *RouteBeliefs `json:",omitempty"`
}

// RouteBeliefs are those of what has a limit and waits of its own.
type RouteBeliefs struct {
	Size, Knee, Rate, Tokens, Brisk   float64
	Told, Shut                        bool
	FilledAt, BriskAt, CutAt, Until   time.Duration
	DownAt, LastOK, NextAt, Mean, Dev time.Duration
	Fails, N                          int
}

func (r *route) beliefs() *RouteBeliefs {
	return &RouteBeliefs{Size: r.size, Knee: r.knee, Rate: r.rate, Tokens: r.tokens, Brisk: r.brisk, Told: r.told, Shut: r.shut, FilledAt: r.filledAt,
		BriskAt: r.briskAt, CutAt: r.cutAt, Until: r.until, DownAt: r.downAt, LastOK: r.lastOK, NextAt: r.nextAt, Mean: r.times.mean, Dev: r.times.dev,
		Fails: r.fails, N: r.times.n}
}

func (r *route) believe(b *RouteBeliefs) {
	if b == nil {
		return
	}
	r.size, r.knee, r.rate, r.tokens, r.brisk, r.told, r.shut = b.Size, b.Knee, b.Rate, b.Tokens, b.Brisk, b.Told, b.Shut
	r.filledAt, r.briskAt, r.cutAt, r.until = b.FilledAt, b.BriskAt, b.CutAt, max(r.until, b.Until)
	r.downAt, r.lastOK, r.nextAt, r.fails = b.DownAt, b.LastOK, b.NextAt, b.Fails
	r.times = times{mean: b.Mean, dev: b.Dev, n: b.N}
}

// Beliefs returns what the policy has learned. It changes nothing.
func (p *Policy) Beliefs() Beliefs {
	b := Beliefs{CallSec: p.flows.Mean, Mean: p.times.mean, Dev: p.times.dev, N: p.times.n, IdleLife: p.idleLife, Told: p.told}
	for _, d := range p.dests {
		x := DestBeliefs{Dest: d.id, CallSec: d.Mean, Shut: d.shut, Left: d.left, Cramped: p.cramped[d.ki]}
		if !d.kind.Apart {
			x.Route = d.shared.beliefs()
		}
		for _, t := range d.targets {
			all := t.odds[len(p.set.Classes)]
			y := TargetBeliefs{Target: t.id, Health: uint8(t.health), Fails: t.fails, Mean: t.mean, Usual: t.usual, Bad: all.bad, All: all.all,
				OddsAt: all.at, Since: t.since, RampAt: t.rampAt, LastOK: t.lastOK, LastSent: t.lastSent, Every: t.gap}
			if d.kind.Apart {
				y.Route = t.r.beliefs()
			}
			x.Targets = append(x.Targets, y)
		}
		b.Dests = append(b.Dests, x)
	}
	slices.SortFunc(b.Dests, func(a, b DestBeliefs) int { return cmp.Compare(a.Dest, b.Dest) })
	return b
}

// Believe takes over what another process had learned, of the targets that this one's list names.
func (p *Policy) Believe(b Beliefs) {
	p.flows.Mean, p.times, p.told = b.CallSec, times{mean: b.Mean, dev: b.Dev, n: b.N}, b.Told
	if b.IdleLife > 0 {
		p.idleLife = min(p.idleLife, b.IdleLife)
	}
	for _, x := range b.Dests {
		d := p.dests[x.Dest]
		if d == nil {
			continue
		}
		d.Mean, d.shut, d.left, p.cramped[d.ki] = x.CallSec, x.Shut, x.Left, p.cramped[d.ki] || x.Cramped
		d.shared.believe(x.Route)
		for _, y := range x.Targets {
			t := p.targets[y.Target]
			if t == nil || t.d != d || y.Health > uint8(ramp) {
				continue
			}
			t.health, t.fails, t.mean, t.usual = health(y.Health), y.Fails, y.Mean, y.Usual
			t.odds[len(p.set.Classes)] = odds{bad: y.Bad, all: y.All, at: y.OddsAt}
			t.since, t.rampAt, t.lastOK, t.lastSent, t.gap = y.Since, y.RampAt, y.LastOK, y.LastSent, y.Every
			if d.kind.Apart {
				t.r.believe(y.Route)
			}
		}
	}
}

// Heed makes the policy keep a wait that another process of this forwarder was told.
func (p *Policy) Heed(target TargetID, until time.Duration) {
	if t := p.targets[target]; t != nil {
		t.r.until = max(t.r.until, until)
	}
}

// Advice is what other couriers told of a target and its route: evidence with an age. The zero value says nothing.
type Advice struct {
	Target  TargetID
	Until   time.Duration // they were told to send nothing there until then, on the clock of Step
	Limit   float64       // calls a second from all forwarders, as one of them was told it; 0 for none
	LimitAt time.Duration // when
	OutAt   time.Duration // when one of them saw an outage of which none has seen the end; 0 for none
	Took    Took          // what of it changed something; Advise fills it in
}

// Took is what of an Advice changed something.
type Took uint8

// The parts of an Advice.
const (
	TookWait Took = 1 << iota
	TookLimit
	TookOutage
)

// Advise takes in what others told, and notes in it what changed something. It holds back and never permits: it may come at any time and any number of times.
//   - A wait binds the route as Heed does, and never shortens one.
//   - A limit counts where reports told this life none of its own, while it is no older than ColdFor, and while no target
//     of the route is held off or in slow start, the paces of which go by the limit too. It never raises a pace or a
//     listed limit, and what it leaves is one call in the longest deadline, so that a wrong one does not bar this life
//     from being told a right one.
//   - An outage makes the next call to the target a trial, if it is younger than ColdFor and no call was answered there
//     since. Its end, told by others, changes nothing here: what this life was cautious of it tries itself.
func (p *Policy) Advise(now time.Duration, told []Advice) {
	fresh := func(at time.Duration) bool { return at > 0 && now-at < p.set.ColdFor }
	for i := range told {
		a := &told[i]
		a.Took = 0
		t := p.targets[a.Target]
		if t == nil {
			continue
		}
		r := t.r
		if a.Until > r.until {
			r.until, a.Took = a.Until, TookWait
		}
		size, well := max(a.Limit, 2/p.longest.Seconds()), !slices.ContainsFunc(r.targets, func(x *target) bool { return x.health != open })
		if a.Limit > 0 && fresh(a.LimitAt) && !r.told && well && (r.size == 0 || size < r.size) {
			was := r.rate
			a.Took |= TookLimit
			if p.limit(r, size); was > 0 {
				r.rate = min(r.rate, was)
			}
		}
		if fresh(a.OutAt) && t.lastOK < a.OutAt && t.health != halfOpen && t.fails < 1 {
			t.fails = 1
			a.Took |= TookOutage
		}
	}
}

// Elsewhere says how many more of the slots another process of this forwarder uses than it did, or fewer.
func (p *Policy) Elsewhere(more int) { p.flows.Busy += more }
