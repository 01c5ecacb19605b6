// Package rule decides which undeliverable messages ("dead letters") may be sent again, when, how many at
// once, and which give way when the store is full. It is pure: no clock, file, goroutine or log; time
// and chance come in as arguments.
//
// The invariant: no dead letter may take effect more often than its class allows. A single_shot that may
// have run is never sent again, by anybody; a guarded one that may have run goes only to where its
// repeat is dropped, and only while it is. TestAllowance and TestNeverBeyondAllowance hold it.
package rule

import (
	"cmp"
	"time"

	"raventrestle"
)

// State is what has become of a dead letter.
type State uint8

const (
	Held      State = iota // kept, may be sent again if the rule says so
	Out                    // being sent again; the journal answers for it
	Delivered              // a resend was delivered
	Void                   // an endpoint said that the message is over
	Discarded              // by an operator
)

// String is the word that operators see.
func (s State) String() string {
	return [...]string{"held", "out", "delivered", "void", "discarded"}[min(s, Discarded)]
}

// Settled says that nothing more will happen to the dead letter.
func (s State) Settled() bool { return s >= Delivered }

// Facts are what the rule needs to know of a dead letter.
type Facts struct {
	State     State
	Effect    raventrestle.Idempotency
	Group     raventrestle.DedupScope
	Window    time.Duration // how long repeats of a guarded dead letter are dropped
	MayRun    bool          // a try may have run
	RanPeer   string        // and the first such went there
	RanFloor  string
	RanAt     time.Time
	Failed    time.Time // when the courier gave the message up
	Resends   int       // resends that made at least one try
	NotBefore time.Time // it rests until then
	Asked     bool      // an operator has asked for it
}

// Place is where the list has endpoints of a destination that take new work.
type Place struct{ Peer, Floor string }

// Reason says why a dead letter may or may not be sent again.
type Reason string

const (
	Allowed     Reason = "allowed"
	MayHaveRun  Reason = "may_have_run"
	WindowOver  Reason = "window_over"
	PlaceGone   Reason = "place_gone"
	ResendsUsed Reason = "resends_used"
	TooOld      Reason = "too_old"
	Resting     Reason = "resting"
	BeingSent   Reason = "being_sent"
	HasEnd      Reason = "has_end"
	Unlisted    Reason = "unlisted"
	NotSeen     Reason = "not_seen_to_deliver"
	Paced       Reason = "paced"
	ClassGone   Reason = "class_gone"
	Manual      Reason = "manual_only"
)

var sentences = map[Reason]string{
	Allowed:     "may be sent again",
	MayHaveRun:  "must never be sent again: a try may have taken effect, and the class must not take effect twice",
	WindowOver:  "must never be sent again: a try may have taken effect, and the time in which a repeat is dropped is over",
	PlaceGone:   "a try may have taken effect, and no endpoint is listed where its repeat would be dropped",
	ResendsUsed: "has had all its resends; an operator may ask for another",
	TooOld:      "is past its last date; an operator may ask for it",
	Resting:     "rests after its last failure",
	BeingSent:   "is being sent again now",
	HasEnd:      "has its end already",
	Unlisted:    "waits: the list names no endpoint of its destination",
	NotSeen:     "waits until its destination has been seen to deliver; an operator may ask for it",
	Paced:       "waits for its turn at the destination's pace",
	ClassGone:   "its class is no longer in the configuration",
	Manual:      "automatic resending is off; an operator may ask for it",
}

// Sentence explains the reason to an operator.
func (r Reason) Sentence() string { return cmp.Or(sentences[r], string(r)) }

// Reasons are all of them, for manuals and checks.
func Reasons() map[Reason]string { return sentences }

// Never says that no operator and no time can change the answer.
func (r Reason) Never() bool { return r == MayHaveRun || r == WindowOver || r == HasEnd }

// Limits are the operators' settings, in the rule's terms.
type Limits struct {
	Automatic             bool
	MaxResends            int
	LastDate              time.Duration // after its failure a dead letter is not sent again later than this
	FirstRate, MaxRate    float64       // calls a second to one destination, from this courier
	Cold                  time.Duration // a returning destination may be cold for so long
	Growth                float64
	Backoff, MaxBackoff   time.Duration
	Jitter                float64
	SlotsShare, HeldShare float64
	Lag                   time.Duration // a repeat may take so much longer on its way than the first try did
}

