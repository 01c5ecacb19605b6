// Package store holds the shared facts of one courier: tables of facts.Table in shards, a small pool of workers that
// writes them, and reads that wait for nobody. Whether a fact is taken in is decided by package facts alone.
//
// The invariant: the courier's actor never waits here. A read takes no lock and allocates nothing: it loads a shard's
// immutable view, looks a cell up in it and loads the cell's immutable front (TestReadWaitsForNobody holds every lock
// while it reads; TestReadAllocatesNothing). A post never blocks: a full mailbox drops its oldest and counts it
// (TestFullMailbox). What is dropped there is as a packet lost, which merges allow for.
//
// Lock order: the locks of the shards, by ascending index, then the lock of the queue of gossip. No more than one
// shard's is ever held at once, nothing is waited for under any of them, and no callback of another package is called.
// Tests run with locks that check the order (TestLockOrder shows that the check itself fails on a wrong one).
//
// Shards are chosen by the subject's hash, and all share one bound: whoever brings the sum above it, drops from the
// fullest shard, in the table's order. The sum is above its bound by no more than the batches at work.
//
// All times are the process's monotonic clock, passed in.
package store

import (
	"context"
	"errors"
	"maps"
	"math"
	"math/bits"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"raventrestle/internal/fleet/facts"
)

// Config of a store.
type Config struct {
	Name    string // of this courier, the origin of what it learns
	Epoch   uint64 // of this life
	Shards  int    // rounded up to a power of two
	Workers int
	Mailbox int // batches waiting for a worker
	Queue   int // registers waiting to be passed on
	Passes  int // times that each is passed on, at most: Fleet
	Limits  facts.Limits
}

// DefaultConfig fits 300 couriers and 60 endpoints.
func DefaultConfig(name string, epoch uint64) Config {
	return Config{Name: name, Epoch: epoch, Shards: 8, Workers: 2, Mailbox: 256, Queue: 4096, Passes: 14, Limits: facts.DefaultLimits()}
}

// Stats are counts since the start, but for Facts, Bytes, Waiting and Heard, which are of now.
type Stats struct {
	Facts, Bytes  int64
	Waiting       int    // registers to be passed on
	Heard         uint64 // largest epoch of our own name; above our own, this life must draw another
	Learned       uint64 // own facts posted
	Taken         uint64 // foreign facts posted
	Changed       uint64 // facts that were news
	Older         uint64 // copies that only showed a fact to be older
	Known         uint64 // facts that changed nothing
	Absurd        uint64 // refused for a field that can't be true, or past their time
	Gone          uint64 // refused for an endpoint that is gone
	Origins       uint64 // refused for want of room for another origin
	MailDropped   uint64 // jobs dropped from a full mailbox
	QueueDropped  uint64 // registers dropped from the full queue of gossip
	Shed          uint64 // registers dropped at the bound
	Swept         uint64 // registers dropped as over
	Passed        uint64 // facts handed out by Changes
	RaisesRefused uint64 // epochs not taken note of, for want of room for another origin
}

type counters struct {
	learned, taken, changed, older, known, absurd, gone, origins, mailDropped, queueDropped, shed, swept, passed, raises atomic.Uint64
}

// Store is safe for many goroutines. Run has to run for what is posted to be done.
type Store struct {
	cfg     Config
	epoch   atomic.Uint64
	seq     atomic.Uint64
	passes  atomic.Int64
	shards  []shard
	mask    uint64
	mail    chan job // facts
	orders  chan job // what is rare and should not be dropped for facts
	pending atomic.Int64
	idle    chan struct{}
	facts   atomic.Int64 // over all shards
	bytes   atomic.Int64
	queueMu mutex
	queue   gossip
	count   counters
}

type (
	view map[facts.Key]*cell
	cell struct{ front atomic.Pointer[facts.Front] }
)

type shard struct {
	view  atomic.Pointer[view]
	mu    mutex
	table *facts.Table
	facts atomic.Int64
	bytes atomic.Int64
	_     [64]byte // a reader's line isn't the next shard's writer's
}

type job struct {
	now    time.Duration // when it was posted: time in the mailbox counts into the age
	batch  []facts.Fact
	forget string
	raise  string
	epoch  uint64
	sweep  bool
}

// New store, empty.
func New(cfg Config) (*Store, error) { return newStore(cfg, nil) }

