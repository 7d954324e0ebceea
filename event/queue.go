package event

import (
	"io"
	"sync/atomic"
)

// _maxBatchSize is the size in bytes at which a batch of lines gets no further lines.
const _maxBatchSize = 16 << 10

// Queue is a writer that never blocks: lines that do not fit into the queue are dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
}

var _ io.Writer = (*Queue)(nil)

// NewQueue returns a queue that holds at most this many lines.
func NewQueue(lines int) *Queue {
	return &Queue{lines: make(chan []byte, lines)}
}

// Write adds one line to the queue, or drops it if the queue is full.
func (queue *Queue) Write(line []byte) (int, error) {
	select {
	case queue.lines <- append([]byte(nil), line...):
	default:
		queue.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last call.
func (queue *Queue) Dropped() uint64 {
	return queue.dropped.Swap(0)
}

// Drain writes lines to output until done is closed, and then the remaining ones. Waiting lines are written in batches,
// as each system call costs processor time.
func (queue *Queue) Drain(output io.Writer, done <-chan struct{}) {
	for {
		select {
		case line := <-queue.lines:
			// A failed write to the log output cannot be reported anywhere.
			_, _ = output.Write(queue.batch(line))
		case <-done:
			for rest := queue.batch(nil); len(rest) > 0; rest = queue.batch(nil) {
				_, _ = output.Write(rest)
			}
			return
		}
	}
}

// batch appends waiting lines to lines.
func (queue *Queue) batch(lines []byte) []byte {
	for len(lines) < _maxBatchSize {
		select {
		case line := <-queue.lines:
			lines = append(lines, line...)
		default:
			return lines
		}
	}
	return lines
}
