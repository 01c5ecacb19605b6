package roles

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"raventrestle/internal/control/placer"
	"raventrestle/internal/protocol"
)

const (
	maxOrderTimeout  = 900 * time.Millisecond
	orderMargin      = 100 * time.Millisecond // handover delay minus order timeout, unless the delay is shorter than two margins
	maxResponseBytes = 64 << 10
	operationLoad    = "model_load"
	operationUnload  = "model_unload"
)

// ErrLeaseExpired means that an order or an inspection was not sent, because another instance may act in the roles by now.
var ErrLeaseExpired = errors.New("lease has expired")

// EndpointClient sends orders to endpoints and reads their reports. Its methods are safe for concurrent use.
//
// Each call uses its own connection, which is reset when the call fails, so that no order arrives after a later one.
// An order that was sent before the lease expired has ended before the next leader acts: the call ends after
// orderTimeout, which is shorter than the handover delay between two leaders. The kernel's retransmissions end by then as
// well, even while this process is suspended.
type EndpointClient struct {
	nodeName string
	timeout  time.Duration
	client   *http.Client
}

// NewEndpointClient returns a client. nodeName is this instance's name in orders and lease is the deployment's lease_ms.
// leaseHeld is called before each write to a connection.
func NewEndpointClient(nodeName string, lease time.Duration, leaseHeld LeaseCheck) *EndpointClient {
	timeout := orderTimeout(lease)
	return &EndpointClient{nodeName: nodeName, timeout: timeout, client: newHTTPClient(timeout, leaseHeld)}
}

// orderTimeout returns the maximum duration of an order, from the dial to the response. It is shorter than the handover
// delay between two leaders.
func orderTimeout(lease time.Duration) time.Duration {
	handover := lease / handoverDivisor
	return min(maxOrderTimeout, max(handover-orderMargin, handover/2))
}

// orderBody is the body of POST /-/order (PROTOCOL.md, Model placement).
type orderBody struct {
	Operation    string  `json:"operation"`
	Model        string  `json:"model"`
	Adapter      string  `json:"adapter,omitempty"`
	IfRevision   *uint64 `json:"if_revision,omitempty"`
	Holder       string  `json:"holder"`
	FencingToken uint64  `json:"fence_token"`
}

// SendOrder sends one order with the epoch as its fencing token and returns its outcome. An error says why there was no
// response. Unless the error is ErrLeaseExpired, the endpoint may still have accepted the order.
func (c *EndpointClient) SendOrder(ctx context.Context, epoch uint64, order placer.Order) (placer.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body := orderBody{
		Operation:    operationLoad,
		Model:        order.Model,
		Adapter:      order.Adapter,
		IfRevision:   order.Revision,
		Holder:       c.nodeName,
		FencingToken: epoch,
	}
	if order.Unload {
		body.Operation = operationUnload
	}
	request, err := sling.New().Base("http://"+order.Address).Post("/-/order").
		Set("X-Expected-Instance", order.Endpoint).BodyJSON(body).Request()
	if err != nil {
		return placer.Invalid, fmt.Errorf("order to endpoint %s: build request: %w", order.Endpoint, err)
	}
	response, err := doGuarded(ctx, c.client, epoch, request)
	if err != nil {
		return placer.Unknown, fmt.Errorf("order to endpoint %s: %w", order.Endpoint, err)
	}
	defer drainAndClose(response.Body)
	return outcomeOf(response), nil
}

// outcomeOf returns the outcome of an order from its response (PROTOCOL.md, Requests).
func outcomeOf(response *http.Response) placer.Outcome {
	status := response.StatusCode
	notExecuted := response.Header.Get("X-Not-Executed") != ""
	switch {
	case status == http.StatusAccepted:
		return placer.Accepted
	case status == http.StatusOK:
		return placer.AlreadyApplied
	case status == http.StatusConflict:
		return placer.Busy
	case notExecuted && status >= http.StatusInternalServerError:
		return placer.Busy
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return placer.Invalid
	}
	return placer.Unknown
}

// reportBody contains the fields of the response to GET /-/report that the placer needs.
type reportBody struct {
	Models   []protocol.LoadedModel `json:"models"`
	Busy     bool                   `json:"busy"`
	Revision uint64                 `json:"seq"`
}

// Inspect reads an endpoint's own report. With an error, it returns an inspection that is marked as failed.
func (c *EndpointClient) Inspect(ctx context.Context, epoch uint64, id, address string) (placer.Inspection, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	failed := placer.Inspection{Endpoint: id, Failed: true}
	request, err := sling.New().Base("http://"+address).Get("/-/report").Set("X-Expected-Instance", id).Request()
	if err != nil {
		return failed, fmt.Errorf("report of endpoint %s: build request: %w", id, err)
	}
	response, err := doGuarded(ctx, c.client, epoch, request)
	if err != nil {
		return failed, fmt.Errorf("report of endpoint %s: %w", id, err)
	}
	defer drainAndClose(response.Body)
	if response.StatusCode != http.StatusOK {
		return failed, fmt.Errorf("report of endpoint %s: status %d", id, response.StatusCode)
	}
	var report reportBody
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&report); err != nil {
		return failed, fmt.Errorf("report of endpoint %s: decode: %w", id, err)
	}
	return placer.Inspection{Endpoint: id, Busy: report.Busy, Revision: report.Revision, Models: report.Models}, nil
}

func drainAndClose(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxResponseBytes)) // errors are ignored: everything needed has been read
	_ = body.Close()
}