func newStore(cfg Config, watch watcher) (*Store, error) {
	switch {
	case cfg.Name == "" || len(cfg.Name) > facts.MaxName:
		return nil, errors.New("fleet store: Name is empty or too long: give the courier's name")
	case cfg.Epoch == 0:
		return nil, errors.New("fleet store: Epoch is zero: draw it by facts.NextEpoch")
	case min(cfg.Shards, cfg.Workers, cfg.Mailbox, cfg.Queue, cfg.Passes, cfg.Limits.Facts, cfg.Limits.Origins, cfg.Limits.RemovedEndpoints) < 1 ||
		cfg.Limits.MaxTTL <= 0 || cfg.Limits.Bytes <= 0:
		return nil, errors.New("fleet store: every bound has to be at least 1: start from DefaultConfig")
	}
	n := 1
	for n < cfg.Shards {
		n *= 2
	}
	s := &Store{
		cfg: cfg, shards: make([]shard, n), mask: uint64(n - 1), mail: make(chan job, cfg.Mailbox),
		orders: make(chan job, cfg.Mailbox), idle: make(chan struct{}, 1), queue: newGossip(cfg.Queue, cfg.Passes),
	}
	s.epoch.Store(cfg.Epoch)
	s.passes.Store(int64(cfg.Passes))
	s.queueMu = mutex{rank: n, watch: watch}
	lim := cfg.Limits
	lim.Facts, lim.Bytes = math.MaxInt, math.MaxInt64 // the sum over all is what is bounded: trim
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu = mutex{rank: i, watch: watch}
		sh.table = facts.New(lim)
		sh.view.Store(&view{})
	}
	return s, nil
}

func (s *Store) index(sub facts.Subject) int {
	return int((xxhash.Sum64String(sub.Endpoint) ^ uint64(sub.Dest)*0x9e3779b97f4a7c15>>32) & s.mask)
}

func (s *Store) shard(sub facts.Subject) *shard { return &s.shards[s.index(sub)] }

// Read gives the evidence that decides at now. It waits for nobody and allocates nothing.
func (s *Store) Read(now time.Duration, sub facts.Subject, kind facts.Kind) (facts.Evidence, bool) {
	c := (*s.shard(sub).view.Load())[facts.Key{Subject: sub, Kind: kind}]
	if c == nil {
		return facts.Evidence{}, false
	}
	return c.front.Load().Read(now)
}

// Learn posts what this courier learned, with the next number of its life.
func (s *Store) Learn(now time.Duration, sub facts.Subject, kind facts.Kind, v facts.Value, ttl time.Duration) error {
	f := facts.Fact{Subject: sub, Kind: kind, Value: v, Origin: s.cfg.Name, Epoch: s.epoch.Load(), Seq: s.seq.Add(1), TTL: ttl}
	if err := f.Check(s.cfg.Limits.MaxTTL); err != nil {
		s.count.absurd.Add(1)
		return err
	}
	s.count.learned.Add(1)
	s.post(s.mail, job{now: now, batch: []facts.Fact{f}})
	return nil
}

// Take posts what a member told; now is when it came in. The batch is the store's from then on.
func (s *Store) Take(now time.Duration, batch []facts.Fact) {
	s.count.taken.Add(uint64(len(batch)))
	s.post(s.mail, job{now: now, batch: batch})
}

// Forget posts that an endpoint is gone.
func (s *Store) Forget(now time.Duration, endpoint string) {
	s.post(s.orders, job{now: now, forget: endpoint})
}

// Sweep posts that what is over be dropped; to be asked every few seconds.
func (s *Store) Sweep(now time.Duration) { s.post(s.orders, job{now: now, sweep: true}) }

// Raise posts an origin's epoch as heard. For our own name it begins a new epoch, and what we learned before is dead.
func (s *Store) Raise(now time.Duration, name string, epoch uint64) {
	if name == s.cfg.Name {
		for old := s.epoch.Load(); epoch > old && !s.epoch.CompareAndSwap(old, epoch); old = s.epoch.Load() {
		}
	}
	s.post(s.orders, job{now: now, raise: name, epoch: epoch})
}

// Fleet says how many members there are, this one included, and with it how often each register is passed on. Passed on
// p times by each of n members at a loss of l, a fact misses a member with the chance e^(-p(1-l)), so that it misses any
// of them in one of a hundred cases where p is ln(100n)/(1-l): 11.5 for 300 at 10%. 5 + log2(n), rounded down, is 13 there, and 6 for
// two, who lose a fact for good (until the next exchange) only if all copies are lost. More than needed takes the members' bytes from what is news elsewhere.
func (s *Store) Fleet(members int) {
	s.passes.Store(int64(min(s.cfg.Passes, 4+bits.Len(uint(max(members, 2))))))
}

