package dispatch

import (
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

// requestWithCharge returns a request of the tenant with the quota.
func (s *script) requestWithCharge(charge float64) Request {
	r := s.request("m")
	r.Tenant, r.Charge = "t", charge
	return r
}

func creditRequests(out []Output) (list []protocol.CreditRequest) {
	for _, o := range out {
		if o, ok := o.(RequestCredit); ok {
			list = append(list, o.Request)
		}
	}
	return list
}

func (s *script) oneCreditRequest(out []Output) protocol.CreditRequest {
	s.t.Helper()
	list := creditRequests(out)
	if len(list) != 1 {
		s.t.Fatalf("credit requests %v, want one; all outputs: %v", list, out)
	}
	return list[0]
}

func grantFor(request protocol.CreditRequest, amount float64) CreditGranted {
	grant := &protocol.CreditGrant{ID: request.ID, Tenant: request.Tenant, Amount: amount}
	if amount < request.Waiting {
		grant.RetryAfter = 400 * time.Millisecond
	}
	return CreditGranted{grant}
}

func TestRequestsWaitForRequestedCredit(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	out := s.step(20, RequestArrived{s.requestWithCharge(1000)})
	if len(sends(out))+len(rejections(out)) > 0 {
		t.Fatalf("got %v, want the request to be queued", out)
	}
	creditRequest := s.oneCreditRequest(out)
	if creditRequest.Tenant != "t" || creditRequest.Waiting != 1000 || creditRequest.Minimum != 1000 || creditRequest.Amount != 1000 {
		t.Errorf("requested %+v, want 1000, all for queued requests", creditRequest)
	}
	more := s.oneCreditRequest(s.step(21, RequestArrived{s.requestWithCharge(300)}))
	if more.Waiting != 300 || more.ID == creditRequest.ID {
		t.Errorf("requested %+v, want 300 by another credit request", more)
	}
	if list := sends(s.step(24, grantFor(creditRequest, 1000), grantFor(more, 300))); len(list) != 2 {
		t.Errorf("sent %v with credit for both, want both", list)
	}
	if out := s.step(26, RequestArrived{s.requestWithCharge(1000)}); len(sends(out)) > 0 {
		t.Error("sent although the credit is spent, want it queued")
	}
	if out := s.step(27, RequestCanceled{ID: s.id}); len(sends(out))+len(rejections(out)) > 0 {
		t.Errorf("got %v for a request canceled in the queue, want nothing", out)
	}
}

// A request whose credit is refused is rejected at once unless it can wait until credit may be requested again. Until
// then no credit is requested for requests that are at least as large and no more urgent, but it is requested for
// smaller or more urgent ones.
func TestRequestsWithoutCreditAreRejectedOrStayQueued(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	creditRequest := s.oneCreditRequest(s.step(20, RequestArrived{s.requestWithCharge(8000)}))
	rejection := s.oneRejection(s.step(25, grantFor(creditRequest, 0)))
	if rejection.Reason != QuotaExceeded || rejection.RetryAfter < 400*time.Millisecond || rejection.RetryAfter > 500*time.Millisecond {
		t.Errorf("rejected with %+v, want QuotaExceeded and 400ms to 500ms", rejection)
	}
	shortTarget := s.requestWithCharge(9000)
	shortTarget.LatencyTarget = s.time(s.nowMS + 300)
	out := s.step(30, RequestArrived{shortTarget})
	if s.oneRejection(out); len(creditRequests(out)) > 0 {
		t.Errorf("requested credit with %v although it was refused, want no credit request", creditRequests(out))
	}
	distantTarget := s.requestWithCharge(9000)
	distantTarget.LatencyTarget = s.time(8000)
	if out := s.step(31, RequestArrived{distantTarget}); len(creditRequests(out))+len(rejections(out)) > 0 {
		t.Errorf("got %v for a request that can wait, want no output yet", out)
	}
	urgent := s.requestWithCharge(9000)
	urgent.RoutePriority = 0
	s.d.tenants["t"].lastRefusal.rank = 1
	s.d.tenants["t"].quotaQueue[0].rank = 1
	if creditRequest := s.oneCreditRequest(s.step(32, RequestArrived{urgent})); creditRequest.Waiting != 9000 {
		t.Errorf("requested %+v, want the charge of the more urgent request alone", creditRequest)
	}
	if creditRequest := s.oneCreditRequest(s.step(33, RequestArrived{s.requestWithCharge(100)})); creditRequest.Waiting != 100 {
		t.Errorf("requested %+v, want the charge of the smaller request alone", creditRequest)
	}
	if creditRequest := s.oneCreditRequest(s.step(126)); creditRequest.Waiting < 9000 {
		t.Errorf("requested %+v, want the charge of the request that waited", creditRequest)
	}
}

// A client's retry waits longer for credit than its first attempt, since the client does not retry again.
func TestClientRetriesWaitLongerForCredit(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	retry := s.requestWithCharge(1000)
	retry.ClientRetry = true
	creditRequest := s.oneCreditRequest(s.step(20, RequestArrived{retry}))
	if out := s.step(25, grantFor(creditRequest, 0)); len(rejections(out)) > 0 {
		t.Fatalf("rejected %v, want it to wait", rejections(out))
	}
	repeated := s.oneCreditRequest(s.step(126))
	s.oneSend(s.step(130, grantFor(repeated, 1000)))
	retry = s.requestWithCharge(1000)
	retry.ClientRetry = true
	s.step(131, RequestArrived{retry})
	for at := 200; at < 900; at += 100 {
		if out := s.step(at); len(rejections(out)) > 0 {
			t.Fatalf("rejected at %d ms, want it queued for 0.4 of its client's timeout of 2s", at)
		}
	}
	s.oneRejection(s.step(940))
}

// If a credit request is not answered, a request waits about a quarter of its latency target. It is then charged to
// the reserve or rejected. Nine routers share a reserve of 0.03 * (1.1*81000+11000) per window; half of it is the
// bucket's depth, the other half is refilled within a window.
func TestRequestsWithoutCreditAnswerAreChargedToTheReserveOrRejected(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	s.d.refillReserve(s.d.tenants["t"])
	if s.step(9000); s.d.reserveDepth(s.d.tenants["t"]) < 160 || s.d.reserveDepth(s.d.tenants["t"]) > 170 {
		t.Errorf("reserve of %v, want 160 to 170", s.d.reserveDepth(s.d.tenants["t"]))
	}
	s.step(9020)
	s.step(9020, RequestArrived{s.requestWithCharge(150)})
	if out := s.step(9115); len(sends(out))+len(rejections(out)) > 0 {
		t.Errorf("got %v before a quarter of the target, want it queued", out)
	}
	s.oneSend(s.step(9131))
	s.step(9140)
	s.step(9140, RequestArrived{s.requestWithCharge(150)})
	if rejection := s.oneRejection(s.step(9251)); rejection.Reason != QuotaExceeded {
		t.Errorf("rejected with %+v, want QuotaExceeded", rejection)
	}
}

// A credit request that is not answered is repeated as long as requests wait.
func TestUnansweredCreditRequestsAreRepeated(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	distantTarget := s.requestWithCharge(1000)
	distantTarget.LatencyTarget = s.time(8000)
	s.oneCreditRequest(s.step(20, RequestArrived{distantTarget}))
	if out := s.step(110); len(creditRequests(out)) > 0 {
		t.Errorf("repeated with %v after 90ms, want 100ms at least", creditRequests(out))
	}
	repeated := s.oneCreditRequest(s.step(121))
	s.oneSend(s.step(125, grantFor(repeated, 1000)))
}

func TestCreditExpires(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	creditRequest := s.oneCreditRequest(s.step(20, RequestArrived{s.requestWithCharge(1000)}))
	s.step(21, RequestCanceled{ID: s.id})
	s.step(25, grantFor(creditRequest, 1000))
	s.oneSend(s.step(310, RequestArrived{s.requestWithCharge(400)}))
	if out := s.step(321, RequestArrived{s.requestWithCharge(400)}); len(sends(out)) > 0 {
		t.Errorf("sent with credit that was requested more than %v before, want it queued", protocol.CreditTTL)
	}
}

// Credit is available in advance for tenants with frequent requests: few of the requests wait.
func TestCreditIsRequestedInAdvance(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	issuer := newCreditIssuer()
	waited, creditRequestCount := 0, 0
	var answers []Input
	for i := range 400 {
		out := s.step(10*i+1, append(answers, RequestArrived{s.requestWithCharge(60)})...)
		answers = nil
		for _, request := range creditRequests(out) {
			creditRequestCount++
			answers = append(answers, CreditGranted{issuer.answer(time.Duration(10*i)*time.Millisecond, s.d.config, testConfiguration().Tenants, request)})
		}
		if len(s.d.tenants["t"].quotaQueue) > 0 {
			waited++
		}
		for _, send := range sends(out) {
			answers = append(answers, AttemptFinished{ID: send.ID, Endpoint: "a"})
		}
	}
	if waited > 20 || creditRequestCount > 100 {
		t.Errorf("%d of 400 requests waited and %d credit requests were sent, want at most 20 and 100", waited, creditRequestCount)
	}
}

func TestQuotaIsRefundedOnlyIfTheRequestDidNotExecute(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	r := s.requestWithCharge(1000)
	r.MaxEndpoints = 1
	creditRequest := s.oneCreditRequest(s.step(1, RequestArrived{r}))
	s.oneSend(s.step(2, grantFor(creditRequest, 1000)))
	s.step(3, AttemptFinished{ID: r.ID, Endpoint: "a", Result: Rejected})
	if available := s.d.availableCredit(s.d.tenants["t"]); available != 1000 {
		t.Errorf("credit of %v is left, want the 1000 that were refunded", available)
	}
	lost := s.requestWithCharge(500)
	lost.Retryable = false
	s.oneSend(s.step(200, RequestArrived{lost}))
	s.step(201, AttemptFinished{ID: lost.ID, Endpoint: "a", Result: ConnectionLost})
	if available := s.d.availableCredit(s.d.tenants["t"]); available != 500 {
		t.Errorf("credit of %v is left, want 500: the request may have executed", available)
	}
}

func TestQueuedRequestsMoveFromADrainingEndpoint(t *testing.T) {
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

func TestMisdirectionOverridesTheTable(t *testing.T) {
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

// Among waiting requests, the more urgent ones get credit first.
func TestMoreUrgentRequestsGetCreditFirst(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	other := s.requestWithCharge(1000)
	other.RoutePriority = 2
	first := s.oneCreditRequest(s.step(1, RequestArrived{other}))
	urgent := s.requestWithCharge(1000)
	urgent.RoutePriority = 1
	second := s.oneCreditRequest(s.step(2, RequestArrived{urgent}))
	if first.Rank != 2 || second.Rank != 1 {
		t.Errorf("requested credit with ranks %d and %d, want 2 and 1", first.Rank, second.Rank)
	}
	if send := s.oneSend(s.step(5, grantFor(first, 1000))); send.ID != urgent.ID {
		t.Errorf("sent request %d with credit for one request, want %d, the more urgent one", send.ID, urgent.ID)
	}
}
