package members

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	maxName  = 64
	tagMark  = "~"
	tagBytes = 8
	// kept bounds the nodes, living or lately dead, for each courier: a fleet that restarts twice in the time that
	// memberlist remembers the dead has three lives of each.
	kept = 4
	// deadTime is how long memberlist may remember a dead node, beside two rounds of probes.
	deadTime = 30 * time.Second
)

// view is what the group makes of memberlist's nodes. memberlist calls it with its own lock held, so that nothing here
// calls back; the lock order is memberlist's, then mu.
type view struct {
	cfg      Config
	self     string
	counters *Counters

	mu     sync.Mutex
	lives  map[string]life      // up, by node
	dead   map[string]time.Time // since when, by node
	best   map[string]life      // by courier: the life that counts
	events []Event
	rivals []life // lives of this courier's name that are to be looked into

	list    atomic.Pointer[[]Member]
	version atomic.Uint64
	told    chan struct{} // events or rivals wait
	changed chan struct{} // the list changed
}

type life struct {
	Member
	node memberlist.Node // a copy: memberlist changes its own under its lock
}

func newView(cfg Config, self string, counters *Counters) *view {
	v := &view{
		cfg: cfg, self: self, counters: counters, lives: map[string]life{}, dead: map[string]time.Time{}, best: map[string]life{},
		told: make(chan struct{}, 1), changed: make(chan struct{}, 1),
	}
	v.list.Store(&[]Member{{Name: cfg.Name, Epoch: cfg.Epoch, Site: cfg.Site, Addr: cfg.Advertise}})
	return v
}

func validName(s string) bool {
	bad := func(r rune) bool { return r <= ' ' || r == 0x7f || r == 0xfffd || string(r) == tagMark }
	return s != "" && len(s) <= maxName && !strings.ContainsFunc(s, bad)
}

// courier is the name in a node's name, "" if it has none.
func courier(node string) string {
	name, tag, ok := strings.Cut(node, tagMark)
	if !ok || len(tag) != tagBytes || !validName(name) {
		return ""
	}
	return name
}

// read makes a life of a node, or says why it is none.
func read(n *memberlist.Node) (life, meta, error) {
	name := courier(n.Name)
	addr, ok := netip.AddrFromSlice(n.Addr)
	if name == "" || !ok || n.Port == 0 {
		return life{}, meta{}, &Dropped{Garbled}
	}
	m, err := readMeta(n.Meta)
	l := life{Member{name, m.Epoch, m.Site, netip.AddrPortFrom(addr.Unmap(), n.Port)}, *n}
	return l, m, err
}

// NotifyAlive refuses nodes that can't be members, before memberlist learns of them.
func (v *view) NotifyAlive(n *memberlist.Node) error {
	l, _, err := read(n)
	if err == nil {
		v.mu.Lock()
		defer v.mu.Unlock()
		_, up := v.lives[n.Name]
		_, down := v.dead[n.Name]
		_, known := v.best[l.Name]
		if !up && !down && (!known && len(v.best) >= v.cfg.MaxMembers || !v.room()) {
			err = &Dropped{Full}
		}
	}
	if err != nil {
		v.counters.drop(err)
	}
	return err
}

// NotifyMerge refuses another group's list before any of it is read, if it is longer than ours may be.
func (v *view) NotifyMerge(peers []*memberlist.Node) error {
	if len(peers) <= kept*v.cfg.MaxMembers {
		return nil
	}
	err := &Dropped{Full}
	v.counters.drop(err)
	return fmt.Errorf("%d nodes: %w", len(peers), err)
}

// room forgets the dead that memberlist has forgotten, and says whether one more node is in bounds.
func (v *view) room() bool {
	most := kept * v.cfg.MaxMembers
	if len(v.lives)+len(v.dead) < most {
		return true
	}
	long := deadTime + 2*time.Duration(len(v.lives)+len(v.dead))*v.cfg.ProbeInterval
	maps.DeleteFunc(v.dead, func(_ string, since time.Time) bool { return time.Since(since) > long })
	return len(v.lives)+len(v.dead) < most
}

func (v *view) NotifyJoin(n *memberlist.Node)   { v.see(n) }
func (v *view) NotifyUpdate(n *memberlist.Node) { v.see(n) }
func (v *view) NotifyLeave(n *memberlist.Node)  { v.gone(n.Name, Failed) }

func (v *view) see(n *memberlist.Node) {
	l, m, err := read(n)
	if err != nil {
		return // NotifyAlive has refused and counted it
	}
	if m.Leaving {
		v.gone(n.Name, Left)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.dead, n.Name)
	v.lives[n.Name] = l
	if l.Name == v.cfg.Name && n.Name != v.self {
		v.counters.Conflicts.Add(1)
		v.rivals = append(v.rivals, l)
	}
	v.settle(l.Name, Failed)
}

func (v *view) gone(node string, how Happening) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, ok := v.lives[node]
	if !ok || node == v.self {
		return
	}
	delete(v.lives, node)
	v.dead[node] = time.Now()
	v.settle(l.Name, how)
}

// settle decides anew which life of a courier counts, and publishes the list if that changed it.
func (v *view) settle(name string, how Happening) {
	old, had := v.best[name]
	var now life
	has := false
	for _, l := range v.lives {
		if l.Name == name && (!has || cmp.Or(cmp.Compare(l.Epoch, now.Epoch), strings.Compare(l.node.Name, now.node.Name)) > 0) {
			now, has = l, true
		}
	}
	if had == has && old.Member == now.Member && old.node.Name == now.node.Name {
		v.poke()
		return
	}
	switch {
	case !has:
		delete(v.best, name)
		v.event(Event{how, old.Member})
	case !had:
		v.best[name] = now
		v.event(Event{Joined, now.Member})
	default:
		v.best[name] = now
		v.event(Event{NewLife, now.Member})
	}
	list := make([]Member, 0, len(v.best))
	for _, l := range v.best {
		list = append(list, l.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	v.list.Store(&list)
	v.version.Add(1)
	poke(v.changed)
	v.poke()
}

func (v *view) event(e Event) {
	if e.Member.Name == v.cfg.Name {
		return
	}
	v.counters.Events[e.What].Add(1)
	if len(v.events) >= kept*v.cfg.MaxMembers {
		v.counters.EventsDropped.Add(1)
		return
	}
	v.events = append(v.events, e)
}

func (v *view) poke() {
	if len(v.events)+len(v.rivals) > 0 {
		poke(v.told)
	}
}

// take hands over what waits to be told.
func (v *view) take() ([]Event, []life) {
	v.mu.Lock()
	defer v.mu.Unlock()
	events, rivals := v.events, v.rivals
	v.events, v.rivals = nil, nil
	return events, rivals
}

// node is the member's, for sending.
func (v *view) node(name string) (memberlist.Node, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, ok := v.best[name]
	return l.node, ok
}

// from is the courier of a node that is up and counts.
func (v *view) from(node string) (string, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, ok := v.lives[node]
	if !ok || v.best[l.Name].node.Name != node {
		return "", &Dropped{Stranger}
	}
	return l.Name, nil
}

// up says whether a life at the address is up.
func (v *view) up() map[netip.AddrPort]bool {
	all := map[netip.AddrPort]bool{}
	for _, m := range *v.list.Load() {
		all[m.Addr] = true
	}
	return all
}

// Dropped says why something that came in was not taken.
type Dropped struct{ Why Reason }

func (d *Dropped) Error() string { return "members: dropped: " + d.Why.String() }

func (c *Counters) drop(err error) {
	var d *Dropped
	if errors.As(err, &d) {
		c.Dropped[d.Why].Add(1)
	}
}
