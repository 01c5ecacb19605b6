package main

import (
	"strings"
	"testing"
)

const info = `{"az":"x","balancers":1,"granularity_us":5000,"models":["k"],"failure_domains":["x"],` +
	`"classes":[{"name":"c","aim_us":1000000,"deadline_us":9000000,"effect":"free","credit":1}],` +
	`"limits":{"most_held":9},"specifics":{"call_slots":4}}`

func TestRun(t *testing.T) {
	in := `{"clock_us":1,"arrivals":[]}
{"clock_us":5,"arrivals":[["boot",0,1,` + info + `],["table",0,[["t:1",7,"Ready","k","x",1,null]]],` +
		`["directory_update",0,"disk",1,0],["ingress",0,"aa","c",null,null,9000000,null,7,0]]}
{"clock_us":9,"arrivals":[["crash_now",0],["boot",0,2,` + info + `],["directory_update",0,"disk",1,0]]}
`
	var out strings.Builder
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 3 || lines[0] != `{"cmds":[]}` || !strings.Contains(lines[1], `["attempt",0,"aa",`) ||
		strings.Contains(lines[2], "aa") {
		t.Fatalf("replies:\n%s", out.String())
	}
}

func TestRunEndsOnMalformedInput(t *testing.T) {
	var out strings.Builder
	if err := run(strings.NewReader("{\"clock_us\":1,\"arrivals\":[]}\nnonsense\n"), &out); err == nil {
		t.Fatal("no error")
	}
	if out.String() != "{\"cmds\":[]}\n" {
		t.Fatalf("replies: %q", out.String())
	}
}

// Settings that the decision module rejects are reported in the reply.
func TestBadSettings(t *testing.T) {
	var out strings.Builder
	in := `{"clock_us":1,"arrivals":[["boot",0,1,{"balancers":1}]]}`
	if err := run(strings.NewReader(in), &out); err != nil || !strings.Contains(out.String(), "internal_error") {
		t.Fatalf("%v %s", err, out.String())
	}
}
