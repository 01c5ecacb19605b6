package report

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"raventrestle/internal/emulator"
	"raventrestle/internal/lab"
	"raventrestle/internal/lab/experiment"
)

// The page has every day's table, charts with shaded troubles, and broken rules; what comes from a
// scenario's name is text, never markup.
func TestWrite(t *testing.T) {
	series, err := ReadSeries(strings.NewReader("second,taken,delivered,undeliverable,deferred,calls,callsrefused,effects,resends,n0_rss_mb\n" +
		"0,5,4,0,0,5,1,4,0,11.5\n1,6,5,1,0,7,2,5,1,12.0\n2,4,4,0,1,4,0,4,0,12.5\n"))
	if err != nil {
		t.Fatal(err)
	}
	d := &lab.Day{
		Scenario: "<b>lunch", Seed: 3, Violations: []string{"allowance: took effect 2 times"}, Latency: map[string]lab.Latency{"rate": {N: 9, P99: 77}},
		Troubles: []emulator.ChannelFault{{At: time.Second, For: time.Second}}, Restarts: []emulator.Restart{{At: time.Second}},
	}
	var out bytes.Buffer
	if err := Write(&out, "A page", []Day{{d, series}}); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	if n := strings.Count(text, "<svg"); n != 3 {
		t.Errorf("%d charts", n)
	}
	for _, want := range []string{"&lt;b&gt;lunch, seed 3", "took effect 2 times", "<td>77</td>", "#F4D9C6", "undeliverable", "n0"} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q", want)
		}
	}
	if strings.Contains(text, "<b>lunch") || strings.Contains(text, "http://") && strings.Contains(text, "src=") {
		t.Error("markup or a link to elsewhere got in")
	}
	if _, err := ReadSeries(strings.NewReader("second,taken\n0,many\n")); err == nil || !strings.Contains(err.Error(), "line 2, taken") {
		t.Error(err)
	}
}

// An experiment's page has a bar for each side, the table and the comparisons; an experiment of which
// nothing was played yet has a page too.
func TestWriteSides(t *testing.T) {
	e, err := experiment.Parse("x.cue", []byte(`about: "old <i>and</i> new"
scenarios: ["calm", "kills"]
variants: {new: {}, old: {}}
against: "old"`))
	if err != nil {
		t.Fatal(err)
	}
	r := lab.Results{}
	for seed := range uint64(3) {
		for side, f := range map[string]float64{"old": 0.5, "new": 0.75} {
			for _, s := range e.Scenarios {
				d := &lab.Day{Scenario: s, Seed: seed}
				d.Service.Score = f + 0.01*float64(seed)
				r[side] = append(r[side], d)
			}
		}
	}
	for name, r := range map[string]lab.Results{"whole": r, "nothing yet": {}} {
		var out bytes.Buffer
		if err := WriteSides(&out, e, r); err != nil {
			t.Fatal(err)
		}
		text := out.String()
		if n := strings.Count(text, "<svg"); n != 2 {
			t.Errorf("%s: %d charts", name, n)
		}
		if strings.Contains(text, "<i>and") {
			t.Errorf("%s: markup got in", name)
		}
		for _, want := range []string{"<td>0.760</td>", "new against old, all of them: 6 pairs: +0.2500, 95% between +0.2500 and +0.2500: better"} {
			if name == "whole" && !strings.Contains(strings.ReplaceAll(text, "&#43;", "+"), want) {
				t.Errorf("no %q", want)
			}
		}
	}
}
