package standin

import (
	"context"
	"time"

	"github.com/dghubble/sling"
)

// LateHeartbeat is a heartbeat that an endpoint sent before it announced its end, and that has not arrived yet.
type LateHeartbeat struct {
	endpoint *Endpoint
	state    heartbeat
}

// Deliver has the heartbeat arrive at a control instance. What the instance answers concerns nobody any more.
func (l LateHeartbeat) Deliver(ctx context.Context, control string) {
	request := sling.New().Put("http://" + control + "/-/instances/" + l.endpoint.options.ID).BodyJSON(l.state)
	_ = l.endpoint.call(ctx, request)
}

// Drain announces the endpoint's end by heartbeats in state draining. It returns once one of them is acknowledged, with an
// error if the context ends before. The endpoint goes on serving.
func (e *Endpoint) Drain(ctx context.Context) (LateHeartbeat, error) {
	late := LateHeartbeat{e, e.currentState()}
	e.mutex.Lock()
	e.draining = true
	e.mutex.Unlock()
	return late, e.callUntilAcknowledged(ctx, e.sendHeartbeat)
}

// Leave announces the endpoint's end by a deregistration, and sends no heartbeats from then on. It returns once the
// deregistration is acknowledged, with an error if the context ends before. The endpoint goes on serving.
func (e *Endpoint) Leave(ctx context.Context) (LateHeartbeat, error) {
	late := LateHeartbeat{e, e.currentState()}
	e.stop()
	return late, e.callUntilAcknowledged(ctx, e.sendDeregistration)
}

// callUntilAcknowledged makes the call to one control instance after the other until one acknowledges it.
func (e *Endpoint) callUntilAcknowledged(ctx context.Context, call func(ctx context.Context, control string) error) error {
	for attempt := 0; ; attempt++ {
		err := call(ctx, e.options.ControlAddresses[attempt%len(e.options.ControlAddresses)])
		if err == nil {
			return nil
		}
		select {
		case <-time.After(heartbeatRetryInterval):
		case <-ctx.Done():
			return err
		}
	}
}
