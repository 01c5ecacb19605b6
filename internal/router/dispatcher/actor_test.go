package dispatcher

import (
	"context"
	"net"
	"testing"
	"time"

	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/pool"
)

const testTimeout = 10 * time.Second

// script is a decider whose steps the test defines.
type script struct {
	steps chan []dispatch.Input
	do    func(inputs []dispatch.Input) []dispatch.Output
	wake  time.Time
}

func (s *script) Step(_ time.Time, inputs []dispatch.Input) []dispatch.Output {
	outputs := s.do(inputs)
	if len(inputs) > 0 {
		s.steps <- append([]dispatch.Input(nil), inputs...)
	}
	return outputs
}

func (s *script) NextWake() time.Time { return s.wake }

// sendAll sends every request that arrives.
func sendAll(inputs []dispatch.Input) (outputs []dispatch.Output) {
	for _, input := range inputs {
		if a, ok := input.(dispatch.RequestArrived); ok {
			outputs = append(outputs, dispatch.Send{ID: a.Request.ID, Endpoint: "e", MaxConnections: 2})
		}
	}
	return outputs
}

func start(t *testing.T, do func([]dispatch.Input) []dispatch.Output) (*Actor, *script, *pool.Dialer) {
	t.Helper()
	s := &script{steps: make(chan []dispatch.Input, 100), do: do}
	dialer := pool.NewDialer()
	a := New(s, pool.NewIdle(dialer, 100), Reports{Demand: func(protocol.Report) {}, Outcomes: func(dispatch.Summary) {}})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go a.Run(ctx)
	return a, s, dialer
}

// inputs waits until the decider has received so many inputs.
func (s *script) inputs(t *testing.T, n int) []dispatch.Input {
	t.Helper()
	var all []dispatch.Input
	for len(all) < n {
		select {
		case step := <-s.steps:
			all = append(all, step...)
		case <-time.After(testTimeout):
			t.Fatalf("%d inputs, want %d: %v", len(all), n, all)
		}
	}
	return all
}

func connect(t *testing.T, dialer *pool.Dialer) *pool.Connection {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: got %v, want no error", err)
	}
	t.Cleanup(func() { listener.Close() })
	c, err := dialer.Dial("e", listener.Addr().String(), time.Now().Add(testTimeout))
	if err != nil {
		t.Fatalf("dial: got %v, want no error", err)
	}
	return c
}

func TestIdleConnectionServesTheNextAttempt(t *testing.T) {
	a, _, dialer := start(t, sendAll)
	ctx := context.Background()
	first := a.Submit(dispatch.Request{})
	v, _ := first.Wait(ctx, nil)
	if v.Connection != nil {
		t.Fatal("got a connection before any was idle, want none")
	}
	c := connect(t, dialer)
	first.FinishAttempt(Outcome{Send: v.Send, Result: dispatch.Succeeded, Connection: c, IdleTimeout: time.Minute})
	second := a.Submit(dispatch.Request{})
	if v, _ = second.Wait(ctx, nil); v.Connection != c || !c.Reused {
		t.Error("the idle connection was not handed out, want it reused")
	}
	third := a.Submit(dispatch.Request{})
	if v, _ = third.Wait(ctx, nil); v.Connection != nil {
		t.Error("got a connection that another attempt uses, want none")
	}
}

// A request whose client leaves before it has read its decision: its attempt ends, and its connection stays idle.
func TestAttemptThatNobodyReadsEndsAndItsConnectionStaysIdle(t *testing.T) {
	a, s, dialer := start(t, sendAll)
	first := a.Submit(dispatch.Request{})
	v, _ := first.Wait(context.Background(), nil)
	c := connect(t, dialer)
	first.FinishAttempt(Outcome{Send: v.Send, Result: dispatch.Succeeded, Connection: c, IdleTimeout: time.Minute})
	second := a.Submit(dispatch.Request{})
	s.inputs(t, 3)
	a.post(command{kind: cancelRequest, id: second.id})
	got := s.inputs(t, 2)
	if _, ok := got[0].(dispatch.RequestCanceled); !ok {
		t.Errorf("got %v, want RequestCanceled first", got)
	}
	f, ok := got[1].(dispatch.AttemptFinished)
	if !ok || f.ID != second.id || f.Result != dispatch.Canceled || f.NeedsRetry {
		t.Errorf("got %v, want the canceled attempt's end second", got)
	}
	third := a.Submit(dispatch.Request{})
	if v, _ = third.Wait(context.Background(), nil); v.Connection != c {
		t.Error("the idle connection was not handed out again, want it")
	}
}

