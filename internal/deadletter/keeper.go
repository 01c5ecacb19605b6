package deadletter

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
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
	Waiting map[int64]int          // fresh messages held that are not out, by destination
	Places  map[int64][]rule.Place // endpoints that take new work, by destination
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
	paces map[int64]*rule.Pace
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
	k = &Keeper{Config: c, store: store, rnd: rand.New(rand.NewPCG(c.Seed, 7)), mail: make(chan any, mailbox),
		done: make(chan struct{}), paces: map[int64]*rule.Pace{}, swept: now}
	k.view.Store(&View{})
	for dest := range store.shelves {
		k.pace(dest, true)
	}
	return k, live, stale, nil
}

// reconcile puts right what a crash left between the store and the journal:
//   - a dead letter of a message that the journal still holds: the crash came before the message's end was
//     written, so the journal answers and the dead letter goes;
//   - a dead letter of a message whose client was told to come again, as the disk was slow: it goes too;
//   - a resend in the journal whose dead letter is not out: its end is written, so the journal may forget it;
//   - a dead letter that is out but not in the journal: it was never sent, since the journal comes first.
//     Where the journal was lost or torn that is not known, and the dead letter counts as one that ran.
func reconcile(s *Store, kept []journal.Kept, sound bool, now time.Time) (live []journal.Kept, stale []string, err error) {
	resent := map[string]bool{}
	var drop []string
	for _, k := range kept {
		if k.Resend == 0 {
			if k.Owed == nil || k.Owed.Deferred {
				drop = append(drop, k.ID)
			}
			continue
		}
		l, err := s.Get(k.ID)
		switch {
		case err == nil && l.State == rule.Out && int64(len(l.Resends)) == k.Resend:
			resent[k.ID] = true
			live = append(live, k)
		case err == nil || errors.Is(err, ErrMissing):
			stale = append(stale, k.ID)
		default:
			return nil, nil, err
		}
	}
	var lost []string
	err = s.Each(func(l *Letter) bool {
		if l.State == rule.Out && !resent[l.ID] {
			lost = append(lost, l.ID)
		}
		return true
	})
	if err != nil {
		return nil, nil, err
	}
	if len(drop) > 0 {
		if err := s.Delete(drop...); err != nil {
			return nil, nil, err
		}
	}
	if len(lost) == 0 {
		return live, stale, nil
	}
	return live, stale, s.Change(lost, func(l *Letter) error {
		l.State = rule.Held
		last := len(l.Resends) - 1
		if sound {
			l.Resends = l.Resends[:last]
			return nil
		}
		l.Resends[last].Ended, l.Resends[last].Result = now.UnixNano(), "unknown: the journal was lost"
		if l.Ran == nil {
			l.Ran = &Try{At: l.Resends[last].Began}
		}
		return nil
	})
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
				p.Saw(now, s.Delivered, false, k.rnd.Float64())
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
			p.Set(m.c.Limits, now)
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

// pace is the destination's, made on demand; nil where it has no dead letters and none is wanted.
func (k *Keeper) pace(dest int64, wanted bool) *rule.Pace {
	p := k.paces[dest]
	if p == nil && (wanted || k.store != nil && k.store.shelves[dest] != nil) {
		p = rule.NewPace(k.Limits)
		k.paces[dest] = p
	}
	return p
}

func (k *Keeper) keep(all []keepMsg) {
	all = slices.DeleteFunc(all, func(m keepMsg) bool { return m.refused && m.told.Load() })
	if len(all) == 0 {
		return
	}
	letters := make([]*Letter, len(all))
	for i, m := range all {
		letters[i] = m.l
	}
	gave, err := k.put(letters)
	if err != nil && k.store != nil && len(all) > 1 { // one of them spoils it for the others
		for _, m := range all {
			k.keep([]keepMsg{m})
		}
		return
	}
	if err != nil {
		k.Counts.Lost.Add(int64(len(all)))
		k.Log.Error("undeliverable: not kept", "n", len(all), "id", all[0].l.ID, "err", err)
	} else {
		k.Counts.Kept.Add(int64(len(all)))
		for _, l := range letters { // a failure just seen shuts the pace before the first dead letter is due
			k.pace(l.Dest, true)
		}
	}
	k.gaveWay(gave)
	for _, m := range all {
		late := m.told.Load()
		m.then(err)
		if late && m.refused && err == nil && k.store != nil {
			back := k.store.Delete(m.l.ID)
			k.broke(back)
			k.Log.Warn("undeliverable: taken back, the disk was slow", "id", m.l.ID, "err", back)
		}
	}
}

func (k *Keeper) put(letters []*Letter) ([]Letter, error) {
	if k.store == nil {
		return nil, ErrOff
	}
	gave, err := k.store.Put(letters...)
	k.broke(err)
	return gave, err
}

func (k *Keeper) gaveWay(gave []Letter) {
	for _, l := range gave {
		k.Counts.GaveWay.Add(1)
		k.Log.Warn("undeliverable: gave way", "id", l.ID, "class", l.Class, "state", l.State.String(),
			"failed", time.Unix(0, l.Failed))
	}
}

// broke sets a store aside that can't be read: the courier serves on without one. Errors of the disk
// pass.
func (k *Keeper) broke(err error) {
	if !errors.Is(err, ErrSpoilt) || k.store == nil {
		return
	}
	store := k.store
	k.store = nil
	closed := store.Close()
	name, moved := SetAside(k.Folder, time.Now())
	k.Log.Error("undeliverable: the store broke and is set aside; no dead letters are kept until the next start",
		"err", err, "as", name, "moved", moved, "closed", closed)
}

func (k *Keeper) finish(r Result, now time.Time) error {
	if k.store == nil {
		return ErrOff
	}
	tried := len(r.List) > 0
	err := k.store.Change([]string{r.ID}, func(l *Letter) error {
		if l.State != rule.Out {
			return fmt.Errorf("deadletter: %s is %s, not out", l.ID, l.State)
		}
		last := &l.Resends[len(l.Resends)-1]
		last.Ended, last.Result, last.Tries = now.UnixNano(), r.What, r.List
		l.ran(r.List)
		switch {
		case r.What == "delivered":
			l.settle(rule.Delivered, now)
		case r.What == "void":
			l.settle(rule.Void, now)
		case !tried: // as if it had not begun
			l.State, l.Resends = rule.Held, l.Resends[:len(l.Resends)-1]
			l.NotBefore = now.Add(backAfter).UnixNano()
		default:
			l.State, l.Asked = rule.Held, false
			l.NotBefore = now.Add(k.Limits.Rest(len(l.Resends), k.rnd.Float64())).UnixNano()
		}
		return nil
	})
	k.broke(err)
	if err != nil {
		k.Log.Error("undeliverable: a resend's end is not written", "id", r.ID, "what", r.What, "err", err)
		return err
	}
	p := k.pace(r.Dest, true)
	switch {
	case !tried:
		k.Counts.Yielded.Add(1)
		p.Back()
	case r.What == "delivered":
		k.Counts.Delivered.Add(1)
		p.Saw(now, true, true, k.rnd.Float64())
	case r.What == "void":
		k.Counts.Voids.Add(1)
		p.Saw(now, true, true, k.rnd.Float64()) // the endpoint did answer
	default:
		k.Counts.Failed.Add(1)
		p.Saw(now, false, true, k.rnd.Float64())
	}
	k.Log.Info("undeliverable: resent", "id", r.ID, "result", r.What, "tries", len(r.List))
	return nil
}

// work begins what may begin and drops what has outlived its time.
func (k *Keeper) work(now time.Time) {
	if k.store == nil {
		return
	}
	if now.Sub(k.swept) > sweep {
		k.swept = now
		gone, err := k.store.Expire(now, k.MaxAge, k.Settled, 1024)
		k.broke(err)
		k.Counts.Expired.Add(int64(len(gone)))
		for _, l := range gone {
			if !l.State.Settled() {
				k.Log.Warn("undeliverable: expired", "id", l.ID, "class", l.Class)
			}
		}
		for dest, p := range k.paces {
			if k.store != nil && k.store.shelves[dest] == nil && p.Idle(now) {
				delete(k.paces, dest)
			}
		}
		if k.store == nil {
			return
		}
	}
	v := k.view.Load()
	room := k.Limits.Room(v.Load)
	for dest, p := range k.paces { // in no order: each destination has its own pace
		if room <= 0 {
			return
		}
		if v.Waiting[dest] > 0 { // fresh messages first
			continue
		}
		if k.begin(dest, p, v, now) {
			room--
		}
		if k.store == nil {
			return
		}
	}
}

// begin sends the first dead letter of the destination that may be sent.
func (k *Keeper) begin(dest int64, p *rule.Pace, v *View, now time.Time) bool {
	if p.May(now, true) != rule.Allowed {
		return false
	}
	for _, e := range k.store.next(dest, now, lookAt) {
		if p.May(now, e.asked) != rule.Allowed {
			return false
		}
		l, err := k.store.bySeq(e.seq)
		if k.broke(err); k.store == nil {
			return false
		}
		if err != nil {
			e.due = now.Add(time.Minute).UnixNano()
			continue
		}
		facts, reason := k.judge(k.Limits, l, now, v.Places[dest])
		switch {
		case reason == rule.Allowed:
			p.Begin(now)
			k.send(l, facts, now)
			return true
		case reason.Never(), reason == rule.ResendsUsed, reason == rule.TooOld, reason == rule.Manual, reason == rule.ClassGone:
			e.never = true // until an operator asks, which shelves it anew
		default:
			e.due = now.Add(backAfter).UnixNano()
		}
	}
	return false
}

// judge asks the rule about a dead letter, under its class as it is now.
func (k *Keeper) judge(limits rule.Limits, l *Letter, now time.Time, places []rule.Place) (rule.Facts, rule.Reason) {
	class, known := k.Class(l.Class)
	if !known {
		return l.Facts(), rule.ClassGone
	}
	f := l.Stricter(class)
	return f, limits.May(f, now, places)
}

// send marks the dead letter out, writes it into the journal and hands it to the courier, in that order.
func (k *Keeper) send(l *Letter, f rule.Facts, now time.Time) {
	began := now.UnixNano()
	err := k.store.Change([]string{l.ID}, func(x *Letter) error {
		x.State, x.Resends = rule.Out, append(x.Resends, Resend{Began: began})
		body := l.Body
		*l = *x
		l.Body = body
		return nil
	})
	k.broke(err)
	if err != nil {
		k.Log.Error("undeliverable: not sent again", "id", l.ID, "err", err)
		k.back(l.Dest)
		return
	}
	class, _ := k.Class(l.Class)
	m := l.Message(now.Add(k.Limits.Budget(f, max(class.Deadline, time.Millisecond), now)))
	again := Again{Message: m, Dest: l.Dest}
	records := []journal.Record{journal.Taken(m)}
	if l.Ran != nil {
		again.MayRun, again.Ran = true, journal.Try{Peer: l.Ran.Peer, Zone: l.Ran.Floor, At: l.Ran.At}
		records = append(records, journal.Prior(m.ID, again.Ran))
	}
	none := Result{ID: l.ID, Dest: l.Dest, What: "yielded"}
	written := func(err error) {
		if err == nil && k.Begin(again) {
			k.Counts.Begun.Add(1)
			return
		}
		// It was not sent. Its end first, then the journal forgets it.
		k.Finish(none, func(end error) {
			if err == nil && end == nil {
				k.Append([]journal.Record{journal.Over(m.ID)}, nil)
			}
		})
	}
	if err := k.Append(records, written); err != nil {
		written(err)
	}
}

func (k *Keeper) back(dest int64) {
	if p := k.pace(dest, false); p != nil {
		p.Back()
	}
}
