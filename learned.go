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
	NormalRate   float64       `json:"Usual"`
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
	RateReducedAt  time.Duration `json:"CutAt"`
	WaitUntil      time.Duration `json:"Until"`
	OutageAt       time.Duration `json:"DownAt"`
	LastOK, NextAt time.Duration
	Mean, Dev      time.Duration
	Fails, N       int
}

func (r *route) learned() *LearnedRoute {
	return &LearnedRoute{
		Limit: r.limit, Threshold: r.threshold, Rate: r.rate, Tokens: r.tokens, SentRate: r.sentRate,
		LimitReported: r.limitReported, AllSuspended: r.allSuspended, RefilledAt: r.refilledAt,
		SentRateAt: r.sentRateAt, RateReducedAt: r.rateReducedAt, WaitUntil: r.waitUntil, OutageAt: r.outageAt,
		LastOK: r.lastAnsweredAt, NextAt: r.nextCallAt, Mean: r.latency.mean, Dev: r.latency.deviation,
		Fails: r.failuresInRow, N: r.latency.count,
	}
}

func (r *route) inherit(b *LearnedRoute) {
	if b == nil {
		return
	}
	r.limit, r.threshold, r.rate, r.tokens, r.sentRate, r.limitReported, r.allSuspended =
		b.Limit, b.Threshold, b.Rate, b.Tokens, b.SentRate, b.LimitReported, b.AllSuspended
	r.refilledAt, r.sentRateAt, r.rateReducedAt, r.waitUntil = b.RefilledAt, b.SentRateAt, b.RateReducedAt, max(r.waitUntil, b.WaitUntil)
	r.outageAt, r.lastAnsweredAt, r.nextCallAt, r.failuresInRow = b.OutageAt, b.LastOK, b.NextAt, b.Fails
	r.latency = latencyStats{mean: b.Mean, deviation: b.Dev, count: b.N}
}

// Learned returns what the policy has learned. It does not change the state.
func (p *Policy) Learned() Learned {
	b := Learned{
		CallSec: p.flows.MeanSlotSeconds, Mean: p.latency.mean, Dev: p.latency.deviation, N: p.latency.count,
		MaxIdleTime: p.maxIdleTime, LimitsReported: p.limitsReported,
	}
	for _, d := range p.destinations {
		x := LearnedDest{
			Dest: d.id, CallSec: d.MeanSlotSeconds, RejectionsInRow: d.rejectionsInRow,
			DepartedTargetRate: d.departedTargetRate, ConnLimited: p.connectionsLimited[d.kindIndex],
		}
		if !d.kind.RoutePerTarget {
			x.Route = d.sharedRoute.learned()
		}
		for _, t := range d.targets {
			all := t.counts[len(p.settings.Classes)]
			y := LearnedTarget{
				Target: t.id, Health: uint8(t.health), Fails: t.failuresInRow, Mean: t.meanLatency,
				NormalRate: t.normalRate, FailureCount: all.failures, CallCount: all.calls,
				CountsAt: all.updatedAt, Since: t.listedSince, SlowStartAt: t.slowStartAt,
				LastOK: t.lastAnsweredAt, LastSent: t.lastSentAt, SendInterval: t.sendInterval,
			}
			if d.kind.RoutePerTarget {
				y.Route = t.route.learned()
			}
			x.Targets = append(x.Targets, y)
		}
		b.Dests = append(b.Dests, x)
	}
	slices.SortFunc(b.Dests, func(a, b LearnedDest) int { return cmp.Compare(a.Dest, b.Dest) })
	return b
}

// Inherit takes over what another process learned about the targets in this policy's list.
func (p *Policy) Inherit(b Learned) {
	p.flows.MeanSlotSeconds, p.latency, p.limitsReported =
		b.CallSec, latencyStats{mean: b.Mean, deviation: b.Dev, count: b.N}, b.LimitsReported
	if b.MaxIdleTime > 0 {
		p.maxIdleTime = min(p.maxIdleTime, b.MaxIdleTime)
	}
	for _, x := range b.Dests {
		d := p.destinations[x.Dest]
		if d == nil {
			continue
		}
		d.MeanSlotSeconds, d.rejectionsInRow, d.departedTargetRate, p.connectionsLimited[d.kindIndex] =
			x.CallSec, x.RejectionsInRow, x.DepartedTargetRate, p.connectionsLimited[d.kindIndex] || x.ConnLimited
		d.sharedRoute.inherit(x.Route)
		for _, y := range x.Targets {
			t := p.targets[y.Target]
			if t == nil || t.dest != d || y.Health > uint8(slowStart) {
				continue
			}
			t.health, t.failuresInRow, t.meanLatency, t.normalRate = health(y.Health), y.Fails, y.Mean, y.NormalRate
			t.counts[len(p.settings.Classes)] = decayingCounts{
				failures: y.FailureCount, calls: y.CallCount, updatedAt: y.CountsAt,
			}
			t.listedSince, t.slowStartAt, t.lastAnsweredAt, t.lastSentAt, t.sendInterval =
				y.Since, y.SlowStartAt, y.LastOK, y.LastSent, y.SendInterval
			if d.kind.RoutePerTarget {
				t.route.inherit(y.Route)
			}
		}
	}
}
