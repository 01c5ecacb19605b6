// Package discovery maintains the list of endpoints that the platform's discovery service publishes. An actor fetches the
// list and its changes once the courier has subscribed, or from the start if lists are pushed. Package polling decides
// when and how it calls.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	jsoniter "github.com/json-iterator/go"

	"raventrestle"
	"raventrestle/internal/config"
	"raventrestle/internal/polling"
)

// Entry is an entry of the endpoint list, with the endpoint's address.
type Entry struct {
	raventrestle.Entry
	Addr string
}

// Update is a new list, changes of the list, or a failure to get one.
type Update struct {
	Kind    raventrestle.ListKind
	Entries []Entry
	Index   int64
}

// Watcher is the actor that fetches the list.
type Watcher struct {
	url        string
	config     atomic.Pointer[listConfig]
	plan       polling.Planner
	client     *http.Client
	log        *slog.Logger
	onUpdate   func(Update)
	requested  chan struct{}
	newAddress chan string
	index      int64 // version of the list; -1 if the complete list has to be fetched
}

// listConfig is the part of the settings that says how lists are read and whether they are pushed.
type listConfig struct {
	names  *config.Names
	pushed bool
}

const maxListBytes = 4 << 20

// New returns a watcher that starts with the cached list, which it passes to onUpdate at once. A list that can't be read is
// ignored: the watcher starts with an empty one and fetches the complete list.
func New(discovery string, cachedList []byte, settings *raventrestle.Settings, names *config.Names, log *slog.Logger, onUpdate func(Update)) *Watcher {
	w := &Watcher{
		url: listURL(discovery), log: log, onUpdate: onUpdate,
		requested: make(chan struct{}, 1), newAddress: make(chan string, 1),
		client: &http.Client{Transport: &http.Transport{
			MaxConnsPerHost: 2, MaxIdleConns: 1, IdleConnTimeout: time.Minute,
			DialContext: (&net.Dialer{Timeout: polling.ConnectTimeout}).DialContext,
		}},
	}
	w.SetConfig(settings, names)
	u, err := Update{}, error(nil)
	if len(cachedList) > 0 {
		u, err = w.parse(cachedList)
	}
	if w.index = u.Index; err != nil {
		log.Error("discovery: ignoring the unreadable cached list", "err", err)
		u, w.index = Update{}, -1
	}
	u.Kind = raventrestle.ListCached
	onUpdate(u)
	return w
}

// SetConfig changes the names and settings that lists are read and fetched with.
func (w *Watcher) SetConfig(settings *raventrestle.Settings, names *config.Names) {
	w.config.Store(&listConfig{names, !settings.ListOnRequest})
}

// Subscribe requests the list, unless a call is in progress.
func (w *Watcher) Subscribe() {
	select {
	case w.requested <- struct{}{}:
	default:
	}
}

// SetAddress changes discovery's address. The complete list is fetched from there at once.
func (w *Watcher) SetAddress(discovery string) {
	for {
		select {
		case w.newAddress <- discovery:
			return
		case <-w.newAddress: // replace one that was not used yet
		}
	}
}

func listURL(discovery string) string { return "http://" + discovery + "/v1/servers" }

// Run fetches the list as the plan says. Where the plan waits, Subscribe or SetAddress starts the next call.
func (w *Watcher) Run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	next := w.nextCall(polling.NoCall)
	for {
		var due <-chan time.Time
		if !next.OnRequest {
			due = time.After(next.Delay)
		}
		select {
		case <-ctx.Done():
			return
		case <-w.requested:
			next.Delay = 0
		case discovery := <-w.newAddress:
			w.switchTo(discovery)
			next = w.nextCall(polling.NoCall)
		case <-due:
		}
		r := w.runCall(ctx, next)
		if ctx.Err() != nil {
			return
		}
		next = w.nextCall(r)
		if next.OnRequest && r != polling.NoCall {
			select { // requests that came during the call were for that call
			case <-w.requested:
			default:
			}
			w.onUpdate(Update{Kind: raventrestle.ListFailed})
		} else if r == polling.NoCall { // the address changed: call at once
			next.OnRequest = false
		}
	}
}

func (w *Watcher) nextCall(r polling.Result) polling.Call {
	return w.plan.Next(polling.Settings{Pushed: w.config.Load().pushed, ListKnown: w.index >= 0}, r, rand.Float64())
}

