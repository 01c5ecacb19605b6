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

// A keptClient sends its requests on one connection for as long as the router keeps it.
type keptClient struct {
	name   string
	router string
	record *record
	client *http.Client
}

func newKeptClient(r *record, name, router string) *keptClient {
	return &keptClient{
		name: name, router: router, record: r,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, DisableCompression: true}},
	}
}

// send sends one request with that many bytes of a header, and returns the status and whether an endpoint gave it.
func (k *keptClient) send(number, headerBytes int) (status int, signed bool) {
	id := fmt.Sprintf("%s-%d", k.name, number)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+k.router+"/push/text", strings.NewReader("push "+id))
	if err != nil {
		return 0, false
	}
	request.Host = "books.example"
	request.Header["X-Request-Id"] = []string{id}
	request.Header["X-Deadline-Ms"] = []string{"1000"}
	request.Header["Api-Key"] = []string{"key-of-the-first"}
	request.Header["X-Note"] = []string{strings.Repeat("n", headerBytes)}
	k.record.line("client sends %s to %s (header of %d bytes)", id, k.router, headerBytes)
	response, err := k.client.Do(request)
	if err != nil {
		k.record.line("client gets no answer to %s: %v", id, err)
		return 0, false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	signed = response.Header.Get("X-Response-Signature") != ""
	k.record.line("client gets %d to %s (header of %d bytes), signed %t", response.StatusCode, id, headerBytes, signed)
	return response.StatusCode, signed
}

// playRaised: the operator raises the limit on the size of a request's head; clients that keep connections send larger heads
// once the new limit is in force.
func playRaised(s *system, r *record, trouble bool) (broken bool, err error) {
	const (
		routers     = 3
		perRouter   = 12
		before      = 16384
		after       = 65536
		large       = 30000
		pause       = 400 * time.Millisecond
		configuring = 2 * time.Second // config_ms
	)
	configuration := plainConfiguration()
	limits := configuration["limits"].(map[string]any)
	if !trouble {
		limits["max_header_bytes"] = after
	}
	if err := s.start(routers, configuration); err != nil {
		return false, err
	}
	var controls []string
	for n := range 3 {
		controls = append(controls, s.address(s.controlIP(n), "control"))
	}
	runs := newRunTable()
	for n := range 3 {
		e := &endpoint{
			id: fmt.Sprintf("i-%d", n+1), service: "sync", zone: zones[n], address: s.address(s.endpointIP(n), "endpoint"),
			controls: controls, slots: 64, work: 2 * time.Millisecond, heartbeat: 1200 * time.Millisecond, record: r, runs: runs,
		}
		if err := e.start(); err != nil {
			return false, err
		}
		defer e.stop()
	}
	time.Sleep(5 * time.Second)

	var (
		mutex                sync.Mutex
		sent, denied, served int
		inForce              = make(chan struct{})
		stop                 = make(chan struct{})
		group                sync.WaitGroup
	)
	for n := range routers * perRouter {
		k := newKeptClient(r, fmt.Sprintf("client-%d", n+1), s.address(s.routerIP(n%routers), "front"))
		group.Go(func() {
			for number := 1; ; number++ {
				size := 100
				select {
				case <-stop:
					return
				case <-inForce:
					if number%3 == 0 {
						size = large
					}
				default:
				}
				status, signed := k.send(number, size)
				mutex.Lock()
				sent++
				switch {
				case status == http.StatusOK:
					served++
				case !signed && status >= 300 && status < 500 && status != 408 && status != 421 && status != 429:
					denied++
				}
				mutex.Unlock()
				time.Sleep(pause)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		configuration["generation"] = 2
		limits["max_header_bytes"] = after
		if err := s.configure("PUT", 1, configuration, 5*time.Second); err != nil {
			return false, err
		}
		r.line("max_header_bytes is raised from %d to %d: acknowledged", before, after)
	}
	time.Sleep(configuring + 2*time.Second)
	r.line("clients send heads of %d bytes from now on", large)
	close(inForce)
	time.Sleep(8 * time.Second)
	close(stop)
	group.Wait()
	allowed := 5 + float64(sent)/500
	r.say("%d requests, %d served, %d denied by the routers' own 3xx or 4xx; the rule allows %.1f", sent, served, denied, allowed)
	if float64(denied) > allowed {
		r.say("DENIED: %d proper requests", denied)
	}
	return float64(denied) > allowed, nil
}