// A request that is canceled in the very step in which it is sent.
func TestRequestCanceledInTheStepThatSendsIt(t *testing.T) {
	var held dispatch.RequestID
	a, s, _ := start(t, func(inputs []dispatch.Input) (outputs []dispatch.Output) {
		for _, input := range inputs {
			switch i := input.(type) {
			case dispatch.RequestArrived:
				held = i.Request.ID
			case dispatch.RequestCanceled: // as if another attempt's end in the same step had freed a slot
				outputs = append(outputs, dispatch.Send{ID: held, Endpoint: "e"})
			}
		}
		return outputs
	})
	ticket := a.Submit(dispatch.Request{})
	s.inputs(t, 1)
	ctx, leave := context.WithCancel(context.Background())
	leave()
	if _, ok := ticket.Wait(ctx, nil); ok {
		t.Fatal("Wait returned a decision after its context was done, want none")
	}
	got := s.inputs(t, 2)
	if f, ok := got[1].(dispatch.AttemptFinished); !ok || f.Result != dispatch.Canceled {
		t.Errorf("got %v, want the canceled attempt's end second", got)
	}
	if len(a.requests) != 0 {
		t.Errorf("%d requests left, want none", len(a.requests))
	}
}

func TestRejectionReachesTheRequest(t *testing.T) {
	a, _, _ := start(t, func(inputs []dispatch.Input) (outputs []dispatch.Output) {
		for _, input := range inputs {
			if i, ok := input.(dispatch.RequestArrived); ok {
				outputs = append(outputs, dispatch.Reject{ID: i.Request.ID, Reason: dispatch.TargetUnreachable})
			}
		}
		return outputs
	})
	v, ok := a.Submit(dispatch.Request{}).Wait(context.Background(), nil)
	if !ok || v.Reject == nil || v.Reject.Reason != dispatch.TargetUnreachable {
		t.Errorf("got %+v, want a rejection with TargetUnreachable", v)
	}
}

// ApplyView returns after the decider has had the change, and drops connections to departed endpoints.
func TestApplyViewReturnsAfterTheStepAndDropsDepartedConnections(t *testing.T) {
	a, s, dialer := start(t, sendAll)
	ticket := a.Submit(dispatch.Request{})
	v, _ := ticket.Wait(context.Background(), nil)
	c := connect(t, dialer)
	ticket.FinishAttempt(Outcome{Send: v.Send, Connection: c, IdleTimeout: time.Minute})
	departed := dispatch.ViewChanged{Endpoints: []protocol.Endpoint{{ID: "e", State: protocol.Departed}}}
	if err := a.ApplyView(context.Background(), departed); err != nil {
		t.Fatalf("ApplyView: got %v, want no error", err)
	}
	got := s.inputs(t, 3)
	if _, ok := got[2].(dispatch.ViewChanged); !ok {
		t.Errorf("got %v, want ViewChanged third", got)
	}
	if v, _ = a.Submit(dispatch.Request{}).Wait(context.Background(), nil); v.Connection != nil {
		t.Error("got a connection to a departed endpoint, want none")
	}
}

// The decider is called at the time that it names.
func TestDeciderIsCalledAtItsNextWake(t *testing.T) {
	called := make(chan struct{}, 10)
	s := &script{steps: make(chan []dispatch.Input, 10), wake: time.Now().Add(20 * time.Millisecond)}
	s.do = func([]dispatch.Input) []dispatch.Output {
		s.wake = time.Time{}
		called <- struct{}{}
		return nil
	}
	a := New(s, pool.NewIdle(pool.NewDialer(), 100), Reports{Demand: func(protocol.Report) {}, Outcomes: func(dispatch.Summary) {}})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go a.Run(ctx)
	select {
	case <-called:
	case <-time.After(testTimeout):
		t.Fatalf("the decider was not called within %v, want a call at its wake time", testTimeout)
	}
}
