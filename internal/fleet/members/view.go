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
	maxNameBytes = 64
	tagSeparator = "~"
	tagBytes     = 8
	// nodesPerMember limits the nodes, alive or recently dead, for each member: a fleet that restarts twice during the
	// time that memberlist remembers dead nodes has three incarnations of each member.
	nodesPerMember = 4
	// deadNodeTTL is how long memberlist may remember a dead node, in addition to two rounds of probes.
	deadNodeTTL = 30 * time.Second
)

// view derives the member list from memberlist's nodes. memberlist calls it with its own lock held, so no method may
// call memberlist. Lock order: memberlist's lock, then mu.
type view struct {
	cfg      Config
	self     string
	counters *Counters

	mu        sync.Mutex
	alive     map[string]incarnation // nodes that are up, by node name
	dead      map[string]time.Time   // nodes that are down, by node name, and since when
	current   map[string]incarnation // by member name: the incarnation with the largest epoch
	events    []Event
	conflicts []incarnation // other incarnations of this member's name, to be resolved

	list         atomic.Pointer[[]Member]
	version      atomic.Uint64
	hooksPending chan struct{} // signals that events or conflicts are waiting
	listChanged  chan struct{} // signals that the list changed
}

// incarnation is a node of memberlist as an incarnation of a member.
type incarnation struct {
	Member
	node memberlist.Node // a copy, as memberlist changes its own under its lock
}

func newView(cfg Config, self string, counters *Counters) *view {
	v := &view{
		cfg: cfg, self: self, counters: counters, alive: map[string]incarnation{}, dead: map[string]time.Time{}, current: map[string]incarnation{},
		hooksPending: make(chan struct{}, 1), listChanged: make(chan struct{}, 1),
	}
	v.list.Store(&[]Member{{Name: cfg.Name, Epoch: cfg.Epoch, Site: cfg.Site, Addr: cfg.Advertise}})
	return v
}

func validName(s string) bool {
	forbidden := func(r rune) bool { return r <= ' ' || r == 0x7f || r == 0xfffd || string(r) == tagSeparator }
	return s != "" && len(s) <= maxNameBytes && !strings.ContainsFunc(s, forbidden)
}

// memberName returns the member's name from a node name, or "" if the node name is invalid.
func memberName(node string) string {
	name, tag, ok := strings.Cut(node, tagSeparator)
	if !ok || len(tag) != tagBytes || !validName(name) {
		return ""
	}
	return name
}

// parseNode returns the incarnation that a node represents, or the reason to refuse the node.
func parseNode(n *memberlist.Node) (incarnation, meta, error) {
	name := memberName(n.Name)
	addr, ok := netip.AddrFromSlice(n.Addr)
	if name == "" || !ok || n.Port == 0 {
		return incarnation{}, meta{}, &Dropped{Garbled}
	}
	m, err := readMeta(n.Meta)
	l := incarnation{Member{name, m.Epoch, m.Site, netip.AddrPortFrom(addr.Unmap(), n.Port)}, *n}
	return l, m, err
}

// NotifyAlive implements memberlist.AliveDelegate. It refuses nodes that can't be members before memberlist adds them.
func (v *view) NotifyAlive(n *memberlist.Node) error {
	l, _, err := parseNode(n)
	if err == nil {
		v.mu.Lock()
		defer v.mu.Unlock()
		_, up := v.alive[n.Name]
		_, down := v.dead[n.Name]
		_, known := v.current[l.Name]
		if !up && !down && (!known && len(v.current) >= v.cfg.MaxMembers || !v.hasCapacity()) {
			err = &Dropped{TooManyMembers}
		}
	}
	if err != nil {
		v.counters.drop(err)
	}
	return err
}

// NotifyMerge implements memberlist.MergeDelegate. It refuses a list that is longer than the own one may be.
func (v *view) NotifyMerge(peers []*memberlist.Node) error {
	if len(peers) <= nodesPerMember*v.cfg.MaxMembers {
		return nil
	}
	err := &Dropped{TooManyMembers}
	v.counters.drop(err)
	return fmt.Errorf("%d nodes: %w", len(peers), err)
}

// hasCapacity forgets dead nodes that memberlist has forgotten, and reports whether one more node is allowed.
func (v *view) hasCapacity() bool {
	maxNodes := nodesPerMember * v.cfg.MaxMembers
	if len(v.alive)+len(v.dead) < maxNodes {
		return true
	}
	ttl := deadNodeTTL + 2*time.Duration(len(v.alive)+len(v.dead))*v.cfg.ProbeInterval
	maps.DeleteFunc(v.dead, func(_ string, since time.Time) bool { return time.Since(since) > ttl })
	return len(v.alive)+len(v.dead) < maxNodes
}

