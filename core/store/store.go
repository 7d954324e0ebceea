// Package store defines the interface types of the platform's metadata store: keys with revisions, leases and a history
// of changes.
package store

import (
	"errors"
	"time"
)

// Revision is the sequence number of a change in the store.
type Revision uint64

// Lease identifies a lease; its keys are deleted when it ends. Zero means no lease.
type Lease uint64

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the item's last change; in a condition, zero means that the key does not exist.
	Revision Revision
	Lease    Lease
}

// Change is a written item, or a removed one.
type Change struct {
	Item
	Removed bool
}

// Listing is the content of the store at one revision. If it was read in several pages, it may also include later
// changes.
type Listing struct {
	Items []Item
	// Revision is the latest revision that the listing is guaranteed to include.
	Revision Revision
}

// History is a range of the store's history.
type History struct {
	Changes []Change
	// Revision is the revision after which to continue reading.
	Revision Revision
}

// Transaction is a transaction on several keys that is applied only if every condition holds.
type Transaction struct {
	Conditions []Condition
	Puts       []Item
	Deletes    []string
}

// Condition requires that a key was last changed at a revision; zero requires that the key does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Grant is a granted lease with its lifetime.
type Grant struct {
	Lease Lease
	TTL   time.Duration
}

var (
	// ErrCompacted says that the requested history has been compacted; list the keys again.
	ErrCompacted = errors.New("requested history was compacted; list the keys again")
	// ErrConflict says that a condition did not hold and nothing was written.
	ErrConflict = errors.New("write condition does not hold; read the keys again")
	// ErrLeaseEnded says that a lease has ended, and that its keys are deleted.
	ErrLeaseEnded = errors.New("lease has ended; request a new one")
	// ErrBusy says that the store rejected a call without executing it.
	ErrBusy = errors.New("store is busy and rejected the call; try again later")
)
