// Package courier is the actor of the decision module: events come in by its mailbox, its
// actions go out to the journal, the peers and the notices. It decides nothing.
package courier

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"raventrestle"
	"raventrestle/internal/config"
	"raventrestle/internal/deadletter"
	"raventrestle/internal/deadletter/rule"
	"raventrestle/internal/figures"
	"raventrestle/internal/journal"
	"raventrestle/internal/lifecycle"
	"raventrestle/internal/net/front"
	"raventrestle/internal/net/notice"
	"raventrestle/internal/net/peer"
	"raventrestle/internal/net/upstream"
)

// ErrFull says that the courier holds all that it may.
var ErrFull = errors.New("courier: full")

// Counts are what the courier has done.
type Counts struct {
	Taken, Full, Withdrawn, Restored         atomic.Int64
	Delivered, Void, Deferred, Undeliverable atomic.Int64
	Steps, LateSteps, Panics                 atomic.Int64
	ByStatus                                 [raventrestle.Moot + 1]atomic.Int64
	Peers                                    peer.Counts
}

// Courier is the module's actor.
type Courier struct {
	Counts      Counts
	conf        *config.Config
	policy      *raventrestle.Policy
	log         *slog.Logger
	journal     *journal.Store
	group       *upstream.Group
	notices     *notice.Sender
	mail        chan any
	quiet       chan struct{}      // closed once it is closing and owes nothing
	deadLetters *deadletter.Keeper // nil where none are kept

	mu        sync.Mutex
	known     map[string]bool     // ids written down whose end is not told yet; true once let in
	resends   map[string]bool     // ids of dead letters that are being sent again
	handed    int                 // of the known ones, how many are the next process's
	elsewhere map[string]bool     // ids that another process of this courier has out
	dests     map[int64]time.Time // when the list last named a peer of the destination
	longest   time.Duration       // that a message may wait
	most      int                 // messages that it may hold

	// What follows is the actor's own.
	msgs    map[raventrestle.MessageID]*message
	peers   map[raventrestle.TargetID]*ref
	out     int
	wake    time.Duration
	closing bool
	handover
	recall
	sharing
	diary
	seen   []deadletter.Seen // of this step
	again  int               // resends that the module has
	shown  time.Time         // when the dead letters' keeper last heard of the load
	listed time.Time         // when discovery last answered
	index  int64             // of its list

	Figures *figures.Book // counts the ends
	// Successors says that another process may take over while this one runs: what it has to know is journalled.
	Successors bool
	// Tell hears of what concerns the life of the instance; set it before Run.
	Tell         func(lifecycle.Event)
	journalFails atomic.Bool
	listStale    bool
	listKnown    bool
}

type message struct {
	*journal.Message
	journal.Progress // Tries always; how they ended only where dead letters are kept
	out              bool
}

// ref is a peer as the list names it.
type ref struct {
	*peer.Peer
	entry upstream.Entry
}

// arrival is a message whose client has heard that it is taken on.
type arrival struct {
	*journal.Message
	again, orphan bool
}

type closingMsg struct{ at time.Time }

// retuneMsg are other settings; the answer says whether the module works with them.
type retuneMsg struct {
	conf *config.Config
	done chan<- error
}

type heardMsg struct{} // notices were taken

// lag is what a repeat may take longer on its way than the first try did: a new connection, a
// journal write and a busy core on the one side and none of them on the other.
const lag = 250 * time.Millisecond

