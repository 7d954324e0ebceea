package peer

import (
	"crypto/cipher"
	"sync"
	"time"

	"azureshift/core/id"
)

// senders holds the state of each instance that sent an authentic datagram: its latest incarnation, with the
// ciphers and the replay window of this incarnation. It is safe for concurrent use.
type senders struct {
	limit       int
	idleTimeout time.Duration
	disabled    DisabledChecks

	mu         sync.Mutex
	byInstance map[id.Instance]*sender
}

type sender struct {
	name         id.Instance
	incarnation  id.Incarnation
	ciphers      map[[_keyIDSize]byte]cipher.AEAD
	window       replayWindow
	lastReceived time.Time
}

func newSenderTable(config Config) *senders {
	return &senders{
		limit:       config.MaxSenders,
		idleTimeout: config.SenderIdleTimeout,
		disabled:    config.DisabledChecks,
		byInstance:  make(map[id.Instance]*sender),
	}
}

// lookup returns the cached cipher for the header, or nil if the sender, its incarnation or the key is new. The drop
// is set if the datagram must be rejected.
func (senders *senders) lookup(name []byte, header header) (cipher.AEAD, DropReason) {
	senders.mu.Lock()
	defer senders.mu.Unlock()
	entry, ok := senders.byInstance[id.Instance(name)]
	if !ok || header.incarnation > entry.incarnation {
		return nil, 0
	}
	if header.incarnation < entry.incarnation {
		return nil, DropStaleSender
	}
	if dropReason := senders.check(entry, header.counter); dropReason != 0 {
		return nil, dropReason
	}
	return entry.ciphers[header.keyID], 0
}

// accept records an authentic datagram and returns its sender. It repeats the checks of lookup, as another goroutine
// may have accepted a copy in the meantime.
func (senders *senders) accept(name []byte, header header, aead cipher.AEAD, now time.Time) (id.Member, DropReason) {
	senders.mu.Lock()
	defer senders.mu.Unlock()
	entry, ok := senders.byInstance[id.Instance(name)]
	switch {
	case !ok && !senders.makeRoom(now):
		return id.Member{}, DropSendersFull
	case ok && header.incarnation < entry.incarnation:
		return id.Member{}, DropStaleSender
	case !ok || header.incarnation > entry.incarnation:
		entry = newSender(id.Instance(name), header.incarnation)
		senders.byInstance[entry.name] = entry
	}
	if dropReason := senders.check(entry, header.counter); dropReason != 0 {
		return id.Member{}, dropReason
	}
	entry.window.add(header.counter)
	entry.lastReceived = now
	if entry.ciphers[header.keyID] == nil {
		entry.ciphers[header.keyID] = aead
	}
	return id.Member{Instance: entry.name, Incarnation: entry.incarnation}, 0
}

// check returns DropReplayed or DropTooOld if the replay window of the sender rejects the counter.
func (senders *senders) check(from *sender, counter uint64) DropReason {
	if senders.disabled.ReplayWindow {
		return 0
	}
	return from.window.check(counter)
}

func newSender(name id.Instance, incarnation id.Incarnation) *sender {
	return &sender{
		name:        name,
		incarnation: incarnation,
		ciphers:     make(map[[_keyIDSize]byte]cipher.AEAD, 1),
	}
}

// makeRoom reports whether the table has room for another sender. If the table is full, it first evicts the senders
// that have been silent for the idle timeout.
func (senders *senders) makeRoom(now time.Time) bool {
	if len(senders.byInstance) < senders.limit {
		return true
	}
	for name, entry := range senders.byInstance {
		if now.Sub(entry.lastReceived) >= senders.idleTimeout {
			delete(senders.byInstance, name)
		}
	}
	return len(senders.byInstance) < senders.limit
}

func (senders *senders) count() int {
	senders.mu.Lock()
	defer senders.mu.Unlock()
	return len(senders.byInstance)
}
