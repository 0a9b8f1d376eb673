// Package socket looks at what lies unread on a connection. It owns nothing; it must never read a byte away from the
// connection's owner, nor wait.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// Silent tells whether neither bytes nor an end have come that the connection's owner has not read yet. It looks past
// the runtime, whose reads give up without looking once their deadline has passed. What has no socket counts as silent.
func ReadWouldBlock(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && silent
}
