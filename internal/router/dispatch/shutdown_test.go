package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

func (s *script) shutdown(queueDeadline int) ShutdownStarted {
	return ShutdownStarted{QueueDeadline: s.time(queueDeadline)}
}

// requestWithDistantTarget returns a request whose latency target is 10 s away.
func (s *script) requestWithDistantTarget(model string) Request {
	r := s.request(model)
	r.LatencyTarget, r.Deadline = s.time(s.nowMS+10000), s.time(s.nowMS+30000)
	return r
}

// A request that waits for a load of its model may normally stay queued up to its latency target. During a shutdown
// it is rejected at the queue deadline, with a short Retry-After. A request that arrives later and can't be sent is
// queued only for a moment.
func TestNoRequestStaysQueuedAfterTheShutdownQueueDeadline(t *testing.T) {
	loading := modelEndpoint("a", 1, "m")
	loading.Loading = []protocol.ModelLoad{{Model: "rare", Remaining: 9 * time.Second}}
	s := newScript(t, loading)
	s.step(1000)
	s.step(1000, RequestArrived{s.requestWithDistantTarget("rare")})
	if out := s.step(1100, s.shutdown(2500)); len(rejections(out)) > 0 {
		t.Fatalf("got %v, want no rejection before the queue deadline", out)
	}
	if at := s.d.NextWake(); at.IsZero() || at.After(s.time(2500)) {
		t.Errorf("next wake %v after the start, want 2.5s at the latest", at.Sub(s.startTime))
	}
	rejection := s.oneRejection(s.step(2500))
	if rejection.Reason != ShuttingDown || rejection.RetryAfter <= 0 || rejection.RetryAfter > 100*time.Millisecond {
		t.Errorf("rejected with %+v, want ShuttingDown and 100ms at most", rejection)
	}
	if out := s.step(2600, RequestArrived{s.requestWithDistantTarget("rare")}); len(rejections(out)) > 0 {
		t.Errorf("got %v, want the request to stay queued for a moment", out)
	}
	if at := s.d.NextWake(); at.IsZero() || at.After(s.time(2750)) {
		t.Errorf("next wake %v after the start, want 2.75s at the latest", at.Sub(s.startTime))
	}
	if rejection := s.oneRejection(s.step(2751)); rejection.Reason != ShuttingDown {
		t.Errorf("rejected with %+v, want ShuttingDown", rejection)
	}
	if send := s.oneSend(s.step(2760, RequestArrived{s.requestWithDistantTarget("m")})); send.Endpoint != "a" {
		t.Errorf("sent %+v, want it to a", send)
	}
	if len(s.d.requests) != 1 {
		t.Errorf("%d requests, want 1", len(s.d.requests))
	}
}

// A request does not wait for a load that finishes only after the queue deadline.
func TestRequestsDoNotWaitForLoadsThatFinishAfterTheShutdownQueueDeadline(t *testing.T) {
	loading := modelEndpoint("a", 1, "m")
	loading.Loading = []protocol.ModelLoad{{Model: "rare", Remaining: 9 * time.Second}}
	s := newScript(t, loading)
	s.step(0, s.shutdown(2500))
	r := s.request("rare")
	r.LatencyTarget, r.Deadline = s.time(10000), s.time(30000)
	s.step(1, RequestArrived{r})
	rejection := s.oneRejection(s.step(2300))
	if rejection.Reason != NoEndpoint || rejection.RetryAfter < 6*time.Second {
		t.Errorf("rejected with %+v, want NoEndpoint and 6s at least", rejection)
	}
}

// A stream that broke off midway is not rejected because no slot is free for a moment.
func TestBrokenStreamStaysQueuedDuringShutdown(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	s.step(0, s.shutdown(2000))
	send := s.oneSend(s.step(2100, RequestArrived{s.requestWithDistantTarget("m")}))
	s.step(2200, FirstByteReceived{ID: send.ID, Endpoint: "a"})
	out := s.step(2300, AttemptFinished{ID: send.ID, Endpoint: "a", Result: ConnectionLost, NeedsRetry: true})
	if len(rejections(out)) > 0 {
		t.Fatalf("got %v, want the stream to stay queued", out)
	}
	b := modelEndpoint("b", 1, "m")
	if send := s.oneSend(s.step(2350, ViewChanged{Endpoints: []protocol.Endpoint{b}})); send.Endpoint != "b" {
		t.Errorf("sent %+v, want it to b", send)
	}
}

