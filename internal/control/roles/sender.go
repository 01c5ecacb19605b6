package roles

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/dghubble/sling"
	"golang.org/x/sys/unix"

	"raventrestle/internal/control/placer"
	"raventrestle/internal/protocol"
)

const (
	mostOrderTime = 900 * time.Millisecond
	orderMargin   = 100 * time.Millisecond // by which an order ends before the next holder may act
	answerBytes   = 64 << 10
	leaseReserve  = 20 * time.Millisecond // an order is not begun so shortly before the lease ends
	operationLoad = "model_load"
	operationDrop = "model_unload"
)

// ErrLeaseOver means that an order was held back: another instance may hold the role by now.
var ErrLeaseExpired = errors.New("lease is over")

// LeaseCheck says whether orders of an epoch may leave at this moment.
type LeaseCheck func(epoch uint64) bool

// EndpointClient carries orders to endpoints, each on a connection of its own that is reset when it fails, so that
// no order arrives after a later one. An order that began before the lease ended is over before the next holder acts:
// its call ends within the pause between two holders, and so does the kernel's care for bytes that were not
// acknowledged, also while this process stands still.
type EndpointClient struct {
	holder string
	within time.Duration
	client *http.Client
}

// NewEndpointClient makes a sender; holder is this instance's node name, lease the deployment's lease_ms.
func NewEndpointClient(holder string, lease time.Duration, permit LeaseCheck) *EndpointClient {
	within := orderTime(lease)
	return &EndpointClient{holder: holder, within: within, client: newClient(within, permit)}
}

// orderTime is how long an order may be on its way.
func orderTime(lease time.Duration) time.Duration {
	pause := lease / handoverPart
	return min(mostOrderTime, max(pause-orderMargin, pause/2))
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

// SendOrder sends one order and says what became of it.
func (s *EndpointClient) SendOrder(ctx context.Context, epoch uint64, order placer.Order) (placer.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, epochKey{}, epoch), s.within)
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
		return placer.AlreadyApplied
	case answer.StatusCode == http.StatusConflict, answer.Header.Get("X-Not-Executed") != "" &&
		answer.StatusCode >= http.StatusInternalServerError:
		return placer.Busy
	case answer.StatusCode >= http.StatusBadRequest && answer.StatusCode < http.StatusInternalServerError:
		return placer.Invalid
	}
	return placer.Unknown
}

// Inspect asks an endpoint for its own report.
func (s *EndpointClient) Inspect(ctx context.Context, epoch uint64, id, address string) (placer.Inspection, error) {
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, epochKey{}, epoch), s.within)
	defer cancel()
	failed := placer.Inspection{Endpoint: id, Failed: true}
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
	return placer.Inspection{Endpoint: id, Busy: told.Busy, Revision: told.Revision, Models: told.Models}, nil
}

// epochKey is the key of a request's epoch in its context.
type epochKey struct{}

// newClient makes the client of all orders. Each has a connection of its own.
func newClient(within time.Duration, permit LeaseCheck) *http.Client {
	control := func(_, _ string, socket syscall.RawConn) error { return boundUnanswered(socket, within) }
	dialer := net.Dialer{KeepAlive: -1, Timeout: within, Control: control}
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

// boundUnanswered has the kernel give up bytes that the other side does not acknowledge in time.
func boundUnanswered(socket syscall.RawConn, within time.Duration) error {
	var failed error
	err := socket.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(within.Milliseconds()))
	})
	if err = errors.Join(err, failed); err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}

// guarded refuses to write once the lease is over.
type guarded struct {
	net.Conn
	permit func() bool
}

func (g *guarded) Write(bytes []byte) (int, error) {
	if !g.permit() {
		return 0, ErrLeaseExpired
	}
	return g.Conn.Write(bytes)
}

func discard(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, answerBytes)) // its status said all
	_ = body.Close()
}

// reportBody is the answer to GET /-/report, as far as the placer needs it.
type reportBody struct {
	Models   []protocol.LoadedModel `json:"models"`
	Busy     bool                   `json:"busy"`
	Revision uint64                 `json:"seq"`
}