// Epoch of this life.
func (s *Store) Epoch() uint64 { return s.epoch.Load() }

// Heard is the largest epoch known of the name, for telling a life that joins; it takes a lock, so it is not for the
// actor.
func (s *Store) Heard(name string) uint64 {
	sh := &s.shards[0] // every shard is told every epoch
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.table.Epoch(name)
}

// post never blocks: it drops the oldest for the newest, since the newest is the fresher evidence.
func (s *Store) post(to chan job, j job) {
	s.pending.Add(1)
	for {
		select {
		case to <- j:
			return
		default:
		}
		select {
		case <-to:
			s.count.mailDropped.Add(1)
			s.done()
		default:
		}
	}
}

func (s *Store) done() {
	if s.pending.Add(-1) == 0 {
		select {
		case s.idle <- struct{}{}:
		default:
		}
	}
}

// Settle waits until all that was posted is done.
func (s *Store) Settle(ctx context.Context) error {
	for s.pending.Load() != 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.idle:
		}
	}
	select { // for whoever else waits
	case s.idle <- struct{}{}:
	default:
	}
	return nil
}

// Run runs the workers until the context ends; what is still posted then is left.
func (s *Store) Run(ctx context.Context) error {
	var g errgroup.Group
	for range s.cfg.Workers {
		g.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case j := <-s.orders:
					s.do(j)
				case j := <-s.mail:
					s.do(j)
				}
				s.done()
			}
		})
	}
	return g.Wait()
}

// Drain does what is posted, orders before facts, in the caller's goroutine and instead of Run: for a host without
// goroutines, such as a fleet in virtual time, whose runs are then the same each time. It gives the number of jobs done.
func (s *Store) Drain() int {
	for n := 0; ; n++ {
		var j job
		select {
		case j = <-s.orders:
		default:
			select {
			case j = <-s.mail:
			default:
				return n
			}
		}
		s.do(j)
		s.done()
	}
}

func (s *Store) do(j job) {
	// Epochs first and in all shards, so that no fact of a dead epoch is read as live in the shards of other subjects.
	// Our own is always among them: what a snapshot or a member still has of our former lives is dead.
	raised := map[string]uint64{s.cfg.Name: s.epoch.Load()}
	parts := make([][]facts.Fact, len(s.shards))
	for _, f := range j.batch {
		if err := f.Check(s.cfg.Limits.MaxTTL); err != nil {
			s.count.absurd.Add(1)
			continue
		}
		raised[f.Origin] = max(raised[f.Origin], f.Epoch)
		i := s.index(f.Subject)
		parts[i] = append(parts[i], f)
	}
	if j.raise != "" {
		raised[j.raise] = max(raised[j.raise], j.epoch)
	}
	for i := range s.shards {
		s.write(j, raised, i, parts[i])
	}
	s.trim(j.now)
}

func (s *Store) write(j job, raised map[string]uint64, i int, part []facts.Fact) {
	sh := &s.shards[i]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, epoch := range raised {
		if sh.table.RaiseEpoch(j.now, name, epoch) != nil {
			s.count.raises.Add(1)
		}
	}
	if j.forget != "" {
		sh.table.RemoveEndpoint(j.now, j.forget)
	}
	if j.sweep {
		s.count.swept.Add(uint64(sh.table.Sweep(j.now)))
	}
	var news []told
	for _, f := range part {
		change, err := sh.table.Merge(j.now, f)
		switch {
		case errors.Is(err, facts.ErrEndpointRemoved):
			s.count.gone.Add(1)
		case errors.Is(err, facts.ErrTooManyOrigins):
			s.count.origins.Add(1)
		case err != nil:
			s.count.absurd.Add(1)
		case change == facts.AgeCorrected:
			s.count.older.Add(1)
		case change == facts.Updated:
			s.count.changed.Add(1)
			news = append(news, told{f.Key(), f.Origin})
		default:
			s.count.known.Add(1)
		}
	}
	s.publish(sh)
	if len(news) > 0 {
		s.queueMu.Lock()
		for _, w := range news {
			s.count.queueDropped.Add(uint64(s.queue.add(w, 0)))
		}
		s.queueMu.Unlock()
	}
}

