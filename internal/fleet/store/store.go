// Package store holds the facts that one member shares with its fleet: sharded facts.Tables, a small pool of workers
// that writes them, and lock-free reads. Only package facts decides which facts are accepted.
//
// Invariant: the request path never blocks here. A read takes no lock and allocates nothing: it loads a shard's
// immutable view, looks up a cell and loads the cell's immutable front (TestReadTakesNoLock holds every lock while it
// reads; TestReadAllocatesNothing). Posting a job never blocks: a full queue drops its oldest job and counts it
// (TestFullQueueDropsOldestJobs). A dropped job equals a lost packet, which the merge tolerates.
//
// Lock order: the locks of the shards by ascending index, then the lock of the gossip queue. At most one shard lock is
// held at a time. Under a lock nothing blocks, and no callback of another package is called. Tests use locks that check
// the order (TestLockOrder shows that the check detects a wrong one).
//
// The shard is chosen by a hash of the subject. All shards share one limit: a worker that exceeds it evicts facts from
// the fullest shard, in the table's order. The limit is exceeded by at most the batches in progress.
//
// All times are on the process's monotonic clock, passed in.
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

// Config configures a Store.
type Config struct {
	Name      string // of this member, the origin of its own observations
	Epoch     uint64 // of this incarnation
	Shards    int    // rounded up to a power of two
	Workers   int
	MaxJobs   int // jobs waiting for a worker, per queue
	MaxGossip int // registers waiting to be gossiped
	MaxSends  int // upper limit for the sends of each register: see SetMemberCount
	Limits    facts.Limits
}

// DefaultConfig returns a configuration for 300 members and 60 endpoints.
func DefaultConfig(name string, epoch uint64) Config {
	return Config{Name: name, Epoch: epoch, Shards: 8, Workers: 2, MaxJobs: 256, MaxGossip: 4096, MaxSends: 14, Limits: facts.DefaultLimits()}
}

// Stats contains counts since the start, except for Facts, Bytes, Queued and OwnNameEpoch, which are current values.
type Stats struct {
	Facts, Bytes    int64
	Queued          int    // registers waiting to be gossiped
	OwnNameEpoch    uint64 // largest epoch known for the own name; above the own epoch, this incarnation must choose another
	Learned         uint64 // own facts posted
	Received        uint64 // facts of other members posted
	Changed         uint64 // facts that changed a register
	AgeCorrected    uint64 // copies that only showed a fact to be older
	Unchanged       uint64 // facts that changed nothing
	Invalid         uint64 // refused because a field is invalid or the time to live is over
	EndpointRemoved uint64 // refused because the endpoint was removed
	TooManyOrigins  uint64 // refused because the table has too many origins
	JobsDropped     uint64 // jobs dropped from a full queue
	GossipDropped   uint64 // registers dropped from the full gossip queue
	Evicted         uint64 // registers evicted at the limit
	Swept           uint64 // registers dropped after their time
	Sent            uint64 // facts returned by Updates
	EpochsDropped   uint64 // epochs not recorded because the table has too many origins
}

// counters are the counters in Stats.
type counters struct {
	learned, received, changed, ageCorrected, unchanged, invalid, endpointRemoved, tooManyOrigins,
	jobsDropped, gossipDropped, evicted, swept, sent, epochsDropped atomic.Uint64
}

// Store is safe for concurrent use. Posted jobs are only processed while Run runs, or by Drain.
type Store struct {
	cfg          Config
	epoch        atomic.Uint64
	seq          atomic.Uint64
	maxSends     atomic.Int64
	shards       []shard
	mask         uint64
	factJobs     chan job // batches of facts
	priorityJobs chan job // rare jobs that should not be dropped because of many facts
	pendingJobs  atomic.Int64
	idle         chan struct{}
	facts        atomic.Int64 // sum over all shards
	bytes        atomic.Int64
	gossipMu     mutex
	gossip       gossipQueue
	counters     counters
}

// view is the immutable index of a shard; a cell's front is replaced atomically.
type (
	view map[facts.Key]*cell
	cell struct{ front atomic.Pointer[facts.Front] }
)

// shard is a table with the view that its readers use.
type shard struct {
	view  atomic.Pointer[view]
	mu    mutex
	table *facts.Table
	facts atomic.Int64
	bytes atomic.Int64
	_     [64]byte // padding, so that readers and the next shard's writer use different cache lines
}

// job is a change for the workers to make; each job has one of batch, removedEndpoint, origin and sweep.
type job struct {
	now             time.Duration // when the job was posted: time in the queue counts towards the age
	batch           []facts.Fact
	removedEndpoint string
	origin          string // the origin whose epoch is raised
	epoch           uint64
	sweep           bool
}

// New returns an empty store.
func New(cfg Config) (*Store, error) { return newStore(cfg, nil) }

