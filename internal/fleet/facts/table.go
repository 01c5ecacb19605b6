package facts

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"slices"
	"time"
)

// Limits bounds the size of a table.
type Limits struct {
	Facts            int           // number of registers
	Bytes            int64         // memory, as estimated by the constants below
	Origins          int           // number of known origins
	RemovedEndpoints int           // number of remembered removals; above it, the one that would expire first is dropped
	RemovedTTL       time.Duration // how long a removal is remembered
	MaxTTL           time.Duration // maximum time to live of a fact
}

// DefaultLimits returns limits for 300 members and 60 endpoints in 4 MB.
func DefaultLimits() Limits {
	return Limits{Facts: 20_000, Bytes: 7 << 19, Origins: 512, RemovedEndpoints: 256, RemovedTTL: 2 * time.Hour, MaxTTL: time.Hour}
}

// Estimated memory, rounded up: a register with its unused slice capacity, an entry of a front, and a key and an origin
// with their shares of the maps. Entries of a front are counted when the front is built.
const (
	registerBytes = 64 * 5 / 4
	entryBytes    = 96
	groupBytes    = 384
	originBytes   = 160
)

type origin struct {
	name      string
	epoch     uint64
	lastHeard time.Duration // time of the last fact or epoch
	registers int           // number of registers in the table
}

// register is the latest fact of one origin under one key. It takes 64 bytes; a table has many.
type register struct {
	origin         *origin
	epoch, seq     uint64
	value          Value
	ttl, createdAt time.Duration
}

func (r register) retired() bool { return r.epoch < r.origin.epoch }

// compare is the total order of registers; a merge keeps the larger one. Values are not negative, so comparing their
// parts equals comparing their bytes.
func (r register) compare(o register) int {
	return cmp.Or(cmp.Compare(r.epoch, o.epoch), cmp.Compare(r.seq, o.seq),
		cmp.Compare(math.Float64bits(r.value.Number), math.Float64bits(o.value.Number)), cmp.Compare(r.value.For, o.value.For),
		cmp.Compare(r.ttl, o.ttl), cmp.Compare(o.createdAt, r.createdAt))
}

// fact returns the register in the form in which it is sent. The age is truncated to whole milliseconds, which have a
// short encoding; every copy is too young by its transmission delay anyway.
func (r register) fact(k Key, now time.Duration) Fact {
	return Fact{k.Subject, k.Kind, r.value, r.origin.name, r.epoch, r.seq, (now - r.createdAt).Truncate(time.Millisecond), r.ttl}
}

// sendable reports whether the register may still be sent to other members.
func (r register) sendable(now time.Duration) bool {
	return !r.retired() && now <= r.createdAt+r.ttl && now >= r.createdAt
}

type group struct {
	regs  []register // sorted by the origin's name
	front *Front     // nil: to be rebuilt at the next read
}

func (g *group) find(name string) (int, bool) {
	return slices.BinarySearchFunc(g.regs, name, func(r register, n string) int { return cmp.Compare(r.origin.name, n) })
}

// Table is a replicated table of facts. It is not safe for concurrent use. All times are on one monotonic clock of the
// caller, passed in as now.
type Table struct {
	lim     Limits
	groups  map[Key]*group
	origins map[string]*origin
	removed map[string]time.Duration // by endpoint: when the removal may be forgotten
	changed map[Key]struct{}         // keys changed since the last DrainChanged
	count   int
	bytes   int64
}

// New returns an empty table.
func New(lim Limits) *Table {
	return &Table{
		lim: lim, groups: map[Key]*group{}, origins: map[string]*origin{}, removed: map[string]time.Duration{},
		changed: map[Key]struct{}{},
	}
}

// Len returns the number of registers.
func (t *Table) Len() int { return t.count }

// Bytes returns the estimated memory in bytes.
func (t *Table) Bytes() int64 { return t.bytes }

// Epoch returns the largest known epoch of the origin, or 0.
func (t *Table) Epoch(name string) uint64 {
	if o := t.origins[name]; o != nil {
		return o.epoch
	}
	return 0
}

// RaiseEpoch records an epoch of an origin and retires the origin's facts of lower epochs.
func (t *Table) RaiseEpoch(now time.Duration, name string, epoch uint64) error {
	f := Fact{Kind: WarmUp, Origin: name, Epoch: epoch, Seq: 1, TTL: 1}
	if err := f.Check(1); err != nil {
		return err
	}
	_, err := t.raiseEpoch(now, name, epoch)
	return err
}

