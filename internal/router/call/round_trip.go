package call

import (
	"time"

	"raventrestle/internal/router/pool"
)

// RoundTrip sends the request on a connection and reads the head of the answer. A long request is written while the
// answer is awaited: an endpoint may answer before it has read all of it.
func (m *Message) RoundTrip(c *pool.Connection, attempt Attempt, now time.Time) (*Answer, error) {
	if m.joined() {
		if err := m.Write(c, attempt, now); err != nil {
			return nil, err
		}
		return m.Receive(c)
	}
	w := m.startWriting(c, attempt, now)
	answer, err := m.Receive(c)
	if err == nil {
		answer.writing = w
		return answer, nil
	}
	if failed := w.stop(); failed != nil && !MayHaveRun(failed) {
		return nil, failed
	}
	return nil, err
}

// pendingWrite is a long request being written by a goroutine of its own, which ends with the request or by stop.
type pendingWrite struct {
	connection *pool.Connection
	ended      chan struct{}
	err        error // once it has ended
}

func (m *Message) startWriting(c *pool.Connection, attempt Attempt, now time.Time) *pendingWrite {
	w := &pendingWrite{connection: c, ended: make(chan struct{})}
	go func() {
		defer close(w.ended)
		w.err = m.Write(c, attempt, now)
	}()
	return w
}

// stop ends the writing where it stands. The connection is of no more use then.
func (w *pendingWrite) stop() error {
	_ = w.connection.SetWriteDeadline(time.Unix(1, 0)) // long past; fails where the connection is closed, and writing with it
	<-w.ended
	return w.err
}

// complete reports whether all of the request was written.
func (w *pendingWrite) complete() bool {
	select {
	case <-w.ended:
		return w.err == nil
	default:
		return false
	}
}
