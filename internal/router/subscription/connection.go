package subscription

import (
	"context"
	"fmt"
	"time"

	"raventrestle/internal/protocol"
	"raventrestle/internal/transport"
)

// dialTimeoutMargin is how much later than the decider the host gives up a dial, so that the decider decides first.
const dialTimeoutMargin = 100 * time.Millisecond

// connection is one connection of the host, from its dial on. It is the transport's handler for it.
//
// Run owns it. It reads transport only after ConnectionOpened has come as an input, which the dialing goroutine sends after
// it has set the field.
type connection struct {
	id        ConnectionID
	inputs    chan<- Input
	granted   func(*protocol.CreditGrant)
	ctx       context.Context // done once Run has given the connection up and takes none of its inputs
	stop      context.CancelFunc
	opened    chan struct{} // closed once ConnectionOpened is queued
	transport *transport.Connection
}

// dial starts to establish a connection. The outcome comes as an input.
func (s *Subscription) dial(ctx context.Context, dial Dial) {
	c := &connection{id: dial.Connection, inputs: s.inputs, granted: s.applier.CreditGranted, opened: make(chan struct{})}
	c.ctx, c.stop = context.WithCancel(ctx)
	s.connections[c.id] = c
	s.running.Go(func() { c.dial(dial.Address, s.codec) })
}

func (c *connection) dial(address string, codec *transport.Codec) {
	dialing, stop := context.WithTimeout(c.ctx, dialTimeout+dialTimeoutMargin)
	defer stop()
	established, err := transport.Dial(dialing, address, codec, c)
	if err != nil {
		c.input(ConnectionClosed{Connection: c.id, Err: fmt.Errorf("subscription: %w", err)})
		return
	}
	context.AfterFunc(c.ctx, established.Close)
	c.transport = established
	c.input(ConnectionOpened{Connection: c.id})
	close(c.opened)
}

// input passes an input to Run, unless Run has given the connection up.
func (c *connection) input(in Input) {
	select {
	case c.inputs <- in:
	case <-c.ctx.Done():
	}
}

// Message passes a message to Run. It blocks the transport's goroutine while Run is behind, and so the sender. Credit goes
// where it is spent at once: nothing about the subscription depends on it.
func (c *connection) Message(_ *transport.Connection, message any) {
	if grant, isCredit := message.(*protocol.CreditGrant); isCredit {
		c.granted(grant)
		return
	}
	if c.awaitOpened() {
		c.input(MessageReceived{Connection: c.id, Message: message})
	}
}

// Closed passes the end of the connection to Run.
func (c *connection) Closed(_ *transport.Connection, err error) {
	if c.awaitOpened() {
		c.input(ConnectionClosed{Connection: c.id, Err: err})
	}
}

// awaitOpened waits until ConnectionOpened is queued, so that inputs keep their order. It is false if Run has given the
// connection up.
func (c *connection) awaitOpened() bool {
	select {
	case <-c.opened:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// send sends a message. One that can't be sent is lost: the connection is about to end, which comes as an input.
func (s *Subscription) send(send Send) {
	if c := s.connections[send.Connection]; c != nil && c.transport != nil {
		_ = c.transport.Send(send.Message)
	}
}

// close gives a connection up.
func (s *Subscription) close(id ConnectionID) {
	if c := s.connections[id]; c != nil {
		c.stop()
		delete(s.connections, id)
	}
}

func (s *Subscription) closeAll() {
	for id := range s.connections {
		s.close(id)
	}
}
