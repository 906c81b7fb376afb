// Package logbuf decouples logging from writing the log: lines are buffered in
// memory and written by a goroutine, so that an output that nobody reads never
// blocks the goroutines that log. Lines that don't fit are dropped and counted.
package logbuf

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes is the size of the buffer. It holds a few hundred lines, which
	// is what a host logs within a few flush intervals.
	bufferBytes = 64 << 10
	// flushInterval is the longest time that a line is buffered while the output
	// does not block; buffered lines are lost on a power failure.
	flushInterval = 100 * time.Millisecond
)

// Writer is an io.Writer that takes one whole line per call of Write. It is safe
// for concurrent use.
type Writer struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	closed  bool
	lost    atomic.Int64
}

// New returns a writer that writes to out until Close.
func New(out io.Writer) *Writer {
	w := &Writer{
		out:     out,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		pending: make([]byte, 0, bufferBytes),
	}
	go w.run()
	return w
}

// Write buffers a line. It never blocks on the output and never fails: a line
// that doesn't fit, or comes after Close, is counted as lost.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.pending)+len(line) > bufferBytes {
		w.mu.Unlock()
		w.lost.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	w.mu.Unlock()
	return len(line), nil
}

// Lost returns the number of lines that were dropped. A failed write to the output
// counts as one, however many lines it contained.
func (w *Writer) Lost() int64 { return w.lost.Load() }

// Close writes the buffered lines and waits for at most the timeout until they are
// written.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.wake)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	spare := make([]byte, 0, bufferBytes)
	for range w.wake {
		time.Sleep(flushInterval)
		spare = w.flush(spare)
	}
	w.flush(spare)
}

// flush writes the pending lines. New lines go to the spare buffer; the written
// one is returned for reuse.
func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	lines := w.pending
	w.pending = spare[:0]
	w.mu.Unlock()
	if _, err := w.out.Write(lines); err != nil {
		// The error can only be reported through the counter.
		w.lost.Add(1)
	}
	return lines
}
