package lease

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// ID identifies a quota.
type ID struct{ Subject, Name string }

// Kind determines how a quota is spent.
type Kind uint8

// Kinds of quotas.
const (
	Rate  Kind = iota // uses per second
	Count             // uses in any Window
)

// Quota is one generation of an amount that the members divide.
type Quota struct {
	ID          ID
	Kind        Kind
	Size        float64 // uses per second, or uses in a Window
	Window      time.Duration
	Generation  uint64
	OldestInUse uint64 // oldest generation that any member may still use; 0 is the first
}

// Member is an entry of a List.
type Member struct {
	Name  string
	Epoch uint64 // smallest epoch that the member can have; 0 if unknown
}

// List is one version of the agreed list of members.
type List struct {
	Version        uint64
	OldestInUse    uint64   // oldest version that any member may still use; 0 is the first
	Members        []Member // sorted by name
	Decommissioned []string // guaranteed by the authority to run no more, or only with this version
}

// Config configures an Allocator. All members of a fleet need the same MaxLoanDuration, MaxClockDrift and ClockMargin.
type Config struct {
	Self               string
	MaxLoanDuration    time.Duration // default 2 s
	MaxClockDrift      float64       // maximum relative difference between the rates of two members' clocks; default 1/1000
	ClockMargin        time.Duration // added to the lender's end of a loan, for the resolution of the clocks; default 5 ms
	Burst              time.Duration // a rate's token bucket has the depth rights times Burst; default 100 ms
	ReservedFraction   float64       // fraction of its share that a member never lends; default 0.1
	MaxPendingRequests int           // per quota; default 4
	RequestTimeout     time.Duration // after it a pending request is given up; default 500 ms
	RetryBackoff       time.Duration // mean wait after an unsuccessful request; default 200 ms
	StateInterval      time.Duration // between two State messages; default 1 s
}

// Default returns a configuration for a fleet on one local network.
func Default(self string) Config {
	return Config{
		Self: self, MaxLoanDuration: 2 * time.Second, MaxClockDrift: 0.001, ClockMargin: 5 * time.Millisecond, Burst: 100 * time.Millisecond,
		ReservedFraction: 0.1, MaxPendingRequests: 4, RequestTimeout: 500 * time.Millisecond, RetryBackoff: 200 * time.Millisecond, StateInterval: time.Second,
	}
}

// Check reports all invalid fields at once. The messages contain shorter names of the fields, as these texts have to
// stay the same; the checks are in the order in which the fields are declared.
func (c Config) Check() error {
	var errs []error
	check := func(invalid bool, field, want string) {
		if invalid {
			errs = append(errs, fmt.Errorf("lease: %s: set it to %s", field, want))
		}
	}
	check(c.Self == "", "Self", "the member's name")
	check(c.MaxLoanDuration <= 0, "MaxLoan", "a time above 0")
	check(!(c.MaxClockDrift >= 0 && c.MaxClockDrift < 1), "Drift", "a fraction from 0 to below 1")
	check(c.ClockMargin < 0, "Fixed", "a time of at least 0")
	check(c.Burst < 0, "Burst", "a time of at least 0")
	check(!(c.ReservedFraction >= 0 && c.ReservedFraction <= 1), "Keep", "a fraction from 0 to 1")
	check(c.MaxPendingRequests < 1, "Asks", "at least 1")
	check(c.RequestTimeout <= 0 || c.RequestTimeout > c.MaxLoanDuration, "Patience", "a time above 0 and at most MaxLoan")
	check(c.RetryBackoff <= 0, "Backoff", "a time above 0")
	check(c.StateInterval <= 0, "Tell", "a time above 0")
	return errors.Join(errs...)
}

// LoanKey identifies a loan for the lender: the borrower, its epoch, and its number of the loan's first request.
type LoanKey struct {
	Borrower string
	Epoch    uint64
	Number   uint64
}

