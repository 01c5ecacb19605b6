package placer

import (
	"math"
	"time"

	"raventrestle/internal/protocol"
)

// Time constants of what demand is believed to be.
const (
	fastTimeConstant     = 1 * time.Second
	slowTimeConstant     = 4 * time.Second
	longTimeConstant     = 20 * time.Second
	unmetTimeConstant    = 3 * time.Second
	routerGaugeTTL       = 3 * time.Second         // a router that said nothing for so long has nothing waiting or out
	recentDemandWindow   = 3 * time.Second         // demand so little ago keeps the last copy of a model
	reportSilenceTimeout = 1500 * time.Millisecond // after such a silence of all routers demand is learned anew
	initialRate          = 1.0 / 30                // a second: a model that nobody asked for yet
	trendNoiseFactor     = 0.7                     // a trend counts as far as it exceeds so many standard deviations
)

// decayingRate is an exponentially weighted rate of events, corrected for its youth.
type decayingRate struct {
	sum float64 // of events, weighted by age
}

func (a *decayingRate) decay(by float64)  { a.sum *= by }
func (a *decayingRate) add(count float64) { a.sum += count }

// rate is the events a second; age is how long they have been counted.
func (a *decayingRate) rate(age, constant time.Duration) float64 {
	weight := constant.Seconds() * (1 - math.Exp(-age.Seconds()/constant.Seconds()))
	if weight <= 0 {
		return 0
	}
	return a.sum / weight
}

// demand is what routers say of one model, or of one of its adapters.
type demand struct {
	fastRate, slowRate, longRate decayingRate // requests
	tokenRate                    decayingRate // over slowTime
	value                        float64      // of one request, 1 is usual
	unmet                        float64      // refused or given up for want of a copy, decaying over unmetTime
	waiting, running             int
	waitingSince                 time.Time // since when requests wait without a break
	lastRequestAt                time.Time // last request
	secondsPerToken              float64   // endpoint seconds of one token, 0: not learned yet
	adapters                     map[string]*demand
}

func newDemand() *demand { return &demand{value: 1, adapters: map[string]*demand{}} }

func (d *demand) decay(fast, slow, long, unmet float64) {
	d.fastRate.decay(fast)
	d.slowRate.decay(slow)
	d.tokenRate.decay(slow)
	d.longRate.decay(long)
	d.unmet *= unmet
	for _, adapter := range d.adapters {
		adapter.decay(fast, slow, long, unmet)
	}
}

// usualWorth is what routers count as worth of a request of middle priority.
const middlePriorityValue = 9

func (d *demand) count(now time.Time, row protocol.ModelDemand) {
	asked := float64(row.Requests)
	d.fastRate.add(asked)
	d.slowRate.add(asked)
	d.longRate.add(asked)
	d.tokenRate.add(float64(row.Tokens))
	d.unmet += float64(row.Unserved)
	if row.Requests > 0 || row.Unserved > 0 {
		d.lastRequestAt = now
	}
	if row.Requests > 0 && row.Value > 0 {
		seen := float64(row.Value) / asked / middlePriorityValue
		d.value += (seen - d.value) * math.Min(1, asked/10)
	}
}

// hasUnmetRequests tells whether somebody waits or was turned away a moment ago.
func (d *demand) hasUnmetRequests() bool { return d.waiting > 0 || d.unmet > 0.3 }

// isRecent tells whether the last copy must stay.
func (d *demand) isRecent(now time.Time) bool {
	return d.waiting > 0 || d.running > 0 || (!d.lastRequestAt.IsZero() && now.Sub(d.lastRequestAt) < recentDemandWindow)
}

// longTermRate is the long-term rate with what is assumed of a model that is hardly known.
func (d *demand) longTermRate(age time.Duration) float64 {
	const priorSpan = 1 / initialRate
	weight := longTimeConstant.Seconds() * (1 - math.Exp(-age.Seconds()/longTimeConstant.Seconds()))
	return (d.longRate.sum + 1) / (weight + priorSpan)
}

