package api_test

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/api"
	"raventrestle/internal/control/configstore"
	"raventrestle/internal/control/host"
	"raventrestle/internal/control/replicatest"
	"raventrestle/internal/control/state"
	"raventrestle/internal/protocol"
)

// The files in testdata/golden are the wire of the operators' API as build 73ca247 speaks it. NAME.request is a request
// as it is sent on the connection, NAME.response the complete answer, and NAME.endpoint (for accepted heartbeats) the
// endpoint that reaches the registry, in cbor as hex: its keys are numbers, so no Go name is in the file. Three
// things in an answer vary: the value of the Date header, the number of as_of_ms, and the Go type that encoding/json names
// in its errors. They are checked and then replaced by fixedDate, fixedAge and fixedType.
const (
	goldenDirectory = "testdata/golden"
	fixedDate       = "Thu, 01 Jan 1970 00:00:00 GMT"
	fixedAge        = 21_000 // ms; the answer may be as much older as a slow machine takes
	maxAge          = fixedAge + 10_000
	fixedType       = "TYPE"
	answerTimeout   = 20 * time.Second
)

// goldenInstances stands in for the registry and records what reaches it.
type goldenInstances struct {
	err         error // of each call
	noContact   bool
	endpoints   []protocol.Endpoint // shown in the tables
	heartbeats  []protocol.Endpoint
	deregisters []string
}

func (g *goldenInstances) Heartbeat(_ context.Context, endpoint protocol.Endpoint) error {
	g.heartbeats = append(g.heartbeats, endpoint)
	return g.err
}

func (g *goldenInstances) Deregister(_ context.Context, id string) error {
	g.deregisters = append(g.deregisters, id)
	return g.err
}

func (g *goldenInstances) View(context.Context) (host.View, error) {
	return host.View{Endpoints: g.endpoints}, g.err
}

func (g *goldenInstances) ConfirmedAt() time.Time {
	if g.noContact {
		return time.Time{}
	}
	return time.Now().Add(-fixedAge * time.Millisecond)
}

// goldenServer is the API on a loopback listener, with everything that a production server has.
type goldenServer struct {
	address   string
	instances *goldenInstances
	double    *replicatest.Double
	machine   *state.Machine
}

func startGoldenServer(t *testing.T) *goldenServer {
	t.Helper()
	machine := state.New()
	s := &goldenServer{
		instances: &goldenInstances{},
		double:    replicatest.New(machine, replica.Status{}),
		machine:   machine,
	}
	return s.serve(t, configstore.New(s.double, machine), func() any { return map[string]int{"epoch": 3} })
}

func (s *goldenServer) serve(t *testing.T, configurations api.Configurations, status api.Status) *goldenServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: got %v, want no error", err)
	}
	server := api.New(s.instances, configurations, status, nil).Server(64)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Errorf("close: got %v, want no error", err)
		}
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("serve: got %v, want %v", err, http.ErrServerClosed)
		}
	})
	s.address = listener.Addr().String()
	return s
}

// exchange sends the request file and the tail on a connection of its own and returns the complete answer. With halfClose the
// sending side ends there, as where a caller's connection breaks.
func (s *goldenServer) exchange(t *testing.T, name string, tail []byte, halfClose bool) []byte {
	t.Helper()
	connection, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatalf("%s: dial: got %v, want no error", name, err)
	}
	defer func() { _ = connection.Close() }()
	if err := connection.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		t.Fatalf("%s: deadline: got %v, want no error", name, err)
	}
	request := append(readGolden(t, name+".request"), tail...)
	if _, err := connection.Write(request); err != nil {
		t.Fatalf("%s: send: got %v, want no error", name, err)
	}
	if halfClose {
		if err := connection.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatalf("%s: end of sending: got %v, want no error", name, err)
		}
	}
	response, err := io.ReadAll(connection)
	if err != nil {
		t.Fatalf("%s: receive: got %v, want no error", name, err)
	}
	return response
}

// check sends a request and compares the answer with the file, byte for byte.
func (s *goldenServer) check(t *testing.T, name string) {
	t.Helper()
	s.checkWith(t, name, nil, false)
}

