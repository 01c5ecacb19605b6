package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"raventrestle"
	"raventrestle/internal/net/nettest"
)

// rss is a process's resident memory in KB, and what of it is not of files.
func rss(t *testing.T, f *fellow) (all, own int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.process.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		for name, kb := range map[string]*int{"VmRSS:": &all, "RssAnon:": &own} {
			if rest, ok := strings.CutPrefix(line, name); ok {
				if *kb, err = strconv.Atoi(strings.Fields(rest)[0]); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	return all, own
}

// TestFleetFigures measures a fleet of real processes with the settings' own times: how long it takes until a wait that
// one was told is kept by all others, and what a member costs. It takes a minute and most of a machine:
//
//	RAVENTRESTLE_FLEET_FIGURES=32 go test -v -run TestFleetFigures ./cmd/raventrestle
func TestFleetFigures(t *testing.T) {
	n, err := strconv.Atoi(os.Getenv("RAVENTRESTLE_FLEET_FIGURES"))
	if err != nil || n < 2 || testing.Short() {
		t.Skip("RAVENTRESTLE_FLEET_FIGURES names no number of couriers")
	}
	const facts, quiet, apart = 20, 20 * time.Second, 20 * time.Millisecond
	told := make(chan time.Time, facts)
	end := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		ok := nettest.Answer(nettest.Plain(429, "X-Come-Back-Ms: 300000\r\n", ""))(c, call)
		told <- time.Now()
		return ok
	})
	var entries []string // one endpoint for each fact, in a channel of its own
	for i := range facts {
		entries = append(entries, fmt.Sprintf(`{"name":"s-%d","address":%q,"zone":"a","type":"k","group":%d,`+
			`"status":"SERVING","weight":1,"since_ms":0}`, i, end.Addr(), 100+i))
	}
	var fleet []*fellow
	var seeds []string
	start := func(name string) *fellow {
		f := newFellow(t, name, "")
		f.log = &lines{}
		conf, err := os.ReadFile(f.config)
		if err != nil {
			t.Fatal(err)
		}
		f.write(strings.Replace(string(conf), list(nil), fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[%s]}`, strings.Join(entries, ",")), 1))
		return f
	}
	for i := range n {
		f := start(fmt.Sprintf("c%02d", i))
		fleet = append(fleet, f)
		if i < 3 {
			seeds = append(seeds, strconv.Quote(f.bind))
		}
	}
	off := start("off")
	off.begin()
	began := time.Now()
	for _, f := range fleet {
		f.settings("seeds: [" + strings.Join(seeds, ", ") + "]")
		f.begin()
	}
	started := time.Now()
	for _, f := range fleet {
		f.up(n)
	}
	t.Logf("%d couriers started in %v, each lists all %v later", n, started.Sub(began).Round(time.Millisecond), time.Since(started).Round(time.Millisecond))

	traffic := func() (in, out uint64, at time.Time) {
		for _, f := range fleet {
			s := f.up(n).Fleet
			in, out = in+s.BytesIn, out+s.BytesOut
		}
		return in, out, time.Now()
	}
	rate := func(what string, in0, out0 uint64, at0 time.Time) {
		in, out, at := traffic()
		per := at.Sub(at0).Seconds() * float64(n)
		t.Logf("%s, %v: a member receives %.0f and sends %.0f bytes/s", what, at.Sub(at0).Round(time.Second), float64(in-in0)/per, float64(out-out0)/per)
	}
	memory := func(what string) {
		sum, sumOwn := 0, 0
		for _, f := range fleet {
			all, own := rss(t, f)
			sum, sumOwn = sum+all, sumOwn+own
		}
		all, own := rss(t, off)
		t.Logf("%s: resident %d KB a member, %d of them its own; the same courier with no fleet record %d and %d", what, sum/n, sumOwn/n, all, own)
	}
	in, out, at := traffic()
	<-time.After(quiet) // what a quiet fleet costs is a rate over time
	memory("quiet")
	rate("quiet", in, out, at)

	in, out, at = traffic()
	var each, all []time.Duration
	for i := range facts {
		dest, from := int64(100+i), i*7%n
		req, err := http.NewRequest("POST", "http://"+fleet[from].addr+"/free", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		for k, v := range map[string]string{
			"X-Txn":       fmt.Sprint("m", i),
			"X-Consignee": fmt.Sprint("dest=", dest), "X-Remaining": "15", "Idempotency-Key": fmt.Sprint("k", i),
		} {
			req.Header.Set(k, v)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil || res.StatusCode != 202 {
			t.Fatal(res, err)
		}
		res.Body.Close()
		t0 := nettest.Wait(t, "call", told)
		took := make([]time.Duration, n)
		var wait sync.WaitGroup
		for range 20 { // asked about as often as the others
			if _, err := off.client.Status(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		for j, f := range fleet {
			if j == from {
				continue
			}
			wait.Go(func() {
				ticks := time.NewTicker(apart)
				defer ticks.Stop()
				for range ticks.C {
					s, err := f.client.Status(t.Context())
					took[j] = time.Since(t0)
					if err != nil || took[j] > nettest.Timeout || slices.ContainsFunc(s.Courier.Channels, func(d raventrestle.DestView) bool {
						return int64(d.Dest) == dest && len(d.Targets) > 0 && d.Targets[0].WaitRemaining > 0
					}) {
						return
					}
				}
			})
		}
		wait.Wait()
		took = slices.Delete(took, from, from+1)
		each, all = append(each, took...), append(all, slices.Max(took))
	}
	rate("with facts", in, out, at)
	slices.Sort(each)
	slices.Sort(all)
	p := func(of []time.Duration, q float64) time.Duration {
		return of[min(int(q*float64(len(of))), len(of)-1)].Round(time.Millisecond)
	}
	t.Logf("a wait told to one is kept by another after: p50 %v, p99 %v, most %v", p(each, 0.5), p(each, 0.99), p(each, 1))
	t.Logf("and by all others, over %d facts: p50 %v, p99 %v", facts, p(all, 0.5), p(all, 0.99))
	memory("with facts")
	status := fleet[0].up(n).Fleet
	t.Logf("%d facts in %d bytes", status.Facts, status.FactBytes)
	if p(each, 1) > nettest.Timeout {
		t.Error("a fact did not come")
	}
}
