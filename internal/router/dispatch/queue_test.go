package dispatch

import (
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

func TestModelWithoutEndpointIsReportedAndRejected(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	out := s.step(1, RequestArrived{s.request("rare")})
	list := reports(out)
	if len(list) != 1 || list[0].Models[0].Model != "rare" || list[0].Models[0].Queued != 1 {
		t.Fatalf("reported %+v, want one report of one queued request for rare", list)
	}
	at := int(s.d.NextWake().Sub(s.startTime) / time.Millisecond)
	if at > 125 {
		t.Fatalf("wakes at %d ms, want 125 at the latest", at)
	}
	rejection := s.oneRejection(s.step(at + 1))
	if rejection.Reason != NoEndpoint || rejection.RetryAfter < 4*time.Second || rejection.RetryAfter > 5*time.Second {
		t.Errorf("rejected with %+v, want NoEndpoint and 4s to 5s", rejection)
	}
}

// A request that names no model may be sent to any endpoint of the service, whatever models it has.
func TestRequestWithoutModelIsSentToAnyEndpoint(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"), modelEndpoint("b", 1))
	first := s.request("")
	first.Service = "lm"
	s.oneSend(s.step(1, RequestArrived{first}))
	second := s.request("")
	second.Service = "lm"
	s.oneSend(s.step(2, ViewChanged{Endpoints: []protocol.Endpoint{modelEndpoint("a", 2, "rare")}}, RequestArrived{second}))
}

func TestRequestWaitsForALoadThatFinishesInTime(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	s.step(1, RequestArrived{s.request("rare")})
	loads := modelEndpoint("a", 1, "m")
	loads.Loading = []protocol.ModelLoad{{Model: "rare", Remaining: 250 * time.Millisecond}}
	s.step(20, ViewChanged{Endpoints: []protocol.Endpoint{loads}})
	if out := s.step(130); len(rejections(out)) > 0 {
		t.Fatalf("rejected %v, want the request to wait for the load", rejections(out))
	}
	loaded := ViewChanged{Endpoints: []protocol.Endpoint{modelEndpoint("a", 2, "m", "rare")}}
	if send := s.oneSend(s.step(280, loaded)); send.ID != 1 {
		t.Errorf("sent %+v, want request 1", send)
	}
}

func TestRequestIsRejectedIfItsLoadFinishesTooLate(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	s.step(1, RequestArrived{s.request("rare")})
	loads := modelEndpoint("a", 1, "m")
	loads.Loading = []protocol.ModelLoad{{Model: "rare", Remaining: 2 * time.Second}}
	s.step(20, ViewChanged{Endpoints: []protocol.Endpoint{loads}})
	rejection := s.oneRejection(s.step(124))
	if rejection.RetryAfter < 1800*time.Millisecond || rejection.RetryAfter > 2600*time.Millisecond {
		t.Errorf("rejected with %+v, want RetryAfter of 1.8s to 2.6s", rejection)
	}
}

// A stalled stream moves to another endpoint only if one is available; otherwise its attempt continues.
func TestStalledStreamMovesOnlyToAnAvailableEndpoint(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	first := s.oneSend(s.step(1, RequestArrived{s.request("m")}))
	s.step(100, FirstByteReceived{ID: first.ID, Endpoint: "a"})
	if hasAbandon(s.step(1700, StreamStalled{ID: first.ID, Endpoint: "a"})) {
		t.Error("abandoned an attempt without another endpoint, want it to continue")
	}
	s.step(1800, ViewChanged{Endpoints: []protocol.Endpoint{modelEndpoint("b", 1, "m")}})
	if !hasAbandon(s.step(2100, StreamStalled{ID: first.ID, Endpoint: "a"})) {
		t.Error("an attempt at a stalled endpoint was not abandoned, want Abandon")
	}
	if hasAbandon(s.step(2500, StreamStalled{ID: first.ID, Endpoint: "a"})) {
		t.Error("an attempt was abandoned twice, want once")
	}
	out := s.step(2501, AttemptFinished{ID: first.ID, Endpoint: "a", Result: ConnectionLost, NeedsRetry: true})
	if send := s.oneSend(out); send.Endpoint != "b" {
		t.Errorf("sent to %s, want b", send.Endpoint)
	}
}

func TestUnresponsiveEndpointIsAbandoned(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"), modelEndpoint("b", 1, "m"))
	first := s.oneSend(s.step(1, RequestArrived{s.request("m")}))
	other := "a"
	if first.Endpoint == "a" {
		other = "b"
	}
	at := 1
	for !hasAbandon(s.step(at)) {
		if at += 5; at > 600 {
			t.Fatal("no attempt abandoned after 600 ms, want Abandon")
		}
	}
	out := s.step(at+1, AttemptFinished{ID: 1, Endpoint: first.Endpoint, Result: ConnectionLost, NeedsRetry: true})
	if send := s.oneSend(out); send.Endpoint != other {
		t.Errorf("sent %+v, want it to %s", send, other)
	}
	if send := s.oneSend(s.step(at+2, RequestArrived{s.request("m")})); send.Endpoint != other {
		t.Errorf("sent %+v, want it to %s", send, other)
	}
}

func hasAbandon(out []Output) bool {
	for _, o := range out {
		if _, ok := o.(Abandon); ok {
			return true
		}
	}
	return false
}

// A router whose estimates are far too high corrects them, even while other routers keep the endpoints busy.
func TestTooHighEstimatesAreCorrected(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"), modelEndpoint("b", 1, "m"))
	busy := &AdvertisedLoad{Running: 40, Slots: 64}
	g := s.d.services["lm"].ensureGroup("m")
	for range 100 {
		g.firstByteRegression.add(s.d.now, 1, 3000)
		g.service.firstByteRegression.add(s.d.now, 1, 3000)
	}
	served := 0
	for at := 10; at < 40000; at += 200 {
		for _, id := range []string{"a", "b"} {
			s.d.recordAdvertisedLoad(s.d.endpoints[id], busy)
		}
		for _, send := range sends(s.step(at, RequestArrived{s.request("m")})) {
			s.step(at+60, FirstByteReceived{ID: send.ID, Endpoint: send.Endpoint, Load: busy})
			s.step(at+100, AttemptFinished{ID: send.ID, Endpoint: send.Endpoint, Load: busy})
			served++
		}
	}
	if served < 50 {
		t.Errorf("only %d of 200 requests were sent, want 50", served)
	}
}

func TestSessionIsSentToOneEndpointByAllRouters(t *testing.T) {
	var table []protocol.Endpoint
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		table = append(table, modelEndpoint(id, 1, "m"))
	}
	endpointOf := map[uint64]string{}
	used := map[string]bool{}
	for router := range uint64(4) {
		s := newScript(t, table...)
		s.d.seed = router
		for i := range 60 {
			r := s.request("m")
			session := uint64(100 + i%12)
			r.PromptParts = []PromptPart{{Hash: 7, Tokens: 300}, {Hash: session, Tokens: 300}}
			send := s.oneSend(s.step(10+20*i, RequestArrived{r}))
			s.step(10+20*i+10, FirstByteReceived{ID: r.ID, Endpoint: send.Endpoint}, AttemptFinished{ID: r.ID, Endpoint: send.Endpoint})
			if earlier, known := endpointOf[session]; known && earlier != send.Endpoint {
				t.Fatalf("router %d sent session %d to %s, want %s as before", router, session, send.Endpoint, earlier)
			}
			endpointOf[session] = send.Endpoint
			used[send.Endpoint] = true
		}
	}
	if len(used) < 4 {
		t.Errorf("12 sessions use only %v, want four endpoints", used)
	}
}

