package dispatch

import "time"

// Options are what a router's dispatcher is told once, at its start. A zero field takes its default.
type Options struct {
	Node        string // for reports
	Incarnation uint64 // for reports
	Zone        string // endpoints in it are preferred, other things being equal
	Seed        uint64 // of all that is drawn

	Slots   int // calls out at most, over all endpoints; default 512
	Routers int // assumed until the control plane tells; default 8

	BudgetRatio  float64       // further arrivals allowed for each request, over all routers
	BudgetWindow time.Duration // default 10 s
	BudgetSlack  float64       // further arrivals allowed on top in a window, over all routers

	QuotaWindow time.Duration // default 8 s
	QuotaOver   float64       // part of a tenant's limit that may be passed
	QuotaSlack  float64       // in the tenant's unit, on top, over all routers

	MonitorPeriod time.Duration // of the use of slots; default 250 ms
	ReportEvery   time.Duration // between summaries of demand; default 500 ms
}

// Defaults of Options.
const (
	DefaultSlots         = 512
	DefaultRouters       = 8
	DefaultBudgetWindow  = 10 * time.Second
	DefaultQuotaWindow   = 8 * time.Second
	DefaultMonitorPeriod = 250 * time.Millisecond
	DefaultReportEvery   = 500 * time.Millisecond
)

// withDefaults fills in what was left out.
func (o Options) withDefaults() Options {
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.Routers <= 0 {
		o.Routers = DefaultRouters
	}
	if o.BudgetWindow <= 0 {
		o.BudgetWindow = DefaultBudgetWindow
	}
	if o.QuotaWindow <= 0 {
		o.QuotaWindow = DefaultQuotaWindow
	}
	if o.MonitorPeriod <= 0 {
		o.MonitorPeriod = DefaultMonitorPeriod
	}
	if o.ReportEvery <= 0 {
		o.ReportEvery = DefaultReportEvery
	}
	return o
}
