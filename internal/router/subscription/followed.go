package subscription

import (
	"time"

	"raventrestle/internal/protocol"
)

const (
	beaconTimeout                 = 750 * time.Millisecond // without any message: beacons come every 250 ms
	announcedConfigurationTimeout = time.Second            // from the announcement of a configuration until it comes
	stableFollowTime              = 2 * time.Second        // an instance followed for so long works
	minZoneLocalBackoff           = 3 * time.Second        // between searches for an instance in the own zone
	maxZoneLocalBackoff           = time.Minute
)

// followedInstance is the instance that the router takes updates from.
type followedInstance struct {
	instanceConnection
	unresponsiveAt    time.Time // it is left then, unless a message comes
	responded         bool      // a message has come
	issuesCredit      bool      // it answers requests for credit
	wasTrusted        bool      // it has been trusted since the last search
	probeInFlight     bool
	nextEarlyProbeAt  time.Time // no early probe is sent before
	lastUpdate        uint64    // sequence number of the newest update, 0: none
	lastAckedUpdate   uint64    // sequence number of the newest update that is applied, 0: none
	newestGeneration  int64     // of the configurations that it has sent
	followedSince     time.Time // when its first update was applied; zero: none is
	zoneLocalSearchAt time.Time // when an instance in the own zone is searched for; zero: never
	withheldDeadline  time.Time // it is left then, unless it sends the configuration that it has announced; zero: none is due
}

// follow subscribes to an instance on an open connection. The one before has been left.
func (d *Decider) follow(now time.Time, c instanceConnection) {
	d.followed = &followedInstance{
		instanceConnection: c,
		unresponsiveAt:     now.Add(beaconTimeout),
		responded:          c.provesFreshness,
		newestGeneration:   d.applied.generation,
	}
	d.send(c.id, protocol.Subscribe{
		Node:         d.config.Node,
		Zone:         d.config.Zone,
		Incarnation:  d.config.Incarnation,
		Generation:   d.applied.generation,
		Ready:        d.applied.ready,
		EchoSequence: d.nextEcho(now, &d.followed.instanceConnection),
	})
	for _, report := range d.queuedReports {
		d.sendReport(report)
	}
	d.queuedReports = nil
}

// leave stops following the instance. What it sent and is not applied yet is dropped: the next one sends it again.
func (d *Decider) leave(now time.Time, err error) {
	f := d.followed
	d.followed, d.pendingUpdates = nil, nil
	d.out.Close = append(d.out.Close, f.id)
	if f.followedSince.IsZero() {
		d.candidates.Deprioritize(f.address)
		d.recordUnreachable(f.address, err)
		return
	}
	d.unreachableRecorded = false
	d.record(InstanceLeft{Instance: f.address, Err: err})
	if now.Sub(f.followedSince) < stableFollowTime {
		d.candidates.Deprioritize(f.address)
		return
	}
	d.candidates.Restart(f.address)
	if d.search != nil {
		d.search.restartRound()
	}
}

// recordUnreachable records once that no instance can be followed.
func (d *Decider) recordUnreachable(address string, err error) {
	if !d.unreachableRecorded {
		d.unreachableRecorded = true
		d.record(ControlPlaneUnreachable{Instance: address, Err: err})
	}
}

// followedMessage takes in a message of the followed instance.
func (d *Decider) followedMessage(now time.Time, f *followedInstance, message any) {
	f.unresponsiveAt = now.Add(beaconTimeout)
	f.responded = true
	switch m := message.(type) {
	case *protocol.Update:
		f.issuesCredit = m.IssuesCredit
		d.updateReceived(now, f, m)
	case *protocol.Beacon:
		if m.Sequence != f.lastUpdate {
			d.leave(now, ErrSequenceGap)
			return
		}
		d.followedProof(now, f, m.Freshness, m.Generation)
	case *protocol.ProbeReply:
		f.probeInFlight = false
		d.followedProof(now, f, m.Freshness, m.Generation)
	}
}

// followedProof takes in a proof of the followed instance. One that has gone back to an earlier epoch is left.
func (d *Decider) followedProof(now time.Time, f *followedInstance, proof protocol.FreshnessProof, generation int64) {
	if proof.Epoch < f.epoch && proof != (protocol.FreshnessProof{}) {
		d.leave(now, ErrOlderEpoch)
		return
	}
	d.proofReceived(now, &f.instanceConnection, proof, generation)
	f.trackAnnouncement(generation, now)
}

// trackAnnouncement notes whether the instance announces a configuration that it has not sent.
func (f *followedInstance) trackAnnouncement(generation int64, now time.Time) {
	switch {
	case generation <= f.newestGeneration:
		f.withheldDeadline = time.Time{}
	case f.withheldDeadline.IsZero():
		f.withheldDeadline = now.Add(announcedConfigurationTimeout)
	}
}

// checkFollowed checks the deadlines of the followed instance. Without one, or without trust in it, others are searched
// for.
func (d *Decider) checkFollowed(now time.Time) {
	f := d.followed
	switch {
	case f == nil:
	case !f.withheldDeadline.IsZero() && !now.Before(f.withheldDeadline):
		d.leave(now, ErrConfigurationWithheld)
	case !now.Before(f.unresponsiveAt):
		d.leave(now, ErrUnresponsive)
	case d.trusted(now, &f.instanceConnection):
		d.checkTrusted(now, f)
		return
	}
	d.startSearch(now)
}

// checkTrusted ends a search that is no longer needed, renews trust before it expires, and from time to time searches
// for an instance in the own zone.
func (d *Decider) checkTrusted(now time.Time, f *followedInstance) {
	f.wasTrusted = true
	if d.search != nil && !d.search.zoneLocal {
		d.endSearch()
	}
	d.probeBeforeTrustExpires(now, f)
	if d.search == nil && !f.zoneLocalSearchAt.IsZero() && !now.Before(f.zoneLocalSearchAt) {
		d.startZoneLocalSearch(now)
	}
}

// probeBeforeTrustExpires asks the followed instance for a newer proof, shortly before others would be probed.
func (d *Decider) probeBeforeTrustExpires(now time.Time, f *followedInstance) {
	if now.Before(d.earlyProbeAt(&f.instanceConnection)) || now.Before(f.nextEarlyProbeAt) {
		return
	}
	f.nextEarlyProbeAt = now.Add(minRoundBackoff)
	d.probeFollowed(now)
}

// renewClockSync sends an echo to the followed instance if the last one was long ago. A probe brings it back at once.
func (d *Decider) renewClockSync(now time.Time) {
	if f := d.followed; f != nil && f.provesFreshness && f.clock.echoDue(now) {
		d.send(f.id, protocol.Probe{EchoSequence: d.nextEcho(now, &f.instanceConnection)})
	}
}

func (d *Decider) addFollowedDeadlines(next *earliestDeadline, f *followedInstance) {
	next.add(f.unresponsiveAt)
	next.add(f.withheldDeadline)
	if !f.majorityContactAt.IsZero() {
		next.add(d.trustedUntil(&f.instanceConnection))
		next.add(laterOf(f.nextEarlyProbeAt, d.earlyProbeAt(&f.instanceConnection)))
	}
	if d.search == nil {
		next.add(f.zoneLocalSearchAt)
	}
	if f.provesFreshness {
		next.add(f.clock.nextEchoAt())
	}
}
