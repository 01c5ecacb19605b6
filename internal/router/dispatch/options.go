package dispatch

import "time"

// Config are what a router's dispatcher is told once, at its start. A zero field takes its default.
type Config struct {
	Node        string // for reports
	Incarnation uint64 // for reports
	Zone        string // endpoints in it are preferred, other things being equal
	Seed        uint64 // of all that is drawn

	Slots       int // calls out at most, over all endpoints; default 512
	RouterCount int // assumed until the control plane tells; default 8

	RetryBudgetRatio  float64       // further arrivals allowed for each request, over all routers
	RetryBudgetWindow time.Duration // default 10 s
	RetryBudgetSlack  float64       // further arrivals allowed on top in a window, over all routers

	QuotaWindow            time.Duration // default 8 s
	QuotaOvershootFraction float64       // part of a tenant's limit that may be passed
	QuotaOvershootSlack    float64       // in the tenant's unit, on top, over all routers

	MonitorPeriod  time.Duration // of the use of slots; default 250 ms
	ReportInterval time.Duration // between summaries of demand; default 500 ms
}

// Defaults of Options.
const (
	DefaultSlots             = 512
	DefaultRouterCount       = 8
	DefaultRetryBudgetWindow = 10 * time.Second
	DefaultQuotaWindow       = 8 * time.Second
	DefaultMonitorPeriod     = 250 * time.Millisecond
	DefaultReportInterval    = 500 * time.Millisecond
)

// withDefaults fills in what was left out.
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
