package nodeconfig

import "time"

// readBounds takes the bounds. The defaults are the stricter of the values seen so far, so that a file
// without a bound keeps the rules of one with it.
func readBounds(r *reader) Bounds {
	return Bounds{
		SeedLag:          r.seconds("bounds.seed_lag_s", 3*time.Second),
		ReuseAfter:       r.seconds("bounds.reuse_after_s", 2*time.Second),
		Liveness:         r.milliseconds("bounds.liveness_ms", 3*time.Second),
		Acknowledge:      r.milliseconds("bounds.ack_ms", 4*time.Second),
		CatchUp:          r.seconds("bounds.catch_up_s", 4*time.Second),
		Drain:            r.milliseconds("bounds.drain_ms", 2*time.Second),
		Grace:            r.seconds("bounds.grace_s", 8*time.Second),
		Lost:             r.milliseconds("bounds.lost_ms", 200*time.Millisecond),
		Configuration:    r.milliseconds("bounds.config_ms", 2*time.Second),
		Downgrade:        r.milliseconds("bounds.downgrade_ms", 250*time.Millisecond),
		Partition:        r.milliseconds("bounds.partition_ms", 5*time.Second),
		StrictRevocation: r.truth("bounds.strict_revocation", false),
		Revoke:           r.milliseconds("bounds.revoke_ms", 5*time.Second),
		RetryBudgetRatio: r.fraction("bounds.retry_budget_ratio", 0.2),
		BudgetWindow:     r.seconds("bounds.budget_window_s", 10*time.Second),
		BudgetSlack:      r.fraction("bounds.budget_slack", 50),
		QuotaWindow:      r.seconds("bounds.quota_window_s", 8*time.Second),
		QuotaOver:        r.fraction("bounds.quota_over", 0.1),
		QuotaSlack:       r.fraction("bounds.quota_slack", 0),
		Recovery:         r.seconds("bounds.recovery_s", 12*time.Second),
		Pass:             r.milliseconds("bounds.pass_ms", 120*time.Millisecond),
		Again:            r.seconds("bounds.again_s", 0),
		Fencing:          r.truth("bounds.fencing", false),
		Lease:            r.milliseconds("bounds.lease_ms", 3*time.Second),
		Thaw:             r.milliseconds("bounds.thaw_ms", 300*time.Millisecond),
		CeilingWindow:    r.seconds("bounds.ceiling_window_s", 5*time.Second),
		CeilingOver:      r.fraction("bounds.ceiling_over", 1),
	}
}
