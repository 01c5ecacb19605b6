package emulator

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Discovery serves the list, its watches and the platform's ear for notices, on a listener for each
// courier.
type Discovery struct {
	ledger   *Ledger
	channels []*Channel
	servers  []*http.Server
	// onDeferred hears of each message once whose client may come again, and after what time.
	onDeferred func(id string, after time.Duration)
	addrs      []string
	late       [2]time.Duration // with its changes

	mu      sync.Mutex
	index   int64
	changed chan struct{}     // closed at each change
	changes []change          // in order
	held    []json.RawMessage // the whole list, as each courier was last told of it
	state   map[string]string // endpoint's status, where it is not SERVING
	out     bool
	gone    chan struct{} // closed while it is out: watches end
}

type change struct {
	index    int64
	endpoint *Endpoint
}

// line is an endpoint in discovery's form.
type line struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int64   `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

type listing struct {
	Index     int64  `json:"index"`
	Snapshot  bool   `json:"snapshot"`
	Endpoints []line `json:"endpoints"`
}

// NewDiscovery listens for so many couriers.
func NewDiscovery(couriers int, channels []*Channel, ledger *Ledger) (*Discovery, error) {
	d := &Discovery{ledger: ledger, channels: channels, index: 1, changed: make(chan struct{}), state: map[string]string{}, gone: make(chan struct{}), onDeferred: func(string, time.Duration) {}}
	for n := range couriers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Join(err, d.Close())
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /v1/servers", func(w http.ResponseWriter, r *http.Request) { d.list(w, r, n) })
		mux.HandleFunc("POST /v1/outcomes", func(w http.ResponseWriter, r *http.Request) { d.outcomes(w, r, n) })
		s := &http.Server{Handler: mux}
		d.servers, d.addrs = append(d.servers, s), append(d.addrs, l.Addr().String())
		go s.Serve(l)
		d.held = append(d.held, d.whole(n))
	}
	return d, nil
}

// relayed tells couriers these addresses of its own from now on, and the endpoints' as they are now.
func (d *Discovery) relayed(addrs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addrs = addrs
	for n := range addrs {
		d.held[n] = d.whole(n)
	}
}

// Close ends the listeners and connections.
func (d *Discovery) Close() (err error) {
	for _, s := range d.servers {
		err = errors.Join(err, s.Close())
	}
	return err
}

// Addr is where the courier reaches discovery.
func (d *Discovery) Addr(courier int) string { return d.addrs[courier] }

// Out makes discovery answer nothing but notices, or answer again. Watches end.
func (d *Discovery) Out(out bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if out == d.out {
		return
	}
	if d.out = out; out {
		close(d.gone)
	} else {
		d.gone = make(chan struct{})
	}
}

// Mark marks an endpoint DRAINING, or DELETED, or SERVING again.
func (d *Discovery) Mark(e *Endpoint, status string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state[e.Name] = status
	d.index++
	d.changes = append(d.changes, change{d.index, e})
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) line(e *Endpoint, courier int) line {
	status := d.state[e.Name]
	if status == "" {
		status = "SERVING"
	}
	return line{
		Name: e.Name, Address: e.Addr(courier), Zone: e.Floor, Type: e.channel.Kind, Group: e.channel.Dest,
		Status: status, Weight: 1,
	}
}

// Whole is the whole list as the courier would get it.
func (d *Discovery) Whole(courier int) json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.whole(courier)
}

func (d *Discovery) whole(courier int) json.RawMessage {
	l := listing{Index: d.index, Snapshot: true, Endpoints: []line{}}
	for _, c := range d.channels {
		for _, e := range c.Endpoints {
			if x := d.line(e, courier); x.Status != "DELETED" {
				l.Endpoints = append(l.Endpoints, x)
			}
		}
	}
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // of our own records
	}
	return text
}

func (d *Discovery) list(w http.ResponseWriter, r *http.Request, courier int) {
	d.ledger.Listed()
	index, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	d.mu.Lock()
	if d.out {
		d.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		text := d.whole(courier)
		d.told(courier, 0)
		d.mu.Unlock()
		w.Write(text)
		return
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("wait"))
	if err != nil || wait < 0 || wait > 60000 {
		wait = 60000
	}
	changed, now, gone := d.changed, d.index, d.gone
	d.mu.Unlock()
	if index >= now {
		select {
		case <-changed:
			time.Sleep(d.late[0] + time.Duration(rand.Float64()*float64(d.late[1]-d.late[0])))
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-gone:
		case <-r.Context().Done():
			return
		}
	}
	d.mu.Lock()
	if d.out {
		d.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l := listing{Index: d.index, Endpoints: []line{}}
	for _, c := range d.changes {
		if c.index > index {
			l.Endpoints = append(l.Endpoints, d.line(c.endpoint, courier))
		}
	}
	d.told(courier, index)
	d.mu.Unlock()
	json.NewEncoder(w).Encode(l)
}

// Held is the list as the courier was last told of it.
func (d *Discovery) Held(courier int) json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held[courier]
}

// told notes which drains the courier hears of with the answer that is written now.
func (d *Discovery) told(courier int, since int64) {
	d.held[courier] = d.whole(courier)
	for _, c := range d.changes {
		if c.index <= since {
			continue
		}
		if d.state[c.endpoint.Name] == "SERVING" {
			c.endpoint.Serving(courier)
		} else {
			c.endpoint.Drain(courier, time.Now())
		}
	}
}

func (d *Discovery) outcomes(w http.ResponseWriter, r *http.Request, courier int) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	type notice struct {
		ID      string `json:"id"`
		Status  string `json:"status"`
		AgainMS int64  `json:"again_ms"`
	}
	var all []notice
	for text := range strings.Lines(string(body)) {
		var n notice
		if err := json.Unmarshal([]byte(text), &n); err != nil || n.Status != "undeliverable" && n.Status != "deferred" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		all = append(all, n)
	}
	for _, n := range all {
		if d.ledger.Notice(n.ID, n.Status, courier, time.Now()) && n.Status == "deferred" {
			d.onDeferred(n.ID, time.Duration(n.AgainMS)*time.Millisecond)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
