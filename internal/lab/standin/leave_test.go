package standin

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// An endpoint that drains says so until it is acknowledged, and goes on serving; a heartbeat from before may arrive late.
func TestDrainingEndpointServes(t *testing.T) {
	address, heartbeats, _ := startControl(t)
	e, err := Start(context.Background(), testOptions(address, func(*Options) {}))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = e.Stop(context.Background()) }()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	late, err := e.Drain(ctx)
	if err != nil {
		t.Fatal(err)
	}
	var draining uint64
	for draining == 0 {
		if received := <-heartbeats; received.State == "draining" {
			draining = received.Sequence
		}
	}
	if response, _ := sendRequest(t, e, "POST", "/x", "", headerID, "q"); response.StatusCode != http.StatusOK {
		t.Errorf("got %v while it drains, want 200", response.Status)
	}
	late.Deliver(ctx, address)
	for {
		received := <-heartbeats
		if received.State == "ready" {
			if received.Sequence >= draining {
				t.Errorf("the late heartbeat has sequence %d, want it before %d", received.Sequence, draining)
			}
			break
		}
	}
}

// An endpoint that leaves sends no heartbeats after its deregistration, and goes on serving.
func TestLeavingEndpointServes(t *testing.T) {
	address, heartbeats, departures := startControl(t)
	e, err := Start(context.Background(), testOptions(address, func(*Options) {}))
	if err != nil {
		t.Fatal(err)
	}
	<-heartbeats
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := e.Leave(ctx); err != nil {
		t.Fatal(err)
	}
	if id := <-departures; id != "i-1" {
		t.Errorf("%q is deregistered, want i-1", id)
	}
	if response, _ := sendRequest(t, e, "POST", "/x", "", headerID, "q"); response.StatusCode != http.StatusOK {
		t.Errorf("got %v after the deregistration, want 200", response.Status)
	}
	before := len(heartbeats)
	time.Sleep(10 * testHeartbeatInterval)
	if after := len(heartbeats); after > before+1 { // one may have been under way
		t.Errorf("%d heartbeats after the deregistration", after-before)
	}
	if err := e.Stop(ctx); err != nil {
		t.Error(err)
	}
}

// An end that nobody acknowledges is an error once the time is up.
func TestUnacknowledgedEndIsAnError(t *testing.T) {
	e, err := Start(context.Background(), testOptions("127.0.0.1:1", func(*Options) {}))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = e.Stop(context.Background()) }()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := e.Drain(ctx); err == nil {
		t.Error("got no error, want one")
	}
}
