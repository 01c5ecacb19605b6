package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"raventrestle/internal/control/host"
	"raventrestle/internal/protocol"
)

var errUnavailable = errors.New("unavailable")

// fakeControlPlane stands in for the registry and the configuration.
type fakeControlPlane struct {
	err         error // of each call that needs other instances
	result      ChangeResult
	changes     int
	heartbeats  []protocol.Endpoint
	confirmedAt time.Time
}

func (f *fakeControlPlane) Change(context.Context, string, int64, []byte) (ChangeResult, error) {
	f.changes++
	return f.result, f.err
}

func (f *fakeControlPlane) Read(context.Context) (int64, []byte, error) {
	return 7, []byte(`{"generation":7}`), f.err
}

func (f *fakeControlPlane) History() []VersionView                   { return []VersionView{{Generation: 7}} }
func (f *fakeControlPlane) ConfirmedAt() time.Time                   { return f.confirmedAt }
func (f *fakeControlPlane) Deregister(context.Context, string) error { return f.err }

func (f *fakeControlPlane) Heartbeat(_ context.Context, endpoint protocol.Endpoint) error {
	f.heartbeats = append(f.heartbeats, endpoint)
	return f.err
}

func (f *fakeControlPlane) quotas(context.Context) (QuotaView, error) {
	return QuotaView{
		AsOfMS: 5, Sequence: 9, Shares: 60, Holders: []HolderView{{Identity: "a", Control: "10.0.0.1:80", Live: true, Shares: 60}},
		Instance: "a", Usable: 1, Tenants: []TenantQuotaView{{Tenant: "t", RatePerSecond: 100, Part: 900, Issued: 40}},
	}, f.err
}

func (f *fakeControlPlane) View(context.Context) (host.View, error) {
	return host.View{Endpoints: []protocol.Endpoint{{ID: "i-1", Service: "b"}}}, f.err
}

// serve answers a request that has If-Match: 5.
func (f *fakeControlPlane) serve(t *testing.T, method, path string, body io.Reader) *httptest.ResponseRecorder {
	t.Helper()
	request := httptest.NewRequestWithContext(t.Context(), method, path, body)
	request.Header.Set("If-Match", "5")
	return f.serveRequest(t, request)
}

func (f *fakeControlPlane) serveRequest(t *testing.T, request *http.Request) *httptest.ResponseRecorder {
	t.Helper()
	status := func() any { return map[string]int{"epoch": 1} }
	response := httptest.NewRecorder()
	New(f, f, status, f.quotas).Handler().ServeHTTP(response, request)
	return response
}

// wantStatus checks a status, and that 503 says when to come back.
func wantStatus(t *testing.T, request string, response *httptest.ResponseRecorder, want int) {
	t.Helper()
	if response.Code != want {
		t.Errorf("%s: got %d %s, want %d", request, response.Code, response.Body, want)
	}
	if want == http.StatusServiceUnavailable && response.Header().Get("Retry-After") == "" {
		t.Errorf("%s: got no Retry-After, want one", request)
	}
}

// brokenBody ends with an error before it is complete.
type brokenBody struct {
	start io.Reader
	err   error
}

func (b brokenBody) Read(to []byte) (int, error) {
	if n, err := b.start.Read(to); err == nil {
		return n, nil
	}
	return 0, b.err
}

const drainingHeartbeat = `{"backend":"b","address":"10.0.0.9:8080","slots":4,"state":"draining","seq":4,"remaining_ms":1500}`

