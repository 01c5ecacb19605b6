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

// fakeDecider is a decider whose step function is defined by the test.
type fakeDecider struct {
	steps  chan []dispatch.Input
	onStep func(inputs []dispatch.Input) []dispatch.Output
	wake   time.Time
}

func (f *fakeDecider) Step(_ time.Time, inputs []dispatch.Input) []dispatch.Output {
	outputs := f.onStep(inputs)
	if len(inputs) > 0 {
		f.steps <- append([]dispatch.Input(nil), inputs...)
	}
	return outputs
}

func (f *fakeDecider) NextWake() time.Time { return f.wake }

// sendAll is a step function that sends every request that arrives.
func sendAll(inputs []dispatch.Input) (outputs []dispatch.Output) {
	for _, input := range inputs {
		if a, ok := input.(dispatch.RequestArrived); ok {
			outputs = append(outputs, dispatch.Send{ID: a.Request.ID, Endpoint: "e", MaxConnections: 2})
		}
	}
	return outputs
}

// startActor starts an actor whose decider calls onStep at each step.
func startActor(t *testing.T, onStep func([]dispatch.Input) []dispatch.Output) (*Actor, *fakeDecider, *pool.Dialer) {
	t.Helper()
	decider := &fakeDecider{steps: make(chan []dispatch.Input, 100), onStep: onStep}
	dialer := pool.NewDialer()
	a := New(decider, pool.NewIdle(dialer, 100), Reports{Demand: func(protocol.Report) {}, Outcomes: func(dispatch.Summary) {}})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go a.Run(ctx)
	return a, decider, dialer
}

