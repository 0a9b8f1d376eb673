// Package http1 reads and writes the subset of HTTP/1.1 that the sender uses as server and as client: message heads,
// and bodies whose length is given by Content-Length. It owns the syntax and the limits on what a peer may send. It
// must never open a connection, set a deadline, or interpret what a message means.
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

// Limits on what a peer may send.
const (
	MaxHeadBytes = 16 << 10 // bytes of a head: start line and header fields together
	MaxFields    = 64       // header fields of a head
	MaxBodyBytes = 64 << 10 // bytes of a request body

	MaxInterimResponses = 16 // interim (1xx) responses before the final one
)

// maxEmptyLines is how many empty lines before a request line are skipped (RFC 9112, 2.2).
const maxEmptyLines = 2

// Error reports input that violates the syntax or a limit. Status is the status code with which a server answers it; a
// server also sends Msg to the client.
type Error struct {
	Status int
	Msg    string
}

func (e *Error) Error() string { return e.Msg }

// malformed returns an *Error with status 400.
func malformed(format string, args ...any) error {
	return &Error{Status: 400, Msg: fmt.Sprintf(format, args...)}
}

// Field is one header field.
type Field struct{ Name, Value string }

// Header holds header fields in the order in which they were received.
type Header []Field

// Get returns the value of the first field with this name, or "" if there is none. Names are compared without regard to
// case.
func (h Header) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// has reports whether there is a field with this name, whatever its value.
func (h Header) has(name string) bool {
	return slices.ContainsFunc(h, func(f Field) bool { return strings.EqualFold(f.Name, name) })
}

