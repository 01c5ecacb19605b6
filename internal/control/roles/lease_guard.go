package roles

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// leaseSafetyMargin is the minimum remaining lease with which an order may be sent.
const leaseSafetyMargin = 20 * time.Millisecond

// LeaseCheck reports whether this instance may act in an epoch at this moment.
type LeaseCheck func(epoch uint64) bool

// guardedCall is one call to an endpoint.
type guardedCall struct {
	epoch   uint64      // 0: none, for which no lease is held
	refused atomic.Bool // a write was refused because the lease had expired
}

// guardedCallKey is the context key for the *guardedCall of a request.
type guardedCallKey struct{}

// doGuarded makes a call in an epoch. The error wraps ErrLeaseExpired if a write was refused: net/http closes the connection
// then, and may report that alone.
func doGuarded(ctx context.Context, client *http.Client, epoch uint64, request *http.Request) (*http.Response, error) {
	call := &guardedCall{epoch: epoch}
	response, err := client.Do(request.WithContext(context.WithValue(ctx, guardedCallKey{}, call)))
	if err != nil && call.refused.Load() && !errors.Is(err, ErrLeaseExpired) {
		err = fmt.Errorf("%w: %w", ErrLeaseExpired, err)
	}
	return response, err
}

// newHTTPClient returns the HTTP client for all calls to endpoints. Each call uses its own connection, on which nothing is
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
			_ = tcp.SetLinger(0) // if this fails, an order that timed out may arrive late
		}
		call, guarded := ctx.Value(guardedCallKey{}).(*guardedCall)
		if !guarded {
			call = &guardedCall{}
		}
		return &leaseGuardedConn{Conn: connection, call: call, leaseHeld: leaseHeld}, nil
	}
	return &http.Client{
		Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse // an order must not reach any other endpoint
		},
	}
}

// setUserTimeout makes the kernel drop the connection if sent bytes are not acknowledged within the timeout (RFC 5482;
// tcp(7), TCP_USER_TIMEOUT). Otherwise the kernel might deliver them later while this process is suspended.
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

// leaseGuardedConn is a connection whose writes fail with ErrLeaseExpired when the lease is no longer held.
type leaseGuardedConn struct {
	net.Conn
	call      *guardedCall
	leaseHeld LeaseCheck
}

func (c *leaseGuardedConn) Write(bytes []byte) (int, error) {
	if !c.leaseHeld(c.call.epoch) {
		c.call.refused.Store(true)
		return 0, ErrLeaseExpired
	}
	return c.Conn.Write(bytes)
}
