package dispatch

import (
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

// quotaSpent brings a script to where tenant t has spent its floor's bucket and debt, at 2 ms: nine routers, 500 a
// second, bucket 1000, debt (0.1*81000+11000)/18 = 1061.
func quotaSpent(t *testing.T) *script {
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

func lacking(out []Output) float64 {
	for _, report := range reports(out) {
		for _, row := range report.Tenants {
			return row.Shortfall
		}
	}
	return 0
}

// What is over the quota is held for a moment while credit is asked for, then refused; while none is given, the next
// ones are refused at once.
func TestOverQuotaIsRefusedAndTold(t *testing.T) {
	s := quotaSpent(t)
	out := s.step(20, RequestArrived{s.charged(1000)})
	if len(sends(out))+len(refusals(out)) > 0 {
		t.Fatalf("not held: %v", out)
	}
	if told := lacking(out); told < 900 || told > 1000 {
		t.Errorf("told that %v is lacking", told)
	}
	if wake := s.d.NextWake().Sub(s.zero); wake > 100*time.Millisecond {
		t.Errorf("held until %v", wake)
	}
	for _, out := range [][]Output{s.step(101), s.step(102, RequestArrived{s.charged(1000)})} {
		refusal := s.oneRefusal(out)
		if refusal.Reason != QuotaExceeded || refusal.RetryAfter < 1500*time.Millisecond || refusal.RetryAfter > 2*time.Second {
			t.Errorf("refused with %+v", refusal)
		}
	}
	s.oneSend(s.step(2100, RequestArrived{s.charged(1000)}))
}

func TestCreditLetsGoWhatWaitsForIt(t *testing.T) {
	s := quotaSpent(t)
	out := s.step(20, RequestArrived{s.charged(1000)})
	grant := protocol.QuotaGrant{Tenant: "t", RatePerSecond: 500, Burst: 1000, TTL: time.Second, Credit: lacking(out)}
	s.step(24, AttemptFinished{ID: s.oneSend(s.step(24, ViewChanged{Quotas: []protocol.QuotaGrant{grant}})).ID, Endpoint: "a"})
	if out := s.step(25, RequestArrived{s.charged(1000)}); len(sends(out)) > 0 {
		t.Error("credit was spent twice")
	}
	if out := s.step(26, RequestCanceled{ID: s.id}); len(out) > 0 {
		t.Errorf("withdrawn while it waited: %v", out)
	}
	s.oneSend(s.step(2100, RequestArrived{s.charged(1000)}))
}

func TestGrantReplacesTheFloorAndEnds(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	grant := protocol.QuotaGrant{Tenant: "t", RatePerSecond: 6000, Burst: 6000, TTL: time.Second}
	s.step(1, ViewChanged{Quotas: []protocol.QuotaGrant{grant}})
	tenant := s.d.tenants["t"]
	if rate := s.d.quotaRate(tenant); rate != 6000 {
		t.Errorf("rate is %v", rate)
	}
	s.step(1002)
	if rate := s.d.quotaRate(tenant); rate != 500 {
		t.Errorf("rate is %v after the grant's end", rate)
	}
	s.d.refill(tenant)
	if tenant.level > 1000 {
		t.Errorf("level is %v after the grant's end", tenant.level)
	}
}

func TestWhatSurelyDidNotRunIsGivenBack(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	r := s.request("m")
	r.Tenant, r.Charge, r.MaxEndpoints = "t", 1000, 1
	s.step(1, RequestArrived{r})
	before := s.d.tenants["t"].level
	s.step(2, AttemptFinished{ID: r.ID, Endpoint: "a", Result: Rejected})
	if after := s.d.tenants["t"].level; after < before+900 {
		t.Errorf("level is %v, was %v", after, before)
	}
	lost := s.request("m")
	lost.Tenant, lost.Charge, lost.Retryable = "t", 500, false
	s.step(200, RequestArrived{lost})
	before = s.d.tenants["t"].level
	s.step(201, AttemptFinished{ID: lost.ID, Endpoint: "a", Result: ConnectionLost})
	if after := s.d.tenants["t"].level; after > before+10 {
		t.Errorf("level is %v, was %v: given back what may have run", after, before)
	}
}

func TestDrainingEndpointSendsItsHeldElsewhere(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"), modelEndpoint("b", 1, "rare"))
	s.d.schedule.Slots = 1
	s.step(1, RequestArrived{s.request("m")})
	s.step(2, RequestArrived{s.request("m")}) // held: no slot
	drains := modelEndpoint("a", 2, "m")
	drains.State = protocol.Draining
	s.step(3, ViewChanged{Endpoints: []protocol.Endpoint{drains, modelEndpoint("b", 2, "rare", "m")}})
	out := s.step(4, AttemptFinished{ID: 1, Endpoint: "a"})
	if send := s.oneSend(out); send.Endpoint != "b" || send.ID != 2 {
		t.Errorf("sent %+v", send)
	}
	late := modelEndpoint("a", 9, "m")
	s.step(5, ViewChanged{Endpoints: []protocol.Endpoint{late}})
	s.step(6, AttemptFinished{ID: 2, Endpoint: "b"}, ViewChanged{Endpoints: []protocol.Endpoint{{
		ID: "b", Service: "lm",
		State: protocol.Departed, Sequence: 3,
	}}})
	if out := s.step(7, RequestArrived{s.request("m")}); len(sends(out)) > 0 {
		t.Errorf("sent %v to what drains", sends(out))
	}
}

func TestLateNewsDoNotBringBackTheGone(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 5, "m"))
	s.step(1, ViewChanged{Endpoints: []protocol.Endpoint{{ID: "a", Service: "lm", State: protocol.Departed, Sequence: 6}}})
	s.step(2, ViewChanged{Endpoints: []protocol.Endpoint{modelEndpoint("a", 5, "m")}})
	if out := s.step(3, RequestArrived{s.request("m")}); len(sends(out)) > 0 {
		t.Errorf("sent %v to what is gone", sends(out))
	}
}

