package testbed

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/standin/metastore"
)

// _registrationTTL is the time without renewal after which the platform removes a backend server's registration.
const _registrationTTL = 900 * time.Millisecond

var errStoreDown = eris.New("store is down; the registration is retried later")

// registry registers one backend server in the store under a lease, as the platform does.
type registry struct {
	store *metastore.Store

	mu    sync.Mutex
	lease metastore.Lease
	// era is the store's era in which the lease was granted. A restored store may have granted its number to another.
	era metastore.Era
}

func newRegistry(store *metastore.Store) *registry {
	return &registry{store: store}
}

// Register writes the registration and renews its lease.
func (registry *registry) Register(key string, value []byte) error {
	if registry.store.Down() {
		return errStoreDown
	}
	registry.mu.Lock()
	defer registry.mu.Unlock()
	era := registry.store.Era()
	if registry.lease == 0 || registry.era != era || !registry.store.Renew(registry.lease) {
		registry.lease, registry.era = registry.store.Grant(_registrationTTL), era
	}
	registry.store.Put(key, value, registry.lease)
	return nil
}

// Unregister removes the registration.
func (registry *registry) Unregister(key string) error {
	if registry.store.Down() {
		return errStoreDown
	}
	registry.store.Delete(key)
	return nil
}
