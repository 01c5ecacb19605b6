package standin

import (
	"bytes"
	"net"
	"sync"
)

// successLine is how the answers with a status of 2xx begin.
var successLine = []byte("HTTP/1.1 2")

// maxSurplusBytes bounds the answers that are kept to be sent a second time.
const maxSurplusBytes = 64 << 10

// RepeatAnswer reports whether an answer is sent a second time, where the next one is due. Calls may overlap.
type RepeatAnswer func(success bool) bool

// surplusListener accepts connections on which some answers are sent a second time, in the place of the next one.
type surplusListener struct {
	net.Listener
	repeatAnswer RepeatAnswer
}

// Accept implements net.Listener.
func (l surplusListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &surplusConn{Conn: conn, repeatAnswer: l.repeatAnswer}, nil
}

// surplusConn is a connection that sends some answers a second time, when the next request arrives. A client that sends
// one request at a time sends the next one only when it has the answer, so that the first bytes after an answer begin it.
type surplusConn struct {
	net.Conn
	repeatAnswer RepeatAnswer

	mutex  sync.Mutex
	answer []byte // written since the current request began; more than maxSurplusBytes are not kept
}

// Read implements net.Conn.
func (c *surplusConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if answer := c.takeAnswer(); len(answer) > 0 && len(answer) <= maxSurplusBytes && c.repeatAnswer(bytes.HasPrefix(answer, successLine)) {
		if _, err := c.Conn.Write(answer); err != nil {
			return 0, err
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *surplusConn) Write(b []byte) (int, error) {
	c.mutex.Lock()
	if len(c.answer) <= maxSurplusBytes {
		c.answer = append(c.answer, b...)
	}
	c.mutex.Unlock()
	return c.Conn.Write(b)
}

func (c *surplusConn) takeAnswer() []byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	answer := c.answer
	c.answer = nil
	return answer
}
