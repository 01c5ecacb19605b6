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
	callWithin  = time.Second // a heartbeat is to be acknowledged
	beatAgainIn = 100 * time.Millisecond
)

// heartbeat is the body of PUT /-/instances/ID.
type heartbeat struct {
	Backend         string      `json:"backend"`
	Address         string      `json:"address"`
	Zone            string      `json:"zone"`
	Generation      string      `json:"generation"`
	Slots           int         `json:"slots"`
	State           string      `json:"state"`
	ColdRemainingMS int         `json:"cold_remaining_ms"`
	Stage           string      `json:"stage"`
	Models          []heldModel `json:"models"`
	Sequence        uint64      `json:"seq"`
}

type heldModel struct {
	Name       string   `json:"name"`
	Generation int64    `json:"generation"`
	Adapters   []string `json:"adapters"`
}

// register tells the system of the endpoint until the context ends. An instance that does not acknowledge is followed
// by the next one.
func (e *Endpoint) register(ctx context.Context) {
	at := 0
	for {
		pause := e.options.Heartbeat
		if err := e.beat(ctx, e.options.Controls[at]); err != nil && ctx.Err() == nil {
			e.options.Log.Debug("heartbeat", "endpoint", e.options.ID, "instance", e.options.Controls[at], "error", err)
			at = (at + 1) % len(e.options.Controls)
			pause = beatAgainIn
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

func (e *Endpoint) beat(ctx context.Context, control string) error {
	return e.call(ctx, sling.New().Put("http://"+control+"/-/instances/"+e.options.ID).BodyJSON(e.account()))
}

// leave says that the endpoint ends, to the first instance that hears it.
func (e *Endpoint) leave(ctx context.Context) {
	for _, control := range e.options.Controls {
		if e.call(ctx, sling.New().Delete("http://"+control+"/-/instances/"+e.options.ID)) == nil {
			return
		}
	}
}

func (e *Endpoint) call(ctx context.Context, ask *sling.Sling) error {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	request, err := ask.Request()
	if err != nil {
		return fmt.Errorf("build the call: %w", err)
	}
	answer, err := http.DefaultClient.Do(request.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }() // its status says all
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s", answer.Status)
	}
	return nil
}

// account is what the endpoint says of itself now.
func (e *Endpoint) account() heartbeat {
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

// listModels lists the models; the caller has the mutex.
func (e *Endpoint) listModels() []heldModel {
	list := make([]heldModel, 0, len(e.models))
	for name, model := range e.models {
		list = append(list, heldModel{Name: name, Generation: 1, Adapters: append([]string{}, model.adapters...)})
	}
	slices.SortFunc(list, func(a, b heldModel) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}