// TestIncompleteBodyIsNotRejected: the operator ends at once on 400, and nothing was decided.
func TestIncompleteBodyIsNotRejected(t *testing.T) {
	requests := [][2]string{
		{http.MethodPut, "/-/config"}, {http.MethodPatch, "/-/config"}, {http.MethodPut, "/-/instances/i"},
	}
	causes := []error{io.ErrUnexpectedEOF, os.ErrDeadlineExceeded, errUnavailable}
	for _, cause := range causes {
		for _, request := range requests {
			for _, start := range []string{"", `{"generation":9`, drainingHeartbeat} {
				f := &fakeControlPlane{}
				response := f.serve(t, request[0], request[1], brokenBody{start: strings.NewReader(start), err: cause})
				name := strings.Join(request[:], " ") + " with " + cause.Error() + " after " + start
				wantStatus(t, name, response, http.StatusRequestTimeout)
				if f.changes+len(f.heartbeats) != 0 {
					t.Errorf("%s: got %d changes and %d heartbeats, want none", name, f.changes, len(f.heartbeats))
				}
			}
		}
	}
}

// TestBodyShorterThanAnnouncedIsIncomplete: its connection broke.
func TestBodyShorterThanAnnouncedIsIncomplete(t *testing.T) {
	f := &fakeControlPlane{}
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPut, "/-/config", strings.NewReader("{}"))
	request.ContentLength = 100
	request.Header.Set("If-Match", "5")
	wantStatus(t, "PUT /-/config", f.serveRequest(t, request), http.StatusRequestTimeout)
	if f.changes != 0 {
		t.Errorf("changes: got %d, want 0", f.changes)
	}
}

// TestCompleteBodyThatDoesNotParseIsRejected: sending it again helps nobody.
func TestCompleteBodyThatDoesNotParseIsRejected(t *testing.T) {
	for _, path := range []string{"/-/config", "/-/instances/i"} {
		f := &fakeControlPlane{}
		response := f.serve(t, http.MethodPut, path, strings.NewReader(`{"generation":`))
		wantStatus(t, "PUT "+path, response, http.StatusBadRequest)
		if f.changes != 0 {
			t.Errorf("PUT %s: got %d changes, want 0", path, f.changes)
		}
	}
}

