package dispatch

import (
	"slices"
	"sort"
	"time"

	"raventrestle/internal/protocol"
)

// What the world's routers do is carried out here, and held against the rules.

// step steps one router, if something happened or its time has come.
func (w *simulation) step(i int) {
	d := w.routers[i]
	wake := d.NextWake()
	if len(w.inputs[i]) == 0 && (wake.IsZero() || wake.After(w.clock())) {
		return
	}
	inputs := w.inputs[i]
	w.inputs[i] = nil
	for _, o := range d.Step(w.clock(), inputs) {
		w.carryOut(i, o)
	}
	w.checkOrder(d)
}

func (w *simulation) carryOut(i int, o Output) {
	switch o := o.(type) {
	case Send:
		w.send(w.clients[i][o.ID], o)
	case Reject:
		if w.clients[i][o.ID].canceled {
			w.t.Fatalf("request %d rejected after its client left, want no output", o.ID)
		}
		w.reject(w.clients[i][o.ID], o)
	case RequestCredit:
		w.answerCredit(i, o.Request)
	case Report:
		if w.loading != nil {
			w.placeOnDemand(o.Report)
		}
	case Abandon:
		c := w.clients[i][o.ID]
		if !c.request.Retryable || c.call == nil || c.call.begun {
			w.t.Fatalf("abandoned %+v, want only retryable requests without an answer", c.request)
		}
		c.call.server.drop(c.call)
		w.finishCall(c, ConnectionLost, true)
	}
}

func (w *simulation) serverOf(id string) *simulatedEndpoint {
	at := slices.IndexFunc(w.servers, func(s *simulatedEndpoint) bool { return s.row.ID == id })
	if at < 0 {
		w.t.Fatalf("sent to %s, want an endpoint that exists", id)
	}
	return w.servers[at]
}

func (w *simulation) send(c *simulatedClient, o Send) {
	s := w.serverOf(o.Endpoint)
	if s.drainAt > 0 && s.drainAt < w.now {
		w.t.Fatalf("sent to %s after it began to drain, want another endpoint", o.Endpoint)
	}
	if c.endCount > 0 || c.call != nil {
		w.t.Fatalf("request %d sent after its end or while in flight, want one attempt at a time", o.ID)
	}
	if len(c.runs) > 0 && !c.request.Retryable {
		w.t.Fatalf("request %d sent again after it may have executed, want it rejected", o.ID)
	}
	if len(c.runs) >= c.request.MaxEndpoints {
		w.t.Fatalf("request %d sent to another endpoint, want %d at most", o.ID, c.request.MaxEndpoints)
	}
	c.call = &simulatedCall{client: c, server: s}
	w.live = append(w.live, c.call)
	key := uint64(0)
	for _, p := range c.request.PromptParts {
		key = key*1000 + p.Hash
		c.call.links = append(c.call.links, promptPrefix{key, float64(p.Tokens)})
	}
	w.deliver(c, s, o.Priority)
}

// deliver lets the call arrive at its endpoint.
func (w *simulation) deliver(c *simulatedClient, s *simulatedEndpoint, priority int) {
	if w.disconnected[c.router] {
		c.runs[s.row.ID] = true
		c.arrivals++
		c.call.lost = w.now + 3*time.Second
		return
	}
	if s.condition == crashed || s.departed {
		w.finishCall(c, NotSent, true)
		return
	}
	if c.arrivals++; c.arrivals > 1 {
		w.further[c.request.Service] = append(w.further[c.request.Service], w.now)
	}
	switch {
	case s.condition == hung:
		c.runs[s.row.ID] = true
		c.call.lost = w.now + 3*time.Second
	case !s.serves(c.request.Model, c.request.Adapter):
		w.finishCall(c, Misdirected, true)
	case !s.accept(c.call, priority, w.now, w.rng):
		w.finishCall(c, Rejected, true)
	default:
		c.runs[s.row.ID] = true
		if c.arrivals == 1 {
			w.spent[c.request.Tenant] = append(w.spent[c.request.Tenant], spending{w.now, c.request.Charge})
		}
		if w.rng.Float64() < s.resetProbability {
			c.call.lost = w.now + 10*time.Millisecond
		}
	}
}

