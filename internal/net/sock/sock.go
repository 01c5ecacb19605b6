// Package sock looks at connections without reading from them.
package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Peek says whether the other side still keeps the connection open, and whether nothing has come
// on it that is not read yet. What it can't look at counts as open and quiet.
func Peek(c net.Conn) (open, quiet bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true, true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		open = quiet || err == nil && n > 0
	})
	return err == nil && open, err == nil && quiet
}

// Age is how long ago the last byte came on the connection, read or not; 0 where that can't be told.
func Age(c net.Conn) (age time.Duration) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}
