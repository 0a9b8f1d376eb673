// This file owns the way of log lines out of the process. It must never make whoever logs wait for the reader of the log: a
// line is written under locks, and by the goroutine that all ends of messages wait for.

package main

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	maxLogBacklog   = 1 << 20                // bytes of lines that wait for the reader of the log; more are dropped
	logFlushTimeout = 100 * time.Millisecond // how long the end of the process waits for them
)

// asyncWriter passes lines on to a writer that may block. Create it with newAsyncWriter.
type asyncWriter struct {
	out  io.Writer
	done chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	backlog bytes.Buffer
	dropped int // lines, since the backlog was last written
	closed  bool
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{out: out, done: make(chan struct{})}
	w.changed = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write queues a line. It does not block, and drops the line where too much waits.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.backlog.Len()+len(line) > maxLogBacklog {
		w.dropped++
		return len(line), nil
	}
	w.backlog.Write(line)
	w.changed.Signal()
	return len(line), nil
}

// Close waits until all lines are written, but no longer than logFlushTimeout.
func (w *asyncWriter) Close() {
	w.mu.Lock()
	w.closed = true
	w.changed.Signal()
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(logFlushTimeout):
	}
}

func (w *asyncWriter) run() {
	defer close(w.done)
	for {
		lines, more := w.take()
		if !more {
			return
		}
		_, _ = w.out.Write(lines) // there is nobody left to tell
	}
}

// take waits for lines and takes them all; false if there are none and there will be no more.
func (w *asyncWriter) take() (lines []byte, more bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.backlog.Len() == 0 && !w.closed {
		w.changed.Wait()
	}
	if w.backlog.Len() == 0 {
		return nil, false
	}
	if w.dropped > 0 {
		fmt.Fprintf(&w.backlog, "%d log lines were dropped, as nobody read the log\n", w.dropped)
		w.dropped = 0
	}
	lines = bytes.Clone(w.backlog.Bytes())
	w.backlog.Reset()
	return lines, true
}
