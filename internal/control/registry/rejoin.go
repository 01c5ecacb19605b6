package registry

import "time"

// An instance that was without contact with a majority may not know of endpoints that have left meanwhile. The others
// keep hints of what it lacks, but those that restart forget them, and all that they knew. So an instance that has
// contact again takes its table for stale until every living endpoint has called some instance: until then it shows no
// endpoint that is silent to routers and tells the others only of those that it has heard of since; then it gives up
// the rest.

// takeContact notes the newest contact with a majority. There is none yet in a new epoch: what was proved in one before
// holds on.
func (r *Registry) takeContact(now time.Time, in QuorumContact) {
	former := later(r.contact, r.started)
	wasIsolated := r.isolated(now)
	if !in.ConfirmedAt.IsZero() {
		r.contact = in.ConfirmedAt
	}
	if now.Sub(former) <= QuorumContactTTL || !wasIsolated || r.isolated(now) {
		return
	}
	r.rejoinedAt = now
	if now.Sub(former) > r.silentAfter() {
		r.whole, r.wholeFrom = false, now
	}
}

// maybeStale says whether endpoints may have left without this instance's knowledge.
func (r *Registry) maybeStale(now time.Time) bool { return r.isolated(now) || !r.rejoinedAt.IsZero() }

// silentWhileStale says whether an endpoint has probably left without this instance's knowledge.
func (r *Registry) silentWhileStale(now time.Time, e *entry) bool {
	return !e.gone && e.silent && r.maybeStale(now)
}

// withheld says whether the other instances are not to be told of an endpoint: if it lives, it calls them.
func (r *Registry) withheld(now time.Time, e *entry) bool {
	return r.silentWhileStale(now, e) || r.unheard(e) || r.isolated(now) && r.overdue(now, e)
}

// unheard says whether nobody has heard an endpoint since this instance has contact again.
func (r *Registry) unheard(e *entry) bool {
	return !e.gone && later(e.heard, e.reached).Before(r.rejoinedAt)
}

// overdue says whether an endpoint has missed a heartbeat. Without contact it may have called elsewhere, to say that it
// ends; those who heard that may have restarted since.
func (r *Registry) overdue(now time.Time, e *entry) bool {
	return !e.gone && now.Sub(later(e.heard, e.reached)) > r.settings.Heartbeat+silenceMargin
}

// allHeard is how long it takes until an instance with contact has heard of every living endpoint.
func (r *Registry) allHeard() time.Duration { return r.settings.Heartbeat + tickEvery + silenceMargin }

// allCalled is how long it takes until every living endpoint has called some instance.
func (r *Registry) allCalled() time.Duration { return wholeBeats*r.settings.Heartbeat + silenceMargin }

// judgeStale ends the time in which the table may lack endpoints, and that in which it may have some that left.
func (r *Registry) judgeStale(now time.Time) {
	if !r.whole && !now.Before(r.wholeFrom.Add(r.allCalled())) {
		r.whole = true
	}
	if !r.rejoinedAt.IsZero() && !now.Before(r.rejoinedAt.Add(r.allHeard())) {
		r.giveUpUnheard(now)
		r.rejoinedAt = time.Time{}
	}
	r.endStale(now)
}

func (r *Registry) giveUpUnheard(now time.Time) {
	for _, e := range r.entries {
		if r.unheard(e) {
			r.giveUp(now, e)
		}
	}
}

// endStale has routers told of the silent endpoints that were kept back and are there after all.
func (r *Registry) endStale(now time.Time) {
	maybeStale := r.maybeStale(now)
	if r.wasStale && !maybeStale {
		for _, e := range r.entries {
			if !e.gone && e.silent {
				r.change(e, false)
			}
		}
	}
	r.wasStale = maybeStale
}

// staleEnds is when judgeStale has something to judge; zero: nothing.
func (r *Registry) staleEnds() time.Time {
	switch {
	case !r.rejoinedAt.IsZero():
		return r.rejoinedAt.Add(r.allHeard())
	case !r.whole:
		return r.wholeFrom.Add(r.allCalled())
	}
	return time.Time{}
}
