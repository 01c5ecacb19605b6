package transport

import (
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options bound a connection's queue and its waiting.
type Options struct {
	QueueBytes   int           // frames queued and in the write under way
	QueueFrames  int           // frames queued
	UserTimeout  time.Duration // sent bytes without acknowledgement for so long end the connection
	WriteTimeout time.Duration // a write that takes longer ends the connection
}

// Option changes one of the defaults.
type Option func(*Options)

const (
	defaultQueueBytes   = 16 << 20
	defaultQueueFrames  = 1 << 16
	defaultUserTimeout  = 1500 * time.Millisecond
	defaultWriteTimeout = 5 * time.Second
)

// WithQueue bounds the queue of each connection.
func WithQueue(bytes, frames int) Option {
	return func(o *Options) { o.QueueBytes, o.QueueFrames = bytes, frames }
}

// WithTimeouts bounds how long sent bytes may go without acknowledgement, and how long a write may take.
func WithTimeouts(user, write time.Duration) Option {
	return func(o *Options) { o.UserTimeout, o.WriteTimeout = user, write }
}

func optionsOf(changes []Option) Options {
	options := Options{
		QueueBytes:   defaultQueueBytes,
		QueueFrames:  defaultQueueFrames,
		UserTimeout:  defaultUserTimeout,
		WriteTimeout: defaultWriteTimeout,
	}
	for _, change := range changes {
		change(&options)
	}
	return options
}

// control sets the socket's options before it connects or listens.
func (o Options) control(_, _ string, socket syscall.RawConn) error {
	return o.apply(socket)
}

// apply sets the user timeout. TCP_NODELAY is Go's default, and stays.
func (o Options) apply(socket syscall.RawConn) error {
	var failed error
	err := socket.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(o.UserTimeout.Milliseconds()))
	})
	if err == nil {
		err = failed
	}
	if err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}
