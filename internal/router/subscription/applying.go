package subscription

import (
	"time"

	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
)

// queued is an update that is not in force yet.
type queued struct {
	connection ConnectionID
	update     *protocol.Update
}

// update takes the next update of the instance that is followed.
func (d *Decider) update(now time.Time, f *following, u *protocol.Update) {
	if u.Sequence != f.received+1 {
		d.leave(now, ErrSequence)
		return
	}
	f.received = u.Sequence
	if len(u.Document) > 0 {
		f.generation = max(f.generation, u.Generation)
	}
	d.updates = append(d.updates, queued{connection: f.id, update: u})
	d.stated(now, f, u.Freshness, u.Generation)
}

// applyNext has the next update put in force, one at a time.
func (d *Decider) applyNext() {
	if d.applying != nil || len(d.updates) == 0 {
		return
	}
	next := d.updates[0]
	d.updates = d.updates[1:]
	d.applying = &next
	d.out.Apply = d.change(next.update)
}

// change is what an update changes. A configuration never goes back.
func (d *Decider) change(u *protocol.Update) *Change {
	change := &Change{
		View: dispatch.ViewChanged{Full: u.Snapshot, Endpoints: u.Endpoints, Quotas: u.Quotas, Routers: u.RouterCount},
	}
	if u.Generation > d.knowledge.generation && len(u.Document) > 0 {
		change.Generation, change.Document = u.Generation, u.Document
	}
	return change
}

// applied takes in that an update is in force, or failed.
func (d *Decider) applied(now time.Time, err error) {
	done := d.applying
	if done == nil {
		return
	}
	d.applying = nil
	f := d.followed
	if f != nil && f.id != done.connection {
		f = nil // it has been left meanwhile
	}
	if err != nil {
		if f != nil {
			d.leave(now, err)
		}
		return
	}
	if f != nil && f.confirmed == 0 {
		f.since = now
		d.tell(Following{Instance: f.address})
	}
	d.note(done.update)
	if f != nil {
		f.confirmed = done.update.Sequence
		d.noteNearer(now, f)
		d.send(f.id, protocol.UpdateAck{Sequence: f.confirmed})
	}
}

// note remembers what is in force now.
func (d *Decider) note(u *protocol.Update) {
	k := &d.knowledge
	if u.Generation > k.generation && len(u.Document) > 0 {
		k.inForce(u.Generation)
		d.tell(ConfigurationInForce{Generation: u.Generation})
	}
	k.whole = k.whole || u.Snapshot
	k.confirmed = k.confirmed || u.GenerationConfirmed && u.Generation == k.generation
	if k.becomesReady() {
		d.tell(BecameReady{})
	}
	if len(u.Members) > 0 {
		d.course.SetMembers(u.Members)
	}
}

// noteNearer sets the time at which an instance of the own zone is looked for.
func (d *Decider) noteNearer(now time.Time, f *following) {
	switch {
	case !d.course.Nearer(f.address):
		f.nearerAt = time.Time{}
		if now.Sub(f.since) >= steadyAfter {
			d.nearer = leastNearer
		}
	case f.nearerAt.IsZero():
		f.nearerAt = now.Add(d.nearer)
	}
}