// In random scenarios, a router that shuts down has no request that stays queued for long after its queue deadline.
// Each request ends once, and all invariants hold.
func TestQueuesAreFlushedDuringShutdownOfRandomScenarios(t *testing.T) {
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 3))
		w := newSimulation(t, seed, 3)
		w.startNormalLoad(0.5 + 2*rng.Float64())
		s := w.servers[rng.IntN(len(w.servers))]
		fault := faults[rng.IntN(len(faults))]
		w.at(2*time.Second, func(w *simulation) { fault(w, s, 5*time.Second) })
		queueDeadline := 2500 * time.Millisecond
		w.at(time.Second, func(w *simulation) {
			w.inputs[1] = append(w.inputs[1], ShutdownStarted{QueueDeadline: w.startTime.Add(queueDeadline)})
		})
		for at := queueDeadline; at < 5*time.Second; at += simulationTick {
			w.run(at + simulationTick)
			w.checkQueued(w.routers[1])
		}
		w.run(7 * time.Second)
		w.finish()
	}
}

// checkQueued checks that no request is queued for long except streams that broke off midway.
func (w *simulation) checkQueued(d *Decider) {
	for _, r := range d.requests {
		if r.stage == stageQueued && !r.answerStarted && d.now > r.arrived+shutdownQueueTimeout+simulationTick {
			w.t.Errorf("request %d has been queued for %v, want %v at most", r.ID, d.now-r.arrived, shutdownQueueTimeout)
		}
	}
}

// selectiveAdmissionAt is when selective admission begins, in ms; the process ends 4.6 s later.
const selectiveAdmissionAt = 12800

// newScriptAtSelectiveAdmission returns a script at that time, whose router has seen streams of 3 s and calls of 40
// ms.
func newScriptAtSelectiveAdmission(t *testing.T) *script {
	t.Helper()
	s := newScript(t, modelEndpoint("a", 1, "m"), plainEndpoint("b", 1000))
	for i := range 4 {
		at := 1000 + 10*i
		s.step(at)
		stream, plain := s.request("m"), s.request("")
		s.step(at, RequestArrived{stream}, RequestArrived{plain})
		s.step(at+40, AttemptFinished{ID: plain.ID, Endpoint: "b", Result: Succeeded})
		s.step(at+3000, FirstByteReceived{ID: stream.ID, Endpoint: "a"}, AttemptFinished{ID: stream.ID, Endpoint: "a", Result: Succeeded})
	}
	s.step(10000, ShutdownStarted{QueueDeadline: s.time(12300), SelectiveAdmissionFrom: s.time(selectiveAdmissionAt), ShutdownDeadline: s.time(17400)})
	s.step(selectiveAdmissionAt)
	return s
}

