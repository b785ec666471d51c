package upstream

import (
	"net"
	"syscall"
)

// Reusable reports whether an idle connection is open and has no unread bytes. The
// check finds connections that the server has closed, or on which a late response
// has arrived, before a request is written to them.
func Reusable(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && reusable
}
