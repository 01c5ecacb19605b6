package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"raventrestle/internal/protocol"
)

func (g *goldenRun) addEndpoint(service string, slots int, models ...string) *goldenEndpoint {
	g.number++
	id := fmt.Sprintf("%s-%d", service, g.number)
	e := &goldenEndpoint{slow: 1 + 0.4*g.random.Float64(), row: protocol.Endpoint{
		ID: id, Service: service, Address: id + ":1",
		Zone: fmt.Sprintf("z%d", g.number%3), Slots: slots, Sequence: uint64(g.number),
	}}
	for _, model := range models {
		e.row.Models = append(e.row.Models, protocol.LoadedModel{Name: model, Generation: 1, Adapters: []string{"a0", "a1"}})
	}
	g.endpoints = append(g.endpoints, e)
	return e
}

func (e *goldenEndpoint) serves(model, adapter string) bool {
	if model == "" {
		return true
	}
	for _, m := range e.row.Models {
		if m.Name == model {
			return adapter == "" || slices.Contains(m.Adapters, adapter)
		}
	}
	return false
}

func (g *goldenRun) endpointNamed(id string) *goldenEndpoint {
	at := slices.IndexFunc(g.endpoints, func(e *goldenEndpoint) bool { return e.row.ID == id })
	return g.endpoints[at]
}

// snapshot returns a copy of the endpoint's row, as the control plane sends it.
func (e *goldenEndpoint) snapshot() protocol.Endpoint {
	row := e.row
	row.Loading = slices.Clone(row.Loading)
	row.Models = slices.Clone(row.Models)
	for i := range row.Models {
		row.Models[i].Adapters = slices.Clone(row.Models[i].Adapters)
	}
	return row
}

func (g *goldenRun) rows() []protocol.Endpoint {
	var rows []protocol.Endpoint
	for _, e := range g.endpoints {
		if !e.departed {
			rows = append(rows, e.snapshot())
		}
	}
	return rows
}

// announce sends the endpoint's latest state after the control plane's delay.
func (g *goldenRun) announce(e *goldenEndpoint) {
	e.row.Sequence++
	row := e.snapshot()
	g.after(time.Duration(2+g.random.IntN(9))*time.Millisecond, func() { g.input(ViewChanged{Endpoints: []protocol.Endpoint{row}}) })
}

// drawEndpoint returns a random endpoint that has not departed.
func (g *goldenRun) drawEndpoint() *goldenEndpoint {
	for {
		if e := g.endpoints[g.random.IntN(len(g.endpoints))]; !e.departed {
			return e
		}
	}
}

func (g *goldenRun) heartbeat() {
	e := g.drawEndpoint()
	if !e.unreachable && !e.unresponsive {
		g.announce(e)
	}
}

// fullTable sends the complete table. Sometimes an endpoint is missing in it, which is added again by a later update.
func (g *goldenRun) fullTable() {
	rows := g.rows()
	if g.random.IntN(3) == 0 {
		at := g.random.IntN(len(rows))
		missing := rows[at]
		rows = slices.Delete(rows, at, at+1)
		g.after(120*time.Millisecond, func() {
			if !g.endpointNamed(missing.ID).departed {
				g.input(ViewChanged{Endpoints: []protocol.Endpoint{missing}})
			}
		})
	}
	g.input(ViewChanged{Full: true, Endpoints: rows})
}

// lateUpdate sends a row that may be older than the decider's knowledge, also for endpoints that have departed.
func (g *goldenRun) lateUpdate() {
	row := g.endpoints[g.random.IntN(len(g.endpoints))].snapshot()
	row.Sequence -= min(row.Sequence, uint64(g.random.IntN(3)))
	row.State = protocol.Ready
	g.after(200*time.Millisecond, func() { g.input(ViewChanged{Endpoints: []protocol.Endpoint{row}}) })
}

// fault injects a random fault into a random endpoint.
func (g *goldenRun) fault() {
	e := g.drawEndpoint()
	until := time.Duration(200+g.random.IntN(2500)) * time.Millisecond
	switch g.random.IntN(7) {
	case 0:
		e.unreachable = true
		g.after(until, func() { e.unreachable = false })
	case 1:
		e.unresponsive = true
		g.after(until, func() { e.unresponsive = false })
	case 2:
		e.failures = 0.3 + 0.7*g.random.Float64()
		g.after(until, func() { e.failures = 0 })
	case 3:
		e.resets = 0.2 + 0.5*g.random.Float64()
		g.after(until, func() { e.resets = 0 })
	case 4:
		slow := e.slow
		e.slow *= 2 + 6*g.random.Float64()
		g.after(until, func() { e.slow = slow })
	case 5:
		e.row.State = protocol.Unresponsive
		g.announce(e)
		g.after(until, func() {
			if e.row.State == protocol.Unresponsive {
				e.row.State = protocol.Ready
				g.announce(e)
			}
		})
	default:
		g.replace(e, until)
	}
}