// A request that arrives long after SIGTERM is admitted only if it will finish before the process ends, by its own
// deadline or because similar calls were short. Others are rejected at once, with a short Retry-After.
func TestOnlyRequestsThatFinishBeforeShutdownAreAdmitted(t *testing.T) {
	for name, c := range map[string]struct {
		at       int
		model    string
		modify   func(s *script, r *Request)
		admitted bool
	}{
		"a stream before selective admission": {at: selectiveAdmissionAt - 1, model: "m", admitted: true},
		"a stream":                            {at: selectiveAdmissionAt, model: "m"},
		"a short stream":                      {at: selectiveAdmissionAt, model: "m", modify: func(_ *script, r *Request) { r.OutputTokens = 10 }, admitted: true},
		"a short stream, near the end":        {at: selectiveAdmissionAt + 4000, model: "m", modify: func(_ *script, r *Request) { r.OutputTokens = 10 }},
		"a stream that may not be resumed":    {at: selectiveAdmissionAt, model: "m", modify: func(_ *script, r *Request) { r.Retryable = false }},
		"a stream with a near deadline": {
			at: selectiveAdmissionAt, model: "m", admitted: true,
			modify: func(s *script, r *Request) { r.Deadline = s.time(selectiveAdmissionAt + 4000) },
		},
		"a stream of an unknown kind": {at: selectiveAdmissionAt, admitted: false, modify: func(s *script, r *Request) {
			r.Streaming, r.Deadline = true, s.time(selectiveAdmissionAt+15000)
		}},
		"a short call": {at: selectiveAdmissionAt, admitted: true, modify: func(s *script, r *Request) { r.Deadline = s.time(selectiveAdmissionAt + 15000) }},
		"a short call, near the end": {at: selectiveAdmissionAt + 4400, modify: func(s *script, r *Request) {
			r.Deadline = s.time(selectiveAdmissionAt + 15000)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptAtSelectiveAdmission(t)
			if c.at < selectiveAdmissionAt {
				s = newScript(t, modelEndpoint("a", 1, "m"))
				s.step(10000, ShutdownStarted{QueueDeadline: s.time(12300), SelectiveAdmissionFrom: s.time(selectiveAdmissionAt), ShutdownDeadline: s.time(17400)})
			}
			s.step(c.at)
			r := s.request(c.model)
			if c.modify != nil {
				c.modify(s, &r)
			}
			out := s.step(c.at, RequestArrived{r})
			if c.admitted {
				s.oneSend(out)
				return
			}
			if rejection := s.oneRejection(out); rejection.Reason != ShuttingDown || rejection.RetryAfter <= 0 || rejection.RetryAfter > 100*time.Millisecond {
				t.Errorf("rejected with %+v, want ShuttingDown and 100ms at most", rejection)
			}
			if len(s.d.requests) != 0 {
				t.Errorf("%d requests are left, want none", len(s.d.requests))
			}
		})
	}
}

// Retries, and requests that waited for quota until then, are checked again.
func TestRetriesAndChargedRequestsMustFinishBeforeShutdown(t *testing.T) {
	s := newScriptAtSelectiveAdmission(t)
	r := s.request("m")
	r.OutputTokens = 10
	s.oneSend(s.step(selectiveAdmissionAt, RequestArrived{r}))
	if rejection := s.oneRejection(s.step(selectiveAdmissionAt+4000, AttemptFinished{ID: r.ID, Endpoint: "a", Result: Rejected, NeedsRetry: true})); rejection.Reason != ShuttingDown {
		t.Errorf("rejected with %+v, want ShuttingDown", rejection)
	}
	s = newScript(t, modelEndpoint("a", 1, "m"))
	s.step(10000, ShutdownStarted{QueueDeadline: s.time(12300), SelectiveAdmissionFrom: s.time(selectiveAdmissionAt), ShutdownDeadline: s.time(17400)})
	s.step(selectiveAdmissionAt - 100)
	r = s.request("m")
	r.Tenant, r.Charge = "t", 9000
	out := s.step(selectiveAdmissionAt-100, RequestArrived{r})
	if len(rejections(out))+len(sends(out)) > 0 {
		t.Fatalf("got %v, want the request to wait for quota", out)
	}
	out = s.step(selectiveAdmissionAt, grantFor(s.oneCreditRequest(out), 9000))
	if rejection := s.oneRejection(out); rejection.Reason != ShuttingDown {
		t.Errorf("rejected with %+v, want ShuttingDown", rejection)
	}
	if list := sends(out); len(list) > 0 {
		t.Errorf("sent %v, want nothing", list)
	}
}

