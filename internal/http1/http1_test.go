package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
)

// parseRequest reads a request through a buffer that is smaller than most lines.
func parseRequest(text string) (*Request, []byte, error) {
	br := bufio.NewReaderSize(strings.NewReader(text), 64)
	r, err := ReadRequest(br)
	if err != nil {
		return nil, nil, err
	}
	body, err := ReadBody(br, r.ContentLength)
	return r, body, err
}

func TestReadRequest(t *testing.T) {
	r, body, err := parseRequest("\r\nPOST /notice?x=1 HTTP/1.1\r\nHost: app.svc\r\nreq-id:  9b1f \r\nExpect: 100-Continue\r\n" +
		"Content-Length: 5\r\n\r\nhel\r\n")
	if err != nil {
		t.Fatal(err)
	}
	if r.Method != "POST" || r.Target != "/notice?x=1" || string(body) != "hel\r\n" || r.Close || !r.ExpectContinue {
		t.Errorf("got %+v, body %q", r, body)
	}
	if id := r.Header.Get("Req-Id"); id != "9b1f" {
		t.Errorf("Req-Id is %q, want 9b1f", id)
	}
}

func TestRequestClosesConnection(t *testing.T) {
	for head, want := range map[string]bool{
		"GET / HTTP/1.1\r\n\r\n":                                         false,
		"GET / HTTP/1.1\r\nConnection: keep-alive, Close\r\n\r\n":        true,
		"GET / HTTP/1.0\r\n\r\n":                                         true,
		"GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n":               false,
		"GET / HTTP/1.1\r\nConnection: foo\r\nConnection: close\r\n\r\n": true,
	} {
		r, _, err := parseRequest(head)
		if err != nil || r.Close != want {
			t.Errorf("%q: close %v, error %v; want close %v", head, r != nil && r.Close, err, want)
		}
	}
}

func TestBadRequests(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"no version":          {"GET /\r\n\r\n", 400},
		"other version":       {"GET / HTTP/2.0\r\n\r\n", 400},
		"no method":           {" / HTTP/1.1\r\n\r\n", 400},
		"odd method":          {"G(T / HTTP/1.1\r\n\r\n", 400},
		"target not a path":   {"GET x HTTP/1.1\r\n\r\n", 400},
		"space in path":       {"GET /a b HTTP/1.1\r\n\r\n", 400},
		"control in path":     {"GET /a\x01 HTTP/1.1\r\n\r\n", 400},
		"line without colon":  {"GET / HTTP/1.1\r\nHost\r\n\r\n", 400},
		"space before colon":  {"GET / HTTP/1.1\r\nHost : x\r\n\r\n", 400},
		"folded line":         {"GET / HTTP/1.1\r\nHost: x\r\n y\r\n\r\n", 400},
		"NUL in value":        {"GET / HTTP/1.1\r\nHost: x\x00\r\n\r\n", 400},
		"bare CR":             {"GET / HTTP/1.1\r\nHost: x\ry\r\n\r\n", 400},
		"two lengths":         {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", 400},
		"negative length":     {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
		"signed length":       {"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\nx", 400},
		"empty length":        {"POST / HTTP/1.1\r\nContent-Length:\r\n\r\n", 400},
		"length over 64 KiB":  {"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413},
		"length over 64 bits": {"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", 413},
		"chunked":             {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 501},
		"empty coding":        {"POST / HTTP/1.1\r\nTransfer-Encoding:\r\nContent-Length: 1\r\n\r\nx", 501},
		"two coding fields":   {"POST / HTTP/1.1\r\nTransfer-Encoding:\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", 501},
		"coding and length":   {"POST / HTTP/1.1\r\nContent-Length: 5\r\ntransfer-encoding: identity\r\n\r\n0\r\n\r\n", 501},
		"head too long":       {"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", MaxHeadBytes) + "\r\n\r\n", 400},
		"endless line":        {strings.Repeat("x", MaxHeadBytes+1), 400},
		"too many fields":     {"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", MaxFields+1) + "\r\n", 400},
	} {
		_, _, err := parseRequest(c.text)
		var httpErr *Error
		if !errors.As(err, &httpErr) || httpErr.Status != c.status {
			t.Errorf("%s: got %v, want status %d", name, err, c.status)
		}
	}
}

// Interim responses are skipped up to a limit, so that a peer cannot keep a reader busy for ever.
func TestInterimResponsesAreBounded(t *testing.T) {
	const interim, final = "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	if r, err := parseResponse(strings.Repeat(interim, MaxInterimResponses) + final); err != nil || r.Status != 200 {
		t.Errorf("%d interim responses: got %+v, error %v", MaxInterimResponses, r, err)
	}
	if r, err := parseResponse(strings.Repeat(interim, MaxInterimResponses+1) + final); err == nil {
		t.Errorf("%d interim responses: got %+v, want an error", MaxInterimResponses+1, r)
	}
}

