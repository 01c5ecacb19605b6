// Package notice tells the platform of messages that ended undelivered, until it has heard.
package notice

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

// Item is one ending that is owed.
type Item struct {
	ID string
	journal.End
}

// Sender is the actor that sends notices.
type Sender struct {
	url    string
	client *http.Client
	log    *slog.Logger
	mail   chan Item
	moved  chan string
	heard  func(ids []string)
}

const (
	patience = 2 * time.Second // for the platform's answer
	pause    = 50 * time.Millisecond
	most     = 256 // notices in one call
)

// New returns a sender; heard is told which notices the platform has taken, or will never take.
func New(discovery string, mailbox int, log *slog.Logger, heard func(ids []string)) *Sender {
	return &Sender{
		url: place(discovery), log: log, heard: heard,
		mail: make(chan Item, mailbox), moved: make(chan string, 1), client: &http.Client{
			Timeout:   patience,
			Transport: &http.Transport{MaxConnsPerHost: 2, MaxIdleConns: 1, IdleConnTimeout: 20 * time.Second},
		},
	}
}

// Add takes on a notice without blocking; it says whether the mailbox took it.
func (s *Sender) Add(it Item) bool {
	select {
	case s.mail <- it:
		return true
	default:
		return false
	}
}

// Move makes the sender tell the platform at another address, what is being told included.
func (s *Sender) Move(discovery string) {
	for {
		select {
		case s.moved <- discovery:
			return
		case <-s.moved: // one that is out of date
		}
	}
}

func place(discovery string) string { return "http://" + discovery + "/v1/outcomes" }

// turn points the sender at another platform.
func (s *Sender) turn(discovery string) {
	s.client.CloseIdleConnections()
	s.url = place(discovery)
}

// Run sends what is owed until the context ends.
func (s *Sender) Run(ctx context.Context) {
	for {
		var items []Item
		select {
		case <-ctx.Done():
			return
		case discovery := <-s.moved:
			s.turn(discovery)
			continue
		case it := <-s.mail:
			items = append(items, it)
		}
		for len(s.mail) > 0 && len(items) < most {
			items = append(items, <-s.mail)
		}
		for wait := pause; ; wait = min(2*wait, 8*pause) {
			code, err := s.try(ctx, items)
			if err == nil && code == http.StatusNoContent {
				s.done(items)
				break
			}
			if code == http.StatusBadRequest && len(items) == 1 {
				s.log.Error("notice: the platform can't read it", "id", items[0].ID)
				s.done(items)
				break
			}
			s.log.Warn("notice: not taken", "n", len(items), "code", code, "err", err)
			if code == http.StatusBadRequest { // one of them spoils it for the others
				for _, it := range items[1:] {
					s.mail <- it
				}
				items = items[:1]
			}
			select {
			case <-ctx.Done():
				return
			case discovery := <-s.moved:
				s.turn(discovery)
			case <-time.After(wait):
			}
		}
	}
}

// try makes one call, which ends with a move.
func (s *Sender) try(ctx context.Context, items []Item) (code int, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	came := make(chan struct{})
	go func() {
		defer close(came)
		code, err = s.post(ctx, items)
	}()
	select {
	case <-came:
	case discovery := <-s.moved:
		stop()
		<-came
		s.turn(discovery)
	}
	return code, err
}

func (s *Sender) done(items []Item) {
	ids := make([]string, len(items))
	for i, it := range items {
		ids[i] = it.ID
	}
	s.heard(ids)
}

func (s *Sender) post(ctx context.Context, items []Item) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url, bytes.NewReader(lines(items)))
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

// lines are the notices, one object a line.
func lines(items []Item) []byte {
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
