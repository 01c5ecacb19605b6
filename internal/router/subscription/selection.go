package subscription

import (
	"cmp"
	"time"
)

const (
	// betterReplyTimeout is the wait for a better instance after the first trusted one has answered.
	betterReplyTimeout = 30 * time.Millisecond
	// provisionalFollowTimeout is the duration of a search after which an instance without a recent proof is followed although other
	// instances have not answered yet.
	provisionalFollowTimeout = 350 * time.Millisecond
)

// selectInstance moves to the best instance that has answered, if that justifies leaving the followed one.
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

// bestTrusted returns the best of the probed instances that are trusted and justify a move, or nil if there is none.
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

// compareTrusted prefers an instance with a trust margin, then the closer one, then the one with the newer contact.
func (d *Decider) compareTrusted(now time.Time, a, b *probe) int {
	byMargin := 0
	if d.hasTrustMargin(now, &a.instanceConnection) != d.hasTrustMargin(now, &b.instanceConnection) {
		byMargin = a.majorityContactAt.Compare(b.majorityContactAt)
	}
	return cmp.Or(byMargin, cmp.Compare(a.proximity, b.proximity), a.majorityContactAt.Compare(b.majorityContactAt))
}

// justifiesMove reports whether a trusted instance is better than the followed one by enough to move to it.
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

// mayGetBetterReply reports whether a probe is in flight whose reply may be preferred to the best one so far.
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

// moveTo replaces the followed instance by a trusted one and ends the search.
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

// replaceFollowed leaves the followed instance, if there is one, and follows another.
func (d *Decider) replaceFollowed(now time.Time, p *probe, reason error) {
	if d.followed != nil {
		d.leave(now, reason)
	}
	d.follow(now, p.instanceConnection)
}

// endZoneLocalSearch ends a zone-local search that found no instance to move to, and schedules the next one.
func (d *Decider) endZoneLocalSearch(now time.Time) {
	d.endSearch()
	d.raiseZoneLocalBackoff()
	d.followed.zoneLocalSearchAt = now.Add(d.zoneLocalBackoff)
}

func (d *Decider) raiseZoneLocalBackoff() {
	d.zoneLocalBackoff = min(maxZoneLocalBackoff, 2*d.zoneLocalBackoff)
}

// followProvisionally follows the best instance that is not trusted, unless the followed one is as good. The search
// continues.
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