// New puts a courier together. Kept is what the journal held at the start.
func New(conf *config.Config, store *journal.Store, kept []journal.Kept, book *figures.Book, log *slog.Logger) (*Courier, error) {
	conf.Settings.Lag = lag
	policy, err := raventrestle.New(conf.Settings, conf.Seed)
	if err != nil {
		return nil, err
	}
	set := &conf.Settings
	room := set.MostHeld + len(kept) + 16*set.CallSlots + 256
	c := &Courier{conf: conf, policy: policy, log: log, journal: store, mail: make(chan any, room),
		Tell: func(lifecycle.Event) {}, Figures: book, quiet: make(chan struct{}), known: map[string]bool{}, resends: map[string]bool{}, dests: map[int64]time.Time{},
		msgs: map[raventrestle.MessageID]*message{}, peers: map[raventrestle.TargetID]*ref{}}
	c.bound(set)
	c.notices = notice.New(conf.Discovery, room, log, c.heard)
	c.group = upstream.New(conf.Discovery, conf.Known, &conf.Settings, conf.Names, log, func(u upstream.Update) { c.mail <- u })
	for _, k := range kept {
		if k.Resend > 0 {
			c.resends[k.ID] = true
			c.mail <- k
			continue
		}
		c.known[k.ID] = true
		if k.Owed != nil {
			c.notices.Add(notice.Item{ID: k.ID, End: *k.Owed})
			continue
		}
		c.Counts.Restored.Add(1)
		book.Pending.Add(1)
		c.mail <- k
	}
	return c, nil
}

// bound takes what Take goes by out of the settings.
func (c *Courier) bound(set *raventrestle.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most, c.longest = set.MostHeld, 0
	for _, class := range set.Classes {
		c.longest = max(c.longest, class.Deadline)
	}
}

// Retune makes the courier go by the settings of another configuration, which gets the indices of the one it
// has, or returns the module's error and changes nothing. Messages under way keep their class.
func (c *Courier) Retune(ctx context.Context, conf *config.Config) error {
	done := make(chan error, 1)
	c.post(retuneMsg{conf, done})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Courier) retune(ctx context.Context, conf *config.Config) error {
	conf.Follow(c.conf)
	was, set := c.conf.Settings, &conf.Settings
	set.Lag = lag
	if err := c.policy.Retune(*set); err != nil {
		return err
	}
	next := *c.conf
	next.Settings, next.Names = *set, conf.Names
	c.conf = &next
	c.bound(set)
	c.group.Serve(set, conf.Names)
	if was.ConnectWithin == set.ConnectWithin && was.IdleClose == set.IdleClose {
		return nil
	}
	for _, r := range c.peers { // their connections go by the new times
		r.Stop()
		r.Peer = c.peer(ctx, r.entry)
	}
	return nil
}

// peer starts the peer of an entry.
func (c *Courier) peer(ctx context.Context, e upstream.Entry) *peer.Peer {
	p := peer.New(ctx, peer.Config{Name: string(e.Target), Addr: e.Addr, ConnectWithin: c.conf.Settings.ConnectWithin,
		IdleClose: c.conf.Settings.IdleClose, Mailbox: 4*c.conf.Settings.CallSlots + 16, Log: c.log, Counts: &c.Counts.Peers,
		Wrote: func(n int) {
			c.Figures.UpstreamRequests.Add(int64(n))
			c.called(e.Target)
		},
		Tell: func(e raventrestle.Event) { c.mail <- e }})
	if e.State == raventrestle.Draining {
		p.Hold(peer.Never)
	}
	return p
}

// Run is the actor; it ends with the context.
func (c *Courier) Run(ctx context.Context) {
	go c.group.Run(ctx)
	go c.notices.Run(ctx)
	c.inheritBefore(ctx)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	look := time.NewTicker(lookAgain)
	if c.conf.Admin != "" {
		look.Reset(showAgain)
	}
	defer look.Stop()
	var last time.Time
	for {
		var first any
		if c.wake > 0 {
			timer.Reset(time.Until(time.Unix(0, int64(c.wake))))
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case <-ctx.Done():
			for _, r := range c.peers {
				r.Stop()
			}
			return
		case first = <-c.mail:
		case <-timer.C:
		case <-c.looks():
			c.share()
			continue
		case <-look.C:
			c.tryJournal()
			c.figure()
			continue
		}
		// The module's least time between two batches: what comes meanwhile goes along.
		if rest := c.conf.Settings.Tick - time.Since(last); rest > 0 {
			time.Sleep(rest)
		}
		last = time.Now()
		mail := []any{first}
		for range len(c.mail) {
			mail = append(mail, <-c.mail)
		}
		c.step(ctx, mail)
	}
}

// clock is the module's: Unix time, which outlasts the process, read off a clock that never
// goes back.
var start = time.Now()