func newStore(cfg Config, checker lockChecker) (*Store, error) {
	switch {
	case cfg.Name == "" || len(cfg.Name) > facts.MaxName:
		return nil, errors.New("fleet store: Name is empty or too long: set the member's name")
	case cfg.Epoch == 0:
		return nil, errors.New("fleet store: Epoch is zero: use facts.NextEpoch")
	case min(cfg.Shards, cfg.Workers, cfg.MaxJobs, cfg.MaxGossip, cfg.MaxSends, cfg.Limits.Facts, cfg.Limits.Origins, cfg.Limits.RemovedEndpoints) < 1 ||
		cfg.Limits.MaxTTL <= 0 || cfg.Limits.Bytes <= 0:
		return nil, errors.New("fleet store: every limit must be at least 1: start from DefaultConfig")
	}
	n := 1
	for n < cfg.Shards {
		n *= 2
	}
	s := &Store{
		cfg: cfg, shards: make([]shard, n), mask: uint64(n - 1), factJobs: make(chan job, cfg.MaxJobs),
		priorityJobs: make(chan job, cfg.MaxJobs), idle: make(chan struct{}, 1), gossip: newGossipQueue(cfg.MaxGossip, cfg.MaxSends),
	}
	s.epoch.Store(cfg.Epoch)
	s.maxSends.Store(int64(cfg.MaxSends))
	s.gossipMu = mutex{rank: n, checker: checker}
	tableLimits := cfg.Limits
	tableLimits.Facts, tableLimits.Bytes = math.MaxInt, math.MaxInt64 // no limits per table: evictExcess enforces the sum
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu = mutex{rank: i, checker: checker}
		sh.table = facts.New(tableLimits)
		sh.view.Store(&view{})
	}
	return s, nil
}

func (s *Store) shardIndex(sub facts.Subject) int {
	return int((xxhash.Sum64String(sub.Endpoint) ^ uint64(sub.Dest)*0x9e3779b97f4a7c15>>32) & s.mask)
}

func (s *Store) shard(sub facts.Subject) *shard { return &s.shards[s.shardIndex(sub)] }

// Read returns the evidence at now. It does not block and allocates nothing.
func (s *Store) Read(now time.Duration, sub facts.Subject, kind facts.Kind) (facts.Evidence, bool) {
	c := (*s.shard(sub).view.Load())[facts.Key{Subject: sub, Kind: kind}]
	if c == nil {
		return facts.Evidence{}, false
	}
	return c.front.Load().Read(now)
}

// Learn posts an observation of this member, with the next sequence number.
func (s *Store) Learn(now time.Duration, sub facts.Subject, kind facts.Kind, v facts.Value, ttl time.Duration) error {
	f := facts.Fact{Subject: sub, Kind: kind, Value: v, Origin: s.cfg.Name, Epoch: s.epoch.Load(), Seq: s.seq.Add(1), TTL: ttl}
	if err := f.Check(s.cfg.Limits.MaxTTL); err != nil {
		s.counters.invalid.Add(1)
		return err
	}
	s.counters.learned.Add(1)
	s.post(s.factJobs, job{now: now, batch: []facts.Fact{f}})
	return nil
}

// Receive posts facts from another member, received at now. The store owns the batch from then on.
func (s *Store) Receive(now time.Duration, batch []facts.Fact) {
	s.counters.received.Add(uint64(len(batch)))
	s.post(s.factJobs, job{now: now, batch: batch})
}

// RemoveEndpoint posts the removal of an endpoint.
func (s *Store) RemoveEndpoint(now time.Duration, endpoint string) {
	s.post(s.priorityJobs, job{now: now, removedEndpoint: endpoint})
}

// Sweep posts a sweep of expired facts; call it every few seconds.
func (s *Store) Sweep(now time.Duration) { s.post(s.priorityJobs, job{now: now, sweep: true}) }

// RaiseEpoch posts an epoch of an origin. For the own name it starts a new epoch, which retires the previous own facts.
func (s *Store) RaiseEpoch(now time.Duration, name string, epoch uint64) {
	if name == s.cfg.Name {
		for old := s.epoch.Load(); epoch > old && !s.epoch.CompareAndSwap(old, epoch); old = s.epoch.Load() {
		}
	}
	s.post(s.priorityJobs, job{now: now, origin: name, epoch: epoch})
}

// SetMemberCount sets the number of members, including this one, and with it how often each register is sent. If each
// of n members sends a fact p times with a loss probability of l, a member misses the fact with probability e^(-p(1-l)).
// The probability that any member misses it is 1% for p = ln(100n)/(1-l): 11.5 for 300 members and 10% loss. The formula
// 5 + log2(n), rounded down, yields 13 there. It yields 6 for two members, which only miss a fact (until the next full
// exchange) if all copies are lost. More sends would only take bandwidth from newer facts.
func (s *Store) SetMemberCount(members int) {
	s.maxSends.Store(int64(min(s.cfg.MaxSends, 4+bits.Len(uint(max(members, 2))))))
}

