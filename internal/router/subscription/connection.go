package subscription

import (
	"context"
	"fmt"
	"time"

	"raventrestle/internal/transport"
)

// dialSlack is how much later than the decider the host gives up a dial: the decider's word comes first.
const dialSlack = 100 * time.Millisecond

// connection is one connection of the host, from its dial on. It is the transport's handler for it.
type connection struct {
	id     ConnectionID
	inputs chan<- Input
	ctx    context.Context // done: nobody takes its inputs any more
	stop   context.CancelFunc
	opened chan struct{} // closed once the decider is being told that it is up
	up     *transport.Connection
}

// dial begins a connection. Its outcome comes as an input.
func (s *Subscription) dial(ctx context.Context, dial Dial) {
	c := &connection{id: dial.Connection, inputs: s.inputs, opened: make(chan struct{})}
	c.ctx, c.stop = context.WithCancel(ctx)
	s.connections[c.id] = c
	go c.dial(dial.Address, s.codec)
}

func (c *connection) dial(address string, codec *transport.Codec) {
	dialling, stop := context.WithTimeout(c.ctx, dialTimeout+dialSlack)
	defer stop()
	up, err := transport.Dial(dialling, address, codec, c)
	if err != nil {
		c.input(Ended{Connection: c.id, Err: fmt.Errorf("subscribe: %w", err)})
		return
	}
	context.AfterFunc(c.ctx, up.Close)
	c.up = up
	c.input(Opened{Connection: c.id})
	close(c.opened)
}

// input hands something to the owner, unless that has given the connection up.
func (c *connection) input(in Input) {
	select {
	case c.inputs <- in:
	case <-c.ctx.Done():
	}
}

// Message passes on what comes. The connection's goroutine waits where the owner is behind.
func (c *connection) Message(_ *transport.Connection, message any) {
	if c.isOpened() {
		c.input(Received{Connection: c.id, Message: message})
	}
}

// Closed passes on the end.
func (c *connection) Closed(_ *transport.Connection, err error) {
	if c.isOpened() {
		c.input(Ended{Connection: c.id, Err: err})
	}
}

// isOpened waits until the owner knows of the connection. It is false where that does not want it any more.
func (c *connection) isOpened() bool {
	select {
	case <-c.opened:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// send passes a message on. One that can't be sent is lost: the connection is about to end.
func (s *Subscription) send(send Send) {
	if c := s.connections[send.Connection]; c != nil && c.up != nil {
		_ = c.up.Send(send.Message)
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