// In random scenarios, requests that a router admitted after SelectiveAdmissionFrom have ended or reached their own
// deadline when the process ends, and short calls are still admitted.
func TestAdmittedRequestsFinishBeforeShutdownInRandomScenarios(t *testing.T) {
	admitted := uint64(0)
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 39))
		w := newSimulation(t, seed, 3)
		w.startNormalLoad(0.5 + 1.5*rng.Float64())
		const selectiveFrom, shutdownDeadline = 5 * time.Second, 9600 * time.Millisecond
		w.at(2*time.Second, func(w *simulation) {
			w.inputs[1] = append(w.inputs[1], ShutdownStarted{
				QueueDeadline: w.startTime.Add(selectiveFrom - 500*time.Millisecond), SelectiveAdmissionFrom: w.startTime.Add(selectiveFrom), ShutdownDeadline: w.startTime.Add(shutdownDeadline),
			})
		})
		w.run(selectiveFrom)
		before := w.routers[1].counters.Sent
		w.run(shutdownDeadline)
		admitted += w.routers[1].counters.Sent - before
		for _, r := range w.routers[1].requests {
			if r.arrived+w.routers[1].startTime.Sub(w.startTime) >= selectiveFrom && r.stage == stageInFlight && r.deadline > w.routers[1].shutdown.deadline {
				t.Errorf("seed %d: request %d of %s is in flight at the end of the process, want it finished", seed, r.ID, r.Service)
			}
		}
		w.run(shutdownDeadline + 5*time.Second)
		w.finish()
	}
	if admitted == 0 {
		t.Error("no request was admitted after SelectiveAdmissionFrom, want some")
	}
	t.Logf("%d admitted after SelectiveAdmissionFrom", admitted)
}

const (
	fastModelMSPerToken = 2
	slowModelMSPerToken = 20
	remainingMS         = 4600 // from the start of selective admission to the exit
	manySamples         = 20   // after which the estimate for calls that are alike is close
)

// newScriptWithUnequalModels returns a script at the start of selective admission, whose router has seen the given number
// of streams of a slow model, and many of a fast one of the same service.
func newScriptWithUnequalModels(t *testing.T, slowSamples int) *script {
	t.Helper()
	s := newScript(t, modelEndpoint("a", 1, "m"), modelEndpoint("b", 1, "rare"))
	for range manySamples {
		s.completeStream("m", "a", fastModelMSPerToken, false)
	}
	for range slowSamples {
		s.completeStream("rare", "b", slowModelMSPerToken, false)
	}
	s.step(s.nowMS, ShutdownStarted{
		QueueDeadline: s.time(s.nowMS), SelectiveAdmissionFrom: s.time(s.nowMS), ShutdownDeadline: s.time(s.nowMS + remainingMS),
	})
	return s
}

// completeStream has a stream answered at the model's pace; one that the client resumes ends after a tenth of its tokens.
func (s *script) completeStream(model, endpoint string, msPerToken int, resumed bool) {
	s.t.Helper()
	r := s.request(model)
	r.Resumed = resumed
	tokens := r.OutputTokens
	if resumed {
		tokens /= 10
	}
	s.oneSend(s.step(s.nowMS, RequestArrived{r}))
	s.step(s.nowMS+tokens*msPerToken, FirstByteReceived{ID: r.ID, Endpoint: endpoint},
		AttemptFinished{ID: r.ID, Endpoint: endpoint, Result: Succeeded})
}

// Guards against review/5: while a router had seen under three calls of a model, it expected the model to be as fast as the
// others of its service, and broke off at its exit what it had admitted.
func TestRequestsOfSlowModelsFinishBeforeShutdown(t *testing.T) {
	for slowSamples := range 6 {
		admitted := 0
		for elapsed := 0; elapsed < remainingMS; elapsed += 100 {
			s := newScriptWithUnequalModels(t, slowSamples)
			r := s.request("rare")
			r.OutputTokens = 50 + elapsed%7*100
			out := s.step(s.nowMS+elapsed, RequestArrived{r})
			if len(sends(out)) == 0 {
				continue
			}
			admitted++
			if lasts := r.OutputTokens * slowModelMSPerToken; elapsed+lasts > remainingMS {
				t.Errorf("%d samples: admitted a stream of %dms %dms before the exit", slowSamples, lasts, remainingMS-elapsed)
			}
		}
		if slowSamples >= minDurationSamples && admitted == 0 {
			t.Errorf("%d samples: admitted no stream, want the short ones", slowSamples)
		}
	}
}

