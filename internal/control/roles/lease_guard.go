package roles

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// leaseSafetyMargin is left of the lease when the last order leaves.
const leaseSafetyMargin = 20 * time.Millisecond

// LeaseCheck reports whether this instance may act in an epoch at this very moment.
type LeaseCheck func(epoch uint64) bool

// epochKey is the key of a call's epoch in its context.
type epochKey struct{}

func withEpoch(ctx context.Context, epoch uint64) context.Context {
	return context.WithValue(ctx, epochKey{}, epoch)
}

// newHTTPClient makes the client of all calls to endpoints. Each call has a connection of its own, on which nothing is
// written after the lease of the call's epoch has expired.
func newHTTPClient(timeout time.Duration, leaseHeld LeaseCheck) *http.Client {
	control := func(_, _ string, socket syscall.RawConn) error { return setUserTimeout(socket, timeout) }
	dialer := net.Dialer{KeepAlive: -1, Timeout: timeout, Control: control}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, isTCP := connection.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0) // should it fail, an order that timed out may arrive late
		}
		epoch, _ := ctx.Value(epochKey{}).(uint64) // without an epoch no lease is held
		return &leaseGuardedConn{Conn: connection, leaseHeld: func() bool { return leaseHeld(epoch) }}, nil
	}
	return &http.Client{
		Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse // an order is for its endpoint only
		},
	}
}

// setUserTimeout has the kernel drop the connection when sent bytes are not acknowledged in time (RFC 5482; tcp(7),
// TCP_USER_TIMEOUT), so that it doesn't deliver them later while this process is suspended.
func setUserTimeout(socket syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := socket.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err = errors.Join(err, failed); err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}

// leaseGuardedConn fails to write with ErrLeaseExpired once the lease is no longer held.
type leaseGuardedConn struct {
	net.Conn
	leaseHeld func() bool
}

func (c *leaseGuardedConn) Write(bytes []byte) (int, error) {
	if !c.leaseHeld() {
		return 0, ErrLeaseExpired
	}
	return c.Conn.Write(bytes)
}
