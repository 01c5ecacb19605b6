package dispatch

import (
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// script passes inputs to a decider; its times are in ms since the start.
type script struct {
	t         *testing.T
	d         *Decider
	startTime time.Time
	nowMS     int
	id        RequestID
}

// testConfiguration returns a configuration with a service with models and a service without.
func testConfiguration() *configuration.Configuration {
	return &configuration.Configuration{
		Generation: 1,
		Services: []configuration.Service{
			{Name: "lm", MaxConnections: 360, Engine: &configuration.Engine{
				Slots: 64, KVTokens: 130000, TokensPerEvent: 2,
				Models:         []configuration.Model{{Name: "m", LoadTimeSeconds: 4, AdapterCount: 3}, {Name: "rare", LoadTimeSeconds: 5}},
				WeightMemoryMB: 100, AdapterSlots: 8,
			}},
			{Name: "app", MaxConnections: 108},
		},
		Tenants: []configuration.Tenant{{Name: "t", Unit: configuration.UnitTokens, RatePerSecond: 9000, Burst: 9000}},
	}
}

func modelEndpoint(id string, sequence uint64, models ...string) protocol.Endpoint {
	e := protocol.Endpoint{ID: id, Service: "lm", Address: id + ":1", Zone: "z", Slots: 64, Sequence: sequence}
	for _, m := range models {
		e.Models = append(e.Models, protocol.LoadedModel{Name: m, Generation: 1})
	}
	return e
}

func plainEndpoint(id string, slots int) protocol.Endpoint {
	return protocol.Endpoint{ID: id, Service: "app", Address: id + ":1", Zone: "z", Slots: slots, Sequence: 1}
}

func newScript(t *testing.T, endpoints ...protocol.Endpoint) *script {
	t.Helper()
	s := &script{t: t, startTime: time.Now(), d: New(Config{
		Seed: 1, Zone: "z", RouterCount: 9, RetryBudgetRatio: 0.2, RetryBudgetSlack: 56,
		QuotaOvershootFraction: 0.1, QuotaOvershootSlack: 11000,
	})}
	s.step(0, ViewChanged{Configuration: testConfiguration(), Full: true, Endpoints: endpoints, RouterCount: 9})
	return s
}

// step advances the time, passes the inputs and returns the outputs.
func (s *script) step(at int, inputs ...Input) []Output {
	s.nowMS = at
	return append([]Output(nil), s.d.Step(s.time(at), inputs)...)
}

func (s *script) time(at int) time.Time { return s.startTime.Add(time.Duration(at) * time.Millisecond) }

// request returns a new request for the model, or for the service without models.
func (s *script) request(model string) Request {
	s.id++
	r := Request{
		ID: s.id, Service: "lm", Model: model, PromptTokens: 1000, OutputTokens: 100, Retryable: true,
		Streaming: true, Tenant: "free", MaxEndpoints: 2, ArrivedAt: s.time(s.nowMS), LatencyTarget: s.time(s.nowMS + 500),
		Deadline: s.time(s.nowMS + 15000),
	}
	if model == "" {
		r.Service, r.Retryable, r.Streaming, r.MaxEndpoints = "app", false, false, 1
		r.LatencyTarget, r.Deadline = s.time(s.nowMS+100), s.time(s.nowMS+600)
	}
	return r
}

func sends(out []Output) (list []Send) {
	for _, o := range out {
		if o, ok := o.(Send); ok {
			list = append(list, o)
		}
	}
	return list
}

func rejections(out []Output) (list []Reject) {
	for _, o := range out {
		if o, ok := o.(Reject); ok {
			list = append(list, o)
		}
	}
	return list
}

func reports(out []Output) (list []protocol.Report) {
	for _, o := range out {
		if o, ok := o.(Report); ok {
			list = append(list, o.Report)
		}
	}
	return list
}

func (s *script) oneSend(out []Output) Send {
	s.t.Helper()
	list := sends(out)
	if len(list) != 1 {
		s.t.Fatalf("sent %v, want one; all: %v", list, out)
	}
	return list[0]
}

func (s *script) oneRejection(out []Output) Reject {
	s.t.Helper()
	list := rejections(out)
	if len(list) != 1 {
		s.t.Fatalf("rejected %v, want one; all: %v", list, out)
	}
	return list[0]
}

func TestNewRouterServesAtOnce(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"), plainEndpoint("p", 6))
	if send := s.oneSend(s.step(1, RequestArrived{s.request("m")})); send.Endpoint != "a" || send.MaxConnections != 32 {
		t.Errorf("sent %+v, want it to a with 32 connections", send)
	}
	if send := s.oneSend(s.step(2, RequestArrived{s.request("")})); send.Endpoint != "p" {
		t.Errorf("sent %+v, want it to p", send)
	}
	out := s.step(40, FirstByteReceived{ID: 1, Endpoint: "a"}, AttemptFinished{ID: 2, Endpoint: "p"})
	if len(sends(out))+len(rejections(out)) > 0 {
		t.Errorf("got %v, want nothing sent or rejected", out)
	}
	s.step(1000, AttemptFinished{ID: 1, Endpoint: "a"})
	if len(s.d.requests) > 0 || s.d.schedule.BusySlots != 0 {
		t.Errorf("%d requests left and %d slots in use, want none", len(s.d.requests), s.d.schedule.BusySlots)
	}
}

func TestIdleDeciderDoesNotWake(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	s.step(1, RequestArrived{s.request("m")})
	s.step(100, FirstByteReceived{ID: 1, Endpoint: "a"})
	s.step(200, AttemptFinished{ID: 1, Endpoint: "a"})
	for range 10 {
		at := s.d.NextWake()
		if at.IsZero() {
			return
		}
		s.step(int(at.Sub(s.startTime)/time.Millisecond) + 1)
	}
	t.Error("the idle decider still has a wake time after 10 steps, want none")
}
