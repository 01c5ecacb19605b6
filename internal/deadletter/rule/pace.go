package rule

import (
	"time"

	"golang.org/x/time/rate"
)

// Pace says how fast one destination's dead letters go again. It is shut until the destination has been
// seen to deliver, starts with one call at a time at the first rate, stays there for as long as a
// returning destination may be cold, then grows with each resend that is delivered, and rests after a
// failure, longer after each further one. A courier that was just started knows of no outage: to it
// every destination may be cold (TestPaceKeepsToTheFirstRateWhileCold).
//
// The invariant: between two failures there are at most as many resends out as were delivered since
// the pace opened, and one more. TestPaceStartsWithOne holds it.
type Pace struct {
	limits   Limits
	limiter  *rate.Limiter
	seen     bool      // it has delivered since its last failure
	opened   time.Time // when it was first seen to, since then
	until    time.Time
	failures int // in a row
	window   int // resends that may be out at once
	out      int
}

// NewPace returns the pace of a destination of which nothing is known.
func NewPace(l Limits) *Pace {
	return &Pace{limits: l, window: 1, limiter: rate.NewLimiter(rate.Limit(l.FirstRate), 1)}
}

// Set brings the pace under other limits.
func (p *Pace) Set(l Limits, now time.Time) {
	p.limits = l
	p.limiter.SetLimitAt(now, min(max(p.limiter.Limit(), rate.Limit(l.FirstRate)), rate.Limit(l.MaxRate)))
}

// Saw says that a call to the destination has ended, whoever's it was.
func (p *Pace) Saw(now time.Time, delivered, resend bool, chance float64) {
	if resend {
		p.out = max(p.out-1, 0)
	}
	if !delivered {
		if resend {
			p.failures++
		}
		// A fresh message's failure makes for the first rest only: channels that fail one call in
		// twenty would else keep their dead letters for good.
		if rest := now.Add(p.limits.Rest(max(p.failures, 1), chance)); resend || !now.Before(p.until) {
			p.until = rest
		}
		p.seen, p.window = false, 1
		p.limiter.SetLimitAt(now, rate.Limit(p.limits.FirstRate))
		return
	}
	if now.Before(p.until) { // of a call that began before the failure, or a lucky one
		return
	}
	if !p.seen {
		p.seen, p.opened = true, now
	}
	if resend {
		p.failures = 0
	}
	if resend && now.Sub(p.opened) >= p.limits.Cold {
		p.window++
		p.limiter.SetLimitAt(now, min(p.limiter.Limit()*rate.Limit(1+p.limits.Growth), rate.Limit(p.limits.MaxRate)))
	}
}

// Back says that a resend ended without a try: nothing was learnt, and its place is free again.
func (p *Pace) Back() { p.out = max(p.out-1, 0) }

// May says whether a resend may begin now. An operator's word passes over the wait for a delivery.
func (p *Pace) May(now time.Time, asked bool) Reason {
	switch {
	case now.Before(p.until):
		return Resting
	case !p.seen && !asked:
		return NotSeen
	case p.out >= p.window || p.limiter.TokensAt(now) < 1:
		return Paced
	}
	return Allowed
}

// Begin says that a resend begins; call it only when May allows.
func (p *Pace) Begin(now time.Time) {
	p.limiter.AllowN(now, 1)
	p.out++
}

// Idle says that the pace holds nothing worth remembering.
func (p *Pace) Idle(now time.Time) bool {
	return p.out == 0 && p.failures == 0 && !p.seen && !now.Before(p.until)
}
