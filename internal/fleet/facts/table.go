package facts

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"slices"
	"time"
)

// Limits bound a table.
type Limits struct {
	Facts   int           // registers
	Bytes   int64         // of memory, as counted by the constants below
	Origins int           // names of couriers known
	Gone    int           // endpoints remembered as gone; beyond it the one to be forgotten soonest goes
	GoneFor time.Duration // and for how long each is
	MaxTTL  time.Duration // longest time to live accepted
}

// DefaultLimits fit 300 couriers and 60 endpoints into 4 MB.
func DefaultLimits() Limits {
	return Limits{Facts: 20_000, Bytes: 7 << 19, Origins: 512, Gone: 256, GoneFor: 2 * time.Hour, MaxTTL: time.Hour}
}

// What a table takes up, rounded up: a register with its slack, an entry of a front, a key and an origin with their
// maps' shares. Front entries are counted when the front is made.
const (
	registerBytes = 64 * 5 / 4
	entryBytes    = 96
	groupBytes    = 384
	originBytes   = 160
)

type origin struct {
	name  string
	epoch uint64
	heard time.Duration // last time
	held  int           // registers
}

// register is 64 bytes; there are many.
type register struct {
	origin     *origin
	epoch, seq uint64
	value      Value
	ttl, born  time.Duration
}

func (r register) dead() bool { return r.epoch < r.origin.epoch }

// compare is the total order that the merge takes the larger of. Values are not negative, so comparing their parts is
// comparing their bytes.
func (r register) compare(o register) int {
	return cmp.Or(cmp.Compare(r.epoch, o.epoch), cmp.Compare(r.seq, o.seq),
		cmp.Compare(math.Float64bits(r.value.Number), math.Float64bits(o.value.Number)), cmp.Compare(r.value.For, o.value.For),
		cmp.Compare(r.ttl, o.ttl), cmp.Compare(o.born, r.born))
}

// fact is the register as it is told. Its age is cut to whole milliseconds, which are short to write: a copy is too young
// by its time on the way in any case.
func (r register) fact(k Key, now time.Duration) Fact {
	return Fact{k.Subject, k.Kind, r.value, r.origin.name, r.epoch, r.seq, (now - r.born).Truncate(time.Millisecond), r.ttl}
}

// told says whether the register may still be told to others.
func (r register) told(now time.Duration) bool {
	return !r.dead() && now <= r.born+r.ttl && now >= r.born
}

type group struct {
	regs  []register // by origin's name
	front *Front     // nil: to be made
}

func (g *group) find(name string) (int, bool) {
	return slices.BinarySearchFunc(g.regs, name, func(r register, n string) int { return cmp.Compare(r.origin.name, n) })
}

// Table is the table of one owner; it is not safe for several goroutines. All times are of the owner's one monotonic
// clock, passed in as now.
type Table struct {
	lim     Limits
	groups  map[Key]*group
	origins map[string]*origin
	gone    map[string]time.Duration // remembered until
	changed map[Key]struct{}         // since Changed was asked
	count   int
	bytes   int64
}

// New table, empty.
func New(lim Limits) *Table {
	return &Table{
		lim: lim, groups: map[Key]*group{}, origins: map[string]*origin{}, gone: map[string]time.Duration{},
		changed: map[Key]struct{}{},
	}
}

// Len and Bytes are what the bounds are about.
func (t *Table) Len() int     { return t.count }
func (t *Table) Bytes() int64 { return t.bytes }

// Epoch is the largest heard of the origin, 0 if none.
func (t *Table) Epoch(name string) uint64 {
	if o := t.origins[name]; o != nil {
		return o.epoch
	}
	return 0
}

// Raise takes note of an origin's epoch and retires what it told in lower ones.
func (t *Table) Raise(now time.Duration, name string, epoch uint64) error {
	f := Fact{Kind: Cold, Origin: name, Epoch: epoch, Seq: 1, TTL: 1}
	if err := f.Check(1); err != nil {
		return err
	}
	_, err := t.raise(now, name, epoch)
	return err
}

