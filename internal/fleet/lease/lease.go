package lease

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// ID names a whole.
type ID struct{ Subject, What string }

// Kind tells how a whole is spent.
type Kind uint8

const (
	Rate  Kind = iota // uses a second
	Count             // uses in any Window
)

// Whole is what the members divide, in one generation.
type Whole struct {
	ID         ID
	Kind       Kind
	Size       float64 // uses a second, or uses in a Window
	Window     time.Duration
	Generation uint64
	Since      uint64 // the oldest generation that any member may still hold; 0 is the first
}

// Member is a courier of the list.
type Member struct {
	Name  string
	Epoch uint64 // at least this life; 0 if not known
}

// List is one version of the agreed member list.
type List struct {
	Version uint64
	Since   uint64   // the oldest version that any member may still hold; 0 is the first
	Members []Member // sorted by name
	Gone    []string // vouched for: these run no more, or only with this version
}

// Config is what a book goes by. All members of a fleet have the same MaxLoan, Drift and Fixed.
type Config struct {
	Self     string
	MaxLoan  time.Duration // the longest loan; 2 s
	Drift    float64       // the largest relative difference between the rates of two members' clocks; 1/1000
	Fixed    time.Duration // added to the lender's end, for the grain of the clocks; 5 ms
	Burst    time.Duration // a rate's bucket holds the right times this; 100 ms
	Keep     float64       // the fraction of its part that a lender never lends; 0.1
	Asks     int           // open questions for one whole; 4
	Patience time.Duration // a question without an answer is given up; 500 ms
	Backoff  time.Duration // mean wait after a question that brought nothing; 200 ms
	Tell     time.Duration // how often the own state is told; 1 s
}

// Default returns the settings of a fleet on one local network.
func Default(self string) Config {
	return Config{
		Self: self, MaxLoan: 2 * time.Second, Drift: 0.001, Fixed: 5 * time.Millisecond, Burst: 100 * time.Millisecond,
		Keep: 0.1, Asks: 4, Patience: 500 * time.Millisecond, Backoff: 200 * time.Millisecond, Tell: time.Second,
	}
}

// Check tells every field that can't serve.
func (c Config) Check() error {
	var errs []error
	bad := func(is bool, field, want string) {
		if is {
			errs = append(errs, fmt.Errorf("lease: %s: set it to %s", field, want))
		}
	}
	bad(c.Self == "", "Self", "the member's name")
	bad(c.MaxLoan <= 0, "MaxLoan", "a time above 0")
	bad(!(c.Drift >= 0 && c.Drift < 1), "Drift", "a fraction from 0 to below 1")
	bad(c.Fixed < 0, "Fixed", "a time of at least 0")
	bad(c.Burst < 0, "Burst", "a time of at least 0")
	bad(!(c.Keep >= 0 && c.Keep <= 1), "Keep", "a fraction from 0 to 1")
	bad(c.Asks < 1, "Asks", "at least 1")
	bad(c.Patience <= 0 || c.Patience > c.MaxLoan, "Patience", "a time above 0 and at most MaxLoan")
	bad(c.Backoff <= 0, "Backoff", "a time above 0")
	bad(c.Tell <= 0, "Tell", "a time above 0")
	return errors.Join(errs...)
}

// Key is one loan: its borrower, that one's life, and the borrower's number of the first question.
type Key struct {
	Borrower string
	Epoch    uint64
	Number   uint64
}

// Ask asks for a fraction of the receiver's part, or for more time on a loan.
type Ask struct {
	Whole    ID
	Number   uint64 // the borrower's number of this question
	Loan     uint64 // the loan's first number; the same as Number for a new one
	Fraction float64
	For      time.Duration
}

// Grant answers one Ask; a Fraction of 0 is a refusal.
type Grant struct {
	Whole    ID
	Number   uint64
	Loan     uint64
	Fraction float64
	For      time.Duration
}

// Return gives a loan back.
type Return struct {
	Whole ID
	Loan  uint64
}

