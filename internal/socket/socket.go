// Package socket checks whether a connection has unread input. It keeps no state. It must never consume bytes that the
// owner of the connection has yet to read, and it must never block.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// ReadWouldBlock reports whether a read would find neither bytes nor the end of the stream. It asks the kernel
// directly, because Go's own reads fail without looking at the socket once the read deadline has passed. It returns
// true for a connection without a socket.
func ReadWouldBlock(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && wouldBlock
}
