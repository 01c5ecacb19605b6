package placer

import (
	"time"

	"raventrestle/internal/portablemath"
	"raventrestle/internal/protocol"
)

const (
	// routerGaugeTTL is how long the gauges of a router's last report are valid. A router that has not reported for longer
	// counts as having no waiting or running requests.
	routerGaugeTTL = 3 * time.Second
	// reportGapTimeout is the time without a report from any router after which rates are learned from the start again,
	// because another instance was the leader in the meantime.
	reportGapTimeout = 1500 * time.Millisecond
)

// routerGauges contains the waiting and running requests from a router's last report.
type routerGauges struct {
	reportedAt time.Time
	rows       map[demandKey]requestGauge
}

// demandKey identifies a row of a report. Its adapter is empty for requests without one.
type demandKey struct{ service, model, adapter string }

type requestGauge struct{ waiting, running int }

// demandTable contains the demand for all models of all services.
type demandTable struct {
	models        map[string]map[string]*demand // by service and model
	totals        map[string]*demand            // by service
	routers       map[string]routerGauges       // by node
	advancedAt    time.Time                     // time up to which the averages have decayed
	observedSince time.Time                     // start of the first report, or of the first one after a gap in the reports
	lastReportAt  time.Time
}

func newDemandTable() *demandTable {
	return &demandTable{
		models: map[string]map[string]*demand{}, totals: map[string]*demand{}, routers: map[string]routerGauges{},
	}
}

// observedFor returns how long reports have been arriving without a gap of more than reportGapTimeout.
func (t *demandTable) observedFor(now time.Time) time.Duration {
	if t.observedSince.IsZero() || now.Sub(t.lastReportAt) > reportGapTimeout {
		return 0
	}
	return now.Sub(t.observedSince)
}

// demandOf returns the demand for a model. It adds the model if there was no demand for it.
func (t *demandTable) demandOf(service, model string) *demand {
	models := t.models[service]
	if models == nil {
		models = map[string]*demand{}
		t.models[service] = models
	}
	found := models[model]
	if found == nil {
		found = newDemand()
		models[model] = found
	}
	return found
}

// adapterDemandOf returns the demand for an adapter, nil if the adapter has not been requested.
func (t *demandTable) adapterDemandOf(service, model, adapter string) *demand {
	d := t.models[service][model]
	if d == nil {
		return nil
	}
	return d.adapters[adapter]
}

// totalOf returns the demand for all models of a service. It adds the service if there was no demand for it.
func (t *demandTable) totalOf(service string) *demand {
	found := t.totals[service]
	if found == nil {
		found = newDemand()
		t.totals[service] = found
	}
	return found
}

// advance decays the averages until now, and removes the gauges that are older than routerGaugeTTL.
func (t *demandTable) advance(now time.Time) {
	elapsed := now.Sub(t.advancedAt).Seconds()
	isFirst := t.advancedAt.IsZero()
	t.advancedAt = now
	if isFirst || elapsed <= 0 {
		return
	}
	factor := func(timeConstant time.Duration) float64 { return portablemath.Exp(-elapsed / timeConstant.Seconds()) }
	fast, slow, long := factor(fastTimeConstant), factor(slowTimeConstant), factor(longTimeConstant)
	unmet := factor(unmetTimeConstant)
	for _, models := range t.models {
		for _, d := range models {
			d.decay(fast, slow, long, unmet)
		}
	}
	for _, d := range t.totals {
		d.decay(fast, slow, long, unmet)
	}
	for node, router := range t.routers {
		if now.Sub(router.reportedAt) > routerGaugeTTL {
			t.addGauges(router.rows, -1)
			delete(t.routers, node)
		}
	}
}

// resetShortTermRates clears the short-term rates of all models after a gap in the reports. Long-term rates and unserved
// requests are kept.
func (t *demandTable) resetShortTermRates() {
	for _, models := range t.models {
		for _, d := range models {
			d.decay(0, 0, 1, 1)
		}
	}
}

// addReport adds one router report.
func (t *demandTable) addReport(now time.Time, report protocol.Report) {
	if t.observedSince.IsZero() || now.Sub(t.lastReportAt) > reportGapTimeout {
		t.observedSince = now.Add(-report.Window)
		t.resetShortTermRates()
	}
	t.lastReportAt = now
	rows := make(map[demandKey]requestGauge, len(report.Models))
	for _, row := range report.Models {
		d := t.demandOf(row.Service, row.Model)
		d.count(now, row)
		t.totalOf(row.Service).count(now, row)
		if row.Adapter != "" {
			d.adapter(row.Adapter).count(now, row)
		}
		key := demandKey{row.Service, row.Model, row.Adapter}
		gauge := rows[key]
		rows[key] = requestGauge{gauge.waiting + row.Queued, gauge.running + row.InFlight}
	}
	t.addGauges(t.routers[report.Node].rows, -1)
	t.addGauges(rows, 1)
	t.routers[report.Node] = routerGauges{now, rows}
	t.updateWaitingSince(now, rows)
}

// addGauges adds a router's gauges to the demand for models and adapters, or subtracts them if the sign is -1.
func (t *demandTable) addGauges(rows map[demandKey]requestGauge, sign int) {
	for key, gauge := range rows {
		d := t.demandOf(key.service, key.model)
		d.waiting += sign * gauge.waiting
		d.running += sign * gauge.running
		if key.adapter != "" {
			adapter := d.adapter(key.adapter)
			adapter.waiting += sign * gauge.waiting
			adapter.running += sign * gauge.running
		}
	}
}

// updateWaitingSince records since when requests have been waiting for the models of a report.
func (t *demandTable) updateWaitingSince(now time.Time, rows map[demandKey]requestGauge) {
	for key := range rows {
		d := t.demandOf(key.service, key.model)
		switch {
		case d.waiting <= 0:
			d.waitingSince = time.Time{}
		case d.waitingSince.IsZero():
			d.waitingSince = now
		}
	}
}