// NotifyJoin, NotifyUpdate and NotifyLeave implement memberlist.EventDelegate.
func (v *view) NotifyJoin(n *memberlist.Node)   { v.nodeUp(n) }
func (v *view) NotifyUpdate(n *memberlist.Node) { v.nodeUp(n) }
func (v *view) NotifyLeave(n *memberlist.Node)  { v.nodeDown(n.Name, Failed) }

// nodeUp records a node that joined or changed.
func (v *view) nodeUp(n *memberlist.Node) {
	l, m, err := parseNode(n)
	if err != nil {
		return // already refused and counted by NotifyAlive
	}
	if m.Leaving {
		v.nodeDown(n.Name, Left)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.dead, n.Name)
	v.alive[n.Name] = l
	if l.Name == v.cfg.Name && n.Name != v.self {
		v.counters.Conflicts.Add(1)
		v.conflicts = append(v.conflicts, l)
	}
	v.selectCurrent(l.Name, Failed)
}

// nodeDown records that a node left or failed.
func (v *view) nodeDown(node string, kind EventKind) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, ok := v.alive[node]
	if !ok || node == v.self {
		return
	}
	delete(v.alive, node)
	v.dead[node] = time.Now()
	v.selectCurrent(l.Name, kind)
}

// selectCurrent updates the current incarnation of a member, and publishes the list if that changed.
func (v *view) selectCurrent(name string, kind EventKind) {
	old, hadCurrent := v.current[name]
	var newest incarnation
	hasCurrent := false
	for _, l := range v.alive {
		if l.Name == name && (!hasCurrent || cmp.Or(cmp.Compare(l.Epoch, newest.Epoch), strings.Compare(l.node.Name, newest.node.Name)) > 0) {
			newest, hasCurrent = l, true
		}
	}
	if hadCurrent == hasCurrent && old.Member == newest.Member && old.node.Name == newest.node.Name {
		v.notifyHooks()
		return
	}
	switch {
	case !hasCurrent:
		delete(v.current, name)
		v.addEvent(Event{kind, old.Member})
	case !hadCurrent:
		v.current[name] = newest
		v.addEvent(Event{Joined, newest.Member})
	default:
		v.current[name] = newest
		v.addEvent(Event{Restarted, newest.Member})
	}
	list := make([]Member, 0, len(v.current))
	for _, l := range v.current {
		list = append(list, l.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	v.list.Store(&list)
	v.version.Add(1)
	notify(v.listChanged)
	v.notifyHooks()
}

// addEvent queues an event for the hook, unless it is about this member itself.
func (v *view) addEvent(e Event) {
	if e.Member.Name == v.cfg.Name {
		return
	}
	v.counters.Events[e.Kind].Add(1)
	if len(v.events) >= nodesPerMember*v.cfg.MaxMembers {
		v.counters.EventsDropped.Add(1)
		return
	}
	v.events = append(v.events, e)
}

// notifyHooks signals runHooks if something is queued.
func (v *view) notifyHooks() {
	if len(v.events)+len(v.conflicts) > 0 {
		notify(v.hooksPending)
	}
}

// takePending removes and returns the queued events and conflicts.
func (v *view) takePending() ([]Event, []incarnation) {
	v.mu.Lock()
	defer v.mu.Unlock()
	events, conflicts := v.events, v.conflicts
	v.events, v.conflicts = nil, nil
	return events, conflicts
}

// node returns the node of a member's current incarnation.
func (v *view) node(name string) (memberlist.Node, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, ok := v.current[name]
	return l.node, ok
}

// senderName returns the member whose current incarnation is the node.
func (v *view) senderName(node string) (string, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, ok := v.alive[node]
	if !ok || v.current[l.Name].node.Name != node {
		return "", &Dropped{UnknownSender}
	}
	return l.Name, nil
}

// upAddrs returns the addresses of all live members.
func (v *view) upAddrs() map[netip.AddrPort]bool {
	all := map[netip.AddrPort]bool{}
	for _, m := range *v.list.Load() {
		all[m.Addr] = true
	}
	return all
}

// Dropped is the error for input that was dropped.
type Dropped struct{ Reason Reason }

// Error returns the reason. logWriter recognizes the text in memberlist's log, as the input is already counted.
func (d *Dropped) Error() string { return "members: dropped: " + d.Reason.String() }

// drop counts err if it is a Dropped.
func (c *Counters) drop(err error) {
	var d *Dropped
	if errors.As(err, &d) {
		c.Dropped[d.Reason].Add(1)
	}
}
