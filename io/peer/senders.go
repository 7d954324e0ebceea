package peer

import (
	"crypto/cipher"
	"sync"
	"time"

	"azureshift/core/id"
)

// senderTable holds the state of each instance that sent an authentic datagram: its latest incarnation, with the
// ciphers and the replay window of this incarnation. It is safe for concurrent use.
type senderTable struct {
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

func newSenderTable(config Config) *senderTable {
	return &senderTable{
		limit:       config.MaxSenders,
		idleTimeout: config.SenderIdleTimeout,
		disabled:    config.DisabledChecks,
		byInstance:  make(map[id.Instance]*sender),
	}
}

// lookup returns the cached cipher for the header, or nil if the sender, its incarnation or the key is new. The drop
// is set if the datagram must be rejected.
func (senderTable *senderTable) lookup(name []byte, header header) (cipher.AEAD, Drop) {
	senderTable.mu.Lock()
	defer senderTable.mu.Unlock()
	entry, ok := senderTable.byInstance[id.Instance(name)]
	if !ok || header.incarnation > entry.incarnation {
		return nil, 0
	}
	if header.incarnation < entry.incarnation {
		return nil, DropStaleSender
	}
	if drop := senderTable.check(entry, header.counter); drop != 0 {
		return nil, drop
	}
	return entry.ciphers[header.keyID], 0
}

// accept records an authentic datagram and returns its sender. It repeats the checks of lookup, as another goroutine
// may have accepted a copy in the meantime.
func (senderTable *senderTable) accept(name []byte, header header, aead cipher.AEAD, now time.Time) (id.Member, Drop) {
	senderTable.mu.Lock()
	defer senderTable.mu.Unlock()
	entry, ok := senderTable.byInstance[id.Instance(name)]
	switch {
	case !ok && !senderTable.makeRoom(now):
		return id.Member{}, DropSendersFull
	case ok && header.incarnation < entry.incarnation:
		return id.Member{}, DropStaleSender
	case !ok || header.incarnation > entry.incarnation:
		entry = newSender(id.Instance(name), header.incarnation)
		senderTable.byInstance[entry.name] = entry
	}
	if drop := senderTable.check(entry, header.counter); drop != 0 {
		return id.Member{}, drop
	}
	entry.window.add(header.counter)
	entry.lastReceived = now
	if entry.ciphers[header.keyID] == nil {
		entry.ciphers[header.keyID] = aead
	}
	return id.Member{Instance: entry.name, Incarnation: entry.incarnation}, 0
}

// check returns DropReplayed or DropTooOld if the replay window of the sender rejects the counter.
func (senderTable *senderTable) check(from *sender, counter uint64) Drop {
	if senderTable.disabled.ReplayWindow {
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
func (senderTable *senderTable) makeRoom(now time.Time) bool {
	if len(senderTable.byInstance) < senderTable.limit {
		return true
	}
	for name, entry := range senderTable.byInstance {
		if now.Sub(entry.lastReceived) >= senderTable.idleTimeout {
			delete(senderTable.byInstance, name)
		}
	}
	return len(senderTable.byInstance) < senderTable.limit
}

func (senderTable *senderTable) count() int {
	senderTable.mu.Lock()
	defer senderTable.mu.Unlock()
	return len(senderTable.byInstance)
}
