// Package rule decides which undeliverable messages ("dead letters") may be sent again, when, how many at
// once, and which are evicted when the store is full. It uses no clock, file, goroutine or log; the time
// and random numbers are arguments.
//
// Invariant: no dead letter takes effect more often than its class allows. A single_shot message that may
// have run is never sent again, not even at an operator's request. A guarded message that may have run is
// sent again only to endpoints that drop its repeat, and only within the deduplication window.
// TestCheck and TestCheckNeverExceedsClass verify it.
package rule

import (
	"cmp"
	"time"

	"raventrestle"
)

// State is the state of a dead letter.
type State uint8

const (
	Held      State = iota // stored; may be sent again if Limits.Check allows it
	Resending              // being sent again; the journal is authoritative for it. Operators see "out"
	Delivered              // a resend was delivered
	Void                   // an endpoint answered that the message is no longer valid
	Discarded              // discarded by an operator
)

// String returns the name of the state that operators see.
func (s State) String() string {
	return [...]string{"held", "out", "delivered", "void", "discarded"}[min(s, Discarded)]
}

// Final reports whether the state cannot change any more.
func (s State) Final() bool { return s >= Delivered }

// Facts are the properties of a dead letter that decide about a resend.
type Facts struct {
	State        State
	Idempotency  raventrestle.Idempotency
	DedupScope   raventrestle.DedupScope
	DedupWindow  time.Duration // how long endpoints drop repeats of a guarded message
	MayHaveRun   bool          // an attempt may have run
	FirstRunPeer string        // peer of the first attempt that may have run
	FirstRunZone string
	FirstRunAt   time.Time
	FailedAt     time.Time // when the courier gave up the message
	Resends      int       // resends that made at least one attempt
	NotBefore    time.Time // end of the backoff
	Requested    bool      // an operator has requested a resend
}

// Endpoint is a listed endpoint of a destination that accepts new work.
type Endpoint struct{ Peer, Zone string }

// Reason tells why a dead letter may or may not be sent again. Its text is part of the operators' interface.
type Reason string

const (
	Allowed         Reason = "allowed"
	MayHaveRun      Reason = "may_have_run"
	DedupWindowOver Reason = "window_over"
	NoDedupEndpoint Reason = "place_gone"
	ResendsUsed     Reason = "resends_used"
	TooOld          Reason = "too_old"
	BackingOff      Reason = "resting"
	BeingSent       Reason = "being_sent"
	AlreadyFinal    Reason = "has_end"
	NoEndpoint      Reason = "unlisted"
	NoDeliverySeen  Reason = "not_seen_to_deliver"
	RateLimited     Reason = "paced"
	UnknownClass    Reason = "class_gone"
	ManualOnly      Reason = "manual_only"
)

var explanations = map[Reason]string{
	Allowed:         "may be sent again",
	MayHaveRun:      "must never be sent again: a try may have taken effect, and the class must not take effect twice",
	DedupWindowOver: "must never be sent again: a try may have taken effect, and the time in which a repeat is dropped is over",
	NoDedupEndpoint: "a try may have taken effect, and no endpoint is listed where its repeat would be dropped",
	ResendsUsed:     "has had all its resends; an operator may ask for another",
	TooOld:          "is past its last date; an operator may ask for it",
	BackingOff:      "rests after its last failure",
	BeingSent:       "is being sent again now",
	AlreadyFinal:    "has its end already",
	NoEndpoint:      "waits: the list names no endpoint of its destination",
	NoDeliverySeen:  "waits until its destination has been seen to deliver; an operator may ask for it",
	RateLimited:     "waits for its turn at the destination's pace",
	UnknownClass:    "its class is no longer in the configuration",
	ManualOnly:      "automatic resending is off; an operator may ask for it",
}

// Explanation returns the sentence that explains the reason to an operator.
func (r Reason) Explanation() string { return cmp.Or(explanations[r], string(r)) }

// Reasons returns the explanation of every reason, for manuals and for checks of operators' input.
func Reasons() map[Reason]string { return explanations }

// Permanent reports whether neither an operator nor the passing of time can change the decision.
func (r Reason) Permanent() bool { return r == MayHaveRun || r == DedupWindowOver || r == AlreadyFinal }

// Limits are the operators' settings for resends.
type Limits struct {
	Automatic             bool
	MaxResends            int
	MaxAge                time.Duration // since the failure; an older dead letter is not sent again automatically
	InitialRate, MaxRate  float64       // calls per second from this courier to one destination
	WarmUp                time.Duration // time for which a destination that has come back may be cold
	Growth                float64       // added to the rate per delivered resend, as a fraction of it
	Backoff, MaxBackoff   time.Duration
	Jitter                float64
	SlotsShare, HeldShare float64       // shares of the slots and of the held messages that resends may take
	DelayMargin           time.Duration // by how much longer a repeat may take to arrive than the first attempt took
}

