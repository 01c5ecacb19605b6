package configstore

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/api"
	"raventrestle/internal/control/host"
	"raventrestle/internal/control/replicatest"
	"raventrestle/internal/control/state"
	"raventrestle/internal/protocol"
)

// fakeRegistry stands in for the registry.
type fakeRegistry struct {
	mutex        sync.Mutex
	endpoints    []protocol.Endpoint
	deregistered []string
	err          error // of each request of an endpoint
}

func (f *fakeRegistry) Heartbeat(_ context.Context, endpoint protocol.Endpoint) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.endpoints = append(f.endpoints, endpoint)
	return f.err
}

func (f *fakeRegistry) Deregister(_ context.Context, id string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.deregistered = append(f.deregistered, id)
	return f.err
}

func (f *fakeRegistry) ConfirmedAt() time.Time { return time.Now() }

func (f *fakeRegistry) View(context.Context) (host.View, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return host.View{Endpoints: f.endpoints}, nil
}

// controlPlane is the public API on loopback, before a replica that commits in memory.
type controlPlane struct {
	*httptest.Server
	double   *replicatest.Double
	registry *fakeRegistry
}

func startControlPlane(t *testing.T) *controlPlane {
	t.Helper()
	machine := state.New()
	double := replicatest.New(machine, replica.Status{})
	s := &controlPlane{double: double, registry: &fakeRegistry{}}
	status := func() any { return map[string]int{"epoch": 1} }
	s.Server = httptest.NewServer(api.New(s.registry, New(double, machine), status, nil).Handler())
	t.Cleanup(s.Close)
	return s
}

// send sends a request and returns the response, whose body is closed, and the body's text.
func (s *controlPlane) send(t *testing.T, method, path, ifMatch, body string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, s.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatalf("got %v, want no error", err)
	}
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	answer, err := s.Client().Do(request)
	if err != nil {
		t.Fatalf("got %v, want no error", err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatalf("got %v, want no error", err)
	}
	return answer, string(text)
}

func version(generation int, service string) string {
	return fmt.Sprintf(`{"generation":%d,"routes":[{"name":"r","hostname":"h","path_prefix":"/a/","type":"idempotent",`+
		`"timeout_ms":1000,"target_latency_ms":100,"backend":%q,"max_retries":1}],"services":[{"name":"s",`+
		`"health_check":"/h","max_connections":4,"protocol":"h1"}],"limits":{"max_header_bytes":1000,`+
		`"max_body_bytes":1000,"header_timeout_ms":1000,"idle_timeout_ms":1000},"tenants":[]}`, generation, service)
}

func TestChangesAreDecidedByVersionAndContent(t *testing.T) {
	s := startControlPlane(t)
	steps := []struct {
		name, method, ifMatch, body string
		want                        int
		contains                    string
	}{
		{"read before the first", http.MethodGet, "", "", http.StatusNotFound, "no configuration"},
		{"no If-Match", http.MethodPut, "", version(5, "s"), http.StatusBadRequest, "If-Match"},
		{"not a number", http.MethodPut, "five", version(5, "s"), http.StatusBadRequest, "If-Match"},
		{"incomplete JSON", http.MethodPut, "0", version(5, "s")[:40], http.StatusBadRequest, "JSON"},
		{"unknown service", http.MethodPut, "0", version(5, "nope"), http.StatusBadRequest, "nope"},
		{"the first", http.MethodPut, "0", version(5, "s"), http.StatusOK, "5"},
		{"the same again", http.MethodPut, "0", version(5, "s"), http.StatusOK, "5"},
		{"another on the same", http.MethodPut, "0", version(6, "s"), http.StatusPreconditionFailed, "5"},
		{"quoted version", http.MethodPut, `"5"`, version(9, "s"), http.StatusOK, "9"},
		{"the first again", http.MethodPut, "0", version(5, "s"), http.StatusOK, "5"},
		{"not above", http.MethodPut, "9", version(9, "s"), http.StatusBadRequest, "generation"},
		{"patch", http.MethodPatch, "9", `{"generation":11,"delete":{"routes":["r"]}}`, http.StatusOK, "11"},
		{"patch of another version", http.MethodPatch, "9", `{"generation":12,"delete":{"routes":["r"]}}`, http.StatusPreconditionFailed, "11"},
		{"read", http.MethodGet, "", "", http.StatusOK, `"generation":11`},
	}
	for _, step := range steps {
		answer, body := s.send(t, step.method, "/-/config", step.ifMatch, step.body)
		if answer.StatusCode != step.want || !strings.Contains(body, step.contains) {
			t.Errorf("%s: got %d %s, want %d with %q", step.name, answer.StatusCode, body, step.want, step.contains)
		}
	}
}