// replace drains an endpoint and removes it. A new endpoint takes its place, which is warming up at first.
func (g *goldenRun) replace(e *goldenEndpoint, after time.Duration) {
	if e.row.State == protocol.Draining {
		return
	}
	e.row.State = protocol.Draining
	g.announce(e)
	g.after(after, func() {
		e.departed = true
		e.row.State = protocol.Departed
		g.announce(e)
		var models []string
		for _, m := range e.row.Models {
			models = append(models, m.Name)
		}
		fresh := g.addEndpoint(e.row.Service, e.row.Slots, models...)
		fresh.row.WarmUpRemaining = 800 * time.Millisecond
		g.announce(fresh)
		g.after(900*time.Millisecond, func() { fresh.row.WarmUpRemaining = 0 })
	})
}

// failAll makes nearly all endpoints unreachable for a time.
func (g *goldenRun) failAll() {
	for i, e := range g.endpoints {
		if i > 0 {
			e.unreachable = true
			g.after(1300*time.Millisecond, func() { e.unreachable = false })
		}
	}
}

// orderLoad orders a random endpoint to load or unload a model or an adapter.
func (g *goldenRun) orderLoad() {
	e := g.drawEndpoint()
	if e.row.Service != "lm" || len(e.row.Loading) > 0 {
		return
	}
	model := []string{"m", "n", "rare"}[g.random.IntN(3)]
	adapter := []string{"", "", "a0", "a1", "a2"}[g.random.IntN(5)]
	if e.serves(model, adapter) && g.random.IntN(2) == 0 {
		g.carryOutOrder(e, protocol.ModelLoad{Model: model, Adapter: adapter, Unload: true, Remaining: 30 * time.Millisecond})
		return
	}
	if adapter != "" && !e.serves(model, "") {
		adapter = ""
	}
	g.carryOutOrder(e, protocol.ModelLoad{Model: model, Adapter: adapter, Remaining: time.Duration(100+g.random.IntN(700)) * time.Millisecond})
}

// carryOutOrder makes the endpoint carry out an order in about the announced time. Its heartbeat follows later.
func (g *goldenRun) carryOutOrder(e *goldenEndpoint, order protocol.ModelLoad) {
	e.row.Loading = append(e.row.Loading, order)
	g.announce(e)
	took := time.Duration(float64(order.Remaining) * (0.7 + 0.5*g.random.Float64()))
	g.after(took, func() {
		at := slices.IndexFunc(e.row.Models, func(m protocol.LoadedModel) bool { return m.Name == order.Model })
		switch {
		case order.Unload && at >= 0 && order.Adapter == "":
			e.row.Models = slices.Delete(e.row.Models, at, at+1)
		case order.Unload && at >= 0:
			e.row.Models[at].Adapters = slices.DeleteFunc(slices.Clone(e.row.Models[at].Adapters),
				func(a string) bool { return a == order.Adapter })
		case !order.Unload && at < 0 && order.Adapter == "":
			e.row.Models = append(e.row.Models, protocol.LoadedModel{Name: order.Model, Generation: 1})
		case !order.Unload && at >= 0 && order.Adapter != "" && !e.serves(order.Model, order.Adapter):
			e.row.Models[at].Adapters = append(slices.Clone(e.row.Models[at].Adapters), order.Adapter)
		}
		g.after(time.Duration(g.random.IntN(400))*time.Millisecond, func() {
			e.row.Loading = nil
			g.announce(e)
		})
	})
}

// loseModel makes an endpoint lose a model or an adapter, which the table reflects only later. In one of four cases
// another instance has the endpoint's address for a while instead.
func (g *goldenRun) loseModel() {
	e := g.drawEndpoint()
	if g.random.IntN(4) == 0 {
		e.misdirected = true
		g.after(300*time.Millisecond, func() { e.misdirected = false })
		return
	}
	if len(e.row.Models) == 0 {
		return
	}
	stale := e.snapshot().Models
	model := &e.row.Models[g.random.IntN(len(e.row.Models))]
	model.Adapters = nil
	if g.random.IntN(2) == 0 {
		e.row.Models = e.row.Models[1:]
	}
	e.row.Sequence++
	row := e.snapshot()
	row.Models = stale
	g.after(150*time.Millisecond, func() { g.input(ViewChanged{Endpoints: []protocol.Endpoint{row}}) })
	g.after(time.Second, func() {
		e.row.Models = stale
		g.announce(e)
	})
}

// placeOnDemand loads models and adapters with queued requests according to a report.
func (g *goldenRun) placeOnDemand(report protocol.Report) {
	for _, m := range report.Models {
		if m.Service != "lm" || m.Queued == 0 || g.random.IntN(4) > 0 {
			continue
		}
		if e := g.drawEndpoint(); e.row.Service == "lm" && len(e.row.Loading) == 0 && !e.serves(m.Model, m.Adapter) &&
			(m.Adapter == "" || e.serves(m.Model, "")) {
			g.carryOutOrder(e, protocol.ModelLoad{Model: m.Model, Adapter: m.Adapter, Remaining: time.Duration(20+g.random.IntN(80)) * time.Millisecond})
		}
	}
}

