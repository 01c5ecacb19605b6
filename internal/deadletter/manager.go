package deadletter

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"raventrestle"
	"raventrestle/internal/deadletter/rule"
	"raventrestle/internal/journal"
)

// ErrUnavailable is returned while no dead letters can be stored: the store was quarantined, or the manager is
// overloaded or closed. Its text reaches clients of the admin socket.
var ErrUnavailable = errors.New("no dead letters are kept")

// CourierState is a snapshot of the courier. It is immutable: the courier replaces it as a whole.
type CourierState struct {
	rule.Load
	Waiting   map[int64]int             // fresh messages without a call in flight, by destination
	Endpoints map[int64][]rule.Endpoint // endpoints that accept new work, by destination
}

// ResendRequest asks the courier to send a dead letter again now. The journal already contains it.
type ResendRequest struct {
	*journal.Message
	MayHaveRun bool
	FirstRun   journal.Attempt // the first attempt that may have run, if MayHaveRun
	Dest       int64
}

// ResendResult is the result of a resend.
type ResendResult struct {
	ID       string
	Dest     int64
	Result   string    // delivered, void, failed, refused or yielded
	Attempts []Attempt // the attempts of this resend
}

// Config configures a Manager.
type Config struct {
	Dir           string
	Options       Options
	Limits        rule.Limits
	MaxAge        time.Duration // of a dead letter, from its failure
	MaxFinalAge   time.Duration // how long a dead letter is stored after it reached a final state
	LookupClass   func(name string) (raventrestle.Class, bool)
	Log           *slog.Logger
	Seed          uint64
	SubmitResend  func(ResendRequest) bool // hands a dead letter to the courier; false if the courier is full
	AppendJournal func([]journal.Record, func(error)) error
}

// Counts are the counters of a Manager since its start.
type Counts struct {
	Added, Lost, Evicted, Expired                                              atomic.Int64
	ResendsBegun, ResendsDelivered, ResendsFailed, ResendsYielded, ResendsVoid atomic.Int64
}

// Manager is the actor that stores dead letters and schedules their resends. Only its goroutine writes to the
// store.
type Manager struct {
	Counts Counts
	Config
	store        *Store // nil once it is closed or quarantined
	rng          *rand.Rand
	inbox        chan any
	done         chan struct{}
	courierState atomic.Pointer[CourierState]
	pacers       map[int64]*rule.Pacer
	lastExpiry   time.Time
}

type (
	addMsg struct {
		msg          *Message
		deferOnError bool         // the client is asked to submit the message again after an error
		answered     *atomic.Bool // done has been called; the courier no longer waits
		done         func(error)
	}
	finishMsg struct {
		ResendResult
		done func(error)
	}
	// CallEnd tells whether a call to a destination was delivered.
	CallEnd struct {
		Dest      int64
		Delivered bool
	}
	callsMsg struct{ calls []CallEnd }
	execMsg  struct {
		f    func()
		done chan struct{}
	}
	configMsg struct{ config Config }
)

const (
	inboxSize      = 4096
	tickInterval   = 50 * time.Millisecond // between two searches for due dead letters
	expiryInterval = 2 * time.Second
	addTimeout     = 150 * time.Millisecond // how long the courier delays a notice to wait for the disk
	maxCandidates  = 16                     // dead letters of one destination checked per tick
	recheckDelay   = time.Second            // after which a dead letter that could not be sent is checked again
)

// Start opens the store and reconciles it with the unfinished messages in the journal. live are the resends in
// progress, which the courier recovers like any other message of an earlier process. stale are the IDs of
// resends that the journal can delete. A corrupt store is quarantined and replaced by an empty one.
func Start(c Config, journaled []journal.MessageState, journalIntact bool) (mgr *Manager, live []journal.MessageState, stale []string, err error) {
	now := time.Now()
	store, err := Open(c.Dir, c.Options, c.Log)
	if errors.Is(err, ErrCorrupt) {
		name, moved := Quarantine(c.Dir, now)
		c.Log.Error("undeliverable: quarantined the corrupt store", "err", err, "as", name, "moved", moved)
		store, err = Open(c.Dir, c.Options, c.Log)
	}
	if err != nil {
		return nil, nil, nil, err
	}
	if store.Unreadable > 0 {
		c.Log.Error("undeliverable: some dead letters cannot be read", "n", store.Unreadable)
	}
	if live, stale, err = reconcile(store, journaled, journalIntact, now); err != nil {
		return nil, nil, nil, errors.Join(err, store.Close())
	}
	mgr = &Manager{
		Config: c, store: store, rng: rand.New(rand.NewPCG(c.Seed, 7)), inbox: make(chan any, inboxSize),
		done: make(chan struct{}), pacers: map[int64]*rule.Pacer{}, lastExpiry: now,
	}
	mgr.courierState.Store(&CourierState{})
	for dest := range store.indexes {
		mgr.pacer(dest, true)
	}
	return mgr, live, stale, nil
}