func (t *Table) raise(now time.Duration, name string, epoch uint64) (*origin, error) {
	o := t.origins[name]
	if o == nil {
		if len(t.origins) >= t.lim.Origins {
			return nil, ErrOrigins
		}
		o = &origin{name: name, heard: now}
		t.origins[name] = o
		t.bytes += originBytes + int64(len(name))
	}
	o.heard = max(o.heard, now)
	if epoch > o.epoch {
		o.epoch = epoch
		if o.held > 0 {
			for k, g := range t.groups {
				if _, ok := g.find(name); ok {
					t.touch(k, g)
				}
			}
		}
	}
	return o, nil
}

func (t *Table) touch(k Key, g *group) { t.show(k, g, nil) }

func (t *Table) show(k Key, g *group, f *Front) {
	t.bytes += f.bytes() - g.front.bytes()
	g.front = f
	t.changed[k] = struct{}{}
}

// Change is what a merge did.
type Change uint8

const (
	Known Change = iota // nothing
	Older               // a copy of what was held shows it to be older; not worth passing on
	News                // the origin's word is another one now
)

// Merge takes a fact in.
func (t *Table) Merge(now time.Duration, f Fact) (Change, error) {
	if err := f.Check(t.lim.MaxTTL); err != nil {
		return Known, err
	}
	if until, ok := t.gone[f.Endpoint]; ok && now < until {
		return Known, ErrGone
	}
	o, err := t.raise(now, f.Origin, f.Epoch)
	if err != nil {
		return Known, err
	}
	k := f.Key()
	r := register{origin: o, epoch: f.Epoch, seq: f.Seq, value: f.Value, ttl: f.TTL, born: now - f.Age}
	g := t.groups[k]
	if g == nil {
		g = &group{}
		t.groups[k] = g
		t.bytes += groupBytes + int64(len(k.Endpoint))
	}
	change := News
	i, held := g.find(f.Origin)
	switch {
	case !held:
		if len(g.regs) == cap(g.regs) { // by an eighth: the slack of append would be most of the table
			g.regs = append(make([]register, 0, len(g.regs)+len(g.regs)/8+2), g.regs...)
		}
		g.regs = slices.Insert(g.regs, i, r)
		o.held++
		t.count++
		t.bytes += registerBytes
	case r.compare(g.regs[i]) > 0:
		if was := g.regs[i]; was.epoch == r.epoch && was.seq == r.seq && was.value == r.value && was.ttl == r.ttl {
			change = Older
		}
		g.regs[i] = r
	default:
		return Known, nil
	}
	if g.front == nil {
		t.touch(k, g)
	} else if next := g.front.with(entryOf(k.Kind, r)); next != g.front {
		t.show(k, g, next)
	}
	if t.count > t.lim.Facts || t.bytes > t.lim.Bytes {
		// A little more than needed goes at once, so that a full table doesn't sort itself for each fact.
		t.Shed(now, t.lim.Facts-t.lim.Facts/32, t.lim.Bytes-t.lim.Bytes/32)
	}
	return change, nil
}

// Read gives the evidence that decides: for Wait the one that ends last, for ListVersion the largest version, for the
// others the freshest; what is live before what is dead. What has expired is not read.
func (t *Table) Read(now time.Duration, s Subject, k Kind) (Evidence, bool) {
	return t.front(Key{s, k}).Read(now)
}

func (t *Table) front(k Key) *Front {
	g := t.groups[k]
	if g == nil {
		return nil
	}
	if g.front == nil {
		g.front = frontOf(k.Kind, g.regs)
		t.bytes += g.front.bytes()
	}
	return g.front
}

// Changed hands out the front of each key that changed since it was last asked; nil where nothing is left.
func (t *Table) Changed(yield func(Key, *Front)) {
	for k := range t.changed {
		yield(k, t.front(k))
	}
	clear(t.changed)
}

// Get is what the origin last told, if it may be told on.
func (t *Table) Get(now time.Duration, k Key, name string) (Fact, bool) {
	if g := t.groups[k]; g != nil {
		if i, ok := g.find(name); ok && g.regs[i].told(now) {
			return g.regs[i].fact(k, now), true
		}
	}
	return Fact{}, false
}

