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

// Discovery serves the endpoint list and its watches, and receives the notices that couriers send to the platform. It
// has a separate listener for each courier.
type Discovery struct {
	recorder *Recorder
	channels []*Channel
	servers  []*http.Server
	// onDeferred is called once for each deferred message, with the time after which its client may submit it again.
	onDeferred  func(id string, after time.Duration)
	addrs       []string
	changeDelay [2]time.Duration // range of the delay of a change

	mu            sync.Mutex
	index         int64
	changed       chan struct{}     // closed at each change
	changes       []change          // in order
	lastSent      []json.RawMessage // full list that each courier was last sent
	status        map[string]string // by endpoint name; SERVING if absent
	inOutage      bool
	outageStarted chan struct{} // closed during an outage, to end the watches
}

// change is a change of an endpoint's status.
type change struct {
	index    int64
	endpoint *Endpoint
}

// listEntry is an endpoint as discovery lists it.
type listEntry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int64   `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// listing is a response with the full list (Snapshot) or with the changes since an index.
type listing struct {
	Index     int64       `json:"index"`
	Snapshot  bool        `json:"snapshot"`
	Endpoints []listEntry `json:"endpoints"`
}

// NewDiscovery opens a listener for each of the couriers.
func NewDiscovery(couriers int, channels []*Channel, recorder *Recorder) (*Discovery, error) {
	d := &Discovery{recorder: recorder, channels: channels, index: 1, changed: make(chan struct{}), status: map[string]string{}, outageStarted: make(chan struct{}), onDeferred: func(string, time.Duration) {}}
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
		d.lastSent = append(d.lastSent, d.fullList(n))
	}
	return d, nil
}

// setRelayAddrs sets the addresses at which couriers reach discovery, and updates the lists to the endpoints' current
// addresses.
func (d *Discovery) setRelayAddrs(addrs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addrs = addrs
	for n := range addrs {
		d.lastSent[n] = d.fullList(n)
	}
}

// Close closes the listeners and connections.
func (d *Discovery) Close() (err error) {
	for _, s := range d.servers {
		err = errors.Join(err, s.Close())
	}
	return err
}

// Addr returns the address at which the courier reaches discovery.
func (d *Discovery) Addr(courier int) string { return d.addrs[courier] }

// SetOutage begins or ends an outage, in which discovery accepts notices but rejects all other requests. Its begin
// ends the watches.
func (d *Discovery) SetOutage(outage bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if outage == d.inOutage {
		return
	}
	if d.inOutage = outage; outage {
		close(d.outageStarted)
	} else {
		d.outageStarted = make(chan struct{})
	}
}

// SetStatus sets the status of an endpoint: SERVING, DRAINING or DELETED.
func (d *Discovery) SetStatus(e *Endpoint, status string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.status[e.Name] = status
	d.index++
	d.changes = append(d.changes, change{d.index, e})
	close(d.changed)
	d.changed = make(chan struct{})
}

// entry returns the list entry of an endpoint, with the address at which the courier reaches it.
func (d *Discovery) entry(e *Endpoint, courier int) listEntry {
	status := d.status[e.Name]
	if status == "" {
		status = "SERVING"
	}
	return listEntry{
		Name: e.Name, Address: e.Addr(courier), Zone: e.Floor, Type: e.channel.Kind, Group: e.channel.Dest,
		Status: status, Weight: 1,
	}
}

// FullList returns the full list as the courier would receive it now.
func (d *Discovery) FullList(courier int) json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fullList(courier)
}

func (d *Discovery) fullList(courier int) json.RawMessage {
	l := listing{Index: d.index, Snapshot: true, Endpoints: []listEntry{}}
	for _, c := range d.channels {
		for _, e := range c.Endpoints {
			if entry := d.entry(e, courier); entry.Status != "DELETED" {
				l.Endpoints = append(l.Endpoints, entry)
			}
		}
	}
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // cannot happen: listing can always be encoded
	}
	return text
}

// list handles a courier's request for the full list, or with an index for the changes since then. If there are none,
// it waits for one, up to the requested time.
func (d *Discovery) list(w http.ResponseWriter, r *http.Request, courier int) {
	d.recorder.CountListRequest()
	index, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	d.mu.Lock()
	if d.inOutage {
		d.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		text := d.fullList(courier)
		d.noteSent(courier, 0)
		d.mu.Unlock()
		w.Write(text)
		return
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("wait"))
	if err != nil || wait < 0 || wait > 60000 {
		wait = 60000
	}
	changed, now, outageStarted := d.changed, d.index, d.outageStarted
	d.mu.Unlock()
	if index >= now {
		select {
		case <-changed:
			time.Sleep(d.changeDelay[0] + time.Duration(rand.Float64()*float64(d.changeDelay[1]-d.changeDelay[0])))
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-outageStarted:
		case <-r.Context().Done():
			return
		}
	}
	d.mu.Lock()
	if d.inOutage {
		d.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l := listing{Index: d.index, Endpoints: []listEntry{}}
	for _, c := range d.changes {
		if c.index > index {
			l.Endpoints = append(l.Endpoints, d.entry(c.endpoint, courier))
		}
	}
	d.noteSent(courier, index)
	d.mu.Unlock()
	json.NewEncoder(w).Encode(l)
}

// LastSentList returns the full list as of the last response to the courier.
func (d *Discovery) LastSentList(courier int) json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastSent[courier]
}

// noteSent records the list and the changes of status that the courier learns from the response that is about to be
// written.
func (d *Discovery) noteSent(courier int, since int64) {
	d.lastSent[courier] = d.fullList(courier)
	for _, c := range d.changes {
		if c.index <= since {
			continue
		}
		if d.status[c.endpoint.Name] == "SERVING" {
			c.endpoint.NoteServing(courier)
		} else {
			c.endpoint.NoteDraining(courier, time.Now())
		}
	}
}

// outcomes handles the notices of a courier. It rejects all of them if one is invalid.
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
	var notices []notice
	for line := range strings.Lines(string(body)) {
		var n notice
		if err := json.Unmarshal([]byte(line), &n); err != nil || n.Status != "undeliverable" && n.Status != "deferred" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		notices = append(notices, n)
	}
	for _, n := range notices {
		if d.recorder.RecordNotice(n.ID, n.Status, courier, time.Now()) && n.Status == "deferred" {
			d.onDeferred(n.ID, time.Duration(n.AgainMS)*time.Millisecond)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
