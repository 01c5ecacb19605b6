package quota

import "time"

// Config of an Allocator. A Window or DeliveryTimeout of zero is replaced by its default.
type Config struct {
	Window            time.Duration // quota_window_s: every window of this length is bounded
	OvershootFraction float64       // quota_over: fraction of a window's limit that may be exceeded
	OvershootSlack    float64       // quota_slack: what may be exceeded on top, in the tenant's unit
	IdleBefore        time.Duration // no other leader has granted anything for this long before New
	DeliveryTimeout   time.Duration // a grant arrives no later than this after it was sent, or never
}

// Defaults of Config.
const (
	DefaultWindow          = 8 * time.Second
	DefaultDeliveryTimeout = 750 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.Window <= 0 {
		c.Window = DefaultWindow
	}
	if c.DeliveryTimeout <= 0 {
		c.DeliveryTimeout = DefaultDeliveryTimeout
	}
	return c
}

// Grants and their renewal.
const (
	creditGrantTTL  = 4 * time.Second         // of grants of a tenant whose routers report shortfalls
	rateGrantTTL    = 1500 * time.Millisecond // of grants of all other tenants
	renewFraction   = 0.5                     // of its TTL, after which a grant is renewed
	resendFraction  = 0.1                     // a grant is replaced when its rate or depth changed by more
	minSendInterval = 150 * time.Millisecond  // between messages to one router, unless it is granted credit
	wakeInterval    = 250 * time.Millisecond  // between steps while nothing arrives
)

// Observation of routers.
const (
	reportLag           = 700 * time.Millisecond // what was spent this long ago has surely been reported
	demandTimeConstant  = 4 * time.Second        // of the exponential average of demand
	idleTimeout         = 4 * time.Second        // a router without demand for this long needs no grant
	unreachableTimeout  = 30 * time.Second       // a router out of reach for this long has ended
	recordInterval      = 250 * time.Millisecond // resolution of the record of spending
	shortfallSmoothing  = 0.1                    // weight of a new shortfall in the typical one
	withheldFraction    = 0.02                   // of a window's allowance, never granted
	depthFraction       = 0.2                    // of the allowance beyond rate and burst, given to the buckets' depth
	evenDepthFraction   = 0.2                    // of the depth, divided evenly; the rest follows demand
	creditRateFactor    = 0.0                    // of its demand, the rate that a router wants where credit is granted
	rateDemandFactor    = 1.5                    // and where it is not
	creditReserveWindow = 2 * time.Second        // of demand that a router is to have in reserve as credit
	lowReserveFraction  = 0.5                    // of that reserve, below which it is replenished
	maxReserveFraction  = 0.25                   // of the grantable credit, for all reserves together
	// minReserveShortfalls typical shortfalls are the smallest useful reserve: a smaller one serves no request.
	minReserveShortfalls = 5
)

// Assumptions about the time before an allocator began.
const (
	assumedSpendingFactor = 1.15            // of the rate, assumed to have been spent in every interval before
	minObservationTime    = 2 * time.Second // before it may act, and to know anything of the demand
	pressingDemandFactor  = 1.3             // of the rate: with a higher demand a tenant was at its limit before, too
	pressingShortfalls    = 2               // typical shortfalls that the demand may have on top
	// minObservedRouterFraction is the part of the routers that must have been able to report: with fewer, what was
	// observed says nothing of the demand.
	minObservedRouterFraction = 0.5
)
