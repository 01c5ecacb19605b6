package upgrade

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"raventrestle/internal/net/nettest"
)

// dupDescriptor duplicates the file's descriptor, as a process inherits it.
func dupDescriptor(t *testing.T, f *os.File) string {
	t.Helper()
	fd, err := syscall.Dup(int(f.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	return strconv.Itoa(fd)
}

// newPlatformSocket returns the clients' socket, and the file that the platform passes on.
func newPlatformSocket(t *testing.T) (net.Listener, *os.File) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	return l, f
}

func env(text string) func(string) string { return func(string) string { return text } }

// A descriptor that is no listening TCP socket is an error. Without the variable there is no listener and no error.
func TestInvalidSocketIsAnError(t *testing.T) {
	file, err := os.Create(filepath.Join(t.TempDir(), "f"))
	if err != nil {
		t.Fatal(err)
	}
	packets, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	udp, err := packets.(*net.UDPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	local, err := net.Listen("unix", filepath.Join(t.TempDir(), "s"))
	if err != nil {
		t.Fatal(err)
	}
	unix, err := local.(*net.UnixListener).File()
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"a word": "four", "negative": "-1", "closed": "1000000", "a file": dupDescriptor(t, file),
		"a datagram socket": dupDescriptor(t, udp), "a listening Unix socket": dupDescriptor(t, unix),
	} {
		if l, err := InheritedListener(env(text)); err == nil || l != nil {
			t.Errorf("%s: accepted", name)
		} else if name[0] == 'a' && name != "a word" && !errors.Is(err, errNotListening) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if l, err := InheritedListener(env("")); l != nil || err != nil {
		t.Error(l, err)
	}
}

// Closing the listener does not close the socket for the platform or another process.
func TestCloseKeepsSocketOpenForOthers(t *testing.T) {
	l, f := newPlatformSocket(t)
	for range 2 { // two processes, one after the other
		listener, err := InheritedListener(env(dupDescriptor(t, f)))
		if err != nil {
			t.Fatal(err)
		}
		if listener.Addr().String() != l.Addr().String() {
			t.Fatal(listener.Addr())
		}
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal("socket is closed for others:", err)
	}
	defer c.Close()
	if accepted, err := l.Accept(); err != nil {
		t.Fatal(err)
	} else {
		accepted.Close()
	}
}

// Another process that has the socket makes it blocking, as passing it on does. An Accept here still ends when the listener
// closes, and takes no connection after that, which would belong to the next process.
func TestCloseEndsAcceptOnBlockingSocket(t *testing.T) {
	l, f := newPlatformSocket(t)
	listener, err := InheritedListener(env(dupDescriptor(t, f)))
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan error, 2)
	accept := func() {
		c, err := listener.Accept()
		if err == nil {
			c.Close()
		}
		accepted <- err
	}
	f.Fd() // the platform passes the socket on: File.Fd makes it blocking
	go accept()
	first, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	if err := nettest.Wait(t, "connection", accepted); err != nil {
		t.Fatal(err)
	}
	f.Fd()
	started := make(chan struct{})
	go func() { close(started); accept() }()
	<-started
	time.Sleep(50 * time.Millisecond) // time for Accept to block; if it does not yet, it still sees the close
	closed := make(chan error, 1)
	go func() { closed <- listener.Close() }()
	if err := nettest.Wait(t, "close", closed); err != nil {
		t.Fatal(err)
	}
	if err := nettest.Wait(t, "end of Accept", accepted); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept ended with %v", err)
	}
}