// projectedRate is the rate to be expected after ahead. The whole of a service's demand is not extrapolated, only how
// much of it asks for this model: demand moves from model to model faster than it grows.
func (d *demand) projectedRate(whole, before decayingRate, age, ahead time.Duration) float64 {
	fast, slow := whole.rate(age, fastTimeConstant), before.rate(age, slowTimeConstant)
	if fast <= 0 || slow <= 0 {
		return d.fastRate.rate(age, fastTimeConstant)
	}
	share := d.fastRate.rate(age, fastTimeConstant) / fast
	shareBefore := d.slowRate.rate(age, slowTimeConstant) / slow
	deviation := math.Sqrt(math.Max(share, shareBefore) / (2 * fastTimeConstant.Seconds() * fast))
	rise := share - shareBefore
	rise -= math.Copysign(math.Min(math.Abs(rise), trendNoiseFactor*deviation), rise)
	slope := rise / (slowTimeConstant - fastTimeConstant).Seconds()
	future := shareBefore + slope*(slowTimeConstant+ahead).Seconds()
	return math.Min(1, math.Max(0, future)) * math.Max(fast, slow)
}

// routerGauges are the last told requests waiting and out of one router.
type routerGauges struct {
	reportedAt time.Time
	rows       map[demandKey]requestGauge
}

type demandKey struct{ service, model, adapter string }

type requestGauge struct{ waiting, running int }

// demandTable holds the demand of all services.
type demandTable struct {
	models        map[string]map[string]*demand // by service and model
	totals        map[string]*demand            // by service
	routers       map[string]routerGauges       // by node
	advancedAt    time.Time
	observedSince time.Time // of the first report, or of the first after a silence
	lastReportAt  time.Time // last report
}

func newDemandTable() *demandTable {
	return &demandTable{models: map[string]map[string]*demand{}, totals: map[string]*demand{}, routers: map[string]routerGauges{}}
}

func (t *demandTable) observedFor(now time.Time) time.Duration {
	if t.observedSince.IsZero() || now.Sub(t.lastReportAt) > reportSilenceTimeout {
		return 0
	}
	return now.Sub(t.observedSince)
}

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

func (t *demandTable) totalOf(service string) *demand {
	found := t.totals[service]
	if found == nil {
		found = newDemand()
		t.totals[service] = found
	}
	return found
}

// advance lets time pass.
func (t *demandTable) advance(now time.Time) {
	elapsed := now.Sub(t.advancedAt).Seconds()
	first := t.advancedAt.IsZero()
	t.advancedAt = now
	if first || elapsed <= 0 {
		return
	}
	by := func(constant time.Duration) float64 { return math.Exp(-elapsed / constant.Seconds()) }
	fast, slow, long, unmet := by(fastTimeConstant), by(slowTimeConstant), by(longTimeConstant), by(unmetTimeConstant)
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

// resetShortTermRates forgets rates that were counted before a silence; the long-term rate stays.
func (t *demandTable) resetShortTermRates() {
	for _, models := range t.models {
		for _, d := range models {
			d.decay(0, 0, 1, 1)
		}
	}
}

// addReport counts one router's report.
func (t *demandTable) addReport(now time.Time, report protocol.Report) {
	if t.observedSince.IsZero() || now.Sub(t.lastReportAt) > reportSilenceTimeout {
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
		seen := rows[key]
		rows[key] = requestGauge{seen.waiting + row.Queued, seen.running + row.InFlight}
	}
	t.addGauges(t.routers[report.Node].rows, -1)
	t.addGauges(rows, 1)
	t.routers[report.Node] = routerGauges{now, rows}
	t.updateWaitingSince(now, rows)
}

func (d *demand) adapter(name string) *demand {
	found := d.adapters[name]
	if found == nil {
		found = newDemand()
		d.adapters[name] = found
	}
	return found
}

func (t *demandTable) addGauges(rows map[demandKey]requestGauge, sign int) {
	for key, row := range rows {
		d := t.demandOf(key.service, key.model)
		d.waiting += sign * row.waiting
		d.running += sign * row.running
		if key.adapter != "" {
			a := d.adapter(key.adapter)
			a.waiting += sign * row.waiting
			a.running += sign * row.running
		}
	}
}

// updateWaitingSince notes since when requests wait.
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
