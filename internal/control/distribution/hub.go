// Package distribution decides what each subscribed router is sent and when. It is pure: the host passes in
// subscriptions, confirmations, news and the time, and carries out what comes back.
//
// Invariants, each with its test in hub_test.go:
//   - A router gets committed configurations only, and never an older one after a newer one.
//   - Confirmed is set only after a barrier that began after the router's subscription.
//   - A connection is never without a byte for longer than the beacon's time while the host runs.
//   - Every message states how old the instance's newest contact with a majority is. Without a fresh one no router is
//     sent a table that replaces its own.
package distribution

import (
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// Times that the hub counts in.
const (
	// BeaconEvery is how often a router hears from its instance at least.
	BeaconEvery = 250 * time.Millisecond

	// FreshFor is how long a contact with a majority counts as fresh.
	FreshFor = time.Second

	gatherFor     = 4 * time.Millisecond  // ordinary changes wait so long for others
	flushEvery    = 40 * time.Millisecond // and go no more often than this
	contactEvery  = 50 * time.Millisecond // routers wait for a fresh contact: look for one so often
	beaconSlack   = 60 * time.Millisecond
	confirmWithin = 3 * time.Second // a router that is slower is sent away
)

// ConnectionID names a router's connection within the process; numbers are not used again.
type ConnectionID uint64

// Hub has the subscriptions of one instance. It is not safe for concurrent use.
type Hub struct {
	subscribers map[ConnectionID]*subscriber
	order       []*subscriber           // by connection: what is sent must not depend on the order of a map
	marks       map[ConnectionID]uint64 // newest mark of each connection, subscribed or not
	started     time.Time
	contact     Contact

	generation int64
	document   []byte
	members    []protocol.Member
	routers    int
	whole      bool

	changed  map[string]protocol.Endpoint // not sent yet
	revision uint64                       // of the table, with changed
	flushAt  time.Time
	flushed  time.Time
	beaconAt time.Time

	arrivals  uint64 // subscriptions so far
	confirmed uint64 // a barrier has returned that began after this many

	out Output
}

// New returns a hub without routers. Its messages tell the time since it started.
func New(started time.Time) *Hub {
	return &Hub{
		subscribers: make(map[ConnectionID]*subscriber),
		marks:       make(map[ConnectionID]uint64),
		started:     started,
		changed:     make(map[string]protocol.Endpoint),
	}
}

// Input is something that happened: one of the types below.
type Input interface{ input() }

// Subscribed: a router asked for updates on its connection.
type Subscribed struct {
	Connection ConnectionID
	Router     protocol.Subscribe
}

// Confirmed: a router has an update in force.
type Confirmed struct {
	Connection ConnectionID
	Sequence   uint64
	Mark       uint64
}

// Probed: who is on the connection asks for the instance's standing, subscribed or not.
type Probed struct {
	Connection ConnectionID
	Mark       uint64
}

// Closed: the connection ended.
type Closed struct{ Connection ConnectionID }

// Configuration: a version is committed.
type Configuration struct {
	Generation int64
	Document   []byte // as updates carry it; must not be changed any more
}

// BarrierPassed: a barrier has returned that began when Barrier was this number.
type BarrierPassed struct{ Barrier uint64 }

// Members: all control instances that are known.
type Members struct{ Members []protocol.Member }

// Contact: the newest proof that this instance has of a majority of the voters. All versions that were acknowledged
// anywhere before ConfirmedAt must have been given with Configuration before.
type Contact struct {
	Epoch       uint64    // that the majority was in; without a contact, of the instance's view; 0: it is no member yet
	ConfirmedAt time.Time // zero: there was none
}

// Granted: quota grants for one router.
type Granted struct{ Router protocol.RouterGrants }

// Endpoints: the registry's news.
type Endpoints struct {
	Changed  []protocol.Endpoint
	Revision uint64
	Urgent   bool
	Routers  int
	Whole    bool
}

func (Subscribed) input()    {}
func (Confirmed) input()     {}
func (Closed) input()        {}
func (Configuration) input() {}
func (BarrierPassed) input() {}
func (Members) input()       {}
func (Contact) input()       {}
func (Probed) input()        {}
func (Granted) input()       {}
func (Endpoints) input()     {}

// Send is a message for a router: *protocol.Update, *protocol.Beacon or *protocol.Probed.
type Send struct {
	Connection ConnectionID
	Message    any
}

// Output is what the host carries out.
type Output struct {
	Send    []Send
	Close   []Closing
	Floor   uint64               // every subscribed router has confirmed the table up to this revision
	Barrier uint64               // begin a barrier now and return the number with BarrierPassed; 0: none is needed
	Joined  []protocol.Subscribe // routers that were taken in
	Routers bool                 // the set of routers changed: see Connected
	Granted []protocol.GrantAck  // that routers confirmed
	WakeAt  time.Time            // Step again then at the latest; zero: at the next input
}

// Reasons for closing a router's connection.
const (
	Replaced = "replaced" // the router has subscribed again
	Slow     = "slow"     // it did not confirm in time
)

// Closing is a connection to be closed, and why.
type Closing struct {
	Connection ConnectionID
	Node       string
	Reason     string
}

// Table gives the whole table of endpoints; the hub asks for it where a router needs it. With the gone ones
// it may be merged into a router's own table, without them it may replace that.
type Table func(withGone bool) []protocol.Endpoint

// Step takes in what happened.
func (h *Hub) Step(now time.Time, table Table, inputs ...Input) Output {
	h.out = Output{}
	stale := !h.fresh(now)
	for _, in := range inputs {
		h.take(now, table, in)
	}
	if h.fresh(now) {
		h.completeTables(now, table)
	}
	if !h.flushAt.IsZero() && !now.Before(h.flushAt) {
		h.flush(now)
	}
	if len(h.subscribers) > 0 && !now.Before(h.beaconAt) {
		h.beacons(now)
	}
	if h.fresh(now) {
		h.tellContact(now, stale)
	}
	h.out.Floor = h.floor()
	h.out.Barrier = h.barrier()
	h.out.WakeAt = h.wakeAt(now)
	return h.out
}

func (h *Hub) take(now time.Time, table Table, in Input) {
	switch in := in.(type) {
	case Subscribed:
		h.subscribe(now, table, in)
	case Confirmed:
		if s := h.subscribers[in.Connection]; s != nil {
			h.confirm(s, in.Sequence)
			h.noteMark(in.Connection, in.Mark)
		}
	case Probed:
		h.probed(now, in)
	case Closed:
		h.forget(in.Connection)
		delete(h.marks, in.Connection)
	case Configuration:
		h.configure(now, in)
	case BarrierPassed:
		h.barrierPassed(now, in.Barrier)
	case Members:
		h.setMembers(now, in.Members)
	case Contact:
		h.contact = in
	case Granted:
		h.grant(now, in.Router)
	case Endpoints:
		h.takeEndpoints(now, in)
	}
}

// configure takes in a committed version; an older one is none of the routers' business.
func (h *Hub) configure(now time.Time, in Configuration) {
	if in.Generation <= h.generation {
		return
	}
	h.generation, h.document = in.Generation, in.Document
	h.flushWithin(now, 0)
}

func (h *Hub) setMembers(now time.Time, members []protocol.Member) {
	if slices.Equal(h.members, members) {
		return
	}
	h.members = members
	for _, s := range h.order {
		s.needsMembers = true
	}
	h.flushWithin(now, gatherFor)
}

func (h *Hub) takeEndpoints(now time.Time, in Endpoints) {
	h.revision, h.whole = in.Revision, in.Whole
	if len(h.subscribers) == 0 {
		h.routers = in.Routers
		return // whoever subscribes gets the whole table
	}
	for _, endpoint := range in.Changed {
		h.changed[endpoint.ID] = endpoint
	}
	switch {
	case len(in.Changed) > 0 && in.Urgent:
		h.flushWithin(now, 0)
	case len(in.Changed) > 0:
		h.flushWithin(now, gatherFor)
	}
	if in.Routers != h.routers {
		h.routers = in.Routers
		h.tellRouters(now)
	}
}

func (h *Hub) tellRouters(now time.Time) {
	for _, s := range h.order {
		s.needsRouters = true
	}
	h.flushWithin(now, gatherFor)
}

// completeTables has routers that got a table for merging replace theirs, once the table is whole.
func (h *Hub) completeTables(now time.Time, table Table) {
	if !h.whole {
		return
	}
	behind := 0
	for _, s := range h.order {
		if s.merging {
			behind++
		}
	}
	if behind == 0 {
		return
	}
	if behind == len(h.order) {
		clear(h.changed) // all is in the table
	}
	for _, s := range h.order {
		if !s.merging {
			continue
		}
		s.merging = false
		update := h.update(now, s)
		update.Snapshot, update.Endpoints = true, table(false)
		h.send(now, s, update)
	}
}

// barrier says whether a router waits for a barrier that has not passed yet.
func (h *Hub) barrier() uint64 {
	if h.confirmed >= h.arrivals {
		return 0
	}
	for _, s := range h.order {
		if !s.told && s.arrival > h.confirmed {
			return h.arrivals
		}
	}
	return 0
}

// barrierPassed confirms the routers that had subscribed when the barrier began.
func (h *Hub) barrierPassed(now time.Time, number uint64) {
	h.confirmed = max(h.confirmed, number)
	for _, s := range h.order {
		if s.told || s.arrival > h.confirmed {
			continue
		}
		s.told = true
		update := h.update(now, s)
		update.GenerationConfirmed = true
		h.send(now, s, update)
	}
}

func (h *Hub) grant(now time.Time, router protocol.RouterGrants) {
	for _, s := range h.order {
		if s.router.Node != router.Node || s.router.Incarnation != router.Incarnation {
			continue
		}
		update := h.update(now, s)
		update.Quotas = router.Grants
		h.send(now, s, update)
		s.waiting[len(s.waiting)-1].grants = &router
	}
}

func (h *Hub) flushWithin(now time.Time, wait time.Duration) {
	at := now.Add(wait)
	if next := h.flushed.Add(flushEvery); wait > 0 && next.After(at) {
		at = next
	}
	if h.flushAt.IsZero() || at.Before(h.flushAt) {
		h.flushAt = at
	}
}

func (h *Hub) wakeAt(now time.Time) time.Time {
	if len(h.subscribers) == 0 {
		return time.Time{}
	}
	wake := h.beaconAt
	if !h.flushAt.IsZero() && h.flushAt.Before(wake) {
		wake = h.flushAt
	}
	if look := now.Add(contactEvery); !h.fresh(now) && look.Before(wake) {
		wake = look
	}
	return wake
}
