package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"raventrestle/internal/protocol"
)

// heartbeat is the body of an endpoint's PUT. Fields that are not listed are ignored.
type heartbeat struct {
	Service           string                 `json:"backend"`
	Address           string                 `json:"address"`
	Zone              string                 `json:"zone"`
	SoftwareVersion   string                 `json:"generation"`
	Slots             int                    `json:"slots"`
	State             string                 `json:"state"`
	WarmUpRemainingMS float64                `json:"cold_remaining_ms"`
	Models            []protocol.LoadedModel `json:"models"`
	Sequence          uint64                 `json:"seq"`
}

// States of an endpoint on the wire. The last two appear only in tables.
const (
	stateReady        = "ready"
	stateDraining     = "draining"
	stateUnresponsive = "silent"
	stateDeparted     = "gone"
)

const (
	maxWarmUp = time.Hour
	// maxEndpointIDBytes bounds what the end of an endpoint takes of the replicated state.
	maxEndpointIDBytes = 256
)

// putInstance takes in a heartbeat. One that reports draining is answered once every connected router has confirmed that
// it does not choose the endpoint any more, or after registry.DrainAckTimeout once a majority of the reachable instances
// has the record.
func (a *API) putInstance(w http.ResponseWriter, r *http.Request) error {
	body, err := readHeartbeatBody(w, r)
	if err != nil {
		return err
	}
	endpoint, err := parseHeartbeat(r.PathValue("id"), body)
	if err != nil {
		return err
	}
	if err := a.instances.Heartbeat(r.Context(), endpoint); err != nil {
		return &UnavailableError{Err: err}
	}
	writeBody(w, http.StatusOK, []byte("{}"))
	return nil
}

// deleteInstance deregisters an endpoint.
func (a *API) deleteInstance(w http.ResponseWriter, r *http.Request) error {
	id := r.PathValue("id")
	if err := checkEndpointID(id); err != nil {
		return err
	}
	if err := a.instances.Deregister(r.Context(), id); err != nil {
		return &UnavailableError{Err: err}
	}
	writeBody(w, http.StatusOK, []byte("{}"))
	return nil
}

// parseHeartbeat returns the endpoint that a heartbeat describes. The error wraps ErrMalformed and names the field.
func parseHeartbeat(id string, body []byte) (protocol.Endpoint, error) {
	if err := checkEndpointID(id); err != nil {
		return protocol.Endpoint{}, err
	}
	var report heartbeat
	if err := json.Unmarshal(body, &report); err != nil {
		return protocol.Endpoint{}, fmt.Errorf("heartbeat of %s: %w: %w", id, ErrMalformed, err)
	}
	if err := report.check(); err != nil {
		return protocol.Endpoint{}, fmt.Errorf("heartbeat of %s: %w", id, err)
	}
	endpoint := protocol.Endpoint{
		ID:              id,
		Service:         report.Service,
		Address:         report.Address,
		Zone:            report.Zone,
		SoftwareVersion: report.SoftwareVersion,
		Slots:           report.Slots,
		State:           protocol.Ready,
		Sequence:        report.Sequence,
		WarmUpRemaining: time.Duration(report.WarmUpRemainingMS * float64(time.Millisecond)),
		Models:          report.Models,
	}
	if report.State == stateDraining {
		endpoint.State = protocol.Draining
	}
	return endpoint, nil
}

func checkEndpointID(id string) error {
	if len(id) > maxEndpointIDBytes {
		return fmt.Errorf("id: %w: %d bytes, at most %d are allowed", ErrMalformed, len(id), maxEndpointIDBytes)
	}
	return nil
}

func (h *heartbeat) check() error {
	switch {
	case h.Service == "":
		return fmt.Errorf("backend: %w: empty", ErrMalformed)
	case !validAddress(h.Address):
		return fmt.Errorf("address: %w: %q is not host:port", ErrMalformed, h.Address)
	case h.State != stateReady && h.State != stateDraining:
		return fmt.Errorf("state: %w: %q is neither %s nor %s", ErrMalformed, h.State, stateReady, stateDraining)
	case h.Slots < 0:
		return fmt.Errorf("slots: %w: %d is below 0", ErrMalformed, h.Slots)
	case h.WarmUpRemainingMS < 0 || h.WarmUpRemainingMS > float64(maxWarmUp/time.Millisecond):
		return fmt.Errorf("cold_remaining_ms: %w: %v is not between 0 and an hour", ErrMalformed, h.WarmUpRemainingMS)
	}
	return nil
}

// stateName returns a state as it is written on the wire.
func stateName(state protocol.EndpointState) string {
	switch state {
	case protocol.Ready:
		return stateReady
	case protocol.Draining:
		return stateDraining
	case protocol.Unresponsive:
		return stateUnresponsive
	}
	return stateDeparted
}
