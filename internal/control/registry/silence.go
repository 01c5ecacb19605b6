package registry

import "time"

// tick does once a second what needs no better time.
func (r *Registry) tick(now time.Time) {
	r.nextTick = now.Add(tickEvery)
	r.lastTick = now
	r.judgeSilence(now)
	r.forgetLoading(now)
	r.repeatLoading(now)
	r.routers.refresh(now, r.peers)
	r.resendUnconfirmed(now)
	r.sendDigests(now)
}

func (r *Registry) silentAfter() time.Duration {
	return silentBeats*r.settings.Heartbeat + silenceMargin
}

// judgeSilence marks endpoints whose heartbeats stopped, and later gives them up.
func (r *Registry) judgeSilence(now time.Time) {
	for _, e := range r.entries {
		switch {
		case e.gone:
			r.forgetGone(now, e)
		case now.Sub(later(e.heard, e.reached)) > dropAfter:
			r.giveUp(now, e)
		case !e.silent && now.Sub(e.heard) > r.silentAfter():
			e.silent = true
			r.change(e, false)
		}
	}
}

func (r *Registry) forgetGone(now time.Time, e *entry) {
	keep := goneFor
	if e.left {
		keep = leftFor
	}
	if now.Sub(e.goneSince) > keep {
		r.remove(e)
	}
}

// revive takes in that an endpoint was heard, without news of its contents.
func (r *Registry) revive(now time.Time, e *entry) {
	if e.gone {
		return // its contents may be old: a record brings it back
	}
	e.heard = now
	if e.silent {
		e.silent = false
		r.change(e, false)
	}
}
