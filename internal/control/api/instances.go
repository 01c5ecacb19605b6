package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"raventrestle/internal/protocol"
)

// heartbeat is the body of an endpoint's call.
type heartbeat struct {
	Backend         string                 `json:"backend"`
	Address         string                 `json:"address"`
	Zone            string                 `json:"zone"`
	Generation      string                 `json:"generation"`
	Slots           int                    `json:"slots"`
	State           string                 `json:"state"`
	ColdRemainingMS float64                `json:"cold_remaining_ms"`
	Models          []protocol.LoadedModel `json:"models"`
	Sequence        uint64                 `json:"seq"`
}

// The states that an endpoint says it is in.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// ErrField names the part of a call that is malformed.
var ErrMalformed = errors.New("malformed")

func (a *API) putInstance(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maximumHeartbeatBytes))
	switch {
	case tooLarge(err):
		fail(w, http.StatusRequestEntityTooLarge, "heartbeat is over "+byteCount(maximumHeartbeatBytes))
		return
	case err != nil:
		fail(w, http.StatusRequestTimeout, "body can't be read whole: "+err.Error())
		return
	}
	endpoint, err := readHeartbeat(r.PathValue("id"), body)
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := a.instances.Heartbeat(r.Context(), endpoint); err != nil {
		fail(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	write(w, http.StatusOK, []byte("{}"))
}

func (a *API) deleteInstance(w http.ResponseWriter, r *http.Request) {
	if err := a.instances.Deregister(r.Context(), r.PathValue("id")); err != nil {
		fail(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	write(w, http.StatusOK, []byte("{}"))
}

// readHeartbeat turns a call into an endpoint. The error names what is wrong.
func readHeartbeat(id string, body []byte) (protocol.Endpoint, error) {
	var told heartbeat
	if err := json.Unmarshal(body, &told); err != nil {
		return protocol.Endpoint{}, fmt.Errorf("heartbeat of %s: %w: %w", id, ErrMalformed, err)
	}
	if err := told.check(); err != nil {
		return protocol.Endpoint{}, fmt.Errorf("heartbeat of %s: %w", id, err)
	}
	endpoint := protocol.Endpoint{
		ID:              id,
		Service:         told.Backend,
		Address:         told.Address,
		Zone:            told.Zone,
		SoftwareVersion: told.Generation,
		Slots:           told.Slots,
		State:           protocol.Ready,
		Sequence:        told.Sequence,
		WarmUpRemaining: time.Duration(told.ColdRemainingMS * float64(time.Millisecond)),
		Models:          told.Models,
	}
	if told.State == stateDraining {
		endpoint.State = protocol.Draining
	}
	return endpoint, nil
}

func (h *heartbeat) check() error {
	switch {
	case h.Backend == "":
		return fmt.Errorf("backend: %w: empty", ErrMalformed)
	case !validAddress(h.Address):
		return fmt.Errorf("address: %w: %q is not host:port", ErrMalformed, h.Address)
	case h.State != stateReady && h.State != stateDraining:
		return fmt.Errorf("state: %w: %q is neither %s nor %s", ErrMalformed, h.State, stateReady, stateDraining)
	case h.Slots < 0:
		return fmt.Errorf("slots: %w: %d is below 0", ErrMalformed, h.Slots)
	case h.ColdRemainingMS < 0 || h.ColdRemainingMS > float64(time.Hour/time.Millisecond):
		return fmt.Errorf("cold_remaining_ms: %w: %v is not between 0 and an hour", ErrMalformed, h.ColdRemainingMS)
	}
	return nil
}

func byteCount(bytes int64) string { return fmt.Sprintf("%d bytes", bytes) }
