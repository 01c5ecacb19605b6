package ingress

import "bytes"

const nameBytes = len("content-length:")

var contentLengthName = []byte("content-length:")

// headScanner scans the head of a request while net/http reads it. It counts its bytes, and looks for a Content-Length:
// net/http drops one beside a Transfer-Encoding, though whoever sends both may try to smuggle a request past the router
// (RFC 9112, section 6.1).
type headScanner struct {
	size              int64 // bytes of the head so far
	complete          bool  // the blank line that ends the head was read
	contentLengthSeen bool
	lineSeen          bool   // the request line was read: blank lines before it do not end the head
	line              []byte // the current line, up to nameBytes of it
}

// reset prepares for the head of the next request.
func (s *headScanner) reset() { *s = headScanner{line: s.line[:0]} }

// scan compares the names of the head's lines until the blank line.
func (s *headScanner) scan(b []byte) {
	for len(b) > 0 && !s.complete {
		end := bytes.IndexByte(b, '\n')
		piece := b
		if end >= 0 {
			piece = b[:end+1]
		}
		s.size += int64(len(piece))
		if missing := nameBytes - len(s.line); missing > 0 {
			s.line = append(s.line, piece[:min(missing, len(piece))]...)
		}
		if end < 0 {
			return
		}
		s.endLine()
		b = b[end+1:]
	}
}

// endLine judges the line that was read to its end.
func (s *headScanner) endLine() {
	switch {
	case len(bytes.TrimRight(s.line, "\r\n")) == 0:
		s.complete = s.lineSeen
	default:
		s.lineSeen = true
		s.contentLengthSeen = s.contentLengthSeen || bytes.EqualFold(s.line, contentLengthName)
	}
	s.line = s.line[:0]
}
