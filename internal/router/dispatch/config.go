package dispatch

import (
	"time"
)

// Config configures a Decider. A zero field takes its default.
type Config struct {
	Node        string // the router's node name, for reports
	Incarnation uint64 // of the router's process, for reports
	Zone        string // endpoints of this zone are preferred among otherwise equal ones
	Seed        uint64 // of all random numbers

	Slots       int // maximum of concurrent calls over all endpoints; default 512
	RouterCount int // assumed until the control plane sends the number; default 8

	RetryBudgetRatio  float64       // retries allowed per request, over all routers
	RetryBudgetWindow time.Duration // sliding window of the retry budget; default 10 s
	RetryBudgetSlack  float64       // retries allowed in a window on top of the ratio, over all routers

	QuotaWindow            time.Duration // over which a tenant's consumption is measured; default 8 s
	QuotaOvershootFraction float64       // part of a tenant's limit by which it may be exceeded
	QuotaOvershootSlack    float64       // on top, in the tenant's unit, over all routers

	MonitorPeriod  time.Duration // in which ASFQ compares the use of slots; default 250 ms
	ReportInterval time.Duration // between reports of demand; default 500 ms

	Without Mechanism // switched off, for tests and trials
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

// withDefaults returns the configuration with its zero fields replaced by the defaults.
func (o Config) withDefaults() Config {
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.RouterCount <= 0 {
		o.RouterCount = DefaultRouterCount
	}
	if o.RetryBudgetWindow <= 0 {
		o.RetryBudgetWindow = DefaultRetryBudgetWindow
	}
	if o.QuotaWindow <= 0 {
		o.QuotaWindow = DefaultQuotaWindow
	}
	if o.MonitorPeriod <= 0 {
		o.MonitorPeriod = DefaultMonitorPeriod
	}
	if o.ReportInterval <= 0 {
		o.ReportInterval = DefaultReportInterval
	}
	return o
}
