// Package fleet is the host of what couriers share: it hangs beside a courier's actor and puts the parts together, the
// store of facts (store), the members of the fleet (members) and the snapshot in the folder that lasts. It decides
// nothing about messages; whether a fact is taken in is decided by package facts alone.
//
// The invariant: a courier serves alone as well as with it. Nothing here makes a courier fail to start, to step or to
// stop: an address that is taken, a key that is wrong, a garbled snapshot, a full disk are logged and counted
// (TestNothingStopsIt), Learn, Read and Forget wait for nobody and do nothing while the host is not up (TestBeforeAndAfter), and
// bytes that are no facts change none (TestGarbledInput).
//
// A life draws its epoch from its snapshot, the wall clock and what it hears (facts.NextEpoch), and saves it before it
// tells anything. A snapshot of another courier's name gives its facts, as evidence with their ages, and not its epoch
// (TestSnapshotOfAnother).
package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"raventrestle/internal/fleet/facts"
	"raventrestle/internal/fleet/members"
	"raventrestle/internal/fleet/store"
	"raventrestle/internal/settings"
)

// Config of a host.
type Config struct {
	Settings settings.Fleet
	Name     string               // of the courier, the same in all its lives
	Folder   string               // that lasts; "" keeps no snapshot
	Room     int64                // bytes that the folder has for it: see Room
	Memory   time.Duration        // how long limits and outages count
	Clock    func() time.Duration // monotonic
	Wall     func() time.Time
	Chance   *rand.Rand // the host's alone
	Log      *slog.Logger
	Drawn    func(epoch uint64) // hears this life's epoch, before anything is told; nil for nobody
}

const (
	mostSnapshot  = 1 << 20
	leastSnapshot = 16 << 10
	saveEvery     = 5 * time.Second
	sweepEvery    = 5 * time.Second
)

// Room is what of the folder's bytes the snapshot takes, the old file and the next one while that is written; 0 where
// the folder is too small for any.
func Room(disk int64) int64 {
	if disk/16 < leastSnapshot {
		return 0
	}
	return 2 * min(disk/16, mostSnapshot)
}

// Counters only grow.
type Counters struct {
	Faults       atomic.Uint64 // of the host, each logged
	Saves        atomic.Uint64 // snapshots
	SaveFails    atomic.Uint64
	Left         atomic.Uint64 // facts that a snapshot or a whole table had no room for
	Garbled      atomic.Uint64 // pieces and tables that were no facts
	OtherVersion atomic.Uint64 // or in another version's form
	TooLarge     atomic.Uint64
	Repeats      atomic.Uint64 // told by the actor and known already
	Silenced     atomic.Uint64 // told by the actor after this life was superseded
	Epochs       atomic.Uint64 // drawn
}

// Host is one courier's. Learn, Read and Forget are for its actor, the rest for any goroutine.
type Host struct {
	Counters Counters
	cfg      Config
	member   members.Config
	limits   facts.Limits
	facts    atomic.Pointer[store.Store]
	group    atomic.Pointer[members.Group]
	retired  atomic.Bool // another process of this name serves
	overdue  uint64      // an epoch of this name heard at the last sweep
	failing  string      // of the snapshot, as last logged
}

