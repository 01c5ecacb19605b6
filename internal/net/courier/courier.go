// Package courier runs the delivery policy (package raventrestle) as an actor. It feeds events from its mailbox to the
// policy, and carries out the resulting actions through the journal, the peers and the notification sender. It makes no
// decisions of its own.
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
	"raventrestle/internal/net/discovery"
	"raventrestle/internal/net/notify"
	"raventrestle/internal/net/peer"
	"raventrestle/internal/stats"
)

// ErrFull is returned by Take when the courier has as many pending messages as its settings allow.
var ErrFull = errors.New("courier: full")

// Counts are counters of what the courier has done since the process started.
type Counts struct {
	Accepted, Full, Withdrawn, Restored      atomic.Int64
	Delivered, Void, Deferred, Undeliverable atomic.Int64
	Steps, LateSteps, Panics                 atomic.Int64
	ByStatus                                 [raventrestle.NotSent + 1]atomic.Int64
	Peers                                    peer.Counts
}

// Courier is the actor that runs the policy. It accepts messages from clients and delivers them to the endpoints that
// discovery lists.
type Courier struct {
	Counts      Counts
	conf        *config.Config
	policy      *raventrestle.Policy
	log         *slog.Logger
	journal     *journal.Store
	watcher     *discovery.Watcher
	notifier    *notify.Sender
	mailbox     chan any
	drained     chan struct{}       // closed when a courier that is shutting down or handing over has no pending messages
	deadLetters *deadletter.Manager // nil if undeliverable messages are not kept

	mu              sync.Mutex
	pendingIDs      map[string]bool     // ids in the journal whose end the platform has not acknowledged; true once admitted
	resendIDs       map[string]bool     // ids of dead letters that are being resent
	handedOver      int                 // number of pendingIDs that the next process has taken over
	otherProcessIDs map[string]bool     // ids that another process of this courier has in flight
	destsLastListed map[int64]time.Time // when the endpoint list last named an endpoint of the destination
	maxDeadline     time.Duration       // the longest deadline of any class
	maxMessages     int                 // bound on pending messages

	// The fields below are used by the actor's goroutine only.
	msgs     map[raventrestle.MessageID]*message
	peers    map[raventrestle.TargetID]*listedPeer
	inFlight int
	wakeAt   time.Duration
	closing  bool
	handoverState
	learnedState
	fleetState
	historyState
	endedCalls    []deadletter.CallEnd // calls that ended in this step
	activeResends int                  // resends that the policy has at present
	viewSentAt    time.Time            // when the dead-letter keeper was last sent a view of the load
	listedAt      time.Time            // when discovery last answered
	listIndex     int64                // index of discovery's last answer

	Metrics *stats.Stats // counters and gauges for monitoring
	// KeepForSuccessor says that another process may take over while this one runs, so the journal also has to record
	// what that process needs to know, such as Retry-After waits.
	KeepForSuccessor bool
	// OnLifecycleEvent is called with events that affect the state of the instance. Set it before Run.
	OnLifecycleEvent func(lifecycle.Event)
	journalFailing   atomic.Bool
	listStale        bool
	listKnown        bool
}

type message struct {
	*journal.Message
	journal.Progress // Tries is always maintained; the outcomes only if dead letters are kept
	inFlight         bool
}

// listedPeer is a peer with its entry in the endpoint list.
type listedPeer struct {
	*peer.Peer
	entry discovery.Entry
}

// arrival is a message whose client has been told that it was accepted.
type arrival struct {
	*journal.Message
	resubmitted, orphaned bool
}

type shutdownMsg struct{ deadline time.Time }

// checkDrainedMsg makes the actor run a step after a message has ended outside a step, since the courier may be drained.
type checkDrainedMsg struct{}

// maxSendJitter is how much longer a retry may take to be sent than the first attempt did. It covers the worst case, in
// which only the retry needs a new connection, waits for a journal write and runs on a busy core.
const maxSendJitter = 250 * time.Millisecond

// New returns a courier that is not running yet. Kept is the content of the journal at the start.
func New(conf *config.Config, store *journal.Store, kept []journal.MessageState, metrics *stats.Stats, log *slog.Logger) (*Courier, error) {
	conf.Settings.MaxSendJitter = maxSendJitter
	policy, err := raventrestle.New(conf.Settings, conf.Seed)
	if err != nil {
		return nil, err
	}
	settings := &conf.Settings
	mailboxSize := settings.MaxMessages + len(kept) + 16*settings.CallSlots + 256
	c := &Courier{
		conf: conf, policy: policy, log: log, journal: store, mailbox: make(chan any, mailboxSize),
		OnLifecycleEvent: func(lifecycle.Event) {}, Metrics: metrics, drained: make(chan struct{}), pendingIDs: map[string]bool{}, resendIDs: map[string]bool{}, destsLastListed: map[int64]time.Time{},
		msgs: map[raventrestle.MessageID]*message{}, peers: map[raventrestle.TargetID]*listedPeer{},
	}
	c.applyLimits(settings)
	c.notifier = notify.New(conf.Discovery, mailboxSize, log, c.notificationsDelivered)
	c.watcher = discovery.New(conf.Discovery, conf.InitialEndpoints, &conf.Settings, conf.Names, log, func(u discovery.Update) { c.mailbox <- u })
	for _, k := range kept {
		if k.ResendNumber > 0 {
			c.resendIDs[k.ID] = true
			c.mailbox <- k
			continue
		}
		c.pendingIDs[k.ID] = true
		if k.PendingNotice != nil {
			c.notifier.Add(notify.Notification{ID: k.ID, End: *k.PendingNotice})
			continue
		}
		c.Counts.Restored.Add(1)
		metrics.Pending.Add(1)
		c.mailbox <- k
	}
	return c, nil
}

