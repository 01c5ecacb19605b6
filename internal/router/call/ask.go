package call

import (
	"time"

	"raventrestle/internal/router/pool"
)

// Ask sends the request on a connection and reads the head of the answer. A long request is written while the answer is
// awaited: an endpoint may answer before it has read the whole.
func (m *Message) Ask(c *pool.Connection, try Try, now time.Time) (*Answer, error) {
	if m.joined() {
		if err := m.Write(c, try, now); err != nil {
			return nil, err
		}
		return m.Receive(c)
	}
	w := m.begin(c, try, now)
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

// writing is a request on its way.
type writing struct {
	connection *pool.Connection
	ended      chan struct{}
	err        error // once it has ended
}

func (m *Message) begin(c *pool.Connection, try Try, now time.Time) *writing {
	w := &writing{connection: c, ended: make(chan struct{})}
	go func() {
		defer close(w.ended)
		w.err = m.Write(c, try, now)
	}()
	return w
}

// stop ends the writing where it stands. The connection is of no more use then.
func (w *writing) stop() error {
	_ = w.connection.Conn.SetWriteDeadline(time.Unix(1, 0)) // long past; fails where the connection is closed, and writing with it
	<-w.ended
	return w.err
}

// whole says whether all of the request has gone out.
func (w *writing) whole() bool {
	select {
	case <-w.ended:
		return w.err == nil
	default:
		return false
	}
}
