package transport

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"slices"
)

const (
	readBufferBytes  = 4 << 10
	maxRetainedBytes = 16 << 10 // a larger buffer is released after its use, so that idle connections stay small
	bodyStepBytes    = 64 << 10 // a body's buffer grows as bytes arrive, not by the length that the peer claims
)

// frameReader reads frames from a stream. One goroutine uses it.
type frameReader struct {
	source *bufio.Reader
	body   []byte // reused from frame to frame
}

func newFrameReader(source io.Reader) *frameReader {
	return &frameReader{source: bufio.NewReaderSize(source, readBufferBytes)}
}

// next returns the next frame's kind and body. The body is valid until releaseBody. The error is io.EOF itself only
// where the stream ends between two frames.
func (f *frameReader) next() (kind byte, body []byte, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(f.source, header[:]); err != nil {
		if err == io.EOF {
			return 0, nil, io.EOF
		}
		return 0, nil, fmt.Errorf("read frame header: %w", err)
	}
	size := binary.BigEndian.Uint32(header[:])
	if size < kindBytes {
		return 0, nil, fmt.Errorf("read frame header: %w", ErrFrameTooSmall)
	}
	if size > MaxFrameBytes {
		return 0, nil, fmt.Errorf("read frame header of %d bytes: %w", size, ErrFrameTooLarge)
	}
	if err := f.readBody(int(size) - kindBytes); err != nil {
		return 0, nil, fmt.Errorf("read frame body of %d bytes: %w", size, err)
	}
	return header[lengthBytes], f.body, nil
}

// readBody reads the body of a frame in steps, each of which no more than doubles the buffer.
func (f *frameReader) readBody(size int) error {
	f.body = f.body[:0]
	for len(f.body) < size {
		start := len(f.body)
		step := min(size-start, max(start, bodyStepBytes))
		f.body = slices.Grow(f.body, step)[:start+step]
		_, err := io.ReadFull(f.source, f.body[start:])
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// releaseBody ends the use of the last body.
func (f *frameReader) releaseBody() {
	if cap(f.body) > maxRetainedBytes {
		f.body = nil
	}
}
