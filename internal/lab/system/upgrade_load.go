package system

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"raventrestle/internal/configuration"
)

const (
	attemptBackoff  = 100 * time.Millisecond
	requestDeadline = 10 * time.Second // that a client gives one request, all attempts included
)

// load is what clients and the operator do while the system is being upgraded, and what came of it.
type load struct {
	world *world

	mutex        sync.Mutex
	served       int
	lost         []string // requests without a complete 200 in their time
	rejected     int      // attempts answered 429 or 503, which promise that nothing ran
	broken       int      // attempts that ended without a complete answer
	acknowledged int64    // newest version of the configuration that was acknowledged
	changes      int
	longest      time.Duration // from a change's first sending to its acknowledgement
	stale        []string      // reads that gave an older version than was acknowledged before they were sent
}

func newLoad(w *world) *load { return &load{world: w, acknowledged: 1} }

// run returns once all clients and the operator have finished what they had begun when the context ended.
func (l *load) run(ctx context.Context) {
	var running sync.WaitGroup
	for client := range clientCount {
		running.Go(func() { l.client(ctx, client) })
	}
	running.Go(func() { l.operator(ctx) })
	running.Wait()
}

// client sends one request after the other. A request that was begun is finished after the context has ended.
func (l *load) client(ctx context.Context, client int) {
	for number := 0; ctx.Err() == nil; number++ {
		one := ask{path: writerPath + "upgrade", model: "sparrow", key: tenantKey}
		if number%3 == 0 {
			one = ask{path: ledgerPath + "upgrade", key: tenantKey}
		}
		l.request(client, number, one)
	}
}

// request goes to one router after the other until it is served or its time is over, as clients of the platform do.
func (l *load) request(client, number int, one ask) {
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	var last string
	for attempt := 0; ; attempt++ {
		one.router = (client + number + attempt) % l.world.options.routerCount()
		if ready(ctx, l.world.places.readiness(one.router)) == nil {
			got, err := l.world.send(ctx, client*1_000_000+number*10+attempt%10, one)
			if l.note(one, got, err) {
				return
			}
			last = fmt.Sprintf("status %d, %d events, error %v", got.status, got.events, err)
			if one.model == "" && err != nil {
				break // it may have run, and runs once at most
			}
		}
		if !sleep(ctx, attemptBackoff) {
			break
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lost = append(l.lost, fmt.Sprintf("client %d, request %d to %s: %s", client, number, one.path, last))
}

// note counts the attempt and says whether the request was served in full.
func (l *load) note(one ask, got result, err error) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case err == nil && got.status == http.StatusOK && (one.model == "" || got.events == eventsEach):
		l.served++
		return true
	case err == nil && (got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests):
		l.rejected++
	default:
		l.broken++
	}
	return false
}

// operator changes the configuration again and again, reads it after each change, and finishes the change it has begun.
func (l *load) operator(ctx context.Context) {
	for number := 0; sleep(ctx, changeInterval); number++ {
		began := time.Now()
		version := l.acknowledged + 1
		text, err := json.Marshal(changedConfiguration(version))
		if err != nil {
			l.fail("configuration %d: %v", version, err)
			return
		}
		if !l.change(number, version, text) {
			return
		}
		l.noteChange(version, time.Since(began))
		l.read(ctx, number, version)
	}
}

// noteChange counts an acknowledged change.
func (l *load) noteChange(version int64, took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.acknowledged = version
	l.changes++
	l.longest = max(l.longest, took)
}

// takeStale returns what was found wrong since the last call.
func (l *load) takeStale() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	stale := l.stale
	l.stale = nil
	return stale
}

// changedConfiguration carries its version in a setting, too, so that a mixture of two versions would be seen.
func changedConfiguration(version int64) *configuration.Configuration {
	changed := firstConfiguration()
	changed.Generation = version
	changed.Routes[1].TimeoutMS = ledgerTimeoutOf(version)
	return changed
}

func ledgerTimeoutOf(version int64) int64 { return 2000 + version%1000 }

// change sends the same change to one instance after the other until it is acknowledged.
func (l *load) change(number int, version int64, text []byte) bool {
	return l.changeWithin(replaceTimeout, number, version, text)
}

func (l *load) changeWithin(timeout time.Duration, number int, version int64, text []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for attempt := 0; ; attempt++ {
		err := l.world.put(ctx, l.world.places.control((number+attempt)%instances), version-1, text)
		if err == nil {
			return true
		}
		if !sleep(ctx, attemptBackoff) {
			l.fail("change to version %d was not acknowledged: %v", version, err)
			return false
		}
	}
}

// read asks one instance for the configuration: the newest, or no answer.
func (l *load) read(ctx context.Context, number int, version int64) {
	var got configuration.Configuration
	err := getJSON(ctx, "http://"+l.world.places.control(number%instances)+"/-/config", &got)
	if err != nil {
		return // an instance that is being replaced, or that can't be sure of the newest, answers no version
	}
	l.compare(number%instances, &got, version)
}

func (l *load) compare(instance int, got *configuration.Configuration, version int64) {
	if got.Generation >= version && got.Routes[1].TimeoutMS == ledgerTimeoutOf(got.Generation) {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stale = append(l.stale, fmt.Sprintf("control instance %d answers version %d with timeout %d after %d was acknowledged",
		instance+1, got.Generation, got.Routes[1].TimeoutMS, version))
}

// readBack asks each instance for the configuration once all is over, until it answers.
func (l *load) readBack(ctx context.Context) error { return l.readBackWithin(ctx, finalReadTimeout) }

func (l *load) readBackWithin(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for instance := range instances {
		var got configuration.Configuration
		for {
			err := getJSON(ctx, "http://"+l.world.places.control(instance)+"/-/config", &got)
			if err == nil {
				break
			}
			if !sleep(ctx, memberPoll) {
				return fmt.Errorf("control instance %d answers no configuration: %w", instance+1, err)
			}
		}
		l.compare(instance, &got, l.acknowledged)
	}
	return nil
}

func (l *load) fail(format string, arguments ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stale = append(l.stale, fmt.Sprintf(format, arguments...))
}

// verdict prints what was counted.
func (l *load) verdict() error {
	w := l.world
	w.printf("%d requests served, %d lost; attempts: %d rejected by promise (429, 503), %d without a complete answer",
		l.served, len(l.lost), l.rejected, l.broken)
	w.printf("%d changes acknowledged, the slowest after %s; %d reads or changes wrong", l.changes,
		l.longest.Round(time.Millisecond), len(l.stale))
	var all error
	for _, line := range append(l.lost, l.stale...) {
		all = errors.Join(all, fmt.Errorf("%w: %s", ErrLost, line))
	}
	if all == nil && (l.served == 0 || l.changes == 0) {
		return fmt.Errorf("%w: nothing was played (%d requests, %d changes)", ErrLost, l.served, l.changes)
	}
	return all
}
