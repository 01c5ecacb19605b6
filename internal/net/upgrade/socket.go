// Package upgrade is about two processes of one courier: the clients' socket that the platform holds for
// both, the folder of each life, and the following of the life before. What it decides is internal/handover's.
package upgrade

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// Variable names the descriptor of the clients' listening socket.
const Variable = "EDGE_SOCKET_FD"

// Inherited is the clients' listening socket, which the platform holds for all processes of this courier; nil
// where it holds none. Closing it closes nothing for the others.
func Inherited(getenv func(string) string) (net.Listener, error) {
	text := getenv(Variable)
	if text == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 0 {
		return nil, fmt.Errorf("%s=%q is no descriptor", Variable, text)
	}
	if on, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("%s=%d: %w: %w", Variable, fd, errNotListening, err)
	} else if on != 1 {
		return nil, fmt.Errorf("%s=%d: %w", Variable, fd, errNotListening)
	}
	unix.CloseOnExec(fd)
	f := os.NewFile(uintptr(fd), "clients")
	defer f.Close() // the listener has a copy
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("%s=%d: %w", Variable, fd, err)
	}
	if _, ok := l.(*net.TCPListener); !ok {
		return nil, errors.Join(fmt.Errorf("%s=%d: %w", Variable, fd, errNotListening), l.Close())
	}
	return l, nil
}

var errNotListening = errors.New("no listening TCP socket")
