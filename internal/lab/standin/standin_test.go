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

// control is an instance that takes heartbeats.
func control(t *testing.T) (address string, beats chan heartbeat, left chan string) {
	beats, left = make(chan heartbeat, 100), make(chan string, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /-/instances/{id}", func(_ http.ResponseWriter, r *http.Request) {
		var told heartbeat
		if err := json.NewDecoder(r.Body).Decode(&told); err != nil {
			t.Error(err)
		}
		beats <- told
	})
	mux.HandleFunc("DELETE /-/instances/{id}", func(_ http.ResponseWriter, r *http.Request) { left <- r.PathValue("id") })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), beats, left
}

func start(t *testing.T, models ...string) (*Endpoint, chan heartbeat, chan string) {
	t.Helper()
	address, beats, left := control(t)
	e, err := Start(context.Background(), Options{
		ID: "i-1", Service: "s", Zone: "z", Address: "127.0.0.1:0",
		Controls: []string{"127.0.0.1:1", address}, Slots: 2, Models: models, LoadTime: time.Millisecond,
		Event: time.Millisecond, Events: 3, Heartbeat: 5 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	return e, beats, left
}

// ask sends a request with the headers and returns status and body.
func ask(t *testing.T, e *Endpoint, method, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+e.Address()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }() // it is read below
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer, string(text)
}

func TestEndpointRegistersServesAndLeaves(t *testing.T) {
	e, beats, left := start(t, "m")
	beat := <-beats // the first instance of its list does not listen
	if beat.Backend != "s" || beat.State != "ready" || len(beat.Models) != 1 || beat.Address != e.Address() {
		t.Errorf("heartbeat %+v", beat)
	}
	answer, text := ask(t, e, "POST", "/x", "text", headerID, "q", headerModel, "m")
	if answer.StatusCode != 200 || answer.Header.Get(headerID) != "q" || answer.Header.Get(headerSignature) == "" ||
		strings.Count(text, "id: ") != 3 {
		t.Errorf("%v: %q", answer, text)
	}
	_, text = ask(t, e, "POST", "/x", "", headerID, "q", headerModel, "m", "Last-Event-Id", "2")
	if strings.Count(text, "id: ") != 1 {
		t.Errorf("taken up after event 2: %q", text)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := e.Stop(ctx); err != nil {
		t.Error(err)
	}
	if id := <-left; id != "i-1" || e.Served() != 2 {
		t.Errorf("%q left after %d", id, e.Served())
	}
}

func TestEndpointTurnsAway(t *testing.T) {
	e, _, _ := start(t)
	defer func() { _ = e.Stop(context.Background()) }()
	cases := []struct {
		headers []string
		status  int
	}{
		{[]string{headerID, "q", headerModel, "m"}, http.StatusMisdirectedRequest},
		{[]string{headerID, "q", headerExpected, "i-2"}, http.StatusMisdirectedRequest},
		{nil, http.StatusBadRequest},
		{[]string{headerID, "q"}, http.StatusOK},
	}
	for _, c := range cases {
		if answer, _ := ask(t, e, "POST", "/x", "", c.headers...); answer.StatusCode != c.status {
			t.Errorf("%v: %d, want %d", c.headers, answer.StatusCode, c.status)
		}
	}
}

func TestEndpointTakesOrders(t *testing.T) {
	e, beats, _ := start(t)
	defer func() { _ = e.Stop(context.Background()) }()
	const load = `{"operation":"model_load","model":"m","if_revision":0,"holder":"h","fence_token":1}`
	for _, c := range []struct {
		body   string
		status int
	}{
		{`{"operation":"model_load","model":"m"}`, http.StatusBadRequest},
		{strings.Replace(load, `"if_revision":0`, `"if_revision":7`, 1), http.StatusConflict},
		{load, http.StatusAccepted},
	} {
		if answer, _ := ask(t, e, "POST", "/-/order", c.body); answer.StatusCode != c.status {
			t.Errorf("%s: %d, want %d", c.body, answer.StatusCode, c.status)
		}
	}
	for beat := range beats {
		if len(beat.Models) == 1 {
			break
		}
	}
	if answer, text := ask(t, e, "GET", "/-/report", ""); answer.StatusCode != 200 || !strings.Contains(text, `"seq":1`) {
		t.Errorf("report %s", text)
	}
}