func now() time.Duration { return time.Duration(start.UnixNano()) + time.Since(start) }

// step hands the module all that has come in, answers and the list first.
func (c *Courier) step(ctx context.Context, mail []any) {
	t := now()
	var lists, answers, rest []raventrestle.Event
	var records []journal.Record
	var asked []chan<- Status
	pass := false
	rest = append(rest, c.yield(mail)...)
	for _, m := range mail {
		switch m := m.(type) {
		case upstream.Update:
			lists = append(lists, c.update(ctx, m))
		case raventrestle.Outcome:
			answers = append(answers, m)
			records = append(records, c.outcome(m)...)
		case arrival:
			c.msgs[raventrestle.MessageID(m.ID)] = &message{Message: m.Message}
			if c.passing {
				records = append(records, c.handOver(c.msgs[raventrestle.MessageID(m.ID)]))
				continue
			}
			rest = append(rest, c.arrived(m, t))
		case journal.Kept:
			c.msgs[raventrestle.MessageID(m.ID)] = &message{Message: m.Message, Progress: m.Progress}
			if m.Resend > 0 {
				c.again++
			} else if c.passing { // two upgrades in a row: what is taken over meanwhile goes on to the next one
				records = append(records, c.handOver(c.msgs[raventrestle.MessageID(m.ID)]))
				continue
			}
			rest = append(rest, c.restored(m, t))
		case deadletter.Again:
			if e := c.resend(m, t); e != nil {
				rest = append(rest, e)
			}
		case passMsg:
			pass = !c.passing
		case inheritMsg:
			c.inherited = true
			c.policy.Inherit(m.Learned)
		case heedMsg:
			c.heed(m.waits)
		case elsewhereMsg:
			c.policy.Elsewhere(m.calls - c.theirs)
			c.theirs = m.calls
		case retuneMsg:
			err := c.retune(ctx, m.conf)
			m.done <- err
		case statusMsg:
			asked = append(asked, m.to)
		case closingMsg:
			c.closing = true
			rest = append(rest, raventrestle.Closing{At: time.Duration(m.at.UnixNano())})
		}
	}
	if pass {
		c.passing = true
		gone, handed := c.pass()
		rest, records = append(rest, gone...), append(records, handed...)
	}
	events := slices.Concat(lists, answers, rest)
	if c.wake > 0 && c.wake <= t {
		if t-c.wake > 2*c.conf.Settings.Tick {
			c.Counts.LateSteps.Add(1)
		}
		c.wake = 0
		events = append(events, raventrestle.Wake{})
	}
	c.Counts.Steps.Add(1)
	c.act(c.decide(t, events), records)
	c.show()
	c.figure()
	c.remember(t)
	for _, to := range asked {
		to <- c.status()
	}
	if (c.closing || c.passing) && c.owed() == 0 {
		select {
		case <-c.quiet:
		default:
			close(c.quiet)
		}
	}
}

// figure brings the figures that are not counted up to date.
func (c *Courier) figure() {
	c.Figures.Members.Store(int64(len(c.peers)))
	c.Figures.MembersUnavailable.Store(int64(c.policy.Avoided(now())))
}

// decide keeps a fault of the module from ending the process: the batch is lost, not the courier.
func (c *Courier) decide(t time.Duration, events []raventrestle.Event) (actions []raventrestle.Action) {
	defer func() {
		if e := recover(); e != nil {
			c.Counts.Panics.Add(1)
			c.log.Error("courier: the module broke", "panic", fmt.Sprint(e), "stack", string(debug.Stack()))
			actions = []raventrestle.Action{raventrestle.WakeAt{At: t + c.conf.Settings.Tick}}
		}
	}()
	return c.policy.Step(t, events)
}

func (c *Courier) arrived(a arrival, t time.Duration) raventrestle.Arrival {
	return raventrestle.Arrival{ID: raventrestle.MessageID(a.ID), Class: c.class(a.Message),
		Tenant: config.Index(c.conf.Names.Tenants, a.Tenant), Dest: raventrestle.DestID(a.Dest),
		Budget: time.Duration(a.Until) - t, Again: a.again, Orphan: a.orphan}
}

