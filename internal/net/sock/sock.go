// Package sock looks at connections without reading from them.
package sock

import (
	"net"
	"syscall"
)

// Look says whether the other side still keeps the connection open, and whether nothing has come
// on it that is not read yet. What it can't look at counts as open and quiet.
func Look(c net.Conn) (open, quiet bool) {
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
