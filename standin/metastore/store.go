// Package metastore simulates the platform's metadata store: keys with revisions, leases, a history that can be
// watched, and fault injection.
package metastore

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Revision numbers the changes of the store.
type Revision uint64

// Lease is the number of a lease; zero is none.
type Lease uint64

// Item is a key with its value, or the removal of a key in the history.
type Item struct {
	Key            string   `json:"key"`
	Value          []byte   `json:"value,omitempty"`
	Revision       Revision `json:"revision"`
	CreateRevision Revision `json:"create_revision,omitempty"`
	Lease          Lease    `json:"lease"`
	Removed        bool     `json:"tombstone,omitempty"`
}

// Config configures a store.
type Config struct {
	// PageItems is the number of items on a page of a listing.
	PageItems int
	// Seed seeds the random choice of the writes that get no answer.
	Seed uint64
}

const (
	_initialRevision  = 3
	_defaultPageItems = 500
	_expireInterval   = 50 * time.Millisecond
)

// Store is a simulated metadata store. It is safe for concurrent use.
type Store struct {
	config Config

	mu       sync.Mutex
	era      Era
	revision Revision
	items    map[string]Item
	history  []Item
	// compacted is the last revision that is gone from the history.
	compacted Revision
	// leases holds when each lease expires.
	leases    map[Lease]time.Time
	ttls      map[Lease]time.Duration
	lastLease Lease
	// changed is closed and replaced at every change of keys or faults.
	changed        chan struct{}
	faults         Faults
	listenerFaults map[string]Faults
	random         *rand.Rand
	calls          int
	downSince      time.Time
}

// New returns an empty store.
func New(config Config) *Store {
	if config.PageItems == 0 {
		config.PageItems = _defaultPageItems
	}
	return &Store{
		config:         config,
		era:            1,
		revision:       _initialRevision,
		items:          make(map[string]Item),
		leases:         make(map[Lease]time.Time),
		ttls:           make(map[Lease]time.Duration),
		changed:        make(chan struct{}),
		listenerFaults: make(map[string]Faults),
		random:         rand.New(rand.NewPCG(config.Seed, config.Seed)),
	}
}

// Put writes a key on behalf of the operator or a backend server, unaffected by faults. It does nothing if the key
// already holds this value and lease.
func (store *Store) Put(key string, value []byte, lease Lease) Revision {
	store.mu.Lock()
	defer store.mu.Unlock()
	if known, ok := store.items[key]; ok && string(known.Value) == string(value) && known.Lease == lease {
		return known.Revision
	}
	store.put(key, value, lease)
	return store.revision
}

// Delete removes a key.
func (store *Store) Delete(key string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.remove(key)
}

// Grant grants a lease.
func (store *Store) Grant(ttl time.Duration) Lease {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.grant(ttl)
}

// Renew renews a lease and reports whether it exists.
func (store *Store) Renew(lease Lease) bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.renew(lease)
}

// DeleteLeasedKeys removes the keys with a prefix that have a lease. The leases stay, so that their renewals still
// succeed.
func (store *Store) DeleteLeasedKeys(prefix string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	for key, item := range store.items {
		if strings.HasPrefix(key, prefix) && item.Lease != 0 {
			store.remove(key)
		}
	}
}

// Compact drops the history.
func (store *Store) Compact() {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.compacted, store.history = store.revision, nil
	store.wakeWatches()
}

// Keys returns the keys with a prefix, sorted.
func (store *Store) Keys(prefix string) []string {
	store.mu.Lock()
	defer store.mu.Unlock()
	var keys []string
	for key := range store.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Calls returns the number of calls so far.
func (store *Store) Calls() int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.calls
}

func (store *Store) put(key string, value []byte, lease Lease) {
	store.revision++
	item := Item{Key: key, Value: value, Revision: store.revision, CreateRevision: store.revision, Lease: lease}
	if known, ok := store.items[key]; ok {
		item.CreateRevision = known.CreateRevision
	}
	store.items[key] = item
	store.history = append(store.history, item)
	store.wakeWatches()
}

func (store *Store) remove(key string) {
	if _, ok := store.items[key]; !ok {
		return
	}
	store.revision++
	delete(store.items, key)
	store.history = append(store.history, Item{Key: key, Revision: store.revision, Removed: true})
	store.wakeWatches()
}

func (store *Store) grant(ttl time.Duration) Lease {
	store.lastLease++
	store.leases[store.lastLease] = time.Now().Add(ttl)
	store.ttls[store.lastLease] = ttl
	return store.lastLease
}

func (store *Store) renew(lease Lease) bool {
	store.expireLeases()
	if _, ok := store.leases[lease]; !ok {
		return false
	}
	store.leases[lease] = time.Now().Add(store.ttls[lease])
	return true
}

func (store *Store) endLease(lease Lease) {
	delete(store.leases, lease)
	delete(store.ttls, lease)
	for key, item := range store.items {
		if item.Lease == lease {
			store.remove(key)
		}
	}
}

// expireLeases ends leases whose time is over. While the store is down, none expires unless Faults.Lapse is set.
func (store *Store) expireLeases() {
	if store.faults.Mode != "" && !store.faults.Lapse {
		return
	}
	for lease, expiresAt := range store.leases {
		if time.Now().After(expiresAt) {
			store.endLease(lease)
		}
	}
}

// listPage returns the items with a prefix after a key, sorted, and whether there are more.
func (store *Store) listPage(prefix, after string) ([]Item, bool) {
	items := make([]Item, 0, len(store.items))
	for key, item := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(left, right Item) int { return cmp.Compare(left.Key, right.Key) })
	if len(items) > store.config.PageItems {
		return items[:store.config.PageItems], true
	}
	return items, false
}

// eventsAfter returns the changes of keys with a prefix after a revision.
func (store *Store) eventsAfter(prefix string, after Revision) []Item {
	var events []Item
	for _, item := range store.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events
}

// wakeWatches makes waiting watches check for changes.
func (store *Store) wakeWatches() {
	close(store.changed)
	store.changed = make(chan struct{})
}
