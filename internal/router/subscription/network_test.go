package subscription

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

const (
	trustTTL = time.Second
	hop      = time.Millisecond // a message's time on its way
	beacon   = 250 * time.Millisecond
)

// tester is what a network complains to: a test, or one of rapid's.
type tester interface {
	Helper()
	Fatalf(format string, arguments ...any)
}

// peer is a simulated control instance: what it knows and how it behaves.
type peer struct {
	address    string
	clock      time.Duration // of its own, at the network's begin
	drift      time.Duration // by which its clock gains in each second
	epoch      uint64
	contact    time.Time     // newest contact with a majority; kept up unless cut or behind
	lag        time.Duration // its contact is always so much older
	cut        bool          // from the majority, not from the router
	refuses    bool          // connections fail at once
	gone       bool          // connections are never made
	old        bool          // it knows no probes and states nothing
	mute       bool          // it sends nothing
	heldUp     time.Duration // its messages come so much later
	heldDown   time.Duration // messages to it
	generation int64
	confirms   []uint64
	reports    []protocol.Report
}

// wire is a connection from the decider to a peer.
type wire struct {
	id       ConnectionID
	peer     *peer
	mark     uint64
	sequence uint64
	follows  bool
	closed   bool      // by the decider
	broken   bool      // by the peer
	arrives  time.Time // of the last message: messages keep their order
	reaches  time.Time // the other way
}

// occurrence is something that comes about at a time: an input of the decider, or an act.
type occurrence struct {
	at      time.Time
	input   Input
	contact time.Time // of the peer, when it sent the message that the input is
	act     func()
}

// network runs one decider against peers in simulated time.
type network struct {
	t        tester
	begin    time.Time
	now      time.Time
	frozen   time.Time // the decider's process sleeps until then
	newest   int64     // version, which every peer in touch has
	told     time.Time // the newest contact that a message which has come was sent after
	decider  *Decider
	out      Output
	peers    map[string]*peer
	seeds    []string
	wires    []*wire
	coming   []occurrence
	beaconAt time.Time
	events   []Event
	moves    []string // whom it has followed, in order; empty: nobody
	dials    int
	probes   int
	applies  []*Change
	inForce  int64
	slow     time.Duration // of Apply
	refuse   error         // Apply fails
	check    func()        // after each step
}

// newNetwork starts a router in zone z1 and peers in epoch 1 that have version 4.
func newNetwork(t tester, addresses ...string) *network {
	t.Helper()
	begin := time.Unix(1_000_000, 0)
	candidates := NewCandidates("z1", netip.MustParseAddr("10.1.0.9"), rand.New(rand.NewPCG(1, 1)))
	n := &network{
		t: t, begin: begin, now: begin, beaconAt: begin, newest: 4, peers: make(map[string]*peer), seeds: addresses,
	}
	for i, address := range addresses {
		n.peers[address] = &peer{address: address, clock: time.Duration(i+1) * time.Hour, epoch: 1, generation: 4}
	}
	candidates.SetSeeds(addresses)
	n.decider = NewDecider(Config{Node: "n", Zone: "z1", Incarnation: 7, TrustTTL: trustTTL}, candidates)
	return n
}

// standing is what a peer states now on a connection.
func (n *network) standing(w *wire) protocol.FreshnessProof {
	p := w.peer
	if p.old {
		return protocol.FreshnessProof{}
	}
	n.touch(p)
	s := protocol.FreshnessProof{Epoch: p.epoch, SentAt: p.clock + p.elapsed(n.now.Sub(n.begin)), EchoedSequence: w.mark}
	if !p.contact.IsZero() {
		s.HasMajorityContact, s.MajorityContactAge = true, p.elapsed(n.now.Sub(p.contact))
	}
	return s
}

// touch keeps a peer's contact up.
func (n *network) touch(p *peer) {
	if !p.cut && p.generation == n.newest {
		p.contact = laterOf(p.contact, n.now.Add(-p.lag))
	}
}

// elapsed is how long a time lasts by the peer's clock.
func (p *peer) elapsed(d time.Duration) time.Duration {
	return d + time.Duration(d.Seconds()*float64(p.drift))
}

// post sends a message to the decider.
func (n *network) post(w *wire, message any) {
	if w.peer.mute || w.broken {
		return
	}
	w.arrives = laterOf(w.arrives, n.now.Add(hop+w.peer.heldUp))
	n.at(w.arrives, occurrence{input: MessageReceived{Connection: w.id, Message: message}, contact: w.peer.contact})
}

