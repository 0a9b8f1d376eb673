// Package socket tells what the kernel holds of a connection: unread input, unsent output, and whether the other side has
// ended it. It keeps no state. It must never consume bytes that the owner of the connection has yet to read, and it must
// never block.
package socket

import (
	"errors"
	"net"
	"syscall"
	"unsafe"
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
	raw := Raw(nc)
	if raw == nil {
		return 0, errors.ErrUnsupported
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errors.Join(err, peekErr)
}

// Raw returns the raw form of a connection, nil for one without a socket.
func Raw(nc net.Conn) syscall.RawConn {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// HasUnsentBytes reports whether the other side's machine has yet to acknowledge bytes that were written. It returns
// false where the kernel cannot tell.
func HasUnsentBytes(nc net.Conn) bool {
	raw := Raw(nc)
	if raw == nil {
		return false
	}
	var unsent int32
	_ = raw.Control(func(fd uintptr) { // fails on a closed connection, which has none
		_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&unsent)))
		if errno != 0 {
			unsent = 0
		}
	})
	return unsent > 0
}

// Reset closes a connection and drops what has not been sent: the other side sees a reset instead of the rest.
func Reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection
	}
	nc.Close()
}

// PeerState is what the other side of a connection has said about its end.
type PeerState int

// The states.
const (
	PeerOpen   PeerState = iota // nothing, or the kernel cannot tell
	PeerClosed                  // it sends nothing more; it may still read
	PeerGone                    // it has reset the connection: it reads nothing more
)

// Peer returns what the other side has said about its end, whatever lies unread before that.
func Peer(nc net.Conn) PeerState {
	raw := Raw(nc)
	if raw == nil {
		return PeerOpen
	}
	const (
		tcpClose     = 7 // states of the kernel, in tcp_states.h
		tcpCloseWait = 8
	)
	state := PeerOpen
	err := raw.Control(func(fd uintptr) {
		var info syscall.TCPInfo
		size := uint32(unsafe.Sizeof(info))
		_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
		switch {
		case errno != 0:
		case info.State == tcpClose:
			state = PeerGone
		case info.State == tcpCloseWait:
			state = PeerClosed
		}
	})
	if err != nil { // closed by this side
		return PeerGone
	}
	return state
}
