package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// Errors of sending.
var (
	ErrQueueFull = errors.New("queue is full")
	ErrClosed    = errors.New("connection is closed")
)

// Handler takes what arrives. Message is called from one goroutine for each connection, with a pointer
// to the message; Closed is called once, after the last Message, with the first cause of the end. Both
// may send and close.
type Handler interface {
	Message(c *Connection, message any)
	Closed(c *Connection, err error)
}

// Connection carries messages in both directions.
type Connection struct {
	socket        net.Conn
	remoteAddress string
	codec         *Codec
	handler       Handler
	config        config

	mutex         sync.Mutex
	pending       *bytes.Buffer // frames for the writer's next write
	pendingFrames int           // in pending
	bytesInWrite  int           // bytes of the write under way
	cause         error         // why the connection ended; nil before

	writeRequested chan struct{} // tells the writer of frames in pending
	ended          chan struct{} // closed with cause
	writerDone     chan struct{} // closed by the writer at its end
	done           chan struct{} // closed after Handler.Closed
}

// Dial connects to an address, within the context.
func Dial(
	ctx context.Context, address string, codec *Codec, handler Handler, changes ...Option,
) (*Connection, error) {
	c, err := connect(ctx, address, codec, handler, newConfig(changes))
	if err != nil {
		return nil, err
	}
	c.start()
	return c, nil
}

func connect(
	ctx context.Context, address string, codec *Codec, handler Handler, options config,
) (*Connection, error) {
	// Keep-alive probes are off: whoever needs to know sends beacons, and those are acknowledged.
	dialer := net.Dialer{KeepAlive: -1, Control: options.setBeforeUse}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("transport: dial %s: %w", address, err)
	}
	return newConnection(socket, address, codec, handler, options), nil
}

func newConnection(socket net.Conn, remote string, codec *Codec, handler Handler, options config) *Connection {
	return &Connection{
		socket:         socket,
		remoteAddress:  remote,
		codec:          codec,
		handler:        handler,
		config:         options,
		pending:        new(bytes.Buffer),
		writeRequested: make(chan struct{}, 1),
		ended:          make(chan struct{}),
		writerDone:     make(chan struct{}),
		done:           make(chan struct{}),
	}
}

func (c *Connection) start() {
	go c.writeLoop()
	go c.readLoop()
}

// RemoteAddress returns the peer's address: the one that was dialled, or the one it came from.
func (c *Connection) RemoteAddress() string { return c.remoteAddress }

// Done is closed once the connection has ended and the handler has been told.
func (c *Connection) Done() <-chan struct{} { return c.done }

// Close ends the connection at once; frames in the queue may be lost.
func (c *Connection) Close() { c.fail(ErrClosed) }

// Send queues a message, a registered struct or a pointer to one. It never blocks.
func (c *Connection) Send(message any) error {
	return c.enqueue(func(pending *bytes.Buffer) error {
		return c.codec.append(pending, message)
	})
}

// SendFrame queues a message that Codec.Encode has encoded.
func (c *Connection) SendFrame(frame Frame) error {
	return c.enqueue(func(pending *bytes.Buffer) error {
		pending.Write(frame)
		return nil
	})
}

func (c *Connection) enqueue(add func(pending *bytes.Buffer) error) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cause != nil {
		return fmt.Errorf("transport: send to %s: %w", c.remoteAddress, ErrClosed)
	}
	if c.pendingFrames >= c.config.maxQueueFrames {
		return fmt.Errorf("transport: send to %s: %d frames: %w", c.remoteAddress, c.pendingFrames, ErrQueueFull)
	}
	before := c.pending.Len()
	if err := add(c.pending); err != nil {
		return fmt.Errorf("transport: send to %s: %w", c.remoteAddress, err)
	}
	if queued := c.pending.Len() + c.bytesInWrite; queued > c.config.maxQueueBytes {
		c.pending.Truncate(before)
		return fmt.Errorf("transport: send to %s: %d bytes: %w", c.remoteAddress, queued, ErrQueueFull)
	}
	c.pendingFrames++
	select {
	case c.writeRequested <- struct{}{}:
	default:
	}
	return nil
}

// takePending hands the queue to the writer and puts an empty buffer in its place.
func (c *Connection) takePending(empty *bytes.Buffer) *bytes.Buffer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	full := c.pending
	c.pending = empty
	c.pendingFrames = 0
	c.bytesInWrite = full.Len()
	return full
}

// writeLoop sends what is queued in as few writes as possible, and sleeps in between.
func (c *Connection) writeLoop() {
	defer close(c.writerDone)
	spare := new(bytes.Buffer)
	for {
		select {
		case <-c.ended:
			return
		case <-c.writeRequested:
		}
		spare = c.takePending(spare)
		if spare.Len() == 0 {
			continue // the last write took it along
		}
		if err := c.flush(spare.Bytes()); err != nil {
			c.fail(fmt.Errorf("transport: write to %s: %w", c.remoteAddress, err))
			return
		}
		spare.Reset()
		if spare.Cap() > maxRetainedBytes {
			spare = new(bytes.Buffer)
		}
	}
}

func (c *Connection) flush(frames []byte) error {
	if err := c.socket.SetWriteDeadline(time.Now().Add(c.config.writeTimeout)); err != nil {
		return err
	}
	_, err := c.socket.Write(frames)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.bytesInWrite = 0
	return err
}

// readLoop hands messages to the handler until the connection ends.
func (c *Connection) readLoop() {
	defer close(c.done)
	c.fail(c.receive())
	<-c.writerDone
	c.handler.Closed(c, c.cause)
}

func (c *Connection) receive() error {
	reader := newFrameReader(c.socket)
	for {
		kind, body, err := reader.next()
		if err != nil {
			return fmt.Errorf("transport: receive from %s: %w", c.remoteAddress, err)
		}
		message, err := c.codec.Decode(kind, body)
		reader.releaseBody()
		if err != nil {
			return fmt.Errorf("transport: receive from %s: %w", c.remoteAddress, err)
		}
		c.handler.Message(c, message)
	}
}

// fail ends the connection; the first cause stays.
func (c *Connection) fail(cause error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cause != nil {
		return
	}
	c.cause = cause
	close(c.ended)
	_ = c.socket.Close() // nothing can be done about a failed close; the cause is what counts
}