// Live are all facts that may be told on, by key and origin.
func (t *Table) Live(now time.Duration) iter.Seq[Fact] {
	return func(yield func(Fact) bool) {
		for _, k := range slices.SortedFunc(maps.Keys(t.groups), compareKeys) {
			for _, r := range t.groups[k].regs {
				if r.told(now) && !yield(r.fact(k, now)) {
					return
				}
			}
		}
	}
}

// Forget drops all that is about the endpoint, and refuses more about it for a while.
func (t *Table) Forget(now time.Duration, endpoint string) {
	if endpoint == "" || len(endpoint) > MaxName {
		return // the whole destination is never gone
	}
	for k, g := range t.groups {
		if k.Endpoint == endpoint {
			t.keep(k, g, func(register) bool { return false })
		}
	}
	if _, known := t.gone[endpoint]; !known && len(t.gone) >= t.lim.Gone {
		t.forgetGone(slices.MinFunc(slices.Collect(maps.Keys(t.gone)), func(a, b string) int {
			return cmp.Or(cmp.Compare(t.gone[a], t.gone[b]), cmp.Compare(a, b))
		}))
	}
	if _, known := t.gone[endpoint]; !known {
		t.bytes += int64(len(endpoint)) + 48
	}
	t.gone[endpoint] = now + t.lim.GoneFor
}

func (t *Table) forgetGone(endpoint string) {
	delete(t.gone, endpoint)
	t.bytes -= int64(len(endpoint)) + 48
}

// keep leaves in the group only the registers asked for, and gives the number dropped.
func (t *Table) keep(k Key, g *group, wanted func(register) bool) int {
	before := len(g.regs)
	g.regs = slices.DeleteFunc(g.regs, func(r register) bool {
		if wanted(r) {
			return false
		}
		r.origin.held--
		return true
	})
	dropped := before - len(g.regs)
	t.count -= dropped
	t.bytes -= int64(dropped) * registerBytes
	if dropped == 0 {
		return 0
	}
	t.touch(k, g)
	if len(g.regs) == 0 {
		delete(t.groups, k)
		t.bytes -= groupBytes + int64(len(k.Endpoint))
	} else if cap(g.regs) > 2*len(g.regs)+8 {
		g.regs = slices.Clip(slices.Clone(g.regs))
	}
	return dropped
}

// Sweep drops registers that no delayed copy can need any more, endpoints gone long ago and origins long silent; it
// gives the number of registers dropped.
func (t *Table) Sweep(now time.Duration) int {
	n := 0
	for k, g := range t.groups {
		n += t.keep(k, g, func(r register) bool { return now <= r.born+t.lim.MaxTTL })
	}
	for e, until := range t.gone {
		if now >= until {
			t.forgetGone(e)
		}
	}
	// What a silent origin told in lower epochs has expired too, so its epoch guards nothing any more.
	for name, o := range t.origins {
		if o.held == 0 && now > o.heard+t.lim.MaxTTL {
			delete(t.origins, name)
			t.bytes -= originBytes + int64(len(name))
		}
	}
	return n
}

// Shed drops registers, in the order that the package's comment states, until no more than so many and so many bytes
// are held; it gives the number dropped.
func (t *Table) Shed(now time.Duration, most int, mostBytes int64) int {
	if t.count <= most && t.bytes <= mostBytes {
		return 0
	}
	type victim struct {
		class int // 0 expired, 1 dead, 2 live
		left  time.Duration
		key   Key
		name  string
	}
	all := make([]victim, 0, t.count)
	for k, g := range t.groups {
		for _, r := range g.regs {
			v := victim{2, r.born + r.ttl - now, k, r.origin.name}
			switch {
			case v.left < 0:
				v.class = 0
			case r.dead():
				v.class = 1
			}
			all = append(all, v)
		}
	}
	slices.SortFunc(all, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.left, b.left), compareKeys(a.key, b.key), cmp.Compare(a.name, b.name))
	})
	n := 0
	for _, v := range all {
		if t.count <= most && t.bytes <= mostBytes {
			break
		}
		n += t.keep(v.key, t.groups[v.key], func(r register) bool { return r.origin.name != v.name })
	}
	return n
}
