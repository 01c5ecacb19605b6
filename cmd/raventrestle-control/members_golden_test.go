package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/api"
	"raventrestle/internal/control/replicatest"
	"raventrestle/internal/control/state"
)

// The files in testdata/golden/members are GET /-/members as build 73ca247 answers it. lease_ms and as_of_ms vary with the
// clock; they are checked and then replaced by the numbers below.
const (
	goldenLease  = 20_000 // ms; as much less is shown as a slow machine takes
	goldenAge    = 21_000 // ms; as much more is shown
	goldenMargin = 9_000  // ms, of both
)

func goldenStatus() replica.Status {
	member := func(name, zone string) replica.Member {
		return replica.Member{Identity: "id-" + name, Address: name + ":7500", Tag: name + ":8080", Zone: zone}
	}
	a, b, c, d := member("a", "z1"), member("b", "z2"), member("c", "z3"), member("d", "z1")
	status := replica.Status{Self: b, CommitIndex: 41, LiveMembers: []replica.Member{b, d, a}, IsLeader: true}
	status.View.Epoch = 7
	status.View.Chain = []replica.Member{b, a}
	status.View.Voters = []replica.Member{a, b, c}
	return status
}

func goldenConfiguration(t *testing.T, double *replicatest.Double) {
	t.Helper()
	command, err := state.NewCommand(http.MethodPut, 0, []byte(`{"generation":9,"routes":[],"services":[]}`))
	if err != nil {
		t.Fatalf("command: got %v, want no error", err)
	}
	if _, err := double.Propose(t.Context(), command); err != nil {
		t.Fatalf("propose: got %v, want no error", err)
	}
}

// fixNumber checks a number that varies and replaces it by the expected one.
func fixNumber(t *testing.T, body []byte, field string, low, high, fixed int) []byte {
	t.Helper()
	pattern := regexp.MustCompile(`"` + field + `":(-?[0-9]+)`)
	return pattern.ReplaceAllFunc(body, func(found []byte) []byte {
		number, err := strconv.Atoi(string(pattern.FindSubmatch(found)[1]))
		if err != nil || number < low || number > high {
			t.Errorf("got %s, want %d to %d", found, low, high)
		}
		return []byte(`"` + field + `":` + strconv.Itoa(fixed))
	})
}

// TestGoldenMembers: the leader of a group, a follower without any contact, and an instance that knows nothing yet.
func TestGoldenMembers(t *testing.T) {
	withContact := func() time.Time { return time.Now().Add(-goldenAge * time.Millisecond) }
	without := func() time.Time { return time.Time{} }
	follower := goldenStatus()
	follower.Self, follower.IsLeader = follower.View.Chain[1], false
	cases := []struct {
		name        string
		status      replica.Status
		confirmedAt func() time.Time
	}{
		{"leader", goldenStatus(), withContact},
		{"follower", follower, without},
		{"alone", replica.Status{}, without},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.status.LeaseExpiry = time.Now().Add(goldenLease * time.Millisecond)
			machine := state.New()
			double := replicatest.New(machine, c.status)
			if c.name != "alone" {
				goldenConfiguration(t, double)
				double.SetStatus(c.status)
			}
			answer := httptest.NewRecorder()
			api.New(nil, nil, statusView(double, machine, c.confirmedAt), nil).Handler().
				ServeHTTP(answer, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/-/members", nil))
			if answer.Code != http.StatusOK {
				t.Fatalf("got %d %s, want 200", answer.Code, answer.Body)
			}
			body := fixNumber(t, answer.Body.Bytes(), "lease_ms", goldenLease-goldenMargin, goldenLease, goldenLease)
			body = fixNumber(t, body, "as_of_ms", goldenAge, goldenAge+goldenMargin, goldenAge)
			compareMembers(t, c.name, body)
		})
	}
}

func compareMembers(t *testing.T, name string, got []byte) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", "golden", "members", name+".json"))
	if err != nil {
		t.Fatalf("got %v, want no error", err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	var view groupView // what the tool of this program reads
	if err := json.Unmarshal(want, &view); err != nil {
		t.Fatalf("read: got %v, want no error", err)
	}
	again, err := json.Marshal(view)
	if err != nil || !bytes.Equal(again, want) {
		t.Errorf("read and written again: got\n%s (%v)\nwant\n%s", again, err, want)
	}
}
