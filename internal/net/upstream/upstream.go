// Package upstream keeps the upstream group: discovery's list of the peers that messages may
// go to. An actor asks for it and watches its changes once the courier has subscribed.
package upstream

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	jsoniter "github.com/json-iterator/go"

	"raventrestle"
	"raventrestle/internal/config"
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
	names  atomic.Pointer[config.Names]
	client *http.Client
	log    *slog.Logger
	tell   func(Update)
	asked  chan struct{}
	moved  chan string
	index  int64 // -1 where the whole list is wanted
}

const (
	wait     = 10 * time.Second        // of one watch
	patience = 1500 * time.Millisecond // for an answer, beyond the wait: what it held counts as told after 2 s
	mostList = 4 << 20
)

// New returns a group that starts from what the courier knew, which it tells at once. What can't be read
// of that is set aside: the courier starts without, and asks for the whole list.
func New(discovery string, known []byte, names *config.Names, log *slog.Logger, tell func(Update)) *Group {
	g := &Group{url: place(discovery), log: log, tell: tell,
		asked: make(chan struct{}, 1), moved: make(chan string, 1),
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, MaxIdleConns: 1,
			IdleConnTimeout: time.Minute, ResponseHeaderTimeout: wait + patience}}}
	g.Serve(names)
	u, err := Update{}, error(nil)
	if len(known) > 0 {
		u, err = g.parse(known)
	}
	if g.index = u.Index; err != nil {
		log.Error("upstream: the known list is set aside", "err", err)
		u, g.index = Update{}, -1
	}
	u.How = raventrestle.ListStored
	tell(u)
	return g
}

// Serve reads lists by these kinds and zones from now on.
func (g *Group) Serve(names *config.Names) { g.names.Store(names) }

// Subscribe starts a watch if none is on.
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

// Run watches, from a Subscribe or Move until a call fails, which it tells; then it waits to be asked.
func (g *Group) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.asked:
		case discovery := <-g.moved:
			g.turn(discovery)
		}
		for g.next(ctx) {
		}
	}
}

// turn points the group at another discovery, whose versions tell nothing of the old one's.
func (g *Group) turn(discovery string) {
	g.client.CloseIdleConnections()
	g.url, g.index = place(discovery), -1
}

// next makes a call and tells what came of it; it says whether the watch goes on.
func (g *Group) next(ctx context.Context) bool {
	watch, stop := context.WithCancel(ctx)
	defer stop()
	type result struct {
		Update
		error
	}
	came := make(chan result, 1)
	go func() {
		u, err := g.watch(watch)
		came <- result{u, err}
	}()
	var r result
	select {
	case r = <-came:
	case discovery := <-g.moved:
		stop()
		<-came
		g.turn(discovery)
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if r.error != nil {
		g.log.Warn("upstream: watch ended", "err", r.error)
		select { // what was asked meanwhile was for this watch
		case <-g.asked:
		default:
		}
		g.tell(Update{How: raventrestle.ListFailed})
		return false
	}
	g.index = r.Index
	g.tell(r.Update)
	return true
}

// watch makes one call; a watch goes on as long as the next follows at once.
func (g *Group) watch(ctx context.Context) (Update, error) {
	limit := wait + patience
	if g.index < 0 {
		limit = patience
	}
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	url := g.url
	if g.index >= 0 {
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
	"SERVING": raventrestle.Ready, "DRAINING": raventrestle.Draining, "DELETED": raventrestle.Gone,
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
	u, names := Update{How: raventrestle.ListChanges, Index: *raw.Index}, g.names.Load()
	if raw.Snapshot {
		u.How = raventrestle.ListWhole
	}
	for _, e := range raw.Endpoints {
		state, ok := states[e.Status]
		if !ok {
			state = raventrestle.Draining
		}
		u.Entries = append(u.Entries, Entry{Addr: e.Address, Entry: raventrestle.Entry{
			Target: raventrestle.TargetID(e.Name), Dest: raventrestle.DestID(e.Group), State: state,
			Kind: config.Index(names.Kinds, e.Type), Zone: config.Index(names.Zones, e.Zone),
			Size: e.Weight, Joined: time.Duration(e.SinceMS * float64(time.Millisecond))}})
	}
	return u, nil
}