func (s *goldenServer) checkWith(t *testing.T, name string, tail []byte, halfClose bool) {
	t.Helper()
	compareGolden(t, name+".response", fixVolatile(t, name, s.exchange(t, name, tail, halfClose)))
}

var (
	dateHeader = regexp.MustCompile(`\r\nDate: ([^\r]*)`)
	ageNumber  = regexp.MustCompile(`"as_of_ms":(-?[0-9]+)`)
	goType     = regexp.MustCompile(`Go struct field ([A-Za-z]+)\.`)
)

// fixVolatile checks the parts of an answer that vary and replaces them.
func fixVolatile(t *testing.T, name string, response []byte) []byte {
	t.Helper()
	head, body, _ := bytes.Cut(response, []byte("\r\n\r\n"))
	if found := dateHeader.FindSubmatchIndex(head); found != nil {
		date, err := http.ParseTime(string(head[found[2]:found[3]]))
		if age := time.Since(date); err != nil || age < 0 || age > time.Minute {
			t.Errorf("%s: Date: got %q (%v), want now", name, head[found[2]:found[3]], err)
		}
		head = slices.Replace(slices.Clone(head), found[2], found[3], []byte(fixedDate)...)
	}
	if found := ageNumber.FindSubmatchIndex(body); found != nil {
		age, err := strconv.Atoi(string(body[found[2]:found[3]]))
		if err != nil || age < fixedAge || age > maxAge {
			t.Errorf("%s: as_of_ms: got %s, want %d to %d", name, body[found[2]:found[3]], fixedAge, maxAge)
		}
		body = slices.Replace(slices.Clone(body), found[2], found[3], []byte(strconv.Itoa(fixedAge))...)
	}
	if found := goType.FindSubmatchIndex(body); found != nil {
		length := fmt.Appendf(nil, "\r\nContent-Length: %d\r\n", len(body))
		if !bytes.Contains(head, length) {
			t.Errorf("%s: got %q, want Content-Length of %d", name, head, len(body))
		}
		body = slices.Replace(slices.Clone(body), found[2], found[3], []byte(fixedType)...)
		head = bytes.Replace(head, length, fmt.Appendf(nil, "\r\nContent-Length: %d\r\n", len(body)), 1)
	}
	return slices.Concat(head, []byte("\r\n\r\n"), body)
}

func readGolden(t *testing.T, file string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(goldenDirectory, file))
	if err != nil {
		t.Fatalf("%s: got %v, want no error", file, err)
	}
	return content
}

func compareGolden(t *testing.T, file string, got []byte) {
	t.Helper()
	if want := readGolden(t, file); !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%q\nwant\n%q", file, got, want)
	}
}

// goldenHeartbeats are the calls of endpoints that are answered 200, 400, 408 or 413 by their bodies alone.
var goldenHeartbeats = []struct {
	name      string
	taken     bool
	tail      []byte
	halfClose bool
}{
	{name: "heartbeat-all-fields", taken: true},
	{name: "heartbeat-draining", taken: true},
	{name: "heartbeat-required-fields-only", taken: true},
	{name: "heartbeat-escaped-id", taken: true},
	{name: "heartbeat-not-json"},
	{name: "heartbeat-empty"},
	{name: "heartbeat-no-backend"},
	{name: "heartbeat-no-port"},
	{name: "heartbeat-no-host"},
	{name: "heartbeat-port-out-of-range"},
	{name: "heartbeat-unknown-state"},
	{name: "heartbeat-negative-slots"},
	{name: "heartbeat-negative-cold"},
	{name: "heartbeat-cold-over-an-hour"},
	{name: "heartbeat-seq-not-a-number"},
	{name: "heartbeat-model-name-not-a-text"},
	{name: "heartbeat-shorter-than-announced", halfClose: true},
	{name: "heartbeat-too-large", tail: bytes.Repeat([]byte(" "), 256<<10)},
}

