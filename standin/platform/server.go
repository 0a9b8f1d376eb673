// Package platform is a small stand-in for the services around a sender: discovery and endpoints, implemented from the
// protocol's description. It is meant for trying out the sender and for this project's tests. It enforces no limits,
// loses no messages and sets no time limits, so it must never be used to measure what a sender can do.
package platform

import (
	"bufio"
	"net"
	"sync"

	"eiderhaven/internal/http1"
)

// Handler returns the response to one request, or nil to close the connection without one.
type Handler func(req *http1.Request, body []byte) *http1.Response

// Server accepts connections on one address.
type Server struct {
	ln            net.Listener
	serveConn     func(net.Conn)
	mu            sync.Mutex // guards the three fields below
	conns         map[net.Conn]bool
	acceptedConns int
	closed        bool
	wg            sync.WaitGroup
}

// Listen starts a server that answers HTTP requests. Port 0 selects any free port.
func Listen(addr string, handle Handler) (*Server, error) {
	return ListenRaw(addr, handle.serveConn)
}

// ListenRaw starts a server that calls serve for each connection and closes the connection afterwards.
func ListenRaw(addr string, serve func(net.Conn)) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln, serveConn: serve, conns: map[net.Conn]bool{}}
	s.wg.Go(s.accept)
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// AcceptedConnections returns the number of connections accepted so far.
func (s *Server) AcceptedConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptedConns
}

// OpenConnections returns the number of connections that are open now.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close stops the server and closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.ln.Close()
	s.CloseConnections()
	s.wg.Wait()
}

// CloseConnections closes all connections. New ones are still accepted.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for nc := range s.conns {
		nc.Close()
	}
}

func (s *Server) accept() {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed { // accepted just before Close closed the listener
			nc.Close()
		} else {
			s.acceptedConns++
			s.conns[nc] = true
			s.wg.Go(func() { s.handleConn(nc) })
		}
		s.mu.Unlock()
	}
}

func (s *Server) handleConn(nc net.Conn) {
	defer func() {
		nc.Close()
		s.mu.Lock()
		delete(s.conns, nc)
		s.mu.Unlock()
	}()
	s.serveConn(nc)
}

// ReadRequest reads one whole request.
func ReadRequest(br *bufio.Reader) (req *http1.Request, body []byte, err error) {
	if req, err = http1.ReadRequest(br); err != nil {
		return nil, nil, err
	}
	body, err = http1.ReadBody(br, req.ContentLength)
	return req, body, err
}

// serveConn answers the requests of one connection until it ends.
func (handle Handler) serveConn(nc net.Conn) {
	br := bufio.NewReader(nc)
	for {
		req, body, err := ReadRequest(br)
		if err != nil {
			return
		}
		resp := handle(req, body)
		if resp == nil {
			return
		}
		if _, err := nc.Write(http1.AppendResponse(nil, resp.Status, resp.Header, resp.Body)); err != nil {
			return
		}
		if req.Close || resp.Close {
			return
		}
	}
}
