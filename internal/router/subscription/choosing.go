package subscription

import (
	"cmp"
	"time"
)

const (
	nearWait         = 30 * time.Millisecond  // for a better instance, once another one has proved a fresh contact
	provisionalAfter = 350 * time.Millisecond // of search, an instance without proof is followed while others don't answer
	newerPart        = 4                      // of Limits.Stale: a contact newer by so much is worth a change of instance
)

// choose moves to the best instance that has answered, if it is better than the one that is followed.
func (d *Decider) choose(now time.Time, s *search) {
	if best := d.bestProved(now, s); best != nil {
		if s.provedAt.IsZero() {
			s.provedAt = now
		}
		if !d.awaited(now, s, best) || !now.Before(s.provedAt.Add(nearWait)) {
			d.move(now, s, best)
		}
		return
	}
	s.provedAt = time.Time{}
	done := len(s.ahead) == 0 && s.pending() == 0
	switch {
	case s.near && (done || !now.Before(s.startedAt.Add(provisionalAfter))):
		d.noNearer(now)
	case s.near || s.rounds == 0:
	case done || !now.Before(s.startedAt.Add(provisionalAfter)):
		d.chooseProvisional(now, s)
	}
}

// bestProved is the best instance that has proved a fresh contact and is worth leaving the present one for.
func (d *Decider) bestProved(now time.Time, s *search) *probe {
	var best *probe
	for _, p := range s.probes {
		if p.state == dialling || p.epoch < d.epoch || !d.fresh(now, &p.link) || !d.better(now, s, p) {
			continue
		}
		if best == nil || d.compareProved(now, p, best) > 0 {
			best = p
		}
	}
	return best
}

// compareProved compares by whether the contact is young, then by nearness, then by age.
func (d *Decider) compareProved(now time.Time, a, b *probe) int {
	young := 0
	if d.young(now, a) != d.young(now, b) {
		young = a.contactAt.Compare(b.contactAt)
	}
	return cmp.Or(young, cmp.Compare(a.nearness, b.nearness), a.contactAt.Compare(b.contactAt))
}

// better says whether an instance with proof is worth leaving the present one for.
func (d *Decider) better(now time.Time, s *search, p *probe) bool {
	f := d.followed
	switch {
	case s.near:
		return d.young(now, p)
	case f == nil || f.contactAt.IsZero() || f.epoch < p.epoch:
		return true
	}
	return p.contactAt.Sub(f.contactAt) >= d.limits.Stale/newerPart
}

// awaited says whether an answer is out that might be preferred.
func (d *Decider) awaited(now time.Time, s *search, best *probe) bool {
	if d.followed != nil && d.followed.asked && !s.near {
		return true
	}
	young := d.young(now, best)
	for _, p := range s.probes {
		if p.state != answered && (!young || p.nearness > best.nearness) {
			return true
		}
	}
	return false
}

// young says whether a contact will stay fresh for a while.
func (d *Decider) young(now time.Time, p *probe) bool {
	return now.Before(p.contactAt.Add(d.limits.Stale - d.limits.Stale/newerPart))
}

// move follows an instance that has proved a fresh contact and ends the search.
func (d *Decider) move(now time.Time, s *search, p *probe) {
	err := ErrStale
	if s.near {
		err = ErrNearer
		d.nearer = min(mostNearer, 2*d.nearer)
	}
	s.remove(p)
	d.replace(now, p, err)
	d.endSearch()
}

// replace follows an instance in the place of the present one, if there is one.
func (d *Decider) replace(now time.Time, p *probe, err error) {
	if d.followed != nil {
		d.leave(now, err)
	}
	d.follow(now, p.link)
}

// noNearer ends a search in the own zone that has found nobody. The next one comes later.
func (d *Decider) noNearer(now time.Time) {
	d.endSearch()
	d.nearer = min(mostNearer, 2*d.nearer)
	d.followed.nearerAt = now.Add(d.nearer)
}

// chooseProvisional follows the best instance without proof, unless the present one is as good. The search goes on.
func (d *Decider) chooseProvisional(now time.Time, s *search) {
	var best *probe
	for _, p := range s.probes {
		if p.state == answered && p.epoch >= d.epoch && (best == nil || compareUnproved(p, best) > 0) {
			best = p
		}
	}
	f := d.followed
	if best == nil || f != nil && f.heard && best.epoch <= f.epoch {
		return
	}
	s.remove(best)
	d.replace(now, best, ErrEpoch)
}

// compareUnproved compares by epoch, then by age, then by nearness.
func compareUnproved(a, b *probe) int {
	return cmp.Or(
		cmp.Compare(a.epoch, b.epoch),
		a.contactAt.Compare(b.contactAt),
		cmp.Compare(a.nearness, b.nearness),
	)
}
