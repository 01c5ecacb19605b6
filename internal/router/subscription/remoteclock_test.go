package subscription

import (
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

// A proof is effective once an echo has been returned, and its time is then computed from the instance's clock.
func TestMajorityContactOfAProof(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	proof := func(echo uint64, sentAt, age time.Duration) protocol.FreshnessProof {
		return protocol.FreshnessProof{Epoch: 1, HasMajorityContact: true, EchoedSequence: echo, SentAt: sentAt, MajorityContactAge: age}
	}
	const s = time.Second
	for name, c := range map[string]struct {
		echoes map[time.Duration]uint64 // sequence numbers, by the time at which they were sent
		now    time.Duration
		proof  protocol.FreshnessProof
		want   time.Duration // of the contact, without the allowance for drift
		proves bool
	}{
		"no echo has come back": {map[time.Duration]uint64{1 * s: 5}, 2 * s, proof(4, 70*s, 0), 0, false},
		"first echo":            {map[time.Duration]uint64{1 * s: 5}, 2 * s, proof(5, 70*s, s/2), s / 2, true},
		"late message":          {map[time.Duration]uint64{1 * s: 5}, 9 * s, proof(5, 70*s, 0), 1 * s, true},
		"no contact":            {map[time.Duration]uint64{1 * s: 5}, 2 * s, protocol.FreshnessProof{EchoedSequence: 5, SentAt: 70 * s}, 0, false},
		"negative age":          {map[time.Duration]uint64{1 * s: 5}, 2 * s, proof(5, 70*s, -s), 0, false},
		"implausible age":       {map[time.Duration]uint64{1 * s: 5}, 2 * s, proof(5, 70*s, 1<<62), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var clock remoteClock
			for sent, number := range c.echoes {
				clock.echoSent(number, at(sent))
			}
			contact, ok := clock.majorityContact(at(c.now), c.proof)
			if ok != c.proves {
				t.Fatalf("proves a contact: got %v, want %v", ok, c.proves)
			}
			allowance := c.now / maxDriftDivisor * 2
			if ok && (contact.After(at(c.want)) || contact.Before(at(c.want-allowance))) {
				t.Errorf("contact: got %v, want %v, or less by %v at most", contact.Sub(begin), c.want, allowance)
			}
		})
	}
}

// The time of a later message is computed from the instance's clock, not from the time of its arrival.
func TestRemoteClockPlacesMessagesByWhenTheyWereSent(t *testing.T) {
	begin := time.Unix(1000, 0)
	var clock remoteClock
	clock.echoSent(1, begin)
	clock.majorityContact(begin.Add(time.Millisecond), protocol.FreshnessProof{HasMajorityContact: true, EchoedSequence: 1, SentAt: time.Hour})
	late := protocol.FreshnessProof{HasMajorityContact: true, EchoedSequence: 1, SentAt: time.Hour + 2*time.Second, MajorityContactAge: time.Second / 2}
	contact, ok := clock.majorityContact(begin.Add(10*time.Second), late)
	if want := begin.Add(1500 * time.Millisecond); !ok || contact.After(want) || want.Sub(contact) > 20*time.Millisecond {
		t.Errorf("contact: got %v, %v; want %v, or less by 20 ms at most, and true", contact.Sub(begin), ok, want.Sub(begin))
	}
	ahead := protocol.FreshnessProof{HasMajorityContact: true, EchoedSequence: 1, SentAt: time.Hour + 20*time.Second}
	if _, ok := clock.majorityContact(begin.Add(11*time.Second), ahead); ok || clock.synced || !clock.echoDue(begin.Add(11*time.Second)) {
		t.Errorf("message from the future: got a contact %v, synced %v, want neither, and an echo due", ok, clock.synced)
	}
}

// A more exact sync is kept until clockSyncRefresh. Then a newer sync replaces it. After clockSyncTTL without a returned echo nothing
// is proved.
func TestRemoteClockIsSyncedAgain(t *testing.T) {
	begin := time.Unix(1000, 0)
	var clock remoteClock
	clock.echoSent(1, begin)
	clock.majorityContact(begin, protocol.FreshnessProof{HasMajorityContact: true, EchoedSequence: 1, SentAt: 0})
	clock.echoSent(2, begin.Add(clockSyncRefresh/2))
	clock.majorityContact(begin.Add(clockSyncRefresh/2+time.Second), protocol.FreshnessProof{HasMajorityContact: true, EchoedSequence: 2, SentAt: clockSyncRefresh/2 + time.Second})
	if !clock.zeroAt.Equal(begin) {
		t.Errorf("less exact sync: got a zero of %v, want that of the exact one, 0", clock.zeroAt.Sub(begin))
	}
	clock.echoSent(3, begin.Add(clockSyncRefresh))
	clock.majorityContact(begin.Add(clockSyncRefresh+time.Second), protocol.FreshnessProof{HasMajorityContact: true, EchoedSequence: 3, SentAt: clockSyncRefresh + time.Second})
	if clock.zeroAt.Equal(begin) {
		t.Error("newer sync: got the zero of the old one, want another")
	}
	end := begin.Add(clockSyncRefresh + clockSyncTTL)
	if _, ok := clock.majorityContact(end.Add(time.Second), protocol.FreshnessProof{HasMajorityContact: true, EchoedSequence: 3, SentAt: clockSyncRefresh + clockSyncTTL}); ok {
		t.Error("after clockSyncTTL: got a contact, want none without a newer echo")
	}
}
