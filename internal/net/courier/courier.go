// Package courier is the actor of the decision module: events come in by its mailbox, its
// actions go out to the journal, the peers and the notices. It decides nothing.
package courier

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"raventrestle"
	"raventrestle/internal/config"
	"raventrestle/internal/deadletter"
	"raventrestle/internal/journal"
	"raventrestle/internal/lifecycle"
	"raventrestle/internal/net/notice"
	"raventrestle/internal/net/peer"
	"raventrestle/internal/net/upstream"
	"raventrestle/internal/stats"
)

// ErrFull says that the courier holds all that it may.
var ErrFull = errors.New("courier: full")

// Counts are what the courier has done.
type Counts struct {
	Taken, Full, Withdrawn, Restored         atomic.Int64
	Delivered, Void, Deferred, Undeliverable atomic.Int64
	Steps, LateSteps, Panics                 atomic.Int64
	ByStatus                                 [raventrestle.NotSent + 1]atomic.Int64
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

	Figures *stats.Stats // counts the ends
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

type heardMsg struct{} // notices were taken

// lag is what a repeat may take longer on its way than the first try did: a new connection, a
// journal write and a busy core on the one side and none of them on the other.
const lag = 250 * time.Millisecond

// New puts a courier together. Kept is what the journal held at the start.
func New(conf *config.Config, store *journal.Store, kept []journal.Kept, counters *stats.Stats, log *slog.Logger) (*Courier, error) {
	conf.Settings.MaxSendJitter = lag
	policy, err := raventrestle.New(conf.Settings, conf.Seed)
	if err != nil {
		return nil, err
	}
	set := &conf.Settings
	room := set.MaxMessages + len(kept) + 16*set.CallSlots + 256
	c := &Courier{
		conf: conf, policy: policy, log: log, journal: store, mail: make(chan any, room),
		Tell: func(lifecycle.Event) {}, Figures: counters, quiet: make(chan struct{}), known: map[string]bool{}, resends: map[string]bool{}, dests: map[int64]time.Time{},
		msgs: map[raventrestle.MessageID]*message{}, peers: map[raventrestle.TargetID]*ref{},
	}
	c.bound(set)
	c.notices = notice.New(conf.Discovery, room, log, c.heard)
	c.group = upstream.New(conf.Discovery, conf.InitialEndpoints, &conf.Settings, conf.Names, log, func(u upstream.Update) { c.mail <- u })
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
		counters.Pending.Add(1)
		c.mail <- k
	}
	return c, nil
}

// peer starts the peer of an entry.
func (c *Courier) peer(ctx context.Context, e upstream.Entry) *peer.Peer {
	p := peer.New(ctx, peer.Config{
		Name: string(e.Target), Addr: e.Addr, ConnectWithin: c.conf.Settings.ConnectTimeout,
		IdleClose: c.conf.Settings.IdleTimeout, Mailbox: 4*c.conf.Settings.CallSlots + 16, Log: c.log, Counts: &c.Counts.Peers,
		Wrote: func(n int) {
			c.Figures.UpstreamRequests.Add(int64(n))
			c.called(e.Target)
		},
		Tell: func(e raventrestle.Event) { c.mail <- e },
	})
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
		if rest := c.conf.Settings.MinBatchInterval - time.Since(last); rest > 0 {
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
		c.Tell(lifecycle.FaultBegan{Fault: lifecycle.JournalUnwritable})
	default:
		c.Tell(lifecycle.FaultEnded{Fault: lifecycle.JournalUnwritable})
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
