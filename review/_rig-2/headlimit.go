package main

import (
	"fmt"
	"strings"
	"time"
)

// playRaisedHeadLimit: a configuration raises max_header_bytes. Later than config_ms after its acknowledgement, clients send
// requests with heads of that size on connections that they have kept.
func playRaisedHeadLimit(w *world) error {
	const connections, raised = 30, 65536
	if err := w.startAll(true); err != nil {
		return err
	}
	for i := range 3 {
		if _, err := w.newEndpoint(i, fmt.Sprintf("i-%d", i+1), "inventory-sync", nil); err != nil {
			return err
		}
	}
	first := 16384
	if !w.trouble {
		first = raised
	}
	if err := w.operate("PUT", 0, document(1, first, []object{pushRoute()}, []object{pushService()})); err != nil {
		return err
	}
	if err := w.allReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	var kept []*connection
	for i := range connections {
		c, err := dial(w.front(i % routerCount))
		if err != nil {
			return err
		}
		if got := c.ask(head("/push/x", fmt.Sprintf("small-%d", i), 600), "a push", 2*time.Second); got.status != 200 || got.closes {
			return fmt.Errorf("first request: %v", got)
		}
		kept = append(kept, c)
	}
	if err := w.operate("PUT", 1, document(2, raised, []object{pushRoute()}, []object{pushService()})); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // config_ms is 2 s
	denied := 0
	note := "X-Note: " + strings.Repeat("n", 40000)
	for i, c := range kept {
		got := c.ask(head("/push/x", fmt.Sprintf("large-%d", i), 600, note), "a push", 2*time.Second)
		c.Close()
		w.note("client: large-%d on a kept connection to edge-%d: %v", i, i%routerCount+1, got)
		if got.status >= 300 && got.status < 500 && got.status != 408 && got.status != 421 && got.status != 429 {
			denied++
		}
	}
	allowed := 5 + 2*connections/500
	w.note("DENIED: %d proper requests were ended with a 4xx of the routers; %d may be", denied, allowed)
	if denied > allowed {
		return fmt.Errorf("DENIED: %w", errBroken)
	}
	return nil
}