// startPeer starts the peer for an entry of the endpoint list.
func (c *Courier) startPeer(ctx context.Context, e discovery.Entry) *peer.Peer {
	p := peer.New(ctx, peer.Config{
		Name: string(e.Target), Addr: e.Addr, ConnectTimeout: c.conf.Settings.ConnectTimeout,
		IdleTimeout: c.conf.Settings.IdleTimeout, MailboxSize: 4*c.conf.Settings.CallSlots + 16, Log: c.log, Counts: &c.Counts.Peers,
		OnCallWritten: func(n int) {
			c.Metrics.UpstreamRequests.Add(int64(n))
			c.recordCallWritten(e.Target)
		},
		OnOutcome: func(e raventrestle.Event) { c.mailbox <- e },
	})
	if e.State == raventrestle.Draining {
		p.BlockUntil(peer.Never)
	}
	return p
}

// Run runs the actor until the context ends.
func (c *Courier) Run(ctx context.Context) {
	go c.watcher.Run(ctx)
	go c.notifier.Run(ctx)
	c.applyPreviousLearned(ctx)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	ticker := time.NewTicker(journalProbeInterval)
	if c.conf.Admin != "" {
		ticker.Reset(metricsInterval)
	}
	defer ticker.Stop()
	var last time.Time
	for {
		var first any
		if c.wakeAt > 0 {
			timer.Reset(time.Until(time.Unix(0, int64(c.wakeAt))))
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case <-ctx.Done():
			for _, r := range c.peers {
				r.Stop()
			}
			return
		case first = <-c.mailbox:
		case <-timer.C:
		case <-c.exchangeTimer():
			c.exchangeFacts()
			continue
		case <-ticker.C:
			c.probeJournal()
			c.updateGauges()
			continue
		}
		// The policy's minimum interval between two batches; events that arrive meanwhile join this batch.
		if remaining := c.conf.Settings.MinBatchInterval - time.Since(last); remaining > 0 {
			time.Sleep(remaining)
		}
		last = time.Now()
		queued := []any{first}
		for range len(c.mailbox) {
			queued = append(queued, <-c.mailbox)
		}
		c.step(ctx, queued)
	}
}

// processStart is the base of the policy's clock. That clock counts Unix time, so that its readings are valid in the next
// process too, but it is advanced by the monotonic clock, so that it never goes back.
var processStart = time.Now()

func now() time.Duration { return time.Duration(processStart.UnixNano()) + time.Since(processStart) }

// journalProbeInterval is the interval between test writes while the journal fails.
const journalProbeInterval = time.Second

// metricsInterval is the interval between updates of the gauges while no events arrive.
const metricsInterval = 200 * time.Millisecond

// probeJournal writes an empty record while the journal fails. An instance whose journal fails is not ready and is sent no
// messages, so without this write it would never notice that the journal works again.
func (c *Courier) probeJournal() {
	if !c.journalFailing.Load() {
		return
	}
	if err := c.journal.Append([]journal.Record{journal.Done("")}, c.noteWriteResult); err != nil {
		c.noteWriteResult(err)
	}
}

// noteWriteResult tracks whether the journal can be written, and reports changes as lifecycle events. A write that found
// the journal full or closed says nothing about the disk.
func (c *Courier) noteWriteResult(err error) {
	failing := err != nil
	switch {
	case errors.Is(err, journal.ErrFull), errors.Is(err, journal.ErrClosed), c.journalFailing.Swap(failing) == failing:
	case failing:
		c.OnLifecycleEvent(lifecycle.FaultBegan{Fault: lifecycle.JournalUnwritable})
	default:
		c.OnLifecycleEvent(lifecycle.FaultEnded{Fault: lifecycle.JournalUnwritable})
	}
}

// post puts a message into the mailbox without blocking the caller.
func (c *Courier) post(m any) {
	select {
	case c.mailbox <- m:
	default:
		go func() { c.mailbox <- m }()
	}
}

// SetDiscovery changes the address that is asked for the endpoint list and sent notifications.
func (c *Courier) SetDiscovery(discovery string) {
	c.watcher.SetAddress(discovery)
	c.notifier.SetAddress(discovery)
}

// Close makes the courier finish its messages by the deadline. The returned channel closes if no message is pending before
// then; the journal keeps what is still pending at the deadline.
func (c *Courier) Close(deadline time.Time) <-chan struct{} {
	c.post(shutdownMsg{deadline})
	return c.drained
}