// publish shows readers what changed; the shard's lock is held. The map is copied only when its keys change.
func (s *Store) publish(sh *shard) {
	old := *sh.view.Load()
	next, copied := old, false
	own := func() {
		if !copied {
			next, copied = maps.Clone(old), true
		}
	}
	sh.table.DrainChanged(func(k facts.Key, f *facts.Front) {
		c := next[k]
		switch {
		case f == nil && c != nil:
			c.front.Store(nil)
			own()
			delete(next, k)
		case f != nil && c == nil:
			c = &cell{}
			c.front.Store(f)
			own()
			next[k] = c
		case f != nil:
			c.front.Store(f)
		}
	})
	if copied {
		sh.view.Store(&next)
	}
	n, b := int64(sh.table.Len()), sh.table.Bytes()
	s.facts.Add(n - sh.facts.Swap(n))
	s.bytes.Add(b - sh.bytes.Swap(b))
}

// trim brings the sum over all shards under its bound again, a little further than needed, as the table does.
func (s *Store) trim(now time.Duration) {
	lim := s.cfg.Limits
	overFacts, overBytes := s.facts.Load() > int64(lim.Facts), s.bytes.Load() > lim.Bytes
	if !overFacts && !overBytes {
		return
	}
	for range s.shards {
		facts, bytes := s.facts.Load()-int64(lim.Facts-lim.Facts/32), s.bytes.Load()-(lim.Bytes-lim.Bytes/32)
		if facts <= 0 && bytes <= 0 {
			return
		}
		fullest := &s.shards[0]
		for i := range s.shards {
			if s.shards[i].facts.Load() > fullest.facts.Load() {
				fullest = &s.shards[i]
			}
		}
		fullest.mu.Lock()
		t := fullest.table
		s.count.shed.Add(uint64(t.Evict(now, max(t.Len()-int(max(facts, 0)), 0), t.Bytes()-max(bytes, 0))))
		s.publish(fullest)
		fullest.mu.Unlock()
	}
}

// Changes hands out facts to be passed on, at most so many bytes of them on the wire; each is handed out as many
// times as Fleet says, news before repeats.
func (s *Store) Changes(now time.Duration, mostBytes int) []facts.Fact {
	var out []facts.Fact
	type passed struct {
		told
		line   int
		number uint64
	}
	var again []passed
	size := 0
	passes := int(s.passes.Load())
	for line := 0; line < passes; {
		s.queueMu.Lock()
		w, ok := s.queue.pop(line)
		number := s.queue.turn[w].number
		s.queueMu.Unlock()
		if !ok {
			line++
			continue
		}
		sh := s.shard(w.key.Subject)
		sh.mu.Lock()
		f, live := sh.table.Get(now, w.key, w.origin)
		sh.mu.Unlock()
		if !live {
			again = append(again, passed{w, s.cfg.Passes, number})
			continue
		}
		if size += f.MaxEncodedSize(); size > mostBytes {
			s.queueMu.Lock()
			s.queue.again(w, line, number)
			s.queueMu.Unlock()
			break
		}
		out = append(out, f)
		next := line + 1
		if next >= passes {
			next = s.cfg.Passes // done with
		}
		again = append(again, passed{w, next, number})
	}
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	for _, p := range again {
		if s.queue.turn[p.told].number == p.number { // else it changed meanwhile and stands in the first line
			s.count.queueDropped.Add(uint64(s.queue.add(p.told, p.line)))
		}
	}
	s.count.passed.Add(uint64(len(out)))
	return out
}

// Whole hands out all that may be told, for a member that asks for everything and for the snapshot.
func (s *Store) Whole(now time.Duration) []facts.Fact {
	var out []facts.Fact
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for f := range sh.table.Live(now) {
			out = append(out, f)
		}
		sh.mu.Unlock()
		runtime.Gosched() // a worker waiting for the next shard goes first
	}
	return out
}

// Stats of now; it takes locks, so it is not for the actor.
func (s *Store) Stats() Stats {
	s.queueMu.Lock()
	waiting := len(s.queue.turn)
	s.queueMu.Unlock()
	c := &s.count
	return Stats{
		Facts: s.facts.Load(), Bytes: s.bytes.Load(), Waiting: waiting, Heard: s.Heard(s.cfg.Name),
		Learned: c.learned.Load(), Taken: c.taken.Load(), Changed: c.changed.Load(), Older: c.older.Load(), Known: c.known.Load(),
		Absurd: c.absurd.Load(), Gone: c.gone.Load(), Origins: c.origins.Load(),
		MailDropped: c.mailDropped.Load(), QueueDropped: c.queueDropped.Load(), Shed: c.shed.Load(), Swept: c.swept.Load(),
		Passed: c.passed.Load(), RaisesRefused: c.raises.Load(),
	}
}
