package dispatch

import (
	"time"
)

// Config configures a Decider. Zero values are replaced by the defaults.
type Config struct {
	Node        string // name of the router's node, for reports
	Incarnation uint64 // of the router's process, for reports
	Zone        string // endpoints in this zone are preferred among otherwise equal ones
	Seed        uint64 // of all random numbers

	Slots       int // maximum number of concurrent calls to all endpoints; default 512
	RouterCount int // number of routers until the control plane sends it; default 8

	RetryBudgetRatio  float64       // retries allowed per request, over all routers
	RetryBudgetWindow time.Duration // sliding window of the retry budget; default 10 s
	RetryBudgetSlack  float64       // retries allowed per window in addition to the ratio, over all routers

	QuotaWindow            time.Duration // window over which a tenant's consumption is measured; default 8 s
	QuotaOvershootFraction float64       // fraction of a tenant's limit by which it may be exceeded
	QuotaOvershootSlack    float64       // amount by which the limit may be exceeded in addition, in the tenant's unit, over all routers

	MonitorPeriod  time.Duration // interval at which ASFQ compares the flows' use of slots; default 250 ms
	ReportInterval time.Duration // minimum interval between demand reports that are not urgent; default 500 ms

	Without Mechanism // mechanisms that are switched off, for tests and experiments
}

// Defaults of Config.
const (
	DefaultSlots             = 512
	DefaultRouterCount       = 8
	DefaultRetryBudgetWindow = 10 * time.Second
	DefaultQuotaWindow       = 8 * time.Second
	DefaultMonitorPeriod     = 250 * time.Millisecond
	DefaultReportInterval    = 500 * time.Millisecond
)

// withDefaults returns the configuration with the defaults in place of zero values.
func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = DefaultSlots
	}
	if c.RouterCount <= 0 {
		c.RouterCount = DefaultRouterCount
	}
	if c.RetryBudgetWindow <= 0 {
		c.RetryBudgetWindow = DefaultRetryBudgetWindow
	}
	if c.QuotaWindow <= 0 {
		c.QuotaWindow = DefaultQuotaWindow
	}
	if c.MonitorPeriod <= 0 {
		c.MonitorPeriod = DefaultMonitorPeriod
	}
	if c.ReportInterval <= 0 {
		c.ReportInterval = DefaultReportInterval
	}
	return c
}
