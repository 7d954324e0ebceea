package daemon

import (
	"net/netip"
	"sync"
)

// messageIDs assigns message IDs separately for each target, so that an ID is not reused while the target still
// uses it to detect duplicates (RFC 7252 section 4.4).
type messageIDs struct {
	mu           sync.Mutex
	lastByTarget map[netip.AddrPort]uint16
}

func newMessageIDs() *messageIDs {
	return &messageIDs{lastByTarget: make(map[netip.AddrPort]uint16)}
}

func (messageIDs *messageIDs) next(target netip.AddrPort) uint16 {
	messageIDs.mu.Lock()
	defer messageIDs.mu.Unlock()
	messageIDs.lastByTarget[target]++
	return messageIDs.lastByTarget[target]
}
