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
	if _, ok := nc.(syscall.Conn); !ok {
		return true
	}
	_, err := peek(nc)
	return errors.Is(err, syscall.EAGAIN)
}

// HasUnreadBytes reports whether a read would find bytes. It returns false for a connection without a socket.
func HasUnreadBytes(nc net.Conn) bool {
	n, err := peek(nc)
	return err == nil && n > 0
}

// peek returns how many bytes, one at most, a read would find, or the error with which it would fail. It is 0 without an
// error at the end of the stream.
func peek(nc net.Conn) (n int, err error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errors.Join(err, peekErr)
}
