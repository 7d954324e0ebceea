package request

import "time"

// fifo holds entries in the order in which they became ready. Entries that left it are skipped.
type fifo struct {
	entries []*entry
}

func (fifo *fifo) push(entry *entry) {
	fifo.entries = append(fifo.entries, entry)
}

func (fifo *fifo) head() *entry {
	for len(fifo.entries) > 0 {
		first := fifo.entries[0]
		if first.isQueued() {
			return first
		}
		fifo.pop()
	}
	return nil
}

func (fifo *fifo) pop() {
	fifo.entries[0] = nil
	fifo.entries = fifo.entries[1:]
}

// queue is what a shard may dispatch, first come first served; the order is by arrival between the
// heads of the two classes, so that orders held back by the fence do not hold back the rest.
type queue struct {
	atMostOnce fifo
	idempotent fifo
	length     int
}

func (entry *entry) isQueued() bool {
	return !entry.removed && entry.pending != nil && entry.pending.queued
}

func (queue *queue) push(entry *entry) {
	entry.pending.queued = true
	queue.length++
	if entry.class == Once {
		queue.atMostOnce.push(entry)
		return
	}
	queue.idempotent.push(entry)
}

// remove takes an entry out of the queue.
func (queue *queue) remove(entry *entry) {
	if entry.pending == nil || !entry.pending.queued {
		return
	}
	entry.pending.queued = false
	queue.length--
}

// next returns the head that came first, without taking it out.
func (queue *queue) next(atMostOnceAllowed bool) *entry {
	idempotent := queue.idempotent.head()
	if !atMostOnceAllowed {
		return idempotent
	}
	atMostOnce := queue.atMostOnce.head()
	if atMostOnce == nil {
		return idempotent
	}
	if idempotent == nil || atMostOnce.pending.arrived.Before(idempotent.pending.arrived) {
		return atMostOnce
	}
	return idempotent
}

// estimateWait estimates how long a request that comes last waits for its slot.
func (queue *queue) estimateWait(capacity float64, latency time.Duration) time.Duration {
	if capacity <= 0 {
		return 0
	}
	return time.Duration(float64(queue.length) / capacity * float64(latency))
}
