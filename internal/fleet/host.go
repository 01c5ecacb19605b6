// Package fleet connects one process to a fleet of processes that share observations: it combines the store of facts
// (store), the fleet membership (members) and the snapshot in the state directory. It makes no decision about requests;
// only package facts decides which facts are accepted.
//
// Invariant: a process serves alone as well as with a fleet. Nothing here prevents it from starting, serving or stopping:
// an occupied address, a wrong key, a corrupt snapshot or a full disk is logged and counted (TestFaultsDoNotStopHost).
// Learn, Read and Forget do not block, and do nothing while the host is not running (TestCallsBeforeStartAndAfterEnd).
// Malformed input changes no fact (TestMalformedInputIsRejected).
//
// An incarnation, one run of the process, chooses its epoch from its snapshot, the wall clock and the epochs it has
// received (facts.NextEpoch), and saves it before it sends anything. From a snapshot of a member with another name it
// uses the facts, as evidence with their ages, but not the epoch (TestSnapshotOfAnotherMember).
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

// Config configures a Host.
type Config struct {
	Settings      settings.Fleet
	Name          string               // of this member, the same for all its incarnations
	StateDir      string               // directory that survives restarts; "" for no snapshot
	SnapshotSpace int64                // bytes of the directory for snapshots: see the function SnapshotSpace
	FactTTL       time.Duration        // how long a fact other than a Wait is valid
	Clock         func() time.Duration // monotonic
	WallClock     func() time.Time
	Rand          *rand.Rand // used only by the host
	Log           *slog.Logger
	EpochChosen   func(epoch uint64) // called with this incarnation's epoch before anything is sent; may be nil
}

const (
	maxSnapshotBytes = 1 << 20
	minSnapshotBytes = 16 << 10
	saveInterval     = 5 * time.Second
	sweepInterval    = 5 * time.Second
)

// SnapshotSpace returns how many of the state directory's bytes the snapshot may use, for the current file and its
// replacement together; 0 if the directory is too small for a snapshot.
func SnapshotSpace(disk int64) int64 {
	if disk/16 < minSnapshotBytes {
		return 0
	}
	return 2 * min(disk/16, maxSnapshotBytes)
}

// Counters count events since the start.
type Counters struct {
	Faults       atomic.Uint64 // faults of the host, each of them logged
	Saves        atomic.Uint64 // saved snapshots
	FailedSaves  atomic.Uint64
	OmittedFacts atomic.Uint64 // facts that did not fit into a snapshot or a full state
	Garbled      atomic.Uint64 // malformed updates and full states
	OtherVersion atomic.Uint64 // updates and full states in another format version
	TooLarge     atomic.Uint64
	Repeats      atomic.Uint64 // observations that were not sent because others already know them
	Silenced     atomic.Uint64 // observations that were not sent because this incarnation is superseded
	Epochs       atomic.Uint64 // epochs chosen
}

// Host connects one process to the fleet. Learn, Read and Forget are for its request path, the rest for any goroutine.
type Host struct {
	Counters       Counters
	cfg            Config
	memberConfig   members.Config
	limits         facts.Limits
	store          atomic.Pointer[store.Store]
	group          atomic.Pointer[members.Group]
	isSuperseded   atomic.Bool // another process with this name is up
	lastKnownEpoch uint64      // largest epoch of this name at the last sweep
	lastSaveError  string      // of saving the snapshot, as last logged
}