// waitForInputs waits until the decider has received n inputs, and returns them.
func (f *fakeDecider) waitForInputs(t *testing.T, n int) []dispatch.Input {
	t.Helper()
	var all []dispatch.Input
	for len(all) < n {
		select {
		case step := <-f.steps:
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
	a, _, dialer := startActor(t, sendAll)
	ctx := context.Background()
	first := a.Submit(dispatch.Request{})
	decision, _ := first.Wait(ctx, nil)
	if decision.Connection != nil {
		t.Fatal("got a connection before any was idle, want none")
	}
	c := connect(t, dialer)
	first.FinishAttempt(Outcome{Send: decision.Send, Result: dispatch.Succeeded, Connection: c, IdleTimeout: time.Minute})
	second := a.Submit(dispatch.Request{})
	if decision, _ = second.Wait(ctx, nil); decision.Connection != c || !c.Reused {
		t.Error("the idle connection was not used, want it reused")
	}
	third := a.Submit(dispatch.Request{})
	if decision, _ = third.Wait(ctx, nil); decision.Connection != nil {
		t.Error("got a connection that another attempt uses, want none")
	}
}

// A client disconnects before its request's goroutine has read the decision. The attempt ends, and its connection
// stays idle.
func TestAttemptWithUnreadDecisionEndsAndItsConnectionStaysIdle(t *testing.T) {
	a, decider, dialer := startActor(t, sendAll)
	first := a.Submit(dispatch.Request{})
	decision, _ := first.Wait(context.Background(), nil)
	c := connect(t, dialer)
	first.FinishAttempt(Outcome{Send: decision.Send, Result: dispatch.Succeeded, Connection: c, IdleTimeout: time.Minute})
	second := a.Submit(dispatch.Request{})
	decider.waitForInputs(t, 3)
	a.post(command{kind: cancelRequest, id: second.id})
	got := decider.waitForInputs(t, 2)
	if _, ok := got[0].(dispatch.RequestCanceled); !ok {
		t.Errorf("got %v, want RequestCanceled first", got)
	}
	f, ok := got[1].(dispatch.AttemptFinished)
	if !ok || f.ID != second.id || f.Result != dispatch.Canceled || f.NeedsRetry {
		t.Errorf("got %v, want the canceled attempt's end second", got)
	}
	third := a.Submit(dispatch.Request{})
	if decision, _ = third.Wait(context.Background(), nil); decision.Connection != c {
		t.Error("the idle connection was not used again, want it reused")
	}
}

// A request is canceled in the same step in which it is sent.
func TestRequestCanceledInTheStepThatSendsIt(t *testing.T) {
	var arrived dispatch.RequestID
	a, decider, _ := startActor(t, func(inputs []dispatch.Input) (outputs []dispatch.Output) {
		for _, input := range inputs {
			switch i := input.(type) {
			case dispatch.RequestArrived:
				arrived = i.Request.ID
			case dispatch.RequestCanceled: // as if another attempt's end in the same step had freed a slot
				outputs = append(outputs, dispatch.Send{ID: arrived, Endpoint: "e"})
			}
		}
		return outputs
	})
	ticket := a.Submit(dispatch.Request{})
	decider.waitForInputs(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, ok := ticket.Wait(ctx, nil); ok {
		t.Fatal("Wait returned a decision after its context was done, want none")
	}
	got := decider.waitForInputs(t, 2)
	if f, ok := got[1].(dispatch.AttemptFinished); !ok || f.Result != dispatch.Canceled {
		t.Errorf("got %v, want the canceled attempt's end second", got)
	}
	if len(a.requests) != 0 {
		t.Errorf("%d requests left, want none", len(a.requests))
	}
}

func TestRejectionReachesTheRequest(t *testing.T) {
	a, _, _ := startActor(t, func(inputs []dispatch.Input) (outputs []dispatch.Output) {
		for _, input := range inputs {
			if i, ok := input.(dispatch.RequestArrived); ok {
				outputs = append(outputs, dispatch.Reject{ID: i.Request.ID, Reason: dispatch.TargetUnreachable})
			}
		}
		return outputs
	})
	decision, ok := a.Submit(dispatch.Request{}).Wait(context.Background(), nil)
	if !ok || decision.Reject == nil || decision.Reject.Reason != dispatch.TargetUnreachable {
		t.Errorf("got %+v, want a rejection with TargetUnreachable", decision)
	}
}

// ApplyView returns after the decider has received the change. Connections to departed endpoints are closed.
func TestApplyViewReturnsAfterTheStepAndDropsDepartedConnections(t *testing.T) {
	a, decider, dialer := startActor(t, sendAll)
	ticket := a.Submit(dispatch.Request{})
	decision, _ := ticket.Wait(context.Background(), nil)
	c := connect(t, dialer)
	ticket.FinishAttempt(Outcome{Send: decision.Send, Connection: c, IdleTimeout: time.Minute})
	departed := dispatch.ViewChanged{Endpoints: []protocol.Endpoint{{ID: "e", State: protocol.Departed}}}
	if err := a.ApplyView(context.Background(), departed); err != nil {
		t.Fatalf("ApplyView: got %v, want no error", err)
	}
	got := decider.waitForInputs(t, 3)
	if _, ok := got[2].(dispatch.ViewChanged); !ok {
		t.Errorf("got %v, want ViewChanged third", got)
	}
	if decision, _ = a.Submit(dispatch.Request{}).Wait(context.Background(), nil); decision.Connection != nil {
		t.Error("got a connection to a departed endpoint, want none")
	}
}

// The decider is called at its wake time.
func TestDeciderIsCalledAtItsNextWake(t *testing.T) {
	called := make(chan struct{}, 10)
	decider := &fakeDecider{steps: make(chan []dispatch.Input, 10), wake: time.Now().Add(20 * time.Millisecond)}
	decider.onStep = func([]dispatch.Input) []dispatch.Output {
		decider.wake = time.Time{}
		called <- struct{}{}
		return nil
	}
	a := New(decider, pool.NewIdle(pool.NewDialer(), 100), Reports{Demand: func(protocol.Report) {}, Outcomes: func(dispatch.Summary) {}})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go a.Run(ctx)
	select {
	case <-called:
	case <-time.After(testTimeout):
		t.Fatalf("the decider was not called within %v, want a call at its wake time", testTimeout)
	}
}
