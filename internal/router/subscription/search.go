package subscription

import (
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

const (
	dialTimeout         = 350 * time.Millisecond
	probeTimeout        = 350 * time.Millisecond
	maxConcurrentProbes = 4 // that wait for a connection or a reply
	minWakeDelay        = time.Millisecond
)

// search is the probing of instances, round after round, until one that is trusted is followed.
type search struct {
	zoneLocal      bool // a single round over the own zone, while a trusted instance of another zone is followed
	startedAt      time.Time
	nextRoundAt    time.Time // the next round begins no earlier, and once all of this one are probed
	rounds         int
	remaining      []Candidate // of this round, not probed yet
	probes         []*probe
	firstTrustedAt time.Time // when an instance was first found that can be trusted and is worth a move; zero: none is known
	failedAddress  string    // of the probe that failed last
	failure        error     // of the probe that failed last
}

// probe is a connection on which an instance is asked for a proof of its freshness. It stays open until the search ends,
// and is probed again in each round.
type probe struct {
	instanceConnection
	proximity int // see Candidate
	state     probeState
	deadline  time.Time // of the present state; it does not count once answered
}

type probeState uint8

const (
	probeDialing probeState = iota
	probeSent
	probeAnswered
)

// startSearch begins a search over all candidates, unless one is under way.
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

// startZoneLocalSearch begins a search for an instance in the own zone. No other search is under way.
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

// continueSearch does what is due in the search, if one is under way.
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

// beginRound begins the next round when its time has come.
func (d *Decider) beginRound(now time.Time, s *search) {
	if s.zoneLocal || len(s.remaining) > 0 || now.Before(s.nextRoundAt) {
		return
	}
	if s.rounds > 0 { // all known instances were probed: the settings may name others by now
		d.out.ReadSeeds = true
		if d.followed == nil && s.failure != nil {
			d.recordUnreachable(s.failedAddress, s.failure)
		}
	}
	s.rounds++
	s.remaining = d.candidates.NextRound()
	d.lastRoundAt = now
	s.nextRoundAt = now.Add(max(minRoundBackoff, d.candidates.NextBackoff()))
	d.probeFollowed(now)
}

// probeFollowed probes the followed instance on its own connection: it may have a newer proof than its last beacon had.
func (d *Decider) probeFollowed(now time.Time) {
	f := d.followed
	if f == nil || !f.provesFreshness {
		return
	}
	f.probeInFlight = true
	d.send(f.id, protocol.Probe{EchoSequence: d.nextEcho(now, &f.instanceConnection)})
}

// probeRemaining probes the candidates that are left of this round, maxConcurrentProbes at a time.
func (d *Decider) probeRemaining(now time.Time, s *search) {
	for len(s.remaining) > 0 && s.inFlight() < maxConcurrentProbes {
		candidate := s.remaining[0]
		s.remaining = s.remaining[1:]
		if d.followed != nil && d.followed.address == candidate.Address {
			continue
		}
		p := s.probeOf(candidate.Address)
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

// connectionOpened probes the instance on its new connection. One that is known not to answer probes is followed right
// away if no instance is followed: it may be an older program that works.
func (d *Decider) connectionOpened(now time.Time, id ConnectionID) {
	p := d.search.probeOn(id)
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

// probeFailed gives a probe up.
func (d *Decider) probeFailed(p *probe, err error) {
	d.out.Close = append(d.out.Close, p.id)
	d.search.remove(p)
	d.search.failedAddress, d.search.failure = p.address, err
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

// restartRound has the next round begin at once.
func (s *search) restartRound() {
	s.remaining, s.nextRoundAt = nil, time.Time{}
}

func (s *search) extendDeadlines(until time.Time) {
	for _, p := range s.probes {
		p.deadline = laterOf(p.deadline, until)
	}
}

// inFlight counts the probes that wait for a connection or a reply.
func (s *search) inFlight() int {
	count := 0
	for _, p := range s.probes {
		if p.state != probeAnswered {
			count++
		}
	}
	return count
}

// probeOn returns the probe on a connection; nil: there is none, or no search.
func (s *search) probeOn(id ConnectionID) *probe {
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

func (s *search) probeOf(address string) *probe {
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
