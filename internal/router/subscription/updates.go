package subscription

import (
	"time"

	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
)

// pendingUpdate is an update that is not applied yet, with the connection on which it was received.
type pendingUpdate struct {
	connection ConnectionID
	update     *protocol.Update
}

// updateReceived handles an update of the followed instance. The instance is left if it is not the next one in sequence.
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
	d.followedProofReceived(now, f, u.Freshness, u.Generation)
}

// applyNext requests that the next update be applied, unless one is being applied.
func (d *Decider) applyNext() {
	if d.applying != nil || len(d.pendingUpdates) == 0 {
		return
	}
	next := d.pendingUpdates[0]
	d.pendingUpdates = d.pendingUpdates[1:]
	d.applying = &next
	d.out.Apply = d.changeOf(next.update)
}

// changeOf returns the change of an update. An older configuration never replaces the applied one.
func (d *Decider) changeOf(u *protocol.Update) *Change {
	change := &Change{
		View: dispatch.ViewChanged{Full: u.Snapshot, Endpoints: u.Endpoints, RouterCount: u.RouterCount},
	}
	if u.Generation > d.applied.generation && len(u.Document) > 0 {
		change.Generation, change.Document = u.Generation, u.Document
	}
	return change
}

// changeApplied handles the result of applying an update. It acknowledges the update if the instance is still followed.
func (d *Decider) changeApplied(now time.Time, err error) {
	applied := d.applying
	if applied == nil {
		return
	}
	d.applying = nil
	f := d.followed
	if f != nil && f.id != applied.connection {
		f = nil // another instance is followed now
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
	d.recordApplied(applied.update)
	if f != nil {
		f.lastAckedUpdate = applied.update.Sequence
		d.scheduleZoneLocalSearch(now, f)
		d.send(f.id, protocol.UpdateAck{Sequence: f.lastAckedUpdate})
	}
}

// recordApplied updates the applied state after an update was applied.
func (d *Decider) recordApplied(u *protocol.Update) {
	a := &d.applied
	if u.Generation > a.generation && len(u.Document) > 0 {
		a.configurationApplied(u.Generation)
		d.record(ConfigurationApplied{Generation: u.Generation})
	}
	a.hasSnapshot = a.hasSnapshot || u.Snapshot
	a.generationConfirmed = a.generationConfirmed || u.GenerationConfirmed && u.Generation == a.generation
	if a.setReadyIfComplete() {
		d.record(BecameReady{})
	}
	if len(u.Members) > 0 {
		d.candidates.SetMembers(u.Members)
	}
}

// scheduleZoneLocalSearch schedules the next search for an instance in the local zone if one is known there while the followed
// instance is in another zone.
func (d *Decider) scheduleZoneLocalSearch(now time.Time, f *followedInstance) {
	switch {
	case !d.candidates.HasZoneLocalAlternative(f.address):
		f.zoneLocalSearchAt = time.Time{}
		if now.Sub(f.followedSince) >= minStableFollowTime {
			d.zoneLocalBackoff = minZoneLocalBackoff
		}
	case f.zoneLocalSearchAt.IsZero():
		f.zoneLocalSearchAt = now.Add(d.zoneLocalBackoff)
	}
}
