// Package platform is a small stand-in for what surrounds a sender: discovery and endpoints, from the protocol's
// description. It serves newcomers who try the sender and the project's own tests. It owns no limits, loses nothing
// and hurries nobody; it must never be taken for a measure of what a sender can do.
package platform

import (
	"bufio"
	"net"
	"sync"

	"eiderhaven/internal/http1"
)

// Handler answers one request; nil breaks the connection instead.
type Handler func(req *http1.Request, body []byte) *http1.Response

// Server answers requests on one address.
type Server struct {
	ln            net.Listener
	serveConn     func(net.Conn)
	mu            sync.Mutex
	conns         map[net.Conn]bool
	acceptedConns int
	closed        bool
	wg            sync.WaitGroup
}

// Listen starts a server; a port of 0 is any free one.
func Listen(addr string, handle Handler) (*Server, error) {
	return ListenRaw(addr, handle.serveConn)
}

// ListenRaw starts a server that leaves what passes on each connection to serve, and closes it afterwards.
func ListenRaw(addr string, serve func(net.Conn)) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln, serveConn: serve, conns: map[net.Conn]bool{}}
	s.wg.Go(s.accept)
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Opened is how many connections it has accepted.
func (s *Server) AcceptedConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptedConns
}

// Open is how many of them are open.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close breaks all connections and ends the server.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.ln.Close()
	s.CloseConnections()
	s.wg.Wait()
}

// Break breaks all connections; new ones are still accepted.
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
		if s.closed { // accepted just before the end
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

// Read reads one whole request.
func ReadRequest(br *bufio.Reader) (req *http1.Request, body []byte, err error) {
	if req, err = http1.ReadRequest(br); err != nil {
		return nil, nil, err
	}
	body, err = http1.ReadBody(br, req.ContentLength)
	return req, body, err
}

// serve answers requests until the connection ends.
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
