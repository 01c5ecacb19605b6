package standin

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/dghubble/sling"
)

const (
	heartbeatTimeout       = time.Second // longest time until a heartbeat is acknowledged
	heartbeatRetryInterval = 100 * time.Millisecond
)

// heartbeat is the body of PUT /-/instances/ID.
type heartbeat struct {
	Backend           string       `json:"backend"`
	Address           string       `json:"address"`
	Zone              string       `json:"zone"`
	Generation        string       `json:"generation"`
	Slots             int          `json:"slots"`
	State             string       `json:"state"`
	WarmUpRemainingMS int          `json:"cold_remaining_ms"`
	Stage             string       `json:"stage"`
	Models            []modelState `json:"models"`
	Sequence          uint64       `json:"seq"`
}

// modelState is a loaded model in a heartbeat or report.
type modelState struct {
	Name       string   `json:"name"`
	Generation int64    `json:"generation"`
	Adapters   []string `json:"adapters"`
}

// register sends heartbeats until the context ends. If a control instance does not acknowledge one, register continues with
// the next instance.
func (e *Endpoint) register(ctx context.Context) {
	control := 0
	for {
		wait := e.options.HeartbeatInterval
		if err := e.sendHeartbeat(ctx, e.options.ControlAddresses[control]); err != nil && ctx.Err() == nil {
			e.options.Log.Debug("heartbeat", "endpoint", e.options.ID, "instance", e.options.ControlAddresses[control], "error", err)
			control = (control + 1) % len(e.options.ControlAddresses)
			wait = heartbeatRetryInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// sendHeartbeat sends one heartbeat to a control instance.
func (e *Endpoint) sendHeartbeat(ctx context.Context, control string) error {
	return e.call(ctx, sling.New().Put("http://"+control+"/-/instances/"+e.options.ID).BodyJSON(e.currentState()))
}

// deregister removes the endpoint at the first control instance that acknowledges it.
func (e *Endpoint) deregister(ctx context.Context) {
	for _, control := range e.options.ControlAddresses {
		if e.sendDeregistration(ctx, control) == nil {
			return
		}
	}
}

// sendDeregistration removes the endpoint at a control instance.
func (e *Endpoint) sendDeregistration(ctx context.Context, control string) error {
	return e.call(ctx, sling.New().Delete("http://"+control+"/-/instances/"+e.options.ID))
}

// call sends a request and returns an error unless the response has status 200.
func (e *Endpoint) call(ctx context.Context, builder *sling.Sling) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request, err := builder.Request()
	if err != nil {
		return fmt.Errorf("build the request: %w", err)
	}
	response, err := http.DefaultClient.Do(request.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // only the status matters
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s", response.Status)
	}
	return nil
}

// currentState returns the next heartbeat.
func (e *Endpoint) currentState() heartbeat {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	return heartbeat{
		Backend: e.options.Service, Address: e.Address(), Zone: e.options.Zone, Generation: "v1",
		Slots: e.options.Slots, State: state, Stage: "both", Models: e.listModels(), Sequence: e.sequence,
	}
}

// listModels returns the loaded models, sorted by name. The caller must hold the mutex.
func (e *Endpoint) listModels() []modelState {
	states := make([]modelState, 0, len(e.models))
	for name, model := range e.models {
		states = append(states, modelState{Name: name, Generation: 1, Adapters: append([]string{}, model.adapters...)})
	}
	slices.SortFunc(states, func(a, b modelState) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return states
}