// Epoch returns the current epoch of this member.
func (s *Store) Epoch() uint64 { return s.epoch.Load() }

// KnownEpoch returns the largest known epoch of a member, for example to inform a joining member. It takes a lock, so
// it must not be called from the request path.
func (s *Store) KnownEpoch(name string) uint64 {
	sh := &s.shards[0] // every shard has every epoch
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.table.Epoch(name)
}

// post never blocks: it drops the oldest job for the newest, which has the more recent evidence.
func (s *Store) post(queue chan job, j job) {
	s.pendingJobs.Add(1)
	for {
		select {
		case queue <- j:
			return
		default:
		}
		select {
		case <-queue:
			s.counters.jobsDropped.Add(1)
			s.jobDone()
		default:
		}
	}
}

// jobDone counts a processed or dropped job and wakes WaitIdle after the last one.
func (s *Store) jobDone() {
	if s.pendingJobs.Add(-1) == 0 {
		select {
		case s.idle <- struct{}{}:
		default:
		}
	}
}

// WaitIdle waits until all posted jobs are processed.
func (s *Store) WaitIdle(ctx context.Context) error {
	for s.pendingJobs.Load() != 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.idle:
		}
	}
	select { // wake the next waiting goroutine
	case s.idle <- struct{}{}:
	default:
	}
	return nil
}

// Run runs the workers until the context is cancelled; jobs still posted then are not processed.
func (s *Store) Run(ctx context.Context) error {
	var g errgroup.Group
	for range s.cfg.Workers {
		g.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case j := <-s.priorityJobs:
					s.process(j)
				case j := <-s.factJobs:
					s.process(j)
				}
				s.jobDone()
			}
		})
	}
	return g.Wait()
}

// Drain processes the posted jobs, priority jobs first, in the caller's goroutine. It replaces Run for a host without
// goroutines, such as a simulated fleet, to make its runs reproducible. It returns the number of processed jobs.
func (s *Store) Drain() int {
	for n := 0; ; n++ {
		var j job
		select {
		case j = <-s.priorityJobs:
		default:
			select {
			case j = <-s.factJobs:
			default:
				return n
			}
		}
		s.process(j)
		s.jobDone()
	}
}

// process performs a job in all shards.
func (s *Store) process(j job) {
	// Raise epochs first and in all shards, so that no fact of a retired epoch is read as live in the shards of other
	// subjects. The own epoch is always included: facts of earlier incarnations, from a snapshot or a member, are retired.
	epochs := map[string]uint64{s.cfg.Name: s.epoch.Load()}
	batches := make([][]facts.Fact, len(s.shards))
	for _, f := range j.batch {
		if err := f.Check(s.cfg.Limits.MaxTTL); err != nil {
			s.counters.invalid.Add(1)
			continue
		}
		epochs[f.Origin] = max(epochs[f.Origin], f.Epoch)
		i := s.shardIndex(f.Subject)
		batches[i] = append(batches[i], f)
	}
	if j.origin != "" {
		epochs[j.origin] = max(epochs[j.origin], j.epoch)
	}
	for i := range s.shards {
		s.apply(j, epochs, i, batches[i])
	}
	s.evictExcess(j.now)
}

// apply performs a job in one shard.
func (s *Store) apply(j job, epochs map[string]uint64, i int, batch []facts.Fact) {
	sh := &s.shards[i]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, epoch := range epochs {
		if sh.table.RaiseEpoch(j.now, name, epoch) != nil {
			s.counters.epochsDropped.Add(1)
		}
	}
	if j.removedEndpoint != "" {
		sh.table.RemoveEndpoint(j.now, j.removedEndpoint)
	}
	if j.sweep {
		s.counters.swept.Add(uint64(sh.table.Sweep(j.now)))
	}
	var updated []registerID
	for _, f := range batch {
		change, err := sh.table.Merge(j.now, f)
		switch {
		case errors.Is(err, facts.ErrEndpointRemoved):
			s.counters.endpointRemoved.Add(1)
		case errors.Is(err, facts.ErrTooManyOrigins):
			s.counters.tooManyOrigins.Add(1)
		case err != nil:
			s.counters.invalid.Add(1)
		case change == facts.AgeCorrected:
			s.counters.ageCorrected.Add(1)
		case change == facts.Updated:
			s.counters.changed.Add(1)
			updated = append(updated, registerID{f.Key(), f.Origin})
		default:
			s.counters.unchanged.Add(1)
		}
	}
	s.publish(sh)
	if len(updated) > 0 {
		s.gossipMu.Lock()
		for _, id := range updated {
			s.counters.gossipDropped.Add(uint64(s.gossip.add(id, 0)))
		}
		s.gossipMu.Unlock()
	}
}

