package transport

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// MaxFrameBytes is the largest frame that is sent or accepted, in bytes of kind and body together.
const MaxFrameBytes = 8 << 20

const (
	lengthBytes = 4
	kindBytes   = 1
	headerBytes = lengthBytes + kindBytes
)

// Codec encodes and decodes messages by their registered kinds. All kinds have to be registered before its first use;
// after that any number of goroutines may use it.
type Codec struct {
	types  [256]reflect.Type
	kinds  map[reflect.Type]byte
	encode cbor.UserBufferEncMode
	decode cbor.DecMode
}

// NewCodec returns a codec without registered kinds.
func NewCodec() *Codec {
	encode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(fmt.Sprintf("transport: cbor encoding options: %v", err)) // the options are constants
	}
	// Names that clients chose need not be valid UTF-8, and must not end a connection between two processes.
	decode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("transport: cbor decoding options: %v", err)) // the options are constants
	}
	return &Codec{kinds: make(map[reflect.Type]byte), encode: encode, decode: decode}
}

// Register assigns a kind to the type of prototype, a struct or a pointer to one. It panics where the kind or the type
// is registered already, which is a programming error.
func (c *Codec) Register(kind byte, prototype any) {
	messageType := structType(prototype)
	if c.types[kind] != nil {
		panic(fmt.Sprintf("transport: register %v: kind %d is %v already", messageType, kind, c.types[kind]))
	}
	if _, taken := c.kinds[messageType]; taken {
		panic(fmt.Sprintf("transport: register %v: it has a kind already", messageType))
	}
	c.types[kind] = messageType
	c.kinds[messageType] = kind
}

// structType returns the type of a message or of what it points to; nil for nil.
func structType(message any) reflect.Type {
	messageType := reflect.TypeOf(message)
	if messageType != nil && messageType.Kind() == reflect.Pointer {
		return messageType.Elem()
	}
	return messageType
}

// Frame is an encoded message with its header. It can be sent on any number of connections, and must not be changed.
type Frame []byte

// Encode returns the frame of a message, a registered struct or a pointer to one. Its error wraps ErrUnknownType or
// ErrFrameTooLarge, or is an error of the cbor library.
func (c *Codec) Encode(message any) (Frame, error) {
	var buffer bytes.Buffer
	if err := c.append(&buffer, message); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// EncodeAs returns a value as a frame of a kind that is registered for another type with the same encoding. Senders use
// it to encode a part of a message once and send it many times (cbor.RawMessage).
func (c *Codec) EncodeAs(kind byte, value any) (Frame, error) {
	if c.types[kind] == nil {
		return nil, fmt.Errorf("transport: encode %T as kind %d: %w", value, kind, ErrUnknownKind)
	}
	var buffer bytes.Buffer
	if err := c.appendFrame(&buffer, kind, value); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// append adds the frame of a message to the buffer.
func (c *Codec) append(buffer *bytes.Buffer, message any) error {
	kind, known := c.kinds[structType(message)]
	if !known {
		return fmt.Errorf("transport: encode %T: %w", message, ErrUnknownType)
	}
	return c.appendFrame(buffer, kind, message)
}

// appendFrame adds a frame to the buffer. After an error the buffer is as it was before.
func (c *Codec) appendFrame(buffer *bytes.Buffer, kind byte, value any) error {
	start := buffer.Len()
	buffer.Write([]byte{0, 0, 0, 0, kind})
	if err := c.encode.MarshalToBuffer(value, buffer); err != nil {
		buffer.Truncate(start)
		return fmt.Errorf("transport: encode %T as kind %d: %w", value, kind, err)
	}
	size := buffer.Len() - start - lengthBytes
	if size > MaxFrameBytes {
		buffer.Truncate(start)
		return fmt.Errorf("transport: encode %T as kind %d in %d bytes: %w", value, kind, size, ErrFrameTooLarge)
	}
	binary.BigEndian.PutUint32(buffer.Bytes()[start:], uint32(size))
	return nil
}

// Decode returns a pointer to a new message of that kind, which shares no memory with the body. Its error wraps
// ErrUnknownKind, or is an error of the cbor library.
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
