package quota

import (
	"math"
	"slices"
	"strings"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/control/shares"
	"raventrestle/internal/protocol"
)

// Holder issues credit from the shares of this instance. It is pure and not safe for concurrent use.
type Holder struct {
	config    Config
	started   time.Time
	ownership ownership
	recorder  recorder
	stopping  bool

	configuration *configuration.Configuration // that limits are from
	configured    bool                         // there is a configuration
	limits        map[string]Limit             // of the tenants that have one
	table         shares.Table                 // that ownership has
	hasTable      bool
	confirmedAt   time.Time            // everything that was acknowledged before is applied here
	registered    map[string]time.Time // when each holder was last seen in a table
	takeovers     []*takeover
	ended         map[string]bool        // former holders whose leases had ended by the record of an earlier process
	copies        map[string]*RecordCopy // newest records of other holders, by identity
	copiesLost    bool

	nearPeers, farPeers []Peer                 // in this zone and in others, by address
	peerBackoffs        map[string]peerBackoff // peers that did not answer, by address

	tenants     map[string]*tenant // those with issues in the interval, or with asks
	asks        []*ask             // that wait, in order of arrival
	lastRequest uint64             // number of the newest request to a peer
	sweptAt     time.Time

	out Output // of the step in progress
}

// Peer is another instance that may hold shares.
type Peer struct {
	Identity string // of its disk
	Address  string // of its transport
	Zone     string
}

// peerBackoff is how a peer that does not answer is left alone.
type peerBackoff struct {
	interval time.Duration
	until    time.Time
}

// Connection is the host's handle of a router's connection. The holder hands it back.
type Connection any

// Input is what a step takes in. All fields but Events are what is known at the step, not only what is new.
type Input struct {
	Configuration *configuration.Configuration // nil: there is none yet
	Table         shares.Table
	ConfirmedAt   time.Time // newest moment of which this instance knows all that was acknowledged before; zero: of none
	Peers         []Peer
	Events        []Event // since the last step, in the order in which they happened
}

// Event is something that happened: one of RouterAsked, PeerMessageReceived, RecordWritten, CopyKept and
// ShutdownBegan.
type Event interface{ event() }

// RouterAsked is an event: a router asks for credit.
type RouterAsked struct {
	Connection Connection
	Request    *protocol.CreditRequest
}

// PeerMessageReceived is an event: a message of quota.go of package protocol came from another instance.
type PeerMessageReceived struct{ Message protocol.PeerMessage }

// ShutdownBegan is an event: this process is about to end. It issues nothing any more, and writes a last record.
type ShutdownBegan struct{}

func (RouterAsked) event()         {}
func (PeerMessageReceived) event() {}
func (RecordWritten) event()       {}
func (ShutdownBegan) event()       {}
func (CopyKept) event()            {}

// Output is what the host carries out.
type Output struct {
	RouterGrants []RouterGrant
	PeerMessages []PeerMessage
	Record       *Record       // to be written and synced, then RecordWritten; nil: none
	Copies       []*RecordCopy // to be written and synced each, then CopyKept
	WakeAt       time.Time     // when the next step is due, if nothing happens before; zero: never
}

// RouterGrant is an answer to a router.
type RouterGrant struct {
	Connection Connection
	Grant      *protocol.CreditGrant
}

// PeerMessage is a message for another instance.
type PeerMessage struct {
	Address string
	Message protocol.PeerMessage
}

// sweepInterval is how often tenants without issues are forgotten.
const sweepInterval = 5 * time.Second