// hasToken reports whether a field with this name has the token in its comma-separated list.
func (h Header) hasToken(name, token string) bool {
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

// Request is the head of a request, with what it specifies about the body and the connection.
type Request struct {
	Method, Target string
	Header         Header
	ContentLength  int  // bytes of the body
	Close          bool // the connection is to be closed after the response
	ExpectContinue bool // the client waits for a 100 response before it sends the body
}

// Response is a response with its body. Close means that the connection cannot be used again.
type Response struct {
	Status  int
	Header  Header
	Body    []byte
	Close   bool
	Chunked bool // of ReadResponseHead: the body is in the chunked transfer coding
}

// ReadRequest reads the head of a request. It returns io.EOF if the stream ends before the first byte, an *Error if the
// head violates the syntax or a limit, and the connection's own error otherwise.
func ReadRequest(br *bufio.Reader) (*Request, error) {
	remaining := MaxHeadBytes
	line, err := readLine(br, &remaining)
	for skipped := 0; err == nil && len(line) == 0 && skipped < maxEmptyLines; skipped++ {
		line, err = readLine(br, &remaining)
	}
	if err != nil {
		return nil, err
	}
	method, rest, hasTarget := strings.Cut(line, " ")
	target, version, hasVersion := strings.Cut(rest, " ")
	if !hasTarget || !hasVersion || !isToken(method) || !isTarget(target) {
		return nil, malformed("bad request line")
	}
	minor, err := minorVersion(version)
	if err != nil {
		return nil, err
	}
	r := &Request{Method: method, Target: target}
	if r.Header, err = readHeader(br, &remaining); err != nil {
		return nil, unexpectedEOF(err)
	}
	// Any Transfer-Encoding field is refused, even an empty one. If an intermediary framed the body by the transfer
	// coding and this server by Content-Length, a part of the body could be read as another request (request smuggling,
	// RFC 9112, 11.2).
	if r.Header.has("Transfer-Encoding") {
		return nil, &Error{Status: 501, Msg: "transfer codings are not supported"}
	}
	if r.ContentLength, _, err = contentLength(r.Header); err != nil {
		return nil, err
	}
	if r.ContentLength > MaxBodyBytes {
		return nil, &Error{Status: 413, Msg: "body too large"}
	}
	r.Close = closesConnection(r.Header, minor)
	r.ExpectContinue = r.Header.hasToken("Expect", "100-continue")
	return r, nil
}

// ReadBody reads a body of the given length into a new slice. The slice grows as bytes arrive, so that a peer cannot
// claim memory by announcing a length alone.
func ReadBody(br *bufio.Reader, length int) ([]byte, error) {
	const initialCapacity = 4 << 10 // bytes
	body := make([]byte, 0, min(length, initialCapacity))
	for len(body) < length {
		if len(body) == cap(body) {
			body = slices.Grow(body, min(length-len(body), len(body)))
		}
		n, err := br.Read(body[len(body):min(length, cap(body))])
		body = body[:len(body)+n]
		if err != nil && len(body) < length {
			return body, unexpectedEOF(err)
		}
	}
	return body, nil
}

// ReadResponse skips interim responses and reads the final one, with a body of up to maxBody bytes.
func ReadResponse(br *bufio.Reader, maxBody int) (*Response, error) {
	for range MaxInterimResponses + 1 {
		if r, err := ReadOneResponse(br, maxBody); err != nil || r.Status >= 200 {
			return r, err
		}
	}
	return nil, malformed("too many interim responses")
}

// ReadOneResponse reads one response, interim or final. If the status line was read and what follows it was not, it
// returns the response together with the error, so that the caller still learns the status.
func ReadOneResponse(br *bufio.Reader, maxBody int) (*Response, error) {
	r, length, err := readOneResponseHead(br)
	if err != nil || length == 0 {
		return r, err
	}
	if r.Chunked {
		r.Close = true
		return r, malformed("transfer codings are not supported")
	}
	return r, r.readBody(br, length, maxBody)
}

// ReadResponseHead skips interim responses and reads the head of the final one. It leaves the body to the caller: what a
// ChunkedReader reads if the response is Chunked, else length bytes, or everything up to the end of the connection if
// length is negative.
func ReadResponseHead(br *bufio.Reader) (r *Response, length int, err error) {
	for range MaxInterimResponses + 1 {
		if r, length, err = readOneResponseHead(br); err != nil || r.Status >= 200 {
			return r, length, err
		}
	}
	return nil, 0, malformed("too many interim responses")
}

// readOneResponseHead reads the head of one response, interim or final, and the length of its body as
// [ReadResponseHead] returns it. An error that comes after the status line is returned together with the response.
func readOneResponseHead(br *bufio.Reader) (r *Response, length int, err error) {
	remaining := MaxHeadBytes
	line, lineErr := readLine(br, &remaining)
	if lineErr != nil && line == "" {
		return nil, 0, lineErr
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
	if lineErr != nil { // in the reason phrase: the status itself is readable
		return r, 0, lineErr
	}
	if r.Header, err = readHeader(br, &remaining); err != nil {
		return r, 0, unexpectedEOF(err)
	}
	r.Close = closesConnection(r.Header, minor)
	if status < 200 || status == 204 || status == 304 {
		return r, 0, nil
	}
	if r.Header.has("Transfer-Encoding") {
		return r, -1, r.readTransferCoding()
	}
	length, present, err := contentLength(r.Header)
	if err != nil || !present { // without a length the body ends with the connection
		r.Close, length = true, -1
	}
	return r, length, err
}

// readTransferCoding notes the chunked coding, the only one that every recipient has to read. With a length beside it, two
// recipients could frame the body differently.
func (r *Response) readTransferCoding() error {
	var codings []string
	for _, f := range r.Header {
		if strings.EqualFold(f.Name, "Transfer-Encoding") {
			codings = append(codings, f.Value)
		}
	}
	r.Chunked = len(codings) == 1 && strings.EqualFold(codings[0], "chunked") && !r.Header.has("Content-Length")
	if !r.Chunked {
		r.Close = true
		return malformed("transfer codings other than chunked are not supported")
	}
	return nil
}

// readBody reads a body of the given length, or up to the end of the connection if length is negative.
func (r *Response) readBody(br *bufio.Reader, length, maxBody int) (err error) {
	if length > maxBody {
		r.Close = true
		return malformed("response body of %d bytes exceeds the limit of %d", length, maxBody)
	}
	if length >= 0 {
		r.Body, err = ReadBody(br, length)
		return err
	}
	r.Body, err = io.ReadAll(io.LimitReader(br, int64(maxBody)+1))
	if err == nil && len(r.Body) > maxBody {
		err = malformed("response body exceeds the limit of %d bytes", maxBody)
	}
	return err
}

// readLine reads one line of a head, without its line ending, and subtracts its length from what remains of the head's
// limit. It returns io.EOF if there is no input, io.ErrUnexpectedEOF if the line is truncated, and both the line and an
// error if the line contains a bare CR or NUL.
func readLine(br *bufio.Reader, remaining *int) (string, error) {
	var line []byte
	for {
		part, err := br.ReadSlice('\n')
		if *remaining -= len(part); *remaining < 0 {
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

// readHeader reads header fields up to the empty line that ends the head.
func readHeader(br *bufio.Reader, remaining *int) (Header, error) {
	var h Header
	for {
		line, err := readLine(br, remaining)
		if err != nil {
			return nil, unexpectedEOF(err)
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

// contentLength returns the value of Content-Length and whether the field is present. Several fields with the same
// value count as one (RFC 9112, 6.3).
func contentLength(h Header) (n int, present bool, err error) {
	var value string
	for _, f := range h {
		if !strings.EqualFold(f.Name, "Content-Length") {
			continue
		}
		if present && f.Value != value {
			return 0, false, malformed("two lengths")
		}
		value, present = f.Value, true
	}
	if !present {
		return 0, false, nil
	}
	if value == "" || strings.ContainsFunc(value, func(c rune) bool { return c < '0' || c > '9' }) {
		return 0, false, malformed("bad length")
	}
	if n, err = strconv.Atoi(value); err != nil {
		return 0, false, &Error{Status: 413, Msg: "body too large"}
	}
	return n, true, nil
}

// minorVersion returns the minor version of HTTP/1.0 or HTTP/1.1, and an error for any other protocol version.
func minorVersion(version string) (int, error) {
	switch version {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	return 0, malformed("bad protocol version")
}

// closesConnection reports whether the connection is to be closed after a message with this header.
func closesConnection(h Header, minor int) bool {
	return h.hasToken("Connection", "close") || minor == 0 && !h.hasToken("Connection", "keep-alive")
}

// isToken reports whether s is a token: a valid method or field name (RFC 9110, 5.6.2).
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool {
		return c <= ' ' || c >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, c)
	})
}

// isTarget reports whether s is a request target in origin form: a path, with or without a query.
func isTarget(s string) bool {
	return strings.HasPrefix(s, "/") && !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c >= 0x7f })
}

// unexpectedEOF replaces io.EOF, for input that ends in the middle of a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// AppendRequest appends a complete request to buf. It adds Content-Length to the fields, except to those of a GET.
func AppendRequest(buf []byte, method, target string, fields Header, body []byte) []byte {
	buf = append(buf, method...)
	buf = append(buf, ' ')
	buf = append(buf, target...)
	buf = append(buf, " HTTP/1.1\r\n"...)
	return appendFieldsAndBody(buf, fields, body, method != "GET")
}

// AppendResponse appends a complete response to buf. It adds Content-Length to the fields, except to those of interim
// and 204 responses.
func AppendResponse(buf []byte, status int, fields Header, body []byte) []byte {
	buf = append(buf, "HTTP/1.1 "...)
	buf = strconv.AppendInt(buf, int64(status), 10)
	buf = append(buf, ' ')
	buf = append(buf, reasonPhrases[status]...)
	buf = append(buf, "\r\n"...)
	return appendFieldsAndBody(buf, fields, body, status >= 200 && status != 204)
}

// appendFieldsAndBody appends everything that follows the start line.
func appendFieldsAndBody(buf []byte, fields Header, body []byte, withLength bool) []byte {
	for _, f := range fields {
		buf = append(buf, f.Name...)
		buf = append(buf, ": "...)
		buf = append(buf, f.Value...)
		buf = append(buf, "\r\n"...)
	}
	if withLength {
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, int64(len(body)), 10)
		buf = append(buf, "\r\n"...)
	}
	buf = append(buf, "\r\n"...)
	return append(buf, body...)
}

var reasonPhrases = map[int]string{
	100: "Continue", 200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
	429: "Too Many Requests", 500: "Internal Server Error", 501: "Not Implemented", 503: "Service Unavailable",
}
