package dispatch

import (
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

// newScriptWithSpentQuota returns a script in which tenant t has spent its ungranted bucket and overdraft, at 2 ms: nine routers, 500 a
// second, bucket 1000, overdraft (0.1*81000+11000)/18 = 1061.
func newScriptWithSpentQuota(t *testing.T) *script {
	t.Helper()
	s := newScript(t, modelEndpoint("a", 1, "m"))
	for i := range 2 {
		s.step(1+i, AttemptFinished{ID: s.oneSend(s.step(1+i, RequestArrived{s.charged(1000)})).ID, Endpoint: "a"})
	}
	return s
}

func (s *script) charged(charge float64) Request {
	r := s.request("m")
	r.Tenant, r.Charge = "t", charge
	return r
}

func reportedShortfall(out []Output) float64 {
	for _, report := range reports(out) {
		for _, row := range report.Tenants {
			return row.Shortfall
		}
	}
	return 0
}

// A request over its tenant's quota is queued for a moment while credit is asked for, then rejected; while none is granted, the next
// ones are rejected at once.
func TestRequestOverQuotaIsQueuedReportedAndRejected(t *testing.T) {
	s := newScriptWithSpentQuota(t)
	out := s.step(20, RequestArrived{s.charged(1000)})
	if len(sends(out))+len(rejections(out)) > 0 {
		t.Fatalf("got %v, want the request to be queued", out)
	}
	if shortfall := reportedShortfall(out); shortfall < 900 || shortfall > 1000 {
		t.Errorf("reported a shortfall of %v, want 900 to 1000", shortfall)
	}
	if wake := s.d.NextWake().Sub(s.zero); wake > 100*time.Millisecond {
		t.Errorf("queued until %v, want 100ms at most", wake)
	}
	for _, out := range [][]Output{s.step(101), s.step(102, RequestArrived{s.charged(1000)})} {
		rejection := s.oneRejection(out)
		if rejection.Reason != QuotaExceeded || rejection.RetryAfter < 1500*time.Millisecond || rejection.RetryAfter > 2*time.Second {
			t.Errorf("rejected with %+v, want QuotaExceeded and 1.5s to 2s", rejection)
		}
	}
	s.oneSend(s.step(2100, RequestArrived{s.charged(1000)}))
}

func TestCreditAdmitsRequestsThatWaitForQuota(t *testing.T) {
	s := newScriptWithSpentQuota(t)
	out := s.step(20, RequestArrived{s.charged(1000)})
	grant := protocol.QuotaGrant{Tenant: "t", RatePerSecond: 500, Burst: 1000, TTL: time.Second, Credit: reportedShortfall(out)}
	s.step(24, AttemptFinished{ID: s.oneSend(s.step(24, ViewChanged{Quotas: []protocol.QuotaGrant{grant}})).ID, Endpoint: "a"})
	if out := s.step(25, RequestArrived{s.charged(1000)}); len(sends(out)) > 0 {
		t.Error("sent with a credit that is spent, want it queued")
	}
	if out := s.step(26, RequestCanceled{ID: s.id}); len(out) > 0 {
		t.Errorf("got %v for a request canceled in the queue, want nothing", out)
	}
	s.oneSend(s.step(2100, RequestArrived{s.charged(1000)}))
}

func TestGrantReplacesTheUngrantedRateUntilItExpires(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	grant := protocol.QuotaGrant{Tenant: "t", RatePerSecond: 6000, Burst: 6000, TTL: time.Second}
	s.step(1, ViewChanged{Quotas: []protocol.QuotaGrant{grant}})
	tenant := s.d.tenants["t"]
	if rate := s.d.quotaRate(tenant); rate != 6000 {
		t.Errorf("rate is %v, want 6000 as granted", rate)
	}
	s.step(1002)
	if rate := s.d.quotaRate(tenant); rate != 500 {
		t.Errorf("rate is %v after the grant's end, want 500", rate)
	}
	s.d.refill(tenant)
	if tenant.level > 1000 {
		t.Errorf("level is %v after the grant's end, want 1000 at most", tenant.level)
	}
}

func TestQuotaIsRefundedOnlyIfTheRequestDidNotExecute(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	r := s.request("m")
	r.Tenant, r.Charge, r.MaxEndpoints = "t", 1000, 1
	s.step(1, RequestArrived{r})
	before := s.d.tenants["t"].level
	s.step(2, AttemptFinished{ID: r.ID, Endpoint: "a", Result: Rejected})
	if after := s.d.tenants["t"].level; after < before+900 {
		t.Errorf("level is %v, want at least 900 above %v", after, before)
	}
	lost := s.request("m")
	lost.Tenant, lost.Charge, lost.Retryable = "t", 500, false
	s.step(200, RequestArrived{lost})
	before = s.d.tenants["t"].level
	s.step(201, AttemptFinished{ID: lost.ID, Endpoint: "a", Result: ConnectionLost})
	if after := s.d.tenants["t"].level; after > before+10 {
		t.Errorf("level is %v, want at most 10 above %v: the request may have executed", after, before)
	}
}

func TestQueuedRequestsLeaveADrainingEndpoint(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"), modelEndpoint("b", 1, "rare"))
	s.d.schedule.Slots = 1
	s.step(1, RequestArrived{s.request("m")})
	s.step(2, RequestArrived{s.request("m")}) // queued: no free slot
	drains := modelEndpoint("a", 2, "m")
	drains.State = protocol.Draining
	s.step(3, ViewChanged{Endpoints: []protocol.Endpoint{drains, modelEndpoint("b", 2, "rare", "m")}})
	out := s.step(4, AttemptFinished{ID: 1, Endpoint: "a"})
	if send := s.oneSend(out); send.Endpoint != "b" || send.ID != 2 {
		t.Errorf("sent %+v, want request 2 to b", send)
	}
	late := modelEndpoint("a", 9, "m")
	s.step(5, ViewChanged{Endpoints: []protocol.Endpoint{late}})
	s.step(6, AttemptFinished{ID: 2, Endpoint: "b"}, ViewChanged{Endpoints: []protocol.Endpoint{{
		ID: "b", Service: "lm",
		State: protocol.Departed, Sequence: 3,
	}}})
	if out := s.step(7, RequestArrived{s.request("m")}); len(sends(out)) > 0 {
		t.Errorf("sent %v to a draining endpoint, want none", sends(out))
	}
}

func TestStaleUpdateDoesNotReviveADepartedEndpoint(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 5, "m"))
	s.step(1, ViewChanged{Endpoints: []protocol.Endpoint{{ID: "a", Service: "lm", State: protocol.Departed, Sequence: 6}}})
	s.step(2, ViewChanged{Endpoints: []protocol.Endpoint{modelEndpoint("a", 5, "m")}})
	if out := s.step(3, RequestArrived{s.request("m")}); len(sends(out)) > 0 {
		t.Errorf("sent %v to a departed endpoint, want none", sends(out))
	}
}