// CheckClass reports whether the class allows a resend at all, whether automatic or requested.
func (l Limits) CheckClass(f Facts, now time.Time) Reason {
	switch {
	case f.State.Final():
		return AlreadyFinal
	case !f.MayHaveRun || f.Idempotency == raventrestle.Idempotent:
		return Allowed
	case f.Idempotency != raventrestle.Keyed:
		return MayHaveRun
	case !now.Before(f.FirstRunAt.Add(f.DedupWindow - l.DelayMargin)):
		return DedupWindowOver
	}
	return Allowed
}

// AllowedAt reports whether the dead letter may be sent again to the endpoint: either a repeat does no harm,
// or the endpoint drops it.
func (f Facts) AllowedAt(endpoint Endpoint) bool {
	switch {
	case !f.MayHaveRun || f.Idempotency == raventrestle.Idempotent:
		return true
	case f.Idempotency != raventrestle.Keyed:
		return false
	case f.DedupScope == raventrestle.DedupZone:
		return endpoint.Zone != "" && endpoint.Zone == f.FirstRunZone
	case f.DedupScope == raventrestle.DedupTarget:
		return endpoint.Peer == f.FirstRunPeer
	}
	return true
}

// Check reports whether the dead letter may be sent again now. It does not look at the load or at the
// destination's pacer. The class comes first, then the operator's request, then the limits.
func (l Limits) Check(f Facts, now time.Time, endpoints []Endpoint) Reason {
	if r := l.CheckClass(f, now); r != Allowed {
		return r
	}
	reachable := false
	for _, p := range endpoints {
		reachable = reachable || f.AllowedAt(p)
	}
	switch {
	case f.State == Resending:
		return BeingSent
	case len(endpoints) == 0:
		return NoEndpoint
	case !reachable:
		return NoDedupEndpoint
	case now.Before(f.NotBefore):
		return BackingOff
	case f.Requested:
		return Allowed
	case !l.Automatic:
		return ManualOnly
	case f.Resends >= l.MaxResends:
		return ResendsUsed
	case now.After(f.FailedAt.Add(l.MaxAge)):
		return TooOld
	}
	return Allowed
}

// ResendTimeout returns how long a resend that begins now may take: the class's deadline, but never beyond the
// time in which endpoints drop a repeat.
func (l Limits) ResendTimeout(f Facts, deadline time.Duration, now time.Time) time.Duration {
	if f.MayHaveRun && f.Idempotency == raventrestle.Keyed {
		return min(deadline, f.FirstRunAt.Add(f.DedupWindow-l.DelayMargin).Sub(now))
	}
	return deadline
}

// BackoffAfter returns the backoff of a dead letter or a destination after the given number of consecutive
// failures, at least 1. random is uniform in [0, 1) and sets the jitter.
func (l Limits) BackoffAfter(failures int, random float64) time.Duration {
	d := float64(l.Backoff)
	for range min(failures, 64) - 1 {
		d = min(2*d, float64(l.MaxBackoff))
	}
	return time.Duration(d * (1 + l.Jitter*(2*random-1)))
}

// minResubmitTime is the least time in which a client can submit a message again and have it delivered.
const minResubmitTime = 100 * time.Millisecond

// TooLateToResubmit reports whether the client of a message that the module refuses has too little time left
// to submit it again. The message is then lost like one that failed: it becomes a dead letter, and the
// notice to the platform says undeliverable instead of deferred, because a client that submitted it again
// would compete with the dead letter's resend.
func TooLateToResubmit(remaining time.Duration) bool { return remaining < minResubmitTime }

// Load is the current load of the courier.
type Load struct {
	Slots, InFlight int // concurrent calls: limit and current number
	MaxHeld, Held   int // messages in the module, resends included: limit and current number
	Resends         int // resends in the module
}

// ResendCapacity returns how many more resends may begin. Resends take at most their share of the courier's
// capacity and only what fresh messages leave: an eighth of the slots and a quarter of the messages stay free.
func (l Limits) ResendCapacity(load Load) int {
	maxResends := min(max(int(l.SlotsShare*float64(load.Slots)), 1), max(int(l.HeldShare*float64(load.MaxHeld)), 1))
	free := min(load.Slots-load.InFlight-max(load.Slots/8, 1), load.MaxHeld*3/4-load.Held)
	return max(min(maxResends-load.Resends, free), 0)
}

// ResendsToYield returns how many of the resends that wait in the module must leave it, so that no fresh message
// is rejected or given up because of a resend.
func (l Limits) ResendsToYield(load Load) int {
	return min(max(load.Held-load.MaxHeld*3/4, 0), load.Resends)
}

// EvictionRank decides the order in which dead letters are evicted when the store is full.
type EvictionRank struct {
	Final    bool
	Value    float32
	FailedAt int64 // Unix time in nanoseconds
}

// Compare sorts the dead letters to evict first to the front: those in a final state, then those of lower value,
// then the older ones.
func (w EvictionRank) Compare(o EvictionRank) int {
	if w.Final != o.Final {
		if w.Final {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(w.Value, o.Value), cmp.Compare(w.FailedAt, o.FailedAt))
}
