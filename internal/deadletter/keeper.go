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

// ErrOff says that no dead letters are kept now: the store is broken, or the keeper is behind or closed.
var ErrOff = errors.New("no dead letters are kept")

// View is what the courier tells of itself; it is replaced, never changed.
type View struct {
	rule.Load
	Waiting map[int64]int             // fresh messages held that are not out, by destination
	Places  map[int64][]rule.Endpoint // endpoints that take new work, by destination
}

// Again is a dead letter that is to be sent again now; the journal has it.
type Again struct {
	*journal.Message
	MayRun bool
	Ran    journal.Try // if it may have run
	Dest   int64
}

// Result is how a resend ended.
type Result struct {
	ID   string
	Dest int64
	What string // delivered, void, failed, refused or yielded
	List []Try  // the attempts of this resend
}

// Config is what a keeper needs to know.
type Config struct {
	Folder  string
	Options Options
	Limits  rule.Limits
	MaxAge  time.Duration // of a dead letter
	Settled time.Duration // how long one that has its end is kept
	Class   func(name string) (raventrestle.Class, bool)
	Log     *slog.Logger
	Seed    uint64
	Begin   func(Again) bool // hands a dead letter to the courier; false if it has no room
	Append  func([]journal.Record, func(error)) error
}

// Counts are what the keeper has done.
type Counts struct {
	Kept, Lost, GaveWay, Expired             atomic.Int64
	Begun, Delivered, Failed, Yielded, Voids atomic.Int64
}

// Keeper is the actor of the dead letters: all reading and writing of the store is its goroutine's.
type Keeper struct {
	Counts Counts
	Config
	store *Store // nil once broken
	rnd   *rand.Rand
	mail  chan any
	done  chan struct{}
	view  atomic.Pointer[View]
	paces map[int64]*rule.Pacer
	swept time.Time
}

type (
	keepMsg struct {
		l       *Letter
		refused bool
		told    *atomic.Bool // the courier has gone on without waiting
		then    func(error)
	}
	finishMsg struct {
		Result
		then func(error)
	}
	// Seen is how a call to a destination ended.
	Seen struct {
		Dest      int64
		Delivered bool
	}
	seenMsg struct{ all []Seen }
	lookMsg struct {
		do   func()
		done chan struct{}
	}
	setMsg struct{ c Config }
)

const (
	mailbox   = 4096
	beat      = 50 * time.Millisecond // between two looks for dead letters that are due
	sweep     = 2 * time.Second
	patience  = 150 * time.Millisecond // of a courier that owes a notice, for the disk
	lookAt    = 16                     // dead letters of a destination at one look
	backAfter = time.Second            // a dead letter that found no place or no turn is looked at again
)

// Start opens the store, reconciles it with what the journal holds and returns the keeper and the
// dead letters that were out and still are, to be taken up like any message of an earlier life. Stale are
// the ids of resends that the journal can forget. A store that can't be read is set aside for an
// empty one.
func Start(c Config, kept []journal.Kept, sound bool) (k *Keeper, live []journal.Kept, stale []string, err error) {
	now := time.Now()
	store, err := Open(c.Folder, c.Options, c.Log)
	if errors.Is(err, ErrSpoilt) {
		name, moved := SetAside(c.Folder, now)
		c.Log.Error("undeliverable: the store is set aside", "err", err, "as", name, "moved", moved)
		store, err = Open(c.Folder, c.Options, c.Log)
	}
	if err != nil {
		return nil, nil, nil, err
	}
	if store.Spoilt > 0 {
		c.Log.Error("undeliverable: dead letters can't be read", "n", store.Spoilt)
	}
	if live, stale, err = reconcile(store, kept, sound, now); err != nil {
		return nil, nil, nil, errors.Join(err, store.Close())
	}
	k = &Keeper{
		Config: c, store: store, rnd: rand.New(rand.NewPCG(c.Seed, 7)), mail: make(chan any, mailbox),
		done: make(chan struct{}), paces: map[int64]*rule.Pacer{}, swept: now,
	}
	k.view.Store(&View{})
	for dest := range store.shelves {
		k.pace(dest, true)
	}
	return k, live, stale, nil
}