// answerCredit answers a credit request as the control instances do, if the scenario has answers. Some answers are
// lost, some are late.
func (g *goldenRun) answerCredit(asked protocol.CreditRequest) {
	if !g.credit || g.random.IntN(20) == 0 {
		return
	}
	grant := g.issuer.answer(g.now, g.config, goldenConfiguration(g.quota, g.change).Tenants, asked)
	delay := time.Duration(1+g.random.IntN(12)) * time.Millisecond
	if g.random.IntN(40) == 0 {
		delay = time.Duration(50+g.random.IntN(350)) * time.Millisecond
	}
	g.after(delay, func() { g.input(CreditGranted{grant}) })
}

// goldenExact formats a number with all its digits.
func goldenExact(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

func (g *goldenRun) record(format string, arguments ...any) {
	g.lines = append(g.lines, fmt.Sprintf("%d ", g.now.Microseconds())+fmt.Sprintf(format, arguments...))
}

func (g *goldenRun) recordOutput(output Output) {
	switch o := output.(type) {
	case Send:
		expected := 0.0
		if r := g.decider.requests[o.ID]; r != nil {
			expected = r.predictedMS
		}
		g.record("send %d to %s %s priority %d connections %d expected %s", o.ID, o.Endpoint, o.Address, o.Priority, o.MaxConnections,
			goldenExact(expected))
	case Reject:
		g.record("refuse %d reason %d after %d", o.ID, o.Reason, o.RetryAfter)
	case Abandon:
		g.record("abandon %d at %s", o.ID, o.Endpoint)
	case RequestCredit:
		r := o.Request
		g.record("credit %d for %s amount %s waiting %s least %s rank %d", r.ID, r.Tenant, goldenExact(r.Amount), goldenExact(r.Waiting),
			goldenExact(r.Minimum), r.Rank)
	case Report:
		g.recordReport(o.Report)
	}
}

func (g *goldenRun) recordReport(r protocol.Report) {
	line := fmt.Sprintf("report %s %d %d window %d", r.Node, r.Incarnation, r.Sequence, r.Window)
	for _, m := range r.Models {
		line += fmt.Sprintf("; %s/%s/%s %d %d %d %d %d %d", m.Service, m.Model, m.Adapter, m.Requests, m.Unserved, m.Queued, m.InFlight,
			m.Tokens, m.Value)
	}
	g.record("%s; failing %s; reached %s", line, strings.Join(r.Unreachable, " "), strings.Join(r.Reachable, " "))
}

// recordState records the counters and what the decider has learned.
func (g *goldenRun) recordState() {
	d := g.decider
	c := d.Counters()
	g.record("counters %d %d %d %d %d %d %v %d", c.Arrived, c.Sent, c.SentPastTarget, c.Retries, c.Abandoned, c.Requeued, c.Rejected, c.Ejected)
	x := d.PredictionErrors()
	g.record("errors %d %s %s %s %s", x.Count, goldenExact(x.MedianRatio), goldenExact(x.Percentile95), goldenExact(x.MeanAbsoluteMS),
		goldenExact(x.MeanPredictedMS))
	services := goldenSorted(d.services)
	for _, name := range services {
		s := d.services[name]
		g.record("service %s endpoints %d down %d out %d behind %s duration %s budget %d %d fairness %s %s", name, s.endpoints, s.ejected, s.inFlight,
			goldenExact(s.pastTargetFraction), goldenExact(s.durationMS), s.budget.requestCount(), s.budget.retryCount(), goldenExact(s.fairness.all.served),
			goldenExact(s.fairness.large.served))
		for _, model := range goldenSorted(s.groups) {
			group := s.groups[model]
			g.record("model %q first %s thousand %s prompt %s memory %s length %s %s", model, goldenExact(group.firstByteMS(1.3)),
				goldenExact(group.msPerThousandTokens()), goldenExact(group.meanPrefillTokens), goldenExact(group.meanKVTokens),
				goldenExact(group.durationBounds.streams.mean), goldenExact(group.durationBounds.others.deviation))
		}
	}
	for _, id := range goldenSorted(d.endpoints) {
		e := d.endpoints[id]
		kept := 0
		for _, res := range e.residencies {
			kept += res.prefixCache.tokens
		}
		g.record("endpoint %s calls %d held %d slow %s backoff %d weight %d kept %d delta %s", id, len(e.inFlight), len(e.queue),
			goldenExact(e.slowness.factor(d.now)), e.health.ejectionBackoff, e.health.failureScore, kept, goldenExact(e.Penalty()))
	}
	for _, name := range goldenSorted(d.tenants) {
		t := d.tenants[name]
		g.record("tenant %s reserve %s credit %s unpaid %d asked %d ahead %s refused %s", name, goldenExact(t.reserve.level),
			goldenExact(d.availableCredit(t)), len(t.quotaQueue), len(t.pendingCreditRequests), goldenExact(t.demand.advanceAmount(d.now)), goldenExact(t.lastRefusal.charge))
	}
}

func goldenSorted[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
