package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// A call is one try of a client.
type call struct {
	id, host, path, model, usage string
	deadline                     time.Duration
	status                       int // 0: no answer
	signature                    string
	body                         string
	whole                        bool // the body came to its end
	err                          error
}

// clients sends calls and keeps them.
type clients struct {
	record *record
	client *http.Client
	mutex  sync.Mutex
	calls  []*call
	group  sync.WaitGroup
}

func newClients(r *record) *clients {
	return &clients{record: r, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// send sends a call to a router in the background.
func (c *clients) send(router string, call *call) {
	c.mutex.Lock()
	c.calls = append(c.calls, call)
	c.mutex.Unlock()
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		c.play(router, call)
	}()
}

func (c *clients) play(router string, call *call) {
	ctx, cancel := context.WithTimeout(context.Background(), call.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+call.path, strings.NewReader("prompt of "+call.id))
	if err != nil {
		call.err = err
		return
	}
	request.Host = call.host
	request.Header["X-Request-Id"] = []string{call.id}
	request.Header["X-Deadline-Ms"] = []string{fmt.Sprint(call.deadline.Milliseconds())}
	request.Header["Api-Key"] = []string{"key-of-the-first"}
	if call.model != "" {
		request.Header["X-Model"] = []string{call.model}
	}
	if call.usage != "" {
		request.Header["X-Token-Usage"] = []string{call.usage}
	}
	c.record.line("client sends %s to %s%s model %q", call.id, router, call.path, call.model)
	response, err := c.client.Do(request)
	if err != nil {
		call.err = err
		c.record.line("client gets no answer to %s: %v", call.id, err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	call.status, call.signature = response.StatusCode, response.Header.Get("X-Response-Signature")
	call.body, call.whole, call.err = string(body), err == nil, err
	c.record.line("client gets %d to %s, signature %q, %d bytes, whole %t", call.status, call.id, call.signature, len(body), call.whole)
}
