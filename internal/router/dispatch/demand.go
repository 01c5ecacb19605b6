package dispatch

import (
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// Demand reports: what was requested since the last report, by model and adapter. A model that no endpoint has, or an
// endpoint that fails, is reported urgently; otherwise a report is sent every ReportInterval while anything changes.
// A report lists a model or adapter if it was requested since the last report, or has requests queued or in flight,
// or had some at the last report.

const (
	minUrgentReportInterval = 50 * time.Millisecond // between an urgent report and the report before it
	shortageReportInterval  = time.Second           // between urgent reports of the same shortage
	maxRequestValue         = 10                    // of a request with the most urgent priorities
	minRequestValue         = 1                     // of any request
)

// demandTarget is what a request asks for, a model or an adapter of it, with the demand for it.
type demandTarget struct {
	counts             protocol.ModelDemand // since the last report
	queued, inFlight   int
	shortageReportedAt time.Duration
	listed             bool // in demand.active
}

// demand is the state of the demand reports.
type demand struct {
	active       []*demandTarget // targets of the next report
	dirty        bool            // something has changed since the last report
	urgent       bool            // the next report is due after minUrgentReportInterval
	lastReportAt time.Duration
	sequence     uint64
}

// recordDemandChange records that there is something to report.
func (d *Decider) recordDemandChange() { d.demand.dirty = true }

// requestUrgentReport makes the next report due after minUrgentReportInterval.
func (d *Decider) requestUrgentReport() {
	d.demand.dirty = true
	d.demand.urgent = true
}

// reportModelShortage records that no endpoint has what a request needs. The shortage is reported urgently if it
// wasn't within shortageReportInterval.
func (d *Decider) reportModelShortage(t *demandTarget) {
	if t.shortageReportedAt == 0 || d.now-t.shortageReportedAt >= shortageReportInterval {
		t.shortageReportedAt = d.now
		d.requestUrgentReport()
	}
}

// countDemand adds an admitted request to the demand.
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
	t.counts.Value += int64(max(maxRequestValue-r.RoutePriority-r.TenantPriority, minRequestValue))
	d.listTarget(t)
}

// listTarget adds a target to the next report.
func (d *Decider) listTarget(t *demandTarget) {
	d.recordDemandChange()
	if !t.listed {
		t.listed = true
		d.demand.active = append(d.demand.active, t)
	}
}

// countUnserved counts a request that is rejected because no endpoint could take it.
func (d *Decider) countUnserved(r *request) {
	r.target.counts.Unserved++
	d.listTarget(r.target)
}

// emitReport emits a report if one is due; otherwise it schedules a step for that time.
func (d *Decider) emitReport() {
	state := &d.demand
	if !state.dirty {
		return
	}
	due := state.lastReportAt + d.config.ReportInterval
	if state.urgent {
		due = state.lastReportAt + minUrgentReportInterval
	}
	if d.now < due {
		d.wakeBy(due)
		return
	}
	d.outputs = append(d.outputs, Report{d.buildReport()})
	state.dirty = false
	state.urgent = false
	state.lastReportAt = d.now
}

// buildReport returns the report and resets the counts for the next one.
func (d *Decider) buildReport() protocol.Report {
	state := &d.demand
	state.sequence++
	report := protocol.Report{
		Node: d.config.Node, Incarnation: d.config.Incarnation, Sequence: state.sequence,
		Window: d.now - state.lastReportAt,
	}
	active := state.active[:0]
	for _, t := range state.active {
		t.counts.Queued, t.counts.InFlight = t.queued, t.inFlight
		report.Models = append(report.Models, t.counts)
		t.counts.Requests, t.counts.Unserved, t.counts.Tokens, t.counts.Value = 0, 0, 0, 0
		if t.listed = t.queued+t.inFlight > 0; t.listed {
			active = append(active, t)
		}
	}
	state.active = active
	report.Unreachable, report.Reachable = d.reachability()
	return report
}

// reachability returns the endpoints whose calls fail, and the endpoints without heartbeats whose calls succeed.
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

// updateSuspect updates and returns whether the endpoint may have to be reported.
func (d *Decider) updateSuspect(e *endpoint) bool {
	e.inSuspects = e.listed && (e.state == protocol.Unresponsive || e.health.maxProbes > 0)
	return e.inSuspects
}

// addSuspect adds the endpoint to suspects if it may have to be reported.
func (d *Decider) addSuspect(e *endpoint) {
	if !e.inSuspects && d.updateSuspect(e) {
		d.suspects = append(d.suspects, e)
		d.recordDemandChange()
	}
}
