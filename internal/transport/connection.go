package transport

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
)

// Handler receives what arrives on connections. Message is called by one goroutine for each connection, with a pointer
// to the message; Closed is called once, after the last Message, with the first cause of the end. Both may send and
// close, and block the connection's reading while they run.
type Handler interface {
	Message(c *Connection, message any)
	Closed(c *Connection, err error)
}

// Connection carries messages in both directions. Its methods may be called by any goroutine.
//
// Invariants: a frame is in pending, in the write under way, or lost with the connection, and frames leave in the order
// in which they were queued; cause is set once, and ended is closed with it; pending is owned by the mutex, the buffer
// being written by writeLoop alone.
type Connection struct {
	socket        net.Conn
	remoteAddress string
	codec         *Codec
	handler       Handler
	config        config

	mutex         sync.Mutex
	pending       *bytes.Buffer // frames for the next write
	pendingFrames int           // number of frames in pending
	bytesInWrite  int           // of the write under way
	cause         error         // why the connection ended; nil before

	writeRequested chan struct{} // wakes writeLoop for pending
	ended          chan struct{} // closed with cause
	writerDone     chan struct{} // closed by writeLoop at its end
	done           chan struct{} // closed after Handler.Closed
}

// Dial connects to an address (IP:port) before the context ends. The connection outlives the context.
func Dial(ctx context.Context, address string, codec *Codec, handler Handler, options ...Option) (*Connection, error) {
	c, err := connect(ctx, address, codec, handler, newConfig(options))
	if err != nil {
		return nil, err
	}
	c.start()
	return c, nil
}

// connect returns a connection whose goroutines have yet to be started.
func connect(ctx context.Context, address string, codec *Codec, handler Handler, config config) (*Connection, error) {
	dialer := net.Dialer{KeepAlive: -1, Control: config.setBeforeUse}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("transport: dial %s: %w", address, err)
	}
	return newConnection(socket, address, codec, handler, config), nil
}

func newConnection(socket net.Conn, remote string, codec *Codec, handler Handler, config config) *Connection {
	return &Connection{
		socket:         socket,
		remoteAddress:  remote,
		codec:          codec,
		handler:        handler,
		config:         config,
		pending:        new(bytes.Buffer),
		writeRequested: make(chan struct{}, 1),
		ended:          make(chan struct{}),
		writerDone:     make(chan struct{}),
		done:           make(chan struct{}),
	}
}

// start starts the connection's goroutines: see the package comment.
func (c *Connection) start() {
	go c.writeLoop()
	go c.readLoop()
}

// RemoteAddress returns the address that was dialed or that the connection was accepted from.
func (c *Connection) RemoteAddress() string { return c.remoteAddress }

// Done is closed once the connection has ended, Handler.Closed has returned and its goroutines are done.
func (c *Connection) Done() <-chan struct{} { return c.done }

// Close ends the connection at once, without waiting: see Done. Frames that are still queued are lost.
func (c *Connection) Close() { c.fail(ErrClosed) }

// Send queues a message, a registered struct or a pointer to one, and never blocks. Its error wraps ErrQueueFull,
// ErrClosed or an error of Codec.Encode, and names the peer.
func (c *Connection) Send(message any) error {
	return c.enqueue(func(pending *bytes.Buffer) error {
		return c.codec.append(pending, message)
	})
}

// SendFrame is Send for a message that has been encoded before.
func (c *Connection) SendFrame(frame Frame) error {
	return c.enqueue(func(pending *bytes.Buffer) error {
		pending.Write(frame)
		return nil
	})
}

// enqueue has add append one frame to the queue, and takes it back where the queue's bounds are exceeded.
func (c *Connection) enqueue(add func(pending *bytes.Buffer) error) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cause != nil {
		return fmt.Errorf("transport: send to %s: %w", c.remoteAddress, ErrClosed)
	}
	if c.pendingFrames >= c.config.maxQueueFrames {
		return fmt.Errorf("transport: send to %s: %d frames queued: %w", c.remoteAddress, c.pendingFrames, ErrQueueFull)
	}
	before := c.pending.Len()
	if err := add(c.pending); err != nil {
		return fmt.Errorf("transport: send to %s: %w", c.remoteAddress, err)
	}
	if queued := c.pending.Len() + c.bytesInWrite; queued > c.config.maxQueueBytes {
		c.pending.Truncate(before)
		return fmt.Errorf("transport: send to %s: %d bytes queued: %w", c.remoteAddress, queued, ErrQueueFull)
	}
	c.pendingFrames++
	select {
	case c.writeRequested <- struct{}{}:
	default: // a request is waiting already, and covers this frame
	}
	return nil
}

// fail ends the connection. Only the first cause is kept.
func (c *Connection) fail(cause error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cause != nil {
		return
	}
	c.cause = cause
	close(c.ended)
	_ = c.socket.Close() // the cause is reported; a failed close of a socket leaves nothing to do
}
