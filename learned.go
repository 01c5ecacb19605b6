package raventrestle

import (
	"cmp"
	"slices"
	"time"
)

// Learned is what a policy has learned about destinations. It is passed to the process that takes over from this
// one. Its times are on the clock of Step, which both processes share. It contains no state of messages, calls or
// connections. Its JSON is stored in files and journals, so the keys must not change.
type Learned struct {
	CallSec        float64 // moving average of the slot-seconds of a call
	Mean           time.Duration
	Dev            time.Duration
	N              int
	MaxIdleTime    time.Duration `json:"IdleLife"`
	LimitsReported bool          `json:"Told"`
	Dests          []LearnedDest
}

// LearnedDest is what was learned about one destination. Route is the route of all its targets, nil if each target
// has its own.
type LearnedDest struct {
	Dest               DestID
	CallSec            float64       // moving average of the slot-seconds of a call
	RejectionsInRow    int           `json:"Shut"`
	DepartedTargetRate float64       `json:"Left"`
	ConnLimited        bool          `json:"Cramped"`
	Route              *LearnedRoute `json:",omitempty"`
	Targets            []LearnedTarget
}

// LearnedTarget is what was learned about one target.
type LearnedTarget struct {
	Target       TargetID
	Health       uint8
	Fails        int
	Mean         time.Duration
	UsualRate    float64       `json:"Usual"`
	FailureCount float64       `json:"Bad"`
	CallCount    float64       `json:"All"`
	CountsAt     time.Duration `json:"OddsAt"`
	Since        time.Duration
	SlowStartAt  time.Duration `json:"RampAt"`
	LastOK       time.Duration
	LastSent     time.Duration
	SendInterval time.Duration `json:"Every"`
	Route        *LearnedRoute `json:",omitempty"`
}

// LearnedRoute is what was learned about a route, which has its own limit and retry-after time.
type LearnedRoute struct {
	Limit          float64 `json:"Size"`
	Rate, Tokens   float64
	Threshold      float64       `json:"Knee"`
	SentRate       float64       `json:"Brisk"`
	SentRateAt     time.Duration `json:"BriskAt"`
	LimitReported  bool          `json:"Told"`
	AllSuspended   bool          `json:"Shut"`
	RefilledAt     time.Duration `json:"FilledAt"`
	RateCutAt      time.Duration `json:"CutAt"`
	WaitUntil      time.Duration `json:"Until"`
	OutageAt       time.Duration `json:"DownAt"`
	LastOK, NextAt time.Duration
	Mean, Dev      time.Duration
	Fails, N       int
}

func (r *route) learned() *LearnedRoute {
	return &LearnedRoute{
		Limit: r.size, Threshold: r.threshold, Rate: r.rate, Tokens: r.tokens, SentRate: r.sentRate, LimitReported: r.told, AllSuspended: r.shut, RefilledAt: r.filledAt,
		SentRateAt: r.sentRateAt, RateCutAt: r.cutAt, WaitUntil: r.until, OutageAt: r.downAt, LastOK: r.lastOK, NextAt: r.nextAt, Mean: r.times.mean, Dev: r.times.dev,
		Fails: r.fails, N: r.times.n,
	}
}

func (r *route) inherit(b *LearnedRoute) {
	if b == nil {
		return
	}
	r.size, r.threshold, r.rate, r.tokens, r.sentRate, r.told, r.shut = b.Limit, b.Threshold, b.Rate, b.Tokens, b.SentRate, b.LimitReported, b.AllSuspended
	r.filledAt, r.sentRateAt, r.cutAt, r.until = b.RefilledAt, b.SentRateAt, b.RateCutAt, max(r.until, b.WaitUntil)
	r.downAt, r.lastOK, r.nextAt, r.fails = b.OutageAt, b.LastOK, b.NextAt, b.Fails
	r.times = times{mean: b.Mean, dev: b.Dev, n: b.N}
}

// Learned returns what the policy has learned. It changes nothing.
func (p *Policy) Learned() Learned {
	b := Learned{CallSec: p.flows.MeanSlotSeconds, Mean: p.times.mean, Dev: p.times.dev, N: p.times.n, MaxIdleTime: p.idleLife, LimitsReported: p.told}
	for _, d := range p.dests {
		x := LearnedDest{Dest: d.id, CallSec: d.MeanSlotSeconds, RejectionsInRow: d.shut, DepartedTargetRate: d.left, ConnLimited: p.connLimited[d.ki]}
		if !d.kind.RoutePerTarget {
			x.Route = d.shared.learned()
		}
		for _, t := range d.targets {
			all := t.odds[len(p.set.Classes)]
			y := LearnedTarget{
				Target: t.id, Health: uint8(t.health), Fails: t.fails, Mean: t.mean, UsualRate: t.usual, FailureCount: all.bad, CallCount: all.all,
				CountsAt: all.at, Since: t.since, SlowStartAt: t.rampAt, LastOK: t.lastOK, LastSent: t.lastSent, SendInterval: t.gap,
			}
			if d.kind.RoutePerTarget {
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
	p.flows.MeanSlotSeconds, p.times, p.told = b.CallSec, times{mean: b.Mean, dev: b.Dev, n: b.N}, b.LimitsReported
	if b.MaxIdleTime > 0 {
		p.idleLife = min(p.idleLife, b.MaxIdleTime)
	}
	for _, x := range b.Dests {
		d := p.dests[x.Dest]
		if d == nil {
			continue
		}
		d.MeanSlotSeconds, d.shut, d.left, p.connLimited[d.ki] = x.CallSec, x.RejectionsInRow, x.DepartedTargetRate, p.connLimited[d.ki] || x.ConnLimited
		d.shared.inherit(x.Route)
		for _, y := range x.Targets {
			t := p.targets[y.Target]
			if t == nil || t.d != d || y.Health > uint8(ramp) {
				continue
			}
			t.health, t.fails, t.mean, t.usual = health(y.Health), y.Fails, y.Mean, y.UsualRate
			t.odds[len(p.set.Classes)] = odds{bad: y.FailureCount, all: y.CallCount, at: y.CountsAt}
			t.since, t.rampAt, t.lastOK, t.lastSent, t.gap = y.Since, y.SlowStartAt, y.LastOK, y.LastSent, y.SendInterval
			if d.kind.RoutePerTarget {
				t.r.inherit(y.Route)
			}
		}
	}
}
