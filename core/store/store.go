// Package store defines the interface types of the platform's metadata store: keys with revisions, leases and a history
// of changes.
package store

import (
	"errors"
	"time"
)

// Era counts how often the store was restored from a backup. A restore loses the changes and leases since the backup,
// and gives out their numbers again.
type Era uint32

// Revision identifies a state of the store. Revisions are ordered by their eras, and within an era by their numbers.
type Revision uint64

const (
	// _numberBits is the size of a revision's number; the bits above hold its era.
	_numberBits = 40
	_maxNumber  = 1<<_numberBits - 1
	_maxEra     = 1<<(64-_numberBits) - 1
)

// NewRevision returns the revision with a number in an era, or ErrRevisionTooLarge.
func NewRevision(era Era, number uint64) (Revision, error) {
	if era > _maxEra || number > _maxNumber {
		return 0, ErrRevisionTooLarge
	}
	return Revision(uint64(era)<<_numberBits | number), nil
}

// Era returns the era of a revision.
func (revision Revision) Era() Era {
	return Era(revision >> _numberBits)
}

// Number returns the sequence number of a revision in its era.
func (revision Revision) Number() uint64 {
	return uint64(revision & _maxNumber)
}

// Lease identifies a lease within an era; its keys are deleted when it ends. Zero means no lease.
type Lease uint64

// Item is a key with its value.
type Item struct {
	Key string
	// Value is nil if it is larger than the reader keeps for this key, and Size its size in bytes in any case.
	Value []byte
	Size  int
	// Revision is the revision of the item's last change; in a condition, zero means that the key does not exist.
	Revision Revision
	// Created is the revision at which the key was created.
	Created Revision
	Lease   Lease
}

// Change is a written item, or a removed one.
type Change struct {
	Item
	Removed bool
}

// ReadLimits limits how long a read may take.
type ReadLimits struct {
	// OpenSilence is how long an open connection may be silent before the read is repeated on a new one, and NewSilence
	// how long a new one may be silent before the read fails.
	OpenSilence time.Duration
	NewSilence  time.Duration
	// Total bounds the time until the answer has arrived, without the time for which a watch waits for changes.
	Total time.Duration
}

// Listing is the content of the store at one revision. If it was read in several pages, it may also include later
// changes.
type Listing struct {
	Items []Item
	// Revision is the latest revision that the listing is guaranteed to include.
	Revision Revision
}

// History is a range of the store's history without superseded changes: of each key it has the last write, and the
// removal if that came later. Changes are ordered by their revisions.
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

// Condition requires that a key was last changed at a revision of the current era; zero requires that the key does not
// exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Grant is a granted lease with its lifetime. It is valid in the era in which it was granted.
type Grant struct {
	Era   Era
	Lease Lease
	TTL   time.Duration
}

var (
	// ErrRevisionTooLarge says that a revision of the store cannot be represented.
	ErrRevisionTooLarge = errors.New("the revision's number has over 40 bits or its era over 24")
	// ErrRestored says that the store was restored from a backup, so that revisions and leases of earlier calls may be
	// those of other changes and leases now.
	ErrRestored = errors.New("store was restored from a backup; list the keys again")
	// ErrTooLarge says that an answer is too large to be read, or to be read in time; asking again would bring it again.
	ErrTooLarge = errors.New("answer of the store is too large")
	// ErrUnreadable says that an answer cannot be decoded; asking again may bring it again.
	ErrUnreadable = errors.New("answer of the store cannot be decoded")
	// ErrCompacted says that the requested history has been compacted; list the keys again.
	ErrCompacted = errors.New("requested history was compacted; list the keys again")
	// ErrConflict says that a condition did not hold and nothing was written.
	ErrConflict = errors.New("write condition does not hold; read the keys again")
	// ErrLeaseEnded says that a lease has ended, and that its keys are deleted.
	ErrLeaseEnded = errors.New("lease has ended; request a new one")
	// ErrBusy says that the store rejected a call without executing it.
	ErrBusy = errors.New("store is busy and rejected the call; try again later")
)
