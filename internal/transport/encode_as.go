package transport

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// EncodeAs returns a value as a frame of a kind that is registered for another type with the same fields. It is for
// senders that have encoded a part of the message before.
func (c *Codec) EncodeAs(kind byte, value any) (Frame, error) {
	if c.types[kind] == nil {
		return nil, fmt.Errorf("transport: encode %T as kind %d: %w", value, kind, ErrUnknownKind)
	}
	var buffer bytes.Buffer
	buffer.Write([]byte{0, 0, 0, 0, kind})
	if err := c.encode.MarshalToBuffer(value, &buffer); err != nil {
		return nil, fmt.Errorf("transport: encode %T as kind %d: %w", value, kind, err)
	}
	size := buffer.Len() - lengthBytes
	if size > MaxFrameBytes {
		return nil, fmt.Errorf("transport: encode %T of %d bytes: %w", value, size, ErrFrameTooLarge)
	}
	binary.BigEndian.PutUint32(buffer.Bytes(), uint32(size))
	return buffer.Bytes(), nil
}