// Request asks for a fraction of the receiver's share, or for the renewal of a loan.
type Request struct {
	Quota    ID
	Number   uint64 // number of this request, counted by the borrower
	Loan     uint64 // number of the loan's first request; equal to Number for a new loan
	Fraction float64
	Duration time.Duration
}

// Grant answers a Request; a Fraction of 0 is a refusal.
type Grant struct {
	Quota    ID
	Number   uint64
	Loan     uint64
	Fraction float64
	Duration time.Duration
}

// Return ends a loan early.
type Return struct {
	Quota ID
	Loan  uint64
}

// QuotaStatus is the generation of a quota that a member uses. Idle is only a hint.
type QuotaStatus struct {
	Quota      ID
	Generation uint64
	Idle       float64 // fraction of its share that the member would lend
}

// State contains the versions that a member uses and thereby acknowledges. Other members may forward it.
type State struct {
	List   uint64
	Quotas []QuotaStatus
}

// Message is exchanged by members; exactly one of the pointers is set.
type Message struct {
	From, To           string // To is empty for a message to all members
	FromEpoch, ToEpoch uint64 // ToEpoch is 0 for State
	Request            *Request
	Grant              *Grant
	Return             *Return
	State              *State
}

// Outgoing is a message to send; if Durable, only after a snapshot is stored.
type Outgoing struct {
	Message
	Durable bool
}

// Event is an input of Step: a received message or a change of the member's own demand.
type Event struct {
	Message *Message
	Demand  *Demand
}

// Demand is how much of a quota the member would use now, in the quota's unit.
type Demand struct {
	Quota ID
	Want  float64
}

// peer is the state of another member.
type peer struct {
	epoch uint64
	list  uint64 // newest list that the member is known to use
}

// lentLoan is a loan on the lender's side.
type lentLoan struct {
	key         LoanKey
	lastRequest uint64
	fraction    float64
	end         time.Duration // on the lender's clock, including the margin
}

// borrowedLoan is a loan on the borrower's side.
type borrowedLoan struct {
	from        string
	epoch       uint64
	number      uint64
	fraction    float64
	requestedAt time.Duration
	end         time.Duration
	renewing    bool
}

// pendingRequest is a request without an answer yet.
type pendingRequest struct {
	to          string
	epoch       uint64
	number      uint64
	loan        uint64
	fraction    float64
	requestedAt time.Duration
	duration    time.Duration
}

// peerStatus is what one peer last reported for one quota.
type peerStatus struct {
	generation uint64
	idle       float64
}

// windowSlots is the number of slots into which the window of a Count is divided.
const windowSlots = 16

// quotaState is the Allocator's state of one quota.
type quotaState struct {
	Quota
	sizes         map[uint64]float64 // by generation, from the oldest in use on
	minSize       float64            // smallest size of all generations in use
	minGeneration uint64             // an older generation permits no use
	demand        float64
	peers         map[string]peerStatus
	lent          []lentLoan
	borrowed      []borrowedLoan
	pending       []pendingRequest
	requestAfter  time.Duration
	usableFrom    time.Duration // a Count may be used from then on: what a previous incarnation used is unknown
	tokens        float64
	filledAt      time.Duration
	used          [windowSlots + 1]float64 // uses by slot of the window
	slot          int64
	cappedShares  map[string]float64 // of a Count: maximum shares until cappedUntil, by member
	cappedUntil   time.Duration
}

// disabledRules are rules that a test switches off, one at a time.
type disabledRules struct {
	durationFromReceipt, noMargin, duplicateGrant, startUsable, staleTime, ignorePeers, noWindowWait, applyEachVersion bool
}

