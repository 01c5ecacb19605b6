package placer

import (
	"math"
	"time"

	"raventrestle/internal/protocol"
)

// Time constants of what demand is believed to be.
const (
	fastTime    = 1 * time.Second
	slowTime    = 4 * time.Second
	longTime    = 20 * time.Second
	unmetTime   = 3 * time.Second
	gaugeTime   = 3 * time.Second         // a router that said nothing for so long has nothing waiting or out
	recentTime  = 3 * time.Second         // demand so little ago keeps the last copy of a model
	unheardTime = 1500 * time.Millisecond // after such a silence of all routers demand is learned anew
	priorRate   = 1.0 / 30                // a second: a model that nobody asked for yet
	noiseFactor = 0.7                     // a trend counts as far as it exceeds so many standard deviations
)

// average is an exponentially weighted rate of events, corrected for its youth.
type average struct {
	sum float64 // of events, weighted by age
}

func (a *average) decay(by float64)  { a.sum *= by }
func (a *average) add(count float64) { a.sum += count }

// rate is the events a second; age is how long they have been counted.
func (a *average) rate(age, constant time.Duration) float64 {
	weight := constant.Seconds() * (1 - math.Exp(-age.Seconds()/constant.Seconds()))
	if weight <= 0 {
		return 0
	}
	return a.sum / weight
}

// demand is what routers say of one model, or of one of its adapters.
type demand struct {
	fast, slow, long average // requests
	tokens           average // over slowTime
	worth            float64 // of one request, 1 is usual
	unmet            float64 // refused or given up for want of a copy, decaying over unmetTime
	waiting, running int
	waitingSince     time.Time // since when requests wait without a break
	askedAt          time.Time // last request
	cost             float64   // endpoint seconds of one token, 0: not learned yet
	adapters         map[string]*demand
}

func newDemand() *demand { return &demand{worth: 1, adapters: map[string]*demand{}} }

func (d *demand) decay(fast, slow, long, unmet float64) {
	d.fast.decay(fast)
	d.slow.decay(slow)
	d.tokens.decay(slow)
	d.long.decay(long)
	d.unmet *= unmet
	for _, adapter := range d.adapters {
		adapter.decay(fast, slow, long, unmet)
	}
}

// usualWorth is what routers count as worth of a request of middle priority.
const usualWorth = 9

func (d *demand) count(now time.Time, row protocol.ModelDemand) {
	asked := float64(row.Requests)
	d.fast.add(asked)
	d.slow.add(asked)
	d.long.add(asked)
	d.tokens.add(float64(row.Tokens))
	d.unmet += float64(row.Unserved)
	if row.Requests > 0 || row.Unserved > 0 {
		d.askedAt = now
	}
	if row.Requests > 0 && row.Value > 0 {
		seen := float64(row.Value) / asked / usualWorth
		d.worth += (seen - d.worth) * math.Min(1, asked/10)
	}
}

// wanted tells whether somebody waits or was turned away a moment ago.
func (d *demand) wanted() bool { return d.waiting > 0 || d.unmet > 0.3 }

// recent tells whether the last copy must stay.
func (d *demand) recent(now time.Time) bool {
	return d.waiting > 0 || d.running > 0 || (!d.askedAt.IsZero() && now.Sub(d.askedAt) < recentTime)
}

// steady is the long-term rate with what is assumed of a model that is hardly known.
func (d *demand) steady(age time.Duration) float64 {
	const priorSpan = 1 / priorRate
	weight := longTime.Seconds() * (1 - math.Exp(-age.Seconds()/longTime.Seconds()))
	return (d.long.sum + 1) / (weight + priorSpan)
}

// projected is the rate to be expected after ahead. The whole of a service's demand is not extrapolated, only how
// much of it asks for this model: demand moves from model to model faster than it grows.
func (d *demand) projected(whole, before average, age, ahead time.Duration) float64 {
	fast, slow := whole.rate(age, fastTime), before.rate(age, slowTime)
	if fast <= 0 || slow <= 0 {
		return d.fast.rate(age, fastTime)
	}
	share := d.fast.rate(age, fastTime) / fast
	shareBefore := d.slow.rate(age, slowTime) / slow
	deviation := math.Sqrt(math.Max(share, shareBefore) / (2 * fastTime.Seconds() * fast))
	rise := share - shareBefore
	rise -= math.Copysign(math.Min(math.Abs(rise), noiseFactor*deviation), rise)
	slope := rise / (slowTime - fastTime).Seconds()
	future := shareBefore + slope*(slowTime+ahead).Seconds()
	return math.Min(1, math.Max(0, future)) * math.Max(fast, slow)
}

