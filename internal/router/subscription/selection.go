package subscription

import (
	"cmp"
	"time"
)

const (
	// betterReplyTimeout is the wait for a better instance, once one that can be trusted has answered.
	betterReplyTimeout = 30 * time.Millisecond
	// provisionalFollowTimeout is how long a search lasts before an instance without a fresh proof is followed while others
	// have yet to answer.
	provisionalFollowTimeout = 350 * time.Millisecond
)

// selectInstance moves to the best instance that has answered, if that one is worth leaving the followed one for.
func (d *Decider) selectInstance(now time.Time, s *search) {
	if best := d.bestTrusted(now, s); best != nil {
		if s.firstTrustedAt.IsZero() {
			s.firstTrustedAt = now
		}
		if !d.mayGetBetterReply(now, s, best) || !now.Before(s.firstTrustedAt.Add(betterReplyTimeout)) {
			d.moveTo(now, s, best)
		}
		return
	}
	s.firstTrustedAt = time.Time{}
	roundDone := len(s.remaining) == 0 && s.inFlight() == 0
	timedOut := !now.Before(s.startedAt.Add(provisionalFollowTimeout))
	switch {
	case s.zoneLocal && (roundDone || timedOut):
		d.endZoneLocalSearch(now)
	case s.zoneLocal || s.rounds == 0:
	case roundDone || timedOut:
		d.followProvisionally(now, s)
	}
}

// bestTrusted is the best of the probed instances that are trusted and worth leaving the followed one for; nil: there is
// none.
func (d *Decider) bestTrusted(now time.Time, s *search) *probe {
	var best *probe
	for _, p := range s.probes {
		if p.state == probeDialing || p.epoch < d.newestEpoch || !d.trusted(now, &p.instanceConnection) || !d.justifiesMove(now, s, p) {
			continue
		}
		if best == nil || d.compareTrusted(now, p, best) > 0 {
			best = p
		}
	}
	return best
}

// compareTrusted prefers an instance with a trust margin to one without, then a closer one, then the one with the newer
// contact.
func (d *Decider) compareTrusted(now time.Time, a, b *probe) int {
	byMargin := 0
	if d.hasTrustMargin(now, &a.instanceConnection) != d.hasTrustMargin(now, &b.instanceConnection) {
		byMargin = a.majorityContactAt.Compare(b.majorityContactAt)
	}
	return cmp.Or(byMargin, cmp.Compare(a.proximity, b.proximity), a.majorityContactAt.Compare(b.majorityContactAt))
}

// justifiesMove says whether a trusted instance is worth leaving the followed one for.
func (d *Decider) justifiesMove(now time.Time, s *search, p *probe) bool {
	f := d.followed
	switch {
	case s.zoneLocal:
		return d.hasTrustMargin(now, &p.instanceConnection)
	case f == nil || f.majorityContactAt.IsZero() || f.epoch < p.epoch:
		return true
	}
	return p.majorityContactAt.Sub(f.majorityContactAt) >= d.trustMargin()
}

// mayGetBetterReply says whether a probe is in flight whose reply might be preferred to the best one so far.
func (d *Decider) mayGetBetterReply(now time.Time, s *search, best *probe) bool {
	if d.followed != nil && d.followed.probeInFlight && !s.zoneLocal {
		return true
	}
	margin := d.hasTrustMargin(now, &best.instanceConnection)
	for _, p := range s.probes {
		if p.state != probeAnswered && (!margin || p.proximity > best.proximity) {
			return true
		}
	}
	return false
}

// moveTo follows a trusted instance in the place of the present one and ends the search.
func (d *Decider) moveTo(now time.Time, s *search, p *probe) {
	reason := ErrTrustExpired
	if s.zoneLocal {
		reason = ErrZoneLocalAlternative
		d.raiseZoneLocalBackoff()
	}
	s.remove(p)
	d.replaceFollowed(now, p, reason)
	d.endSearch()
}

// replaceFollowed follows an instance in the place of the present one, if there is one.
func (d *Decider) replaceFollowed(now time.Time, p *probe, reason error) {
	if d.followed != nil {
		d.leave(now, reason)
	}
	d.follow(now, p.instanceConnection)
}

// endZoneLocalSearch ends a search in the own zone that has found no instance to move to, and schedules the next one.
func (d *Decider) endZoneLocalSearch(now time.Time) {
	d.endSearch()
	d.raiseZoneLocalBackoff()
	d.followed.zoneLocalSearchAt = now.Add(d.zoneLocalBackoff)
}

func (d *Decider) raiseZoneLocalBackoff() {
	d.zoneLocalBackoff = min(maxZoneLocalBackoff, 2*d.zoneLocalBackoff)
}

// followProvisionally follows the best instance that can't be trusted, unless the present one is as good. The search
// goes on.
func (d *Decider) followProvisionally(now time.Time, s *search) {
	var best *probe
	for _, p := range s.probes {
		if p.state == probeAnswered && p.epoch >= d.newestEpoch && (best == nil || compareUntrusted(p, best) > 0) {
			best = p
		}
	}
	f := d.followed
	if best == nil || f != nil && f.responded && best.epoch <= f.epoch {
		return
	}
	s.remove(best)
	d.replaceFollowed(now, best, ErrOlderEpoch)
}

// compareUntrusted prefers the instance in the newer epoch, then the one with the newer contact, then the closer one.
func compareUntrusted(a, b *probe) int {
	return cmp.Or(
		cmp.Compare(a.epoch, b.epoch),
		a.majorityContactAt.Compare(b.majorityContactAt),
		cmp.Compare(a.proximity, b.proximity),
	)
}