func TestMisdirectionOutweighsTheTable(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"), modelEndpoint("b", 1, "m"))
	first := s.oneSend(s.step(1, RequestArrived{s.request("m")}))
	second := s.oneSend(s.step(2, AttemptFinished{ID: 1, Endpoint: first.Endpoint, Result: Misdirected, NeedsRetry: true}))
	if second.Endpoint == first.Endpoint {
		t.Fatalf("sent to %s again, want the other endpoint", first.Endpoint)
	}
	for i := range 20 {
		send := s.oneSend(s.step(10+i, RequestArrived{s.request("m")}))
		if send.Endpoint == first.Endpoint {
			t.Fatalf("sent to %s, which answered 421; want %s", first.Endpoint, second.Endpoint)
		}
		s.step(10+i, AttemptFinished{ID: send.ID, Endpoint: send.Endpoint})
	}
	s.step(400, ViewChanged{Endpoints: []protocol.Endpoint{modelEndpoint(first.Endpoint, 2, "m")}})
	departed := protocol.Endpoint{ID: second.Endpoint, Service: "lm", State: protocol.Departed, Sequence: 9}
	s.step(401, ViewChanged{Endpoints: []protocol.Endpoint{departed}})
	if send := s.oneSend(s.step(402, RequestArrived{s.request("m")})); send.Endpoint != first.Endpoint {
		t.Errorf("sent %+v, want it to %s", send, first.Endpoint)
	}
}