// Run is the actor; it ends with the context and closes the store.
func (k *Keeper) Run(ctx context.Context) {
	defer close(k.done)
	tick := time.NewTicker(beat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			k.drain()
			if k.store != nil {
				if err := k.store.Close(); err != nil {
					k.Log.Warn("undeliverable: close", "err", err)
				}
				k.store = nil
			}
			return
		case m := <-k.mail:
			k.take(m)
		case <-tick.C:
			k.work(time.Now())
		}
	}
}

// Wait waits until the store is closed.
func (k *Keeper) Wait() { <-k.done }

// drain carries out what was posted before the end.
func (k *Keeper) drain() {
	for len(k.mail) > 0 {
		k.take(<-k.mail)
	}
}

func (k *Keeper) post(m any) bool {
	select {
	case <-k.done:
		return false
	default:
	}
	select {
	case k.mail <- m:
		return true
	default:
		return false
	}
}

// Keep writes a dead letter down and calls then, once: with nil when it is on disk; with an error when it
// is not, or not soon enough for a courier that owes a notice. It does not block. Refused says that
// after an error the client is told to come again: a dead letter that came too late is then taken back.
func (k *Keeper) Keep(l *Letter, refused bool, then func(error)) {
	told := &atomic.Bool{}
	once := func(err error) {
		if told.CompareAndSwap(false, true) {
			then(err)
		}
	}
	timer := time.AfterFunc(patience, func() { once(fmt.Errorf("deadletter: the disk is slow: %w", ErrOff)) })
	if !k.post(keepMsg{l, refused, told, func(err error) { timer.Stop(); once(err) }}) {
		timer.Stop()
		k.Counts.Lost.Add(1)
		once(ErrOff)
	}
}

// Finish writes a resend's end into its dead letter and calls then with nil once it is there. Until then
// the journal answers for it.
func (k *Keeper) Finish(r Result, then func(error)) {
	if !k.post(finishMsg{r, then}) {
		then(ErrOff)
	}
}

// Saw tells how calls ended. What the mailbox can't take is not told: it matters little.
func (k *Keeper) Saw(all []Seen) {
	if len(all) > 0 {
		k.post(seenMsg{all})
	}
}

// Tell tells the keeper what the courier has to do.
func (k *Keeper) Tell(v *View) { k.view.Store(v) }

// Set brings the keeper under other settings: limits and ages hold at once, the rest at the next start.
func (k *Keeper) Set(c Config) { k.post(setMsg{c}) }

// look runs something in the actor's goroutine.
func (k *Keeper) look(ctx context.Context, do func()) error {
	m := lookMsg{do, make(chan struct{})}
	if !k.post(m) {
		return ErrOff
	}
	select {
	case <-m.done:
		return nil
	case <-k.done:
		return ErrOff
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (k *Keeper) take(first any) {
	now := time.Now()
	switch m := first.(type) {
	case keepMsg:
		all := []keepMsg{m}
		var other any
		for len(k.mail) > 0 && len(all) < 256 && other == nil { // one transaction for all that wait
			switch next := (<-k.mail).(type) {
			case keepMsg:
				all = append(all, next)
			default:
				other = next
			}
		}
		k.keep(all)
		if other != nil {
			k.take(other)
		}
	case finishMsg:
		m.then(k.finish(m.Result, now))
	case seenMsg:
		for _, s := range m.all {
			if p := k.pace(s.Dest, false); p != nil {
				p.RecordCall(now, s.Delivered, false, k.rnd.Float64())
			}
		}
	case lookMsg:
		m.do()
		close(m.done)
	case setMsg:
		k.Limits, k.MaxAge, k.Settled = m.c.Limits, m.c.MaxAge, m.c.Settled
		if k.store != nil {
			k.store.MaxBytes, k.store.MaxLetters = m.c.Options.MaxBytes, m.c.Options.MaxLetters
		}
		for _, p := range k.paces {
			p.SetLimits(m.c.Limits, now)
		}
		if k.store != nil { // what was parked under the old limits may be due under the new ones
			for _, sh := range k.store.shelves {
				for i := range sh.entries {
					sh.entries[i].never = false
				}
			}
		}
	}
}
