package event

import (
	"io"
	"sync/atomic"
)

// _maxBatchSize is the size in bytes at which a batch of lines gets no further lines.
const _maxBatchSize = 16 << 10

// LineQueue is a writer that never blocks: lines that do not fit into the queue are dropped and counted.
type LineQueue struct {
	lines   chan []byte
	dropped atomic.Uint64
}

var _ io.Writer = (*LineQueue)(nil)

// NewLineQueue returns a queue that holds at most this many lines.
func NewLineQueue(lines int) *LineQueue {
	return &LineQueue{lines: make(chan []byte, lines)}
}

// Write adds one line to the queue, or drops it if the queue is full.
func (lineQueue *LineQueue) Write(line []byte) (int, error) {
	select {
	case lineQueue.lines <- append([]byte(nil), line...):
	default:
		lineQueue.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last call.
func (lineQueue *LineQueue) Dropped() uint64 {
	return lineQueue.dropped.Swap(0)
}

// Drain writes lines to output until done is closed, and then the remaining ones. Waiting lines are written in batches,
// as each system call costs processor time.
func (lineQueue *LineQueue) Drain(output io.Writer, done <-chan struct{}) {
	for {
		select {
		case line := <-lineQueue.lines:
			// A failed write to the log output cannot be reported anywhere.
			_, _ = output.Write(lineQueue.batch(line))
		case <-done:
			for rest := lineQueue.batch(nil); len(rest) > 0; rest = lineQueue.batch(nil) {
				_, _ = output.Write(rest)
			}
			return
		}
	}
}

// batch appends waiting lines to lines.
func (lineQueue *LineQueue) batch(lines []byte) []byte {
	for len(lines) < _maxBatchSize {
		select {
		case line := <-lineQueue.lines:
			lines = append(lines, line...)
		default:
			return lines
		}
	}
	return lines
}
