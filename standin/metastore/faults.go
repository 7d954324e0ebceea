package metastore

import (
	"net"
	"net/http"
	"time"
)

// Modes in which the store serves no calls.
const (
	// Silent answers no calls.
	Silent = "Silent"
	// Busy answers with 503.
	Busy = "Busy"
	// RateLimited answers with 429.
	RateLimited = "Limited"
	// Reset resets connections.
	Reset = "Reset"
)

// Faults are the faults that the store injects.
type Faults struct {
	// Mode is one of the modes above; empty while the store serves.
	Mode string `json:"Mode"`
	// Lapse lets leases expire while the store is down; otherwise their remaining time is kept.
	Lapse bool `json:"Lapse"`
	// Delay is the time before each answer.
	Delay time.Duration `json:"Delay"`
	// LoseWrites is the share of writes, from 0 to 1, that get no answer and are applied later, within LateWrites.
	LoseWrites float64       `json:"LoseWrites"`
	LateWrites time.Duration `json:"LateWrites"`
}

// SetFaults replaces the faults for all callers.
func (store *Store) SetFaults(faults Faults) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.faults.Mode != "" && faults.Mode == "" && !store.faults.Lapse {
		store.extendLeases()
	}
	if store.faults.Mode == "" && faults.Mode != "" {
		store.downSince = time.Now()
	}
	store.faults = faults
	store.wakeWatches()
}

// SetListenerFaults replaces the faults for the callers of one listener. They apply while the store itself serves, and
// only if they have a Mode.
func (store *Store) SetListenerFaults(listener string, faults Faults) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.listenerFaults[listener] = faults
	store.wakeWatches()
}

// Down reports whether the store serves no caller.
func (store *Store) Down() bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.faults.Mode != ""
}

// extendLeases extends all leases by the time that the store was down.
func (store *Store) extendLeases() {
	for lease, expiresAt := range store.leases {
		store.leases[lease] = expiresAt.Add(time.Since(store.downSince))
	}
}

// effectiveFaults returns the faults for the callers of a listener. Faults for all callers take precedence.
func (store *Store) effectiveFaults(listener string) Faults {
	if store.faults.Mode == "" {
		if faults, ok := store.listenerFaults[listener]; ok && faults.Mode != "" {
			return faults
		}
	}
	return store.faults
}

// admit injects the faults that come before a call, and reports whether the call is to be served.
func (store *Store) admit(listener string, writer http.ResponseWriter, request *http.Request) bool {
	store.mu.Lock()
	store.calls++
	store.expireLeases()
	faults := store.effectiveFaults(listener)
	store.mu.Unlock()
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	switch faults.Mode {
	case Silent:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case Busy:
		store.writeEra(writer)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return false
	case RateLimited:
		store.writeEra(writer)
		writer.WriteHeader(http.StatusTooManyRequests)
		return false
	case Reset:
		resetConnection(writer)
		return false
	}
	return true
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(writer http.ResponseWriter) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		// The connection is closed in any case.
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
