package http1

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestChunkedBodyIsReadToItsEnd guards against a body that is cut, padded or read beyond its end: the next response of the
// connection begins behind it. The text comes byte by byte.
func TestChunkedBodyIsReadToItsEnd(t *testing.T) {
	const next = "HTTP/1.1 200 OK"
	for text, want := range map[string]string{
		"0\r\n\r\n":               "",
		"5\r\nhello\r\n0\r\n\r\n": "hello",
		"5;a=\"b\"\r\nhello\r\n1 \r\n!\r\n000\r\n\r\n":   "hello!",
		"A\r\n0123456789\r\n2\r\n\r\n\r\n0\r\n\r\n":      "0123456789\r\n",
		"2\r\nok\r\n0\r\nTrailer: x\r\nOther: y\r\n\r\n": "ok",
		"00000002\r\nok\r\n0\r\n\r\n":                    "ok",
	} {
		br := bufio.NewReader(iotest.OneByteReader(strings.NewReader(text + next)))
		body, err := io.ReadAll(NewChunkedReader(br))
		if err != nil || string(body) != want {
			t.Errorf("%q: got %q, %v, want %q", text, body, err, want)
		}
		if rest, _ := io.ReadAll(br); string(rest) != next {
			t.Errorf("%q: %q is left, want %q", text, rest, next)
		}
	}
}

func TestBadChunkedBodies(t *testing.T) {
	for _, text := range []string{
		"\r\n", "x\r\n", "-1\r\n", "+1\r\na\r\n0\r\n\r\n", "0x1\r\na\r\n0\r\n\r\n", "100000000\r\n", "1\r\nab\r\n0\r\n\r\n",
		"1" + strings.Repeat(";", MaxHeadBytes) + "\r\na\r\n0\r\n\r\n", "0\r\nbad trailer\r\n\r\n",
	} {
		_, err := io.ReadAll(NewChunkedReader(bufio.NewReader(strings.NewReader(text))))
		var malformed *Error
		if !errors.As(err, &malformed) {
			t.Errorf("%.20q: error %v, want a malformed body", text, err)
		}
	}
}

func TestTruncatedChunkedBodies(t *testing.T) {
	const complete = "5\r\nhello\r\n0\r\nTrailer: x\r\n\r\n"
	for n := range len(complete) {
		_, err := io.ReadAll(NewChunkedReader(bufio.NewReader(strings.NewReader(complete[:n]))))
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: error %v, want an unexpected end", complete[:n], err)
		}
	}
}

// TestOtherTransferCodingsAreRefused guards against a body whose end two recipients could see in different places.
func TestOtherTransferCodingsAreRefused(t *testing.T) {
	for fields, want := range map[string]bool{
		"Transfer-Encoding: chunked\r\n":                               true,
		"Transfer-Encoding: Chunked\r\n":                               true,
		"Transfer-Encoding: gzip, chunked\r\n":                         false,
		"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n":    false,
		"Transfer-Encoding:\r\n":                                       false,
		"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n":          false,
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n": false,
	} {
		r, _, err := ReadResponseHead(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + fields + "\r\n")))
		if (err == nil) != want || want != r.Chunked || !want && !r.Close {
			t.Errorf("%q: response %+v, error %v, want it read: %v", fields, r, err, want)
		}
	}
}
