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

// rss returns a process's resident memory in KB, and the part of it that is anonymous, that is, not from files.
func rss(t *testing.T, f *fleetCourier) (all, anonymous int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.process.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		for name, kb := range map[string]*int{"VmRSS:": &all, "RssAnon:": &anonymous} {
			if rest, ok := strings.CutPrefix(line, name); ok {
				if *kb, err = strconv.Atoi(strings.Fields(rest)[0]); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	return all, anonymous
}

// TestFleetFigures measures a fleet of real processes with the default intervals: how long it takes until all couriers
// observe a wait that an endpoint requested from one of them, and the memory and traffic of a member. It takes a minute
// and most of a machine:
//
//	RAVENTRESTLE_FLEET_FIGURES=32 go test -v -run TestFleetFigures ./cmd/raventrestle
func TestFleetFigures(t *testing.T) {
	n, err := strconv.Atoi(os.Getenv("RAVENTRESTLE_FLEET_FIGURES"))
	if err != nil || n < 2 || testing.Short() {
		t.Skip("RAVENTRESTLE_FLEET_FIGURES is not set to a number of couriers")
	}
	const facts, idlePeriod, pollInterval = 20, 20 * time.Second, 20 * time.Millisecond
	rejected := make(chan time.Time, facts)
	end := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		ok := nettest.Answer(nettest.Plain(429, "X-Come-Back-Ms: 300000\r\n", ""))(c, call)
		rejected <- time.Now()
		return ok
	})
	var entries []string // one endpoint per fact, each in a channel of its own
	for i := range facts {
		entries = append(entries, fmt.Sprintf(`{"name":"s-%d","address":%q,"zone":"a","type":"k","group":%d,`+
			`"status":"SERVING","weight":1,"since_ms":0}`, i, end.Addr(), 100+i))
	}
	var fleet []*fleetCourier
	var seeds []string
	start := func(name string) *fleetCourier {
		f := newFleetCourier(t, name, "")
		f.log = &logBuffer{}
		conf, err := os.ReadFile(f.config)
		if err != nil {
			t.Fatal(err)
		}
		f.write(strings.Replace(string(conf), endpointList(nil), fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[%s]}`, strings.Join(entries, ",")), 1))
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
	off.startWithSettings()
	began := time.Now()
	for _, f := range fleet {
		f.writeSettings("seeds: [" + strings.Join(seeds, ", ") + "]")
		f.startWithSettings()
	}
	started := time.Now()
	for _, f := range fleet {
		f.awaitMembers(n)
	}
	t.Logf("%d couriers started in %v, all list all others %v later", n, started.Sub(began).Round(time.Millisecond), time.Since(started).Round(time.Millisecond))

	traffic := func() (in, out uint64, at time.Time) {
		for _, f := range fleet {
			s := f.awaitMembers(n).Fleet
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
		t.Logf("%s: resident %d KB per member, %d of them anonymous; a courier without a fleet %d and %d", what, sum/n, sumOwn/n, all, own)
	}
	in, out, at := traffic()
	<-time.After(idlePeriod) // the traffic of an idle fleet is measured as a rate over this time
	memory("idle")
	rate("idle", in, out, at)

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
		t0 := nettest.Wait(t, "call", rejected)
		took := make([]time.Duration, n)
		var wait sync.WaitGroup
		for range 20 { // queried about as often as the others, so that memory is comparable
			if _, err := off.client.Status(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		for j, f := range fleet {
			if j == from {
				continue
			}
			wait.Go(func() {
				ticks := time.NewTicker(pollInterval)
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
	t.Logf("another courier observes a wait after: p50 %v, p99 %v, maximum %v", p(each, 0.5), p(each, 0.99), p(each, 1))
	t.Logf("all other couriers observe it, over %d facts, after: p50 %v, p99 %v", facts, p(all, 0.5), p(all, 0.99))
	memory("with facts")
	status := fleet[0].awaitMembers(n).Fleet
	t.Logf("%d facts in %d bytes", status.Facts, status.FactBytes)
	if p(each, 1) > nettest.Timeout {
		t.Error("a fact did not reach another courier in time")
	}
}
