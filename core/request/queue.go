package request

import "time"

// fifo holds entries in the order in which they became ready. Entries that are no longer queued are skipped.
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

// queue holds the requests that a shard may dispatch. The head of the two classes that arrived first is next, so
// that non-idempotent requests that the fence holds back do not hold back idempotent ones.
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
	if entry.class == AtMostOnce {
		queue.atMostOnce.push(entry)
		return
	}
	queue.idempotent.push(entry)
}

// remove removes an entry from the queue.
func (queue *queue) remove(entry *entry) {
	if entry.pending == nil || !entry.pending.queued {
		return
	}
	entry.pending.queued = false
	queue.length--
}

// next returns the head that arrived first, without removing it.
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

// estimateWait estimates how long a request that joins the queue now waits for a slot.
func (queue *queue) estimateWait(capacity float64, latency time.Duration) time.Duration {
	if capacity <= 0 {
		return 0
	}
	return time.Duration(float64(queue.length) / capacity * float64(latency))
}