// New checks the settings. It opens nothing before Run.
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
	h.memberConfig = members.Config{
		Name: cfg.Name, Site: s.Site, MaxMembers: s.MaxMembers, MaxBytes: int(h.limits.Bytes), MaxDatagram: s.MaxDatagramBytes,
		GossipInterval: s.GossipInterval.Duration(), ProbeInterval: s.ProbeInterval.Duration(), SeedsInterval: s.SeedsInterval.Duration(),
	}
	var err error
	if h.memberConfig.Bind, err = netip.ParseAddrPort(s.BindAddress); err != nil {
		return nil, fmt.Errorf("fleet.bind: %w: want IP:port", err)
	}
	if s.AdvertiseAddress != "" {
		if h.memberConfig.Advertise, err = netip.ParseAddrPort(s.AdvertiseAddress); err != nil {
			return nil, fmt.Errorf("fleet.advertise: %w: want IP:port", err)
		}
	}
	for i, seed := range s.Seeds {
		a, err := netip.ParseAddrPort(seed)
		if err != nil {
			return nil, fmt.Errorf("fleet.seeds[%d]: %w: want IP:port", i, err)
		}
		h.memberConfig.Seeds = append(h.memberConfig.Seeds, a)
	}
	if s.KeyFile != "" {
		if h.memberConfig.Keys, err = members.ReadKeys(s.KeyFile); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// Run runs this member until the context is cancelled. Then it saves the facts and announces that it leaves, which takes
// up to 1.5 s. Faults are logged, and the process serves alone.
func (h *Host) Run(ctx context.Context) {
	loaded := h.loadSnapshot()
	heardEpoch := uint64(0)
	for i := range loaded.Facts { // also from another member's directory: it shows which epochs of this name were seen
		if f := &loaded.Facts[i]; f.Origin == h.cfg.Name && f.Check(h.limits.MaxTTL) == nil {
			heardEpoch = max(heardEpoch, f.Epoch)
		}
	}
	if loaded.Name != h.cfg.Name {
		loaded.Epoch = 0
	}
	epoch := h.chooseEpoch(loaded.Epoch, heardEpoch)
	if h.cfg.EpochChosen != nil {
		h.cfg.EpochChosen(epoch)
	}
	if err := h.start(epoch); err != nil {
		h.reportFault("fleet_not_up", err)
		return
	}
	factStore, group := h.store.Load(), h.group.Load()
	factStore.Receive(h.cfg.Clock(), loaded.Facts)
	h.cfg.Log.Info("fleet_life", "name", h.cfg.Name, "epoch", epoch, "bind", h.memberConfig.Bind.String(), "seeds", len(h.memberConfig.Seeds),
		"encrypted", len(h.memberConfig.Keys) > 0, "facts", len(loaded.Facts), "expired", loaded.Expired)
	h.saveSnapshot(loaded.Facts) // save the epoch before anything is sent

	workersCtx, stopWorkers := context.WithCancel(context.WithoutCancel(ctx)) // the store must work until the membership has ended
	defer stopWorkers()
	var workers, membership errgroup.Group
	workers.Go(func() error { return factStore.Run(workersCtx) })
	membership.Go(func() error { return group.Run(ctx) })
	h.runTimers(ctx)
	h.saveSnapshot(factStore.FullState(h.cfg.Clock()))
	if err := membership.Wait(); err != nil {
		h.reportFault("fleet_members_ended", err)
	}
	stopWorkers()
	if err := workers.Wait(); err != nil {
		h.reportFault("fleet_store_ended", err)
	}
}

// start creates the store and the group.
func (h *Host) start(epoch uint64) error {
	storeConfig := store.DefaultConfig(h.cfg.Name, epoch)
	storeConfig.Limits = h.limits
	factStore, err := store.New(storeConfig)
	if err != nil {
		return err
	}
	codec, err := facts.NewCodec(h.limits.Facts, int(h.limits.Bytes))
	if err != nil {
		return err
	}
	memberConfig := h.memberConfig
	memberConfig.Epoch, memberConfig.Superseded, memberConfig.EpochTooLow = epoch, h.handleSuperseded, h.raiseEpoch
	memberConfig.Events = func(e members.Event) {
		if e.Kind == members.Joined || e.Kind == members.Restarted { // retire facts of earlier incarnations
			factStore.RaiseEpoch(h.cfg.Clock(), e.Member.Name, e.Member.Epoch)
		}
		if g := h.group.Load(); g != nil { // the number of members determines how often a fact is sent
			factStore.SetMemberCount(len(g.Alive()))
		}
		h.cfg.Log.Info("fleet_member", "what", e.Kind.String(), "name", e.Member.Name, "site", e.Member.Site, "epoch", e.Member.Epoch)
	}
	rng := rand.New(rand.NewPCG(h.cfg.Rand.Uint64(), h.cfg.Rand.Uint64()))
	group, err := members.New(memberConfig, &exchange{host: h, store: factStore, codec: codec}, rng, h.cfg.Log)
	if err != nil {
		return err
	}
	h.group.Store(group)
	h.store.Store(factStore)
	return nil
}

// runTimers sweeps and saves until the context is cancelled, with jitter between the members.
func (h *Host) runTimers(ctx context.Context) {
	jittered := func(mean time.Duration) time.Duration {
		return time.Duration((0.75 + 0.5*h.cfg.Rand.Float64()) * float64(mean))
	}
	sweep, save := time.NewTimer(jittered(sweepInterval)), time.NewTimer(jittered(saveInterval))
	defer sweep.Stop()
	defer save.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			h.store.Load().Sweep(h.cfg.Clock())
			h.checkOwnEpoch()
			sweep.Reset(jittered(sweepInterval))
		case <-save.C:
			h.saveSnapshot(h.store.Load().FullState(h.cfg.Clock()))
			save.Reset(jittered(saveInterval))
		}
	}
}