func (n *network) after(d time.Duration, in Input) { n.at(n.now.Add(d), occurrence{input: in}) }

func (n *network) at(at time.Time, o occurrence) {
	o.at = at
	i, _ := slices.BinarySearchFunc(n.coming, at, func(o occurrence, at time.Time) int {
		if o.at.After(at) {
			return 1
		}
		return -1
	})
	n.coming = slices.Insert(n.coming, i, o)
}

func (n *network) step(inputs ...Input) {
	n.t.Helper()
	before := n.out.Following
	n.out = n.decider.Step(n.now, inputs...)
	if !n.out.WakeAt.After(n.now) {
		n.t.Fatalf("wake at %v, now %v", n.out.WakeAt, n.now)
	}
	if n.out.FreshAsOf.After(n.told) {
		n.t.Fatalf("confirmed %v later than anybody told", n.out.FreshAsOf.Sub(n.told))
	}
	n.events = append(n.events, n.out.Events...)
	if n.out.Following != before {
		n.moves = append(n.moves, n.out.Following)
	}
	for _, dial := range n.out.Dial {
		n.dial(dial)
	}
	for _, send := range n.out.Send {
		n.send(send)
	}
	for _, id := range n.out.Close {
		if w := n.wire(id); w != nil {
			w.closed = true
		}
	}
	if change := n.out.Apply; change != nil {
		n.apply(change)
	}
	if n.out.ReadSeeds {
		n.after(0, SeedsRead{Addresses: n.seeds})
	}
	if n.check != nil {
		n.check()
	}
}

func (n *network) dial(dial Dial) {
	n.dials++
	if dial.Address == n.out.Following {
		n.t.Fatalf("dials %s, which it follows", dial.Address)
	}
	p := n.peers[dial.Address]
	switch {
	case p == nil || p.refuses:
		n.after(hop, ConnectionClosed{Connection: dial.Connection, Err: errors.New("refused")})
	case !p.gone:
		n.wires = append(n.wires, &wire{id: dial.Connection, peer: p})
		n.after(hop, ConnectionOpened{Connection: dial.Connection})
	}
}

func (n *network) send(send Send) {
	w := n.wire(send.Connection)
	if w == nil {
		return
	}
	if _, isProbe := send.Message.(protocol.Probe); isProbe {
		n.probes++
	}
	w.reaches = laterOf(w.reaches, n.now.Add(hop+w.peer.heldDown))
	n.at(w.reaches, occurrence{act: func() {
		if !w.broken {
			n.reach(w, send.Message)
		}
	}})
}

// reach is a message that a peer gets.
func (n *network) reach(w *wire, message any) {
	switch m := message.(type) {
	case protocol.Probe:
		if !w.peer.old {
			w.mark = max(w.mark, m.EchoSequence)
			n.post(w, &protocol.ProbeReply{Generation: w.peer.generation, Freshness: n.standing(w)})
		}
	case protocol.Subscribe:
		w.mark, w.follows = m.EchoSequence, true
		whole := !w.peer.cut || w.peer.old
		n.update(w, protocol.Update{Snapshot: whole, GenerationConfirmed: whole}, m.Generation)
	case protocol.UpdateAck:
		w.mark = max(w.mark, m.EchoSequence)
		w.peer.confirms = append(w.peer.confirms, m.Sequence)
	case protocol.Report:
		w.peer.reports = append(w.peer.reports, m)
	}
}

func (n *network) update(w *wire, u protocol.Update, has int64) {
	w.sequence++
	u.Sequence, u.Generation, u.Freshness = w.sequence, w.peer.generation, n.standing(w)
	if has < u.Generation {
		u.Document = []byte("document")
	}
	n.post(w, &u)
}

func (n *network) apply(change *Change) {
	n.applies = append(n.applies, change)
	err := n.refuse
	n.at(n.now.Add(n.slow), occurrence{input: ChangeApplied{Err: err}})
	if err == nil && change.Document != nil {
		n.at(n.now.Add(n.slow), occurrence{act: func() { n.inForce = max(n.inForce, change.Generation) }})
	}
}

func (n *network) wire(id ConnectionID) *wire {
	for _, w := range n.wires {
		if w.id == id && !w.closed {
			return w
		}
	}
	return nil
}

