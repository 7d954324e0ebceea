package platform

import (
	"math/rand/v2"
	"sync/atomic"
)

// Calls holds a client's number of calls since its start, by kind. A watch is counted each time its request is sent.
type Calls struct {
	Reads   uint64 `json:"Reads"`
	Watches uint64 `json:"Watches"`
	Writes  uint64 `json:"Writes"`
	Leases  uint64 `json:"Leases"`
	// Failed counts the calls of any kind that got no response or an error.
	Failed uint64 `json:"Failed"`
}

type counters struct {
	reads, watches, writes, leases, failed atomic.Uint64
}

// Calls returns the numbers of calls so far.
func (client *Client) Calls() Calls {
	return Calls{
		Reads:   client.calls.reads.Load(),
		Watches: client.calls.watches.Load(),
		Writes:  client.calls.writes.Load(),
		Leases:  client.calls.leases.Load(),
		Failed:  client.calls.failed.Load(),
	}
}

func randomFraction() float64 {
	return rand.Float64()
}