// publish makes changes visible to readers; the caller holds the shard's lock. The map is copied only if its keys change.
func (s *Store) publish(sh *shard) {
	old := *sh.view.Load()
	next, copied := old, false
	copyOnce := func() {
		if !copied {
			next, copied = maps.Clone(old), true
		}
	}
	sh.table.DrainChanged(func(k facts.Key, f *facts.Front) {
		c := next[k]
		switch {
		case f == nil && c != nil:
			c.front.Store(nil)
			copyOnce()
			delete(next, k)
		case f != nil && c == nil:
			c = &cell{}
			c.front.Store(f)
			copyOnce()
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

// evictExcess brings the sum over all shards below its limit, slightly further than needed, as Table.Merge does.
func (s *Store) evictExcess(now time.Duration) {
	lim := s.cfg.Limits
	overFacts, overBytes := s.facts.Load() > int64(lim.Facts), s.bytes.Load() > lim.Bytes
	if !overFacts && !overBytes {
		return
	}
	for range s.shards {
		excessFacts, excessBytes := s.facts.Load()-int64(lim.Facts-lim.Facts/32), s.bytes.Load()-(lim.Bytes-lim.Bytes/32)
		if excessFacts <= 0 && excessBytes <= 0 {
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
		s.counters.evicted.Add(uint64(t.Evict(now, max(t.Len()-int(max(excessFacts, 0)), 0), t.Bytes()-max(excessBytes, 0))))
		s.publish(fullest)
		fullest.mu.Unlock()
	}
}

// Updates returns facts to send, of at most maxBytes encoded bytes. Each fact is returned as often as SetMemberCount
// determined, and those with fewer sends so far come first.
func (s *Store) Updates(now time.Duration, maxBytes int) []facts.Fact {
	var out []facts.Fact
	type handled struct {
		registerID
		sends  int
		number uint64
	}
	var requeue []handled
	size := 0
	maxSends := int(s.maxSends.Load())
	for sends := 0; sends < maxSends; {
		s.gossipMu.Lock()
		id, ok := s.gossip.pop(sends)
		number := s.gossip.positions[id].number
		s.gossipMu.Unlock()
		if !ok {
			sends++
			continue
		}
		sh := s.shard(id.key.Subject)
		sh.mu.Lock()
		f, live := sh.table.Get(now, id.key, id.origin)
		sh.mu.Unlock()
		if !live {
			requeue = append(requeue, handled{id, s.cfg.MaxSends, number})
			continue
		}
		if size += f.MaxEncodedSize(); size > maxBytes {
			s.gossipMu.Lock()
			s.gossip.putBack(id, sends, number)
			s.gossipMu.Unlock()
			break
		}
		out = append(out, f)
		next := sends + 1
		if next >= maxSends {
			next = s.cfg.MaxSends // beyond the last send: add removes it
		}
		requeue = append(requeue, handled{id, next, number})
	}
	s.gossipMu.Lock()
	defer s.gossipMu.Unlock()
	for _, p := range requeue {
		if s.gossip.positions[p.registerID].number == p.number { // otherwise it changed meanwhile and is in the first queue
			s.counters.gossipDropped.Add(uint64(s.gossip.add(p.registerID, p.sends)))
		}
	}
	s.counters.sent.Add(uint64(len(out)))
	return out
}

// FullState returns all facts that may be sent, for a full exchange and for the snapshot.
func (s *Store) FullState(now time.Duration) []facts.Fact {
	var out []facts.Fact
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for f := range sh.table.Live(now) {
			out = append(out, f)
		}
		sh.mu.Unlock()
		runtime.Gosched() // let a worker that waits for the next shard go first
	}
	return out
}

// Stats returns the current statistics. It takes locks, so it must not be called from the request path.
func (s *Store) Stats() Stats {
	s.gossipMu.Lock()
	queued := len(s.gossip.positions)
	s.gossipMu.Unlock()
	c := &s.counters
	return Stats{
		Facts: s.facts.Load(), Bytes: s.bytes.Load(), Queued: queued, OwnNameEpoch: s.KnownEpoch(s.cfg.Name),
		Learned: c.learned.Load(), Received: c.received.Load(), Changed: c.changed.Load(), AgeCorrected: c.ageCorrected.Load(), Unchanged: c.unchanged.Load(),
		Invalid: c.invalid.Load(), EndpointRemoved: c.endpointRemoved.Load(), TooManyOrigins: c.tooManyOrigins.Load(),
		JobsDropped: c.jobsDropped.Load(), GossipDropped: c.gossipDropped.Load(), Evicted: c.evicted.Load(), Swept: c.swept.Load(),
		Sent: c.sent.Load(), EpochsDropped: c.epochsDropped.Load(),
	}
}
