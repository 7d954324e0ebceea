package peer

import "sync/atomic"

// DropReason is the reason for rejecting a datagram, message, connection or exchange. The zero value means accepted.
type DropReason int

const (
	// DropTruncated marks a datagram too short for its header and authentication tag.
	DropTruncated DropReason = iota + 1
	// DropOversized marks a datagram larger than MaxDatagram.
	DropOversized
	// DropUnsupportedVersion marks a datagram with a wire version other than this release's.
	DropUnsupportedVersion
	// DropMisdirected marks a message for another instance, or for an earlier incarnation of this one.
	DropMisdirected
	// DropUnknownKey marks a datagram encrypted with a key that this instance does not have.
	DropUnknownKey
	// DropStaleSender marks a datagram of an earlier incarnation of its sender.
	DropStaleSender
	// DropReplayed marks a datagram that was already accepted, or whose counter is 0.
	DropReplayed
	// DropTooOld marks a datagram whose counter is older than the replay window.
	DropTooOld
	// DropForged marks a datagram that fails authentication.
	DropForged
	// DropSendersFull marks a datagram of a new sender while the sender table is full.
	DropSendersFull
	// DropMalformed marks an authentic datagram with malformed message framing.
	DropMalformed
	// DropUnknownKind marks a message whose kind is not registered.
	DropUnknownKind
	// DropUnbound marks a message without a destination incarnation whose kind requires one.
	DropUnbound
	// DropMalformedBody marks a message whose body cannot be decoded.
	DropMalformedBody
	// DropConnectionsFull marks a connection over Config.MaxConnections.
	DropConnectionsFull
	// DropHandshakeFailed marks a connection whose TLS handshake failed, for example because the peer has no shared key.
	DropHandshakeFailed
	// DropBulkFull marks an exchange with a large answer that timed out waiting for a bulk slot.
	DropBulkFull

	_dropCount
)

var _dropNames = [_dropCount]string{
	DropTruncated:          "truncated",
	DropOversized:          "oversized",
	DropUnsupportedVersion: "version",
	DropMisdirected:        "misdirected",
	DropUnknownKey:         "unknown-key",
	DropStaleSender:        "stale-sender",
	DropReplayed:           "replayed",
	DropTooOld:             "too-old",
	DropForged:             "forged",
	DropSendersFull:        "senders-full",
	DropMalformed:          "malformed",
	DropUnknownKind:        "unknown-kind",
	DropUnbound:            "unbound",
	DropMalformedBody:      "body",
	DropConnectionsFull:    "connections-full",
	DropHandshakeFailed:    "handshake",
	DropBulkFull:           "bulk-full",
}

// String returns the label used in metrics and reports.
func (dropReason DropReason) String() string {
	if dropReason <= 0 || dropReason >= _dropCount {
		return "unknown"
	}
	return _dropNames[dropReason]
}

// DropReasons returns all reasons in ascending order.
func DropReasons() []DropReason {
	drops := make([]DropReason, 0, _dropCount-1)
	for dropReason := DropTruncated; dropReason < _dropCount; dropReason++ {
		drops = append(drops, dropReason)
	}
	return drops
}

// dropCounts counts rejections by reason. It is safe for concurrent use.
type dropCounts [_dropCount]atomic.Uint64

func (counts *dropCounts) add(dropReason DropReason) {
	counts[dropReason].Add(1)
}

// snapshot returns the counts that are not zero.
func (counts *dropCounts) snapshot() map[DropReason]uint64 {
	counted := make(map[DropReason]uint64)
	for _, dropReason := range DropReasons() {
		if count := counts[dropReason].Load(); count > 0 {
			counted[dropReason] = count
		}
	}
	return counted
}