// run lets time pass.
func (n *network) run(d time.Duration) {
	n.t.Helper()
	for end := n.now.Add(d); ; {
		next := laterOf(laterOf(n.now, n.out.WakeAt), n.frozen)
		if len(n.coming) > 0 && n.coming[0].at.Before(next) {
			next = n.coming[0].at
		}
		if n.beaconAt.Before(next) {
			next = n.beaconAt
		}
		if next.After(end) {
			n.now = end
			return
		}
		n.now = next
		n.advance()
	}
}

// advance brings about what is due.
func (n *network) advance() {
	n.t.Helper()
	n.beacons()
	var inputs []Input
	var asleep []occurrence
	for len(n.coming) > 0 && !n.coming[0].at.After(n.now) {
		o := n.coming[0]
		n.coming = n.coming[1:]
		switch {
		case o.act != nil:
			o.act()
		case n.now.Before(n.frozen):
			asleep = append(asleep, o)
		default:
			inputs = append(inputs, o.input)
			n.told = laterOf(n.told, o.contact)
		}
	}
	for _, o := range asleep {
		n.at(n.frozen, o)
	}
	if !n.now.Before(n.frozen) && (len(inputs) > 0 || !n.now.Before(n.out.WakeAt)) {
		n.step(inputs...)
	}
}

func (n *network) beacons() {
	if n.now.Before(n.beaconAt) {
		return
	}
	n.beaconAt = n.now.Add(beacon)
	for _, w := range n.wires {
		if w.follows && !w.closed {
			n.post(w, &protocol.Beacon{Sequence: w.sequence, Generation: w.peer.generation, Freshness: n.standing(w)})
		}
	}
}

// stop ends a peer's process: its connections end, and new ones are refused.
func (n *network) stop(p *peer) {
	p.refuses = true
	n.hangUp(p)
}

// hangUp ends a peer's connections.
func (n *network) hangUp(p *peer) {
	for _, w := range n.wires {
		if w.peer == p && !w.closed && !w.broken {
			w.broken = true
			n.after(hop, ConnectionClosed{Connection: w.id, Err: errors.New("reset")})
		}
	}
}

// take has a peer take in a version and send it to the router, if that follows it.
func (n *network) take(p *peer, generation int64) {
	had := p.generation
	p.generation = generation
	for _, w := range n.wires {
		if w.peer == p && w.follows && !w.closed {
			n.update(w, protocol.Update{}, had)
		}
	}
}

// commit makes a version acknowledged, with the peers that are in touch.
func (n *network) commit() {
	n.newest++
	for _, address := range n.seeds {
		if p := n.peers[address]; !p.cut {
			n.take(p, n.newest)
		}
	}
}

// followedWire is the connection to the instance that is followed.
func (n *network) followedWire() *wire {
	n.t.Helper()
	for _, w := range n.wires {
		if w.follows && !w.closed && w.peer.address == n.out.Following {
			return w
		}
	}
	n.t.Fatalf("nobody is followed at %v: %v", n.now.Sub(n.begin), n.events)
	return nil
}

func (n *network) followed() *peer {
	n.t.Helper()
	return n.followedWire().peer
}

func (n *network) others(p *peer) []*peer {
	var others []*peer
	for _, address := range n.seeds {
		if n.peers[address] != p {
			others = append(others, n.peers[address])
		}
	}
	return others
}

// left lists why instances were left.
func (n *network) left() (reasons []error) {
	for _, event := range n.events {
		if e, ok := event.(InstanceLeft); ok {
			reasons = append(reasons, e.Err)
		}
	}
	return reasons
}

// settled starts a network and lets its router settle.
func settled(t *testing.T, addresses ...string) *network {
	t.Helper()
	n := newNetwork(t, addresses...)
	n.run(3 * time.Second)
	if !n.out.Trusted || !n.out.Ready {
		t.Fatalf("%+v after %v", n.out, n.events)
	}
	return n
}

// leaves waits until an instance is left.
func (n *network) leaves(p *peer, within time.Duration) (after time.Duration) {
	n.t.Helper()
	for begin := n.now; n.out.Following == p.address; {
		if n.now.Sub(begin) > within {
			n.t.Fatalf("%s is still followed after %v: %v", p.address, within, n.events)
		}
		n.run(time.Millisecond)
		after = n.now.Sub(begin)
	}
	return after
}

var three = []string{"10.1.0.1:1", "10.2.0.1:1", "10.3.0.1:1"}