// New returns a holder that goes on from what an earlier process of this instance left.
func New(config Config, now time.Time, former Former) *Holder {
	config = config.withDefaults()
	earlier, fresh := former.Record, former.Fresh
	if earlier != nil && earlier.Identity != config.Identity {
		earlier, fresh = nil, false
	}
	h := &Holder{
		config:       config,
		started:      now,
		ownership:    newOwnership(config, now, earlier, fresh),
		registered:   make(map[string]time.Time),
		ended:        make(map[string]bool),
		copies:       make(map[string]*RecordCopy),
		copiesLost:   former.CopiesLost,
		limits:       make(map[string]Limit),
		peerBackoffs: make(map[string]peerBackoff),
		tenants:      make(map[string]*tenant),
		sweptAt:      now,
	}
	for _, kept := range former.Copies {
		h.copies[kept.Record.Identity] = kept
	}
	if earlier == nil && !fresh {
		h.recorder.sequence = unknownSequence
	}
	if earlier != nil {
		for _, holder := range earlier.Ended {
			h.ended[holder] = true
		}
		// A record after this one may have reached peers and not the disk.
		h.recorder.sequence = earlier.Sequence + recordSequenceGap
		for _, recorded := range earlier.Tenants {
			h.tenant(now, recorded.Name).issued.restore(recorded.Issued, recorded.Headroom)
		}
	}
	return h
}

// Step takes in what is known and what happened. Times of successive steps must not decrease.
func (h *Holder) Step(now time.Time, in Input) Output {
	h.out = Output{}
	h.observe(now, in)
	for _, event := range in.Events {
		h.handle(now, event)
	}
	h.continueTakeovers(now)
	h.failUnacknowledgedRecord(now)
	h.resumeAsks(now, func(a *ask) bool { return !now.Before(a.stageUntil) })
	h.sweep(now)
	h.beginRecord(now)
	h.out.WakeAt = h.wakeAt()
	return h.out
}

func (h *Holder) handle(now time.Time, event Event) {
	switch event := event.(type) {
	case RouterAsked:
		h.routerAsked(now, event)
	case PeerMessageReceived:
		switch message := event.Message.(type) {
		case *protocol.PeerCreditRequest:
			h.peerAsked(now, message)
		case *protocol.PeerCreditGrant:
			h.peerGranted(now, message)
		case *protocol.PeerCreditReturn:
			h.peerReturned(now, message)
		case *protocol.PeerRecord:
			h.peerRecorded(message)
		case *protocol.PeerRecordAck:
			h.recordAcknowledged(now, message)
		case *protocol.PeerCopyRequest:
			h.peerAskedForCopy(now, message)
		case *protocol.PeerCopy:
			h.copyReceived(now, message)
		}
	case RecordWritten:
		h.recordWritten(now, event)
	case CopyKept:
		h.copyKept(now, event)
	case ShutdownBegan:
		h.shutDown(now)
	}
}

// shutDown ends all issues and makes the last record. One that is being written is superseded: its headroom is not used.
func (h *Holder) shutDown(now time.Time) {
	if h.stopping {
		return
	}
	h.stopping = true
	h.out.Record = h.newRecord(now, true)
	h.resumeAsks(now, func(*ask) bool { return true })
}

// observe takes in configuration, shares and peers where they changed.
func (h *Holder) observe(now time.Time, in Input) {
	h.confirmedAt = in.ConfirmedAt
	if in.Configuration != h.configuration {
		h.configure(in.Configuration)
	}
	h.observePeers(in.Peers)
	h.observeTable(now, in.Table)
}

func (h *Holder) configure(newest *configuration.Configuration) {
	h.configuration, h.configured = newest, newest != nil
	clear(h.limits)
	if newest == nil {
		return
	}
	for i := range newest.Tenants {
		if settings := &newest.Tenants[i]; settings.RatePerSecond > 0 {
			h.limits[settings.Name] = Limit{RatePerSecond: settings.RatePerSecond, Burst: settings.Burst}
		}
	}
}

func (h *Holder) observePeers(peers []Peer) {
	h.nearPeers, h.farPeers = h.nearPeers[:0], h.farPeers[:0]
	for _, peer := range peers {
		switch {
		case peer.Address == h.config.Address:
		case peer.Zone == h.config.Zone:
			h.nearPeers = append(h.nearPeers, peer)
		default:
			h.farPeers = append(h.farPeers, peer)
		}
	}
	slices.SortFunc(h.nearPeers, comparePeers)
	slices.SortFunc(h.farPeers, comparePeers)
}

