package roles

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"raventrestle/internal/control/placer"
	"raventrestle/internal/protocol"
)

// The files in testdata/golden were written by build 73ca247, before its identifiers were renamed. They contain what is
// sent to an endpoint, byte for byte, and how its responses are interpreted. The names in them are those of the
// operators' page PROTOCOL.md. No test writes these files.

func readGolden(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// rawEndpoint sends the given bytes as the response on each connection, and passes on the bytes of the requests.
func rawEndpoint(t *testing.T, response string) (address string, requests <-chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 16)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			received <- serveRaw(connection, response)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return listener.Addr().String(), received
}

func serveRaw(connection net.Conn, response string) string {
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(testTimeout))
	var raw bytes.Buffer
	request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(connection, &raw)))
	if err != nil {
		return "unreadable: " + err.Error()
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return "unreadable body: " + err.Error()
	}
	if _, err := connection.Write([]byte(response)); err != nil {
		return "not responded: " + err.Error()
	}
	return raw.String()
}

const acceptedResponse = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// goldenOrders returns orders in which each field has a different value, and orders without each optional field.
func goldenOrders() map[string]placer.Order {
	revision, zero := uint64(17), uint64(0)
	return map[string]placer.Order{
		"load":         {ID: 1, Endpoint: "i-101", Model: "model-102"},
		"load-adapter": {ID: 2, Endpoint: "i-201", Model: "model-202", Adapter: "adapter-203", Revision: &revision},
		"load-first":   {ID: 3, Endpoint: "i-301", Model: "model-302", Revision: &zero},
		"unload":       {ID: 4, Endpoint: "i-401", Model: "model-402", Unload: true},
		"unload-all":   {ID: 5, Endpoint: "i-501", Model: "model-502", Adapter: "adapter-503", Unload: true, Revision: &revision},
	}
}

// TestGoldenOrders compares all bytes of the request for each order. ADDRESS in the files stands for the endpoint's
// address.
func TestGoldenOrders(t *testing.T) {
	address, requests := rawEndpoint(t, acceptedResponse)
	sender := NewEndpointClient("node-601", lease, leaseAlwaysHeld)
	for name, order := range goldenOrders() {
		order.Address = address
		outcome, err := sender.SendOrder(t.Context(), 1<<40+602, order)
		if err != nil || outcome != placer.Accepted {
			t.Errorf("%s: %v, %v, want it accepted", name, outcome, err)
			continue
		}
		got := strings.ReplaceAll(<-requests, address, "ADDRESS")
		if want := readGolden(t, "order-"+name+".http"); got != want {
			t.Errorf("%s: %s", name, cmp.Diff(want, got))
		}
	}
}

// TestGoldenReportRequest compares all bytes of the request for an endpoint's report.
func TestGoldenReportRequest(t *testing.T) {
	address, requests := rawEndpoint(t, readGolden(t, "report.http"))
	if _, err := NewEndpointClient("node-601", lease, leaseAlwaysHeld).Inspect(t.Context(), 7, "i-701", address); err != nil {
		t.Fatal(err)
	}
	if got, want := strings.ReplaceAll(<-requests, address, "ADDRESS"), readGolden(t, "report-request.http"); got != want {
		t.Error(cmp.Diff(want, got))
	}
}

// TestGoldenReport decodes a stored response with every field that PROTOCOL.md lists.
func TestGoldenReport(t *testing.T) {
	address, _ := rawEndpoint(t, readGolden(t, "report.http"))
	got, err := NewEndpointClient("node-601", lease, leaseAlwaysHeld).Inspect(t.Context(), 7, "i-701", address)
	if err != nil {
		t.Fatal(err)
	}
	want := placer.Inspection{Endpoint: "i-701", Busy: true, Revision: 1<<33 + 801, Models: []protocol.LoadedModel{
		{Name: "model-802", Generation: 1<<34 + 803, Adapters: []string{"adapter-804", "adapter-805"}},
		{Name: "model-806", Generation: 807, Adapters: []string{}},
	}}
	if difference := cmp.Diff(want, got); difference != "" {
		t.Error(difference)
	}
}

