package metastore

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Era counts how often the store was restored from a copy, beginning with one.
type Era uint64

// _eraHeader is the header of every answer that names the era.
const _eraHeader = "Store-Era"

// Copy is the content of a store at one moment.
type Copy struct {
	revision  Revision
	items     map[string]Item
	history   []Item
	compacted Revision
	// remaining holds the remaining time of each lease.
	remaining map[Lease]time.Duration
	ttls      map[Lease]time.Duration
	lastLease Lease
}

// Copy returns a copy of the content, from which Restore can bring the store back.
func (store *Store) Copy() Copy {
	store.mu.Lock()
	defer store.mu.Unlock()
	remaining := make(map[Lease]time.Duration, len(store.leases))
	for lease, expiresAt := range store.leases {
		remaining[lease] = time.Until(expiresAt)
	}
	return Copy{
		revision: store.revision, items: maps.Clone(store.items), history: slices.Clone(store.history),
		compacted: store.compacted, remaining: remaining, ttls: maps.Clone(store.ttls), lastLease: store.lastLease,
	}
}

// Restore replaces the content by a copy and begins a new era. Later changes and leases are gone, and their numbers are
// given out again.
func (store *Store) Restore(copied Copy) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.era++
	store.revision, store.compacted, store.lastLease = copied.revision, copied.compacted, copied.lastLease
	store.items, store.history = maps.Clone(copied.items), slices.Clone(copied.history)
	store.ttls = maps.Clone(copied.ttls)
	store.leases = make(map[Lease]time.Time, len(copied.remaining))
	for lease, remaining := range copied.remaining {
		store.leases[lease] = time.Now().Add(remaining)
	}
	store.wakeWatches()
}

// Era returns the current era.
func (store *Store) Era() Era {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.era
}

// writeEra names the era in the header of an answer.
func (store *Store) writeEra(writer http.ResponseWriter) {
	writer.Header().Set(_eraHeader, strconv.FormatUint(uint64(store.Era()), 10))
}
