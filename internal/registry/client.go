// This file owns one connection to discovery and the request on it. It must never repeat a request by itself:
// whether to ask again is for its user.

package registry

import (
	"bufio"
	"context"
	"net"
	"time"

	"eiderhaven/internal/http1"
)

// client makes one request at a time over a connection that it keeps. It must never be used by two goroutines.
type client struct {
	addr string
	nc   net.Conn
	br   *bufio.Reader
	buf  []byte
}

const (
	connectLimit = time.Second
	maxList      = 4 << 20 // bytes of the longest list that is read
)

// do makes a request and waits for its answer until the limit has passed or the context ends.
func (c *client) do(ctx context.Context, limit time.Duration, method, target string, body []byte) (
	*http1.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if c.nc == nil {
		d := net.Dialer{Timeout: connectLimit, KeepAlive: -1}
		nc, err := d.DialContext(ctx, "tcp", c.addr)
		if err != nil {
			return nil, err
		}
		c.nc, c.br = nc, bufio.NewReaderSize(nc, 4096)
	}
	c.nc.SetDeadline(time.Time{})
	nc := c.nc
	stop := context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	c.buf = http1.AppendRequest(c.buf[:0], method, target, http1.Header{{Name: "Host", Value: c.addr}}, body)
	resp, err := c.exchange()
	if err != nil || resp.Close || c.br.Buffered() > 0 || !stop() {
		c.close()
	}
	return resp, err
}

func (c *client) exchange() (*http1.Response, error) {
	if _, err := c.nc.Write(c.buf); err != nil {
		return nil, err
	}
	return http1.ReadResponse(c.br, maxList)
}

func (c *client) close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}
