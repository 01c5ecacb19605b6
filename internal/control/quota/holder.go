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

// Holder issues credit for the shares of this instance. It is a pure state machine and not safe for concurrent use.
type Holder struct {
	config    Config
	startedAt time.Time
	ownership ownership
	recorder  recorder
	stopping  bool

	configuration      *configuration.Configuration // that the limits are from; nil: none yet
	configured         bool                         // there is a configuration
	limits             map[string]Limit             // by tenant; tenants without a limit are not listed
	table              shares.Table                 // that was last applied to ownership
	hasTable           bool
	confirmedAt        time.Time            // everything that was acknowledged before is applied here
	lastRegisteredAt   map[string]time.Time // when each holder was last listed in a table, by identity
	takeovers          []*takeover
	expiredBeforeStart map[string]bool        // former holders that an earlier process recorded as expired
	copies             map[string]*RecordCopy // newest records of other holders, by identity
	copiesUnreadable   bool                   // see PersistedState.CopiesUnreadable
	inheritances       []*inheritance

	nearPeers, farPeers []Peer                 // in this holder's zone and in other zones, sorted by address
	peerBackoffs        map[string]peerBackoff // peers that did not answer in time, by address

	tenants         map[string]*tenant // those with recently issued credit or requests, by name
	requests        []*creditRequest   // not answered yet, in order of arrival
	lastPeerRequest uint64             // number of the newest request to a peer
	lastSweepAt     time.Time          // see sweepInterval

	output Output // of the current step
}

// Peer is another instance that may own shares.
type Peer struct {
	Identity string // stored on its disk
	Address  string // of its transport listener
	Zone     string
}

// peerBackoff is the backoff after the timeouts of a peer. No requests are sent to it before until.
type peerBackoff struct {
	interval time.Duration
	until    time.Time
}

// Connection is the host's handle of a router's connection. The holder only returns it in RouterGrant.
type Connection any

// Input is the input of a step. All fields except Events describe the current state, not changes.
type Input struct {
	Configuration *configuration.Configuration // nil: none yet
	Table         shares.Table
	ConfirmedAt   time.Time // everything that was acknowledged before this time is applied here; zero: not confirmed yet
	Peers         []Peer
	Events        []Event // since the last step, in order of occurrence
}

// Event is one of RouterRequestReceived, PeerMessageReceived, RecordWritten, CopyWritten and ShutdownBegan.
type Event interface{ event() }

// RouterRequestReceived is an event: a router requests credit.
type RouterRequestReceived struct {
	Connection Connection
	Request    *protocol.CreditRequest
}

// PeerMessageReceived is an event: another instance sent a message of protocol/quota.go.
type PeerMessageReceived struct{ Message protocol.PeerMessage }

// ShutdownBegan is an event: the process is about to end. The holder stops issuing credit and makes its last record.
type ShutdownBegan struct{}

func (RouterRequestReceived) event() {}
func (PeerMessageReceived) event()   {}
func (RecordWritten) event()         {}
func (ShutdownBegan) event()         {}
func (CopyWritten) event()           {}

// Output is what the host has to execute.
type Output struct {
	RouterGrants []RouterGrant
	PeerMessages []PeerMessage
	Record       *Record       // to be written and synced, and then reported by RecordWritten; nil: none
	Copies       []*RecordCopy // each to be written and synced, and then reported by CopyWritten
	WakeAt       time.Time     // when the next step is due if no event occurs before; zero: never
}

// RouterGrant is an answer to a router.
type RouterGrant struct {
	Connection Connection
	Grant      *protocol.CreditGrant
}

// PeerMessage is a message to another instance.
type PeerMessage struct {
	Address string
	Message protocol.PeerMessage
}

// sweepInterval is the interval between removals of tenants without recently issued credit.
const sweepInterval = 5 * time.Second