func TestNonRetryableRequestIsNotRetriedOnceItMayHaveExecuted(t *testing.T) {
	for _, result := range []Result{Failed, ConnectionLost} {
		s := newScript(t, plainEndpoint("p", 6), plainEndpoint("q", 6))
		send := s.oneSend(s.step(1, RequestArrived{s.request("")}))
		rejection := s.oneRejection(s.step(2, AttemptFinished{ID: 1, Endpoint: send.Endpoint, Result: result, NeedsRetry: true}))
		if rejection.Reason != AttemptsExhausted || rejection.RetryAfter != 0 {
			t.Errorf("rejected with %+v, want AttemptsExhausted and 0", rejection)
		}
	}
}

func TestUnexecutedRequestIsRetriedTwice(t *testing.T) {
	s := newScript(t, plainEndpoint("p", 6), plainEndpoint("q", 6), plainEndpoint("r", 6), plainEndpoint("u", 6))
	send := s.oneSend(s.step(1, RequestArrived{s.request("")}))
	for i := range 2 {
		send = s.oneSend(s.step(2+i, AttemptFinished{ID: 1, Endpoint: send.Endpoint, Result: Rejected, NeedsRetry: true}))
	}
	s.oneRejection(s.step(5, AttemptFinished{ID: 1, Endpoint: send.Endpoint, Result: Rejected, NeedsRetry: true}))
}

func TestRetriesAreBoundedByMaxEndpoints(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"), modelEndpoint("b", 1, "m"), modelEndpoint("c", 1, "m"))
	send := s.oneSend(s.step(1, RequestArrived{s.request("m")}))
	send = s.oneSend(s.step(2, AttemptFinished{ID: 1, Endpoint: send.Endpoint, Result: ConnectionLost, NeedsRetry: true}))
	out := s.step(3, AttemptFinished{ID: 1, Endpoint: send.Endpoint, Result: ConnectionLost, NeedsRetry: true})
	if rejection := s.oneRejection(out); rejection.Reason != AttemptsExhausted {
		t.Errorf("rejected with %+v, want AttemptsExhausted", rejection)
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"), modelEndpoint("b", 1, "m"))
	retries, exhausted := 0, 0
	for i := range 60 {
		send := s.oneSend(s.step(10*i, RequestArrived{s.request("m")}))
		out := s.step(10*i+1, AttemptFinished{ID: send.ID, Endpoint: send.Endpoint, Result: Failed, NeedsRetry: true})
		for _, o := range sends(out) {
			retries++
			s.step(10*i+2, AttemptFinished{ID: o.ID, Endpoint: o.Endpoint})
		}
		for _, o := range rejections(out) {
			if o.Reason == RetryBudgetExhausted {
				exhausted++
			}
		}
		s.step(10*i+3, ViewChanged{Endpoints: nil})
		s.d.endpoints["a"].health, s.d.endpoints["b"].health = health{}, health{}
	}
	if limit := (0.2*60 + 56.0/9) * budgetUtilization; float64(retries) > limit || float64(retries) < limit/2 || exhausted == 0 {
		t.Errorf("%d retries and %d rejections for the budget, want %v to %v and at least 1", retries, exhausted, limit/2, limit)
	}
}

// While a tenant's urgent requests are rejected for want of quota, its less urgent small ones don't consume what is refilled.
func TestLessUrgentRequestsLeaveQuotaToMoreUrgentOnes(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	var served, asked [2]int
	kindOf := map[RequestID]int{}
	for at := 10; at < 20000; at += 50 {
		for kind, charge := range []float64{400, 60} {
			r := s.charged(charge)
			r.RoutePriority = kind + 1
			asked[kind]++
			kindOf[r.ID] = kind
			for _, out := range [][]Output{s.step(at+20*kind, RequestArrived{r}), s.step(at + 20*kind + 10)} {
				for _, send := range sends(out) {
					served[kindOf[send.ID]]++
					s.step(at+20*kind+10, AttemptFinished{ID: send.ID, Endpoint: "a"})
				}
			}
		}
	}
	urgent, other := float64(served[0])/float64(asked[0]), float64(served[1])/float64(asked[1])
	t.Logf("%.3f of the urgent served, %.3f of the others", urgent, other)
	if other > urgent*4 || other < 0.02 {
		t.Errorf("%.3f of the urgent served, %.3f of the others; want at least 0.02 and at most four times the urgent", urgent, other)
	}
}
