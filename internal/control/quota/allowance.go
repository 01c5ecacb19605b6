package quota

import "raventrestle/internal/protocol"

// Limit is a tenant's limit in the tenant's unit, requests or tokens.
type Limit struct {
	RatePerSecond float64
	Burst         float64
}

// windowAllowance returns what the rule QUOTA lets a tenant spend in one window.
func (c Config) windowAllowance(limit Limit) float64 {
	perWindow := limit.RatePerSecond*c.Window.Seconds() + limit.Burst
	return perWindow*(1+c.OvershootFraction) + c.OvershootSlack
}

// issuable returns the part of a window's allowance that all holders together may issue in an issuance interval.
func (c Config) issuable(limit Limit) float64 {
	return c.windowAllowance(limit) * (1 - protocol.ReservedShare - withheldShare)
}