// Held is one whole as a member holds it. Idle is a hint and carries no right.
type Held struct {
	Whole      ID
	Generation uint64
	Idle       float64 // fraction of its part that it would lend
}

// State is what a member holds, and so acknowledges. It may be passed on by third ones.
type State struct {
	List   uint64
	Wholes []Held
}

// Message is what members send one another; one of the pointers is set.
type Message struct {
	From, To           string // To is empty for all members
	FromEpoch, ToEpoch uint64 // ToEpoch is 0 for State
	Ask                *Ask
	Grant              *Grant
	Return             *Return
	State              *State
}

// Send is a message to be sent, after a snapshot is stored if it is Durable.
type Send struct {
	Message
	Durable bool
}

// Event is something that a Step takes in: a message, or how much the member itself wants to use.
type Event struct {
	Message *Message
	Demand  *Demand
}

// Demand is what the member would use of a whole now, in the whole's unit.
type Demand struct {
	Whole ID
	Want  float64
}

type peer struct {
	epoch uint64
	list  uint64 // the newest list that it is known to hold
}

type lent struct {
	key      Key
	lastAsk  uint64
	fraction float64
	end      time.Duration // own clock, the margin included
}

type loan struct {
	from     string
	epoch    uint64
	number   uint64
	fraction float64
	asked    time.Duration
	end      time.Duration
	renewing bool
}

type question struct {
	to       string
	epoch    uint64
	number   uint64
	loan     uint64
	fraction float64
	asked    time.Duration
	span     time.Duration
}

type told struct { // of one peer for one whole
	generation uint64
	idle       float64
}

const slots = 16

type whole struct {
	Whole
	sizes    map[uint64]float64 // by generation, from the floor on
	least    float64            // over all generations in the range
	must     uint64             // nothing is used under an older generation
	want     float64
	peers    map[string]told
	lent     []lent
	loans    []loan
	open     []question
	askAfter time.Duration
	from     time.Duration // a count can't be used before: what an earlier life used is not known
	tokens   float64
	filled   time.Duration
	used     [slots + 1]float64 // uses by slot of the window
	slot     int64
	slow     map[string]float64 // of a count: the parts until then, by member
	until    time.Duration
}

// broken are rules that a test switches off, one at a time.
type broken struct{ fromReceipt, noMargin, twice, forgets, stale, alone, noWindow, eager bool }

// Book is one life's account of rights. Use New.
type Book struct {
	cfg     Config
	epoch   uint64
	start   time.Duration
	free    time.Duration // nothing is used before: an earlier life may have lent it
	earlier bool          // there was an earlier life
	stepped time.Duration
	tellAt  time.Duration
	changed bool // versions were told since the last State went out
	pending bool // versions were told that the floors and parts don't go by yet: see reckon
	number  uint64
	list    uint64
	floor   uint64
	lists   map[uint64]List
	since   uint64
	gone    map[string]bool
	share   map[string]float64 // parts as fractions of a whole, over all lists in the range
	grown   bool               // one of them has grown by another list than the first
	grew    time.Duration      // when one of them last did
	peers   map[string]*peer
	wholes  map[ID]*whole
	order   []*whole
	broken  broken
}

// New begins a life. MayHaveLent says that an earlier life of this name may have run and its snapshot is not at hand.
func New(cfg Config, epoch uint64, now time.Duration, mayHaveLent bool) (*Book, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	b := &Book{
		cfg: cfg, epoch: epoch, start: now, free: now, earlier: mayHaveLent, stepped: now, tellAt: now,
		lists: map[uint64]List{}, gone: map[string]bool{}, share: map[string]float64{}, peers: map[string]*peer{}, wholes: map[ID]*whole{},
	}
	if mayHaveLent {
		b.free = now + b.margin(cfg.MaxLoan)
	}
	return b, nil
}

// margin is how long a lender waits for a loan of d.
func (b *Book) margin(d time.Duration) time.Duration {
	if b.broken.noMargin {
		return d
	}
	return b.drifted(d) + b.cfg.Fixed
}

