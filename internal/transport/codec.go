// Package transport carries typed messages between the system's processes: cbor bodies in frames with a
// length and a kind, over TCP. Queues are bounded, sending never blocks, and an idle connection costs
// neither wake-ups nor more than a few kilobytes.
package transport

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// MaxFrameBytes bounds the kind and body of one frame.
const MaxFrameBytes = 8 << 20

const (
	lengthBytes = 4
	kindBytes   = 1
	headerBytes = lengthBytes + kindBytes
)

// Errors of encoding and decoding.
var (
	ErrUnknownKind   = errors.New("unknown message kind")
	ErrUnknownType   = errors.New("message type is not registered")
	ErrFrameTooLarge = errors.New("frame is over the limit")
	ErrFrameTooSmall = errors.New("frame has no message kind")
)

// Codec knows the kinds of messages. All of them are registered before its first use; after that it is
// only read, by any number of goroutines.
type Codec struct {
	types  [256]reflect.Type
	kinds  map[reflect.Type]byte
	encode cbor.UserBufferEncMode
	decode cbor.DecMode
}

// NewCodec returns a codec without any kinds.
func NewCodec() *Codec {
	encode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(fmt.Sprintf("transport: cbor encoding options: %v", err)) // fixed options: a mistake in this file
	}
	// A name that a client made up need not be UTF-8, and must not end a connection between two processes.
	decode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("transport: cbor decoding options: %v", err)) // as above
	}
	return &Codec{kinds: make(map[reflect.Type]byte), encode: encode, decode: decode}
}

// Register gives the type of prototype, a struct or a pointer to one, its kind. Taking a kind or a type
// twice is a mistake in the program, and panics.
func (c *Codec) Register(kind byte, prototype any) {
	messageType := structType(prototype)
	if c.types[kind] != nil {
		panic(fmt.Sprintf("transport: kind %d is %v already, not %v", kind, c.types[kind], messageType))
	}
	if _, taken := c.kinds[messageType]; taken {
		panic(fmt.Sprintf("transport: %v has a kind already", messageType))
	}
	c.types[kind] = messageType
	c.kinds[messageType] = kind
}

func structType(message any) reflect.Type {
	messageType := reflect.TypeOf(message)
	if messageType != nil && messageType.Kind() == reflect.Pointer {
		return messageType.Elem()
	}
	return messageType
}

// Frame is an encoded message, for sending one message on several connections.
type Frame []byte

// Encode returns the message as a frame.
func (c *Codec) Encode(message any) (Frame, error) {
	var buffer bytes.Buffer
	if err := c.append(&buffer, message); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// append adds the message's frame to the buffer. After an error the buffer is as it was.
func (c *Codec) append(buffer *bytes.Buffer, message any) error {
	kind, known := c.kinds[structType(message)]
	if !known {
		return fmt.Errorf("transport: encode %T: %w", message, ErrUnknownType)
	}
	start := buffer.Len()
	buffer.Write([]byte{0, 0, 0, 0, kind})
	if err := c.encode.MarshalToBuffer(message, buffer); err != nil {
		buffer.Truncate(start)
		return fmt.Errorf("transport: encode %T: %w", message, err)
	}
	size := buffer.Len() - start - lengthBytes
	if size > MaxFrameBytes {
		buffer.Truncate(start)
		return fmt.Errorf("transport: encode %T of %d bytes: %w", message, size, ErrFrameTooLarge)
	}
	binary.BigEndian.PutUint32(buffer.Bytes()[start:], uint32(size))
	return nil
}

// Decode returns a pointer to a new message of that kind. The message keeps nothing of the body.
func (c *Codec) Decode(kind byte, body []byte) (any, error) {
	messageType := c.types[kind]
	if messageType == nil {
		return nil, fmt.Errorf("transport: decode kind %d: %w", kind, ErrUnknownKind)
	}
	message := reflect.New(messageType)
	if err := c.decode.Unmarshal(body, message.Interface()); err != nil {
		return nil, fmt.Errorf("transport: decode %v: %w", messageType, err)
	}
	return message.Interface(), nil
}
