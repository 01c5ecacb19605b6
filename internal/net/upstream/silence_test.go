package upstream

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

// scripted is a discovery over pipes in a test's own time; answer gets each call with its number, from 1, and says
// whether the connection goes on.
func scripted(g *Group, answer func(n int, query string, c net.Conn) bool) {
	calls := atomic.Int64{}
	g.client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
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

func say(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// Silence on a watch or a poll is a broken one, whether the answer's head, half of its body or nothing came: what it
// missed is there before it counts as told. The list that then comes is indented.
func TestSilenceBringsTheNewsInTime(t *testing.T) {
	const none, news = `{"index":42,"snapshot":false,"endpoints":[]}`, "{\n  \"index\": 43,\n  \"snapshot\": false,\n  \"endpoints\": [\n" +
		"    {\n      \"name\": \"s-1\",\n      \"status\": \"DRAINING\"\n    }\n  ]\n}\n"
	full := nettest.Plain(200, "", news)
	for name, part := range map[string]string{"nothing": "", "its head": full[:strings.Index(full, "{")], "half of its body": full[:len(full)-40]} {
		for mode, set := range map[string]raventrestle.Settings{
			"watch":  {ListOnRequest: true, ListRequestTimeout: 10 * time.Second},
			"poll":   {ListOnRequest: true, ListRequestTimeout: 10 * time.Second},
			"pushed": {ListRequestTimeout: 10 * time.Second},
		} {
			list, at := known, 2 // the call that falls silent
			if mode == "poll" {
				list, at = "null", 1 // what can't be read leaves nothing to be watched
			}
			t.Run(fmt.Sprint(mode, ", ", name, " came"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					updates, silent := make(chan Update, 16), make(chan time.Time, 1)
					g := New("discovery", []byte(list), &set, &config.Names{}, nettest.Log, func(u Update) { updates <- u })
					wait := time.Duration(0)
					scripted(g, func(n int, query string, c net.Conn) bool {
						switch {
						case n < at:
							return say(c, nettest.Plain(200, "", none))
						case n == at:
							var ms, index int64
							if _, err := fmt.Sscanf(query, "index=%d&wait=%d", &index, &ms); mode == "poll" && query != "" || mode != "poll" && (err != nil || index != 42) {
								t.Errorf("asked with %q: %v", query, err)
							}
							wait = time.Duration(ms) * time.Millisecond
							silent <- time.Now()
							say(c, part)
							io.Copy(io.Discard, c) // it stays open until the courier ends it
							return false
						}
						return say(c, full)
					})
					ctx, stop := context.WithCancel(t.Context())
					go g.Run(ctx)
					g.Subscribe()
					began := <-silent
					for u := range updates {
						if u.Index == 43 {
							break
						}
						if u.How == raventrestle.ListFailed {
							t.Error("the module had to ask")
							break
						}
					}
					told := max(polling.InformedAfterTimeout, wait+polling.InformedAfterWait)
					if took := time.Since(began); took > told {
						t.Errorf("a wait of %v fell silent: its news came after %v, told after %v", wait, took, told)
					}
					stop()
					synctest.Wait()
				})
			})
		}
	}
}

// Where lists are pushed, what the agent has counts from a new process's first moment, also in an outage: it is asked
// without being told to, and again until it answers.
func TestPushedListIsAskedForAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		updates := make(chan Update, 64)
		g := New("agent", []byte(known), &raventrestle.Settings{ListRequestTimeout: 10 * time.Second}, &config.Names{}, nettest.Log,
			func(u Update) { updates <- u })
		scripted(g, func(n int, _ string, c net.Conn) bool {
			if n <= 3 {
				return say(c, nettest.Plain(503, "", ""))
			}
			return say(c, nettest.Plain(200, "", `{"index":44,"snapshot":true,"endpoints":[]}`)) && n < 5
		})
		ctx, stop := context.WithCancel(t.Context())
		began := time.Now()
		go g.Run(ctx)
		for u := range updates {
			if u.Index == 44 {
				break
			}
		}
		if took := time.Since(began); took > time.Second { // the settings' grace for a drain
			t.Errorf("the agent's list came after %v", took)
		}
		stop()
		synctest.Wait()
	})
}

// A SIGHUP that moves discovery counts as told after 4 s: the new one is asked at once, also in the midst of a call to the
// old one that has fallen silent, and again until it answers.
func TestMoveIsAskedAtOnce(t *testing.T) {
	for name, set := range map[string]raventrestle.Settings{
		"asked":  {ListOnRequest: true, ListRequestTimeout: 10 * time.Second},
		"pushed": {ListRequestTimeout: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				updates, silent := make(chan Update, 16), make(chan struct{}, 1)
				g := New("discovery", []byte(known), &set, &config.Names{}, nettest.Log, func(u Update) { updates <- u })
				scripted(g, func(n int, query string, c net.Conn) bool {
					switch n {
					case 1:
						silent <- struct{}{}
						io.Copy(io.Discard, c)
						return false
					case 2: // the new one is not ready yet
						return false
					}
					if n == 3 && query != "" {
						t.Errorf("the new discovery's versions are its own, and it was asked with %q", query)
					}
					return say(c, nettest.Plain(200, "", `{"index":7,"snapshot":true,"endpoints":[]}`))
				})
				ctx, stop := context.WithCancel(t.Context())
				go g.Run(ctx)
				g.Subscribe()
				<-silent
				moved := time.Now()
				g.Move("another")
				for u := range updates {
					if u.How == raventrestle.ListFailed { // the module asks again after its pause
						time.Sleep(set.ListRequestTimeout / 20)
						g.Subscribe()
					} else if u.Index == 7 {
						break
					}
				}
				if took := time.Since(moved); took > 4*time.Second {
					t.Errorf("the new discovery's list came after %v, told after 4s", took)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