// switchTo sets another address, whose list versions are unrelated to the old one's.
func (w *Watcher) switchTo(discovery string) {
	w.client.CloseIdleConnections()
	w.url, w.index = listURL(discovery), -1
}

// runCall makes a call and passes its list to onUpdate. It returns None if the call was cut short by a new address or the
// end of the context.
func (w *Watcher) runCall(ctx context.Context, c polling.Call) polling.Result {
	callCtx, stop := context.WithTimeout(ctx, c.Timeout)
	defer stop()
	type result struct {
		Update
		error
	}
	done := make(chan result, 1)
	go func() {
		u, err := w.fetch(callCtx, c.Wait)
		done <- result{u, err}
	}()
	var r result
	select {
	case r = <-done:
	case discovery := <-w.newAddress:
		stop()
		<-done
		w.switchTo(discovery)
		return polling.NoCall
	}
	var netErr net.Error
	switch {
	case ctx.Err() != nil:
		return polling.NoCall
	case r.error == nil:
		w.index = r.Index
		w.onUpdate(r.Update)
		return polling.Answered
	case errors.As(r.error, &netErr) && netErr.Timeout(): // of the call or of its connection
		w.log.Warn("discovery: call timed out", "wait", c.Wait, "limit", c.Timeout, "err", r.error)
		w.client.CloseIdleConnections()
		return polling.TimedOut
	}
	w.log.Warn("discovery: call failed", "wait", c.Wait, "err", r.error)
	return polling.Failed
}

// fetch makes one call. Discovery continues a watch as long as the next call follows at once. A poll has no index and gets
// the complete list: a call with an index is a watch, and discovery counts changes within 200 ms of its answer as
// delivered.
func (w *Watcher) fetch(ctx context.Context, wait time.Duration) (Update, error) {
	url := w.url
	if w.index >= 0 && wait > 0 {
		url = fmt.Sprintf("%s?index=%d&wait=%d", w.url, w.index, wait.Milliseconds())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Update{}, err
	}
	res, err := w.client.Do(req)
	if err != nil {
		return Update{}, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxListBytes))
	if err != nil {
		return Update{}, err
	}
	if res.StatusCode != http.StatusOK {
		return Update{}, fmt.Errorf("discovery answered %s", res.Status)
	}
	return w.parse(text)
}

var readinessByStatus = map[string]raventrestle.Readiness{
	"SERVING": raventrestle.Ready, "DRAINING": raventrestle.Draining, "DELETED": raventrestle.Removed,
}

// parse reads a list or changes of one. An endpoint with an unknown status counts as draining and gets no new calls.
func (w *Watcher) parse(text []byte) (Update, error) {
	var raw struct {
		Index     *int64 `json:"index"`
		Snapshot  bool   `json:"snapshot"`
		Endpoints []struct {
			Name    string  `json:"name"`
			Address string  `json:"address"`
			Zone    string  `json:"zone"`
			Type    string  `json:"type"`
			Group   int64   `json:"group"`
			Status  string  `json:"status"`
			Weight  float64 `json:"weight"`
			SinceMS float64 `json:"since_ms"`
		} `json:"endpoints"`
	}
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(text, &raw); err != nil {
		return Update{}, err
	}
	if raw.Index == nil {
		return Update{}, fmt.Errorf("the list has no index")
	}
	u, names := Update{Kind: raventrestle.ListChanges, Index: *raw.Index}, w.config.Load().names
	if raw.Snapshot {
		u.Kind = raventrestle.ListSnapshot
	}
	for _, e := range raw.Endpoints {
		state, ok := readinessByStatus[e.Status]
		if !ok {
			state = raventrestle.Draining
		}
		u.Entries = append(u.Entries, Entry{Addr: e.Address, Entry: raventrestle.Entry{
			Target: raventrestle.TargetID(e.Name), Dest: raventrestle.DestID(e.Group), State: state,
			Kind: config.Index(names.Kinds, e.Type), Zone: config.Index(names.Zones, e.Zone),
			RateLimit: e.Weight, JoinedAt: time.Duration(e.SinceMS * float64(time.Millisecond)),
		}})
	}
	return u, nil
}
