package standin

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// startControl starts a control instance that accepts heartbeats and deregistrations and passes them to channels.
func startControl(t *testing.T) (address string, heartbeats chan heartbeat, departures chan string) {
	heartbeats, departures = make(chan heartbeat, 100), make(chan string, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /-/instances/{id}", func(_ http.ResponseWriter, r *http.Request) {
		var received heartbeat
		if err := json.NewDecoder(r.Body).Decode(&received); err != nil {
			t.Error(err)
		}
		heartbeats <- received
	})
	mux.HandleFunc("DELETE /-/instances/{id}", func(_ http.ResponseWriter, r *http.Request) { departures <- r.PathValue("id") })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), heartbeats, departures
}

const testHeartbeatInterval = 5 * time.Millisecond

// testOptions returns changed options of an endpoint that registers at a control instance. The first control address does
// not listen.
func testOptions(control string, change func(o *Options)) Options {
	options := Options{
		ID: "i-1", Service: "s", Zone: "z", Address: "127.0.0.1:0",
		ControlAddresses: []string{"127.0.0.1:1", control}, Slots: 2, LoadTime: time.Millisecond,
		EventInterval: time.Millisecond, EventsPerStream: 3, HeartbeatInterval: testHeartbeatInterval,
		Log: slog.New(slog.DiscardHandler),
	}
	change(&options)
	return options
}

// startEndpoint starts an endpoint that registers with startControl. The first control address does not listen.
func startEndpoint(t *testing.T, models ...string) (*Endpoint, chan heartbeat, chan string) {
	t.Helper()
	address, heartbeats, departures := startControl(t)
	e, err := Start(context.Background(), testOptions(address, func(o *Options) { o.Models = models }))
	if err != nil {
		t.Fatal(err)
	}
	return e, heartbeats, departures
}

// sendRequest sends a request with the headers, given as pairs of name and value, and returns the response and its body.
func sendRequest(t *testing.T, e *Endpoint, method, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+e.Address()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }() // the body is read completely
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(text)
}

func TestEndpointRegistersServesAndLeaves(t *testing.T) {
	e, heartbeats, departures := startEndpoint(t, "m")
	first := <-heartbeats // sent to the second instance, as the first does not listen
	if first.Backend != "s" || first.State != "ready" || len(first.Models) != 1 || first.Address != e.Address() {
		t.Errorf("heartbeat %+v", first)
	}
	response, text := sendRequest(t, e, "POST", "/x", "text", headerID, "q", headerModel, "m")
	if response.StatusCode != 200 || response.Header.Get(headerID) != "q" || response.Header.Get(headerSignature) == "" ||
		strings.Count(text, "id: ") != 3 {
		t.Errorf("%v: %q", response, text)
	}
	_, text = sendRequest(t, e, "POST", "/x", "", headerID, "q", headerModel, "m", "Last-Event-Id", "2")
	if strings.Count(text, "id: ") != 1 {
		t.Errorf("resumed after event 2: %q", text)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := e.Stop(ctx); err != nil {
		t.Error(err)
	}
	if id := <-departures; id != "i-1" || e.Served() != 2 {
		t.Errorf("%q deregistered after %d requests", id, e.Served())
	}
}

func TestEndpointRejectsInvalidRequests(t *testing.T) {
	e, _, _ := startEndpoint(t)
	defer func() { _ = e.Stop(context.Background()) }()
	cases := []struct {
		headers []string
		status  int
	}{
		{[]string{headerID, "q", headerModel, "m"}, http.StatusMisdirectedRequest},
		{[]string{headerID, "q", headerExpectedInstance, "i-2"}, http.StatusMisdirectedRequest},
		{nil, http.StatusBadRequest},
		{[]string{headerID, "q"}, http.StatusOK},
	}
	for _, test := range cases {
		if response, _ := sendRequest(t, e, "POST", "/x", "", test.headers...); response.StatusCode != test.status {
			t.Errorf("%v: %d, want %d", test.headers, response.StatusCode, test.status)
		}
	}
}

func TestEndpointExecutesOrders(t *testing.T) {
	e, heartbeats, _ := startEndpoint(t)
	defer func() { _ = e.Stop(context.Background()) }()
	const load = `{"operation":"model_load","model":"m","if_revision":0,"holder":"h","fence_token":1}`
	for _, test := range []struct {
		body   string
		status int
	}{
		{`{"operation":"model_load","model":"m"}`, http.StatusBadRequest},
		{strings.Replace(load, `"if_revision":0`, `"if_revision":7`, 1), http.StatusConflict},
		{load, http.StatusAccepted},
	} {
		if response, _ := sendRequest(t, e, "POST", "/-/order", test.body); response.StatusCode != test.status {
			t.Errorf("%s: %d, want %d", test.body, response.StatusCode, test.status)
		}
	}
	for received := range heartbeats {
		if len(received.Models) == 1 {
			break
		}
	}
	if response, text := sendRequest(t, e, "GET", "/-/report", ""); response.StatusCode != 200 || !strings.Contains(text, `"seq":1`) {
		t.Errorf("report %s", text)
	}
}