// reportFault counts and logs a fault.
func (h *Host) reportFault(event string, err error) {
	h.Counters.Faults.Add(1)
	h.cfg.Log.Error(event, "name", h.cfg.Name, "error", err.Error())
}

// Choice of the epoch.

// chooseEpoch returns an epoch above the stored and the heard one.
func (h *Host) chooseEpoch(stored, heard uint64) uint64 {
	h.Counters.Epochs.Add(1)
	return facts.NextEpoch(usableEpoch(stored), h.cfg.WallClock().UnixMilli(), usableEpoch(heard))
}

// usableEpoch replaces an epoch without a valid successor by 0: no correct member has such an epoch.
func usableEpoch(epoch uint64) uint64 {
	if epoch >= facts.MaxEpoch {
		return 0
	}
	return epoch
}

// raiseEpoch chooses an epoch above one that an earlier incarnation of this name seems to have had.
func (h *Host) raiseEpoch(heard uint64) {
	factStore, group := h.store.Load(), h.group.Load()
	if h.isSuperseded.Load() || factStore == nil || group == nil || heard < factStore.Epoch() || usableEpoch(heard) == 0 {
		return
	}
	epoch := h.chooseEpoch(factStore.Epoch(), heard)
	factStore.RaiseEpoch(h.cfg.Clock(), h.cfg.Name, epoch)
	group.Renew(epoch)
	h.cfg.Log.Info("fleet_epoch", "name", h.cfg.Name, "heard", heard, "epoch", epoch)
}

// checkOwnEpoch raises the epoch if facts contain a larger one of this name, at two sweeps in a row. It does nothing if
// that incarnation is up, as package members resolves that conflict.
func (h *Host) checkOwnEpoch() {
	factStore, group := h.store.Load(), h.group.Load()
	heard := factStore.KnownEpoch(h.cfg.Name)
	for _, m := range group.Alive() {
		if m.Name == h.cfg.Name && m.Epoch > factStore.Epoch() {
			return
		}
	}
	if heard > factStore.Epoch() && heard == h.lastKnownEpoch {
		h.raiseEpoch(heard)
	}
	h.lastKnownEpoch = heard
}

// handleSuperseded handles that another process with this name is up. This one continues to serve its clients, alone.
func (h *Host) handleSuperseded(by members.Member) {
	if !h.isSuperseded.Swap(true) {
		h.cfg.Log.Warn("fleet_superseded", "name", h.cfg.Name, "by", by.Addr.String(), "epoch", by.Epoch,
			"do", "give each courier its own name, or stop this process")
	}
}

// Methods for the request path.

