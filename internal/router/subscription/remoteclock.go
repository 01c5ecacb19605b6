package subscription

import (
	"time"

	"raventrestle/internal/protocol"
)

const (
	echoInterval      = 20 * time.Second // between echoes to the followed instance
	clockSyncRefresh  = 30 * time.Second // then a newer sync replaces the present one even if it is less exact: clocks drift
	clockSyncTTL      = time.Minute      // an instance that returns no echo for so long proves nothing
	maxEchoesInFlight = 8                // on one connection
	maxContactAge     = time.Hour        // an older contact counts as none
	maxDriftDivisor   = 1000             // steady clocks run equally fast within one part in so many
)

// remoteClock places an instance's steady clock on that of this process, by Cristian's algorithm with one bound only: a
// message that returns an echo left the instance after the echo was sent. So the instance's clock read SentAt no earlier than when
// the echo was sent, which gives for each later message a moment of the own clock at which it had not left yet.
//
// Invariant: a moment that it returns is never later than the true one, whatever the delays, as long as the clocks run
// equally fast within maxDriftDivisor. TestTrustNeverOutlastsTheMajority checks it.
type remoteClock struct {
	echoes     []sentEcho // not returned yet, oldest first
	lastEchoAt time.Time  // when the newest echo was sent, returned or not; zero: send one now
	synced     bool
	zero       time.Time // on the own clock, no later than when the instance's clock read 0, but for drift
	syncedAt   time.Time // when the echo that zero is known by was sent
}

// sentEcho is the sequence number of an echo and when it was sent.
type sentEcho struct {
	sequence uint64
	at       time.Time
}

// echoSent notes that an echo is sent. Sequence numbers rise.
func (c *remoteClock) echoSent(sequence uint64, now time.Time) {
	if len(c.echoes) == maxEchoesInFlight {
		c.echoes = c.echoes[1:]
	}
	c.echoes = append(c.echoes, sentEcho{sequence: sequence, at: now})
	c.lastEchoAt = now
}

// echoDue says whether it is time for a new echo.
func (c *remoteClock) echoDue(now time.Time) bool { return !now.Before(c.nextEchoAt()) }

func (c *remoteClock) nextEchoAt() time.Time {
	if c.lastEchoAt.IsZero() {
		return c.lastEchoAt
	}
	return c.lastEchoAt.Add(echoInterval)
}

// majorityContact reads a proof. It returns a moment, on the own clock, at which the instance had contact with a majority:
// a little before the true one, never after it. Ok is false if nothing is proved.
func (c *remoteClock) majorityContact(now time.Time, proof protocol.FreshnessProof) (contact time.Time, ok bool) {
	c.sync(proof)
	if !c.synced || now.Sub(c.syncedAt) > clockSyncTTL {
		return time.Time{}, false
	}
	sentAt := c.earliestZero(now).Add(proof.SentAt)
	if sentAt.After(now) { // the clocks run too differently, or one was set
		c.synced, c.lastEchoAt = false, time.Time{}
		return time.Time{}, false
	}
	if !proof.HasMajorityContact || proof.MajorityContactAge < 0 || proof.MajorityContactAge > maxContactAge {
		return time.Time{}, false
	}
	return sentAt.Add(-proof.MajorityContactAge - proof.MajorityContactAge/maxDriftDivisor), true
}

// earliestZero is when the instance's clock read 0, or earlier: the clocks may have drifted since the sync.
func (c *remoteClock) earliestZero(now time.Time) time.Time {
	return c.zero.Add(-now.Sub(c.syncedAt) / maxDriftDivisor)
}

// sync takes in the newest echo that has come back with a proof.
func (c *remoteClock) sync(proof protocol.FreshnessProof) {
	newest := -1
	for i, echo := range c.echoes {
		if echo.sequence <= proof.EchoedSequence {
			newest = i
		}
	}
	if newest < 0 {
		return
	}
	at := c.echoes[newest].at
	c.echoes = c.echoes[newest+1:]
	zero := at.Add(-proof.SentAt)
	if c.synced && zero.Before(c.earliestZero(at)) && at.Sub(c.syncedAt) < clockSyncRefresh {
		return // less exact than the present sync: the message or the echo took longer
	}
	c.synced, c.zero, c.syncedAt = true, zero, at
}
