package controller

import (
	"time"

	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
)

const (
	reportInterval    = 200 * time.Millisecond // between batches to the leader of the singleton roles
	maxPendingReports = 4096                   // kept while no leader is known
)

// reportQueue gathers what the routers connected here report, for the leader of the singleton roles.
type reportQueue struct {
	reports []protocol.Report
	sentAt  time.Time // of the newest batch
}

func (q *reportQueue) empty() bool { return len(q.reports) == 0 }

// dueAt is when the next batch is to be sent; zero: there is nothing to send.
func (q *reportQueue) dueAt() time.Time {
	if q.empty() {
		return time.Time{}
	}
	return q.sentAt.Add(reportInterval)
}

// keepNewest drops what can't be kept any longer without a leader.
func (q *reportQueue) keepNewest() {
	q.reports = q.reports[max(0, len(q.reports)-maxPendingReports):]
}

// queueReport keeps a router's report for the leader and gives the registry what it says of endpoints.
func (c *Controller) queueReport(report *protocol.Report) {
	if len(report.Unreachable)+len(report.Reachable) > 0 {
		c.toRegistry(registry.RouterReport{Unreachable: report.Unreachable, Reached: report.Reachable})
	}
	c.reports.reports = append(c.reports.reports, *report)
}

// forwardReports sends a batch to the leader of the singleton roles, if one is due. The leader is the head of the
// chain, or the member that is about to be.
func (c *Controller) forwardReports(now time.Time) {
	queue := &c.reports
	if queue.empty() || now.Before(queue.dueAt()) {
		return
	}
	queue.sentAt = now
	leader := c.replica.leader
	if leader == "" {
		queue.keepNewest()
		return
	}
	batch := &protocol.ReportBatch{Origin: c.config.Origin, Reports: queue.reports}
	queue.reports = nil
	if leader == c.config.Origin.Address {
		c.out.Reports = append(c.out.Reports, batch)
		return
	}
	c.sendPeer(now, leader, batch)
}
