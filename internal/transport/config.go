package transport

import (
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// config bounds a connection's queue and waits. The zero value is not usable: see newConfig.
type config struct {
	maxQueueBytes  int           // of frames queued and in the write under way
	maxQueueFrames int           // frames queued
	tcpUserTimeout time.Duration // longest that sent bytes may stay unacknowledged (TCP_USER_TIMEOUT)
	writeTimeout   time.Duration // longest that one write may take
}

const (
	defaultMaxQueueBytes  = 16 << 20
	defaultMaxQueueFrames = 1 << 16
	defaultTCPUserTimeout = 1500 * time.Millisecond
	defaultWriteTimeout   = 5 * time.Second
)

// Option changes one of the defaults of a Connection, Server or Mesh.
type Option func(*config)

// WithQueue bounds the queue of each connection, in bytes and in frames.
func WithQueue(bytes, frames int) Option {
	return func(c *config) { c.maxQueueBytes, c.maxQueueFrames = bytes, frames }
}

// WithTimeouts bounds how long sent bytes may stay unacknowledged, and how long one write may take. Either ends the
// connection.
func WithTimeouts(user, write time.Duration) Option {
	return func(c *config) { c.tcpUserTimeout, c.writeTimeout = user, write }
}

func newConfig(options []Option) config {
	c := config{
		maxQueueBytes:  defaultMaxQueueBytes,
		maxQueueFrames: defaultMaxQueueFrames,
		tcpUserTimeout: defaultTCPUserTimeout,
		writeTimeout:   defaultWriteTimeout,
	}
	for _, option := range options {
		option(&c)
	}
	return c
}

// setBeforeUse is the net.Dialer's Control: it sets the options of a socket before that connects.
func (c config) setBeforeUse(_, _ string, socket syscall.RawConn) error {
	return c.setUserTimeout(socket)
}

// setUserTimeout sets the TCP user timeout. TCP_NODELAY is Go's default and stays set.
func (c config) setUserTimeout(socket syscall.RawConn) error {
	var failed error
	err := socket.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(c.tcpUserTimeout.Milliseconds()))
	})
	if err == nil {
		err = failed
	}
	if err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}
