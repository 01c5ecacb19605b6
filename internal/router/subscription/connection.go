package subscription

import (
	"context"
	"fmt"
	"time"

	"raventrestle/internal/protocol"
	"raventrestle/internal/transport"
)

// dialTimeoutMargin is added to the decider's dial timeout at the host, so that the decider abandons a dial first.
const dialTimeoutMargin = 100 * time.Millisecond

// connection is a connection of the host, from the dial on, and the transport's handler for it.
//
// Run owns it. The dialing goroutine sets the field transport and then sends ConnectionOpened. Run reads the field only after it
// has received that input.
type connection struct {
	id            ConnectionID
	inputs        chan<- Input
	creditGranted func(*protocol.CreditGrant)
	ctx           context.Context // done once Run has closed the connection and no longer takes its inputs
	cancel        context.CancelFunc
	opened        chan struct{} // closed once ConnectionOpened is queued
	transport     *transport.Connection
}

// dial starts to establish a connection. The result is passed to Run as an input.
func (s *Subscription) dial(ctx context.Context, dial Dial) {
	c := &connection{id: dial.Connection, inputs: s.inputs, creditGranted: s.applier.CreditGranted, opened: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancel(ctx)
	s.connections[c.id] = c
	s.tasks.Go(func() { c.dial(dial.Address, s.codec) })
}

func (c *connection) dial(address string, codec *transport.Codec) {
	dialCtx, cancel := context.WithTimeout(c.ctx, dialTimeout+dialTimeoutMargin)
	defer cancel()
	established, err := transport.Dial(dialCtx, address, codec, c)
	if err != nil {
		c.enqueue(ConnectionClosed{Connection: c.id, Err: fmt.Errorf("subscription: %w", err)})
		return
	}
	context.AfterFunc(c.ctx, established.Close)
	c.transport = established
	c.enqueue(ConnectionOpened{Connection: c.id})
	close(c.opened)
}

// enqueue passes an input to Run, unless Run has closed the connection.
func (c *connection) enqueue(in Input) {
	select {
	case c.inputs <- in:
	case <-c.ctx.Done():
	}
}

// Message passes a message to Run. While Run is busy it blocks the transport's goroutine, and so eventually the sender. Credit
// grants bypass Run and go directly to the applier, because no decision of the subscription depends on them.
func (c *connection) Message(_ *transport.Connection, message any) {
	if grant, isGrant := message.(*protocol.CreditGrant); isGrant {
		c.creditGranted(grant)
		return
	}
	if c.awaitOpened() {
		c.enqueue(MessageReceived{Connection: c.id, Message: message})
	}
}

// Closed reports the end of the connection to Run.
func (c *connection) Closed(_ *transport.Connection, err error) {
	if c.awaitOpened() {
		c.enqueue(ConnectionClosed{Connection: c.id, Err: err})
	}
}

// awaitOpened waits until ConnectionOpened is queued, so that the inputs of the connection keep their order. It returns false if
// Run has closed the connection.
func (c *connection) awaitOpened() bool {
	select {
	case <-c.opened:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// send sends a message. A message that cannot be sent is lost. The connection then ends soon, which Run receives as an input.
func (s *Subscription) send(send Send) {
	if c := s.connections[send.Connection]; c != nil && c.transport != nil {
		_ = c.transport.Send(send.Message)
	}
}

// close closes a connection.
func (s *Subscription) close(id ConnectionID) {
	if c := s.connections[id]; c != nil {
		c.cancel()
		delete(s.connections, id)
	}
}

func (s *Subscription) closeAll() {
	for id := range s.connections {
		s.close(id)
	}
}