// gauges are the last told requests waiting and out of one router.
type gauges struct {
	at   time.Time
	rows map[rowKey]rowGauge
}

type rowKey struct{ service, model, adapter string }

type rowGauge struct{ waiting, running int }

// tally holds the demand of all services.
type tally struct {
	models  map[string]map[string]*demand // by service and model
	whole   map[string]*demand            // by service
	routers map[string]gauges             // by node
	last    time.Time
	start   time.Time // of the first report, or of the first after a silence
	heard   time.Time // last report
}

func newTally() *tally {
	return &tally{models: map[string]map[string]*demand{}, whole: map[string]*demand{}, routers: map[string]gauges{}}
}

func (t *tally) age(now time.Time) time.Duration {
	if t.start.IsZero() || now.Sub(t.heard) > unheardTime {
		return 0
	}
	return now.Sub(t.start)
}

func (t *tally) of(service, model string) *demand {
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

func (t *tally) wholeOf(service string) *demand {
	found := t.whole[service]
	if found == nil {
		found = newDemand()
		t.whole[service] = found
	}
	return found
}

// advance lets time pass.
func (t *tally) advance(now time.Time) {
	elapsed := now.Sub(t.last).Seconds()
	first := t.last.IsZero()
	t.last = now
	if first || elapsed <= 0 {
		return
	}
	by := func(constant time.Duration) float64 { return math.Exp(-elapsed / constant.Seconds()) }
	fast, slow, long, unmet := by(fastTime), by(slowTime), by(longTime), by(unmetTime)
	for _, models := range t.models {
		for _, d := range models {
			d.decay(fast, slow, long, unmet)
		}
	}
	for _, d := range t.whole {
		d.decay(fast, slow, long, unmet)
	}
	for node, router := range t.routers {
		if now.Sub(router.at) > gaugeTime {
			t.gauge(router.rows, -1)
			delete(t.routers, node)
		}
	}
}

// startAnew forgets rates that were counted before a silence; the long-term rate stays.
func (t *tally) startAnew() {
	for _, models := range t.models {
		for _, d := range models {
			d.decay(0, 0, 1, 1)
		}
	}
}

// take counts one router's report.
func (t *tally) take(now time.Time, report protocol.Report) {
	if t.start.IsZero() || now.Sub(t.heard) > unheardTime {
		t.start = now.Add(-report.Window)
		t.startAnew()
	}
	t.heard = now
	rows := make(map[rowKey]rowGauge, len(report.Models))
	for _, row := range report.Models {
		d := t.of(row.Service, row.Model)
		d.count(now, row)
		t.wholeOf(row.Service).count(now, row)
		if row.Adapter != "" {
			d.adapter(row.Adapter).count(now, row)
		}
		key := rowKey{row.Service, row.Model, row.Adapter}
		seen := rows[key]
		rows[key] = rowGauge{seen.waiting + row.Queued, seen.running + row.InFlight}
	}
	t.gauge(t.routers[report.Node].rows, -1)
	t.gauge(rows, 1)
	t.routers[report.Node] = gauges{now, rows}
	t.mark(now, rows)
}

func (d *demand) adapter(name string) *demand {
	found := d.adapters[name]
	if found == nil {
		found = newDemand()
		d.adapters[name] = found
	}
	return found
}

func (t *tally) gauge(rows map[rowKey]rowGauge, sign int) {
	for key, row := range rows {
		d := t.of(key.service, key.model)
		d.waiting += sign * row.waiting
		d.running += sign * row.running
		if key.adapter != "" {
			a := d.adapter(key.adapter)
			a.waiting += sign * row.waiting
			a.running += sign * row.running
		}
	}
}

// mark notes since when requests wait.
func (t *tally) mark(now time.Time, rows map[rowKey]rowGauge) {
	for key := range rows {
		d := t.of(key.service, key.model)
		switch {
		case d.waiting <= 0:
			d.waitingSince = time.Time{}
		case d.waitingSince.IsZero():
			d.waitingSince = now
		}
	}
}