// Allocator tracks the rights of one incarnation of a member. Use New or Restore.
type Allocator struct {
	cfg              Config
	epoch            uint64
	start            time.Duration
	usableFrom       time.Duration // no use before: the previous incarnation may have lent the share
	hasPredecessor   bool          // there was a previous incarnation
	lastStep         time.Duration
	nextStateAt      time.Duration
	stateChanged     bool // a version was added since the last State was sent
	recomputePending bool // versions were added that shares and oldest versions do not include yet: see recompute
	lastNumber       uint64
	newestList       uint64
	oldestList       uint64
	lists            map[uint64]List
	oldestInUse      uint64
	decommissioned   map[string]bool
	shares           map[string]float64 // by member: its fraction of a quota, the minimum over all lists in use
	sharesGrew       bool               // a share grew with a list after the first one
	sharesGrewAt     time.Duration      // when a share last grew
	peers            map[string]*peer
	quotas           map[ID]*quotaState
	sortedQuotas     []*quotaState
	disabled         disabledRules
}

// New returns the Allocator of a new incarnation. MayHaveLent means that a previous incarnation of this name may have
// run, and its snapshot is not available.
func New(cfg Config, epoch uint64, now time.Duration, mayHaveLent bool) (*Allocator, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	a := &Allocator{
		cfg: cfg, epoch: epoch, start: now, usableFrom: now, hasPredecessor: mayHaveLent, lastStep: now, nextStateAt: now,
		lists: map[uint64]List{}, decommissioned: map[string]bool{}, shares: map[string]float64{}, peers: map[string]*peer{}, quotas: map[ID]*quotaState{},
	}
	if mayHaveLent {
		a.usableFrom = now + a.lenderDuration(cfg.MaxLoanDuration)
	}
	return a, nil
}

// lenderDuration returns how long a lender waits until it takes back a loan of duration d.
func (a *Allocator) lenderDuration(d time.Duration) time.Duration {
	if a.disabled.noMargin {
		return d
	}
	return a.withDrift(d) + a.cfg.ClockMargin
}

// withDrift returns a duration on this member's clock during which at least d passes on every other clock.
func (a *Allocator) withDrift(d time.Duration) time.Duration {
	return d + time.Duration(math.Ceil(float64(d)*a.cfg.MaxClockDrift))
}

// SetMembers adds a version of the member list; an older version than the newest one fills a gap. The version takes
// effect with the next call of a method other than SetMembers and SetQuota, so the order of versions does not matter.
func (a *Allocator) SetMembers(l List) error {
	if l.Version == 0 || l.OldestInUse > l.Version {
		return fmt.Errorf("lease: list version %d, oldest in use %d: want a version of at least 1 and an oldest one of at most that", l.Version, l.OldestInUse)
	}
	if !slices.IsSortedFunc(l.Members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) }) {
		return fmt.Errorf("lease: list version %d: want members sorted by name", l.Version)
	}
	for i, m := range l.Members {
		if m.Name == "" || i > 0 && m.Name == l.Members[i-1].Name {
			return fmt.Errorf("lease: list version %d: member %d: want a unique name that is not empty", l.Version, i)
		}
	}
	if l.Version < a.oldestList {
		return nil
	}
	if _, ok := a.lists[l.Version]; ok {
		return nil
	}
	l.Members, l.Decommissioned = slices.Clone(l.Members), slices.Clone(l.Decommissioned)
	a.lists[l.Version] = l
	if l.Version > a.newestList {
		a.newestList, a.stateChanged = l.Version, true
		clear(a.decommissioned)
		for _, name := range l.Decommissioned {
			a.decommissioned[name] = true
		}
	}
	a.oldestInUse = max(a.oldestInUse, l.OldestInUse, 1)
	for _, m := range l.Members {
		p := a.peerByName(m.Name)
		p.epoch = max(p.epoch, m.Epoch)
	}
	a.scheduleRecompute()
	return nil
}

func (a *Allocator) scheduleRecompute() {
	a.recomputePending = true
	if a.disabled.applyEachVersion {
		a.recompute(a.lastStep)
	}
}

