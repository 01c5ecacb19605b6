package dispatch

import (
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

// loadingScript returns a script in which endpoint a loads an adapter of model m until 120 ms, and two requests wait
// for it.
func loadingScript(t *testing.T) *script {
	t.Helper()
	s := newScript(t, modelEndpoint("a", 1, "m"))
	loads := modelEndpoint("a", 1, "m")
	loads.Loading = []protocol.ModelLoad{{Model: "m", Adapter: "a3", Remaining: 60 * time.Millisecond}}
	for range 2 {
		r := s.request("m")
		r.Adapter = "a3"
		s.step(10, RequestArrived{r})
	}
	s.step(60, ViewChanged{Endpoints: []protocol.Endpoint{loads}})
	return s
}

// nextWakeMS returns the first whole millisecond after the decider's next wake time.
func (s *script) nextWakeMS() int { return int(s.d.NextWake().Sub(s.startTime)/time.Millisecond) + 1 }

// stepUntilSend steps at each wake time until a request is sent, and returns it. It fails if none is sent until the
// given time.
func (s *script) stepUntilSend(until int) Send {
	s.t.Helper()
	for s.nowMS < until {
		out := s.step(s.nextWakeMS())
		if len(rejections(out)) > 0 {
			break
		}
		if len(sends(out)) > 0 {
			return s.oneSend(out)
		}
	}
	s.t.Fatalf("no request sent by %d ms, want one", s.nowMS)
	return Send{}
}

func TestOneRequestVerifiesAnExpectedLoadAndOthersFollow(t *testing.T) {
	s := loadingScript(t)
	first := s.stepUntilSend(150)
	if s.nowMS < 120 {
		t.Errorf("sent at %d ms, want 120 at the earliest, when the load may have finished", s.nowMS)
	}
	if out := s.step(s.nextWakeMS()); len(sends(out))+len(rejections(out)) > 0 {
		t.Fatalf("got %v, want the second request to wait for the verification", out)
	}
	second := s.oneSend(s.step(s.nowMS+5, FirstByteReceived{ID: first.ID, Endpoint: "a"}))
	if second.ID == first.ID {
		t.Errorf("sent request %d twice, want the other one", first.ID)
	}
}

func TestLoadVerifiedTooEarlyIsVerifiedAgain(t *testing.T) {
	s := loadingScript(t)
	first := s.stepUntilSend(150)
	verifiedAt := s.nowMS
	out := s.step(verifiedAt+3, AttemptFinished{ID: first.ID, Endpoint: "a", Result: Rejected, NeedsRetry: true})
	if len(sends(out))+len(rejections(out)) > 0 {
		t.Fatalf("got %v, want the request to stay queued", out)
	}
	send := s.stepUntilSend(verifiedAt + 300)
	if s.nowMS < verifiedAt+90 {
		t.Errorf("verified again after %d ms, want 90 at least", s.nowMS-verifiedAt)
	}
	if send.Endpoint != "a" {
		t.Errorf("sent to %s, want a", send.Endpoint)
	}
	s.step(s.nowMS+5, FirstByteReceived{ID: send.ID, Endpoint: "a"})
	if res := s.d.endpoints["a"].residencyOf("m"); !res.serves("a3") || res.isUnverified("a3") {
		t.Error("adapter a3 is not confirmed after an answer, want it confirmed")
	}
}

// An update of the endpoint overrides the assumption.
func TestUpdateOverridesTheAssumptionOfALoad(t *testing.T) {
	s := loadingScript(t)
	s.stepUntilSend(150)
	s.step(s.nowMS+2, ViewChanged{Endpoints: []protocol.Endpoint{modelEndpoint("a", 2, "m")}})
	if res := s.d.endpoints["a"].residencyOf("m"); res.serves("a3") {
		t.Error("adapter a3 is still assumed to be loaded, want it gone with the update")
	}
}

// A load that takes longer than expected rejects the request that verifies it more than once. These rejections must
// not count towards maxRejections: the request stays queued and is served within its latency target.
func TestRequestStaysQueuedAfterEarlyVerifications(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1))
	r := s.request("rare")
	r.LatencyTarget = s.time(3000)
	s.step(0, RequestArrived{r})
	loads := modelEndpoint("a", 1)
	loads.Loading = []protocol.ModelLoad{{Model: "rare", Remaining: 200 * time.Millisecond}}
	s.step(20, ViewChanged{Endpoints: []protocol.Endpoint{loads}})
	for range 3 {
		send := s.stepUntilSend(2500)
		out := s.step(s.nowMS+1, AttemptFinished{ID: send.ID, Endpoint: "a", Result: Misdirected, NeedsRetry: true})
		if rejected := rejections(out); len(rejected) > 0 {
			t.Fatalf("rejected at %d ms: %v, want it to wait for the load", s.nowMS, rejected)
		}
	}
	send := s.stepUntilSend(3000)
	s.step(s.nowMS+20, FirstByteReceived{ID: send.ID, Endpoint: "a"})
	if s.nowMS > 3000 {
		t.Errorf("answered at %d ms, want 3000 at the latest", s.nowMS)
	}
}
