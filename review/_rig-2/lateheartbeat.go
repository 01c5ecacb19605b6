package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// playLateHeartbeat: an endpoint deregisters and is acknowledged. Right then every process is killed, and all return half a
// second later. A heartbeat that the endpoint had sent before arrives four seconds late.
func playLateHeartbeat(w *world) error {
	const (
		drain     = 2.0 // drain_ms
		liveness  = 3.0 // liveness_ms
		late      = 4 * time.Second
		servesOn  = 14 * time.Second // after the acknowledgement: drain_ms and many seconds
		downtime  = 500 * time.Millisecond
		tolerance = 0.5
	)
	if err := w.startAll(true); err != nil {
		return err
	}
	for i, id := range []string{"i-leaving", "i-second", "i-third"} {
		if _, err := w.newEndpoint(i, id, "inventory-sync", nil); err != nil {
			return err
		}
	}
	leaving := w.endpoints[0]
	if err := w.operate("PUT", 0, document(1, 16384, []object{pushRoute()}, []object{pushService()})); err != nil {
		return err
	}
	if err := w.allReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // all endpoints have reported, and the core is stable
	w.push("before", 30)

	// The endpoint's last heartbeat: the first instance does not get it in time, so the endpoint calls the next one.
	leaving.silence()
	time.Sleep(300 * time.Millisecond)
	heartbeat := leaving.heartbeatBody("ready")
	w.note("i-leaving sends a heartbeat to core-1; the network delays it by %v", late)
	var deliveries sync.WaitGroup
	deliveries.Go(func() { w.deliverLate(leaving, heartbeat, late) })
	time.Sleep(time.Second)
	if err := leaving.callOne("PUT", "", heartbeat, 1); err != nil {
		return err
	}
	w.note("no answer within a second: it calls core-2, which acknowledges the heartbeat")
	if err := leaving.callOne("DELETE", "", nil, 1); err != nil {
		return err
	}
	acknowledged := w.now()
	w.note("i-leaving deregisters at core-2, acknowledged; it serves on")
	ends := time.Now().Add(servesOn)
	inTouchFrom := acknowledged
	if w.trouble {
		for _, p := range append(append([]*process{}, w.controls...), w.routers...) {
			p.kill()
		}
		w.note("every process is killed")
		time.Sleep(downtime)
		if err := w.startAll(false); err != nil {
			return err
		}
		inTouchFrom = w.now() + 2*liveness + tolerance
		w.note("every process is started again; machines are in touch from %.3f on", inTouchFrom)
	}
	if err := w.allReady(); err != nil {
		return err
	}
	for number := 0; time.Now().Before(ends); number++ {
		w.push(fmt.Sprintf("after-%d", number), 3)
		time.Sleep(100 * time.Millisecond)
	}
	deliveries.Wait()
	leaving.stop()
	w.note("i-leaving ends")
	broken := 0
	for _, a := range leaving.arrivals {
		if a.at > acknowledged+drain && a.at > inTouchFrom {
			broken++
		}
	}
	w.note("DRAIN: %d requests reached i-leaving later than drain_ms after %.3f from machines in touch", broken, acknowledged)
	if broken > 0 {
		return fmt.Errorf("DRAIN: %w", errBroken)
	}
	return nil
}

// push sends requests, each on a connection of its own, to the routers in turn.
func (w *world) push(name string, count int) {
	for i := range count {
		id := fmt.Sprintf("%s-%d", name, i)
		c, err := dial(w.front(i % routerCount))
		if err != nil {
			w.note("client: %s: %v", id, err)
			continue
		}
		got := c.ask(head("/push/x", id, 600), "a push", 2*time.Second)
		c.Close()
		w.note("client: %s at edge-%d: %v", id, i%routerCount+1, got)
	}
}

// callOne calls one control instance.
func (e *endpoint) callOne(method, _ string, body []byte, instance int) error {
	return callInstance(e.w.control(instance), method, e.id, body, time.Second)
}

// deliverLate carries a heartbeat to the first control instance, late: what a network does that has held it up.
func (w *world) deliverLate(e *endpoint, body []byte, late time.Duration) {
	time.Sleep(late)
	c, err := net.DialTimeout("tcp4", w.control(0), time.Second)
	if err != nil {
		w.note("the late heartbeat finds nobody: %v", err)
		return
	}
	c.Close()
	if err := callInstance(w.control(0), "PUT", e.id, body, time.Second); err != nil {
		w.note("the late heartbeat of i-leaving reaches core-1: %v", err)
		return
	}
	w.note("the late heartbeat of i-leaving reaches core-1, which acknowledges it")
}