// New returns a holder that continues from the state that an earlier process of this instance persisted.
func New(config Config, now time.Time, persisted PersistedState) *Holder {
	config = config.withDefaults()
	previousRecord, diskEmpty := persisted.Record, persisted.DiskEmpty
	if previousRecord != nil && previousRecord.Identity != config.Identity {
		previousRecord, diskEmpty = nil, false
	}
	h := &Holder{
		config:             config,
		startedAt:          now,
		ownership:          newOwnership(config, now, previousRecord, diskEmpty),
		lastRegisteredAt:   make(map[string]time.Time),
		expiredBeforeStart: make(map[string]bool),
		copies:             make(map[string]*RecordCopy),
		copiesUnreadable:   persisted.CopiesUnreadable,
		limits:             make(map[string]Limit),
		peerBackoffs:       make(map[string]peerBackoff),
		tenants:            make(map[string]*tenant),
		lastSweepAt:        now,
	}
	for _, stored := range persisted.Copies {
		h.copies[stored.Record.Identity] = stored
	}
	if previousRecord == nil && !diskEmpty {
		h.recorder.sequence = unknownSequence
	}
	if previousRecord != nil {
		for _, holder := range previousRecord.ExpiredHolders {
			h.expiredBeforeStart[holder] = true
		}
		// A later record may have reached peers without reaching the disk.
		h.recorder.sequence = previousRecord.Sequence + recordSequenceGap
		for _, recorded := range previousRecord.Tenants {
			h.tenant(now, recorded.Name).issued.restore(recorded.Issued, recorded.Headroom, 0)
		}
		for _, recorded := range previousRecord.Inherited { // which the recorded tenants include
			h.inherit(now, recorded.Name, float64(recorded.Amount), now.Add(recordValidity))
		}
	}
	return h
}

// Step processes the input and returns what the host has to execute. The time must not decrease between steps.
func (h *Holder) Step(now time.Time, in Input) Output {
	h.output = Output{}
	h.observe(now, in)
	h.carryInheritances(now)
	for _, event := range in.Events {
		h.handle(now, event)
	}
	h.continueTakeovers(now)
	h.abandonUnacknowledgedRecord(now)
	h.resumeRequests(now, func(r *creditRequest) bool { return !now.Before(r.stageDeadline) })
	h.sweep(now)
	h.startRecord(now)
	h.output.WakeAt = h.wakeAt()
	return h.output
}

func (h *Holder) handle(now time.Time, event Event) {
	switch event := event.(type) {
	case RouterRequestReceived:
		h.routerRequestReceived(now, event)
	case PeerMessageReceived:
		switch message := event.Message.(type) {
		case *protocol.PeerCreditRequest:
			h.peerRequestReceived(now, message)
		case *protocol.PeerCreditGrant:
			h.peerGrantReceived(now, message)
		case *protocol.PeerCreditReturn:
			h.peerReturnReceived(now, message)
		case *protocol.PeerRecord:
			h.peerRecordReceived(now, message)
		case *protocol.PeerRecordAck:
			h.recordAcknowledged(now, message)
		case *protocol.PeerCopyRequest:
			h.copyRequestReceived(now, message)
		case *protocol.PeerCopy:
			h.copyReceived(now, message)
		}
	case RecordWritten:
		h.recordWritten(now, event)
	case CopyWritten:
		h.copyWritten(now, event)
	case ShutdownBegan:
		h.shutDown(now)
	}
}

// shutDown stops issuing credit and makes the last record. It supersedes a record that is being written, whose headroom is then
// not used.
func (h *Holder) shutDown(now time.Time) {
	if h.stopping {
		return
	}
	h.stopping = true
	h.output.Record = h.newRecord(now, true)
	h.resumeRequests(now, func(*creditRequest) bool { return true })
}

// observe updates the configuration, the peers and the table of shares.
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

// observePeers groups the peers by zone and sorts them.
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

// localLimit returns the amount that this holder may issue of a limit in an issuance interval.
func (h *Holder) localLimit(now time.Time, limit Limit) float64 {
	if h.stopping || h.confirmedAt.IsZero() || now.Sub(h.confirmedAt) > h.config.HolderLease {
		return 0
	}
	return h.config.issuable(limit) * h.ownership.usableFraction(now)
}

