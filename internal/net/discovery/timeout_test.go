package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"raventrestle"
	"raventrestle/internal/config"
	"raventrestle/internal/net/nettest"
	"raventrestle/internal/polling"
)

// fakeDiscovery connects the watcher to a discovery service over pipes, in the test's virtual time. It calls answer for
// each request with its number, from 1; answer returns whether the connection stays open.
func fakeDiscovery(w *Watcher, answer func(n int, query string, c net.Conn) bool) {
	calls := atomic.Int64{}
	w.client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			for r := bufio.NewReader(far); ; {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if !answer(int(calls.Add(1)), req.URL.RawQuery, far) {
					return
				}
			}
		}()
		return near, nil
	}
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// A watch or poll that stalls is abandoned, whether its answer's header, half of its body or nothing had arrived. The
// missed update is fetched before it counts as delivered by discovery. The list in that answer is indented.
func TestStalledCallIsRepeatedInTime(t *testing.T) {
	const emptyUpdate, drainingUpdate = `{"index":42,"snapshot":false,"endpoints":[]}`, "{\n  \"index\": 43,\n  \"snapshot\": false,\n  \"endpoints\": [\n" +
		"    {\n      \"name\": \"s-1\",\n      \"status\": \"DRAINING\"\n    }\n  ]\n}\n"
	full := nettest.Plain(200, "", drainingUpdate)
	for name, part := range map[string]string{"nothing": "", "the header": full[:strings.Index(full, "{")], "half of the body": full[:len(full)-40]} {
		for mode, settings := range map[string]raventrestle.Settings{
			"watch":  {ListOnRequest: true, ListRequestTimeout: 10 * time.Second},
			"poll":   {ListOnRequest: true, ListRequestTimeout: 10 * time.Second},
			"pushed": {ListRequestTimeout: 10 * time.Second},
		} {
			cachedList, stalledCall := cachedListJSON, 2 // the number of the call that stalls
			if mode == "poll" {
				cachedList, stalledCall = "null", 1 // with an unreadable cached list there is nothing to watch
			}
			t.Run(fmt.Sprint(mode, ", ", name, " arrived"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					updates, stalledSince := make(chan Update, 16), make(chan time.Time, 1)
					w := New("discovery", []byte(cachedList), &settings, &config.Names{}, nettest.Log, func(u Update) { updates <- u })
					wait := time.Duration(0)
					fakeDiscovery(w, func(n int, query string, c net.Conn) bool {
						switch {
						case n < stalledCall:
							return write(c, nettest.Plain(200, "", emptyUpdate))
						case n == stalledCall:
							var ms, index int64
							if _, err := fmt.Sscanf(query, "index=%d&wait=%d", &index, &ms); mode == "poll" && query != "" || mode != "poll" && (err != nil || index != 42) {
								t.Errorf("called with query %q: %v", query, err)
							}
							wait = time.Duration(ms) * time.Millisecond
							stalledSince <- time.Now()
							write(c, part)
							io.Copy(io.Discard, c) // stays open until the watcher closes it
							return false
						}
						return write(c, full)
					})
					ctx, stop := context.WithCancel(t.Context())
					go w.Run(ctx)
					w.Subscribe()
					start := <-stalledSince
					for u := range updates {
						if u.Index == 43 {
							break
						}
						if u.Kind == raventrestle.ListFailed {
							t.Error("list failure reported: the policy would have to ask")
							break
						}
					}
					deadline := max(polling.InformedAfterTimeout, wait+polling.InformedAfterWait)
					if took := time.Since(start); took > deadline {
						t.Errorf("a call with a wait of %v stalled: the update came after %v, deadline %v", wait, took, deadline)
					}
					stop()
					synctest.Wait()
				})
			})
		}
	}
}

// Where lists are pushed, the agent's list counts as delivered from the start of a new process, even during an outage. So
// it is fetched without a request, and again until it answers.
func TestPushedListIsFetchedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		updates := make(chan Update, 64)
		w := New("agent", []byte(cachedListJSON), &raventrestle.Settings{ListRequestTimeout: 10 * time.Second}, &config.Names{}, nettest.Log,
			func(u Update) { updates <- u })
		fakeDiscovery(w, func(n int, _ string, c net.Conn) bool {
			if n <= 3 {
				return write(c, nettest.Plain(503, "", ""))
			}
			return write(c, nettest.Plain(200, "", `{"index":44,"snapshot":true,"endpoints":[]}`)) && n < 5
		})
		ctx, stop := context.WithCancel(t.Context())
		start := time.Now()
		go w.Run(ctx)
		for u := range updates {
			if u.Index == 44 {
				break
			}
		}
		if took := time.Since(start); took > time.Second { // the grace period for a draining endpoint in the settings
			t.Errorf("the agent's list came after %v", took)
		}
		stop()
		synctest.Wait()
	})
}

// After a SIGHUP with a new address of discovery, its list counts as delivered after 4 s. The new address is called at
// once, even while a call to the old one is stalled, and again until it answers.
func TestNewAddressIsFetchedAtOnce(t *testing.T) {
	for name, settings := range map[string]raventrestle.Settings{
		"asked":  {ListOnRequest: true, ListRequestTimeout: 10 * time.Second},
		"pushed": {ListRequestTimeout: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				updates, stalled := make(chan Update, 16), make(chan struct{}, 1)
				w := New("discovery", []byte(cachedListJSON), &settings, &config.Names{}, nettest.Log, func(u Update) { updates <- u })
				fakeDiscovery(w, func(n int, query string, c net.Conn) bool {
					switch n {
					case 1:
						stalled <- struct{}{}
						io.Copy(io.Discard, c)
						return false
					case 2: // the new one is not ready yet
						return false
					}
					if n == 3 && query != "" {
						t.Errorf("the new address was called with the old list's version: %q", query)
					}
					return write(c, nettest.Plain(200, "", `{"index":7,"snapshot":true,"endpoints":[]}`))
				})
				ctx, stop := context.WithCancel(t.Context())
				go w.Run(ctx)
				w.Subscribe()
				<-stalled
				changedAt := time.Now()
				w.SetAddress("another")
				for u := range updates {
					if u.Kind == raventrestle.ListFailed { // the policy asks again after a pause
						time.Sleep(settings.ListRequestTimeout / 20)
						w.Subscribe()
					} else if u.Index == 7 {
						break
					}
				}
				if took := time.Since(changedAt); took > 4*time.Second {
					t.Errorf("the list from the new address came after %v, deadline 4s", took)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
