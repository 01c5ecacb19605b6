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

// instances stands in for the registry.
type instances struct {
	mutex  sync.Mutex
	beats  []protocol.Endpoint
	left   []string
	refuse error
}

func (i *instances) Heartbeat(_ context.Context, endpoint protocol.Endpoint) error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.beats = append(i.beats, endpoint)
	return i.refuse
}

func (i *instances) Deregister(_ context.Context, id string) error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.left = append(i.left, id)
	return i.refuse
}

func (i *instances) ConfirmedAt() time.Time { return time.Now() }

func (i *instances) View(context.Context) (host.View, error) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return host.View{Endpoints: i.beats}, nil
}

// site is the public interface on loopback, before a replica that commits in memory.
type site struct {
	*httptest.Server
	double    *replicatest.Double
	instances *instances
}

func startSite(t *testing.T) *site {
	t.Helper()
	machine := state.New()
	double := replicatest.New(machine, replica.Status{})
	s := &site{double: double, instances: &instances{}}
	status := func() any { return map[string]int{"epoch": 1} }
	s.Server = httptest.NewServer(api.New(s.instances, New(double, machine), status).Handler())
	t.Cleanup(s.Close)
	return s
}

// call returns the status and the body of an answer.
func (s *site) call(t *testing.T, method, path, ifMatch, body string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, s.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	answer, err := s.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer, string(text)
}

func version(generation int, service string) string {
	return fmt.Sprintf(`{"generation":%d,"routes":[{"name":"r","hostname":"h","path_prefix":"/a/","type":"idempotent",`+
		`"timeout_ms":1000,"target_latency_ms":100,"backend":%q,"max_retries":1}],"services":[{"name":"s",`+
		`"health_check":"/h","max_connections":4,"protocol":"h1"}],"limits":{"max_header_bytes":1000,`+
		`"max_body_bytes":1000,"header_timeout_ms":1000,"idle_timeout_ms":1000},"tenants":[]}`, generation, service)
}

func TestChangesOfTheConfiguration(t *testing.T) {
	s := startSite(t)
	steps := []struct {
		what, method, ifMatch, body string
		status                      int
		contains                    string
	}{
		{"read before the first", http.MethodGet, "", "", 404, "no configuration"},
		{"no If-Match", http.MethodPut, "", version(5, "s"), 400, "If-Match"},
		{"not a number", http.MethodPut, "five", version(5, "s"), 400, "If-Match"},
		{"cut off", http.MethodPut, "0", version(5, "s")[:40], 400, "JSON"},
		{"unknown service", http.MethodPut, "0", version(5, "nope"), 400, "nope"},
		{"the first", http.MethodPut, "0", version(5, "s"), 200, "5"},
		{"the same again", http.MethodPut, "0", version(5, "s"), 200, "5"},
		{"another on the same", http.MethodPut, "0", version(6, "s"), 412, "5"},
		{"quoted version", http.MethodPut, `"5"`, version(9, "s"), 200, "9"},
		{"the first again", http.MethodPut, "0", version(5, "s"), 200, "5"},
		{"not above", http.MethodPut, "9", version(9, "s"), 400, "generation"},
		{"patch", http.MethodPatch, "9", `{"generation":11,"delete":{"routes":["r"]}}`, 200, "11"},
		{"patch of another version", http.MethodPatch, "9", `{"generation":12,"delete":{"routes":["r"]}}`, 412, "11"},
		{"read", http.MethodGet, "", "", 200, `"generation":11`},
	}
	for _, step := range steps {
		answer, body := s.call(t, step.method, "/-/config", step.ifMatch, step.body)
		if answer.StatusCode != step.status || !strings.Contains(body, step.contains) {
			t.Errorf("%s: %d %s, want %d with %q", step.what, answer.StatusCode, body, step.status, step.contains)
		}
	}
}

func TestUndecidedChangesAreUnclear(t *testing.T) {
	s := startSite(t)
	s.double.SetStalled(true)
	answer, _ := s.call(t, http.MethodPut, "/-/config", "0", version(5, "s"))
	if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
		t.Errorf("stalled change: %d, Retry-After %q", answer.StatusCode, answer.Header.Get("Retry-After"))
	}
	if patience := s.double.ProposalTimeout(); patience <= 0 || patience > 850*time.Millisecond {
		t.Errorf("the chain was given %v: the caller has gone by then", patience)
	}
	s.double.SetStalled(false)
	s.double.SetRejecting(true)
	for _, method := range []string{http.MethodPut, http.MethodGet} {
		if answer, _ := s.call(t, method, "/-/config", "0", version(5, "s")); answer.StatusCode != 503 {
			t.Errorf("%s without the chain: %d", method, answer.StatusCode)
		}
	}
}

