package subscription

import (
	"time"

	"raventrestle/internal/protocol"
)

const (
	markEvery  = 20 * time.Second // an instance that is followed gets a mark so often
	keepAnchor = 30 * time.Second // then a newer one takes its place, also a less exact one: clocks drift
	mostAnchor = time.Minute      // an instance that returns no mark for so long proves nothing
	mostMarks  = 8                // that are on their way on one connection
	mostAge    = time.Hour        // that is told apart from none
	driftPart  = 1000             // steady clocks run equally fast within one part in so many
)

// anchor ties an instance's steady clock to that of this process. A message that returns a mark left after the mark did:
// this gives for each message a moment of the own clock at which it had not left yet.
type anchor struct {
	sent   []sentMark // and not returned yet, oldest first
	sentAt time.Time  // of the newest mark, returned or not; zero: send one now
	known  bool
	zero   time.Time // on the own clock, no later than when the instance's clock read 0 but for drift
	setAt  time.Time // when the mark behind it was sent
}

type sentMark struct {
	number uint64
	at     time.Time
}

// mark notes that a mark is sent. Numbers rise.
func (a *anchor) mark(number uint64, now time.Time) {
	if len(a.sent) == mostMarks {
		a.sent = a.sent[1:]
	}
	a.sent = append(a.sent, sentMark{number: number, at: now})
	a.sentAt = now
}

// due says whether it is time for a new mark.
func (a *anchor) due(now time.Time) bool { return !now.Before(a.dueAt()) }

func (a *anchor) dueAt() time.Time {
	if a.sentAt.IsZero() {
		return a.sentAt
	}
	return a.sentAt.Add(markEvery)
}

// take reads a statement. It returns a moment, on the own clock, at which the instance had contact with a majority: a
// little before the true one, never after it. Ok is false where nothing is proved.
func (a *anchor) take(now time.Time, s protocol.FreshnessProof) (contact time.Time, ok bool) {
	a.returned(s)
	if !a.known || now.Sub(a.setAt) > mostAnchor {
		return time.Time{}, false
	}
	left := a.earliest(now).Add(s.SentAt)
	if left.After(now) { // the clocks run too differently, or one was set
		a.known, a.sentAt = false, time.Time{}
		return time.Time{}, false
	}
	if !s.HasMajorityContact || s.MajorityContactAge < 0 || s.MajorityContactAge > mostAge {
		return time.Time{}, false
	}
	return left.Add(-s.MajorityContactAge - s.MajorityContactAge/driftPart), true
}

// earliest is when the instance's clock read 0, or earlier: the clocks may have drifted since the mark.
func (a *anchor) earliest(now time.Time) time.Time {
	return a.zero.Add(-now.Sub(a.setAt) / driftPart)
}

// returned takes in the newest mark that has come back with a statement.
func (a *anchor) returned(s protocol.FreshnessProof) {
	newest := -1
	for i, mark := range a.sent {
		if mark.number <= s.EchoedSequence {
			newest = i
		}
	}
	if newest < 0 {
		return
	}
	at := a.sent[newest].at
	a.sent = a.sent[newest+1:]
	zero := at.Add(-s.SentAt)
	if a.known && zero.Before(a.earliest(at)) && at.Sub(a.setAt) < keepAnchor {
		return // it was longer on its way than the one before
	}
	a.known, a.zero, a.setAt = true, zero, at
}