// class is the index of the class that the message was taken with, -1 if it is not known any more.
func (c *Courier) class(m *journal.Message) int {
	i := config.Index(c.conf.Names.Classes, m.Class)
	if m.Terms == "" || i >= 0 && c.conf.Names.Terms[m.Class] == m.Terms {
		return i
	}
	class, err := config.OfTerms(m.Class, m.Terms)
	if err != nil {
		c.log.Error("courier: a class can't be read", "id", m.ID, "err", err)
	}
	if i := slices.Index(c.conf.Settings.Classes, class); i >= 0 {
		return i
	}
	// Of a life that had other settings: it stands behind the others, and no name leads to it.
	next := *c.conf
	next.Settings.Classes = append(slices.Clone(next.Settings.Classes), class)
	if err := c.policy.Retune(next.Settings); err != nil {
		c.log.Error("courier: a class can't be taken up", "id", m.ID, "class", m.Class, "err", err)
		return i
	}
	c.conf = &next
	return len(next.Settings.Classes) - 1
}

// restored: a try that was out when the last process ended may have run.
func (c *Courier) restored(k journal.Kept, t time.Duration) raventrestle.Restored {
	r := raventrestle.Restored{Arrival: c.arrived(arrival{Message: k.Message}, t), Sends: k.Tries, Moved: k.Handed || c.inherited}
	ran := k.Ran
	if ran == nil {
		ran = k.Out
	} else {
		r.Failed = true
	}
	if ran != nil {
		r.MayRun, r.RanOn, r.RanAt = true, raventrestle.TargetID(ran.Peer), time.Duration(ran.At)
		r.RanZone = config.Index(c.conf.Names.Zones, ran.Zone)
	}
	return r
}

// update brings the peers up to date with the list.
func (c *Courier) update(ctx context.Context, u upstream.Update) raventrestle.Listing {
	l := raventrestle.Listing{How: u.How}
	if stale := u.How == raventrestle.ListFailed; u.How != raventrestle.ListStored {
		if stale && !c.listStale {
			c.Tell(lifecycle.Began{Trouble: lifecycle.ListStale})
		} else if !stale && c.listStale {
			c.Tell(lifecycle.Ended{Trouble: lifecycle.ListStale})
		}
		if c.listStale = stale; !stale {
			c.listed, c.index = time.Now(), u.Index
		}
	}
	listed := map[raventrestle.TargetID]bool{}
	for _, e := range u.Entries {
		l.Entries = append(l.Entries, e.Entry)
		r := c.peers[e.Target]
		if e.State == raventrestle.Gone {
			continue
		}
		listed[e.Target] = true
		was := e.State
		if r != nil {
			was = r.entry.State
		}
		if r != nil && r.entry.Addr == e.Addr {
			switch r.entry = e; {
			case e.State == raventrestle.Draining:
				r.Hold(peer.Never)
			case was == raventrestle.Draining:
				r.Hold(time.Time{})
			}
			continue
		}
		if r != nil {
			r.Stop()
		}
		c.peers[e.Target] = &ref{entry: e, Peer: c.peer(ctx, e)}
	}
	for id, r := range c.peers {
		whole := u.How == raventrestle.ListWhole || u.How == raventrestle.ListStored
		gone := slices.ContainsFunc(u.Entries, func(e upstream.Entry) bool {
			return e.Target == id && e.State == raventrestle.Gone
		})
		if gone || whole && !listed[id] {
			r.Stop()
			delete(c.peers, id)
		}
	}
	c.serve(time.Now())
	return l
}

// serve notes which destinations the list names. One that lost its last peer is served on for as
// long as a message may wait for another.
func (c *Courier) serve(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.peers {
		c.dests[int64(r.entry.Dest)] = t
	}
	if !c.listKnown && len(c.dests) > 0 {
		c.listKnown = true
		defer c.Tell(lifecycle.Done{Step: lifecycle.List})
	}
	maps.DeleteFunc(c.dests, func(_ int64, last time.Time) bool { return t.Sub(last) > c.longest })
}

