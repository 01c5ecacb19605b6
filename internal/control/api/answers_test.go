package api

import (
	"context"
	"encoding/json"
	"errors"
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

var errNotNow = errors.New("not now")

// stand is what the interface works with in these tests.
type stand struct {
	err         error // of whatever needs the others
	result      ChangeResult
	changes     int
	beats       []protocol.Endpoint
	confirmedAt time.Time
}

func (s *stand) Change(context.Context, string, int64, []byte) (ChangeResult, error) {
	s.changes++
	return s.result, s.err
}

func (s *stand) Read(context.Context) (int64, []byte, error) {
	return 7, []byte(`{"generation":7}`), s.err
}
func (s *stand) History() []VersionView                   { return []VersionView{{Generation: 7}} }
func (s *stand) ConfirmedAt() time.Time                   { return s.confirmedAt }
func (s *stand) Deregister(context.Context, string) error { return s.err }

func (s *stand) Heartbeat(_ context.Context, endpoint protocol.Endpoint) error {
	s.beats = append(s.beats, endpoint)
	return s.err
}

func (s *stand) View(context.Context) (host.View, error) {
	return host.View{Endpoints: []protocol.Endpoint{{ID: "i-1", Service: "b"}}}, s.err
}

func (s *stand) ask(t *testing.T, method, path string, body io.Reader) *httptest.ResponseRecorder {
	t.Helper()
	status := func() any { return map[string]int{"epoch": 1} }
	request := httptest.NewRequestWithContext(t.Context(), method, path, body)
	request.Header.Set("If-Match", "5")
	answer := httptest.NewRecorder()
	New(s, s, status).Handler().ServeHTTP(answer, request)
	return answer
}

// broken is a body that ends with an error before it is whole.
type broken struct {
	start io.Reader
	err   error
}

func (b broken) Read(to []byte) (int, error) {
	if n, err := b.start.Read(to); err == nil {
		return n, nil
	}
	return 0, b.err
}

const beatBody = `{"backend":"b","address":"10.0.0.9:8080","slots":4,"state":"draining","seq":4,"remaining_ms":1500}`

// TestBodyThatDidNotArriveIsNotRefused: the operator ends at once on 400, and nothing was decided.
func TestBodyThatDidNotArriveIsNotRefused(t *testing.T) {
	calls := [][2]string{{http.MethodPut, "/-/config"}, {http.MethodPatch, "/-/config"}, {http.MethodPut, "/-/instances/i"}}
	causes := []error{io.ErrUnexpectedEOF, os.ErrDeadlineExceeded, errNotNow}
	for _, cause := range causes {
		for _, call := range calls {
			for _, start := range []string{"", `{"generation":9`, beatBody} {
				s := &stand{}
				answer := s.ask(t, call[0], call[1], broken{start: strings.NewReader(start), err: cause})
				if answer.Code != http.StatusRequestTimeout || s.changes+len(s.beats) != 0 {
					t.Errorf("%v, %v after %q: %d", call, cause, start, answer.Code)
				}
			}
		}
	}
}

// TestBodyShorterThanAnnounced is one whose connection broke.
func TestBodyShorterThanAnnounced(t *testing.T) {
	s := &stand{}
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPut, "/-/config", strings.NewReader("{}"))
	request.ContentLength = 100
	request.Header.Set("If-Match", "5")
	answer := httptest.NewRecorder()
	New(s, s, nil).Handler().ServeHTTP(answer, request)
	if answer.Code != http.StatusRequestTimeout || s.changes != 0 {
		t.Errorf("%d %s", answer.Code, answer.Body)
	}
}

// TestWholeBodyThatDoesNotParseIsRefused: sending it again helps nobody.
func TestWholeBodyThatDoesNotParseIsRefused(t *testing.T) {
	for _, path := range []string{"/-/config", "/-/instances/i"} {
		s := &stand{}
		if answer := s.ask(t, http.MethodPut, path, strings.NewReader(`{"generation":`)); answer.Code != 400 || s.changes != 0 {
			t.Errorf("%s: %d %s", path, answer.Code, answer.Body)
		}
	}
}

