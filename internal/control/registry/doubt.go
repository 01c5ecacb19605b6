package registry

import "time"

// An instance that was without contact with a majority may not know of endpoints that have left meanwhile. The others
// keep hints of what it lacks, but those that restart forget them, and all that they knew. So an instance that has
// contact again doubts what it knows until every living endpoint has called some instance: until then it shows no
// endpoint that is silent to routers and tells the others only of those that it has heard of since; then it gives up
// the rest.

// takeContact notes the newest contact with a majority. There is none yet in a new epoch: what was proved in one before
// holds on.
func (r *Registry) takeContact(now time.Time, in Contact) {
	former := later(r.contact, r.started)
	wasIsolated := r.isolated(now)
	if !in.ConfirmedAt.IsZero() {
		r.contact = in.ConfirmedAt
	}
	if now.Sub(former) <= IsolatedAfter || !wasIsolated || r.isolated(now) {
		return
	}
	r.reunited = now
	if now.Sub(former) > r.silentAfter() {
		r.whole, r.wholeFrom = false, now
	}
}

// doubtful says whether endpoints may have left without this instance's knowledge.
func (r *Registry) doubtful(now time.Time) bool { return r.isolated(now) || !r.reunited.IsZero() }

// dubious says whether an endpoint has probably left without this instance's knowledge.
func (r *Registry) dubious(now time.Time, e *entry) bool {
	return !e.gone && e.silent && r.doubtful(now)
}

// keptBack says whether the other instances are not to be told of an endpoint: if it lives, it calls them.
func (r *Registry) keptBack(now time.Time, e *entry) bool {
	return r.dubious(now, e) || r.unheard(e) || r.isolated(now) && r.overdue(now, e)
}

// unheard says whether nobody has heard an endpoint since this instance has contact again.
func (r *Registry) unheard(e *entry) bool {
	return !e.gone && later(e.heard, e.reached).Before(r.reunited)
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

// judgeDoubt ends the doubts: whether the table lacks endpoints, and whether it has some that left.
func (r *Registry) judgeDoubt(now time.Time) {
	if !r.whole && !now.Before(r.wholeFrom.Add(r.allCalled())) {
		r.whole = true
	}
	if !r.reunited.IsZero() && !now.Before(r.reunited.Add(r.allHeard())) {
		r.giveUpUnheard(now)
		r.reunited = time.Time{}
	}
	r.endDoubt(now)
}

func (r *Registry) giveUpUnheard(now time.Time) {
	for _, e := range r.entries {
		if r.unheard(e) {
			r.giveUp(now, e)
		}
	}
}

// endDoubt has routers told of the silent endpoints that were kept back and are there after all.
func (r *Registry) endDoubt(now time.Time) {
	doubtful := r.doubtful(now)
	if r.doubted && !doubtful {
		for _, e := range r.entries {
			if !e.gone && e.silent {
				r.change(e, false)
			}
		}
	}
	r.doubted = doubtful
}

// doubtEnds is when judgeDoubt has something to judge; zero: nothing.
func (r *Registry) doubtEnds() time.Time {
	switch {
	case !r.reunited.IsZero():
		return r.reunited.Add(r.allHeard())
	case !r.whole:
		return r.wholeFrom.Add(r.allCalled())
	}
	return time.Time{}
}