// TestGoldenHeartbeats: each body is answered as ever, and what is taken of it reaches the registry as ever.
func TestGoldenHeartbeats(t *testing.T) {
	s := startGoldenServer(t)
	for _, call := range goldenHeartbeats {
		t.Run(call.name, func(t *testing.T) {
			s.instances.heartbeats = nil
			s.checkWith(t, call.name, call.tail, call.halfClose)
			if !call.taken {
				if len(s.instances.heartbeats) != 0 {
					t.Errorf("registry: got %+v, want nothing", s.instances.heartbeats)
				}
				return
			}
			if len(s.instances.heartbeats) != 1 {
				t.Fatalf("registry: got %d heartbeats, want 1", len(s.instances.heartbeats))
			}
			compareGolden(t, call.name+".endpoint", encodeEndpoint(t, &s.instances.heartbeats[0]))
		})
	}
}

func encodeEndpoint(t *testing.T, endpoint *protocol.Endpoint) []byte {
	t.Helper()
	encoded, err := cbor.Marshal(endpoint)
	if err != nil {
		t.Fatalf("encode: got %v, want no error", err)
	}
	return []byte(hex.EncodeToString(encoded) + "\n")
}

// TestGoldenHeartbeatContents reads the file of the endpoint: it has in it what the request says.
func TestGoldenHeartbeatContents(t *testing.T) {
	encoded, err := hex.DecodeString(strings.TrimSpace(string(readGolden(t, "heartbeat-all-fields.endpoint"))))
	if err != nil {
		t.Fatalf("hex: got %v, want no error", err)
	}
	var got map[int]any
	if err := cbor.Unmarshal(encoded, &got); err != nil {
		t.Fatalf("cbor: got %v, want no error", err)
	}
	want := map[int]any{
		1: "i-7f3a91c2", 2: "huvo11a", 3: "10.128.0.9:8080", 4: "vantaa-a", 5: "v1", 6: uint64(64), 7: uint64(0),
		8: uint64(4), 9: uint64(1500500 * time.Microsecond), 10: []any{
			map[any]any{uint64(1): "daka510000", uint64(2): uint64(3), uint64(3): []any{"a1", "a7"}},
			map[any]any{uint64(1): "rada7437b5", uint64(2): uint64(1)},
		},
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestGoldenInstancesThatAreNotAnswered: the registry's error decides.
func TestGoldenInstancesThatAreNotAnswered(t *testing.T) {
	s := startGoldenServer(t)
	for suffix, err := range map[string]error{
		"-isolated": host.ErrRejected, "-stopping": host.ErrStopped, "-unanswered": context.DeadlineExceeded,
	} {
		s.instances.err = err
		s.check(t, "heartbeat"+suffix)
		s.check(t, "delete"+suffix)
	}
}

func TestGoldenDelete(t *testing.T) {
	s := startGoldenServer(t)
	s.check(t, "delete")
	if want := []string{"i-7f3a91c2"}; !slices.Equal(s.instances.deregisters, want) {
		t.Errorf("registry: got %q, want %q", s.instances.deregisters, want)
	}
}

// goldenChanges are sent to one configuration, in this order.
var goldenChanges = []string{
	"config-01-get-before-the-first",
	"config-02-put-without-if-match",
	"config-03-put-if-match-not-a-number",
	"config-04-put-if-match-negative",
	"config-05-put-not-json",
	"config-06-put-not-an-object",
	"config-07-put-unknown-service",
	"config-08-put-shared-prefix",
	"config-09-put-weights-sum-to-0",
	"config-10-put-timeout-0",
	"config-11-put-shared-key",
	"config-12-put-two-faults",
	"config-13-put-the-first",
	"config-14-put-the-first-again",
	"config-15-get-the-first",
	"config-16-put-version-mismatch",
	"config-17-put-generation-not-above",
	"config-18-put-quoted-if-match",
	"config-19-put-weak-if-match",
	"config-20-patch",
	"config-21-patch-again",
	"config-22-patch-version-mismatch",
	"config-23-patch-invalid",
	"config-24-patch-not-json",
	"config-25-get-after-the-patch",
	"config-26-history",
}

func TestGoldenConfiguration(t *testing.T) {
	s := startGoldenServer(t)
	for _, name := range goldenChanges {
		t.Run(name, func(t *testing.T) { s.check(t, name) })
	}
}

// TestGoldenUndecidedChanges: the chain does not answer in time.
func TestGoldenUndecidedChanges(t *testing.T) {
	s := startGoldenServer(t)
	s.double.SetStalled(true)
	s.check(t, "config-put-undecided")
	s.check(t, "config-patch-undecided")
	s.check(t, "config-get-unknown")
}

// TestGoldenForgottenChange sends the first change again after so many others that the state machine has forgotten it.
func TestGoldenForgottenChange(t *testing.T) {
	s := startGoldenServer(t)
	propose := func(method string, base int64, body []byte) {
		t.Helper()
		command, err := state.NewCommand(method, base, body)
		if err != nil {
			t.Fatalf("command: got %v, want no error", err)
		}
		if _, err := s.double.Propose(t.Context(), command); err != nil {
			t.Fatalf("propose: got %v, want no error", err)
		}
	}
	propose(http.MethodPut, 0, []byte(`{"generation":1,"routes":[],"services":[]}`))
	for generation := int64(1); generation <= 4100; generation++ {
		propose(http.MethodPatch, generation, fmt.Appendf(nil, `{"generation":%d}`, generation+1))
	}
	s.check(t, "config-forgotten")
}

func TestGoldenConfigurationBodies(t *testing.T) {
	s := startGoldenServer(t)
	s.checkWith(t, "config-put-shorter-than-announced", nil, true)
	s.check(t, "config-put-too-large")
	const chunk = 4<<20 + 512<<10
	s.checkWith(t, "config-put-too-large-in-chunks",
		slices.Concat(fmt.Appendf(nil, "%x\r\n", chunk), bytes.Repeat([]byte(" "), chunk), []byte("\r\n0\r\n\r\n")), false)
}

// blockedConfigurations keeps changes until they are released.
type blockedConfigurations struct {
	api.Configurations
	entered chan struct{}
	release chan struct{}
}

func (b *blockedConfigurations) Change(context.Context, string, int64, []byte) (api.ChangeResult, error) {
	b.entered <- struct{}{}
	<-b.release
	return api.ChangeResult{}, nil
}

// TestGoldenLargeChangesInFlight: with two large changes in flight, a third is answered 503.
func TestGoldenLargeChangesInFlight(t *testing.T) {
	blocked := &blockedConfigurations{entered: make(chan struct{}, 2), release: make(chan struct{})}
	s := (&goldenServer{instances: &goldenInstances{}}).serve(t, blocked, nil)
	body := []byte(`"` + strings.Repeat("x", 256<<10) + `"`)
	answered := make(chan error, 2)
	for range 2 {
		go func() {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+s.address+"/-/config",
				bytes.NewReader(body))
			if err != nil {
				answered <- err
				return
			}
			request.Header.Set("If-Match", "0")
			response, err := http.DefaultClient.Do(request)
			if err == nil {
				err = response.Body.Close()
			}
			answered <- err
		}()
	}
	<-blocked.entered
	<-blocked.entered
	s.check(t, "config-put-others-in-flight")
	close(blocked.release)
	for range 2 {
		if err := <-answered; err != nil {
			t.Errorf("large change: got %v, want no error", err)
		}
	}
}

// goldenEndpoints has every state and every field.
var goldenEndpoints = []protocol.Endpoint{
	{
		ID: "i-4", Service: "wuno96b", Address: "10.128.0.12:8080", Zone: "oulu-b", SoftwareVersion: "v9", Slots: 7,
		State: 3, Sequence: math.MaxUint64,
	},
	{
		ID: "i-2", Service: "huvo11a", Address: "10.128.0.10:8080", Zone: "vantaa-b", SoftwareVersion: "v2", Slots: 32,
		State: 1, Sequence: 12, Models: []protocol.LoadedModel{{Name: "rada7437b5", Generation: 5}},
	},
	{
		ID: "i-1", Service: "huvo11a", Address: "10.128.0.9:8080", Zone: "vantaa-a", SoftwareVersion: "v1", Slots: 64,
		State: 0, Sequence: 4, WarmUpRemaining: 1500500 * time.Microsecond,
		Models: []protocol.LoadedModel{{Name: "daka510000", Generation: 3, Adapters: []string{"a1", "a7"}}},
		Loading: []protocol.ModelLoad{
			{Model: "rada7437b5", Remaining: 6 * time.Second},
			{Model: "daka510000", Adapter: "a3", Remaining: 66 * time.Millisecond},
			{Model: "daka510000", Unload: true},
		},
	},
	{
		ID: "i-3", Service: "huvo11a", Address: "10.128.0.11:8080", Zone: "vantaa-c", SoftwareVersion: "v3", Slots: 16,
		State: 2, Sequence: 9, Models: []protocol.LoadedModel{{Name: "daka510000", Generation: 2, Adapters: []string{}}},
	},
}

// TestGoldenTables: the tables for people.
func TestGoldenTables(t *testing.T) {
	s := startGoldenServer(t)
	for _, table := range []string{"endpoints", "models", "history"} {
		s.check(t, table+"-empty")
	}
	s.check(t, "members")
	s.instances.endpoints = goldenEndpoints
	command, err := state.NewCommand(http.MethodPut, 0, []byte(`{"generation":7,"routes":[],"services":[]}`))
	if err != nil {
		t.Fatalf("command: got %v, want no error", err)
	}
	if _, err := s.double.Propose(t.Context(), command); err != nil {
		t.Fatalf("propose: got %v, want no error", err)
	}
	for _, table := range []string{"endpoints", "models", "history"} {
		s.check(t, table)
	}
	s.instances.err = context.DeadlineExceeded
	s.check(t, "endpoints-unanswered")
	s.check(t, "models-unanswered")
	s.instances.noContact = true
	for _, table := range []string{"endpoints", "models", "history"} {
		s.check(t, table+"-before-contact")
	}
}

// TestGoldenRequestsOutsideTheAPI: what the server answers by itself.
func TestGoldenRequestsOutsideTheAPI(t *testing.T) {
	s := startGoldenServer(t)
	for _, name := range []string{
		"instances-wrong-method", "config-wrong-method", "unknown-path", "header-too-large", "not-http",
	} {
		s.check(t, name)
	}
	unencodable := (&goldenServer{instances: &goldenInstances{}}).serve(t, nil, func() any { return math.NaN() })
	unencodable.check(t, "members-not-encodable")
}

// TestGoldenFilesAreAllUsed: a file without a test proves nothing.
func TestGoldenFilesAreAllUsed(t *testing.T) {
	used := make(map[string]bool)
	use := func(names ...string) {
		for _, name := range names {
			used[name+".request"], used[name+".response"] = true, true
		}
	}
	for _, call := range goldenHeartbeats {
		use(call.name)
		if call.taken {
			used[call.name+".endpoint"] = true
		}
	}
	use(goldenChanges...)
	use("heartbeat-isolated", "heartbeat-stopping", "heartbeat-unanswered", "delete", "delete-isolated",
		"delete-stopping", "delete-unanswered", "config-put-undecided", "config-patch-undecided", "config-get-unknown",
		"config-forgotten", "config-put-shorter-than-announced", "config-put-too-large",
		"config-put-too-large-in-chunks", "config-put-others-in-flight", "endpoints", "models", "history",
		"endpoints-empty", "models-empty", "history-empty", "members", "endpoints-unanswered", "models-unanswered",
		"endpoints-before-contact", "models-before-contact", "history-before-contact", "instances-wrong-method",
		"config-wrong-method", "unknown-path", "header-too-large", "not-http", "members-not-encodable")
	files, err := os.ReadDir(goldenDirectory)
	if err != nil {
		t.Fatalf("directory: got %v, want no error", err)
	}
	for _, file := range files {
		if !used[file.Name()] {
			t.Errorf("%s: got no test that uses it, want one", file.Name())
		}
		delete(used, file.Name())
	}
	for name := range used {
		t.Errorf("%s: got no such file, want one", name)
	}
}