// Allowance says whether the class lets the dead letter be sent again at all, whoever asks.
func (l Limits) Allowance(f Facts, now time.Time) Reason {
	switch {
	case f.State.Settled():
		return HasEnd
	case !f.MayRun || f.Effect == raventrestle.Idempotent:
		return Allowed
	case f.Effect != raventrestle.Keyed:
		return MayHaveRun
	case !now.Before(f.RanAt.Add(f.Window - l.Lag)):
		return WindowOver
	}
	return Allowed
}

// Reaches says whether a repeat of the dead letter may go to the place.
func (f Facts) Reaches(p Place) bool {
	switch {
	case !f.MayRun || f.Effect == raventrestle.Idempotent:
		return true
	case f.Effect != raventrestle.Keyed:
		return false
	case f.Group == raventrestle.DedupZone:
		return p.Floor != "" && p.Floor == f.RanFloor
	case f.Group == raventrestle.DedupTarget:
		return p.Peer == f.RanPeer
	}
	return true
}

// May says whether the dead letter may be sent again now, as far as it alone decides: what its class
// allows goes before all else, then what an operator asked for, then the limits.
func (l Limits) May(f Facts, now time.Time, places []Place) Reason {
	if r := l.Allowance(f, now); r != Allowed {
		return r
	}
	reaches := false
	for _, p := range places {
		reaches = reaches || f.Reaches(p)
	}
	switch {
	case f.State == Out:
		return BeingSent
	case len(places) == 0:
		return Unlisted
	case !reaches:
		return PlaceGone
	case now.Before(f.NotBefore):
		return Resting
	case f.Asked:
		return Allowed
	case !l.Automatic:
		return Manual
	case f.Resends >= l.MaxResends:
		return ResendsUsed
	case now.After(f.Failed.Add(l.LastDate)):
		return TooOld
	}
	return Allowed
}

// Budget is how long a resend that begins now may take: the class's time, but no longer than a repeat
// is dropped.
func (l Limits) Budget(f Facts, deadline time.Duration, now time.Time) time.Duration {
	if f.MayRun && f.Effect == raventrestle.Keyed {
		return min(deadline, f.RanAt.Add(f.Window-l.Lag).Sub(now))
	}
	return deadline
}

// Rest is how long a dead letter or a destination rests after so many failures in a row, at least one.
// chance is drawn evenly from [0, 1).
func (l Limits) Rest(failures int, chance float64) time.Duration {
	d := float64(l.Backoff)
	for range min(failures, 64) - 1 {
		d = min(2*d, float64(l.MaxBackoff))
	}
	return time.Duration(d * (1 + l.Jitter*(2*chance-1)))
}

// lastChance is the least time in which a client can hand a message in once more and have it delivered.
const lastChance = 100 * time.Millisecond

// Lost says that a message which the module refuses is lost like one that failed: its client has no
// time left to submit it again. It becomes a dead letter, and the platform is told undeliverable in place
// of deferred, since a client that came again all the same would meet the dead letter's resend.
func Lost(left time.Duration) bool { return left < lastChance }

// Load is what the courier has to do.
type Load struct {
	Slots, Out     int // calls out at once: at most, and now
	MostHeld, Held int // messages: at most, and now, resends among them
	Resends        int // resends that the module has
}

// Room says how many resends may begin. They take a share of what the courier has, and only of what
// fresh messages leave: an eighth of the slots and a quarter of the room for messages stay free.
func (l Limits) Room(x Load) int {
	most := min(max(int(l.SlotsShare*float64(x.Slots)), 1), max(int(l.HeldShare*float64(x.MostHeld)), 1))
	free := min(x.Slots-x.Out-max(x.Slots/8, 1), x.MostHeld*3/4-x.Held)
	return max(min(most-x.Resends, free), 0)
}

// Crowded says how many resends that wait in the module have to leave it, so that no fresh message is
// turned away or given up for one.
func (l Limits) Crowded(x Load) int { return min(max(x.Held-x.MostHeld*3/4, 0), x.Resends) }

// Weight is what a dead letter counts for when the store is full.
type Weight struct {
	Settled bool
	Worth   float32
	Failed  int64 // Unix time in nanoseconds
}

// Before orders dead letters by which gives way first: those that have their end, then those of less
// worth, then the older.
func (w Weight) Before(o Weight) int {
	if w.Settled != o.Settled {
		if w.Settled {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(w.Worth, o.Worth), cmp.Compare(w.Failed, o.Failed))
}
