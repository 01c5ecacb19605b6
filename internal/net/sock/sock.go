// Package sock inspects connections without reading from them.
package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Peek reports whether the peer keeps the connection open, and whether it is idle, that is, has no unread bytes. A
// connection that can't be inspected counts as open and idle.
func Peek(c net.Conn) (open, idle bool) {
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
		idle = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		open = idle || err == nil && n > 0
	})
	return err == nil && open, err == nil && idle
}

// Age returns the time since the last byte arrived on the connection, read or not; 0 if it is unknown.
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