func TestWrongTargetCountsMoreThanTheTable(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"), modelEndpoint("b", 1, "m"))
	first := s.oneSend(s.step(1, RequestArrived{s.request("m")}))
	second := s.oneSend(s.step(2, AttemptFinished{ID: 1, Endpoint: first.Endpoint, Result: Misdirected, NeedsRetry: true}))
	if second.Endpoint == first.Endpoint {
		t.Fatalf("sent to %s again", first.Endpoint)
	}
	for i := range 20 {
		send := s.oneSend(s.step(10+i, RequestArrived{s.request("m")}))
		if send.Endpoint == first.Endpoint {
			t.Fatalf("sent to %s, which said that the model isn't there", first.Endpoint)
		}
		s.step(10+i, AttemptFinished{ID: send.ID, Endpoint: send.Endpoint})
	}
	s.step(400, ViewChanged{Endpoints: []protocol.Endpoint{modelEndpoint(first.Endpoint, 2, "m")}})
	gone := protocol.Endpoint{ID: second.Endpoint, Service: "lm", State: protocol.Departed, Sequence: 9}
	s.step(401, ViewChanged{Endpoints: []protocol.Endpoint{gone}})
	if send := s.oneSend(s.step(402, RequestArrived{s.request("m")})); send.Endpoint != first.Endpoint {
		t.Errorf("sent %+v", send)
	}
}

func TestNotRepeatableIsNeverSentAgainAfterItMayHaveRun(t *testing.T) {
	for _, result := range []Result{Failed, ConnectionLost} {
		s := newScript(t, plainEndpoint("p", 6), plainEndpoint("q", 6))
		send := s.oneSend(s.step(1, RequestArrived{s.request("")}))
		refusal := s.oneRefusal(s.step(2, AttemptFinished{ID: 1, Endpoint: send.Endpoint, Result: result, NeedsRetry: true}))
		if refusal.Reason != AttemptsExhausted || refusal.RetryAfter != 0 {
			t.Errorf("refused with %+v", refusal)
		}
	}
}

func TestSurelyNotRunGoesElsewhereTwice(t *testing.T) {
	s := newScript(t, plainEndpoint("p", 6), plainEndpoint("q", 6), plainEndpoint("r", 6), plainEndpoint("u", 6))
	send := s.oneSend(s.step(1, RequestArrived{s.request("")}))
	for i := range 2 {
		send = s.oneSend(s.step(2+i, AttemptFinished{ID: 1, Endpoint: send.Endpoint, Result: Rejected, NeedsRetry: true}))
	}
	s.oneRefusal(s.step(5, AttemptFinished{ID: 1, Endpoint: send.Endpoint, Result: Rejected, NeedsRetry: true}))
}

func TestEndpointsAreBounded(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"), modelEndpoint("b", 1, "m"), modelEndpoint("c", 1, "m"))
	send := s.oneSend(s.step(1, RequestArrived{s.request("m")}))
	send = s.oneSend(s.step(2, AttemptFinished{ID: 1, Endpoint: send.Endpoint, Result: ConnectionLost, NeedsRetry: true}))
	out := s.step(3, AttemptFinished{ID: 1, Endpoint: send.Endpoint, Result: ConnectionLost, NeedsRetry: true})
	if refusal := s.oneRefusal(out); refusal.Reason != AttemptsExhausted {
		t.Errorf("refused with %+v", refusal)
	}
}

func TestBudgetBoundsFurtherArrivals(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"), modelEndpoint("b", 1, "m"))
	again, spent := 0, 0
	for i := range 60 {
		send := s.oneSend(s.step(10*i, RequestArrived{s.request("m")}))
		out := s.step(10*i+1, AttemptFinished{ID: send.ID, Endpoint: send.Endpoint, Result: Failed, NeedsRetry: true})
		for _, o := range sends(out) {
			again++
			s.step(10*i+2, AttemptFinished{ID: o.ID, Endpoint: o.Endpoint})
		}
		for _, o := range refusals(out) {
			if o.Reason == RetryBudgetExhausted {
				spent++
			}
		}
		s.step(10*i+3, ViewChanged{Endpoints: nil})
		s.d.endpoints["a"].health, s.d.endpoints["b"].health = health{}, health{}
	}
	if most := (0.2*60 + 56.0/9) * budgetUtilization; float64(again) > most || float64(again) < most/2 || spent == 0 {
		t.Errorf("%d sent again, at most %v; %d refused for it", again, most, spent)
	}
}

// While a tenant's urgent requests are refused for want of quota, its less urgent small ones don't eat up what comes in.
func TestLessUrgentLeaveQuotaToTheUrgent(t *testing.T) {
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
		t.Errorf("%.3f of the urgent served, %.3f of the others", urgent, other)
	}
}
