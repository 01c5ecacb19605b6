package subscription

import (
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

const (
	dialTimeout  = 350 * time.Millisecond
	probeTimeout = 350 * time.Millisecond
	mostProbes   = 4 // that wait for an answer at a time
	leastStep    = time.Millisecond
)

// search is the probing of instances, round after round, until one that proves a fresh contact is followed.
type search struct {
	near      bool // one round over the own zone, while another instance is followed
	startedAt time.Time
	roundAt   time.Time // when the next round begins; the rest of this one goes before
	rounds    int
	ahead     []Target // of this round
	probes    []*probe
	provedAt  time.Time // when the first contact was proved, zero: none yet
	address   string    // that failed last
	err       error
}

// probe is a connection on which an instance is asked for its standing. It stays open until the search ends.
type probe struct {
	link
	nearness int
	state    probeState
	until    time.Time // it fails unless it goes on by then
}

type probeState uint8

const (
	dialling probeState = iota
	asked
	answered
)

// look begins a search where none is under way.
func (d *Decider) look(now time.Time) {
	if d.search != nil && !d.search.near {
		return
	}
	d.endSearch()
	if f := d.followed; f != nil && f.proved {
		f.proved = false
		d.course.Anew("")
	}
	d.search = &search{startedAt: now, roundAt: later(now.Add(d.course.Pause()), d.roundAt.Add(leastPause))}
}

// lookNear begins a search for an instance of the own zone.
func (d *Decider) lookNear(now time.Time) {
	d.roundAt = now
	d.search = &search{near: true, startedAt: now, rounds: 1, ahead: d.course.OwnZone()}
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

// probe goes on with the search.
func (d *Decider) probe(now time.Time) {
	s := d.search
	if s == nil {
		return
	}
	for _, p := range slices.Clone(s.probes) {
		if p.state != answered && !now.Before(p.until) {
			d.failed(p, ErrTimeout)
		}
	}
	d.beginRound(now, s)
	d.askAhead(now, s)
	d.choose(now, s)
}

// beginRound begins the next round when its time has come.
func (d *Decider) beginRound(now time.Time, s *search) {
	if s.near || len(s.ahead) > 0 || now.Before(s.roundAt) {
		return
	}
	if s.rounds > 0 { // all were tried: the settings may have changed without a word
		d.out.ReadSeeds = true
		if d.followed == nil && s.err != nil {
			d.unreachable(s.address, s.err)
		}
	}
	s.rounds++
	s.ahead = d.course.Round()
	d.roundAt = now
	s.roundAt = now.Add(max(leastPause, d.course.Pause()))
	d.askFollowed(now)
}

// askFollowed asks the instance that is followed, on its connection: it may have proof by now.
func (d *Decider) askFollowed(now time.Time) {
	f := d.followed
	if f == nil || !f.states {
		return
	}
	f.asked = true
	d.send(f.id, protocol.Probe{EchoSequence: d.mark(now, &f.link)})
}

// askAhead asks instances of this round, some at a time.
func (d *Decider) askAhead(now time.Time, s *search) {
	for len(s.ahead) > 0 && s.pending() < mostProbes {
		target := s.ahead[0]
		s.ahead = s.ahead[1:]
		if d.followed != nil && d.followed.address == target.Address {
			continue
		}
		p := s.findAddress(target.Address)
		switch {
		case p == nil:
			d.dial(now, s, target)
		case p.state == answered:
			p.nearness = target.Nearness
			d.ask(now, p)
		}
	}
}

func (d *Decider) dial(now time.Time, s *search, target Target) {
	d.connections++
	p := &probe{
		link:     link{id: d.connections, address: target.Address},
		nearness: target.Nearness,
		until:    now.Add(dialTimeout),
	}
	s.probes = append(s.probes, p)
	d.out.Dial = append(d.out.Dial, Dial{Connection: p.id, Address: p.address})
}

func (d *Decider) ask(now time.Time, p *probe) {
	p.state = asked
	p.until = now.Add(probeTimeout)
	d.send(p.id, protocol.Probe{EchoSequence: d.mark(now, &p.link)})
}

// opened asks on a new connection. Where nobody else is there, one that answers no probes is followed all the same.
func (d *Decider) opened(now time.Time, id ConnectionID) {
	p := d.search.find(id)
	if p == nil || p.state != dialling {
		return
	}
	if d.mute[p.address] && d.followed == nil && !d.search.near {
		d.search.remove(p)
		d.follow(now, p.link)
		return
	}
	d.ask(now, p)
}

func (d *Decider) probed(now time.Time, p *probe, m *protocol.ProbeReply) {
	delete(d.mute, p.address)
	p.state = answered
	d.state(now, &p.link, m.Freshness, m.Generation)
}

// failed drops a probe.
func (d *Decider) failed(p *probe, err error) {
	d.out.Close = append(d.out.Close, p.id)
	d.search.remove(p)
	d.search.address, d.search.err = p.address, err
	if p.state == asked && !p.states {
		d.mute[p.address] = true
	}
}

func (d *Decider) searchWakes(next *wake, s *search) {
	for _, p := range s.probes {
		if p.state != answered {
			next.add(p.until)
		}
	}
	if len(s.ahead) == 0 && !s.near {
		next.add(later(s.roundAt, next.now.Add(leastStep)))
	}
	if !s.provedAt.IsZero() {
		next.add(s.provedAt.Add(nearWait))
	}
	next.add(s.startedAt.Add(provisionalAfter))
}

// anew begins a round at once.
func (s *search) anew() {
	s.ahead, s.roundAt = nil, time.Time{}
}

func (s *search) extend(until time.Time) {
	for _, p := range s.probes {
		p.until = later(p.until, until)
	}
}

// pending counts the probes that wait for an answer.
func (s *search) pending() int {
	count := 0
	for _, p := range s.probes {
		if p.state != answered {
			count++
		}
	}
	return count
}

func (s *search) find(id ConnectionID) *probe {
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

func (s *search) findAddress(address string) *probe {
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
