package subscription

import (
	"time"

	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
)

// pendingUpdate is an update that is not applied yet, and the connection that it came on.
type pendingUpdate struct {
	connection ConnectionID
	update     *protocol.Update
}

// updateReceived takes in the next update of the followed instance.
func (d *Decider) updateReceived(now time.Time, f *followedInstance, u *protocol.Update) {
	if u.Sequence != f.lastUpdate+1 {
		d.leave(now, ErrSequenceGap)
		return
	}
	f.lastUpdate = u.Sequence
	if len(u.Document) > 0 {
		f.newestGeneration = max(f.newestGeneration, u.Generation)
	}
	d.pendingUpdates = append(d.pendingUpdates, pendingUpdate{connection: f.id, update: u})
	d.followedProof(now, f, u.Freshness, u.Generation)
}

// applyNext requests the next update to be applied, one at a time.
func (d *Decider) applyNext() {
	if d.applying != nil || len(d.pendingUpdates) == 0 {
		return
	}
	next := d.pendingUpdates[0]
	d.pendingUpdates = d.pendingUpdates[1:]
	d.applying = &next
	d.out.Apply = d.changeOf(next.update)
}

// changeOf is what an update changes. A configuration never goes back.
func (d *Decider) changeOf(u *protocol.Update) *Change {
	change := &Change{
		View: dispatch.ViewChanged{Full: u.Snapshot, Endpoints: u.Endpoints, RouterCount: u.RouterCount},
	}
	if u.Generation > d.applied.generation && len(u.Document) > 0 {
		change.Generation, change.Document = u.Generation, u.Document
	}
	return change
}

// changeApplied takes in that an update is applied, or has failed. It is acknowledged if its instance is still followed.
func (d *Decider) changeApplied(now time.Time, err error) {
	done := d.applying
	if done == nil {
		return
	}
	d.applying = nil
	f := d.followed
	if f != nil && f.id != done.connection {
		f = nil // another one is followed by now
	}
	if err != nil {
		if f != nil {
			d.leave(now, err)
		}
		return
	}
	if f != nil && f.lastAckedUpdate == 0 {
		f.followedSince = now
		d.record(InstanceFollowed{Instance: f.address})
	}
	d.recordApplied(done.update)
	if f != nil {
		f.lastAckedUpdate = done.update.Sequence
		d.scheduleZoneLocalSearch(now, f)
		d.send(f.id, protocol.UpdateAck{Sequence: f.lastAckedUpdate})
	}
}

// recordApplied notes that an update is applied.
func (d *Decider) recordApplied(u *protocol.Update) {
	a := &d.applied
	if u.Generation > a.generation && len(u.Document) > 0 {
		a.configurationApplied(u.Generation)
		d.record(ConfigurationApplied{Generation: u.Generation})
	}
	a.hasSnapshot = a.hasSnapshot || u.Snapshot
	a.generationConfirmed = a.generationConfirmed || u.GenerationConfirmed && u.Generation == a.generation
	if a.becomesReady() {
		d.record(BecameReady{})
	}
	if len(u.Members) > 0 {
		d.candidates.SetMembers(u.Members)
	}
}

// scheduleZoneLocalSearch sets the time of the next search for an instance in the own zone, if one is known there while an
// instance of another zone is followed.
func (d *Decider) scheduleZoneLocalSearch(now time.Time, f *followedInstance) {
	switch {
	case !d.candidates.HasZoneLocalAlternative(f.address):
		f.zoneLocalSearchAt = time.Time{}
		if now.Sub(f.followedSince) >= stableFollowTime {
			d.zoneLocalBackoff = minZoneLocalBackoff
		}
	case f.zoneLocalSearchAt.IsZero():
		f.zoneLocalSearchAt = now.Add(d.zoneLocalBackoff)
	}
}
