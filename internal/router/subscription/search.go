package subscription

import (
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

const (
	dialTimeout         = 350 * time.Millisecond
	probeTimeout        = 350 * time.Millisecond
	maxConcurrentProbes = 4 // waiting for a connection or a reply
	minWakeDelay        = time.Millisecond
)

// search probes instances in rounds until one that is trusted is followed.
type search struct {
	zoneLocal      bool // only one round over the local zone, while a trusted instance in another zone is followed
	startedAt      time.Time
	nextRoundAt    time.Time // the next round begins at this time, but not before all candidates of the current one are probed
	rounds         int
	remaining      []Candidate // candidates of the current round that are not probed yet
	probes         []*probe
	firstTrustedAt time.Time // when the first instance was found that is trusted and justifies a move; zero: none is known
	failedAddress  string    // of the probe that failed last
	lastError      error     // of the probe that failed last
}

// probe is a connection on which an instance is asked for a proof of its freshness. It stays open until the search ends, and the
// instance is probed again in each round.
type probe struct {
	instanceConnection
	proximity int // see Candidate
	state     probeState
	deadline  time.Time // of the current state; unused once the probe is answered
}

type probeState uint8

const (
	probeDialing probeState = iota
	probeSent
	probeAnswered
)

// startSearch begins a search over all candidates unless one is in progress. It replaces a zone-local search.
func (d *Decider) startSearch(now time.Time) {
	if d.search != nil && !d.search.zoneLocal {
		return
	}
	d.endSearch()
	if f := d.followed; f != nil && f.wasTrusted {
		f.wasTrusted = false
		d.candidates.Restart("")
	}
	d.search = &search{
		startedAt:   now,
		nextRoundAt: laterOf(now.Add(d.candidates.NextBackoff()), d.lastRoundAt.Add(minRoundBackoff)),
	}
}

// startZoneLocalSearch begins a search for an instance in the local zone. No other search may be in progress.
func (d *Decider) startZoneLocalSearch(now time.Time) {
	d.lastRoundAt = now
	d.search = &search{zoneLocal: true, startedAt: now, rounds: 1, remaining: d.candidates.ZoneLocal()}
}

func (d *Decider) endSearch() {
	if d.search == nil {
		return
	}
	for _, p := range d.search.probes {
		d.out.Close = append(d.out.Close, p.id)
	}
	d.search = nil
}

// continueSearch advances the search, if one is in progress.
func (d *Decider) continueSearch(now time.Time) {
	s := d.search
	if s == nil {
		return
	}
	for _, p := range slices.Clone(s.probes) {
		if p.state != probeAnswered && !now.Before(p.deadline) {
			d.probeFailed(p, ErrProbeTimeout)
		}
	}
	d.beginRound(now, s)
	d.probeRemaining(now, s)
	d.selectInstance(now, s)
}

// beginRound begins the next round if it is due.
func (d *Decider) beginRound(now time.Time, s *search) {
	if s.zoneLocal || len(s.remaining) > 0 || now.Before(s.nextRoundAt) {
		return
	}
	if s.rounds > 0 { // all known instances were probed without success; the settings may list others now
		d.out.ReadSeeds = true
		if d.followed == nil && s.lastError != nil {
			d.recordUnreachable(s.failedAddress, s.lastError)
		}
	}
	s.rounds++
	s.remaining = d.candidates.NextRound()
	d.lastRoundAt = now
	s.nextRoundAt = now.Add(max(minRoundBackoff, d.candidates.NextBackoff()))
	d.probeFollowed(now)
}

// probeFollowed probes the followed instance on its own connection, because it may have a newer proof than in its last beacon.
func (d *Decider) probeFollowed(now time.Time) {
	f := d.followed
	if f == nil || !f.provesFreshness {
		return
	}
	f.probeInFlight = true
	d.send(f.id, protocol.Probe{EchoSequence: d.nextEcho(now, &f.instanceConnection)})
}

// probeRemaining probes the remaining candidates of the round, with at most maxConcurrentProbes in flight.
func (d *Decider) probeRemaining(now time.Time, s *search) {
	for len(s.remaining) > 0 && s.inFlight() < maxConcurrentProbes {
		candidate := s.remaining[0]
		s.remaining = s.remaining[1:]
		if d.followed != nil && d.followed.address == candidate.Address {
			continue
		}
		p := s.probeByAddress(candidate.Address)
		switch {
		case p == nil:
			d.dialCandidate(now, s, candidate)
		case p.state == probeAnswered:
			p.proximity = candidate.Proximity
			d.sendProbe(now, p)
		}
	}
}

func (d *Decider) dialCandidate(now time.Time, s *search, candidate Candidate) {
	d.lastConnection++
	p := &probe{
		instanceConnection: instanceConnection{id: d.lastConnection, address: candidate.Address},
		proximity:          candidate.Proximity,
		deadline:           now.Add(dialTimeout),
	}
	s.probes = append(s.probes, p)
	d.out.Dial = append(d.out.Dial, Dial{Connection: p.id, Address: p.address})
}

func (d *Decider) sendProbe(now time.Time, p *probe) {
	p.state = probeSent
	p.deadline = now.Add(probeTimeout)
	d.send(p.id, protocol.Probe{EchoSequence: d.nextEcho(now, &p.instanceConnection)})
}

// connectionOpened probes the instance on its new connection. If no instance is followed, one that is known not to answer probes
// is followed without a probe, because it may run an older program that works.
func (d *Decider) connectionOpened(now time.Time, id ConnectionID) {
	p := d.search.probeByConnection(id)
	if p == nil || p.state != probeDialing {
		return
	}
	if d.unresponsiveToProbes[p.address] && d.followed == nil && !d.search.zoneLocal {
		d.search.remove(p)
		d.follow(now, p.instanceConnection)
		return
	}
	d.sendProbe(now, p)
}

func (d *Decider) probeReplied(now time.Time, p *probe, reply *protocol.ProbeReply) {
	delete(d.unresponsiveToProbes, p.address)
	p.state = probeAnswered
	d.proofReceived(now, &p.instanceConnection, reply.Freshness, reply.Generation)
}

// probeFailed closes a failed probe.
func (d *Decider) probeFailed(p *probe, err error) {
	d.out.Close = append(d.out.Close, p.id)
	d.search.remove(p)
	d.search.failedAddress, d.search.lastError = p.address, err
	if p.state == probeSent && !p.provesFreshness {
		d.unresponsiveToProbes[p.address] = true
	}
}

func (d *Decider) addSearchDeadlines(next *earliestDeadline, s *search) {
	for _, p := range s.probes {
		if p.state != probeAnswered {
			next.add(p.deadline)
		}
	}
	if len(s.remaining) == 0 && !s.zoneLocal {
		next.add(laterOf(s.nextRoundAt, next.now.Add(minWakeDelay)))
	}
	if !s.firstTrustedAt.IsZero() {
		next.add(s.firstTrustedAt.Add(betterReplyTimeout))
	}
	next.add(s.startedAt.Add(provisionalFollowTimeout))
}

// restartRound makes the next round begin at once.
func (s *search) restartRound() {
	s.remaining, s.nextRoundAt = nil, time.Time{}
}

func (s *search) extendDeadlines(until time.Time) {
	for _, p := range s.probes {
		p.deadline = laterOf(p.deadline, until)
	}
}

// inFlight returns the number of probes that wait for a connection or a reply.
func (s *search) inFlight() int {
	count := 0
	for _, p := range s.probes {
		if p.state != probeAnswered {
			count++
		}
	}
	return count
}

// probeByConnection returns the probe on a connection, or nil if there is none or no search is in progress.
func (s *search) probeByConnection(id ConnectionID) *probe {
	if s == nil {
		return nil
	}
	for _, p := range s.probes {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (s *search) probeByAddress(address string) *probe {
	for _, p := range s.probes {
		if p.address == address {
			return p
		}
	}
	return nil
}

func (s *search) remove(p *probe) {
	s.probes = slices.DeleteFunc(s.probes, func(other *probe) bool { return other == p })
}
