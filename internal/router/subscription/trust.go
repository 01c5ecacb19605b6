package subscription

import "time"

// A router trusts an instance for TrustTTL after the newest time at which the instance is proven to have had contact with a
// majority. TrustTTL is set by subscriptionConfig in internal/router/node/config.go: half of the shorter of the bounds on
// configuration propagation and on draining in the settings, and at least minStaleTimeout there.
//
// Depending on the time since that contact, an instance is
//
//	up to TrustTTL*3/4    trusted with a margin: the router may leave another instance for it
//	from TrustTTL*7/8 on  still trusted; if it is the followed one, it is probed for a newer proof
//	from TrustTTL on      not trusted: the router probes all instances and moves to one that it trusts
//
// Invariant: the computed time of the contact is never later than the actual one (remoteClock), so an instance is never trusted for
// longer than Config.TrustTTL after it lost contact with the majority. TestTrustNeverOutlastsTheMajority checks this.

const (
	// earlyProbeDivisor determines when the followed instance is probed for a newer proof: TrustTTL/earlyProbeDivisor before
	// trust in it expires. One late beacon then does not cause all other instances to be probed.
	earlyProbeDivisor = 8
	// trustMarginDivisor determines the trust margin, TrustTTL/trustMarginDivisor. An instance has the margin if its trust lasts
	// at least that long. The router moves only to an instance whose contact is newer by the margin: otherwise it would alternate
	// between instances whose proofs are all about to expire.
	trustMarginDivisor = 4
)

// trustedUntil returns when trust in an instance expires unless it proves a newer contact. There must have been a contact.
func (d *Decider) trustedUntil(c *instanceConnection) time.Time {
	return c.majorityContactAt.Add(d.config.TrustTTL)
}

// trusted reports whether the instance has proved a contact with a majority within TrustTTL.
func (d *Decider) trusted(now time.Time, c *instanceConnection) bool {
	return !c.majorityContactAt.IsZero() && now.Before(d.trustedUntil(c))
}

// hasTrustMargin reports whether trust in an instance lasts for at least the trust margin.
func (d *Decider) hasTrustMargin(now time.Time, c *instanceConnection) bool {
	return now.Before(d.trustedUntil(c).Add(-d.trustMargin()))
}

func (d *Decider) trustMargin() time.Duration { return d.config.TrustTTL / trustMarginDivisor }

// earlyProbeAt returns when the followed instance is probed for a newer proof.
func (d *Decider) earlyProbeAt(c *instanceConnection) time.Time {
	return d.trustedUntil(c).Add(-d.config.TrustTTL / earlyProbeDivisor)
}