// New checks what the settings say; it opens nothing.
func New(cfg Config) (*Host, error) {
	s := &cfg.Settings
	h := &Host{cfg: cfg, limits: facts.DefaultLimits()}
	if s.MaxFacts > 0 {
		h.limits.Facts = s.MaxFacts
	}
	if s.MaxBytes > 0 {
		h.limits.Bytes = int64(s.MaxBytes)
	}
	if s.MaxMembers > 0 {
		h.limits.Origins = 2 * s.MaxMembers
	}
	h.member = members.Config{
		Name: cfg.Name, Site: s.Site, MaxMembers: s.MaxMembers, MaxBytes: int(h.limits.Bytes), MaxDatagram: s.MaxDatagram,
		GossipInterval: s.GossipInterval.Duration(), ProbeInterval: s.ProbeInterval.Duration(), SeedsInterval: s.SeedsInterval.Duration(),
	}
	var err error
	if h.member.Bind, err = netip.ParseAddrPort(s.Bind); err != nil {
		return nil, fmt.Errorf("fleet.bind: %w: give IP:port", err)
	}
	if s.Advertise != "" {
		if h.member.Advertise, err = netip.ParseAddrPort(s.Advertise); err != nil {
			return nil, fmt.Errorf("fleet.advertise: %w: give IP:port", err)
		}
	}
	for i, seed := range s.Seeds {
		a, err := netip.ParseAddrPort(seed)
		if err != nil {
			return nil, fmt.Errorf("fleet.seeds[%d]: %w: give IP:port", i, err)
		}
		h.member.Seeds = append(h.member.Seeds, a)
	}
	if s.KeyFile != "" {
		if h.member.Keys, err = members.ReadKeys(s.KeyFile); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// Run is a life in the fleet; it ends with the context, saves what is known and tells the others that it goes, which
// takes up to 1.5 s. What could not be done is logged, and the courier serves alone.
func (h *Host) Run(ctx context.Context) {
	loaded := h.load()
	heard := uint64(0)
	for i := range loaded.Facts { // of another's folder too: what it has heard of us is so
		if f := &loaded.Facts[i]; f.Origin == h.cfg.Name && f.Check(h.limits.MaxTTL) == nil {
			heard = max(heard, f.Epoch)
		}
	}
	if loaded.Name != h.cfg.Name {
		loaded.Epoch = 0
	}
	epoch := h.draw(loaded.Epoch, heard)
	if h.cfg.Drawn != nil {
		h.cfg.Drawn(epoch)
	}
	if err := h.open(epoch); err != nil {
		h.fault("fleet_not_up", err)
		return
	}
	known, group := h.facts.Load(), h.group.Load()
	known.Receive(h.cfg.Clock(), loaded.Facts)
	h.cfg.Log.Info("fleet_life", "name", h.cfg.Name, "epoch", epoch, "bind", h.member.Bind.String(), "seeds", len(h.member.Seeds),
		"encrypted", len(h.member.Keys) > 0, "facts", len(loaded.Facts), "expired", loaded.Expired)
	h.save(loaded.Facts) // the epoch first

	working, stop := context.WithCancel(context.WithoutCancel(ctx)) // the store serves on while the others are told
	defer stop()
	var work, telling errgroup.Group
	work.Go(func() error { return known.Run(working) })
	telling.Go(func() error { return group.Run(ctx) })
	h.tick(ctx)
	h.save(known.FullState(h.cfg.Clock()))
	if err := telling.Wait(); err != nil {
		h.fault("fleet_members_ended", err)
	}
	stop()
	if err := work.Wait(); err != nil {
		h.fault("fleet_store_ended", err)
	}
}

func (h *Host) open(epoch uint64) error {
	conf := store.DefaultConfig(h.cfg.Name, epoch)
	conf.Limits = h.limits
	known, err := store.New(conf)
	if err != nil {
		return err
	}
	codec, err := facts.NewCodec(h.limits.Facts, int(h.limits.Bytes))
	if err != nil {
		return err
	}
	m := h.member
	m.Epoch, m.Superseded, m.EpochTooLow = epoch, h.superseded, h.outgrown
	m.Events = func(e members.Event) {
		if e.Kind == members.Joined || e.Kind == members.Restarted { // what its earlier lives told is dead
			known.RaiseEpoch(h.cfg.Clock(), e.Member.Name, e.Member.Epoch)
		}
		if g := h.group.Load(); g != nil { // how often a fact is passed on goes by how many there are
			known.SetMemberCount(len(g.Alive()))
		}
		h.cfg.Log.Info("fleet_member", "what", e.Kind.String(), "name", e.Member.Name, "site", e.Member.Site, "epoch", e.Member.Epoch)
	}
	chance := rand.New(rand.NewPCG(h.cfg.Chance.Uint64(), h.cfg.Chance.Uint64()))
	group, err := members.New(m, &exchange{host: h, facts: known, codec: codec}, chance, h.cfg.Log)
	if err != nil {
		return err
	}
	h.group.Store(group)
	h.facts.Store(known)
	return nil
}

// tick sweeps and saves until the context ends, both drawn apart from other couriers'.
func (h *Host) tick(ctx context.Context) {
	pause := func(mean time.Duration) time.Duration {
		return time.Duration((0.75 + 0.5*h.cfg.Chance.Float64()) * float64(mean))
	}
	sweep, save := time.NewTimer(pause(sweepEvery)), time.NewTimer(pause(saveEvery))
	defer sweep.Stop()
	defer save.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			h.facts.Load().Sweep(h.cfg.Clock())
			h.lookBack()
			sweep.Reset(pause(sweepEvery))
		case <-save.C:
			h.save(h.facts.Load().FullState(h.cfg.Clock()))
			save.Reset(pause(saveEvery))
		}
	}
}

func (h *Host) fault(what string, err error) {
	h.Counters.Faults.Add(1)
	h.cfg.Log.Error(what, "name", h.cfg.Name, "error", err.Error())
}

// ---- the life's epoch ----

func (h *Host) draw(stored, heard uint64) uint64 {
	h.Counters.Epochs.Add(1)
	return facts.NextEpoch(within(stored), h.cfg.Wall().UnixMilli(), within(heard))
}

// within passes over an epoch that none could be drawn above: no life has it.
func within(epoch uint64) uint64 {
	if epoch >= facts.MaxEpoch {
		return 0
	}
	return epoch
}

// outgrown draws a larger epoch than an earlier life of this name seems to have had.
func (h *Host) outgrown(heard uint64) {
	known, group := h.facts.Load(), h.group.Load()
	if h.retired.Load() || known == nil || group == nil || heard < known.Epoch() || within(heard) == 0 {
		return
	}
	epoch := h.draw(known.Epoch(), heard)
	known.RaiseEpoch(h.cfg.Clock(), h.cfg.Name, epoch)
	group.Renew(epoch)
	h.cfg.Log.Info("fleet_epoch", "name", h.cfg.Name, "heard", heard, "epoch", epoch)
}