func comparePeers(a, b Peer) int { return strings.Compare(a.Address, b.Address) }

// part returns what this holder may issue of a limit in an interval.
func (h *Holder) part(now time.Time, limit Limit) float64 {
	if h.stopping || h.confirmedAt.IsZero() || now.Sub(h.confirmedAt) > h.config.HolderLease {
		return 0
	}
	return h.config.issuable(limit) * h.ownership.usable(now)
}

// tenant returns a tenant's state with its count at the present.
func (h *Holder) tenant(now time.Time, name string) *tenant {
	cell := int64(now.Sub(h.started) / cellLength)
	t := h.tenants[name]
	if t == nil {
		t = &tenant{name: name, issued: newIssuance(h.config.interval(), cell)}
		h.tenants[name] = t
	}
	t.issued.advance(cell)
	return t
}

// sweep forgets the tenants of which nothing was issued in the interval.
func (h *Holder) sweep(now time.Time) {
	if now.Sub(h.sweptAt) < sweepInterval {
		return
	}
	h.sweptAt = now
	for name := range h.tenants {
		if t := h.tenant(now, name); t.issued.sum <= 0 && t.record.awaited == 0 && !t.record.writing && !h.hasAsk(name) {
			delete(h.tenants, name)
		}
	}
}

func (h *Holder) hasAsk(tenant string) bool {
	return slices.ContainsFunc(h.asks, func(a *ask) bool { return a.tenant == tenant })
}

// send sends a message to another instance.
func (h *Holder) send(address string, message protocol.PeerMessage) {
	h.out.PeerMessages = append(h.out.PeerMessages, PeerMessage{Address: address, Message: message})
}

// wakeAt is when the next ask, record or request for a copy is due.
func (h *Holder) wakeAt() time.Time {
	wake := h.recordDueAt()
	for _, t := range h.takeovers {
		if retry := t.askedAt.Add(takeoverRetryInterval); wake.IsZero() || retry.Before(wake) {
			wake = retry
		}
	}
	if len(h.table.Former) > h.recorder.ended { // so that the record says when their leases have ended
		if check := h.sweptAt.Add(sweepInterval); wake.IsZero() || check.Before(wake) {
			wake = check
		}
	}
	for _, a := range h.asks {
		if wake.IsZero() || a.stageUntil.Before(wake) {
			wake = a.stageUntil
		}
	}
	return wake
}

func (h *Holder) origin(now time.Time) protocol.Origin {
	return protocol.Origin{Address: h.config.Address, Incarnation: h.config.Incarnation, SentAt: now.Sub(h.started)}
}

// TenantView is one limit as this holder knows it.
type TenantView struct {
	Tenant    string
	Limit     Limit
	Allowance float64 // of a window, by the rule
	Part      float64 // that this holder may issue in an interval
	Issued    float64 // by this holder in the newest interval
	Granted   float64 // by this holder since its process started
	Denied    float64 // that it was asked for and could not issue or gather, since then
	Waiting   int     // asks that wait now
}

// View is this holder's state, for people.
type View struct {
	Usable  float64 // fraction of each limit that it may issue now
	Tenants []TenantView
}

// View returns the state of all limits by tenant.
func (h *Holder) View(now time.Time) View {
	view := View{Usable: h.ownership.usable(now)}
	for name, limit := range h.limits {
		row := TenantView{Tenant: name, Limit: limit, Allowance: h.config.windowAllowance(limit), Part: h.part(now, limit)}
		if t, known := h.tenants[name]; known {
			t.issued.advance(int64(now.Sub(h.started) / cellLength))
			row.Issued, row.Granted, row.Denied = math.Max(0, t.issued.sum), t.granted, t.denied
		}
		for _, a := range h.asks {
			if a.tenant == name {
				row.Waiting++
			}
		}
		view.Tenants = append(view.Tenants, row)
	}
	slices.SortFunc(view.Tenants, func(a, b TenantView) int { return strings.Compare(a.Tenant, b.Tenant) })
	return view
}