// recompute updates shares and oldest versions after new versions were added. It must not run on each new version: an
// incarnation that lost its state is given several versions, from old ones on, and conclusions from only the first are
// wrong. For example, an older list may contain only this member, which would then ignore generations that a member of
// a newer list still uses; and an oldest version never decreases again (TestLostStateConsidersAllVersionsInAnyOrder).
func (a *Allocator) recompute(now time.Duration) {
	if !a.recomputePending {
		return
	}
	a.recomputePending = false
	a.recomputeShares(now)
	if a.newestList == 0 { // recomputeShares did nothing without a list
		for _, qs := range a.sortedQuotas {
			a.recomputeMinSize(qs)
		}
	}
}

func (a *Allocator) peerByName(name string) *peer {
	p := a.peers[name]
	if p == nil {
		p = &peer{}
		a.peers[name] = p
	}
	return p
}

// recomputeShares computes the oldest list in use and the share of every member.
func (a *Allocator) recomputeShares(now time.Duration) {
	if a.newestList == 0 {
		return
	}
	// Advance by one version at a time: the members of every list in between must have acknowledged it, and the members of
	// a missing list are unknown.
	a.oldestList = max(a.oldestList, a.oldestInUse)
	for a.oldestList < a.newestList {
		l, ok := a.lists[a.oldestList]
		if !ok {
			break
		}
		acknowledged := true
		for v := a.oldestList; v <= a.newestList && acknowledged; v++ {
			if v != a.oldestList {
				if l, ok = a.lists[v]; !ok {
					continue
				}
			}
			for _, m := range l.Members {
				if m.Name != a.cfg.Self && !a.decommissioned[m.Name] && a.peers[m.Name].list <= a.oldestList {
					acknowledged = false
					break
				}
			}
		}
		if !acknowledged && !a.disabled.ignorePeers {
			break
		}
		a.oldestList++
	}
	for v := range a.lists {
		if v < a.oldestList {
			delete(a.lists, v)
		}
	}
	wasExcluded, oldShares := a.shares[a.cfg.Self] == 0, a.shares
	a.shares = make(map[string]float64, len(oldShares))
	for _, m := range a.lists[a.newestList].Members {
		share := 1.0
		for v := a.oldestList; v <= a.newestList; v++ {
			l, ok := a.lists[v]
			if !ok || !l.contains(m.Name) {
				share = 0
				break
			}
			share = min(share, 1/float64(len(l.Members)))
		}
		a.shares[m.Name] = share
	}
	// A member that is missing from a list in the range is not counted by all others, so it uses nothing, neither borrowed
	// nor its own. When it is on all lists, the generations that the others had by then are its minimum.
	if a.shares[a.cfg.Self] == 0 {
		clear(a.shares)
	} else if wasExcluded {
		for _, qs := range a.sortedQuotas {
			for _, t := range qs.peers {
				qs.minGeneration = max(qs.minGeneration, t.generation)
			}
		}
	}
	a.capGrownShares(now, oldShares)
	listed := func(name string) bool {
		for _, l := range a.lists {
			if l.contains(name) {
				return true
			}
		}
		return false
	}
	for name := range a.peers { // drop the state of members that are on no list
		if !listed(name) {
			delete(a.peers, name)
			for _, qs := range a.sortedQuotas {
				delete(qs.peers, name)
			}
		}
	}
	for _, qs := range a.sortedQuotas {
		a.recomputeMinSize(qs)
	}
}

// capGrownShares delays the growth of a Count's shares by one window: the previous owners may have used them just now.
func (a *Allocator) capGrownShares(now time.Duration, oldShares map[string]float64) {
	if a.newestList == 1 { // no member had a share before
		return
	}
	grew := false
	for name, s := range a.shares {
		grew = grew || s > oldShares[name]
	}
	if grew {
		a.sharesGrew, a.sharesGrewAt = true, now
	}
	for _, qs := range a.sortedQuotas {
		if qs.Kind != Count {
			continue
		}
		caps := oldShares
		if now < qs.cappedUntil {
			caps = qs.cappedShares
		} else if !grew {
			continue
		}
		qs.cappedShares = make(map[string]float64, len(a.shares))
		for name, s := range a.shares {
			qs.cappedShares[name] = min(s, caps[name])
		}
		if grew {
			qs.cappedUntil = now + a.withDrift(qs.Window)
		}
	}
}