// drifted is a time on the own clock in which d has gone by on any other.
func (b *Book) drifted(d time.Duration) time.Duration {
	return d + time.Duration(math.Ceil(float64(d)*b.cfg.Drift))
}

// Members takes a version of the agreed list. One older than the held one fills a gap. It counts from the next call of
// another method than Members and SetWhole on, so the order in which versions are told does not matter.
func (b *Book) Members(l List) error {
	if l.Version == 0 || l.Since > l.Version {
		return fmt.Errorf("lease: list version %d, since %d: give a version of at least 1 and a since of at most it", l.Version, l.Since)
	}
	if !slices.IsSortedFunc(l.Members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) }) {
		return fmt.Errorf("lease: list version %d: sort its members by name", l.Version)
	}
	for i, m := range l.Members {
		if m.Name == "" || i > 0 && m.Name == l.Members[i-1].Name {
			return fmt.Errorf("lease: list version %d: member %d: give each one name, once", l.Version, i)
		}
	}
	if l.Version < b.floor {
		return nil
	}
	if _, ok := b.lists[l.Version]; ok {
		return nil
	}
	l.Members, l.Gone = slices.Clone(l.Members), slices.Clone(l.Gone)
	b.lists[l.Version] = l
	if l.Version > b.list {
		b.list, b.changed = l.Version, true
		clear(b.gone)
		for _, name := range l.Gone {
			b.gone[name] = true
		}
	}
	b.since = max(b.since, l.Since, 1)
	for _, m := range l.Members {
		p := b.peer(m.Name)
		p.epoch = max(p.epoch, m.Epoch)
	}
	b.deferReckoning()
	return nil
}

func (b *Book) deferReckoning() {
	b.pending = true
	if b.broken.eager {
		b.reckon(b.stepped)
	}
}

// reckon brings floors and parts up to what was told since. It is not done at each version: a life that has lost its
// state is told several, from old ones on, and what follows from the first of them alone is wrong. An older list may have
// this member alone on it, which would then no longer reckon with generations that a member of a newer list uses; and
// a floor never goes back (TestMemberThatLostItsStateReckonsWithEachGenerationInAnyOrder).
func (b *Book) reckon(now time.Duration) {
	if !b.pending {
		return
	}
	b.pending = false
	b.relist(now)
	if b.list == 0 { // relist has done nothing
		for _, w := range b.order {
			b.resize(w)
		}
	}
}

func (b *Book) peer(name string) *peer {
	p := b.peers[name]
	if p == nil {
		p = &peer{}
		b.peers[name] = p
	}
	return p
}

// relist works out the floor of lists and every member's share.
func (b *Book) relist(now time.Duration) {
	if b.list == 0 {
		return
	}
	// Upward one by one: the members of each list in between must have followed, and an unknown list's members are unknown.
	b.floor = max(b.floor, b.since)
	for b.floor < b.list {
		l, ok := b.lists[b.floor]
		if !ok {
			break
		}
		follow := true
		for v := b.floor; v <= b.list && follow; v++ {
			if v != b.floor {
				if l, ok = b.lists[v]; !ok {
					continue
				}
			}
			for _, m := range l.Members {
				if m.Name != b.cfg.Self && !b.gone[m.Name] && b.peers[m.Name].list <= b.floor {
					follow = false
					break
				}
			}
		}
		if !follow && !b.broken.alone {
			break
		}
		b.floor++
	}
	for v := range b.lists {
		if v < b.floor {
			delete(b.lists, v)
		}
	}
	outside, old := b.share[b.cfg.Self] == 0, b.share
	b.share = make(map[string]float64, len(old))
	for _, m := range b.lists[b.list].Members {
		share := 1.0
		for v := b.floor; v <= b.list; v++ {
			l, ok := b.lists[v]
			if !ok || !l.has(m.Name) {
				share = 0
				break
			}
			share = min(share, 1/float64(len(l.Members)))
		}
		b.share[m.Name] = share
	}
	// Who is not on every list of the range is not reckoned with by all, so it uses nothing, borrowed or own; and what the
	// others held when they began to reckon with it binds it.
	if b.share[b.cfg.Self] == 0 {
		clear(b.share)
	} else if outside {
		for _, w := range b.order {
			for _, t := range w.peers {
				w.must = max(w.must, t.generation)
			}
		}
	}
	b.slow(now, old)
	inAny := func(name string) bool {
		for _, l := range b.lists {
			if l.has(name) {
				return true
			}
		}
		return false
	}
	for name := range b.peers { // all state of members that are on no list goes with them
		if !inAny(name) {
			delete(b.peers, name)
			for _, w := range b.order {
				delete(w.peers, name)
			}
		}
	}
	for _, w := range b.order {
		b.resize(w)
	}
}

