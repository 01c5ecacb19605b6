package nodeconfig

import "time"

// readBounds reads the bounds of the rules. Each default is the strictest value known from the operators' pages, so that a
// process whose file lacks a bound keeps to the rules of one whose file has it.
func readBounds(r *fileReader) Bounds {
	return Bounds{
		SeedListLag:              r.seconds("bounds.seed_lag_s", 3*time.Second),
		AddressReuseDelay:        r.seconds("bounds.reuse_after_s", 2*time.Second),
		LivenessWindow:           r.milliseconds("bounds.liveness_ms", 3*time.Second),
		AckTimeout:               r.milliseconds("bounds.ack_ms", 4*time.Second),
		CatchUpTimeout:           r.seconds("bounds.catch_up_s", 4*time.Second),
		DrainTimeout:             r.milliseconds("bounds.drain_ms", 2*time.Second),
		GracePeriod:              r.seconds("bounds.grace_s", 8*time.Second),
		LostRequestTimeout:       r.milliseconds("bounds.lost_ms", 200*time.Millisecond),
		ConfigPropagationTimeout: r.milliseconds("bounds.config_ms", 2*time.Second),
		DowngradeWindow:          r.milliseconds("bounds.downgrade_ms", 250*time.Millisecond),
		PartitionAllowance:       r.milliseconds("bounds.partition_ms", 5*time.Second),
		StrictRevocation:         r.boolean("bounds.strict_revocation", false),
		RevocationTimeout:        r.milliseconds("bounds.revoke_ms", 5*time.Second),
		RetryBudgetRatio:         r.nonNegative("bounds.retry_budget_ratio", 0.2),
		RetryBudgetWindow:        r.seconds("bounds.budget_window_s", 10*time.Second),
		RetryBudgetSlack:         r.nonNegative("bounds.budget_slack", 50),
		QuotaWindow:              r.seconds("bounds.quota_window_s", 8*time.Second),
		QuotaOverrunRatio:        r.nonNegative("bounds.quota_over", 0.1),
		QuotaSlack:               r.nonNegative("bounds.quota_slack", 0),
		RecoveryTimeout:          r.seconds("bounds.recovery_s", 12*time.Second),
		EventForwardTimeout:      r.milliseconds("bounds.pass_ms", 120*time.Millisecond),
		Again:                    r.seconds("bounds.again_s", 0),
		FencingEnabled:           r.boolean("bounds.fencing", false),
		LeaseTTL:                 r.milliseconds("bounds.lease_ms", 3*time.Second),
		ThawWindow:               r.milliseconds("bounds.thaw_ms", 300*time.Millisecond),
		LoadRateWindow:           r.seconds("bounds.ceiling_window_s", 5*time.Second),
		LoadRateFactor:           r.nonNegative("bounds.ceiling_over", 1),
	}
}
