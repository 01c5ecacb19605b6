package dispatch

import (
	"cmp"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// Demand: what was asked for since the last report, by model and adapter. A model that nobody holds, or an
// endpoint that fails, is reported at once; else a summary follows while anything changes. An entry is in a
// report if it was asked for, has requests held or out, or had at the last report.
const (
	minUrgentReportInterval    = 50 * time.Millisecond // reports
	minShortfallReportInterval = 10 * time.Millisecond // reports of requests that wait for quota
	repeatShortageInterval     = time.Second           // between reports at once of the same lack
	maxValue                   = 10
	minValue                   = 1
)

// demandTarget is what requests ask for: a model, or an adapter of it.
type demandTarget struct {
	counts             protocol.ModelDemand // since the last report
	queued, inFlight   int
	shortageReportedAt time.Duration // when its lack was reported at once
	listed             bool          // in demand.active
}

// demand is what the next report tells.
type demand struct {
	active         []*demandTarget
	dirty          bool
	urgent         bool // the next report is to go at once
	quotaShortfall bool // requests wait for it
	lastReportAt   time.Duration
	sequence       uint64
}

// changed: there is something to report.
func (d *Decider) markDemandChanged() { d.demand.dirty = true }

// urgent: it is to be reported at once.
func (d *Decider) requestUrgentReport() {
	d.demand.dirty = true
	d.demand.urgent = true
}

// lackQuota: requests wait for quota.
func (d *Decider) reportQuotaShortfall() {
	d.demand.dirty = true
	d.demand.quotaShortfall = true
}

// lacking: nobody holds what the request needs. It is told at once where that is new.
func (d *Decider) reportModelShortage(t *demandTarget) {
	if t.shortageReportedAt == 0 || d.now-t.shortageReportedAt >= repeatShortageInterval {
		t.shortageReportedAt = d.now
		d.requestUrgentReport()
	}
}

// countDemand notes a request.
func (d *Decider) countDemand(r *request) {
	g := r.group
	t := g.targets[r.Adapter]
	if t == nil {
		t = &demandTarget{}
		t.counts.Service, t.counts.Model, t.counts.Adapter = g.service.name, g.model, r.Adapter
		g.targets[r.Adapter] = t
	}
	r.target = t
	t.counts.Requests++
	t.counts.Tokens += int64(r.PromptTokens + r.OutputTokens)
	t.counts.Value += int64(max(maxValue-r.RoutePriority-r.TenantPriority, minValue))
	d.listTarget(t)
}

func (d *Decider) listTarget(t *demandTarget) {
	d.markDemandChanged()
	if !t.listed {
		t.listed = true
		d.demand.active = append(d.demand.active, t)
	}
}

// countUnserved notes a request that was refused because no endpoint could take it.
func (d *Decider) countUnserved(r *request) {
	r.target.counts.Unserved++
	d.listTarget(r.target)
}

// emitReport sends what is to be told, when it is time.
func (d *Decider) emitReport() {
	x := &d.demand
	if !x.dirty {
		return
	}
	due := x.lastReportAt + d.config.ReportInterval
	if x.urgent {
		due = x.lastReportAt + minUrgentReportInterval
	}
	if x.quotaShortfall {
		due = x.lastReportAt + minShortfallReportInterval
	}
	if d.now < due {
		d.wakeBy(due)
		return
	}
	d.outputs = append(d.outputs, Report{d.buildReport()})
	x.dirty = false
	x.urgent = false
	x.quotaShortfall = false
	x.lastReportAt = d.now
}

// buildReport makes the report and starts the next.
func (d *Decider) buildReport() protocol.Report {
	x := &d.demand
	x.sequence++
	report := protocol.Report{
		Node: d.config.Node, Incarnation: d.config.Incarnation, Sequence: x.sequence,
		Window: d.now - x.lastReportAt,
	}
	kept := x.active[:0]
	for _, t := range x.active {
		t.counts.Queued, t.counts.InFlight = t.queued, t.inFlight
		report.Models = append(report.Models, t.counts)
		t.counts.Requests, t.counts.Unserved, t.counts.Tokens, t.counts.Value = 0, 0, 0, 0
		if t.listed = t.queued+t.inFlight > 0; t.listed {
			kept = append(kept, t)
		}
	}
	x.active = kept
	report.Tenants = d.tenantDemand()
	report.Unreachable, report.Reachable = d.reachability()
	return report
}

func (d *Decider) tenantDemand() []protocol.TenantDemand {
	var list []protocol.TenantDemand
	for _, t := range d.tenants {
		lack := d.quotaShortfall(t)
		if t.requested == 0 && t.admitted == 0 && lack == 0 {
			continue
		}
		list = append(list, protocol.TenantDemand{Tenant: t.name, Requested: t.requested, Admitted: t.admitted, Shortfall: lack})
		t.requested, t.admitted = 0, 0
	}
	slices.SortFunc(list, func(a, b protocol.TenantDemand) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return list
}

// reachability lists the endpoints whose calls fail, and the silent ones whose calls succeed.
func (d *Decider) reachability() (failing, reached []string) {
	d.suspects = slices.DeleteFunc(d.suspects, func(e *endpoint) bool { return !d.updateSuspect(e) })
	for _, e := range d.suspects {
		if e.state == protocol.Unresponsive && !d.possiblyDown(e) {
			reached = append(reached, e.id)
		} else if e.health.maxProbes > 0 {
			failing = append(failing, e.id)
		}
	}
	return failing, reached
}

// updateSuspect says whether an endpoint may have to be told of.
func (d *Decider) updateSuspect(e *endpoint) bool {
	e.inSuspects = e.listed && (e.state == protocol.Unresponsive || e.health.maxProbes > 0)
	return e.inSuspects
}

// addSuspect puts an endpoint among those that may have to be told of.
func (d *Decider) addSuspect(e *endpoint) {
	if !e.inSuspects && d.updateSuspect(e) {
		d.suspects = append(d.suspects, e)
		d.markDemandChanged()
	}
}
