// This file owns the form of requests and answers. It must never let a name or number into a message that the
// endpoint side could not write again.

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

// answer is what a client is told; status 0 is nothing, as it has gone.
type answer struct {
	status int
	fields http1.Header
	text   string
	proves bool // the client has asked for something of use
}

const (
	maxName     = 200                // characters of a message's name
	maxDeadline = 7 * 24 * time.Hour // more is a mistake
)

// handle answers one request. taken names the message if the answer takes one on.
func (s *Server) handle(c *client, req *http1.Request, body []byte, arrived time.Time) (a answer, taken string) {
	path, _, _ := strings.Cut(req.Target, "?")
	class, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	switch {
	case path == "/health/ready" || path == "/health/live":
		s.Counts.HealthChecks.Add(1)
		return s.health(path, req.Method), ""
	case !s.classes[class]:
		return s.bad(404, "no such path"), ""
	case req.Method != "POST":
		return s.notAllowed("POST"), ""
	}
	m, err := s.message(class, req, body, arrived)
	if err != nil {
		return s.bad(400, err.Error()), ""
	}
	s.Counts.Submitted.Add(1)
	got := s.cfg.Exchange.Submit(m)
	if got.Verdict == exchange.Accepted && time.Since(arrived) > clientPatience && c.gone() {
		s.cfg.Exchange.Withdraw(m.ID)
		return answer{}, ""
	}
	if got.Verdict == exchange.Accepted {
		return answer{status: 202, proves: true}, m.ID
	}
	return verdict(got), ""
}

func (s *Server) bad(status int, text string) answer {
	s.Counts.Rejected.Add(1)
	return answer{status: status, text: text + "\n"}
}

func (s *Server) notAllowed(allowed string) answer {
	a := s.bad(405, "method not allowed")
	a.fields = http1.Header{{Name: "Allow", Value: allowed}}
	return a
}

func (s *Server) health(path, method string) answer {
	switch {
	case method != "GET":
		return s.notAllowed("GET")
	case path == "/health/ready" && !s.cfg.Ready():
		return answer{status: 503, text: "not ready\n"}
	}
	return answer{status: 200, text: "ok\n", proves: true}
}

// verdict is the exchange's answer, if it did not take the message on.
func verdict(got exchange.Answer) answer {
	a := answer{}
	switch got.Verdict {
	case exchange.Refused:
		a.status, a.proves = 429, true
	case exchange.Stopped:
		a.status, a.proves = 503, true
	case exchange.Unknown:
		a.status, a.text = 400, "no such destination\n"
	case exchange.Duplicate:
		a.status, a.text = 409, "a message of that name is held\n"
	default:
		a.status, a.proves = 500, true
	}
	if got.RetryAfter > 0 {
		value := strconv.FormatFloat(got.RetryAfter.Seconds(), 'f', 3, 64)
		a.fields = http1.Header{{Name: "Retry-After", Value: value}}
	}
	return a
}

// message decodes a message that was handed in on the path of a class.
func (s *Server) message(class string, req *http1.Request, body []byte, arrived time.Time) (*message.Message, error) {
	id := req.Header.Get("Req-Id")
	if !validName(id) {
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
	if key != "" && !validName(key) {
		return nil, fmt.Errorf("bad Idempotency-Key")
	}
	dest, ok := destination(req.Header.Get("Envelope"))
	if !ok {
		return nil, fmt.Errorf("bad Envelope")
	}
	return &message.Message{ID: id, Class: class, Dest: dest, Tenant: req.Header.Get("Req-Owner"), IdempotencyKey: key, Body: body,
		Deadline: arrived.Add(time.Duration(ms) * time.Millisecond)}, nil
}

func validName(id string) bool {
	return id != "" && len(id) <= maxName &&
		!strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c >= 0x7f })
}

// destination finds the number of the destination among an envelope's pairs.
func destination(envelope string) (int, bool) {
	pairs := strings.FieldsFunc(envelope, func(c rune) bool { return strings.ContainsRune(";,& \t", c) })
	for _, pair := range pairs {
		if value, ok := strings.CutPrefix(pair, "dest="); ok {
			n, err := strconv.ParseUint(value, 10, 31)
			return int(n), err == nil
		}
	}
	return 0, false
}
