package node

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// lossInterval is how often a lost call is written down, at most; those in between are counted.
const lossInterval = time.Second

// losses writes down calls that were sent and brought no whole answer.
type losses struct {
	log *log.Logger

	mutex   sync.Mutex
	next    time.Time
	skipped int
}

// AnswerLost writes the event down, or counts it where another has just been written.
func (l *losses) AnswerLost(endpoint string, err error) {
	l.mutex.Lock()
	now := time.Now()
	if now.Before(l.next) {
		l.skipped++
		l.mutex.Unlock()
		return
	}
	skipped := l.skipped
	l.skipped = 0
	l.next = now.Add(lossInterval)
	l.mutex.Unlock()
	l.log.Warn().Str("endpoint", endpoint).Int("others", skipped).Err(err).Msg("call.lost")
}

// httpErrors takes the lines that http.Server writes about single connections.
type httpErrors struct{ log *log.Logger }

var _ io.Writer = (*httpErrors)(nil)

func (e *httpErrors) Write(line []byte) (int, error) {
	e.log.Warn().Bytes("line", line).Msg("http.error")
	return len(line), nil
}
