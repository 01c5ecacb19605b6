package host

import (
	"context"
	"errors"
	"fmt"
	"time"

	"raventrestle/internal/control/controller"
	"raventrestle/internal/protocol"
	"raventrestle/internal/transport"
)

// Errors of calls to the host. ErrRejected means that the registry rejects an endpoint's request: the quorum is lost, or,
// for a drain, the instance has only started or could not confirm it in time (registry.Reply.Rejected). ErrUnrecorded
// means that an endpoint's end could not be committed in time (controller.Answer.Unrecorded).
var (
	ErrStopped    = errors.New("instance stops")
	ErrRejected   = errors.New("instance has no contact with a majority of the others")
	ErrUnrecorded = errors.New("the endpoint's end could not be recorded in time")
)

// viewRequest asks for the soft state as the newest step left it. All other commands of the queue are events of the
// controller.
type viewRequest struct{ answer chan View }

// handle handles a command of the queue. Events are kept for the step that follows.
func (h *Host) handle(command any) {
	switch command := command.(type) {
	case controller.Event:
		h.pendingEvents = append(h.pendingEvents, command)
	case viewRequest:
		command.answer <- h.view()
	}
}

// Message takes what arrives on a connection; the host is a transport.Handler.
func (h *Host) Message(c *transport.Connection, message any) {
	if body, isReplica := message.(*protocol.ReplicaMessage); isReplica {
		h.dependencies.Replica.Deliver(body.From, body.Body)
		return
	}
	h.queue.Post(context.Background(), controller.MessageReceived{Connection: c, Message: message})
}

// Closed takes in that a connection ended.
func (h *Host) Closed(c *transport.Connection, _ error) {
	h.queue.Post(context.Background(), controller.ConnectionClosed{Connection: c})
}

// Heartbeat takes in an endpoint's state and returns once the endpoint may be answered. The error is ErrRejected where
// another instance is to be asked, ErrStopped, or wraps the context's.
func (h *Host) Heartbeat(ctx context.Context, endpoint protocol.Endpoint) error {
	answer := make(chan controller.Answer, 1)
	return h.await(ctx, controller.HeartbeatReceived{Caller: answer, Endpoint: endpoint}, answer)
}

// Deregister takes in an endpoint's end and returns once the endpoint may be answered, with the errors of Heartbeat.
func (h *Host) Deregister(ctx context.Context, id string) error {
	answer := make(chan controller.Answer, 1)
	return h.await(ctx, controller.DeregistrationReceived{Caller: answer, ID: id}, answer)
}

func (h *Host) await(ctx context.Context, event controller.Event, answers <-chan controller.Answer) error {
	if !h.queue.Post(ctx, event) {
		return ErrStopped
	}
	select {
	case answer := <-answers:
		switch {
		case answer.Unrecorded:
			return ErrUnrecorded
		case answer.Result.Rejected:
			return ErrRejected
		}
		return nil
	case <-h.queue.Ended():
		return ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("wait for acknowledgement: %w", ctx.Err())
	}
}

// PublishLoading gives routers and other instances the placer's model loads that are in progress.
func (h *Host) PublishLoading(table protocol.LoadingTable) {
	h.queue.Post(context.Background(), controller.LoadingChanged{Table: table})
}

// View is the soft state for people and for the singleton roles. It has nothing to do with the group's view (package view).
type View struct {
	Endpoints   []protocol.Endpoint
	Routers     []string // connected here
	RouterCount int      // of all instances; 0 while unknown
	Members     []protocol.Member
	QuorumLost  bool
}

// View returns the soft state as the newest step left it. The error is ErrStopped or wraps the context's.
func (h *Host) View(ctx context.Context) (View, error) {
	answer := make(chan View, 1)
	if !h.queue.Post(ctx, viewRequest{answer: answer}) {
		return View{}, ErrStopped
	}
	select {
	case view := <-answer:
		return view, nil
	case <-h.queue.Ended():
		return View{}, ErrStopped
	case <-ctx.Done():
		return View{}, fmt.Errorf("wait for the table: %w", ctx.Err())
	}
}

func (h *Host) view() View {
	return View{
		Endpoints:   h.controller.Endpoints(time.Now()),
		Routers:     h.controller.Routers(),
		RouterCount: h.controller.RouterCount(),
		Members:     h.controller.Members(),
		QuorumLost:  h.controller.QuorumLost(),
	}
}
