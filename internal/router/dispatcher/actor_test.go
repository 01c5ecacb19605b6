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

// script is a decider that does what a test says at each step.
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

// sendAll sends whatever arrives.
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
	a := New(s, pool.NewIdle(dialer, 100), func(protocol.Report) {})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go a.Run(ctx)
	return a, s, dialer
}

// inputs waits until the decider has had so many inputs.
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
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	c, err := dialer.Dial("e", listener.Addr().String(), time.Now().Add(testTimeout))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestIdleConnectionServesTheNextAttempt(t *testing.T) {
	a, _, dialer := start(t, sendAll)
	ctx := context.Background()
	first := a.Submit(dispatch.Request{})
	v, _ := first.Wait(ctx, nil)
	if v.Connection != nil {
		t.Fatal("a connection from nowhere")
	}
	c := connect(t, dialer)
	first.FinishAttempt(Outcome{Send: v.Send, Result: dispatch.Succeeded, Connection: c, IdleTimeout: time.Minute})
	second := a.Submit(dispatch.Request{})
	if v, _ = second.Wait(ctx, nil); v.Connection != c || !c.Reused {
		t.Error("the connection that rested was not handed out")
	}
	third := a.Submit(dispatch.Request{})
	if v, _ = third.Wait(ctx, nil); v.Connection != nil {
		t.Error("one connection for two calls")
	}
}

// A request whose client leaves before it has read its verdict: its call ends, and its connection rests on.
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
		t.Errorf("%v", got)
	}
	f, ok := got[1].(dispatch.AttemptFinished)
	if !ok || f.ID != second.id || f.Result != dispatch.Canceled || f.NeedsRetry {
		t.Errorf("%v", got)
	}
	third := a.Submit(dispatch.Request{})
	if v, _ = third.Wait(context.Background(), nil); v.Connection != c {
		t.Error("the connection is lost")
	}
}

// A request that is withdrawn in the very step in which it is sent.
func TestRequestCanceledInTheStepThatSendsIt(t *testing.T) {
	var held dispatch.RequestID
	a, s, _ := start(t, func(inputs []dispatch.Input) (outputs []dispatch.Output) {
		for _, input := range inputs {
			switch i := input.(type) {
			case dispatch.RequestArrived:
				held = i.Request.ID
			case dispatch.RequestCanceled: // as where another call's end in the same step had made room for it
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
		t.Fatal("a verdict for nobody")
	}
	got := s.inputs(t, 2)
	if f, ok := got[1].(dispatch.AttemptFinished); !ok || f.Result != dispatch.Canceled {
		t.Errorf("%v", got)
	}
	if len(a.requests) != 0 {
		t.Errorf("%d places left", len(a.requests))
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
		t.Errorf("%+v", v)
	}
}

// Apply returns after the decider has had the change, and drops connections to endpoints that are gone.
func TestApplyViewReturnsAfterTheStepAndDropsDepartedConnections(t *testing.T) {
	a, s, dialer := start(t, sendAll)
	ticket := a.Submit(dispatch.Request{})
	v, _ := ticket.Wait(context.Background(), nil)
	c := connect(t, dialer)
	ticket.FinishAttempt(Outcome{Send: v.Send, Connection: c, IdleTimeout: time.Minute})
	departed := dispatch.ViewChanged{Endpoints: []protocol.Endpoint{{ID: "e", State: protocol.Departed}}}
	if err := a.ApplyView(context.Background(), departed); err != nil {
		t.Fatal(err)
	}
	got := s.inputs(t, 3)
	if _, ok := got[2].(dispatch.ViewChanged); !ok {
		t.Errorf("%v", got)
	}
	if v, _ = a.Submit(dispatch.Request{}).Wait(context.Background(), nil); v.Connection != nil {
		t.Error("a connection to an endpoint that was gone")
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
	a := New(s, pool.NewIdle(pool.NewDialer(), 100), func(protocol.Report) {})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go a.Run(ctx)
	select {
	case <-called:
	case <-time.After(testTimeout):
		t.Fatal("never called")
	}
}
