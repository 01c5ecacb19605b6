package raventrestle

import (
	"cmp"
	"slices"
	"time"
)

// Learned is what a policy has learned of destinations, for the process that takes its place. Its times are on
// the clock of Step, which both share. What belongs to messages, calls and connections is not in it. Its JSON
// is kept in files and journals: keys stay as they are.
type Learned struct {
	CallSec  float64
	Mean     time.Duration
	Dev      time.Duration
	N        int
	IdleLife time.Duration
	Told     bool
	Dests    []LearnedDest
}

// LearnedDest is what was learned of one destination. Route is that of all its targets, nil where they are apart.
type LearnedDest struct {
	Dest        DestID
	CallSec     float64
	Shut        int
	Left        float64
	ConnLimited bool          `json:"Cramped"`
	Route       *LearnedRoute `json:",omitempty"`
	Targets     []LearnedTarget
}

// LearnedTarget is what was learned of one target.
type LearnedTarget struct {
	Target                  TargetID
	Health                  uint8
	Fails                   int
	Mean                    time.Duration
	Usual, Bad, All         float64
	OddsAt, Since, RampAt   time.Duration
	LastOK, LastSent, Every time.Duration
	Route                   *LearnedRoute `json:",omitempty"`
}

// LearnedRoute is what was learned of what has a limit and waits of its own.
type LearnedRoute struct {
	Size, Rate, Tokens                float64
	Threshold                         float64       `json:"Knee"`
	SentRate                          float64       `json:"Brisk"`
	SentRateAt                        time.Duration `json:"BriskAt"`
	Told, Shut                        bool
	FilledAt, CutAt, Until            time.Duration
	DownAt, LastOK, NextAt, Mean, Dev time.Duration
	Fails, N                          int
}

func (r *route) learned() *LearnedRoute {
	return &LearnedRoute{
		Size: r.size, Threshold: r.threshold, Rate: r.rate, Tokens: r.tokens, SentRate: r.sentRate, Told: r.told, Shut: r.shut, FilledAt: r.filledAt,
		SentRateAt: r.sentRateAt, CutAt: r.cutAt, Until: r.until, DownAt: r.downAt, LastOK: r.lastOK, NextAt: r.nextAt, Mean: r.times.mean, Dev: r.times.dev,
		Fails: r.fails, N: r.times.n,
	}
}

func (r *route) inherit(b *LearnedRoute) {
	if b == nil {
		return
	}
	r.size, r.threshold, r.rate, r.tokens, r.sentRate, r.told, r.shut = b.Size, b.Threshold, b.Rate, b.Tokens, b.SentRate, b.Told, b.Shut
	r.filledAt, r.sentRateAt, r.cutAt, r.until = b.FilledAt, b.SentRateAt, b.CutAt, max(r.until, b.Until)
	r.downAt, r.lastOK, r.nextAt, r.fails = b.DownAt, b.LastOK, b.NextAt, b.Fails
	r.times = times{mean: b.Mean, dev: b.Dev, n: b.N}
}

// Learned returns what the policy has learned. It changes nothing.
func (p *Policy) Learned() Learned {
	b := Learned{CallSec: p.flows.Mean, Mean: p.times.mean, Dev: p.times.dev, N: p.times.n, IdleLife: p.idleLife, Told: p.told}
	for _, d := range p.dests {
		x := LearnedDest{Dest: d.id, CallSec: d.Mean, Shut: d.shut, Left: d.left, ConnLimited: p.connLimited[d.ki]}
		if !d.kind.Apart {
			x.Route = d.shared.learned()
		}
		for _, t := range d.targets {
			all := t.odds[len(p.set.Classes)]
			y := LearnedTarget{
				Target: t.id, Health: uint8(t.health), Fails: t.fails, Mean: t.mean, Usual: t.usual, Bad: all.bad, All: all.all,
				OddsAt: all.at, Since: t.since, RampAt: t.rampAt, LastOK: t.lastOK, LastSent: t.lastSent, Every: t.gap,
			}
			if d.kind.Apart {
				y.Route = t.r.learned()
			}
			x.Targets = append(x.Targets, y)
		}
		b.Dests = append(b.Dests, x)
	}
	slices.SortFunc(b.Dests, func(a, b LearnedDest) int { return cmp.Compare(a.Dest, b.Dest) })
	return b
}

// Inherit takes over what another process had learned, of the targets that this one's list names.
func (p *Policy) Inherit(b Learned) {
	p.flows.Mean, p.times, p.told = b.CallSec, times{mean: b.Mean, dev: b.Dev, n: b.N}, b.Told
	if b.IdleLife > 0 {
		p.idleLife = min(p.idleLife, b.IdleLife)
	}
	for _, x := range b.Dests {
		d := p.dests[x.Dest]
		if d == nil {
			continue
		}
		d.Mean, d.shut, d.left, p.connLimited[d.ki] = x.CallSec, x.Shut, x.Left, p.connLimited[d.ki] || x.ConnLimited
		d.shared.inherit(x.Route)
		for _, y := range x.Targets {
			t := p.targets[y.Target]
			if t == nil || t.d != d || y.Health > uint8(ramp) {
				continue
			}
			t.health, t.fails, t.mean, t.usual = health(y.Health), y.Fails, y.Mean, y.Usual
			t.odds[len(p.set.Classes)] = odds{bad: y.Bad, all: y.All, at: y.OddsAt}
			t.since, t.rampAt, t.lastOK, t.lastSent, t.gap = y.Since, y.RampAt, y.LastOK, y.LastSent, y.Every
			if d.kind.Apart {
				t.r.inherit(y.Route)
			}
		}
	}
}