func (t *Table) raiseEpoch(now time.Duration, name string, epoch uint64) (*origin, error) {
	o := t.origins[name]
	if o == nil {
		if len(t.origins) >= t.lim.Origins {
			return nil, ErrTooManyOrigins
		}
		o = &origin{name: name, lastHeard: now}
		t.origins[name] = o
		t.bytes += originBytes + int64(len(name))
	}
	o.lastHeard = max(o.lastHeard, now)
	if epoch > o.epoch {
		o.epoch = epoch
		if o.registers > 0 {
			for k, g := range t.groups {
				if _, ok := g.find(name); ok {
					t.invalidate(k, g)
				}
			}
		}
	}
	return o, nil
}

// invalidate discards the front of a key; the next read rebuilds it.
func (t *Table) invalidate(k Key, g *group) { t.replaceFront(k, g, nil) }

func (t *Table) replaceFront(k Key, g *group, f *Front) {
	t.bytes += f.bytes() - g.front.bytes()
	g.front = f
	t.changed[k] = struct{}{}
}

// Change is the effect of a merge.
type Change uint8

// Effects of a merge.
const (
	Unchanged    Change = iota // the table did not change
	AgeCorrected               // an equal copy showed the fact to be older than assumed; not worth sending on
	Updated                    // the origin's register has a new value, epoch, sequence number or time to live
)

// Merge adds a fact to the table.
func (t *Table) Merge(now time.Duration, f Fact) (Change, error) {
	if err := f.Check(t.lim.MaxTTL); err != nil {
		return Unchanged, err
	}
	if until, ok := t.removed[f.Endpoint]; ok && now < until {
		return Unchanged, ErrEndpointRemoved
	}
	o, err := t.raiseEpoch(now, f.Origin, f.Epoch)
	if err != nil {
		return Unchanged, err
	}
	k := f.Key()
	r := register{origin: o, epoch: f.Epoch, seq: f.Seq, value: f.Value, ttl: f.TTL, createdAt: now - f.Age}
	g := t.groups[k]
	if g == nil {
		g = &group{}
		t.groups[k] = g
		t.bytes += groupBytes + int64(len(k.Endpoint))
	}
	change := Updated
	i, found := g.find(f.Origin)
	switch {
	case !found:
		if len(g.regs) == cap(g.regs) { // grow by an eighth: the spare capacity of append would be most of the table
			g.regs = append(make([]register, 0, len(g.regs)+len(g.regs)/8+2), g.regs...)
		}
		g.regs = slices.Insert(g.regs, i, r)
		o.registers++
		t.count++
		t.bytes += registerBytes
	case r.compare(g.regs[i]) > 0:
		if old := g.regs[i]; old.epoch == r.epoch && old.seq == r.seq && old.value == r.value && old.ttl == r.ttl {
			change = AgeCorrected
		}
		g.regs[i] = r
	default:
		return Unchanged, nil
	}
	if g.front == nil {
		t.invalidate(k, g)
	} else if next := g.front.withEntry(newEntry(k.Kind, r)); next != g.front {
		t.replaceFront(k, g, next)
	}
	if t.count > t.lim.Facts || t.bytes > t.lim.Bytes {
		// Evict slightly more than needed, so that a full table does not sort itself for every fact.
		t.Evict(now, t.lim.Facts-t.lim.Facts/32, t.lim.Bytes-t.lim.Bytes/32)
	}
	return change, nil
}

// Read returns the evidence with the highest precedence: for a Wait the one that ends last, for a ListVersion the
// largest version, and for other kinds the most recent. Live evidence precedes retired evidence, and expired facts are
// never returned.
func (t *Table) Read(now time.Duration, s Subject, k Kind) (Evidence, bool) {
	return t.front(Key{s, k}).Read(now)
}

func (t *Table) front(k Key) *Front {
	g := t.groups[k]
	if g == nil {
		return nil
	}
	if g.front == nil {
		g.front = newFront(k.Kind, g.regs)
		t.bytes += g.front.bytes()
	}
	return g.front
}

// DrainChanged calls visit with the front of each key that changed since the last call; the front is nil if the key has
// no facts left.
func (t *Table) DrainChanged(visit func(Key, *Front)) {
	for k := range t.changed {
		visit(k, t.front(k))
	}
	clear(t.changed)
}

// Get returns the latest fact of an origin, if it may still be sent.
func (t *Table) Get(now time.Duration, k Key, name string) (Fact, bool) {
	if g := t.groups[k]; g != nil {
		if i, ok := g.find(name); ok && g.regs[i].sendable(now) {
			return g.regs[i].fact(k, now), true
		}
	}
	return Fact{}, false
}