// Run processes messages until the context is canceled, then closes the store.
func (mgr *Manager) Run(ctx context.Context) {
	defer close(mgr.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			mgr.drain()
			if mgr.store != nil {
				if err := mgr.store.Close(); err != nil {
					mgr.Log.Warn("undeliverable: could not close the store", "err", err)
				}
				mgr.store = nil
			}
			return
		case m := <-mgr.inbox:
			mgr.handle(m)
		case <-tick.C:
			mgr.resendDue(time.Now())
		}
	}
}

// Wait blocks until Run has returned and the store is closed.
func (mgr *Manager) Wait() { <-mgr.done }

// drain processes the messages that were posted before the context was canceled.
func (mgr *Manager) drain() {
	for len(mgr.inbox) > 0 {
		mgr.handle(<-mgr.inbox)
	}
}

// post puts a message into the inbox. It returns false if the inbox is full or the manager has stopped.
func (mgr *Manager) post(m any) bool {
	select {
	case <-mgr.done:
		return false
	default:
	}
	select {
	case mgr.inbox <- m:
		return true
	default:
		return false
	}
}

// Add stores a dead letter and calls done once: with nil when it is stored, or with an error when that failed
// or took longer than addTimeout. It does not block. deferOnError tells that the client is asked to submit the
// message again after an error; a dead letter that is stored after the timeout is then deleted again.
func (mgr *Manager) Add(msg *Message, deferOnError bool, done func(error)) {
	answered := &atomic.Bool{}
	answer := func(err error) {
		if answered.CompareAndSwap(false, true) {
			done(err)
		}
	}
	timer := time.AfterFunc(addTimeout, func() { answer(fmt.Errorf("deadletter: the write timed out: %w", ErrUnavailable)) })
	if !mgr.post(addMsg{msg, deferOnError, answered, func(err error) { timer.Stop(); answer(err) }}) {
		timer.Stop()
		mgr.Counts.Lost.Add(1)
		answer(ErrUnavailable)
	}
}

// Finish writes the result of a resend into its dead letter and calls done with nil once it is stored. Until
// then the journal is authoritative for the message.
func (mgr *Manager) Finish(r ResendResult, done func(error)) {
	if !mgr.post(finishMsg{r, done}) {
		done(ErrUnavailable)
	}
}

// RecordCalls passes ended calls to the pacers of their destinations. It drops them if the inbox is full; that
// only makes the pacers less accurate.
func (mgr *Manager) RecordCalls(calls []CallEnd) {
	if len(calls) > 0 {
		mgr.post(callsMsg{calls})
	}
}

// SetCourierState replaces the snapshot of the courier's load, waiting messages and endpoints.
func (mgr *Manager) SetCourierState(state *CourierState) { mgr.courierState.Store(state) }

// SetConfig applies new settings. Limits, ages and store sizes take effect at once, the others at the next start.
func (mgr *Manager) SetConfig(c Config) { mgr.post(configMsg{c}) }

// exec runs f in the manager's goroutine and waits for it.
func (mgr *Manager) exec(ctx context.Context, f func()) error {
	m := execMsg{f, make(chan struct{})}
	if !mgr.post(m) {
		return ErrUnavailable
	}
	select {
	case <-m.done:
		return nil
	case <-mgr.done:
		return ErrUnavailable
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handle processes one message from the inbox, and with an addMsg up to 255 more that wait behind it.
func (mgr *Manager) handle(received any) {
	now := time.Now()
	switch m := received.(type) {
	case addMsg:
		batch := []addMsg{m}
		var other any
		for len(mgr.inbox) > 0 && len(batch) < 256 && other == nil { // one transaction for all waiting dead letters
			switch next := (<-mgr.inbox).(type) {
			case addMsg:
				batch = append(batch, next)
			default:
				other = next
			}
		}
		mgr.add(batch)
		if other != nil {
			mgr.handle(other)
		}
	case finishMsg:
		m.done(mgr.finish(m.ResendResult, now))
	case callsMsg:
		for _, call := range m.calls {
			if p := mgr.pacer(call.Dest, false); p != nil {
				p.RecordCall(now, call.Delivered, false, mgr.rng.Float64())
			}
		}
	case execMsg:
		m.f()
		close(m.done)
	case configMsg:
		mgr.Limits, mgr.MaxAge, mgr.MaxFinalAge = m.config.Limits, m.config.MaxAge, m.config.MaxFinalAge
		if mgr.store != nil {
			mgr.store.MaxBytes, mgr.store.MaxMessages = m.config.Options.MaxBytes, m.config.Options.MaxMessages
		}
		for _, p := range mgr.pacers {
			p.SetLimits(m.config.Limits, now)
		}
		if mgr.store != nil { // dead letters parked under the old limits may be due under the new ones
			for _, index := range mgr.store.indexes {
				for i := range index.entries {
					index.entries[i].parked = false
				}
			}
		}
	}
}
