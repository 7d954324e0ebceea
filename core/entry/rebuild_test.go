package entry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/catalog"
	"azureshift/core/detector"
	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/target"
)

// TestPowerLossOfManyServers guards against an instance that builds its table for each of the servers that a failure
// domain loses, one after the other: at 16,000 servers each table takes 7 ms of a core.
func TestPowerLossOfManyServers(t *testing.T) {
	c := qt.New(t)
	const (
		servers = 16_000
		lost    = servers / 3
	)
	state := New(Config{
		Self:   beliefSelf(0, 1),
		Limits: Limits{Drain: _drainLimit, Convergence: _drainLimit, MaxFlowLife: time.Hour, MinLease: time.Second},
		Random: func() float64 { return 0 },
	})
	now := time.Second
	state.Start(now)
	listed := Listed{At: now, RequestedAt: now, Revision: 1, Config: &route.Config{Version: 1}}
	for number := range servers {
		listed.Entries = append(listed.Entries, catalog.Entry{Revision: 1, Server: &target.Target{
			ID: id.Target(fmt.Sprintf("i-%08x", number+1)), Number: target.Number(number + 1), State: target.StateReady,
		}})
	}
	state.Reduce(listed)
	built, rebuilt := state.publishing.built, 0
	reset := make(map[packet.Cookie]bool)
	reduce := func(event Event) {
		for _, effect := range state.Reduce(event) {
			if flows, ok := effect.(ResetFlows); ok {
				for _, cookie := range flows.Cookies {
					reset[cookie] = true
				}
			}
		}
		if state.publishing.built != built {
			built = state.publishing.built
			rebuilt++
		}
	}
	for number := range lost {
		now += time.Second / lost
		state.probing.inProgress++
		server := id.Target(fmt.Sprintf("i-%08x", number+1))
		reduce(Probed{At: now, Server: server, Result: detector.ProbeRefused})
	}
	for range 10 {
		now += _tickInterval
		reduce(Tick{At: now})
	}
	c.Assert(reset, qt.HasLen, lost)
	c.Assert(rebuilt <= 4, qt.IsTrue, qt.Commentf("%d tables", rebuilt))
}