func TestUndecidedChangesAreAnswered503(t *testing.T) {
	s := startControlPlane(t)
	s.double.SetStalled(true)
	answer, _ := s.send(t, http.MethodPut, "/-/config", "0", version(5, "s"))
	if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
		t.Errorf("stalled change: got %d with Retry-After %q, want 503 with one",
			answer.StatusCode, answer.Header.Get("Retry-After"))
	}
	const maxTimeout = 850 * time.Millisecond // the caller has left after a second
	if timeout := s.double.ProposalTimeout(); timeout <= 0 || timeout > maxTimeout {
		t.Errorf("timeout of the proposal: got %v, want %v at most", timeout, maxTimeout)
	}
	s.double.SetStalled(false)
	s.double.SetRejecting(true)
	for _, method := range []string{http.MethodPut, http.MethodGet} {
		if answer, _ := s.send(t, method, "/-/config", "0", version(5, "s")); answer.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("%s without the chain: got %d, want 503", method, answer.StatusCode)
		}
	}
}

// TestForgottenChangeIsAnswered503 sends the first change again after so many others that the machine has forgotten it: a
// rejection would be wrong.
func TestForgottenChangeIsAnswered503(t *testing.T) {
	s := startControlPlane(t)
	const first = `{"generation":1,"routes":[],"services":[]}`
	s.send(t, http.MethodPut, "/-/config", "0", first)
	generation := 1
	for answer := http.StatusOK; answer == http.StatusOK && generation < 10_000; generation++ {
		body := fmt.Sprintf(`{"generation":%d}`, generation+1)
		command, err := state.NewCommand(http.MethodPatch, int64(generation), []byte(body))
		if err != nil {
			t.Fatalf("got %v, want no error", err)
		}
		if _, err := s.double.Propose(t.Context(), command); err != nil {
			t.Fatalf("got %v, want no error", err)
		}
		if generation%512 == 0 {
			again, _ := s.send(t, http.MethodPut, "/-/config", "0", first)
			answer = again.StatusCode
		}
	}
	answer, body := s.send(t, http.MethodPut, "/-/config", "0", first)
	if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
		t.Errorf("after %d changes: got %d %s, want 503 with Retry-After", generation, answer.StatusCode, body)
	}
}

// TestIncompleteBodyIsAnswered408 ends a request in the midst of its body: the caller sends the change again.
func TestIncompleteBodyIsAnswered408(t *testing.T) {
	s := startControlPlane(t)
	connection, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatalf("got %v, want no error", err)
	}
	defer func() { _ = connection.Close() }()
	head := "PUT /-/config HTTP/1.1\r\nHost: x\r\nIf-Match: 0\r\nContent-Length: 900\r\n\r\n"
	if _, err := io.WriteString(connection, head+version(5, "s")[:40]); err != nil {
		t.Fatalf("got %v, want no error", err)
	}
	if err := connection.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatalf("got %v, want no error", err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatalf("got %v, want no error", err)
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusRequestTimeout {
		t.Errorf("got %d, want 408", answer.StatusCode)
	}
}

