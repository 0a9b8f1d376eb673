// This file owns the format of requests and responses. It must never let an identifier or number into a message that
// the endpoint side could not write into a call.

package intake

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/http1"
	"eiderhaven/internal/message"
)

// response is what a client is sent. Status 0 means nothing, because the client has disconnected.
type response struct {
	status     int
	fields     http1.Header
	body       string
	earnsTrust bool // the request shows a legitimate client, which is evicted later than others
}

const (
	maxIDLength = 200                // characters of a message's ID or idempotency key
	maxDeadline = 7 * 24 * time.Hour // a later one is taken for a mistake
)

// handle answers one request. acceptedID is the ID of the message if one was accepted.
func (s *Server) handle(c *client, req *http1.Request, body []byte, arrived time.Time) (
	resp response, acceptedID string) {
	path, _, _ := strings.Cut(req.Target, "?")
	class, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	switch {
	case path == "/health/ready" || path == "/health/live":
		s.Counts.HealthChecks.Add(1)
		return s.health(path, req.Method), ""
	case !s.classes[class]:
		return s.errorResponse(404, "no such path"), ""
	case req.Method != "POST":
		return s.methodNotAllowed("POST"), ""
	}
	m, err := s.parseMessage(class, req, body, arrived)
	if err != nil {
		return s.errorResponse(400, err.Error()), ""
	}
	switch s.departureOf(c) {
	case hasGone:
		return response{}, ""
	case leavesMore:
		return s.errorResponse(503, "the connection was ended behind several requests"), ""
	}
	s.Counts.Submitted.Add(1)
	answer := s.cfg.Exchange.Submit(m)
	// A client that had to wait too long may have disconnected. It then counts the message as not accepted.
	if answer.Verdict == exchange.Accepted && time.Since(arrived) > clientTimeout && c.disconnected() {
		<-s.cfg.Exchange.Withdraw(m.ID)
		return response{}, ""
	}
	if answer.Verdict == exchange.Accepted {
		return response{status: 202, earnsTrust: true}, m.ID
	}
	return verdictResponse(answer), ""
}

// errorResponse counts and returns the response to a request that is not passed to the exchange.
func (s *Server) errorResponse(status int, text string) response {
	s.Counts.Rejected.Add(1)
	return response{status: status, body: text + "\n"}
}

func (s *Server) methodNotAllowed(allowed string) response {
	resp := s.errorResponse(405, "method not allowed")
	resp.fields = http1.Header{{Name: "Allow", Value: allowed}}
	return resp
}

// health answers a health check.
func (s *Server) health(path, method string) response {
	switch {
	case method != "GET":
		return s.methodNotAllowed("GET")
	case path == "/health/ready" && !s.cfg.Ready():
		return response{status: 503, body: "not ready\n"}
	}
	return response{status: 200, body: "ok\n", earnsTrust: true}
}

// verdictResponse converts the exchange's answer to a message that it did not accept.
func verdictResponse(answer exchange.Answer) response {
	resp := response{}
	switch answer.Verdict {
	case exchange.Refused:
		resp.status, resp.earnsTrust = 429, true
	case exchange.Stopped:
		resp.status, resp.earnsTrust = 503, true
	case exchange.Unknown:
		resp.status, resp.body = 400, "no such destination\n"
	case exchange.Duplicate:
		resp.status, resp.body = 409, "a message of that name is held\n"
	default:
		resp.status, resp.earnsTrust = 500, true
	}
	if answer.RetryAfter > 0 {
		value := strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', 3, 64)
		resp.fields = http1.Header{{Name: "Retry-After", Value: value}}
	}
	return resp
}

// parseMessage decodes a message that was submitted on the path of a class.
func (s *Server) parseMessage(class string, req *http1.Request, body []byte, arrived time.Time) (
	*message.Message, error) {
	id := req.Header.Get("Req-Id")
	if !validIdentifier(id) {
		return nil, fmt.Errorf("bad Req-Id")
	}
	if kind := req.Header.Get("Req-Kind"); kind != class {
		return nil, fmt.Errorf("Req-Kind does not fit the path")
	}
	ms, err := strconv.ParseInt(req.Header.Get("Req-Deadline-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return nil, fmt.Errorf("bad Req-Deadline-Ms")
	}
	key := req.Header.Get("Idempotency-Key")
	if key != "" && !validIdentifier(key) {
		return nil, fmt.Errorf("bad Idempotency-Key")
	}
	dest, ok := parseDestination(req.Header.Get("Envelope"))
	if !ok {
		return nil, fmt.Errorf("bad Envelope")
	}
	return &message.Message{
		ID:             id,
		Class:          class,
		Dest:           dest,
		Tenant:         req.Header.Get("Req-Owner"),
		IdempotencyKey: key,
		Deadline:       arrived.Add(time.Duration(ms) * time.Millisecond),
		Body:           body,
	}, nil
}

// validIdentifier reports whether id can be an ID or a key: visible ASCII characters, up to maxIDLength of them.
func validIdentifier(id string) bool {
	return id != "" && len(id) <= maxIDLength &&
		!strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c >= 0x7f })
}

// parseDestination returns the number of the destination from the pairs of an Envelope field, such as "dest=7; x=y".
func parseDestination(envelope string) (int, bool) {
	isSeparator := func(c rune) bool { return strings.ContainsRune(";,& \t", c) }
	pairs := strings.FieldsFunc(envelope, isSeparator)
	for _, pair := range pairs {
		if value, ok := strings.CutPrefix(pair, "dest="); ok {
			n, err := strconv.ParseUint(value, 10, 31)
			return int(n), err == nil
		}
	}
	return 0, false
}
