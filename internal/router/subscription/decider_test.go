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
	stale = time.Second
	hop   = time.Millisecond // a message's time on its way
)

// peer is a simulated control instance: what it knows and how it behaves.
type peer struct {
	address    string
	clock      time.Duration // of its own, at the world's begin
	epoch      uint64
	contact    time.Time // newest contact with a majority; kept up while !cut
	cut        bool
	refuses    bool // connections fail at once
	gone       bool // nothing answers, not even a refusal
	old        bool // knows no probes and states nothing
	generation int64
	heldUp     time.Duration // its messages come so much later
	mute       bool          // sends nothing more
}

// wire is a connection from the decider to a peer.
type wire struct {
	id       ConnectionID
	peer     *peer
	mark     uint64
	sequence uint64
	follows  bool
	closed   bool
}

type arriving struct {
	at    time.Time
	input Input
}

// network runs one decider against peers in simulated time.
type network struct {
	t        *testing.T
	begin    time.Time
	now      time.Time
	decider  *Decider
	out      Output
	peers    map[string]*peer
	wires    []*wire
	arriving []arriving
	beaconAt time.Time
	events   []Event
	dials    int
	probes   int
	applies  []*Change
	slow     time.Duration // of Apply
	seeds    []string
	moves    []string
}

func newNetwork(t *testing.T, addresses ...string) *network {
	t.Helper()
	begin := time.Unix(1_000_000, 0)
	course := NewCourse("z1", netip.MustParseAddr("10.1.0.9"), rand.New(rand.NewPCG(1, 1)))
	n := &network{t: t, begin: begin, now: begin, beaconAt: begin, peers: make(map[string]*peer), seeds: addresses}
	for i, address := range addresses {
		n.peers[address] = &peer{address: address, clock: time.Duration(i+1) * time.Hour, epoch: 1, generation: 4}
	}
	course.SetSeeds(addresses)
	n.decider = NewDecider(Identity{Node: "n", Zone: "z1", Incarnation: 7}, course, Limits{Stale: stale})
	n.step()
	return n
}

// standing is what a peer states now on a connection.
func (n *network) standing(w *wire) protocol.Standing {
	p := w.peer
	if p.old {
		return protocol.Standing{}
	}
	if !p.cut {
		p.contact = n.now
	}
	s := protocol.Standing{Epoch: p.epoch, At: p.clock + n.now.Sub(n.begin), Mark: w.mark}
	if !p.contact.IsZero() {
		s.Known, s.Age = true, n.now.Sub(p.contact)
	}
	return s
}

func (n *network) post(w *wire, message any) {
	if w.peer.mute {
		return
	}
	n.arrive(hop+w.peer.heldUp, Received{Connection: w.id, Message: message})
}

func (n *network) arrive(after time.Duration, in Input) {
	n.arriving = append(n.arriving, arriving{at: n.now.Add(after), input: in})
	slices.SortStableFunc(n.arriving, func(a, b arriving) int { return a.at.Compare(b.at) })
}

func (n *network) step(inputs ...Input) {
	n.t.Helper()
	before := n.out.Follows
	n.out = n.decider.Step(n.now, inputs...)
	if !n.out.WakeAt.After(n.now) {
		n.t.Fatalf("wake at %v, now %v", n.out.WakeAt, n.now)
	}
	n.events = append(n.events, n.out.Events...)
	if n.out.Follows != before {
		n.moves = append(n.moves, n.out.Follows)
	}
	for _, dial := range n.out.Dial {
		n.dial(dial)
	}
	for _, send := range n.out.Send {
		if w := n.wire(send.Connection); w != nil {
			n.get(w, send.Message)
		}
	}
	for _, id := range n.out.Close {
		if w := n.wire(id); w != nil {
			w.closed = true
		}
	}
	if n.out.Apply != nil {
		n.applies = append(n.applies, n.out.Apply)
		n.arrive(n.slow, Applied{})
	}
	if n.out.ReadSeeds {
		n.arrive(0, SeedsRead{Addresses: n.seeds})
	}
}

