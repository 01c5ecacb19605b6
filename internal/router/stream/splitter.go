// Package stream passes an event stream (text/event-stream, WHATWG HTML, "Server-sent events") from an endpoint to a
// client. Only complete events are passed on. If the endpoint breaks off, another run of the request continues the same
// answer; the package decides which of its events the client already has.
package stream

import (
	"bytes"
	"errors"
	"io"
)

const (
	splitterBytes = 2 << 10
	maxEventBytes = 1 << 20
)

// ErrEventTooLong is returned when an endpoint sends an event longer than maxEventBytes.
var ErrEventTooLong = errors.New("event is too long")

// Event is one complete event, its blank line included. Bytes are valid until the next Fill.
type Event struct {
	Bytes []byte
	ID    []byte // nil where the event has none
}

// Splitter cuts what is read of a stream into complete events.
type Splitter struct {
	buffer []byte
	event  int // where the incomplete event begins
	line   int // where its incomplete line begins
	id     [2]int
	hasID  bool
}

// Reset drops what was read and not returned by Next.
func (s *Splitter) Reset() {
	*s = Splitter{buffer: s.buffer[:0]}
}

// Fill reads once from the source and returns its error.
func (s *Splitter) Fill(source io.Reader) error {
	s.compact()
	if len(s.buffer) == cap(s.buffer) {
		if len(s.buffer) >= maxEventBytes {
			return ErrEventTooLong
		}
		grown := make([]byte, len(s.buffer), max(splitterBytes, 2*cap(s.buffer)))
		copy(grown, s.buffer)
		s.buffer = grown
	}
	n, err := source.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer = s.buffer[:len(s.buffer)+n]
	return err
}

// compact moves the incomplete event to the beginning of the buffer.
func (s *Splitter) compact() {
	if s.event == 0 {
		return
	}
	rest := copy(s.buffer, s.buffer[s.event:])
	s.buffer = s.buffer[:rest]
	s.line -= s.event
	s.id[0] -= s.event
	s.id[1] -= s.event
	s.event = 0
}

// Next returns the next complete event, false if more must be read first.
func (s *Splitter) Next() (Event, bool) {
	for {
		length := bytes.IndexByte(s.buffer[s.line:], '\n')
		if length < 0 {
			return Event{}, false
		}
		blank := s.takeLine(length)
		if blank {
			return s.takeEvent(), true
		}
	}
}

// takeLine parses a line and reports whether it is blank.
func (s *Splitter) takeLine(length int) bool {
	from, to := s.line, s.line+length
	s.line = to + 1
	if to > from && s.buffer[to-1] == '\r' {
		to--
	}
	line := s.buffer[from:to]
	if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		value = bytes.TrimPrefix(value, []byte(" "))
		s.id = [2]int{to - len(value), to}
		s.hasID = true
	}
	return len(line) == 0
}

func (s *Splitter) takeEvent() Event {
	e := Event{Bytes: s.buffer[s.event:s.line]}
	if s.hasID {
		e.ID = s.buffer[s.id[0]:s.id[1]]
	}
	s.event = s.line
	s.hasID = false
	return e
}

// Remainder returns what follows the last complete event, for a stream that has ended as its framing says.
func (s *Splitter) Remainder() (Event, bool) {
	if s.event == len(s.buffer) {
		return Event{}, false
	}
	if s.line < len(s.buffer) {
		s.takeLine(len(s.buffer) - s.line)
		s.line = len(s.buffer)
	}
	return s.takeEvent(), true
}
