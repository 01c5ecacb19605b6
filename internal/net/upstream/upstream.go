// Package upstream keeps the upstream group: discovery's list of the peers that messages may
// go to. An actor asks for it and its changes once the courier has subscribed, or from the start where lists are
// pushed; internal/polling decides when and how.
package upstream

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

// Entry is one line of the list, with where the peer is.
type Entry struct {
	raventrestle.Entry
	Addr string
}

// Update is news of the list.
type Update struct {
	How     raventrestle.ListKind
	Entries []Entry
	Index   int64
}

// Group is the actor of the list.
type Group struct {
	url    string
	terms  atomic.Pointer[terms]
	plan   polling.Planner
	client *http.Client
	log    *slog.Logger
	tell   func(Update)
	asked  chan struct{}
	moved  chan string
	index  int64 // -1 where the whole list is wanted
}

// terms are what the settings say: how the list is read, and whether it is pushed.
type terms struct {
	names  *config.Names
	pushed bool
}

const mostList = 4 << 20

// New returns a group that starts from what the courier knew, which it tells at once. What can't be read
// of that is set aside: the courier starts without, and asks for the whole list.
func New(discovery string, known []byte, set *raventrestle.Settings, names *config.Names, log *slog.Logger, tell func(Update)) *Group {
	g := &Group{
		url: place(discovery), log: log, tell: tell,
		asked: make(chan struct{}, 1), moved: make(chan string, 1),
		client: &http.Client{Transport: &http.Transport{
			MaxConnsPerHost: 2, MaxIdleConns: 1, IdleConnTimeout: time.Minute,
			DialContext: (&net.Dialer{Timeout: polling.ConnectTimeout}).DialContext,
		}},
	}
	g.Serve(set, names)
	u, err := Update{}, error(nil)
	if len(known) > 0 {
		u, err = g.parse(known)
	}
	if g.index = u.Index; err != nil {
		log.Error("upstream: the known list is set aside", "err", err)
		u, g.index = Update{}, -1
	}
	u.How = raventrestle.ListCached
	tell(u)
	return g
}

// Serve reads lists by these kinds and zones, and asks for them by these settings, from now on.
func (g *Group) Serve(set *raventrestle.Settings, names *config.Names) {
	g.terms.Store(&terms{names, !set.ListOnRequest})
}

// Subscribe asks for the list if no call is out.
func (g *Group) Subscribe() {
	select {
	case g.asked <- struct{}{}:
	default:
	}
}

// Move makes the group ask discovery at another address, from now on and for the whole list.
func (g *Group) Move(discovery string) {
	for {
		select {
		case g.moved <- discovery:
			return
		case <-g.moved: // one that is out of date
		}
	}
}

func place(discovery string) string { return "http://" + discovery + "/v1/servers" }

// Run asks for the list, as the plan says: where it waits to be asked, a Subscribe or Move begins the next call.
func (g *Group) Run(ctx context.Context) {
	defer g.client.CloseIdleConnections()
	next := g.next(polling.NoCall)
	for {
		var due <-chan time.Time
		if !next.OnRequest {
			due = time.After(next.Delay)
		}
		select {
		case <-ctx.Done():
			return
		case <-g.asked:
			next.Delay = 0
		case discovery := <-g.moved:
			g.turn(discovery)
			next = g.next(polling.NoCall)
		case <-due:
		}
		r := g.call(ctx, next)
		if ctx.Err() != nil {
			return
		}
		next = g.next(r)
		if next.OnRequest && r != polling.NoCall {
			select { // what was asked meanwhile was for that call
			case <-g.asked:
			default:
			}
			g.tell(Update{How: raventrestle.ListFailed})
		} else if r == polling.NoCall { // moved: asked at once
			next.OnRequest = false
		}
	}
}

func (g *Group) next(r polling.Result) polling.Call {
	return g.plan.Next(polling.Settings{Pushed: g.terms.Load().pushed, ListKnown: g.index >= 0}, r, rand.Float64())
}

// turn points the group at another discovery, whose versions tell nothing of the old one's.
func (g *Group) turn(discovery string) {
	g.client.CloseIdleConnections()
	g.url, g.index = place(discovery), -1
}

// call makes a call and tells the list that it brought. None stands for one that was cut short, since the group was
// moved or has ended.
func (g *Group) call(ctx context.Context, c polling.Call) polling.Result {
	within, stop := context.WithTimeout(ctx, c.Timeout)
	defer stop()
	type result struct {
		Update
		error
	}
	came := make(chan result, 1)
	go func() {
		u, err := g.ask(within, c.Wait)
		came <- result{u, err}
	}()
	var r result
	select {
	case r = <-came:
	case discovery := <-g.moved:
		stop()
		<-came
		g.turn(discovery)
		return polling.NoCall
	}
	var late net.Error
	switch {
	case ctx.Err() != nil:
		return polling.NoCall
	case r.error == nil:
		g.index = r.Index
		g.tell(r.Update)
		return polling.Answered
	case errors.As(r.error, &late) && late.Timeout(): // of the call, or of its connection
		g.log.Warn("upstream: silence", "wait", c.Wait, "limit", c.Timeout, "err", r.error)
		g.client.CloseIdleConnections()
		return polling.TimedOut
	}
	g.log.Warn("upstream: call failed", "wait", c.Wait, "err", r.error)
	return polling.Failed
}

// ask makes one call. A watch goes on as long as the next follows at once. A poll asks for the whole list and not for
// changes: a call with an index is a watch, and what changes within 200 ms of its answer counts as told.
func (g *Group) ask(ctx context.Context, wait time.Duration) (Update, error) {
	url := g.url
	if g.index >= 0 && wait > 0 {
		url = fmt.Sprintf("%s?index=%d&wait=%d", g.url, g.index, wait.Milliseconds())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Update{}, err
	}
	res, err := g.client.Do(req)
	if err != nil {
		return Update{}, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, mostList))
	if err != nil {
		return Update{}, err
	}
	if res.StatusCode != http.StatusOK {
		return Update{}, fmt.Errorf("discovery answered %s", res.Status)
	}
	return g.parse(text)
}

var states = map[string]raventrestle.Readiness{
	"SERVING": raventrestle.Ready, "DRAINING": raventrestle.Draining, "DELETED": raventrestle.Removed,
}

// parse reads a list or changes of one. A status that is not known gets nothing new.
func (g *Group) parse(text []byte) (Update, error) {
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
		return Update{}, fmt.Errorf("a list without its index")
	}
	u, names := Update{How: raventrestle.ListChanges, Index: *raw.Index}, g.terms.Load().names
	if raw.Snapshot {
		u.How = raventrestle.ListSnapshot
	}
	for _, e := range raw.Endpoints {
		state, ok := states[e.Status]
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