// A model whose calls are known is served until the end: what ends in half of the time left is admitted.
func TestRequestsOfKnownModelsAreAdmittedDuringShutdown(t *testing.T) {
	const tolerance = 1.05 // the estimate keeps a small part of the first deviation
	for elapsed := 0; elapsed < remainingMS; elapsed += 100 {
		for model, msPerToken := range map[string]int{"m": fastModelMSPerToken, "rare": slowModelMSPerToken} {
			s := newScriptWithUnequalModels(t, manySamples)
			r := s.request(model)
			r.OutputTokens = 50 + elapsed%7*100
			out := s.step(s.nowMS+elapsed, RequestArrived{r})
			lasts := float64(r.OutputTokens * msPerToken)
			if lasts*tolerance <= float64(remainingMS-elapsed)/shutdownReserveDivisor && len(sends(out)) != 1 {
				t.Errorf("%s: got %v for a stream of %vms %dms before the exit, want it admitted", model, out, lasts, remainingMS-elapsed)
			}
		}
	}
}

// The rest of a stream says little about how long a complete one lasts.
func TestResumedStreamsAreNoSamplesOfTheDuration(t *testing.T) {
	s := newScript(t, modelEndpoint("b", 1, "rare"))
	for range manySamples {
		s.completeStream("rare", "b", slowModelMSPerToken, true)
	}
	s.step(s.nowMS, ShutdownStarted{
		QueueDeadline: s.time(s.nowMS), SelectiveAdmissionFrom: s.time(s.nowMS), ShutdownDeadline: s.time(s.nowMS + 1500),
	})
	if rejection := s.oneRejection(s.step(s.nowMS, RequestArrived{s.request("rare")})); rejection.Reason != ShuttingDown {
		t.Errorf("rejected with %+v, want ShuttingDown", rejection)
	}
}

// Guards against the same fault as review/5 where a call names no model: while a router had seen under three of them, it
// expected them to meet their latency target, and broke off at its exit those that did not.
func TestCallsThatNameNoModelFinishBeforeShutdown(t *testing.T) {
	const lastsMS, targetMS = 3000, 400
	for samples := range 6 {
		admitted := 0
		for elapsed := 0; elapsed < remainingMS; elapsed += 100 {
			s := newScript(t, plainEndpoint("b", 1000))
			for range samples {
				r := s.request("")
				s.oneSend(s.step(s.nowMS, RequestArrived{r}))
				s.step(s.nowMS+lastsMS, AttemptFinished{ID: r.ID, Endpoint: "b", Result: Succeeded})
			}
			s.step(s.nowMS, ShutdownStarted{
				QueueDeadline: s.time(s.nowMS), SelectiveAdmissionFrom: s.time(s.nowMS), ShutdownDeadline: s.time(s.nowMS + 3*remainingMS),
			})
			s.step(s.nowMS + 2*remainingMS + elapsed)
			r := s.request("")
			r.LatencyTarget, r.Deadline = s.time(s.nowMS+targetMS), s.time(s.nowMS+5*remainingMS)
			if len(sends(s.step(s.nowMS, RequestArrived{r}))) == 0 {
				continue
			}
			admitted++
			if elapsed+lastsMS > remainingMS {
				t.Errorf("%d samples: admitted a call of %dms %dms before the exit", samples, lastsMS, remainingMS-elapsed)
			}
		}
		if samples < minDurationSamples && admitted > 0 {
			t.Errorf("%d samples: admitted %d calls, want none", samples, admitted)
		}
	}
}

// A call that names no model is admitted once its kind is known to end in half of the time left.
func TestKnownCallsThatNameNoModelAreAdmittedDuringShutdown(t *testing.T) {
	const minRemainingMS = 600 // the estimate for four calls is above their duration
	for elapsed := 0; elapsed <= remainingMS-minRemainingMS; elapsed += 100 {
		s := newScriptAtSelectiveAdmission(t)
		r := s.request("")
		r.Deadline = s.time(selectiveAdmissionAt + 15000)
		if out := s.step(selectiveAdmissionAt+elapsed, RequestArrived{r}); len(sends(out)) != 1 {
			t.Errorf("%dms before the exit: got %v for a call of 40ms, want it admitted", remainingMS-elapsed, out)
		}
	}
}
