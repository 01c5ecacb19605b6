package roles

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"raventrestle/internal/control/placer"
	"raventrestle/internal/protocol"
)

const (
	orderWithin   = 900 * time.Millisecond
	answerBytes   = 64 << 10
	leaseReserve  = 20 * time.Millisecond // an order is not begun so shortly before the lease ends
	operationLoad = "model_load"
	operationDrop = "model_unload"
)

// ErrLeaseOver means that an order was held back: another instance may hold the role by now.
var ErrLeaseOver = errors.New("lease is over")

// Permit says whether orders of an epoch may leave at this moment.
type Permit func(epoch uint64) bool

// Sender carries orders to endpoints, each on a connection of its own that is reset when it fails, so that
// no order arrives after a later one.
type Sender struct {
	holder string
	client *http.Client
}

// NewSender makes a sender; holder is this instance's node name.
func NewSender(holder string, permit Permit) *Sender {
	return &Sender{holder: holder, client: newClient(permit)}
}

// orderBody is the body of POST /-/order.
type orderBody struct {
	Operation string  `json:"operation"`
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter,omitempty"`
	Revision  *uint64 `json:"if_revision,omitempty"`
	Holder    string  `json:"holder"`
	Fence     uint64  `json:"fence_token"`
}

// Order sends one order and says what became of it.
func (s *Sender) Order(ctx context.Context, epoch uint64, order placer.Order) (placer.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, epochKey{}, epoch), orderWithin)
	defer cancel()
	body := orderBody{
		Operation: operationLoad,
		Model:     order.Model,
		Adapter:   order.Adapter,
		Revision:  order.Revision,
		Holder:    s.holder,
		Fence:     epoch,
	}
	if order.Unload {
		body.Operation = operationDrop
	}
	request, err := sling.New().Base("http://"+order.Address).Post("/-/order").
		Set("X-Expected-Instance", order.Endpoint).BodyJSON(body).Request()
	if err != nil {
		return placer.Invalid, fmt.Errorf("order to %s: build: %w", order.Endpoint, err)
	}
	answer, err := s.client.Do(request.WithContext(ctx))
	if err != nil {
		return placer.Unknown, fmt.Errorf("order to %s: %w", order.Endpoint, err)
	}
	defer discard(answer.Body)
	return outcomeOf(answer), nil
}

func outcomeOf(answer *http.Response) placer.Outcome {
	switch {
	case answer.StatusCode == http.StatusAccepted:
		return placer.Accepted
	case answer.StatusCode == http.StatusOK:
		return placer.Holds
	case answer.StatusCode == http.StatusConflict, answer.Header.Get("X-Not-Executed") != "" &&
		answer.StatusCode >= http.StatusInternalServerError:
		return placer.Busy
	case answer.StatusCode >= http.StatusBadRequest && answer.StatusCode < http.StatusInternalServerError:
		return placer.Invalid
	}
	return placer.Unknown
}

// Look asks an endpoint for its own report.
func (s *Sender) Look(ctx context.Context, epoch uint64, id, address string) (placer.Look, error) {
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, epochKey{}, epoch), orderWithin)
	defer cancel()
	failed := placer.Look{Endpoint: id, Failed: true}
	request, err := sling.New().Base("http://"+address).Get("/-/report").Set("X-Expected-Instance", id).Request()
	if err != nil {
		return failed, fmt.Errorf("report of %s: build: %w", id, err)
	}
	answer, err := s.client.Do(request.WithContext(ctx))
	if err != nil {
		return failed, fmt.Errorf("report of %s: %w", id, err)
	}
	defer discard(answer.Body)
	if answer.StatusCode != http.StatusOK {
		return failed, fmt.Errorf("report of %s: status %d", id, answer.StatusCode)
	}
	var told reportBody
	if err := json.NewDecoder(io.LimitReader(answer.Body, answerBytes)).Decode(&told); err != nil {
		return failed, fmt.Errorf("report of %s: %w", id, err)
	}
	return placer.Look{Endpoint: id, Busy: told.Busy, Revision: told.Revision, Models: told.Models}, nil
}

// epochKey is the key of a request's epoch in its context.
type epochKey struct{}

// newClient makes the client of all orders. Each has a connection of its own.
func newClient(permit Permit) *http.Client {
	dialer := net.Dialer{KeepAlive: -1, Timeout: orderWithin}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, isTCP := connection.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0) // where it fails, an order that timed out may only arrive late
		}
		epoch, _ := ctx.Value(epochKey{}).(uint64) // without one nothing is permitted
		return &guarded{Conn: connection, permit: func() bool { return permit(epoch) }}, nil
	}
	return &http.Client{
		Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse // an order goes to its endpoint only
		},
	}
}

// guarded refuses to write once the lease is over.
type guarded struct {
	net.Conn
	permit func() bool
}

func (g *guarded) Write(bytes []byte) (int, error) {
	if !g.permit() {
		return 0, ErrLeaseOver
	}
	return g.Conn.Write(bytes)
}

func discard(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, answerBytes)) // its status said all
	_ = body.Close()
}

// reportBody is the answer to GET /-/report, as far as the placer needs it.
type reportBody struct {
	Models   []protocol.HeldModel `json:"models"`
	Busy     bool                 `json:"busy"`
	Revision uint64               `json:"seq"`
}
