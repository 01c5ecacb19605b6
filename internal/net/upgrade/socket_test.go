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

// inherited is a copy of the file's descriptor, as a process that was started with it has one.
func inherited(t *testing.T, f *os.File) string {
	t.Helper()
	fd, err := syscall.Dup(int(f.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	return strconv.Itoa(fd)
}

// platform holds a clients' socket, and the file that it passes on.
func platform(t *testing.T) (net.Listener, *os.File) {
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

// What is no listening TCP socket is a plain error in one line; without the variable there is none to serve.
func TestInheritedIsChecked(t *testing.T) {
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
		"a word": "four", "negative": "-1", "closed": "1000000", "a file": inherited(t, file),
		"a datagram socket": inherited(t, udp), "a listening Unix socket": inherited(t, unix),
	} {
		if l, err := Inherited(env(text)); err == nil || l != nil {
			t.Errorf("%s: taken", name)
		} else if name[0] == 'a' && name != "a word" && !errors.Is(err, errNotListening) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if l, err := Inherited(env("")); l != nil || err != nil {
		t.Error(l, err)
	}
}

// Closing it here closes nothing for the platform or another process.
func TestInheritedStaysOpenForOthers(t *testing.T) {
	l, f := platform(t)
	for range 2 { // one process after the other
		own, err := Inherited(env(inherited(t, f)))
		if err != nil {
			t.Fatal(err)
		}
		if own.Addr().String() != l.Addr().String() {
			t.Fatal(own.Addr())
		}
		if err := own.Close(); err != nil {
			t.Fatal(err)
		}
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal("closed for others:", err)
	}
	defer c.Close()
	if served, err := l.Accept(); err != nil {
		t.Fatal(err)
	} else {
		served.Close()
	}
}

// Another process that holds the socket makes it block, as passing it on does: whoever accepts here still ends when it
// closes, and takes no connection after that, which is the next process's.
func TestInheritedEndsThoughOthersMakeItBlock(t *testing.T) {
	l, f := platform(t)
	own, err := Inherited(env(inherited(t, f)))
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan error, 2)
	accept := func() {
		c, err := own.Accept()
		if err == nil {
			c.Close()
		}
		accepted <- err
	}
	f.Fd() // the platform passes it on to a next process: the file's method makes the socket block
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
	began := make(chan struct{})
	go func() { close(began); accept() }()
	<-began
	time.Sleep(50 * time.Millisecond) // it waits by now; if it does not, it meets the end all the same
	closed := make(chan error, 1)
	go func() { closed <- own.Close() }()
	if err := nettest.Wait(t, "close", closed); err != nil {
		t.Fatal(err)
	}
	if err := nettest.Wait(t, "end of accepting", accepted); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accepting ended with %v", err)
	}
}