// TestRefusalsAreDecided: 412 and 400 for the content only for what the chain decided; all else is unclear.
func TestRefusalsAreDecided(t *testing.T) {
	cases := []struct {
		result ChangeResult
		err    error
		want   int
	}{
		{ChangeResult{Kind: Accepted, Generation: 9}, nil, 200},
		{ChangeResult{Kind: VersionMismatch, Generation: 9}, nil, 412},
		{ChangeResult{Kind: Rejected, Reason: "route r"}, nil, 400},
		{ChangeResult{}, errNotNow, 503},
		{ChangeResult{Kind: VersionMismatch, Generation: 9}, errNotNow, 503},
		{ChangeResult{Kind: Rejected, Reason: "route r"}, context.DeadlineExceeded, 503},
	}
	for _, c := range cases {
		for _, method := range []string{http.MethodPut, http.MethodPatch} {
			s := &stand{result: c.result, err: c.err}
			answer := s.ask(t, method, "/-/config", strings.NewReader(`{"generation":9}`))
			if answer.Code != c.want || s.changes != 1 {
				t.Errorf("%s, %+v: %d, want %d", method, c, answer.Code, c.want)
			}
			if answer.Code == 503 && answer.Header().Get("Retry-After") == "" {
				t.Errorf("%s, %+v: no Retry-After", method, c)
			}
		}
	}
}

// TestReadsTellTheirAge: an instance that was cut off says since when, and one that knows nothing says so.
func TestReadsTellTheirAge(t *testing.T) {
	for _, path := range []string{"/-/history", "/-/endpoints", "/-/models"} {
		s := &stand{}
		answer := s.ask(t, http.MethodGet, path, nil)
		if answer.Code != 503 || answer.Header().Get("Retry-After") == "" {
			t.Errorf("%s without any contact: %d %s", path, answer.Code, answer.Body)
		}
		s.confirmedAt = time.Now().Add(-21 * time.Second)
		answer = s.ask(t, http.MethodGet, path, nil)
		var told struct {
			AsOfMS *int64 `json:"as_of_ms"`
		}
		if err := json.Unmarshal(answer.Body.Bytes(), &told); err != nil || answer.Code != 200 {
			t.Fatalf("%s: %d %s", path, answer.Code, answer.Body)
		}
		if told.AsOfMS == nil || *told.AsOfMS < 21_000 || *told.AsOfMS > 31_000 {
			t.Errorf("%s with a contact of 21 s ago: %s", path, answer.Body)
		}
	}
}

func TestMembersAreShownWithoutContact(t *testing.T) {
	s := &stand{err: errNotNow}
	if answer := s.ask(t, http.MethodGet, "/-/members", nil); answer.Code != 200 {
		t.Errorf("%d", answer.Code)
	}
}

// TestNewestVersionIsNotGuessed: without the chain's answer there is none.
func TestNewestVersionIsNotGuessed(t *testing.T) {
	s := &stand{err: errNotNow, confirmedAt: time.Now()}
	if answer := s.ask(t, http.MethodGet, "/-/config", nil); answer.Code != 503 || answer.Header().Get("Retry-After") == "" {
		t.Errorf("%d", answer.Code)
	}
}

// TestFarewellWithTimeLeft: an endpoint may tell more than is read here.
func TestFarewellWithTimeLeft(t *testing.T) {
	s := &stand{}
	answer := s.ask(t, http.MethodPut, "/-/instances/i-1", strings.NewReader(beatBody))
	if answer.Code != 200 || len(s.beats) != 1 || s.beats[0].State != protocol.Draining || s.beats[0].Sequence != 4 {
		t.Errorf("%d %s, %+v", answer.Code, answer.Body, s.beats)
	}
	s.err = errNotNow
	for _, method := range []string{http.MethodPut, http.MethodDelete} {
		answer = s.ask(t, method, "/-/instances/i-1", strings.NewReader(beatBody))
		if answer.Code != 503 || answer.Header().Get("Retry-After") == "" {
			t.Errorf("%s that is refused: %d", method, answer.Code)
		}
	}
}
