// Package http1 reads and writes the part of HTTP/1.1 that the sender speaks, as server and as client: heads and
// bodies with a stated length. It owns the grammar and the bounds on what a peer may send. It must never open a
// connection, set a time limit, or know what a message means.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Bounds on what a peer may send.
const (
	MaxHeadBytes = 16 << 10 // bytes of a head, its lines together
	MaxFields    = 64       // header lines
	MaxBodyBytes = 64 << 10 // bytes of a message's body

	MaxInterimResponses = 16 // answers (1xx) ahead of the real one
)

// Error is a fault in what a peer sent. Status is what a server answers to it.
type Error struct {
	Status int
	Msg    string
}

func (e *Error) Error() string { return e.Msg }

func malformed(format string, args ...any) error {
	return &Error{Status: 400, Msg: fmt.Sprintf(format, args...)}
}

// Field is one header line.
type Field struct{ Name, Value string }

// Header holds header lines in the order in which they came.
type Header []Field

// Get returns the value of the first field of that name, "" if there is none. Case does not matter.
func (h Header) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// has tells whether there is a field of that name, whatever its value.
func (h Header) has(name string) bool {
	return slices.ContainsFunc(h, func(f Field) bool { return strings.EqualFold(f.Name, name) })
}

// lists tells whether a comma-separated field holds a token.
func (h Header) lists(name, token string) bool {
	for _, f := range h {
		if !strings.EqualFold(f.Name, name) {
			continue
		}
		for part := range strings.SplitSeq(f.Value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// Request is the head of a request, with what it says of its body and its connection.
type Request struct {
	Method, Target string
	Header         Header
	ContentLength  int  // of the body
	Close          bool // the connection ends after the answer
	ExpectContinue bool // the client waits for leave to send the body
}

// Response is an answer.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool
}

// ReadRequest reads the head of a request. It returns io.EOF if the peer ended before its first byte, an *Error
// for what breaks the grammar or the bounds, and the connection's own error otherwise.
func ReadRequest(br *bufio.Reader) (*Request, error) {
	room := MaxHeadBytes
	line, err := readLine(br, &room)
	for blank := 0; err == nil && len(line) == 0 && blank < 2; blank++ { // stray line ends between requests
		line, err = readLine(br, &room)
	}
	if err != nil {
		return nil, err
	}
	method, rest, ok1 := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok1 || !ok2 || !isToken(method) || !isTarget(target) {
		return nil, malformed("bad request line")
	}
	minor, err := minorVersion(version)
	if err != nil {
		return nil, err
	}
	r := &Request{Method: method, Target: target}
	if r.Header, err = readHeader(br, &room); err != nil {
		return nil, noEOF(err)
	}
	// Any such field, empty or not: another reader might go by a coding where this one goes by a length, and take a part
	// of the body for a request of its own.
	if r.Header.has("Transfer-Encoding") {
		return nil, &Error{Status: 501, Msg: "transfer codings are not supported"}
	}
	if r.ContentLength, _, err = contentLength(r.Header); err != nil {
		return nil, err
	}
	if r.ContentLength > MaxBodyBytes {
		return nil, &Error{Status: 413, Msg: "body too large"}
	}
	r.Close = closes(r.Header, minor)
	r.ExpectContinue = r.Header.lists("Expect", "100-continue")
	return r, nil
}

// ReadBody reads a body of a known length into a slice of its own. The slice grows with what comes, so that a length
// alone claims no memory.
func ReadBody(br *bufio.Reader, n int) ([]byte, error) {
	const first = 4 << 10
	body := make([]byte, 0, min(n, first))
	for len(body) < n {
		if len(body) == cap(body) {
			body = slices.Grow(body, min(n-len(body), len(body)))
		}
		k, err := br.Read(body[len(body):min(n, cap(body))])
		body = body[:len(body)+k]
		if err != nil && len(body) < n {
			return body, noEOF(err)
		}
	}
	return body, nil
}

// ReadResponse reads an answer with a body of at most most bytes, past the interim ones ahead of it.
func ReadResponse(br *bufio.Reader, most int) (*Response, error) {
	for range MaxInterimResponses + 1 {
		if r, err := ReadOneResponse(br, most); err != nil || r.Status >= 200 {
			return r, err
		}
	}
	return nil, malformed("too many interim answers")
}

// ReadPart reads one answer, which may be an interim one. If the first line came and what follows it did not, the
// response is returned with the error, so that its status can be told.
func ReadOneResponse(br *bufio.Reader, most int) (*Response, error) {
	r, length, err := readHead(br)
	if err != nil || length == 0 {
		return r, err
	}
	return r, r.readBody(br, length, most)
}

// ReadResponseHead reads the head of an answer, past the interim ones ahead of it, and leaves its body to the caller: so many
// bytes, or all to the end of the connection if the length is negative.
func ReadResponseHead(br *bufio.Reader) (r *Response, length int, err error) {
	for range MaxInterimResponses + 1 {
		if r, length, err = readHead(br); err != nil || r.Status >= 200 {
			return r, length, err
		}
	}
	return nil, 0, malformed("too many interim answers")
}

func readHead(br *bufio.Reader) (r *Response, length int, err error) {
	room := MaxHeadBytes
	line, bad := readLine(br, &room)
	if bad != nil && line == "" {
		return nil, 0, bad
	}
	version, rest, _ := strings.Cut(line, " ")
	minor, err := minorVersion(version)
	if err != nil {
		return nil, 0, err
	}
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 {
		return nil, 0, malformed("bad status line")
	}
	r = &Response{Status: status, Close: true}
	if bad != nil { // in the reason, which means nothing
		return r, 0, bad
	}
	if r.Header, err = readHeader(br, &room); err != nil {
		return r, 0, noEOF(err)
	}
	r.Close = closes(r.Header, minor)
	if status < 200 || status == 204 || status == 304 {
		return r, 0, nil
	}
	if r.Header.has("Transfer-Encoding") {
		r.Close = true
		return r, 0, malformed("transfer codings are not supported")
	}
	length, told, err := contentLength(r.Header)
	if err != nil || !told { // without a length it ends with the connection
		r.Close, length = true, -1
	}
	return r, length, err
}

func (r *Response) readBody(br *bufio.Reader, length, most int) (err error) {
	if length > most {
		r.Close = true
		return malformed("answer of %d bytes is too large", length)
	}
	if length >= 0 {
		r.Body, err = ReadBody(br, length)
		return err
	}
	r.Body, err = io.ReadAll(io.LimitReader(br, int64(most)+1))
	if err == nil && len(r.Body) > most {
		err = malformed("answer is too large")
	}
	return err
}

// readLine reads one line of a head without its end. An empty input is io.EOF, a cut one io.ErrUnexpectedEOF. A line
// with a control character is returned with the error.
func readLine(br *bufio.Reader, room *int) (string, error) {
	var line []byte
	for {
		part, err := br.ReadSlice('\n')
		if *room -= len(part); *room < 0 {
			return "", malformed("head too large")
		}
		line = append(line, part...)
		switch {
		case err == nil:
			line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
			if bytes.ContainsAny(line, "\r\x00") {
				return string(line), malformed("stray control character")
			}
			return string(line), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(line) > 0:
			return "", io.ErrUnexpectedEOF
		default:
			return "", err
		}
	}
}

func readHeader(br *bufio.Reader, room *int) (Header, error) {
	var h Header
	for {
		line, err := readLine(br, room)
		if err != nil {
			return nil, noEOF(err)
		}
		if line == "" {
			return h, nil
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return nil, malformed("bad header line")
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsFunc(value, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }) {
			return nil, malformed("control character in a header line")
		}
		if len(h) == MaxFields {
			return nil, malformed("too many header lines")
		}
		h = append(h, Field{name, value})
	}
}

// contentLength returns the length of the body and whether the header tells it.
func contentLength(h Header) (n int, told bool, err error) {
	var text string
	for _, f := range h {
		if !strings.EqualFold(f.Name, "Content-Length") {
			continue
		}
		if told && f.Value != text {
			return 0, false, malformed("two lengths")
		}
		text, told = f.Value, true
	}
	if !told {
		return 0, false, nil
	}
	if text == "" || strings.ContainsFunc(text, func(c rune) bool { return c < '0' || c > '9' }) {
		return 0, false, malformed("bad length")
	}
	if n, err = strconv.Atoi(text); err != nil {
		return 0, false, &Error{Status: 413, Msg: "body too large"}
	}
	return n, true, nil
}

func minorVersion(version string) (int, error) {
	switch version {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	return 0, malformed("bad protocol version")
}

func closes(h Header, minor int) bool {
	return h.lists("Connection", "close") || minor == 0 && !h.lists("Connection", "keep-alive")
}

func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool {
		return c <= ' ' || c >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, c)
	})
}

