package subscription

import "time"

// How long a router trusts an instance, from the newest moment at which that one is proven to have had contact with a
// majority. TrustTTL comes from subscriptionConfig in internal/router/node/config.go: half of the shorter of the
// settings' bounds on configuration propagation and on draining, and no less than minStaleTimeout there.
//
//
//	up to TrustTTL*3/4    trusted with a margin: others may be left for it
//	from TrustTTL*7/8 on  still trusted; if it is the followed one, it is probed for a newer proof
//	from TrustTTL on      not trusted: all instances are probed, and the router moves to one that it trusts
//
// Invariant: the moment of contact is never later than the true one (remoteClock), so an instance is never trusted for
// longer than Config.TrustTTL after it lost its majority. TestTrustNeverOutlastsTheMajority checks it.

const (
	// earlyProbeDivisor: the followed instance is probed for a newer proof this part of TrustTTL before trust in it
	// expires, so that a late beacon alone is no reason to probe all others.
	earlyProbeDivisor = 8
	// trustMarginDivisor: an instance has a trust margin if at least this part of TrustTTL is left. An instance is worth
	// a move only if its contact is newer by as much: else instances whose proofs are all nearly too old would be
	// followed in turns.
	trustMarginDivisor = 4
)

// trustedUntil is when trust in an instance expires, if it proves nothing newer. It is meaningless without any contact.
func (d *Decider) trustedUntil(c *instanceConnection) time.Time {
	return c.majorityContactAt.Add(d.config.TrustTTL)
}

// trusted says whether the instance has proved a contact with a majority that is recent enough.
func (d *Decider) trusted(now time.Time, c *instanceConnection) bool {
	return !c.majorityContactAt.IsZero() && now.Before(d.trustedUntil(c))
}

// hasTrustMargin says whether trust in an instance lasts for a while.
func (d *Decider) hasTrustMargin(now time.Time, c *instanceConnection) bool {
	return now.Before(d.trustedUntil(c).Add(-d.trustMargin()))
}

func (d *Decider) trustMargin() time.Duration { return d.config.TrustTTL / trustMarginDivisor }

// earlyProbeAt is when the followed instance is asked for a newer proof.
func (d *Decider) earlyProbeAt(c *instanceConnection) time.Time {
	return d.trustedUntil(c).Add(-d.config.TrustTTL / earlyProbeDivisor)
}
