package quota

import (
	"math"
	"time"

	"raventrestle/internal/protocol"
)

// simulatedRouter is one router with a bucket for each tenant.
type simulatedRouter struct {
	id               Router
	sequence         uint64
	partitionedUntil time.Duration
	nextReport       time.Duration
	nextUrgentReport time.Duration
	buckets          map[string]*bucket // by tenant
}

// bucket is one router's token bucket of one tenant.
type bucket struct {
	rate         float64 // granted
	depth        float64 // granted
	grantUntil   time.Duration
	level        float64
	credit       float64 // granted, lost at grantUntil, spent first
	requested    float64 // since the newest report
	granted      float64 // since the newest report
	shortfall    float64
	waiting      []pendingRequest
	trafficShare float64 // of the tenant's requests
}

type pendingRequest struct {
	charge   float64
	deadline time.Duration
}

// refill adds the tokens of one tick.
func (s *simulation) refill(r *simulatedRouter) {
	count := float64(len(s.routers))
	for _, c := range s.clients {
		b := r.buckets[c.tenant.Name]
		rate, depth := c.tenant.RatePerSecond*protocol.UngrantedRateShare/count, c.tenant.Burst/count
		if s.now < b.grantUntil {
			rate, depth = math.Min(b.rate, c.tenant.RatePerSecond), b.depth
		}
		if b.level < depth {
			b.level = math.Min(depth, b.level+rate*tick.Seconds())
		}
		if s.now >= b.grantUntil {
			b.credit = 0
		}
	}
}

func (s *simulation) allowedDebt(c *client) float64 {
	limit := c.tenant.RatePerSecond*s.window.Seconds() + c.tenant.Burst
	tolerance := limit*s.config.OvershootFraction + s.config.OvershootSlack
	return tolerance * protocol.OverdraftShare / float64(len(s.routers))
}

// serve spends for the waiting requests. One that lacks tokens waits for credit, and without credits is rejected at once.
func (s *simulation) serve(r *simulatedRouter) {
	for _, c := range s.clients {
		b := r.buckets[c.tenant.Name]
		waiting := b.waiting[:0]
		b.shortfall = 0
		for _, request := range b.waiting {
			large := request.charge > 2.5*c.size
			lacking := request.charge - b.credit - b.level - s.allowedDebt(c)
			switch {
			case lacking <= 0:
				fromCredit := math.Min(b.credit, request.charge)
				b.credit -= fromCredit
				b.level -= request.charge - fromCredit
				b.granted += request.charge
				c.spent = append(c.spent, spending{s.now, request.charge})
				s.checkWindow(c)
				if large {
					c.largeRequests++
				}
			case s.usesCredits && s.now < request.deadline && r.partitionedUntil <= s.now:
				b.shortfall += request.charge
				waiting = append(waiting, request)
			default:
				c.rejected += request.charge
				if s.belowLimit(c) {
					c.wronglyRejected += request.charge
				}
				if large {
					c.largeRequests++
					c.largeRejected++
				}
			}
		}
		if b.shortfall > 0 {
			b.shortfall = math.Max(1, b.shortfall-b.credit-b.level-s.allowedDebt(c))
		}
		b.waiting = waiting
	}
}

// report sends the router's account of its demand: twice a second, and sooner while requests wait.
func (s *simulation) report(r *simulatedRouter) {
	due := r.nextReport
	for _, b := range r.buckets {
		if b.shortfall > 0 {
			due = min(due, r.nextUrgentReport)
		}
	}
	if s.now < due {
		return
	}
	r.nextReport, r.nextUrgentReport = s.now+500*time.Millisecond, s.now+50*time.Millisecond
	r.sequence++
	report := protocol.Report{Node: r.id.Node, Incarnation: r.id.Incarnation, Sequence: r.sequence}
	report.Window = 500 * time.Millisecond
	for _, c := range s.clients {
		b := r.buckets[c.tenant.Name]
		row := protocol.TenantDemand{Tenant: c.tenant.Name, Requested: b.requested, Admitted: b.granted}
		if s.usesCredits {
			row.Shortfall, row.RemainingCredit = b.shortfall, b.credit
		}
		if row.Requested == 0 && row.Admitted == 0 && row.Shortfall == 0 {
			continue
		}
		report.Tenants = append(report.Tenants, row)
		b.requested, b.granted = 0, 0
	}
	if len(report.Tenants) == 0 || r.partitionedUntil > s.now {
		return
	}
	s.schedule(s.delay(), func() { s.in.Reports = append(s.in.Reports, report) })
}