func TestTruncatedRequests(t *testing.T) {
	complete := "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
	for n := range len(complete) {
		want := io.ErrUnexpectedEOF
		if n == 0 {
			want = io.EOF
		}
		if _, _, err := parseRequest(complete[:n]); !errors.Is(err, want) {
			t.Errorf("%q: got %v, want %v", complete[:n], err, want)
		}
	}
}

func TestLargestBody(t *testing.T) {
	body := bytes.Repeat([]byte("x"), MaxBodyBytes)
	_, got, err := parseRequest(string(AppendRequest(nil, "POST", "/", nil, body)))
	if err != nil || !bytes.Equal(got, body) {
		t.Errorf("a body of %d bytes: got %d, error %v", MaxBodyBytes, len(got), err)
	}
}

// parseResponse reads a final response with a body of up to 100 bytes.
func parseResponse(text string) (*Response, error) {
	return ReadResponse(bufio.NewReaderSize(strings.NewReader(text), 64), 100)
}

func TestReadResponse(t *testing.T) {
	for text, want := range map[string]Response{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi":                            {Status: 200, Body: []byte("hi")},
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n": {Status: 200, Body: []byte{}},
		"HTTP/1.1 204\r\n\r\n": {Status: 204},
		"HTTP/1.1 429 Too Many\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx": {Status: 429, Body: []byte("x"), Close: true},
		"HTTP/1.1 503 \r\n\r\nto the end":                                          {Status: 503, Body: []byte("to the end"), Close: true},
	} {
		r, err := parseResponse(text)
		if err != nil || r.Status != want.Status || !bytes.Equal(r.Body, want.Body) || r.Close != want.Close {
			t.Errorf("%q: got %+v, error %v", text, r, err)
		}
	}
}

// A status line with 200 means that the message was delivered, even if the rest of the response is cut off: the
// response must be returned with the error.
func TestTruncatedResponseKeepsStatus(t *testing.T) {
	complete := "HTTP/1.1 200 OK\r\nWait-Ms: 5\r\nContent-Length: 2\r\n\r\nhi"
	statusLineEnd := strings.Index(complete, "\n") + 1
	for n := range len(complete) {
		r, err := parseResponse(complete[:n])
		if err == nil {
			t.Errorf("%q: no error", complete[:n])
		}
		if hasStatus := r != nil && r.Status == 200; hasStatus != (n >= statusLineEnd) {
			t.Errorf("%q: status returned: %v, want %v", complete[:n], hasStatus, n >= statusLineEnd)
		}
	}
}

func TestBadResponses(t *testing.T) {
	for _, text := range []string{"", "x", "HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 abc\r\n\r\n",
		"HTTP/3 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 101)} {
		if r, err := parseResponse(text); err == nil {
			t.Errorf("%.40q: got %+v, want an error", text, r)
		}
	}
}

// A request that parses stays within the limits, and parses to the same request after it was encoded again.
func FuzzReadRequest(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nContent-Length: 2\r\nReq-Id: x\r\n\r\nhi"))
	f.Add([]byte("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		br := bufio.NewReaderSize(bytes.NewReader(text), 64)
		r, err := ReadRequest(br)
		if err != nil {
			return
		}
		body, err := ReadBody(br, r.ContentLength)
		if err != nil {
			return
		}
		if len(r.Header) > MaxFields || len(body) > MaxBodyBytes {
			t.Fatalf("limits exceeded: %d header fields, %d bytes of body", len(r.Header), len(body))
		}
		fields := slices.DeleteFunc(slices.Clone(r.Header), func(f Field) bool { return strings.EqualFold(f.Name, "Content-Length") })
		reparsed, rebody, err := parseRequest(string(AppendRequest(nil, r.Method, r.Target, fields, body)))
		if err != nil && r.Method != "GET" {
			t.Fatalf("re-encoded, the request does not parse: %v", err)
		}
		if err == nil && r.Method != "GET" && (reparsed.Target != r.Target || !bytes.Equal(body, rebody)) {
			t.Fatalf("re-encoded, the request differs: %+v, %+v", r, reparsed)
		}
	})
}

// A response that parses has a final status and a body within the limit.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 429 x\r\nWait-Ms: 7\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := ReadResponse(bufio.NewReaderSize(bytes.NewReader(text), 64), 1000)
		if err == nil && (r.Status < 200 || r.Status > 999 || len(r.Body) > 1000) {
			t.Fatalf("got %+v", r)
		}
	})
}
