package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/detector"
	"azureshift/core/packet"
)

// TestPowerLossOfManyServers guards against an instance that builds its table for each of the servers that a failure
// domain loses, one after the other: at 16,000 servers each table takes 7 ms of a core.
func TestPowerLossOfManyServers(t *testing.T) {
	c := qt.New(t)
	const (
		servers = 16_000
		lost    = servers / 3
	)
	state, _ := stateWithServers(servers)
	now := _listedAt
	built, rebuilt := state.publishing.built, 0
	reset := make(map[packet.Cookie]bool)
	count := func(effects []Effect) {
		for _, effect := range effects {
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
		count(state.reduceProbe(now, numberedServer(number+1), detector.ProbeRefused))
	}
	for range 10 {
		now += _tickInterval
		count(state.Reduce(Tick{At: now}))
	}
	c.Assert(reset, qt.HasLen, lost)
	c.Assert(rebuilt <= 4, qt.IsTrue, qt.Commentf("%d tables", rebuilt))
}
