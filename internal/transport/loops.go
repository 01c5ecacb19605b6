package transport

import (
	"bytes"
	"fmt"
	"time"
)

// writeLoop writes what is queued with as few writes as possible, and sleeps in between, until the connection ends.
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
			continue // the previous write included it
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

// takePending returns the queued frames and puts an empty buffer in their place.
func (c *Connection) takePending(empty *bytes.Buffer) *bytes.Buffer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	full := c.pending
	c.pending = empty
	c.pendingFrames = 0
	c.bytesInWrite = full.Len()
	return full
}

// flush writes frames to the socket before the write timeout ends.
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

// readLoop passes messages to the handler until the connection ends, and then its cause.
func (c *Connection) readLoop() {
	defer close(c.done)
	c.fail(c.receive())
	<-c.writerDone
	c.handler.Closed(c, c.cause)
}

// receive returns why no further message can be read.
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
