package subscription

import (
	"time"

	"raventrestle/internal/protocol"
)

const (
	echoInterval      = 20 * time.Second // between echoes to the followed instance
	clockSyncRefresh  = 30 * time.Second // after which a newer sync replaces a more exact one, because the clocks drift
	clockSyncTTL      = time.Minute      // without a returned echo for this long, an instance proves nothing
	maxEchoesInFlight = 8                // on one connection
	maxContactAge     = time.Hour        // older contacts are ignored
	maxDriftDivisor   = 1000             // clocks drift by at most 1/maxDriftDivisor
)

// remoteClock maps an instance's monotonic clock to that of this process. It uses Cristian's algorithm, but only one of its two
// bounds: a message that returns an echo left the instance after the echo was sent. So the instance's clock read SentAt no earlier
// than when the echo was sent. From this follows, for each later message, a time on the local clock before which it was not sent.
//
// Invariant: a returned time is never later than the actual one, whatever the delays, as long as the clocks drift by at most
// 1/maxDriftDivisor. TestTrustNeverOutlastsTheMajority checks this.
type remoteClock struct {
	echoes     []sentEcho // not returned yet, oldest first
	lastEchoAt time.Time  // when the newest echo was sent, whether it has been returned or not; zero: an echo is due
	synced     bool
	zeroAt     time.Time // on the local clock, not later than when the instance's clock read 0, except for drift
	syncedAt   time.Time // when the echo was sent from which zeroAt was computed
}

// sentEcho is an echo's sequence number and the time when it was sent.
type sentEcho struct {
	sequence uint64
	at       time.Time
}

// echoSent records that an echo is sent. Sequence numbers must increase.
func (c *remoteClock) echoSent(sequence uint64, now time.Time) {
	if len(c.echoes) == maxEchoesInFlight {
		c.echoes = c.echoes[1:]
	}
	c.echoes = append(c.echoes, sentEcho{sequence: sequence, at: now})
	c.lastEchoAt = now
}

// echoDue reports whether a new echo is due.
func (c *remoteClock) echoDue(now time.Time) bool { return !now.Before(c.nextEchoAt()) }

func (c *remoteClock) nextEchoAt() time.Time {
	if c.lastEchoAt.IsZero() {
		return c.lastEchoAt
	}
	return c.lastEchoAt.Add(echoInterval)
}

// majorityContact evaluates a proof. It returns a time on the local clock at which the instance had contact with a majority, which is
// never later than the actual time of the contact. It is not ok if the proof proves no contact.
func (c *remoteClock) majorityContact(now time.Time, proof protocol.FreshnessProof) (contact time.Time, ok bool) {
	c.sync(proof)
	if !c.synced || now.Sub(c.syncedAt) > clockSyncTTL {
		return time.Time{}, false
	}
	sentAt := c.earliestZero(now).Add(proof.SentAt)
	if sentAt.After(now) { // the drift is too large, or a clock was set
		c.synced, c.lastEchoAt = false, time.Time{}
		return time.Time{}, false
	}
	if !proof.HasMajorityContact || proof.MajorityContactAge < 0 || proof.MajorityContactAge > maxContactAge {
		return time.Time{}, false
	}
	return sentAt.Add(-proof.MajorityContactAge - proof.MajorityContactAge/maxDriftDivisor), true
}

// earliestZero returns a time not later than when the instance's clock read 0, allowing for drift since the sync.
func (c *remoteClock) earliestZero(now time.Time) time.Time {
	return c.zeroAt.Add(-now.Sub(c.syncedAt) / maxDriftDivisor)
}

// sync renews the sync if the proof returns an echo.
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
		return // less exact than the present sync, because the message or the echo was delayed for longer
	}
	c.synced, c.zeroAt, c.syncedAt = true, zero, at
}