func TestFreeSlotsAreUsedBeforeRequestsAreQueued(t *testing.T) {
	s := newScript(t, plainEndpoint("p", 6), plainEndpoint("q", 6))
	used := map[string]int{}
	for i := range 6 {
		used[s.oneSend(s.step(1+i, RequestArrived{s.request("")})).Endpoint]++
	}
	if used["p"] != 3 || used["q"] != 3 {
		t.Errorf("sent %v, want three to each endpoint", used)
	}
}

func TestEndpointWithoutHeartbeatsIsUsedOnlyAsLastResort(t *testing.T) {
	unresponsive := modelEndpoint("a", 2, "m")
	unresponsive.State = protocol.Unresponsive
	s := newScript(t, unresponsive, modelEndpoint("b", 1, "m"))
	for i := range 10 {
		send := s.oneSend(s.step(10*i+1, RequestArrived{s.request("m")}))
		if send.Endpoint != "b" {
			t.Fatalf("sent to %s, want b", send.Endpoint)
		}
		s.step(10*i+5, FirstByteReceived{ID: send.ID, Endpoint: "b"}, AttemptFinished{ID: send.ID, Endpoint: "b"})
	}
	s.step(200, ViewChanged{Endpoints: []protocol.Endpoint{{ID: "b", Service: "lm", State: protocol.Departed, Sequence: 3}}})
	if send := s.oneSend(s.step(201, RequestArrived{s.request("m")})); send.Endpoint != "a" {
		t.Errorf("sent to %s, want a", send.Endpoint)
	}
	out := s.step(700, FirstByteReceived{ID: s.id, Endpoint: "a"}, RequestArrived{s.request("m")})
	if list := reports(out); len(list) != 1 || len(list[0].Reachable) != 1 {
		t.Errorf("reported %+v, want one report with one reachable endpoint", list)
	}
}

// A request whose client gives up before its latency target must not stay queued beyond that time, although a load of
// its model is expected to finish a little later.
func TestNoRequestStaysQueuedPastItsDeadline(t *testing.T) {
	for name, clientRetry := range map[string]bool{"client's first attempt": false, "client's retry": true} {
		t.Run(name, func(t *testing.T) {
			loads := modelEndpoint("a", 1, "m")
			loads.Loading = []protocol.ModelLoad{{Model: "rare", Remaining: 450 * time.Millisecond}}
			s := newScript(t, loads)
			r := s.request("rare") // latency target 500 ms
			r.Deadline, r.ClientRetry = s.time(200), clientRetry
			s.step(0, RequestArrived{r})
			at := 0
			for len(s.d.requests) > 0 {
				if at = int(s.d.NextWake().Sub(s.startTime) / time.Millisecond); at > 210 {
					t.Fatalf("wakes after %d ms, want 210 at the latest", at)
				}
				s.step(at)
			}
		})
	}
}

// The same must be true if the model is assumed to be loaded and another request is verifying that.
func TestNoRequestWaitsForAVerificationPastItsDeadline(t *testing.T) {
	loads := modelEndpoint("a", 1, "m")
	loads.Loading = []protocol.ModelLoad{{Model: "rare", Remaining: 50 * time.Millisecond}}
	s := newScript(t, loads)
	first, second := s.request("rare"), s.request("rare")
	second.Deadline = s.time(300)
	s.step(0, RequestArrived{first}, RequestArrived{second})
	for at := 1; at <= 310; at++ {
		s.step(at)
	}
	if s.d.requests[second.ID] != nil {
		t.Error("the second request is queued past its deadline, want it rejected")
	}
	if s.d.requests[first.ID] == nil {
		t.Error("the first request has ended, want it in flight, otherwise the test is meaningless")
	}
}