// Learn shares an observation of this process. An observation that all members already know is sent again only after
// half its time to live. Learn does not block.
func (h *Host) Learn(s facts.Subject, k facts.Kind, v facts.Value) {
	factStore := h.store.Load()
	switch {
	case factStore == nil:
		return
	case h.isSuperseded.Load():
		h.Counters.Silenced.Add(1)
		return
	}
	ttl := h.ttl(k, v)
	if now := h.cfg.Clock(); h.isKnown(factStore, now, s, k, v, ttl) {
		h.Counters.Repeats.Add(1)
	} else if err := factStore.Learn(now, s, k, v, ttl); err != nil { // already counted by the store
		h.cfg.Log.Debug("fleet_not_told", "kind", k.String(), "dest", s.Dest, "endpoint", s.Endpoint, "error", err.Error())
	}
}

// ttl returns the time to live of an observation: that of a Wait is its duration, and all others have FactTTL.
func (h *Host) ttl(k facts.Kind, v facts.Value) time.Duration {
	ttl := h.cfg.FactTTL
	if k == facts.Wait {
		ttl = v.For
	}
	return min(max(ttl, time.Second), h.limits.MaxTTL)
}

// isKnown reports whether the other members already read the same evidence.
func (h *Host) isKnown(factStore *store.Store, now time.Duration, s facts.Subject, k facts.Kind, v facts.Value, ttl time.Duration) bool {
	e, ok := factStore.Read(now, s, k)
	if !ok || e.Retired {
		return false
	}
	recent := e.Age < ttl/2
	switch k {
	case facts.Wait: // several requests may receive the same wait at the same time
		return e.Remaining >= v.For-v.For/16
	case facts.ListVersion:
		return recent && e.Number >= v.Number
	case facts.Outage: // an outage that started again is a new one
		end, ended := factStore.Read(now, s, facts.OutageEnd)
		return recent && (!ended || end.Retired || end.Age > e.Age)
	case facts.OutageEnd:
		outage, hadOutage := factStore.Read(now, s, facts.Outage)
		return recent && (!hadOutage || outage.Retired || outage.Age >= e.Age)
	}
	return recent && e.Value == v
}

// Read returns the evidence about a subject. It does not block.
func (h *Host) Read(s facts.Subject, k facts.Kind) (facts.Evidence, bool) {
	if factStore := h.store.Load(); factStore != nil {
		return factStore.Read(h.cfg.Clock(), s, k)
	}
	return facts.Evidence{}, false
}

// Forget drops the facts about an endpoint that was removed from the list. It does not block.
func (h *Host) Forget(endpoint string) {
	if factStore := h.store.Load(); factStore != nil {
		factStore.RemoveEndpoint(h.cfg.Clock(), endpoint)
	}
}

// Snapshot.

func (h *Host) loadSnapshot() store.Loaded {
	if h.cfg.StateDir == "" || h.cfg.SnapshotSpace == 0 {
		return store.Loaded{}
	}
	loaded, err := store.Load(h.cfg.StateDir, h.cfg.SnapshotSpace/2, h.cfg.WallClock())
	switch {
	case errors.Is(err, store.ErrNoSnapshot):
	case err != nil:
		h.reportFault("fleet_snapshot_unused", err)
	case loaded.Name != h.cfg.Name:
		h.cfg.Log.Warn("fleet_snapshot_of_another", "name", h.cfg.Name, "of", loaded.Name, "facts", len(loaded.Facts))
	case loaded.ClockSetBack:
		h.cfg.Log.Warn("fleet_clock_back", "name", h.cfg.Name, "expired", loaded.Expired)
	}
	return loaded
}

func (h *Host) saveSnapshot(all []facts.Fact) {
	factStore := h.store.Load()
	if h.cfg.StateDir == "" || h.cfg.SnapshotSpace == 0 {
		return
	}
	omitted, err := store.Save(h.cfg.StateDir, h.cfg.SnapshotSpace/2, h.cfg.WallClock(), store.Snapshot{Name: h.cfg.Name, Epoch: factStore.Epoch(), Facts: all})
	message := ""
	if err != nil {
		h.Counters.FailedSaves.Add(1)
		if message = err.Error(); message != h.lastSaveError { // log a permanent fault, such as a full disk, only once
			h.reportFault("fleet_snapshot_not_saved", err)
		}
	} else {
		h.Counters.Saves.Add(1)
	}
	h.lastSaveError = message
	h.Counters.OmittedFacts.Add(uint64(omitted))
}
