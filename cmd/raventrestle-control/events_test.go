package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"raventrestle/internal/control/placer"
)

// TestEventsKeepTheirNamesAndKeys pins the line of each event, which operators' tools match.
func TestEventsKeepTheirNamesAndKeys(t *testing.T) {
	failure := errors.New("failure")
	order := placer.Order{Endpoint: "i-1", Model: "m", Adapter: "a1", Unload: true, Reason: "why"}
	tests := []struct {
		name   string // of the event
		record func(e *eventLog)
		want   string // without the time
	}{
		{
			"instance.started", func(e *eventLog) { e.started("n", "10.0.0.1:7500", "10.0.0.1:80", true) },
			`{"level":"info","event":"instance.started","node":"n","address":"10.0.0.1:7500","control":"10.0.0.1:80","bootstrap":true}`,
		},
		{
			"instance.stopping", func(e *eventLog) { e.stopping("terminated") },
			`{"level":"info","event":"instance.stopping","signal":"terminated"}`,
		},
		{"instance.stopped", func(e *eventLog) { e.stopped(failure) }, `{"level":"info","event":"instance.stopped","error":"failure"}`},
		{"settings.reloaded", func(e *eventLog) { e.reloaded(nil) }, `{"level":"info","event":"settings.reloaded"}`},
		{
			"settings.rejected", func(e *eventLog) { e.reloaded(failure) },
			`{"level":"warn","event":"settings.rejected","error":"failure"}`,
		},
		{
			"router.subscribed", func(e *eventLog) { e.RouterSubscribed("r", "z", 7) },
			`{"level":"info","event":"router.subscribed","router":"r","zone":"z","generation":7}`,
		},
		{
			"router.disconnected", func(e *eventLog) { e.RouterClosed("r", "slow") },
			`{"level":"info","event":"router.disconnected","router":"r","reason":"slow"}`,
		},
		{"quorum.lost", func(e *eventLog) { e.QuorumChanged(true, 1, 3) }, `{"level":"warn","event":"quorum.lost","live":1,"voters":3}`},
		{
			"quorum.regained", func(e *eventLog) { e.QuorumChanged(false, 2, 3) },
			`{"level":"warn","event":"quorum.regained","live":2,"voters":3}`,
		},
		{
			"leadership.began", func(e *eventLog) { e.LeadershipBegan(4, 1500*time.Microsecond) },
			`{"level":"info","event":"leadership.began","epoch":4,"delay":1.5}`,
		},
		{"leadership.ended", func(e *eventLog) { e.LeadershipEnded(4) }, `{"level":"info","event":"leadership.ended","epoch":4}`},
		{
			"order.completed", func(e *eventLog) { e.OrderCompleted(4, order, placer.AlreadyApplied, failure) },
			`{"level":"info","event":"order.completed","epoch":4,"endpoint":"i-1","model":"m","adapter":"a1","unload":true,` +
				`"reason":"why","outcome":"already_applied","error":"failure"}`,
		},
		{
			"quota.shares_proposed", func(e *eventLog) { e.SharesProposed(5, failure) },
			`{"level":"info","event":"quota.shares_proposed","sequence":5,"error":"failure"}`,
		},
		{
			"quota.record_failed", func(e *eventLog) { e.RecordFailed(failure) },
			`{"level":"warn","event":"quota.record_failed","error":"failure"}`,
		},
		{
			"replica.", func(e *eventLog) { e.replicaEvent("view_changed", "epoch", 4, "head", "10.0.0.1:7500") },
			`{"level":"info","event":"replica.view_changed","epoch":"4","head":"10.0.0.1:7500"}`,
		},
	}
	var names []string
	for _, test := range tests {
		names = append(names, test.name)
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			test.record(&eventLog{logger: &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &out}}})
			var got, want map[string]any
			if err := json.Unmarshal(out.Bytes(), &got); err != nil {
				t.Fatalf("got the line %s: %v, want one JSON object", out.String(), err)
			}
			if err := json.Unmarshal([]byte(test.want), &want); err != nil {
				t.Fatal(err)
			}
			delete(got, "time")
			if difference := cmp.Diff(want, got); difference != "" {
				t.Errorf("got another line than wanted (-want +got):\n%s", difference)
			}
		})
	}
	catalogue := catalogueOfEvents(t)
	slices.Sort(names)
	slices.Sort(catalogue)
	if !slices.Equal(names, catalogue) {
		t.Errorf("got tested events %q, want those of the catalogue, %q", names, catalogue)
	}
}

// catalogueOfEvents returns the values of the constants in events.go.
func catalogueOfEvents(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "events.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	values := make(map[string]bool)
	ast.Inspect(file, func(node ast.Node) bool {
		spec, isValue := node.(*ast.ValueSpec)
		if !isValue || !strings.HasPrefix(spec.Names[0].Name, "event") {
			return true
		}
		literal, isLiteral := spec.Values[0].(*ast.BasicLit)
		if !isLiteral {
			t.Errorf("constant %s: got no literal, want one", spec.Names[0].Name)
			return true
		}
		value, err := strconv.Unquote(literal.Value)
		if err != nil {
			t.Fatal(err)
		}
		values[value] = true
		return true
	})
	return slices.Collect(maps.Keys(values))
}

// TestOutcomesAreNamed pins the names of orders' outcomes in the log.
func TestOutcomesAreNamed(t *testing.T) {
	for outcome, want := range map[placer.Outcome]string{
		placer.Accepted: "accepted", placer.AlreadyApplied: "already_applied", placer.Busy: "busy",
		placer.Invalid: "invalid", placer.Unknown: "unknown",
	} {
		if got := outcomeName(outcome); got != want {
			t.Errorf("outcome %d: got %q, want %q", outcome, got, want)
		}
	}
}