// slow makes a count wait a window before it uses what has grown: those who had it may have used it just now.
func (b *Book) slow(now time.Duration, old map[string]float64) {
	if b.list == 1 { // nobody had anything before
		return
	}
	grew := false
	for name, s := range b.share {
		grew = grew || s > old[name]
	}
	if grew {
		b.grown, b.grew = true, now
	}
	for _, w := range b.order {
		if w.Kind != Count {
			continue
		}
		was := old
		if now < w.until {
			was = w.slow
		} else if !grew {
			continue
		}
		w.slow = make(map[string]float64, len(b.share))
		for name, s := range b.share {
			w.slow[name] = min(s, was[name])
		}
		if grew {
			w.until = now + b.drifted(w.Window)
		}
	}
}

// part is a member's part as a fraction of the whole.
func (b *Book) part(now time.Duration, w *whole, name string) float64 {
	if w.Kind == Count && now < w.until {
		return w.slow[name]
	}
	return b.share[name]
}

func (l List) has(name string) bool {
	_, ok := slices.BinarySearchFunc(l.Members, name, func(m Member, n string) int { return cmp.Compare(m.Name, n) })
	return ok
}

// SetWhole takes a generation of a whole. One older than the held one fills a gap. Like a list's, it counts from the next
// call of another method on.
func (b *Book) SetWhole(now time.Duration, n Whole) error {
	switch {
	case n.Generation == 0 || n.Since > n.Generation:
		return fmt.Errorf("lease: %v: generation %d, since %d: give a generation of at least 1 and a since of at most it",
			n.ID, n.Generation, n.Since)
	case !(n.Size >= 0) || math.IsInf(n.Size, 0):
		return fmt.Errorf("lease: %v: size %v: give a number of at least 0", n.ID, n.Size)
	case n.Kind > Count || n.Kind == Count && n.Window <= 0:
		return fmt.Errorf("lease: %v: kind %d, window %v: a count needs a window above 0", n.ID, n.Kind, n.Window)
	}
	n.Since = max(n.Since, 1)
	w := b.wholes[n.ID]
	if w == nil {
		w = &whole{Whole: n, sizes: map[uint64]float64{}, peers: map[string]told{}, filled: now, from: b.start}
		if b.earlier && n.Kind == Count {
			w.from += b.drifted(n.Window)
		}
		if n.Kind == Count && b.grown {
			w.until = b.grew + b.drifted(n.Window)
		}
		b.wholes[n.ID] = w
		i, _ := slices.BinarySearchFunc(b.order, n.ID, func(w *whole, id ID) int {
			return cmp.Or(cmp.Compare(w.ID.Subject, id.Subject), cmp.Compare(w.ID.What, id.What))
		})
		b.order = slices.Insert(b.order, i, w)
		b.changed = true
	}
	if n.Kind != w.Kind || n.Window != w.Window {
		return fmt.Errorf("lease: %v: kind and window are for good: use another ID", n.ID)
	}
	if _, ok := w.sizes[n.Generation]; ok || n.Generation < w.Since && n.Generation < w.Generation {
		return nil
	}
	w.sizes[n.Generation] = n.Size
	if n.Generation > w.Generation {
		w.Generation, w.Size, b.changed = n.Generation, n.Size, true
	}
	w.Since = max(w.Since, n.Since)
	b.deferReckoning()
	return nil
}

