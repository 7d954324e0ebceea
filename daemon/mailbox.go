package daemon

import (
	"sync"

	"azureshift/core"
)

// mailboxItem is an event or a query for the control thread. datagram is the datagram that waits for the placement of
// its flow, if any.
type mailboxItem struct {
	event    core.Event
	datagram *core.Datagram
	hops     int
	// query is set instead of event to read the state.
	query func(state *core.State)
}

// mailbox queues events for the control thread. Events caused by traffic are rejected once limit of them are queued.
// Other events are always accepted, as their number is bounded by their causes.
type mailbox struct {
	limit int
	ready chan struct{}

	mu           sync.Mutex
	items        []mailboxItem
	trafficCount int
}

func newMailbox(limit int) *mailbox {
	return &mailbox{limit: limit, ready: make(chan struct{}, 1)}
}

// put adds an event that must not be dropped.
func (mailbox *mailbox) put(event core.Event) {
	mailbox.mu.Lock()
	mailbox.items = append(mailbox.items, mailboxItem{event: event})
	mailbox.mu.Unlock()
	mailbox.wake()
}

// query adds a query of the state.
func (mailbox *mailbox) query(query func(state *core.State)) {
	mailbox.mu.Lock()
	mailbox.items = append(mailbox.items, mailboxItem{query: query})
	mailbox.mu.Unlock()
	mailbox.wake()
}

// offer adds an event caused by traffic. It reports false if the limit is reached.
func (mailbox *mailbox) offer(mailboxItem mailboxItem) bool {
	mailbox.mu.Lock()
	if mailbox.trafficCount >= mailbox.limit {
		mailbox.mu.Unlock()
		return false
	}
	mailbox.trafficCount++
	mailbox.items = append(mailbox.items, mailboxItem)
	mailbox.mu.Unlock()
	mailbox.wake()
	return true
}

// takeAll removes and returns all queued items.
func (mailbox *mailbox) takeAll() []mailboxItem {
	mailbox.mu.Lock()
	defer mailbox.mu.Unlock()
	items := mailbox.items
	mailbox.items = nil
	mailbox.trafficCount = 0
	return items
}

func (mailbox *mailbox) wake() {
	select {
	case mailbox.ready <- struct{}{}:
	default:
	}
}
