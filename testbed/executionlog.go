package testbed

import (
	"maps"
	"sync"
)

// Ledger knows what became of every request, from what clients and backend servers see.
type Ledger struct {
	mu   sync.Mutex
	runs map[string][]string
}

func newLedger() *Ledger {
	return &Ledger{runs: make(map[string][]string)}
}

// Ran notes that a server began to run a request.
func (ledger *Ledger) Ran(request, server string) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.runs[request] = append(ledger.runs[request], server)
}

// Runs returns the servers that ran a request.
func (ledger *Ledger) Runs(request string) []string {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return append([]string(nil), ledger.runs[request]...)
}

// All returns the servers that ran each request.
func (ledger *Ledger) All() map[string][]string {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return maps.Clone(ledger.runs)
}