// statuses are the words for how a try ended, in records, dead letters and counters.
var statuses = [...]string{raventrestle.OK: "ok", raventrestle.Error: "error", raventrestle.Full: "full",
	raventrestle.TimedOut: "timed_out", raventrestle.ConnectFailed: "connect_failed", raventrestle.Reset: "reset",
	raventrestle.Cancelled: "cancelled", raventrestle.Moot: "moot"}

// outcome notes how a try ended.
func (c *Courier) outcome(o raventrestle.Outcome) []journal.Record {
	c.out--
	c.Counts.ByStatus[o.Status].Add(1)
	c.told(o)
	var records []journal.Record
	if o.Wait > 0 {
		until := time.Now().Add(o.Wait)
		if c.hold(o.Target, until); c.Successors {
			records = append(records, journal.Wait(string(o.Target), until.UnixNano()))
		}
	}
	id, m := string(o.ID), c.msgs[o.ID]
	word := ""
	if c.deadLetters != nil {
		word = statuses[o.Status]
		c.note(m, o, word)
	}
	if m != nil {
		m.out = false
	}
	never := o.Status == raventrestle.Full || o.Status == raventrestle.ConnectFailed || o.Status == raventrestle.Moot
	switch {
	case o.Closed && m != nil && m.Resend > 0:
		what := "delivered"
		if o.Status != raventrestle.OK {
			what = "void"
		}
		c.resent(m, what)
		return records // the dead letter comes first
	case o.Closed:
		end := &c.Counts.Delivered
		if o.Status != raventrestle.OK {
			end = &c.Counts.Void
		}
		end.Add(1)
		if m != nil {
			c.counted(m.Message, o.Status == raventrestle.OK, false)
			c.answered(id, o.Status)
		}
		delete(c.msgs, o.ID)
		c.forget(id)
		return append(records, journal.Over(id))
	case never:
		records = append(records, journal.NeverRan(id, word))
	default:
		records = append(records, journal.MayHaveRun(id, word))
	}
	if c.passing && m != nil && m.Resend == 0 {
		records = append(records, c.handOver(m))
	}
	return records
}

// counted adds a message's end to the figures: delivered, handed back, or else failed.
func (c *Courier) counted(m *journal.Message, delivered, handedBack bool) {
	class := c.Figures.Class(m.Class)
	switch {
	case delivered:
		class.Completed.Add(1)
	case handedBack:
		class.Rejected.Add(1)
	default:
		class.Failed.Add(1)
	}
	c.Figures.Pending.Add(-1)
}

// hold tells the peers of the target's route that it was told to wait: calls whose connection is
// still coming up would else be written within the wait.
func (c *Courier) hold(target raventrestle.TargetID, until time.Time) {
	told := c.peers[target]
	if told == nil {
		return
	}
	for id, r := range c.peers {
		if id == target || r.entry.Dest == told.entry.Dest && !c.kind(r).Apart {
			r.Hold(until)
			c.waits(id, until)
		}
	}
}

// calls are the tries of one step, in calls.
type calls struct {
	to     *peer.Peer
	target raventrestle.TargetID
	tries  []peer.Try
	size   int // of its body, in frames
}

const (
	mostBody = 64 << 10 // of a call; more gets 413
	frame    = 16       // of a message in a call, beside its id, key and bytes
)

