// Package platform simulates the platform's key-value service and instance list. It implements the part of Consul's
// HTTP API that is in use.
package platform

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// MaxValueBytes is the maximum size of a value in bytes.
const MaxValueBytes = 1 << 20

// Config configures a simulated platform.
type Config struct {
	// Lag is the delay before a change shows in the instance list.
	Lag time.Duration
	// Seed seeds the random choice of lost requests and answers.
	Seed uint64
}

// Platform is a key-value service with leases and watches, and a lagging instance list, held in memory.
type Platform struct {
	config Config
	mux    *http.ServeMux

	mu              sync.Mutex
	random          *rand.Rand
	faults          Faults
	calls           Calls
	index           uint64
	lastDeleteIndex uint64
	entries         map[string]entry
	sessions        map[string]*session
	catalog         catalog
	changed         chan struct{}
}

// New returns an empty service without faults and without lag.
func New() *Platform {
	return NewWithConfig(Config{})
}

// NewWithConfig returns an empty service.
func NewWithConfig(config Config) *Platform {
	platform := &Platform{
		config:   config,
		index:    1, // a watch from index zero would return at once
		mux:      http.NewServeMux(),
		random:   rand.New(rand.NewPCG(config.Seed, config.Seed)),
		entries:  make(map[string]entry),
		sessions: make(map[string]*session),
		catalog:  newCatalog(),
		changed:  make(chan struct{}),
	}
	platform.calls.ByDomain = make(map[string]uint64)
	platform.registerRoutes()
	return platform
}

// ServeHTTP serves the part of Consul's API that is in use, and the paths under /standin/ that control the simulation.
func (platform *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	platform.mux.ServeHTTP(writer, request)
}

func (platform *Platform) registerRoutes() {
	platform.handle("GET /v1/kv/{key...}", kindRead, platform.getKeys)
	platform.handle("PUT /v1/kv/{key...}", kindWrite, platform.putKey)
	platform.handle("DELETE /v1/kv/{key...}", kindWrite, platform.deleteKeys)
	platform.handle("PUT /v1/session/create", kindLease, platform.createSession)
	platform.handle("PUT /v1/session/renew/{session}", kindLease, platform.renewSession)
	platform.handle("PUT /v1/session/destroy/{session}", kindLease, platform.destroySession)
	platform.handle("GET /v1/health/service/{service}", kindRead, platform.listInstances)
	platform.handle("PUT /v1/agent/service/register", kindWrite, platform.register)
	platform.handle("PUT /v1/agent/service/deregister/{instance}", kindWrite, platform.deregister)
	platform.handle("PUT /v1/agent/service/maintenance/{instance}", kindWrite, platform.setMaintenance)
	platform.mux.HandleFunc("GET /standin/faults", platform.getFaults)
	platform.mux.HandleFunc("PUT /standin/faults", platform.putFaults)
	platform.mux.HandleFunc("GET /standin/calls", platform.getCalls)
}

// advanceIndex increments the index and wakes every watch. The caller holds the lock.
func (platform *Platform) advanceIndex() uint64 {
	platform.index++
	platform.wakeWatches()
	return platform.index
}

func (platform *Platform) wakeWatches() {
	close(platform.changed)
	platform.changed = make(chan struct{})
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
