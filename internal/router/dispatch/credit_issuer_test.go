package dispatch

import (
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// creditIssuer simulates the control instances. It issues credit as long as the amount issued within the last quota
// window and protocol.CreditTTL stays within the tenant's limit, less the routers' reserve.
type creditIssuer struct {
	issued map[string][]spending // by tenant
}

func newCreditIssuer() *creditIssuer { return &creditIssuer{issued: map[string][]spending{}} }

// answer grants the requested amount as far as the tenant's limit allows; nothing if that is less than the requested
// minimum.
func (i *creditIssuer) answer(now time.Duration, config Config, tenants []configuration.Tenant, request protocol.CreditRequest) *protocol.CreditGrant {
	grant := &protocol.CreditGrant{ID: request.ID, Tenant: request.Tenant}
	for _, t := range tenants {
		if t.Name != request.Tenant {
			continue
		}
		window := config.withDefaults().QuotaWindow
		limit := t.RatePerSecond*window.Seconds() + t.Burst
		remaining := (limit*(1+config.QuotaOvershootFraction) + config.QuotaOvershootSlack) * (1 - protocol.ReservedShare)
		for _, s := range i.issued[t.Name] {
			if now-s.at <= window+protocol.CreditTTL {
				remaining -= s.charge
			}
		}
		if grant.Amount = min(request.Amount, remaining); grant.Amount < request.Minimum || grant.Amount <= 0 {
			grant.Amount, grant.RetryAfter = 0, 300*time.Millisecond
			return grant
		}
		if grant.Amount < request.Waiting {
			grant.RetryAfter = 200 * time.Millisecond
		}
		i.issued[t.Name] = append(i.issued[t.Name], spending{now, grant.Amount})
	}
	return grant
}