// act carries the actions out in order; what they do waits until the journal has them.
func (c *Courier) act(actions []raventrestle.Action, records []journal.Record) {
	var out []*calls
	var moot []raventrestle.Outcome
	var owed []notice.Item
	t := now()
	for _, a := range actions {
		switch a := a.(type) {
		case raventrestle.Send:
			m := c.msgs[a.ID]
			if m == nil {
				c.log.Error("courier: send of an unknown message", "id", a.ID)
				continue
			}
			r := c.peers[a.Target]
			try := peer.Try{ID: m.ID, Key: m.Key, N: m.Tries, Body: m.Body, Wait: a.Timeout,
				Until: time.Unix(0, m.Until)}
			if a.Within > 0 {
				try.Before = time.Unix(0, int64(t+a.Within))
			}
			m.Tries++
			m.out = true
			c.out++
			if r == nil || r.entry.Dest != raventrestle.DestID(m.Dest) {
				moot = append(moot, raventrestle.Outcome{ID: a.ID, Target: a.Target, Try: try.N, Status: raventrestle.Moot})
				continue
			}
			zone := ""
			if z := r.entry.Zone; z >= 0 {
				zone = c.conf.Settings.Zones[z].Name
			}
			begun := journal.Try{Peer: string(a.Target), Zone: zone, At: int64(t)}
			if c.deadLetters != nil {
				c.begin(m, begun)
			}
			records = append(records, journal.Begun(m.ID, begun))
			c.tries(m.ID, a.Target)
			size := len(m.ID) + len(m.Key) + len(m.Body) + frame
			i := slices.IndexFunc(out, func(x *calls) bool {
				return x.to == r.Peer && len(x.tries) < c.kind(r).BundleMax && x.size+size <= mostBody
			})
			if i < 0 {
				i, out = len(out), append(out, &calls{to: r.Peer, target: a.Target})
			}
			out[i].tries, out[i].size = append(out[i].tries, try), out[i].size+size
		case raventrestle.Refuse:
			if m := c.msgs[a.ID]; m != nil && m.Resend > 0 {
				c.resent(m, "refused")
				continue
			}
			if c.passing && c.msgs[a.ID] == nil { // it was handed over in this step: the next process ends it
				continue
			}
			end := journal.End{Deferred: true, AgainMS: a.After.Milliseconds()}
			if m := c.msgs[a.ID]; m != nil && c.deadLetters != nil && rule.Lost(time.Duration(m.Until)-t) {
				c.undeliverable(m, t, end)
				continue
			}
			c.Counts.Deferred.Add(1)
			if m := c.msgs[a.ID]; m != nil {
				c.counted(m.Message, false, true)
			}
			owed = append(owed, notice.Item{ID: string(a.ID), End: end})
		case raventrestle.Fail:
			m := c.msgs[a.ID]
			if m != nil && m.Resend > 0 {
				c.resent(m, "failed")
				continue
			}
			if m != nil && c.deadLetters != nil {
				c.undeliverable(m, t, journal.End{})
				continue
			}
			if c.passing && m == nil {
				continue
			}
			c.Counts.Undeliverable.Add(1)
			if m != nil {
				c.counted(m.Message, false, false)
			}
			owed = append(owed, notice.Item{ID: string(a.ID)})
		case raventrestle.CloseIdle:
			if r := c.peers[a.Target]; r != nil {
				r.CloseIdle()
			}
		case raventrestle.Cancel:
			for _, r := range c.peers {
				r.Cancel(string(a.ID))
			}
		case raventrestle.Subscribe:
			c.group.Subscribe()
		case raventrestle.WakeAt:
			if c.wake == 0 || a.At < c.wake {
				c.wake = a.At
			}
		case raventrestle.Log:
			c.log.Info(a.Text)
		}
	}
	for _, it := range owed {
		delete(c.msgs, raventrestle.MessageID(it.ID))
		records = append(records, journal.Ended(it.ID, it.End))
	}
	for _, o := range moot {
		c.post(o)
	}
	if len(records) == 0 {
		return
	}
	answers := c.answers()
	then := func(err error) {
		c.ended(err, answers, owed)
		c.written(err, out, owed)
	}
	if err := c.journal.Append(records, then); err != nil {
		then(err)
	}
}

// kind is that of the peer's destination; one of an unknown kind shares its limit and takes single calls.
func (c *Courier) kind(r *ref) raventrestle.Kind {
	if k := r.entry.Kind; k >= 0 {
		return c.conf.Settings.Kinds[k]
	}
	return raventrestle.Kind{BundleMax: 1}
}

// written goes on with a step once the journal has it. What it could not write is not sent;
// an ending is told all the same.
func (c *Courier) written(err error, out []*calls, owed []notice.Item) {
	if err != nil {
		c.log.Error("courier: journal", "err", err)
	}
	c.writes(err)
	for _, x := range out {
		if err == nil && x.to.Call(x.tries) {
			continue
		}
		for _, t := range x.tries {
			c.post(raventrestle.Outcome{ID: raventrestle.MessageID(t.ID), Target: x.target, Try: t.N,
				Status: raventrestle.Moot})
		}
	}
	for _, it := range owed {
		if !c.notices.Add(it) { // the journal owes it still
			c.log.Error("courier: no room for a notice", "id", it.ID)
		}
	}
}

