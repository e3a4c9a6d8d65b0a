// Package asynclog writes log lines without blocking the caller. Callers may log while they hold locks, and while
// requests wait for them. The reader of the log may be slow, stopped or gone, and must not block the router.
package asynclog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Limits of a Writer.
const (
	maxLines     = 256                    // capacity of the queue, in lines
	maxBytes     = 1 << 20                // capacity of the queue, in bytes
	closeTimeout = 100 * time.Millisecond // how long Close waits until the queue is written
)

// Writer queues lines and writes them from its own goroutine. Lines are dropped while the queue is full; the next line
// is preceded by a line with the number of dropped ones. Writer is safe for concurrent use.
type Writer struct {
	queue        chan []byte
	quit         chan struct{} // closed by Close
	finished     chan struct{} // closed when the goroutine ends
	pendingBytes atomic.Int64  // size of the queued lines
	dropped      atomic.Int64  // lines dropped since the last report
}

// New returns a writer to a destination that may block or fail. It must be closed.
func New(destination io.Writer) *Writer {
	w := &Writer{
		queue:    make(chan []byte, maxLines),
		quit:     make(chan struct{}),
		finished: make(chan struct{}),
	}
	go w.forward(destination)
	return w
}

// Write queues a copy of one line, or drops it. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.pendingBytes.Add(size) <= maxBytes {
		select {
		case w.queue <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.pendingBytes.Add(-size)
	w.dropped.Add(1)
	return len(line), nil
}

// Close waits up to closeTimeout until the queued lines are written. Lines that are passed to Write before the queue is
// empty may still be written. Lines that are passed to it later are lost without a report. Close must be called only
// once.
func (w *Writer) Close() {
	close(w.quit)
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case <-w.finished:
	case <-timeout.C:
	}
}

// forward writes queued lines to the destination until Close is called and the queue is empty.
func (w *Writer) forward(destination io.Writer) {
	defer close(w.finished)
	for {
		select { // queued lines are written before quit is checked
		case line := <-w.queue:
			w.writeLine(destination, line)
			continue
		default:
		}
		select {
		case line := <-w.queue:
			w.writeLine(destination, line)
		case <-w.quit:
			return
		}
	}
}

// writeLine writes a line, preceded by a report of the dropped lines, if any. A write error is ignored, since there is
// no other log for it.
func (w *Writer) writeLine(destination io.Writer, line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(destination, "{\"level\":\"warn\",\"lost\":%d,\"message\":\"log lines were not taken\"}\n", n)
	}
	_, _ = destination.Write(line)
	w.pendingBytes.Add(-int64(len(line)))
}
