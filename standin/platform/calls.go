package platform

import (
	"maps"
	"net/http"
)

type callKind int

const (
	kindRead callKind = iota + 1
	kindWrite
	kindLease
)

// Calls counts the calls to the service, including lost requests. A waiting watch is one call.
type Calls struct {
	Reads   uint64 `json:"Reads"`
	Watches uint64 `json:"Watches"`
	Writes  uint64 `json:"Writes"`
	Leases  uint64 `json:"Leases"`
	// ByDomain counts all calls by the failure domain of the caller.
	ByDomain map[string]uint64 `json:"ByDomain"`
}

// Total returns the number of calls of every kind.
func (calls Calls) Total() uint64 {
	return calls.Reads + calls.Watches + calls.Writes + calls.Leases
}

// Calls returns the counts so far.
func (platform *Platform) Calls() Calls {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	calls := platform.calls
	calls.ByDomain = maps.Clone(calls.ByDomain)
	return calls
}

func (calls *Calls) add(kind callKind, request *http.Request) {
	switch {
	case kind == kindWrite:
		calls.Writes++
	case kind == kindLease:
		calls.Leases++
	case request.URL.Query().Has("index"):
		calls.Watches++
	default:
		calls.Reads++
	}
	calls.ByDomain[request.Header.Get(DomainHeader)]++
}

func (platform *Platform) getCalls(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, platform.Calls())
}
