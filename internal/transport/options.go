package transport

import (
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// config bound a connection's queue and its waiting.
type config struct {
	maxQueueBytes  int           // frames queued and in the write under way
	maxQueueFrames int           // frames queued
	tcpUserTimeout time.Duration // sent bytes without acknowledgement for so long end the connection
	writeTimeout   time.Duration // a write that takes longer ends the connection
}

// Option changes one of the defaults.
type Option func(*config)

const (
	defaultMaxQueueBytes  = 16 << 20
	defaultMaxQueueFrames = 1 << 16
	defaultTCPUserTimeout = 1500 * time.Millisecond
	defaultWriteTimeout   = 5 * time.Second
)

// WithQueue bounds the queue of each connection.
func WithQueue(bytes, frames int) Option {
	return func(o *config) { o.maxQueueBytes, o.maxQueueFrames = bytes, frames }
}

// WithTimeouts bounds how long sent bytes may go without acknowledgement, and how long a write may take.
func WithTimeouts(user, write time.Duration) Option {
	return func(o *config) { o.tcpUserTimeout, o.writeTimeout = user, write }
}

func newConfig(changes []Option) config {
	options := config{
		maxQueueBytes:  defaultMaxQueueBytes,
		maxQueueFrames: defaultMaxQueueFrames,
		tcpUserTimeout: defaultTCPUserTimeout,
		writeTimeout:   defaultWriteTimeout,
	}
	for _, change := range changes {
		change(&options)
	}
	return options
}

// setBeforeUse sets the socket's options before it connects or listens.
func (o config) setBeforeUse(_, _ string, socket syscall.RawConn) error {
	return o.setUserTimeout(socket)
}

// setUserTimeout sets the user timeout. TCP_NODELAY is Go's default, and stays.
func (o config) setUserTimeout(socket syscall.RawConn) error {
	var failed error
	err := socket.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(o.tcpUserTimeout.Milliseconds()))
	})
	if err == nil {
		err = failed
	}
	if err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}