// answerCredit has the control instances answer after a moment; one answer in 30 is lost.
func (w *simulation) answerCredit(router int, asked protocol.CreditRequest) {
	if w.unissued || w.rng.IntN(30) == 0 {
		return
	}
	grant := w.issuer.answer(w.now, w.routers[router].config, w.config.Tenants, asked)
	delay := time.Duration(1+w.rng.IntN(8)) * time.Millisecond
	w.delayedCredit = append(w.delayedCredit, delayedCredit{w.now + delay, router, grant})
}

func (w *simulation) reject(c *simulatedClient, o Reject) {
	if c.endCount > 0 || c.call != nil {
		w.t.Fatalf("request %d rejected after its end or while in flight, want one end", o.ID)
	}
	if o.Reason == TargetUnreachable && len(c.runs) == 0 && w.halfFree(&c.request) {
		w.rejectedWhileHalfFree++
	}
	c.kind.rejected++
	c.rejectedNow = true
	c.reason = o.Reason
	c.rejectedAt, c.retryAfter = w.now, o.RetryAfter
	if c.request.ClientRetry {
		c.kind.rejectedTwice++
	}
	if len(c.runs) == 0 && !c.rejected && o.RetryAfter > 0 {
		c.endCount++
		c.retried = true
		left := c.request.Deadline.Sub(w.clock())
		w.returningClients = append(w.returningClients, returning{w.now + min(o.RetryAfter, left/3), c})
		return
	}
	w.close(c)
}

// halfFree: under half of the places of the endpoints that hold what it needs are taken, and none waits.
func (w *simulation) halfFree(r *Request) bool {
	taken, places := 0, 0
	for _, s := range w.servers {
		if s.engine != (r.Model != "") || !s.serves(r.Model, r.Adapter) || s.condition != healthy || s.row.State != protocol.Ready {
			continue
		}
		if len(s.queue) > 0 {
			return false
		}
		taken += len(s.running)
		places += s.row.Slots
	}
	return places > 0 && 2*taken < places
}

// checkOrder: after a step no head that may leave is left while slots are free.
func (w *simulation) checkOrder(d *Decider) {
	if e, found := d.schedule.Next(d.offerFlow); found {
		w.t.Fatalf("%s has a queued request that may leave, want it sent", e.id)
	}
	if d.schedule.BusySlots > d.schedule.Slots {
		w.t.Fatalf("%d slots in use, want %d at most", d.schedule.BusySlots, d.schedule.Slots)
	}
}

// checkWindows checks the retry budget and the quotas over all routers in every window.
func (w *simulation) checkWindows() {
	for service, list := range w.further {
		asks := w.requestTimes[service]
		for i, from := range list {
			n := sort.Search(len(list), func(j int) bool { return list[j] > from+DefaultRetryBudgetWindow }) - i
			allowed := 0.2*float64(w.maxRequests(asks, from)) + 56
			if float64(n) > allowed {
				w.t.Fatalf("%s: %d retries from %v on, want %v at most", service, n, from, allowed)
			}
		}
	}
	for _, t := range w.config.Tenants {
		list := w.spent[t.Name]
		allowed := (t.RatePerSecond*DefaultQuotaWindow.Seconds()+t.Burst)*1.1 + 11000
		sum := 0.0
		for i, j := 0, 0; i < len(list); i++ {
			sum += list[i].charge
			for list[j].at < list[i].at-DefaultQuotaWindow {
				sum -= list[j].charge
				j++
			}
			if sum > allowed {
				w.t.Fatalf("tenant %s spent %v, want %v at most, until %v", t.Name, sum, allowed, list[i].at)
			}
		}
	}
}

// maxRequests is how many requests the window from then on holds, the one before, or the one half a window before.
func (w *simulation) maxRequests(asks []time.Duration, from time.Duration) int {
	count := 0
	for _, back := range []time.Duration{0, DefaultRetryBudgetWindow / 2, DefaultRetryBudgetWindow} {
		low := sort.Search(len(asks), func(i int) bool { return asks[i] >= from-back })
		high := sort.Search(len(asks), func(i int) bool { return asks[i] > from-back+DefaultRetryBudgetWindow })
		count = max(count, high-low)
	}
	return count
}