func isTarget(s string) bool {
	return strings.HasPrefix(s, "/") && !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c >= 0x7f })
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// AppendRequest appends a whole request to buf. The length is added to the fields.
func AppendRequest(buf []byte, method, target string, fields Header, body []byte) []byte {
	buf = append(buf, method...)
	buf = append(buf, ' ')
	buf = append(buf, target...)
	buf = append(buf, " HTTP/1.1\r\n"...)
	return appendRest(buf, fields, body, method != "GET")
}

// AppendResponse appends a whole answer to buf. The length is added to the fields.
func AppendResponse(buf []byte, status int, fields Header, body []byte) []byte {
	buf = append(buf, "HTTP/1.1 "...)
	buf = strconv.AppendInt(buf, int64(status), 10)
	buf = append(buf, ' ')
	buf = append(buf, reasons[status]...)
	buf = append(buf, "\r\n"...)
	return appendRest(buf, fields, body, status >= 200 && status != 204)
}

func appendRest(buf []byte, fields Header, body []byte, length bool) []byte {
	for _, f := range fields {
		buf = append(buf, f.Name...)
		buf = append(buf, ": "...)
		buf = append(buf, f.Value...)
		buf = append(buf, "\r\n"...)
	}
	if length {
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, int64(len(body)), 10)
		buf = append(buf, "\r\n"...)
	}
	buf = append(buf, "\r\n"...)
	return append(buf, body...)
}

var reasons = map[int]string{
	100: "Continue", 200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
	429: "Too Many Requests", 500: "Internal Server Error", 501: "Not Implemented", 503: "Service Unavailable",
}