// TestOnlyDecidedChangesAreRejected: 412 and 400 for the content say what the chain decided; all else is undecided.
func TestOnlyDecidedChangesAreRejected(t *testing.T) {
	cases := []struct {
		result ChangeResult
		err    error
		want   int
	}{
		{ChangeResult{Kind: Accepted, Generation: 9}, nil, http.StatusOK},
		{ChangeResult{Kind: VersionMismatch, Generation: 9}, nil, http.StatusPreconditionFailed},
		{ChangeResult{Kind: Rejected, Reason: "route r"}, nil, http.StatusBadRequest},
		{ChangeResult{}, errUnavailable, http.StatusServiceUnavailable},
		{ChangeResult{Kind: VersionMismatch, Generation: 9}, errUnavailable, http.StatusServiceUnavailable},
		{ChangeResult{Kind: Rejected, Reason: "route r"}, context.DeadlineExceeded, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		for _, method := range []string{http.MethodPut, http.MethodPatch} {
			f := &fakeControlPlane{result: c.result, err: c.err}
			response := f.serve(t, method, "/-/config", strings.NewReader(`{"generation":9}`))
			wantStatus(t, method, response, c.want)
			if f.changes != 1 {
				t.Errorf("%s, %+v: got %d changes, want 1", method, c, f.changes)
			}
		}
	}
}

// TestTablesStateTheirAge: an instance that is partitioned says since when, and one that has nothing to show says so.
func TestTablesStateTheirAge(t *testing.T) {
	for _, path := range []string{"/-/history", "/-/endpoints", "/-/models"} {
		f := &fakeControlPlane{}
		wantStatus(t, path+" before any contact", f.serve(t, http.MethodGet, path, nil), http.StatusServiceUnavailable)
		f.confirmedAt = time.Now().Add(-21 * time.Second)
		response := f.serve(t, http.MethodGet, path, nil)
		var table struct {
			AgeMS *int64 `json:"as_of_ms"`
		}
		if err := json.Unmarshal(response.Body.Bytes(), &table); err != nil || response.Code != http.StatusOK {
			t.Fatalf("%s: got %d %s (%v), want 200 with JSON", path, response.Code, response.Body, err)
		}
		if table.AgeMS == nil || *table.AgeMS < 21_000 || *table.AgeMS > 31_000 {
			t.Errorf("%s with a contact of 21 s ago: got %s, want as_of_ms of 21000 to 31000", path, response.Body)
		}
	}
}

func TestMembersAreShownWithoutContact(t *testing.T) {
	f := &fakeControlPlane{err: errUnavailable}
	wantStatus(t, "GET /-/members", f.serve(t, http.MethodGet, "/-/members", nil), http.StatusOK)
}

// TestNewestVersionIsNotGuessed: without the chain's answer it is not known.
func TestNewestVersionIsNotGuessed(t *testing.T) {
	f := &fakeControlPlane{err: errUnavailable, confirmedAt: time.Now()}
	wantStatus(t, "GET /-/config", f.serve(t, http.MethodGet, "/-/config", nil), http.StatusServiceUnavailable)
}

// TestDrainingHeartbeatWithUnknownFieldsIsAccepted: an endpoint may report more than is read here.
func TestDrainingHeartbeatWithUnknownFieldsIsAccepted(t *testing.T) {
	f := &fakeControlPlane{}
	response := f.serve(t, http.MethodPut, "/-/instances/i-1", strings.NewReader(drainingHeartbeat))
	wantStatus(t, "PUT", response, http.StatusOK)
	if len(f.heartbeats) != 1 || f.heartbeats[0].State != protocol.Draining || f.heartbeats[0].Sequence != 4 {
		t.Errorf("heartbeats: got %+v, want one that is draining with sequence 4", f.heartbeats)
	}
	f.err = errUnavailable
	for _, method := range []string{http.MethodPut, http.MethodDelete} {
		response = f.serve(t, method, "/-/instances/i-1", strings.NewReader(drainingHeartbeat))
		wantStatus(t, method+" that is not acknowledged", response, http.StatusServiceUnavailable)
	}
}

// An id that is too long is refused by name, because the end of an endpoint is kept in the replicated state; the longest
// one is accepted.
func TestEndpointIDsAreBounded(t *testing.T) {
	longest := strings.Repeat("i", maxEndpointIDBytes)
	for id, want := range map[string]int{longest: http.StatusOK, longest + "i": http.StatusBadRequest} {
		for _, method := range []string{http.MethodPut, http.MethodDelete} {
			f := &fakeControlPlane{}
			response := f.serve(t, method, "/-/instances/"+id, strings.NewReader(drainingHeartbeat))
			wantStatus(t, fmt.Sprintf("%s with an id of %d bytes", method, len(id)), response, want)
			if want == http.StatusBadRequest && !strings.Contains(response.Body.String(), "id: ") {
				t.Errorf("%s: got %q, want the field named", method, response.Body)
			}
		}
	}
}

// TestQuotaKeepsItsKeys pins what tools read, and that a stopping instance answers 503.
func TestQuotaKeepsItsKeys(t *testing.T) {
	f := &fakeControlPlane{}
	response := f.serve(t, http.MethodGet, "/-/quota", nil)
	want := `{"as_of_ms":5,"sequence":9,"shares":60,"holders":[{"identity":"a","control":"10.0.0.1:80","live":true,"shares":60}],` +
		`"instance":"a","usable":1,"tenants":[{"tenant":"t","rate_per_s":100,"burst":0,"allowance":0,"part":900,"issued":40,` +
		`"granted":0,"denied":0,"waiting":0}]}`
	if response.Code != http.StatusOK || response.Body.String() != want {
		t.Errorf("got %d %s, want 200 %s", response.Code, response.Body, want)
	}
	f.err = errUnavailable
	wantStatus(t, "GET /-/quota", f.serve(t, http.MethodGet, "/-/quota", nil), http.StatusServiceUnavailable)
}
