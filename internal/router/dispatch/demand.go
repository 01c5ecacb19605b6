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
	betweenUrgent = 50 * time.Millisecond // reports
	betweenLacks  = 10 * time.Millisecond // reports of requests that wait for quota
	lackAgain     = time.Second           // between reports at once of the same lack
	mostWorth     = 10
	leastWorth    = 1
)

// target is what requests ask for: a model, or an adapter of it.
type target struct {
	entry            protocol.ModelDemand // since the last report
	waiting, running int
	urgentAt         time.Duration // when its lack was reported at once
	listed           bool          // in demand.active
}

// demand is what the next report tells.
type demand struct {
	active   []*target
	dirty    bool
	asked    bool // the next report is to go at once
	unpaid   bool // requests wait for it
	lastAt   time.Duration
	sequence uint64
}

// changed: there is something to report.
func (d *Decider) changed() { d.demand.dirty = true }

// urgent: it is to be reported at once.
func (d *Decider) urgent() {
	d.demand.dirty = true
	d.demand.asked = true
}

// lackQuota: requests wait for quota.
func (d *Decider) lackQuota() {
	d.demand.dirty = true
	d.demand.unpaid = true
}

// lacking: nobody holds what the request needs. It is told at once where that is new.
func (d *Decider) lacking(t *target) {
	if t.urgentAt == 0 || d.now-t.urgentAt >= lackAgain {
		t.urgentAt = d.now
		d.urgent()
	}
}

// countDemand notes a request.
func (d *Decider) countDemand(r *request) {
	g := r.group
	t := g.targets[r.Adapter]
	if t == nil {
		t = &target{}
		t.entry.Service, t.entry.Model, t.entry.Adapter = g.service.name, g.model, r.Adapter
		g.targets[r.Adapter] = t
	}
	r.target = t
	t.entry.Requests++
	t.entry.Tokens += int64(r.PromptTokens + r.OutputTokens)
	t.entry.Value += int64(max(mostWorth-r.RoutePriority-r.TenantPriority, leastWorth))
	d.list(t)
}

func (d *Decider) list(t *target) {
	d.changed()
	if !t.listed {
		t.listed = true
		d.demand.active = append(d.demand.active, t)
	}
}

// countUnserved notes a request that was refused because no endpoint could take it.
func (d *Decider) countUnserved(r *request) {
	r.target.entry.Unserved++
	d.list(r.target)
}

// report sends what is to be told, when it is time.
func (d *Decider) report() {
	x := &d.demand
	if !x.dirty {
		return
	}
	due := x.lastAt + d.options.ReportInterval
	if x.asked {
		due = x.lastAt + betweenUrgent
	}
	if x.unpaid {
		due = x.lastAt + betweenLacks
	}
	if d.now < due {
		d.wakeBy(due)
		return
	}
	d.out = append(d.out, Report{d.summary()})
	x.dirty = false
	x.asked = false
	x.unpaid = false
	x.lastAt = d.now
}

// summary makes the report and starts the next.
func (d *Decider) summary() protocol.Report {
	x := &d.demand
	x.sequence++
	report := protocol.Report{
		Node: d.options.Node, Incarnation: d.options.Incarnation, Sequence: x.sequence,
		Window: d.now - x.lastAt,
	}
	kept := x.active[:0]
	for _, t := range x.active {
		t.entry.Queued, t.entry.InFlight = t.waiting, t.running
		report.Models = append(report.Models, t.entry)
		t.entry.Requests, t.entry.Unserved, t.entry.Tokens, t.entry.Value = 0, 0, 0, 0
		if t.listed = t.waiting+t.running > 0; t.listed {
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
		lack := d.lack(t)
		if t.asked == 0 && t.given == 0 && lack == 0 {
			continue
		}
		list = append(list, protocol.TenantDemand{Tenant: t.name, Requested: t.asked, Admitted: t.given, Shortfall: lack})
		t.asked, t.given = 0, 0
	}
	slices.SortFunc(list, func(a, b protocol.TenantDemand) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return list
}

// reachability lists the endpoints whose calls fail, and the silent ones whose calls succeed.
func (d *Decider) reachability() (failing, reached []string) {
	d.suspects = slices.DeleteFunc(d.suspects, func(e *endpoint) bool { return !d.suspect(e) })
	for _, e := range d.suspects {
		if e.state == protocol.Unresponsive && !d.doubtful(e) {
			reached = append(reached, e.id)
		} else if e.evidence.most > 0 {
			failing = append(failing, e.id)
		}
	}
	return failing, reached
}

// suspect says whether an endpoint may have to be told of.
func (d *Decider) suspect(e *endpoint) bool {
	e.suspected = e.listed && (e.state == protocol.Unresponsive || e.evidence.most > 0)
	return e.suspected
}

// mark puts an endpoint among those that may have to be told of.
func (d *Decider) mark(e *endpoint) {
	if !e.suspected && d.suspect(e) {
		d.suspects = append(d.suspects, e)
		d.changed()
	}
}