// share returns a member's current fraction of the quota.
func (a *Allocator) share(now time.Duration, qs *quotaState, name string) float64 {
	if qs.Kind == Count && now < qs.cappedUntil {
		return qs.cappedShares[name]
	}
	return a.shares[name]
}

func (l List) contains(name string) bool {
	_, ok := slices.BinarySearchFunc(l.Members, name, func(m Member, n string) int { return cmp.Compare(m.Name, n) })
	return ok
}

// SetQuota adds a generation of a quota; an older generation than the newest one fills a gap. Like a list, it takes
// effect with the next call of another method.
func (a *Allocator) SetQuota(now time.Duration, q Quota) error {
	switch {
	case q.Generation == 0 || q.OldestInUse > q.Generation:
		return fmt.Errorf("lease: %v: generation %d, oldest in use %d: want a generation of at least 1 and an oldest one of at most that",
			q.ID, q.Generation, q.OldestInUse)
	case !(q.Size >= 0) || math.IsInf(q.Size, 0):
		return fmt.Errorf("lease: %v: size %v: want a number of at least 0", q.ID, q.Size)
	case q.Kind > Count || q.Kind == Count && q.Window <= 0:
		return fmt.Errorf("lease: %v: kind %d, window %v: a count needs a window above 0", q.ID, q.Kind, q.Window)
	}
	q.OldestInUse = max(q.OldestInUse, 1)
	qs := a.quotas[q.ID]
	if qs == nil {
		qs = &quotaState{Quota: q, sizes: map[uint64]float64{}, peers: map[string]peerStatus{}, filledAt: now, usableFrom: a.start}
		if a.hasPredecessor && q.Kind == Count {
			qs.usableFrom += a.withDrift(q.Window)
		}
		if q.Kind == Count && a.sharesGrew {
			qs.cappedUntil = a.sharesGrewAt + a.withDrift(q.Window)
		}
		a.quotas[q.ID] = qs
		i, _ := slices.BinarySearchFunc(a.sortedQuotas, q.ID, func(qs *quotaState, id ID) int {
			return cmp.Or(cmp.Compare(qs.ID.Subject, id.Subject), cmp.Compare(qs.ID.Name, id.Name))
		})
		a.sortedQuotas = slices.Insert(a.sortedQuotas, i, qs)
		a.stateChanged = true
	}
	if q.Kind != qs.Kind || q.Window != qs.Window {
		return fmt.Errorf("lease: %v: kind and window can't change: use another ID", q.ID)
	}
	if _, ok := qs.sizes[q.Generation]; ok || q.Generation < qs.OldestInUse && q.Generation < qs.Generation {
		return nil
	}
	qs.sizes[q.Generation] = q.Size
	if q.Generation > qs.Generation {
		qs.Generation, qs.Size, a.stateChanged = q.Generation, q.Size, true
	}
	qs.OldestInUse = max(qs.OldestInUse, q.OldestInUse)
	a.scheduleRecompute()
	return nil
}

// RemoveQuota drops a quota, for example when its endpoint was removed. Do not call SetQuota with the same ID again
// while a loan of it may still run.
func (a *Allocator) RemoveQuota(id ID) {
	delete(a.quotas, id)
	a.sortedQuotas = slices.DeleteFunc(a.sortedQuotas, func(qs *quotaState) bool { return qs.ID == id })
}

