package transport

import "errors"

// Errors of encoding and decoding; the messages that wrap them name the type or the kind.
var (
	ErrUnknownKind   = errors.New("unknown message kind")
	ErrUnknownType   = errors.New("message type is not registered")
	ErrFrameTooLarge = errors.New("frame exceeds the size limit")
	ErrFrameTooSmall = errors.New("frame has no message kind")
)

// Errors of sending; the messages that wrap them name the peer.
var (
	// ErrQueueFull says that the peer reads more slowly than messages are sent. The message was not queued; the
	// connection stays usable.
	ErrQueueFull = errors.New("send queue is full")
	// ErrClosed says that the connection has ended. Whoever made it decides whether to dial again.
	ErrClosed = errors.New("connection is closed")
)