// Drop forgets a whole whose endpoint has gone. It must not be told again under the same ID while a loan may run.
func (b *Book) Drop(id ID) {
	delete(b.wholes, id)
	b.order = slices.DeleteFunc(b.order, func(w *whole) bool { return w.ID == id })
}

// resize works out the floor of generations and what a part is counted from.
func (b *Book) resize(w *whole) {
	floor := w.Generation
	for v := b.floor; v <= b.list; v++ {
		if _, ok := b.lists[v]; !ok { // who else must follow is not known
			floor = w.Since
			break
		}
	}
	for name := range b.peers {
		if name != b.cfg.Self && !b.gone[name] {
			floor = min(floor, max(w.Since, w.peers[name].generation))
		}
	}
	if b.broken.alone {
		floor = w.Generation
	}
	w.Since = max(w.Since, floor)
	w.least = w.Size
	if w.Generation < w.must {
		w.least = 0
	}
	for g := floor; g <= w.Generation; g++ {
		size, ok := w.sizes[g]
		if !ok {
			size = 0
		}
		if w.least = min(w.least, size); w.least == 0 {
			break
		}
	}
	for g := range w.sizes {
		if g < floor {
			delete(w.sizes, g)
		}
	}
}

// lentNow is the fraction of the own part that is out.
func (w *whole) lentNow(now time.Duration) (sum float64) {
	for i := range w.lent {
		if now < w.lent[i].end {
			sum += w.lent[i].fraction
		}
	}
	return sum
}

func (b *Book) rights(now time.Duration, w *whole) float64 {
	if b.broken.stale {
		now = b.stepped
	}
	r := 0.0
	if now >= b.free && now >= w.from {
		r = max(0, 1-w.lentNow(now)) * b.part(now, w, b.cfg.Self)
	}
	for i := range w.loans {
		if l := &w.loans[i]; now < l.end {
			r += l.fraction * b.part(now, w, l.from)
		}
	}
	return r * w.least
}

// Rights returns what may be used of a whole at this time, in its unit.
func (b *Book) Rights(now time.Duration, id ID) float64 {
	w := b.wholes[id]
	if w == nil {
		return 0
	}
	b.reckon(now)
	return b.rights(now, w)
}

// Use takes n uses of a whole if the rights held at this very time permit it. Call it with the clock as read directly
// before the call is written.
func (b *Book) Use(now time.Duration, id ID, n float64) bool {
	w := b.wholes[id]
	if w == nil || !(n >= 0) {
		return false
	}
	b.reckon(now)
	r := b.rights(now, w)
	if w.Kind == Count {
		w.turn(now, b.drifted(w.Window))
		if w.spent()+n > r*(1+1e-12) {
			return false
		}
		w.used[w.slot%int64(len(w.used))] += n
		return true
	}
	b.fill(now, w, r)
	if n > w.tokens {
		return false
	}
	w.tokens -= n
	return true
}

func (b *Book) fill(now time.Duration, w *whole, r float64) {
	if now > w.filled {
		w.tokens += r * (now - w.filled).Seconds()
		w.filled = now
	}
	if r == 0 {
		w.tokens = 0
	} else {
		w.tokens = min(w.tokens, max(1, r*b.cfg.Burst.Seconds()))
	}
}

// turn clears the slots of uses that are older than the window: a use stays until a whole window after its slot's end.
func (w *whole) turn(now, window time.Duration) {
	width := max(1, (window+slots-1)/slots)
	to := int64(now / width)
	if now < 0 && now%width != 0 {
		to--
	}
	to += 1 << 40 // slots below 0 would index backwards
	if to <= w.slot {
		return
	}
	for s := max(w.slot+1, to-slots); s <= to; s++ {
		w.used[s%int64(len(w.used))] = 0
	}
	w.slot = to
}

func (w *whole) spent() (sum float64) {
	for _, n := range w.used {
		sum += n
	}
	return sum
}
