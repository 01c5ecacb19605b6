package subscription

import (
	"time"

	"raventrestle/internal/protocol"
)

const (
	beaconTimeout                 = 750 * time.Millisecond // without any message; instances send a beacon every 250 ms
	announcedConfigurationTimeout = time.Second            // from the announcement of a configuration until it is received
	minStableFollowTime           = 2 * time.Second        // from which an instance counts as working
	minZoneLocalBackoff           = 3 * time.Second        // between searches for an instance in the local zone
	maxZoneLocalBackoff           = time.Minute
)

// followedInstance is the instance whose updates the router applies.
type followedInstance struct {
	instanceConnection
	unresponsiveAt                 time.Time // when the instance is left unless another message is received
	responded                      bool      // a message has been received
	issuesCredit                   bool      // the instance answers requests for credit
	wasTrusted                     bool      // the instance has been trusted since the last search
	probeInFlight                  bool
	nextEarlyProbeAt               time.Time // no early probe is sent before
	lastUpdate                     uint64    // sequence number of the newest received update; 0: none
	lastAckedUpdate                uint64    // sequence number of the newest applied update; 0: none
	newestGeneration               int64     // of the configurations that the instance has sent
	followedSince                  time.Time // when the first update was applied; zero: not yet
	zoneLocalSearchAt              time.Time // when to search for an instance in the local zone; zero: never
	announcedConfigurationDeadline time.Time // when the instance is left unless it sends the announced configuration; zero: none
}

// follow subscribes to an instance on an open connection. The previous instance must have been left.
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

// leave stops following the instance. Its pending updates are dropped, because the next instance sends them again.
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
	if now.Sub(f.followedSince) < minStableFollowTime {
		d.candidates.Deprioritize(f.address)
		return
	}
	d.candidates.Restart(f.address)
	if d.search != nil {
		d.search.restartRound()
	}
}

// recordUnreachable records that no instance can be followed, unless that is recorded already.
func (d *Decider) recordUnreachable(address string, err error) {
	if !d.unreachableRecorded {
		d.unreachableRecorded = true
		d.record(ControlPlaneUnreachable{Instance: address, Err: err})
	}
}

// followedMessageReceived processes a message of the followed instance.
func (d *Decider) followedMessageReceived(now time.Time, f *followedInstance, message any) {
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
		d.followedProofReceived(now, f, m.Freshness, m.Generation)
	case *protocol.ProbeReply:
		f.probeInFlight = false
		d.followedProofReceived(now, f, m.Freshness, m.Generation)
	}
}

// followedProofReceived processes a proof of the followed instance. An instance that returned to an earlier epoch is left.
func (d *Decider) followedProofReceived(now time.Time, f *followedInstance, proof protocol.FreshnessProof, generation int64) {
	if proof.Epoch < f.epoch && proof != (protocol.FreshnessProof{}) {
		d.leave(now, ErrOlderEpoch)
		return
	}
	d.proofReceived(now, &f.instanceConnection, proof, generation)
	f.trackAnnouncement(generation, now)
}

// trackAnnouncement sets or clears the deadline for a configuration that the instance has announced and not yet sent.
func (f *followedInstance) trackAnnouncement(generation int64, now time.Time) {
	switch {
	case generation <= f.newestGeneration:
		f.announcedConfigurationDeadline = time.Time{}
	case f.announcedConfigurationDeadline.IsZero():
		f.announcedConfigurationDeadline = now.Add(announcedConfigurationTimeout)
	}
}

// checkFollowed checks the deadlines of the followed instance. It starts a search if no instance is followed or the followed one
// is not trusted.
func (d *Decider) checkFollowed(now time.Time) {
	f := d.followed
	switch {
	case f == nil:
	case !f.announcedConfigurationDeadline.IsZero() && !now.Before(f.announcedConfigurationDeadline):
		d.leave(now, ErrConfigurationWithheld)
	case !now.Before(f.unresponsiveAt):
		d.leave(now, ErrUnresponsive)
	case d.trusted(now, &f.instanceConnection):
		d.checkTrusted(now, f)
		return
	}
	d.startSearch(now)
}

// checkTrusted ends a search that is no longer needed, probes the instance before trust expires, and searches for an instance in
// the local zone when such a search is due.
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

// probeBeforeTrustExpires requests a newer proof from the followed instance shortly before the other instances would be probed.
func (d *Decider) probeBeforeTrustExpires(now time.Time, f *followedInstance) {
	if now.Before(d.earlyProbeAt(&f.instanceConnection)) || now.Before(f.nextEarlyProbeAt) {
		return
	}
	f.nextEarlyProbeAt = now.Add(minRoundBackoff)
	d.probeFollowed(now)
}

// renewClockSync sends an echo to the followed instance if the last one is old. The echo is sent as a probe, which is answered at
// once.
func (d *Decider) renewClockSync(now time.Time) {
	if f := d.followed; f != nil && f.provesFreshness && f.clock.echoDue(now) {
		d.send(f.id, protocol.Probe{EchoSequence: d.nextEcho(now, &f.instanceConnection)})
	}
}

func (d *Decider) addFollowedDeadlines(next *earliestDeadline, f *followedInstance) {
	next.add(f.unresponsiveAt)
	next.add(f.announcedConfigurationDeadline)
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
