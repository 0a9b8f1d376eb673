// This file owns what the log and the counters report of connections. It must never influence one, and must never write
// a line per call above debug level.

package outbound

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"eiderhaven/internal/exchange"
)

// closeReason is why a connection was closed.
type closeReason int

// The reasons.
const (
	closedForKeepAlive    closeReason = iota // it was idle for as long as endpoints keep connections
	closedOnRequest                          // by CloseIdle
	closedForLimit                           // the pool is at its limit of connections
	closedForShutdown                        // by Close
	closedByEndpoint                         // while it was idle
	closedForUnaskedBytes                    // bytes came that belong to no call
	closedForDistrust                        // its endpoint has sent such bytes before
	closedForQuiet                           // the next call needs one that has been quiet
	closedInWrite                            // a call could not be written, or not in time
	closedWithoutResponse                    // a call was cancelled, or ended without a valid response
	closedByResponse                         // a response said that it closes the connection
	closeReasonCount
)

// closeReasonNames are the names of the reasons in the log.
var closeReasonNames = [closeReasonCount]string{
	closedForKeepAlive: "keep_alive", closedOnRequest: "on_request", closedForLimit: "limit",
	closedForShutdown: "shutdown", closedByEndpoint: "by_endpoint", closedForUnaskedBytes: "unasked_bytes",
	closedForDistrust: "distrust", closedForQuiet: "not_quiet",
	closedInWrite: "in_write", closedWithoutResponse: "no_response", closedByResponse: "by_response",
}

func (r closeReason) String() string { return closeReasonNames[r] }

// Counts are the counters of a pool since its start.
type Counts struct {
	Opened      atomic.Int64 // connections
	FirstUses   atomic.Int64 // calls written on a connection that had carried none
	LaterUses   atomic.Int64 // calls written on any other connection
	UnaskedSeen atomic.Int64 // connections on which bytes came that belong to no call
	Distrusted  atomic.Int64 // times that connections to an endpoint began to carry one call each

	// Responses that do not prove themselves, once they are confirmed, and those that were perhaps another call's.
	Confirmed, Contradicted atomic.Int64

	closed [closeReasonCount]atomic.Int64
}

// LogValue returns the counters under their names in the log.
func (c *Counts) LogValue() slog.Value {
	attrs := []slog.Attr{
		slog.Int64("opened", c.Opened.Load()),
		slog.Int64("first_uses", c.FirstUses.Load()),
		slog.Int64("later_uses", c.LaterUses.Load()),
		slog.Int64("unasked", c.UnaskedSeen.Load()),
		slog.Int64("distrusted", c.Distrusted.Load()),
		slog.Int64("confirmed", c.Confirmed.Load()),
		slog.Int64("contradicted", c.Contradicted.Load()),
	}
	for reason := range c.closed {
		attrs = append(attrs, slog.Int64("closed_"+closeReasonNames[reason], c.closed[reason].Load()))
	}
	return slog.GroupValue(attrs...)
}

// describe returns the log attributes of a connection: its number in this process, its endpoint, how many calls it has
// carried, and the status of its latest response and how old that is.
func (c *conn) describe(to exchange.Peer) []any {
	attrs := []any{"connection", c.number, "endpoint", to.Name, "calls", c.calls}
	if !c.answeredAt.IsZero() {
		attrs = append(attrs, "last_status", c.lastStatus, "answered_ago", time.Since(c.answeredAt))
	}
	return attrs
}

// logClose counts and logs a connection that is about to be closed.
func (p *Pool) logClose(c *conn, to exchange.Peer) {
	p.Counts.closed[c.closeReason].Add(1)
	if p.logsDebug() {
		p.cfg.Log.Debug("connection closed", append(c.describe(to), "reason", c.closeReason)...)
	}
}

// logUnasked counts and logs bytes on a connection that belong to no call. The first ones are logged at level info.
func (p *Pool) logUnasked(c *conn, to exchange.Peer) {
	level := slog.LevelDebug
	if p.Counts.UnaskedSeen.Add(1) == 1 {
		level = slog.LevelInfo
	}
	p.cfg.Log.Log(context.Background(), level, "bytes that belong to no call; further ones are only counted",
		c.describe(to)...)
}

// logCall logs how a call ended, and on which connection.
func (p *Pool) logCall(c *conn, j *job, status int, err error) {
	if !p.logsDebug() {
		return
	}
	ids := make([]string, len(j.call.Items))
	for i, m := range j.call.Items {
		ids[i] = m.ID
	}
	p.cfg.Log.Debug("response", append(c.describe(j.call.To), "ids", ids, "status", status, "err", err)...)
}

func (p *Pool) logsDebug() bool { return p.cfg.Log.Enabled(context.Background(), slog.LevelDebug) }