// recomputeMinSize computes the oldest generation in use and the smallest size from there on.
func (a *Allocator) recomputeMinSize(qs *quotaState) {
	oldest := qs.Generation
	for v := a.oldestList; v <= a.newestList; v++ {
		if _, ok := a.lists[v]; !ok { // an unknown member has to acknowledge too
			oldest = qs.OldestInUse
			break
		}
	}
	for name := range a.peers {
		if name != a.cfg.Self && !a.decommissioned[name] {
			oldest = min(oldest, max(qs.OldestInUse, qs.peers[name].generation))
		}
	}
	if a.disabled.ignorePeers {
		oldest = qs.Generation
	}
	qs.OldestInUse = max(qs.OldestInUse, oldest)
	qs.minSize = qs.Size
	if qs.Generation < qs.minGeneration {
		qs.minSize = 0
	}
	for g := oldest; g <= qs.Generation; g++ {
		size, ok := qs.sizes[g]
		if !ok {
			size = 0
		}
		if qs.minSize = min(qs.minSize, size); qs.minSize == 0 {
			break
		}
	}
	for g := range qs.sizes {
		if g < oldest {
			delete(qs.sizes, g)
		}
	}
}

// lentFraction returns the fraction of the member's own share that is lent.
func (qs *quotaState) lentFraction(now time.Duration) (sum float64) {
	for i := range qs.lent {
		if now < qs.lent[i].end {
			sum += qs.lent[i].fraction
		}
	}
	return sum
}

func (a *Allocator) rights(now time.Duration, qs *quotaState) float64 {
	if a.disabled.staleTime {
		now = a.lastStep
	}
	r := 0.0
	if now >= a.usableFrom && now >= qs.usableFrom {
		r = max(0, 1-qs.lentFraction(now)) * a.share(now, qs, a.cfg.Self)
	}
	for i := range qs.borrowed {
		if l := &qs.borrowed[i]; now < l.end {
			r += l.fraction * a.share(now, qs, l.from)
		}
	}
	return r * qs.minSize
}

// Rights returns the amount of a quota that the member may use at this time, in the quota's unit.
func (a *Allocator) Rights(now time.Duration, id ID) float64 {
	qs := a.quotas[id]
	if qs == nil {
		return 0
	}
	a.recompute(now)
	return a.rights(now, qs)
}

// Use spends n uses of a quota if the current rights permit it. Read the clock directly before sending the request.
func (a *Allocator) Use(now time.Duration, id ID, n float64) bool {
	qs := a.quotas[id]
	if qs == nil || !(n >= 0) {
		return false
	}
	a.recompute(now)
	r := a.rights(now, qs)
	if qs.Kind == Count {
		qs.advanceWindow(now, a.withDrift(qs.Window))
		if qs.usedInWindow()+n > r*(1+1e-12) {
			return false
		}
		qs.used[qs.slot%int64(len(qs.used))] += n
		return true
	}
	a.refill(now, qs, r)
	if n > qs.tokens {
		return false
	}
	qs.tokens -= n
	return true
}

// refill updates the token bucket of a Rate for the rights r.
func (a *Allocator) refill(now time.Duration, qs *quotaState, r float64) {
	if now > qs.filledAt {
		qs.tokens += r * (now - qs.filledAt).Seconds()
		qs.filledAt = now
	}
	if r == 0 {
		qs.tokens = 0
	} else {
		qs.tokens = min(qs.tokens, max(1, r*a.cfg.Burst.Seconds()))
	}
}

// advanceWindow clears the slots that are older than the window. A use counts until one window after the end of its slot.
func (qs *quotaState) advanceWindow(now, window time.Duration) {
	width := max(1, (window+windowSlots-1)/windowSlots)
	newest := int64(now / width)
	if now < 0 && now%width != 0 {
		newest--
	}
	newest += 1 << 40 // a negative slot would be a negative index
	if newest <= qs.slot {
		return
	}
	for s := max(qs.slot+1, newest-windowSlots); s <= newest; s++ {
		qs.used[s%int64(len(qs.used))] = 0
	}
	qs.slot = newest
}

func (qs *quotaState) usedInWindow() (sum float64) {
	for _, n := range qs.used {
		sum += n
	}
	return sum
}