// lookAgain is how often a journal that could not be written is tried.
const lookAgain = time.Second

// showAgain is how often the figures are brought up to date where nothing happens.
const showAgain = 200 * time.Millisecond

// tryJournal writes a record that says nothing while the journal fails: a courier that is not sent
// messages for that reason would else never hear that it is well again.
func (c *Courier) tryJournal() {
	if !c.journalFails.Load() {
		return
	}
	if err := c.journal.Append([]journal.Record{journal.Over("")}, c.writes); err != nil {
		c.writes(err)
	}
}

// writes notes what came of a write: one that found the journal full, or closed, tells nothing of the disk.
func (c *Courier) writes(err error) {
	fails := err != nil
	switch {
	case errors.Is(err, journal.ErrFull), errors.Is(err, journal.ErrClosed), c.journalFails.Swap(fails) == fails:
	case fails:
		c.Tell(lifecycle.Began{Trouble: lifecycle.JournalFails})
	default:
		c.Tell(lifecycle.Ended{Trouble: lifecycle.JournalFails})
	}
}

// post puts mail in the box without blocking whoever does.
func (c *Courier) post(m any) {
	select {
	case c.mail <- m:
	default:
		go func() { c.mail <- m }()
	}
}

// Take writes a message down, unless the courier holds all that it may. The caller then either
// admits or withdraws it.
func (c *Courier) Take(m *journal.Message) error {
	c.mu.Lock()
	full := len(c.known)-c.handed >= c.most || c.resends[m.ID]
	admitted, known := c.known[m.ID]
	admitted = admitted || c.elsewhere[m.ID]
	_, served := c.dests[m.Dest]
	served = served || len(c.dests) == 0 // no list has come yet
	if !full && !known && served {
		c.known[m.ID] = false
	}
	c.mu.Unlock()
	if admitted {
		return front.ErrKnown
	}
	if !served {
		return front.ErrNoDest
	}
	if full || known {
		c.Counts.Full.Add(1)
		return ErrFull
	}
	err := c.journal.Take(m)
	c.writes(err)
	if err != nil {
		c.Counts.Full.Add(1)
		c.forget(m.ID)
	}
	return err
}

// Admit lets a message in whose client has heard that it is taken on.
func (c *Courier) Admit(m *journal.Message, again, orphan bool) {
	c.Counts.Taken.Add(1)
	c.Figures.Pending.Add(1)
	c.mu.Lock()
	c.known[m.ID] = true
	c.mu.Unlock()
	c.takenOn(m)
	c.mail <- arrival{m, again, orphan}
}

// Withdraw drops a message whose client never heard of its being taken on.
func (c *Courier) Withdraw(m *journal.Message) {
	c.Counts.Withdrawn.Add(1)
	c.over(m.ID)
}

// over ends all that is owed for the messages.
func (c *Courier) over(ids ...string) {
	var records []journal.Record
	for _, id := range ids {
		records = append(records, journal.Over(id))
	}
	if err := c.journal.Append(records, nil); err != nil {
		c.log.Warn("courier: journal", "err", err)
	}
	for _, id := range ids {
		c.forget(id)
	}
}

func (c *Courier) heard(ids []string) {
	c.over(ids...)
	c.post(heardMsg{})
}

func (c *Courier) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.known, id)
	delete(c.resends, id)
}

// owed is how many messages have no end yet that is told, or written into their dead letter.
func (c *Courier) owed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.known) + len(c.resends) - c.handed
}

// Move makes the courier ask and tell at another discovery from now on.
func (c *Courier) Move(discovery string) {
	c.group.Move(discovery)
	c.notices.Move(discovery)
}

// Close makes the courier finish by then: the channel closes if it comes to owe nothing before.
// What it still holds then is the journal's.
func (c *Courier) Close(by time.Time) <-chan struct{} {
	c.post(closingMsg{by})
	return c.quiet
}
