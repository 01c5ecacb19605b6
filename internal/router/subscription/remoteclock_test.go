package subscription

import (
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

func TestAnchor(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	standing := func(mark uint64, clock, age time.Duration) protocol.FreshnessProof {
		return protocol.FreshnessProof{Epoch: 1, HasMajorityContact: true, EchoedSequence: mark, SentAt: clock, MajorityContactAge: age}
	}
	const s = time.Second
	for name, c := range map[string]struct {
		marks    map[time.Duration]uint64 // when they were sent
		now      time.Duration
		standing protocol.FreshnessProof
		want     time.Duration // of the contact, before what drift may amount to
		proves   bool
	}{
		"no mark has come back": {map[time.Duration]uint64{1 * s: 5}, 2 * s, standing(4, 70*s, 0), 0, false},
		"first mark":            {map[time.Duration]uint64{1 * s: 5}, 2 * s, standing(5, 70*s, s/2), s / 2, true},
		"late message":          {map[time.Duration]uint64{1 * s: 5}, 9 * s, standing(5, 70*s, 0), 1 * s, true},
		"no contact":            {map[time.Duration]uint64{1 * s: 5}, 2 * s, protocol.FreshnessProof{EchoedSequence: 5, SentAt: 70 * s}, 0, false},
		"negative age":          {map[time.Duration]uint64{1 * s: 5}, 2 * s, standing(5, 70*s, -s), 0, false},
		"endless age":           {map[time.Duration]uint64{1 * s: 5}, 2 * s, standing(5, 70*s, 1<<62), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var a remoteClock
			for sent, number := range c.marks {
				a.echoSent(number, at(sent))
			}
			contact, ok := a.majorityContact(at(c.now), c.standing)
			if ok != c.proves {
				t.Fatalf("proves %v", ok)
			}
			allowance := c.now / maxDriftDivisor * 2
			if ok && (contact.After(at(c.want)) || contact.Before(at(c.want-allowance))) {
				t.Errorf("contact %v, want %v", contact.Sub(begin), c.want)
			}
		})
	}
}

// What comes later is placed by the instance's clock, not by when it came.
func TestAnchorPlacesLaterMessages(t *testing.T) {
	begin := time.Unix(1000, 0)
	var a remoteClock
	a.echoSent(1, begin)
	a.majorityContact(begin.Add(time.Millisecond), protocol.FreshnessProof{HasMajorityContact: true, EchoedSequence: 1, SentAt: time.Hour})
	late := protocol.FreshnessProof{HasMajorityContact: true, EchoedSequence: 1, SentAt: time.Hour + 2*time.Second, MajorityContactAge: time.Second / 2}
	contact, ok := a.majorityContact(begin.Add(10*time.Second), late)
	if want := begin.Add(1500 * time.Millisecond); !ok || contact.After(want) || want.Sub(contact) > 20*time.Millisecond {
		t.Errorf("contact %v, %v", contact.Sub(begin), ok)
	}
	ahead := protocol.FreshnessProof{HasMajorityContact: true, EchoedSequence: 1, SentAt: time.Hour + 20*time.Second}
	if _, ok := a.majorityContact(begin.Add(11*time.Second), ahead); ok || a.synced || !a.echoDue(begin.Add(11*time.Second)) {
		t.Error("a message from the future proves something")
	}
}

// An exact anchor is kept for some time; then any newer one is taken, and without one nothing is proved.
func TestAnchorIsReplaced(t *testing.T) {
	begin := time.Unix(1000, 0)
	var a remoteClock
	a.echoSent(1, begin)
	a.majorityContact(begin, protocol.FreshnessProof{HasMajorityContact: true, EchoedSequence: 1, SentAt: 0})
	a.echoSent(2, begin.Add(clockSyncRefresh/2))
	a.majorityContact(begin.Add(clockSyncRefresh/2+time.Second), protocol.FreshnessProof{HasMajorityContact: true, EchoedSequence: 2, SentAt: clockSyncRefresh/2 + time.Second})
	if !a.zero.Equal(begin) {
		t.Errorf("an inexact anchor took the place of an exact one: %v", a.zero.Sub(begin))
	}
	a.echoSent(3, begin.Add(clockSyncRefresh))
	a.majorityContact(begin.Add(clockSyncRefresh+time.Second), protocol.FreshnessProof{HasMajorityContact: true, EchoedSequence: 3, SentAt: clockSyncRefresh + time.Second})
	if a.zero.Equal(begin) {
		t.Error("an old anchor was kept")
	}
	end := begin.Add(clockSyncRefresh + clockSyncTTL)
	if _, ok := a.majorityContact(end.Add(time.Second), protocol.FreshnessProof{HasMajorityContact: true, EchoedSequence: 3, SentAt: clockSyncRefresh + clockSyncTTL}); ok {
		t.Error("proof without a newer mark")
	}
}