// tenant returns a tenant's state with its issuance advanced to the current time.
func (h *Holder) tenant(now time.Time, name string) *tenant {
	cell := int64(now.Sub(h.startedAt) / cellLength)
	t := h.tenants[name]
	if t == nil {
		t = &tenant{name: name, issued: newIssuance(h.config.issuanceInterval(), cell)}
		h.tenants[name] = t
	}
	t.issued.advance(cell)
	return t
}

// sweep removes the tenants without issued credit in the interval.
func (h *Holder) sweep(now time.Time) {
	if now.Sub(h.lastSweepAt) < sweepInterval {
		return
	}
	h.lastSweepAt = now
	for name := range h.tenants {
		if t := h.tenant(now, name); t.issued.sum <= 0 && t.headroom.awaitedAmount == 0 && !t.headroom.writing && !h.hasRequest(name) {
			delete(h.tenants, name)
		}
	}
}

func (h *Holder) hasRequest(tenant string) bool {
	return slices.ContainsFunc(h.requests, func(r *creditRequest) bool { return r.tenant == tenant })
}

// send adds a message to another instance to the output.
func (h *Holder) send(address string, message protocol.PeerMessage) {
	h.output.PeerMessages = append(h.output.PeerMessages, PeerMessage{Address: address, Message: message})
}

// wakeAt returns when the next step is due for a request, a record, a takeover or the expiry of a former holder's lease.
func (h *Holder) wakeAt() time.Time {
	wake := h.recordDueAt()
	for _, t := range h.takeovers {
		if retry := t.requestedAt.Add(takeoverRetryInterval); wake.IsZero() || retry.Before(wake) {
			wake = retry
		}
	}
	if len(h.table.FormerHolders) > h.recorder.expiredHolderCount { // the next record lists those whose leases have ended
		if check := h.lastSweepAt.Add(sweepInterval); wake.IsZero() || check.Before(wake) {
			wake = check
		}
	}
	for _, i := range h.inheritances {
		if wake.IsZero() || i.until.Before(wake) {
			wake = i.until
		}
	}
	for _, request := range h.requests {
		if wake.IsZero() || request.stageDeadline.Before(wake) {
			wake = request.stageDeadline
		}
	}
	return wake
}

// origin identifies this process and the time of sending in messages to peers.
func (h *Holder) origin(now time.Time) protocol.Origin {
	return protocol.Origin{Address: h.config.Address, Incarnation: h.config.Incarnation, SentAt: now.Sub(h.startedAt)}
}

// TenantView describes one limit at this holder, for operators.
type TenantView struct {
	Tenant     string
	Limit      Limit
	Allowance  float64 // of a window, by the rule QUOTA
	LocalLimit float64 // that this holder may issue in an issuance interval
	Issued     float64 // by this holder in the newest issuance interval
	Granted    float64 // by this holder since its process started
	Denied     float64 // requested here and granted neither by this holder nor by peers, since then
	Waiting    int     // requests for credit that are not answered yet
}

// View is the state of this holder, for operators.
type View struct {
	Usable  float64      // fraction of each limit for which it may issue credit now
	Tenants []TenantView // by name
}

// View returns the state of all limits, sorted by tenant.
func (h *Holder) View(now time.Time) View {
	view := View{Usable: h.ownership.usableFraction(now)}
	for name, limit := range h.limits {
		row := TenantView{Tenant: name, Limit: limit, Allowance: h.config.windowAllowance(limit), LocalLimit: h.localLimit(now, limit)}
		if t, known := h.tenants[name]; known {
			t.issued.advance(int64(now.Sub(h.startedAt) / cellLength))
			row.Issued, row.Granted, row.Denied = math.Max(0, t.issued.sum), t.granted, t.denied
		}
		for _, request := range h.requests {
			if request.tenant == name {
				row.Waiting++
			}
		}
		view.Tenants = append(view.Tenants, row)
	}
	slices.SortFunc(view.Tenants, func(a, b TenantView) int { return strings.Compare(a.Tenant, b.Tenant) })
	return view
}