// lookBack finds an epoch that only facts tell of: one still heard at the second sweep, of no life that is up, which
// the members settle among themselves.
func (h *Host) lookBack() {
	known, group := h.facts.Load(), h.group.Load()
	heard := known.KnownEpoch(h.cfg.Name)
	for _, m := range group.Alive() {
		if m.Name == h.cfg.Name && m.Epoch > known.Epoch() {
			return
		}
	}
	if heard > known.Epoch() && heard == h.overdue {
		h.outgrown(heard)
	}
	h.overdue = heard
}

// superseded: another process of this name serves. This one goes on for its clients, alone.
func (h *Host) superseded(by members.Member) {
	if !h.retired.Swap(true) {
		h.cfg.Log.Warn("fleet_superseded", "name", h.cfg.Name, "by", by.Addr.String(), "epoch", by.Epoch,
			"do", "give each courier a name of its own, or end this process")
	}
}

// ---- the actor's side ----

// Learn tells the others what this courier was told or saw. What all know already is not told again before half its time
// is over. It waits for nobody.
func (h *Host) Learn(s facts.Subject, k facts.Kind, v facts.Value) {
	known := h.facts.Load()
	switch {
	case known == nil:
		return
	case h.retired.Load():
		h.Counters.Silenced.Add(1)
		return
	}
	ttl := h.ttl(k, v)
	if now := h.cfg.Clock(); h.repeats(known, now, s, k, v, ttl) {
		h.Counters.Repeats.Add(1)
	} else if err := known.Learn(now, s, k, v, ttl); err != nil { // counted there
		h.cfg.Log.Debug("fleet_not_told", "kind", k.String(), "dest", s.Dest, "endpoint", s.Endpoint, "error", err.Error())
	}
}

// ttl: a wait is told for as long as it lasts, what changes for as long as it counts.
func (h *Host) ttl(k facts.Kind, v facts.Value) time.Duration {
	ttl := h.cfg.Memory
	if k == facts.Wait {
		ttl = v.For
	}
	return min(max(ttl, time.Second), h.limits.MaxTTL)
}

// repeats says whether others read the same already.
func (h *Host) repeats(known *store.Store, now time.Duration, s facts.Subject, k facts.Kind, v facts.Value, ttl time.Duration) bool {
	e, ok := known.Read(now, s, k)
	if !ok || e.Retired {
		return false
	}
	young := e.Age < ttl/2
	switch k {
	case facts.Wait: // all calls of a moment are told the same
		return e.Remaining >= v.For-v.For/16
	case facts.ListVersion:
		return young && e.Number >= v.Number
	case facts.Outage: // one that began anew is another
		end, ended := known.Read(now, s, facts.OutageEnd)
		return young && (!ended || end.Retired || end.Age > e.Age)
	case facts.OutageEnd:
		out, was := known.Read(now, s, facts.Outage)
		return young && (!was || out.Retired || out.Age >= e.Age)
	}
	return young && e.Value == v
}

// Read gives what is known of the subject. It waits for nobody.
func (h *Host) Read(s facts.Subject, k facts.Kind) (facts.Evidence, bool) {
	if known := h.facts.Load(); known != nil {
		return known.Read(h.cfg.Clock(), s, k)
	}
	return facts.Evidence{}, false
}

// Forget drops what is about an endpoint that is gone from the list. It waits for nobody.
func (h *Host) Forget(endpoint string) {
	if known := h.facts.Load(); known != nil {
		known.RemoveEndpoint(h.cfg.Clock(), endpoint)
	}
}

// ---- the snapshot ----

func (h *Host) load() store.Loaded {
	if h.cfg.Folder == "" || h.cfg.Room == 0 {
		return store.Loaded{}
	}
	loaded, err := store.Load(h.cfg.Folder, h.cfg.Room/2, h.cfg.Wall())
	switch {
	case errors.Is(err, store.ErrNoSnapshot):
	case err != nil:
		h.fault("fleet_snapshot_unused", err)
	case loaded.Name != h.cfg.Name:
		h.cfg.Log.Warn("fleet_snapshot_of_another", "name", h.cfg.Name, "of", loaded.Name, "facts", len(loaded.Facts))
	case loaded.ClockSetBack:
		h.cfg.Log.Warn("fleet_clock_back", "name", h.cfg.Name, "expired", loaded.Expired)
	}
	return loaded
}

func (h *Host) save(all []facts.Fact) {
	known := h.facts.Load()
	if h.cfg.Folder == "" || h.cfg.Room == 0 {
		return
	}
	left, err := store.Save(h.cfg.Folder, h.cfg.Room/2, h.cfg.Wall(), store.Snapshot{Name: h.cfg.Name, Epoch: known.Epoch(), Facts: all})
	word := ""
	if err != nil {
		h.Counters.SaveFails.Add(1)
		if word = err.Error(); word != h.failing { // a disk that stays full is one line
			h.fault("fleet_snapshot_not_saved", err)
		}
	} else {
		h.Counters.Saves.Add(1)
	}
	h.failing = word
	h.Counters.Left.Add(uint64(left))
}
