// Package upgrade is about two processes of one courier: the clients' socket that the platform holds for
// both, the folder of each life, and the following of the life before. What it decides is internal/handover's.
package upgrade

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

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
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.Join(fmt.Errorf("%s=%d: %w", Variable, fd, errNotListening), l.Close())
	}
	return &shared{tcp}, nil
}

// shared is a listener on a socket that other processes hold as well. Whether it blocks is the socket's own, not a
// process's: whoever passes it to a next one may clear O_NONBLOCK for all of them. An Accept that finds nothing would then
// wait in the kernel, out of the runtime's reach: it would take a connection that is the next process's, and Close would
// wait for it.
type shared struct{ *net.TCPListener }

// closeWithin bounds a Close whose Accept is in the kernel all the same; that one ends with the process.
const closeWithin = 100 * time.Millisecond

func (l *shared) Accept() (net.Conn, error) {
	if raw, err := l.SyscallConn(); err == nil { // its error is Accept's own
		raw.Control(func(fd uintptr) { unix.SetNonblock(int(fd), true) })
	}
	return l.TCPListener.Accept()
}

func (l *shared) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- l.TCPListener.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(closeWithin):
		return nil
	}
}

var errNotListening = errors.New("no listening TCP socket")