func (n *network) dial(dial Dial) {
	n.dials++
	p := n.peers[dial.Address]
	switch {
	case p == nil || p.refuses:
		n.arrive(hop, Ended{Connection: dial.Connection, Err: errors.New("refused")})
	case !p.gone:
		n.wires = append(n.wires, &wire{id: dial.Connection, peer: p})
		n.arrive(hop, Opened{Connection: dial.Connection})
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

// get is a message that a peer gets.
func (n *network) get(w *wire, message any) {
	switch m := message.(type) {
	case protocol.Probe:
		n.probes++
		if w.peer.old {
			return
		}
		w.mark = m.Mark
		n.post(w, &protocol.Probed{Generation: w.peer.generation, Standing: n.standing(w)})
	case protocol.Subscribe:
		w.mark, w.follows = m.Mark, true
		n.update(w, protocol.Update{Full: !w.peer.cut || w.peer.old, Confirmed: !w.peer.cut}, m.Generation)
	case protocol.Confirm:
		w.mark = max(w.mark, m.Mark)
	}
}

func (n *network) update(w *wire, u protocol.Update, has int64) {
	w.sequence++
	u.Sequence, u.Generation, u.Standing = w.sequence, w.peer.generation, n.standing(w)
	if has < u.Generation {
		u.Document = []byte("document")
	}
	n.post(w, &u)
}

// run lets time pass.
func (n *network) run(d time.Duration) {
	n.t.Helper()
	for end := n.now.Add(d); ; {
		next := later(n.now, n.out.WakeAt)
		if len(n.arriving) > 0 && n.arriving[0].at.Before(next) {
			next = n.arriving[0].at
		}
		if n.beaconAt.Before(next) {
			next = n.beaconAt
		}
		if next.After(end) {
			n.now = end
			return
		}
		n.now = next
		n.beacons()
		var inputs []Input
		for len(n.arriving) > 0 && !n.arriving[0].at.After(n.now) {
			inputs = append(inputs, n.arriving[0].input)
			n.arriving = n.arriving[1:]
		}
		n.step(inputs...)
	}
}

func (n *network) beacons() {
	if n.now.Before(n.beaconAt) {
		return
	}
	n.beaconAt = n.now.Add(250 * time.Millisecond)
	for _, w := range n.wires {
		if w.follows && !w.closed {
			n.post(w, &protocol.Beacon{Sequence: w.sequence, Generation: w.peer.generation, Standing: n.standing(w)})
		}
	}
}

// restart ends all connections of a peer, and refuses new ones until back.
func (n *network) stop(p *peer) {
	p.refuses = true
	for _, w := range n.wires {
		if w.peer == p && !w.closed {
			w.closed = true
			n.arrive(hop, Ended{Connection: w.id, Err: errors.New("reset")})
		}
	}
}

// takes has a peer commit a version and send it to whom it follows.
func (n *network) commit(p *peer, generation int64) {
	p.generation = generation
	for _, w := range n.wires {
		if w.peer == p && w.follows && !w.closed {
			n.update(w, protocol.Update{}, generation-1)
		}
	}
}

func (n *network) followed() *peer {
	n.t.Helper()
	p := n.peers[n.out.Follows]
	if p == nil {
		n.t.Fatalf("nobody is followed at %v: %v", n.now.Sub(n.begin), n.events)
	}
	return p
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

func (n *network) left() (reasons []error) {
	for _, event := range n.events {
		if e, ok := event.(Left); ok {
			reasons = append(reasons, e.Err)
		}
	}
	return reasons
}

var three = []string{"10.1.0.1:1", "10.2.0.1:1", "10.3.0.1:1"}

func TestFollowsTheNearestAndIsReady(t *testing.T) {
	n := newNetwork(t, three...)
	n.run(100 * time.Millisecond)
	if n.out.Follows != three[0] || !n.out.Settled || !n.out.Ready {
		t.Errorf("%+v after %v", n.out, n.events)
	}
	if age := n.now.Sub(n.out.ConfirmedAt); age < 0 || age > 100*time.Millisecond {
		t.Errorf("confirmed %v ago", age)
	}
}

func TestCutOffInstanceIsLeft(t *testing.T) {
	n := newNetwork(t, three...)
	n.run(3 * time.Second)
	cut := n.followed()
	cut.cut = true
	at := n.now
	for n.out.Follows == cut.address && n.now.Sub(at) < 3*stale {
		n.run(time.Millisecond)
	}
	if took := n.now.Sub(at); took > stale+100*time.Millisecond {
		t.Errorf("left after %v", took)
	}
	n.run(100 * time.Millisecond)
	if !n.out.Settled || !slices.Contains(n.left(), ErrStale) {
		t.Errorf("settled %v, left because of %v", n.out.Settled, n.left())
	}
}

// Day lompakko-reitti-cut-5: one instance is cut off, the others restart, and the cut-off one answers first.
func TestCutOffInstanceThatAnswersFirstIsNotSettledWith(t *testing.T) {
	n := newNetwork(t, three...)
	n.run(3 * time.Second)
	away := n.followed()
	cut := n.others(away)[0]
	cut.cut = true
	n.run(10 * time.Second)
	for _, p := range n.others(cut) {
		n.stop(p)
	}
	for range 600 {
		n.run(time.Millisecond)
		if n.out.Settled {
			t.Fatalf("settled with %s", n.out.Follows)
		}
	}
	if n.out.Follows != cut.address {
		t.Errorf("follows %q, not even provisionally the one that answers", n.out.Follows)
	}
	if n.now.Sub(n.out.ConfirmedAt) < 600*time.Millisecond {
		t.Errorf("confirmed at %v, now %v", n.out.ConfirmedAt, n.now)
	}
	for _, p := range n.others(cut) {
		p.refuses = false
	}
	n.run(350 * time.Millisecond)
	if n.out.Follows == cut.address || !n.out.Settled {
		t.Errorf("still with %q after the others are back: %v", n.out.Follows, n.events)
	}
	n.commit(n.followed(), 5)
	n.run(10 * time.Millisecond)
	if last := n.applies[len(n.applies)-1]; last.Generation != 5 {
		t.Errorf("last change %+v", last)
	}
}
