package dispatch

import (
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// creditIssuer stands in for the control instances: it issues credit as long as what it issued in the last window and
// protocol.CreditTTL together stays within the rule, less the routers' reserve.
type creditIssuer struct {
	issued map[string][]spending // by tenant
}

func newCreditIssuer() *creditIssuer { return &creditIssuer{issued: map[string][]spending{}} }

// answer issues what is left of the tenant's limit, all of it or what waits at least, or nothing.
func (i *creditIssuer) answer(now time.Duration, config Config, tenants []configuration.Tenant, asked protocol.CreditRequest) *protocol.CreditGrant {
	grant := &protocol.CreditGrant{ID: asked.ID, Tenant: asked.Tenant}
	for _, t := range tenants {
		if t.Name != asked.Tenant {
			continue
		}
		window := config.withDefaults().QuotaWindow
		limit := t.RatePerSecond*window.Seconds() + t.Burst
		left := (limit*(1+config.QuotaOvershootFraction) + config.QuotaOvershootSlack) * (1 - protocol.ReservedShare)
		for _, s := range i.issued[t.Name] {
			if now-s.at <= window+protocol.CreditTTL {
				left -= s.charge
			}
		}
		if grant.Amount = min(asked.Amount, left); grant.Amount < asked.Minimum || grant.Amount <= 0 {
			grant.Amount, grant.RetryAfter = 0, 300*time.Millisecond
			return grant
		}
		if grant.Amount < asked.Waiting {
			grant.RetryAfter = 200 * time.Millisecond
		}
		i.issued[t.Name] = append(i.issued[t.Name], spending{now, grant.Amount})
	}
	return grant
}
