// Package upgrade lets two processes of one courier overlap during an upgrade. It provides the clients' listening socket
// that the platform passes to both, a directory for each process, and the takeover from earlier processes, as decided by
// package handover.
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

// SocketVariable is the environment variable with the file descriptor of the clients' listening socket.
const SocketVariable = "EDGE_SOCKET_FD"

// InheritedListener returns the clients' listening socket, which the platform keeps open for all processes of this courier,
// or nil if there is none. Closing the listener does not close the socket for the others.
func InheritedListener(getenv func(string) string) (net.Listener, error) {
	value := getenv(SocketVariable)
	if value == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(value)
	if err != nil || fd < 0 {
		return nil, fmt.Errorf("%s=%q is no file descriptor", SocketVariable, value)
	}
	if listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("%s=%d: %w: %w", SocketVariable, fd, errNotListening, err)
	} else if listening != 1 {
		return nil, fmt.Errorf("%s=%d: %w", SocketVariable, fd, errNotListening)
	}
	unix.CloseOnExec(fd)
	f := os.NewFile(uintptr(fd), "clients")
	defer f.Close() // the listener uses a duplicate
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("%s=%d: %w", SocketVariable, fd, err)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.Join(fmt.Errorf("%s=%d: %w", SocketVariable, fd, errNotListening), l.Close())
	}
	return &sharedListener{tcp}, nil
}

// sharedListener is a listener on a socket that other processes have open as well. Blocking mode is a property of the
// socket, not of a process: whoever passes the socket on may clear O_NONBLOCK for all of them. An Accept without a pending
// connection would then block in the kernel, where the runtime can't interrupt it. It would take a connection that belongs
// to the next process, and Close would wait for it.
type sharedListener struct{ *net.TCPListener }

// closeTimeout bounds a Close while an Accept is blocked in the kernel. That Accept ends with the process.
const closeTimeout = 100 * time.Millisecond

func (l *sharedListener) Accept() (net.Conn, error) {
	if raw, err := l.SyscallConn(); err == nil { // Accept returns the same error
		raw.Control(func(fd uintptr) { unix.SetNonblock(int(fd), true) })
	}
	return l.TCPListener.Accept()
}

func (l *sharedListener) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- l.TCPListener.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(closeTimeout):
		return nil
	}
}

var errNotListening = errors.New("no listening TCP socket")