// Live returns all facts that may still be sent, sorted by key and origin.
func (t *Table) Live(now time.Duration) iter.Seq[Fact] {
	return func(yield func(Fact) bool) {
		for _, k := range slices.SortedFunc(maps.Keys(t.groups), compareKeys) {
			for _, r := range t.groups[k].regs {
				if r.sendable(now) && !yield(r.fact(k, now)) {
					return
				}
			}
		}
	}
}

// RemoveEndpoint drops all facts about the endpoint and refuses further ones for Limits.RemovedTTL.
func (t *Table) RemoveEndpoint(now time.Duration, endpoint string) {
	if endpoint == "" || len(endpoint) > MaxName {
		return // facts about the whole destination are never removed
	}
	for k, g := range t.groups {
		if k.Endpoint == endpoint {
			t.retain(k, g, func(register) bool { return false })
		}
	}
	if _, known := t.removed[endpoint]; !known && len(t.removed) >= t.lim.RemovedEndpoints {
		t.dropRemoved(slices.MinFunc(slices.Collect(maps.Keys(t.removed)), func(a, b string) int {
			return cmp.Or(cmp.Compare(t.removed[a], t.removed[b]), cmp.Compare(a, b))
		}))
	}
	if _, known := t.removed[endpoint]; !known {
		t.bytes += int64(len(endpoint)) + 48
	}
	t.removed[endpoint] = now + t.lim.RemovedTTL
}

func (t *Table) dropRemoved(endpoint string) {
	delete(t.removed, endpoint)
	t.bytes -= int64(len(endpoint)) + 48
}

// retain drops the registers of a group for which keep is false, and returns how many were dropped.
func (t *Table) retain(k Key, g *group, keep func(register) bool) int {
	before := len(g.regs)
	g.regs = slices.DeleteFunc(g.regs, func(r register) bool {
		if keep(r) {
			return false
		}
		r.origin.registers--
		return true
	})
	dropped := before - len(g.regs)
	t.count -= dropped
	t.bytes -= int64(dropped) * registerBytes
	if dropped == 0 {
		return 0
	}
	t.invalidate(k, g)
	if len(g.regs) == 0 {
		delete(t.groups, k)
		t.bytes -= groupBytes + int64(len(k.Endpoint))
	} else if cap(g.regs) > 2*len(g.regs)+8 {
		g.regs = slices.Clip(slices.Clone(g.regs))
	}
	return dropped
}

// Sweep drops registers that are no longer needed to supersede delayed copies, expired removals, and origins that have been
// inactive for long. It returns the number of dropped registers.
func (t *Table) Sweep(now time.Duration) int {
	n := 0
	for k, g := range t.groups {
		n += t.retain(k, g, func(r register) bool { return now <= r.createdAt+t.lim.MaxTTL })
	}
	for e, until := range t.removed {
		if now >= until {
			t.dropRemoved(e)
		}
	}
	// The facts that an inactive origin sent in lower epochs have expired too, so its epoch is no longer needed.
	for name, o := range t.origins {
		if o.registers == 0 && now > o.lastHeard+t.lim.MaxTTL {
			delete(t.origins, name)
			t.bytes -= originBytes + int64(len(name))
		}
	}
	return n
}

// Evict drops registers, in the order that the package comment describes, until at most maxFacts registers and
// maxBytes bytes remain. It returns the number of dropped registers.
func (t *Table) Evict(now time.Duration, maxFacts int, maxBytes int64) int {
	if t.count <= maxFacts && t.bytes <= maxBytes {
		return 0
	}
	type victim struct {
		class    int // 0: expired, 1: retired, 2: live
		timeLeft time.Duration
		key      Key
		name     string
	}
	all := make([]victim, 0, t.count)
	for k, g := range t.groups {
		for _, r := range g.regs {
			v := victim{2, r.createdAt + r.ttl - now, k, r.origin.name}
			switch {
			case v.timeLeft < 0:
				v.class = 0
			case r.retired():
				v.class = 1
			}
			all = append(all, v)
		}
	}
	slices.SortFunc(all, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.timeLeft, b.timeLeft), compareKeys(a.key, b.key), cmp.Compare(a.name, b.name))
	})
	n := 0
	for _, v := range all {
		if t.count <= maxFacts && t.bytes <= maxBytes {
			break
		}
		n += t.retain(v.key, t.groups[v.key], func(r register) bool { return r.origin.name != v.name })
	}
	return n
}
