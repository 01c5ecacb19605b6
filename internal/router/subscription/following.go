package subscription

import (
	"time"

	"raventrestle/internal/protocol"
)

const (
	mostSilence = 750 * time.Millisecond // of an instance that is followed: it sends beacons every 250 ms
	mostBehind  = time.Second            // between the announcement of a configuration and the configuration
	steadyAfter = 2 * time.Second        // an instance followed for so long works
	leastNearer = 3 * time.Second        // before one of the own zone is looked for
	mostNearer  = time.Minute
	earlyPart   = 8 // of Limits.Stale, by which the instance that is followed is asked before all others are
)

// following is the instance that the router takes updates from.
type following struct {
	link
	silentAt   time.Time // when it is left unless something comes
	heard      bool      // something has come
	proved     bool      // it has been fresh
	asked      bool      // a probe is out on its connection
	askAt      time.Time // it is not asked early again before
	received   uint64    // sequence of the last update, 0 before the first
	confirmed  uint64    // sequence of the last update in force, 0 before the first
	generation int64     // newest configuration that it has sent
	since      time.Time // when its first update was in force
	nearerAt   time.Time // when one of the own zone is looked for, zero for never
	behindAt   time.Time // when it is left since it does not send what it announces, zero for never
}

// follow subscribes to an instance on a connection that is open, in the place of the one before.
func (d *Decider) follow(now time.Time, l link) {
	d.followed = &following{link: l, silentAt: now.Add(mostSilence), heard: l.states, generation: d.knowledge.generation}
	d.send(l.id, protocol.Subscribe{
		Node:         d.identity.Node,
		Zone:         d.identity.Zone,
		Incarnation:  d.identity.Incarnation,
		Generation:   d.knowledge.generation,
		Ready:        d.knowledge.ready,
		EchoSequence: d.mark(now, &d.followed.link),
	})
	for _, report := range d.reports {
		d.sendReport(report)
	}
	d.reports = nil
}

// leave ends the following of an instance.
func (d *Decider) leave(now time.Time, err error) {
	f := d.followed
	d.followed, d.updates = nil, nil
	d.out.Close = append(d.out.Close, f.id)
	if f.since.IsZero() {
		d.course.Postpone(f.address)
		d.unreachable(f.address, err)
		return
	}
	d.alone = false
	d.tell(Left{Instance: f.address, Err: err})
	if now.Sub(f.since) >= steadyAfter {
		d.course.Anew(f.address)
		if d.search != nil {
			d.search.anew()
		}
	} else {
		d.course.Postpone(f.address)
	}
}

// unreachable tells once that nobody can be followed.
func (d *Decider) unreachable(address string, err error) {
	if !d.alone {
		d.alone = true
		d.tell(Unreachable{Instance: address, Err: err})
	}
}

// listen takes a message of the instance that is followed.
func (d *Decider) listen(now time.Time, f *following, message any) {
	f.silentAt = now.Add(mostSilence)
	f.heard = true
	switch m := message.(type) {
	case *protocol.Update:
		d.update(now, f, m)
	case *protocol.Beacon:
		if m.Sequence != f.received {
			d.leave(now, ErrSequence)
			return
		}
		d.stated(now, f, m.Freshness, m.Generation)
	case *protocol.ProbeReply:
		f.asked = false
		d.stated(now, f, m.Freshness, m.Generation)
	}
}

// stated takes in a statement of the instance that is followed.
func (d *Decider) stated(now time.Time, f *following, s protocol.FreshnessProof, generation int64) {
	if s.Epoch < f.epoch && s != (protocol.FreshnessProof{}) {
		d.leave(now, ErrEpoch)
		return
	}
	d.state(now, &f.link, s, generation)
	f.compare(generation, now)
}

// compare notes whether the instance announces a configuration that it has not sent.
func (f *following) compare(announced int64, now time.Time) {
	switch {
	case announced <= f.generation:
		f.behindAt = time.Time{}
	case f.behindAt.IsZero():
		f.behindAt = now.Add(mostBehind)
	}
}

// watch looks at the times of the instance that is followed.
func (d *Decider) watch(now time.Time) {
	f := d.followed
	switch {
	case f == nil:
	case !f.behindAt.IsZero() && !now.Before(f.behindAt):
		d.leave(now, ErrBehind)
	case !now.Before(f.silentAt):
		d.leave(now, ErrSilent)
	case d.fresh(now, &f.link):
		d.watchFresh(now, f)
		return
	}
	d.look(now)
}

// watchFresh ends a search that is not needed any more. At times it begins one for an instance of the own zone.
func (d *Decider) watchFresh(now time.Time, f *following) {
	f.proved = true
	if d.search != nil && !d.search.near {
		d.endSearch()
	}
	d.askEarly(now, f)
	if d.search == nil && !f.nearerAt.IsZero() && !now.Before(f.nearerAt) {
		d.lookNear(now)
	}
}

// askEarly asks the instance that is followed for newer proof, shortly before others would be asked.
func (d *Decider) askEarly(now time.Time, f *following) {
	if now.Before(f.contactAt.Add(d.limits.Stale-d.limits.Stale/earlyPart)) || now.Before(f.askAt) {
		return
	}
	f.askAt = now.Add(leastPause)
	d.askFollowed(now)
}

// markAgain sends a mark to the instance that is followed, where none has gone for long. A probe brings it back at once.
func (d *Decider) markAgain(now time.Time) {
	if f := d.followed; f != nil && f.states && f.anchor.due(now) {
		d.send(f.id, protocol.Probe{EchoSequence: d.mark(now, &f.link)})
	}
}

func (d *Decider) followingWakes(next *wake, f *following) {
	next.add(f.silentAt)
	next.add(f.behindAt)
	if !f.contactAt.IsZero() {
		next.add(f.contactAt.Add(d.limits.Stale))
		next.add(later(f.askAt, f.contactAt.Add(d.limits.Stale-d.limits.Stale/earlyPart)))
	}
	if d.search == nil {
		next.add(f.nearerAt)
	}
	if f.states {
		next.add(f.anchor.dueAt())
	}
}