func TestConfigurationBeyondTheBoundIsAnswered413(t *testing.T) {
	s := startControlPlane(t)
	body := `{"generation":5,"note":"` + strings.Repeat("x", 5<<20) + `"}`
	if answer, text := s.send(t, http.MethodPut, "/-/config", "0", body); answer.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("5 MiB: got %d %s, want 413", answer.StatusCode, text)
	}
	fits := strings.Replace(version(5, "s"), `"tenants":[]`, `"tenants":[],"note":"`+strings.Repeat("x", 4<<20)+`"`, 1)
	if answer, text := s.send(t, http.MethodPut, "/-/config", "0", fits); answer.StatusCode != http.StatusOK {
		t.Errorf("4 MiB: got %d %s, want 200", answer.StatusCode, text)
	}
}

func TestHeartbeatsAreCheckedAndPassedOn(t *testing.T) {
	s := startControlPlane(t)
	good := `{"backend":"b","address":"10.0.0.9:8080","zone":"z","generation":"v1","slots":64,"state":"draining",` +
		`"cold_remaining_ms":250,"stage":"both","models":[{"name":"m","generation":1,"adapters":["a1"]}],"seq":4}`
	answer, body := s.send(t, http.MethodPut, "/-/instances/i-7", "", good)
	if answer.StatusCode != http.StatusOK || body != "{}" {
		t.Fatalf("got %d %s, want 200 {}", answer.StatusCode, body)
	}
	got := s.registry.endpoints[0]
	if got.ID != "i-7" || got.Service != "b" || got.State != protocol.Draining || got.Sequence != 4 ||
		got.WarmUpRemaining != 250*time.Millisecond || got.Models[0].Adapters[0] != "a1" {
		t.Errorf("endpoint: got %+v, want what the body says", got)
	}
	bad := map[string]string{
		"backend":           strings.Replace(good, `"backend":"b"`, `"backend":""`, 1),
		"address":           strings.Replace(good, `10.0.0.9:8080`, `10.0.0.9`, 1),
		"state":             strings.Replace(good, `draining`, `resting`, 1),
		"slots":             strings.Replace(good, `64`, `-1`, 1),
		"cold_remaining_ms": strings.Replace(good, `250`, `-5`, 1),
		"seq":               strings.Replace(good, `"seq":4`, `"seq":"four"`, 1),
	}
	for field, body := range bad {
		answer, text := s.send(t, http.MethodPut, "/-/instances/i-8", "", body)
		if answer.StatusCode != http.StatusBadRequest || !strings.Contains(text, field) {
			t.Errorf("bad %s: got %d %s, want 400 that names it", field, answer.StatusCode, text)
		}
	}
	if answer, _ := s.send(t, http.MethodDelete, "/-/instances/i-7", "", ""); answer.StatusCode != http.StatusOK {
		t.Errorf("DELETE: got %d, want 200", answer.StatusCode)
	}
	s.registry.err = errors.New("isolated")
	if answer, _ := s.send(t, http.MethodPut, "/-/instances/i-7", "", good); answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("not acknowledged: got %d, want 503", answer.StatusCode)
	}
}

func TestTablesAreServed(t *testing.T) {
	s := startControlPlane(t)
	s.registry.endpoints = []protocol.Endpoint{{
		ID: "i-1", Service: "b", Models: []protocol.LoadedModel{{Name: "m"}},
		Loading: []protocol.ModelLoad{{Model: "n", Remaining: time.Second}},
	}}
	for path, contains := range map[string]string{
		"/-/endpoints": `"id":"i-1"`, "/-/models": `"model":"n"`, "/-/members": `"epoch":1`,
	} {
		if answer, body := s.send(t, http.MethodGet, path, "", ""); answer.StatusCode != http.StatusOK ||
			!strings.Contains(body, contains) {
			t.Errorf("%s: got %d %s, want 200 with %s", path, answer.StatusCode, body, contains)
		}
	}
	if answer, _ := s.send(t, http.MethodGet, "/-/nothing", "", ""); answer.StatusCode != http.StatusNotFound {
		t.Errorf("unknown path: got %d, want 404", answer.StatusCode)
	}
}
