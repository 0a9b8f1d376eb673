// This file owns the reading of a body in the chunked transfer coding (RFC 9112, 7.1). It must never read beyond the
// body's end, as the next response of the connection begins there.

package http1

import (
	"bufio"
	"cmp"
	"io"
	"strconv"
	"strings"
)

// maxChunkDigits limits the hexadecimal digits of a chunk's size: 4 GiB.
const maxChunkDigits = 8

// ChunkedReader reads a body in the chunked transfer coding. Chunk extensions and trailers are skipped. Read returns
// io.EOF behind the trailers, io.ErrUnexpectedEOF if the stream ends before, and an *Error if the coding is violated.
type ChunkedReader struct {
	br        *bufio.Reader
	left      int64 // bytes of the current chunk
	began     bool  // a chunk was begun
	err       error // sticky; io.EOF at the end of the body
	remaining int   // bytes of chunk lines and trailers that may still come
}

// NewChunkedReader returns a reader of the body that begins at br.
func NewChunkedReader(br *bufio.Reader) *ChunkedReader {
	return &ChunkedReader{br: br, remaining: MaxHeadBytes}
}

// Read implements [io.Reader].
func (c *ChunkedReader) Read(p []byte) (int, error) {
	for c.left == 0 && c.err == nil {
		c.err = c.nextChunk()
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.br.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	c.err = unexpectedEOF(err)
	return n, c.err
}

// nextChunk reads the end of a chunk and the size of the next one. Behind the last chunk it reads the trailers and
// returns io.EOF.
func (c *ChunkedReader) nextChunk() error {
	if c.began {
		if end, err := c.readLine(); err != nil || end != "" {
			return cmp.Or(err, malformed("chunk longer than its size"))
		}
	}
	c.began = true
	line, err := c.readLine()
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(line, ";")
	size = strings.TrimRight(size, " \t")
	length, err := strconv.ParseUint(size, 16, 4*maxChunkDigits)
	if err != nil || len(size) > maxChunkDigits {
		return malformed("bad chunk size")
	}
	if c.left = int64(length); c.left > 0 {
		c.remaining = MaxHeadBytes
		return nil
	}
	if _, err := readHeader(c.br, &c.remaining); err != nil {
		return unexpectedEOF(err)
	}
	return io.EOF
}

// readLine reads a line between chunks.
func (c *ChunkedReader) readLine() (string, error) {
	line, err := readLine(c.br, &c.remaining)
	return line, unexpectedEOF(err)
}
