package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"raventrestle/internal/history"
	check "raventrestle/internal/lab/historycheck"
	"raventrestle/internal/net/admin"
	"raventrestle/internal/net/nettest"
)

// serverSide records which messages took effect at the endpoint and which outcomes were reported to the platform.
type serverSide struct {
	mu       sync.Mutex
	effects  []check.Effect
	outcomes []check.Notice
}

func (s *serverSide) Effects() []check.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.effects)
}
func (s *serverSide) Notices() []check.Notice { return s.outcomes }

func (s *serverSide) effect(id string, maxEffects int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects = append(s.effects, check.Effect{At: history.Now(), Message: id, Subject: "s-0", MaxEffects: maxEffects})
}

// Three couriers of a fleet write histories, and one of them is killed in between. The checkers accept the histories and
// detect a single changed record. The killed process may lack its Ended record and its last records, which is not a
// violation.
func TestHistoriesPassCheckers(t *testing.T) {
	const wait = 1500 * time.Millisecond
	var ledger serverSide
	killed := make(chan struct{})
	end := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		id := call.Header.Get("X-Txn")
		switch {
		case id == "wait" && call.N == 1:
			return nettest.Answer(nettest.Plain(429, fmt.Sprintf("X-Come-Back-Ms: %d\r\nX-Pressure: {\"x0\":3,\"x1\":50}\r\n", wait.Milliseconds()), ""))(c, call)
		case id == "single": // it takes effect and gets no answer
			ledger.effect(id, 1)
			return true
		case id == "free":
			select {
			case <-killed:
			default:
				return true
			}
		}
		ledger.effect(id, 0)
		return nettest.Answer(nettest.Plain(200, "", ""))(c, call)
	})
	called := func(ids ...string) {
		t.Helper()
		for len(ids) > 0 {
			id := nettest.Wait(t, fmt.Sprint("call of ", ids), end.Calls).Header.Get("X-Txn")
			ids = slices.DeleteFunc(ids, func(s string) bool { return s == id })
		}
	}
	submit := func(f *fleetCourier, class, id string) {
		t.Helper()
		if code := f.submit(class, id, 10); code != 202 {
			t.Fatalf("%s answered %d", id, code)
		}
	}
	var fleet []*fleetCourier
	var files []string
	seeds := ""
	for _, name := range []string{"a", "b", "c"} {
		f := newFleetCourier(t, name, "", end)
		fleet, files = append(fleet, f), append(files, filepath.Join(t.TempDir(), "history"))
		seeds += fmt.Sprintf("%q, ", f.bind)
	}
	for i, f := range fleet {
		f.writeSettings(fastIntervals + "seeds: [" + seeds + "]")
		text, err := os.ReadFile(f.settingsFile)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(f.settingsFile, fmt.Appendf(text, "history: file: %q\n", files[i]), 0o600); err != nil {
			t.Fatal(err)
		}
		if text, err = os.ReadFile(f.config); err != nil {
			t.Fatal(err)
		}
		f.write(strings.Replace(string(text), `"rules":{`, `"rules":{"cold_us":11000000,`, 1)) // how long limits and outages are remembered
		f.startWithSettings()
	}
	a, b, c := fleet[0], fleet[1], fleet[2]
	for _, f := range fleet {
		f.awaitMembers(3)
	}

	submit(a, "free", "wait")
	called("wait")
	b.awaitWait(0)
	c.awaitWait(0)
	submit(b, "free", "of-b")
	submit(c, "free", "of-c")
	called("wait", "of-b", "of-c")
	submit(a, "free", "free")
	submit(a, "single", "single")
	called("free", "single")
	a.kill()
	close(killed)
	a.startWithSettings()
	a.awaitMembers(3)
	var notice struct{ ID, Status string }
	if err := json.Unmarshal([]byte(nettest.Wait(t, "notice", a.notices)), &notice); err != nil || notice.ID != "single" {
		t.Fatalf("%+v %v", notice, err)
	}
	ledger.outcomes = append(ledger.outcomes, check.Notice{At: history.Now(), Message: notice.ID, Courier: "a", How: notice.Status})
	called("free")
	for _, f := range fleet {
		f.awaitStatus("done", func(s admin.Status) bool { return s.Courier.Pending == 0 })
		if err := f.process.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := nettest.Wait(t, "end", f.ended); err != nil {
			t.Fatal(err)
		}
		f.process = nil
	}

	bounds := check.DefaultBounds()
	bounds.AgeTolerance = 500 * time.Millisecond // ages don't include the transmission time, and the machine may be busy
	read := func(paths ...string) []check.Record {
		t.Helper()
		h, err := check.Read(paths, nil)
		if err != nil || h.Dropped > 0 {
			t.Fatal(err, h)
		}
		return h.Records
	}
	all := read(files...)
	if f := check.Check(check.Merge(all, &ledger), bounds); len(f.Violations) > 0 || f.Unproven > 0 {
		t.Fatalf("%d unproven, %v", f.Unproven, f.Violations)
	}
	find := func(rs []check.Record, what string, is func(check.Record) bool) int {
		t.Helper()
		i := slices.IndexFunc(rs, is)
		if i < 0 {
			t.Fatalf("no %s in %v", what, rs)
		}
		return i
	}
	is := func(k check.Kind, courier, id, how string) func(check.Record) bool {
		return func(r check.Record) bool { return r.Kind == k && r.Courier == courier && r.ID == id && r.How == how }
	}
	first := all[find(all, "begin", is(check.Begun, "a", "", ""))].Epoch
	for _, x := range []struct{ courier, id, how string }{
		{"a", "wait", check.Delivered},
		{"b", "of-b", check.Delivered},
		{"c", "of-c", check.Delivered},
		{"a", "free", check.Delivered},
		{"a", "single", check.Undeliverable},
	} {
		find(all, "acceptance of "+x.id, is(check.TakenOn, x.courier, x.id, ""))
		find(all, "attempt of "+x.id, is(check.TryBegun, x.courier, x.id, ""))
		find(all, "outcome of "+x.id, is(check.MessageEnded, x.courier, x.id, x.how))
	}
	for _, me := range []string{"b", "c"} { // b and c accept the facts of a, decide on them and observe the wait
		checkFact := func(k string) {
			t.Helper()
			i := find(all, k+" taken by "+me, func(r check.Record) bool {
				return r.Kind == check.FactTaken && r.Courier == me && r.Peer == "a" && r.PeerEpoch == first && r.What == k
			})
			find(all, "decision on it", func(r check.Record) bool {
				return r.Kind == check.Decided && r.Courier == me &&
					slices.ContainsFunc(r.Evidence, func(x check.Rest) bool { return x.ID == all[i].ID && (x.MaxAge > 0) == (k == "limit") })
			})
		}
		checkFact("wait")
		checkFact("limit")
		find(all, "wait", func(r check.Record) bool { return r.Kind == check.WaitHeard && r.Courier == me && r.Until > r.At })
	}
	if slices.ContainsFunc(all, func(r check.Record) bool { return r.Kind == check.Ended && r.Courier == "a" && r.Epoch == first }) {
		t.Error("the killed process has an Ended record")
	}

	// No number of lost last records of the killed process is reported as a violation.
	fromKilled := func(r check.Record) bool { return r.Courier == "a" && r.Epoch == first }
	for truncated := all; ; {
		last := -1
		for i, r := range truncated {
			if fromKilled(r) && r.Kind != check.Begun {
				last = i
			}
		}
		if last < 0 {
			break
		}
		truncated = slices.Delete(slices.Clone(truncated), last, last+1)
		if f := check.Check(check.Merge(truncated, &ledger), bounds); len(f.Violations) > 0 {
			t.Fatalf("with %d of %d records: %v", len(truncated), len(all), f.Violations)
		}
	}

	for name, m := range map[string]struct {
		file int
		edit func(rs []check.Record)
	}{
		"waits": {1, func(rs []check.Record) {
			call := find(rs, "call", func(r check.Record) bool { return r.Kind == check.CallWritten })
			heard := find(rs, "wait", func(r check.Record) bool { return r.Kind == check.WaitHeard })
			rs[call].At = rs[heard].At + int64(bounds.MaxTransit) + 1
		}},
		"one_end": {2, func(rs []check.Record) {
			rs[find(rs, "end", is(check.MessageEnded, "c", "of-c", check.Delivered))].ID = "of-b"
		}},
		"epochs": {0, func(rs []check.Record) {
			rs[find(rs, "begin of the second process", func(r check.Record) bool { return r.Kind == check.Begun && r.Epoch > first })].Epoch = first - 1
		}},
	} {
		t.Run(name, func(t *testing.T) {
			rs := read(files[m.file])
			m.edit(rs)
			text := []byte(history.Header)
			for _, r := range rs {
				var err error
				if text, err = history.Append(text, r); err != nil {
					t.Fatal(err)
				}
			}
			edited := slices.Clone(files)
			edited[m.file] = filepath.Join(t.TempDir(), "history")
			if err := os.WriteFile(edited[m.file], text, 0o600); err != nil {
				t.Fatal(err)
			}
			h, err := check.Read(edited, &ledger)
			if err != nil {
				t.Fatal(err)
			}
			found := check.Check(h, bounds).Violations
			if len(found) == 0 {
				t.Fatal("no violation found")
			}
			for _, v := range found {
				if v.Checker != name {
					t.Errorf("violation of another checker: %v", v)
				}
			}
		})
	}
}