// TestGoldenResponses checks the outcome of an order for each kind of response.
func TestGoldenResponses(t *testing.T) {
	outcomes := map[string]placer.Outcome{
		"accepted": placer.Accepted, "holds": placer.AlreadyApplied, "busy": placer.Busy,
		"invalid": placer.Invalid, "unknown": placer.Unknown,
	}
	for _, line := range strings.Split(strings.TrimSpace(readGolden(t, "answers.tsv")), "\n") {
		columns := strings.Split(line, "\t")
		if len(columns) != 3 {
			t.Fatalf("%q has %d columns, want 3", line, len(columns))
		}
		want, known := outcomes[columns[2]]
		if !known {
			t.Fatalf("%q names no outcome", line)
		}
		header := ""
		if columns[1] != "" {
			header = columns[1] + "\r\n"
		}
		address, _ := rawEndpoint(t, "HTTP/1.1 "+columns[0]+" X\r\n"+header+"Content-Length: 0\r\nConnection: close\r\n\r\n")
		got, err := NewEndpointClient("n", lease, leaseAlwaysHeld).SendOrder(t.Context(), 1, placer.Order{Address: address, Model: "m"})
		if err != nil || got != want {
			t.Errorf("%s %s: %v, %v, want %v", columns[0], columns[1], got, err, want)
		}
	}
}

// TestGoldenConstants compares the constants of this package with a recorded list.
func TestGoldenConstants(t *testing.T) {
	var got strings.Builder
	for _, constant := range []struct {
		meaning string
		value   any
	}{
		{"between two steps", minStepInterval},
		{"watches", statusCheckInterval},
		{"recovering after a change", recoveryWindow},
		{"batches of reports", maxReportBatches},
		{"view awaited", viewTimeout},
		{"assignment of shares awaited", assignmentTimeout},
		{"pause after placing", placerCooldownFactor},
		{"adapter takes", adapterLoadTime},
		{"unload takes", unloadTime},
		{"unknown load takes", defaultLoadTime},
		{"load failed, beyond its end", loadOverdueTimeout},
		{"reports asked at once", maxConcurrentInspections},
		{"reports asked in a step", maxInspectionsPerStep},
		{"order awaited", maxOrderTimeout},
		{"order ends before the pause by", orderMargin},
		{"bytes of an answer", maxResponseBytes},
		{"lease left for an order", leaseSafetyMargin},
		{"first epoch", initialEpoch},
		{"pause is this part of the lease", handoverDivisor},
		{"order awaited, lease 3 s", orderTimeout(3 * time.Second)},
		{"order awaited, lease 2.4 s", orderTimeout(2400 * time.Millisecond)},
		{"order awaited, lease 300 ms", orderTimeout(300 * time.Millisecond)},
	} {
		fmt.Fprintf(&got, "%s\t%v\n", constant.meaning, constant.value)
	}
	if want := readGolden(t, "constants.tsv"); got.String() != want {
		t.Error(cmp.Diff(want, got.String()))
	}
}

// TestGoldenLeadership simulates a fixed sequence of epochs and leases. It compares when each instance may act, and for how
// long certainly no instance has acted.
func TestGoldenLeadership(t *testing.T) {
	if got, want := goldenLeadership(), readGolden(t, "leadership.txt"); got != want {
		t.Error(cmp.Diff(want, got))
	}
}

func goldenLeadership() string {
	var out strings.Builder
	instances := []*Leadership{NewLeadership(lease, begin), NewLeadership(lease, begin.Add(-time.Hour))}
	steps := []struct {
		who             int
		epoch           uint64
		since, previous int // ms after begin
		from, until     int
	}{
		{0, 1, 0, -1, 0, 900},
		{0, 2, 900, 1200, 950, 2200},
		{0, 4, 2500, 2900, 2500, 9000},
		{1, 5, 9100, 9000, 9100, 12700},
		{1, 6, 12800, 13700, 12800, 14000},
		{0, 9, 14500, 14200, 14500, 19000},
		{1, 10, 19000, 20000, 19000, 23000},
		{1, 13, 24000, 24100, 24050, 29000},
	}
	at := func(ms int) time.Time {
		if ms < 0 {
			return time.Time{}
		}
		return begin.Add(time.Duration(ms) * time.Millisecond)
	}
	for _, s := range steps {
		for ms := s.from; ms <= s.until; ms += 50 {
			now := at(ms)
			output := instances[s.who].Step(now, leaderStatus(s.epoch, at(s.since), at(s.previous), at(s.until)))
			fmt.Fprintf(&out, "%d of %d at %d ms: leads %t acts %t epoch %d", s.who, s.epoch, ms, output.Leads, output.MayAct, output.Epoch)
			if output.Leads {
				fmt.Fprintf(&out, " from %v until %v quiet %v", output.ActsFrom.Sub(begin), output.LeaseExpiry.Sub(begin), output.IdleFor)
			}
			out.WriteByte('\n')
		}
	}
	return out.String()
}