// TestOrderBeyondTheMemoryIsUnclear sends the first change again after so many others that the machine has forgotten
// it: a refusal would be wrong.
func TestOrderBeyondTheMemoryIsUnclear(t *testing.T) {
	s := startSite(t)
	const first = `{"generation":1,"routes":[],"services":[]}`
	s.call(t, http.MethodPut, "/-/config", "0", first)
	generation := 1
	for answer := http.StatusOK; answer == http.StatusOK && generation < 10_000; generation++ {
		body := fmt.Sprintf(`{"generation":%d}`, generation+1)
		command, err := state.NewCommand(http.MethodPatch, int64(generation), []byte(body))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.double.Propose(t.Context(), command); err != nil {
			t.Fatal(err)
		}
		if generation%512 == 0 {
			again, _ := s.call(t, http.MethodPut, "/-/config", "0", first)
			answer = again.StatusCode
		}
	}
	answer, body := s.call(t, http.MethodPut, "/-/config", "0", first)
	if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
		t.Errorf("after %d changes: %d %s", generation, answer.StatusCode, body)
	}
}

// TestBodyCutOnItsWayIsNoRefusal ends a call in the midst of its body: the caller sends the change again.
func TestBodyCutOnItsWayIsNoRefusal(t *testing.T) {
	s := startSite(t)
	connection, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	head := "PUT /-/config HTTP/1.1\r\nHost: x\r\nIf-Match: 0\r\nContent-Length: 900\r\n\r\n"
	if _, err := io.WriteString(connection, head+version(5, "s")[:40]); err != nil {
		t.Fatal(err)
	}
	if err := connection.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusRequestTimeout {
		t.Errorf("%d", answer.StatusCode)
	}
}

func TestTooLargeConfiguration(t *testing.T) {
	s := startSite(t)
	body := `{"generation":5,"note":"` + strings.Repeat("x", 5<<20) + `"}`
	if answer, text := s.call(t, http.MethodPut, "/-/config", "0", body); answer.StatusCode != 413 {
		t.Errorf("%d %s", answer.StatusCode, text)
	}
	fits := strings.Replace(version(5, "s"), `"tenants":[]`, `"tenants":[],"note":"`+strings.Repeat("x", 4<<20)+`"`, 1)
	if answer, text := s.call(t, http.MethodPut, "/-/config", "0", fits); answer.StatusCode != 200 {
		t.Errorf("%d %s", answer.StatusCode, text)
	}
}

func TestHeartbeats(t *testing.T) {
	s := startSite(t)
	good := `{"backend":"b","address":"10.0.0.9:8080","zone":"z","generation":"v1","slots":64,"state":"draining",` +
		`"cold_remaining_ms":250,"stage":"both","models":[{"name":"m","generation":1,"adapters":["a1"]}],"seq":4}`
	answer, body := s.call(t, http.MethodPut, "/-/instances/i-7", "", good)
	if answer.StatusCode != 200 || body != "{}" {
		t.Fatalf("%d %s", answer.StatusCode, body)
	}
	got := s.instances.beats[0]
	if got.ID != "i-7" || got.Service != "b" || got.State != protocol.Draining || got.Sequence != 4 ||
		got.WarmUpRemaining != 250*time.Millisecond || got.Models[0].Adapters[0] != "a1" {
		t.Errorf("%+v", got)
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
		answer, text := s.call(t, http.MethodPut, "/-/instances/i-8", "", body)
		if answer.StatusCode != 400 || !strings.Contains(text, field) {
			t.Errorf("bad %s: %d %s", field, answer.StatusCode, text)
		}
	}
	if answer, _ := s.call(t, http.MethodDelete, "/-/instances/i-7", "", ""); answer.StatusCode != 200 {
		t.Errorf("leave: %d", answer.StatusCode)
	}
	s.instances.refuse = errors.New("isolated")
	if answer, _ := s.call(t, http.MethodPut, "/-/instances/i-7", "", good); answer.StatusCode != 503 {
		t.Errorf("refused: %d", answer.StatusCode)
	}
}

func TestViewsForPeople(t *testing.T) {
	s := startSite(t)
	s.instances.beats = []protocol.Endpoint{{
		ID: "i-1", Service: "b", Models: []protocol.LoadedModel{{Name: "m"}},
		Loading: []protocol.ModelLoad{{Model: "n", Remaining: time.Second}},
	}}
	for path, contains := range map[string]string{
		"/-/endpoints": `"id":"i-1"`, "/-/models": `"model":"n"`, "/-/members": `"epoch":1`,
	} {
		if answer, body := s.call(t, http.MethodGet, path, "", ""); answer.StatusCode != 200 ||
			!strings.Contains(body, contains) {
			t.Errorf("%s: %d %s", path, answer.StatusCode, body)
		}
	}
	if answer, _ := s.call(t, http.MethodGet, "/-/nothing", "", ""); answer.StatusCode != 404 {
		t.Errorf("unknown path: %d", answer.StatusCode)
	}
}
