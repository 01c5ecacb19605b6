// Package notify notifies the platform of messages that ended undelivered, and repeats it until the platform acknowledges.
package notify

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"raventrestle/internal/journal"
)

// Notification is a message's end that the platform has to be notified of.
type Notification struct {
	ID string
	journal.End
}

// Sender is the actor that sends notifications.
type Sender struct {
	url          string
	client       *http.Client
	log          *slog.Logger
	queue        chan Notification
	newAddress   chan string
	acknowledged func(ids []string)
}

const (
	requestTimeout = 2 * time.Second // for the platform's answer
	minBackoff     = 50 * time.Millisecond
	maxBatch       = 256 // notifications in one request
)

// New returns a sender. It calls acknowledged with the ids that the platform has accepted or will never accept.
func New(discovery string, queueSize int, log *slog.Logger, acknowledged func(ids []string)) *Sender {
	return &Sender{
		url: outcomesURL(discovery), log: log, acknowledged: acknowledged,
		queue: make(chan Notification, queueSize), newAddress: make(chan string, 1), client: &http.Client{
			Timeout:   requestTimeout,
			Transport: &http.Transport{MaxConnsPerHost: 2, MaxIdleConns: 1, IdleConnTimeout: 20 * time.Second},
		},
	}
}

// Add queues a notification without blocking; it returns false if the queue is full.
func (s *Sender) Add(it Notification) bool {
	select {
	case s.queue <- it:
		return true
	default:
		return false
	}
}

// SetAddress changes the platform's address, also for notifications that are being sent.
func (s *Sender) SetAddress(discovery string) {
	for {
		select {
		case s.newAddress <- discovery:
			return
		case <-s.newAddress: // replace one that was not used yet
		}
	}
}

func outcomesURL(discovery string) string { return "http://" + discovery + "/v1/outcomes" }

// switchTo sets another address of the platform.
func (s *Sender) switchTo(discovery string) {
	s.client.CloseIdleConnections()
	s.url = outcomesURL(discovery)
}

// Run sends queued notifications until the context ends.
func (s *Sender) Run(ctx context.Context) {
	for {
		var items []Notification
		select {
		case <-ctx.Done():
			return
		case discovery := <-s.newAddress:
			s.switchTo(discovery)
			continue
		case it := <-s.queue:
			items = append(items, it)
		}
		for len(s.queue) > 0 && len(items) < maxBatch {
			items = append(items, <-s.queue)
		}
		for backoff := minBackoff; ; backoff = min(2*backoff, 8*minBackoff) {
			code, err := s.send(ctx, items)
			if err == nil && code == http.StatusNoContent {
				s.acknowledge(items)
				break
			}
			if code == http.StatusBadRequest && len(items) == 1 {
				s.log.Error("notify: platform rejects the notification as invalid", "id", items[0].ID)
				s.acknowledge(items)
				break
			}
			s.log.Warn("notify: platform did not accept the notifications", "n", len(items), "code", code, "err", err)
			if code == http.StatusBadRequest { // one of them is invalid: retry the first alone and the others later
				for _, it := range items[1:] {
					s.queue <- it
				}
				items = items[:1]
			}
			select {
			case <-ctx.Done():
				return
			case discovery := <-s.newAddress:
				s.switchTo(discovery)
			case <-time.After(backoff):
			}
		}
	}
}

// send makes one request. A new address cuts it short.
func (s *Sender) send(ctx context.Context, items []Notification) (code int, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		code, err = s.post(ctx, items)
	}()
	select {
	case <-done:
	case discovery := <-s.newAddress:
		stop()
		<-done
		s.switchTo(discovery)
	}
	return code, err
}

func (s *Sender) acknowledge(items []Notification) {
	ids := make([]string, len(items))
	for i, it := range items {
		ids[i] = it.ID
	}
	s.acknowledged(ids)
}

func (s *Sender) post(ctx context.Context, items []Notification) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url, bytes.NewReader(encode(items)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/x-ndjson")
	res, err := s.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, 64<<10)); err != nil {
		return 0, err
	}
	return res.StatusCode, nil
}

// encode returns the notifications as JSON, one object per line.
func encode(items []Notification) []byte {
	var b bytes.Buffer
	for _, it := range items {
		fmt.Fprintf(&b, `{"id":%s,"status":`, strconv.Quote(it.ID))
		switch {
		case !it.Deferred:
			b.WriteString("\"undeliverable\"}\n")
		case it.RetryAfterMS > 0:
			fmt.Fprintf(&b, "\"deferred\",\"again_ms\":%d}\n", it.RetryAfterMS)
		default:
			b.WriteString("\"deferred\"}\n")
		}
	}
	return b.Bytes()
}
