// Package slowstart bounds the new flows that all instances together send to a backend server in slow start, without
// messages between them. The limit of a server is split into shares. Each share belongs to one of the instances that
// rank highest for the server by rendezvous hashing over the registered instances (Membership), which counts its flows
// in a sliding window (Window). The package has no clock; times are read from a monotonic one.
package slowstart

import (
	"math"
)

const (
	// _shares is the number of shares into which a large limit is split. More shares spread the flows to a cold server
	// over more instances, which refuse fewer of the flows that routers send them, and lose less with one instance.
	_shares = 5
	// _reservedShares is the number of shares that belong to no instance. It keeps the limit if one instance more than
	// intended sends flows to a server.
	_reservedShares = 1
)

// Flows returns the largest whole number of new flows that a server may get in any second, given the rate in flows per
// second that its service states, and the bounds: overshoot times the rate, and slack flows more.
func Flows(rate, overshoot, slack float64) int {
	flows := math.Floor(rate*overshoot + slack)
	if !(flows > 0) {
		return 0
	}
	return int(min(flows, math.MaxInt32))
}

// Split is a limit that is split into equal shares.
type Split struct {
	// Owners is the number of instances that have a share, and Share the number of flows in each share.
	Owners int
	Share  int
}

// SplitOf splits a limit of flows in any second. A limit of one flow is not split and has no reserve.
func SplitOf(flows int) Split {
	if flows <= 0 {
		return Split{}
	}
	share := max(flows/_shares, 1)
	return Split{Owners: max(flows/share-_reservedShares, 1), Share: share}
}
