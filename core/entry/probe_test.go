package entry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/catalog"
	"azureshift/core/detector"
	"azureshift/core/id"
	"azureshift/core/route"
	"azureshift/core/target"
)

// TestProbesAfterAMassLapse guards against an instance that probes all backend servers at once when their registrations
// lapse with the store: each probe takes a connection and memory.
func TestProbesAfterAMassLapse(t *testing.T) {
	c := qt.New(t)
	const servers = 16_000
	state, registered := stateWithServers(servers)
	now := _listedAt
	lapsed := Followed{At: now, RequestedAt: now, After: 1, Revision: 2, Changes: servers}
	for _, entry := range registered {
		lapsed.Entries = append(lapsed.Entries, catalog.Entry{Revision: 2, MissingServer: entry.Server.ID})
	}
	inFlight := probesIn(state.Reduce(lapsed))
	probed := make(map[id.Target]bool)
	for len(inFlight) > 0 {
		c.Assert(len(inFlight) <= _maxProbes, qt.IsTrue, qt.Commentf("%d probes at once", len(inFlight)))
		next := inFlight[0]
		probed[next.Server] = true
		answered := Probed{At: now, Server: next.Server, Result: detector.ProbeAnswered}
		inFlight = append(inFlight[1:], probesIn(state.Reduce(answered))...)
	}
	c.Assert(probed, qt.HasLen, servers)
}

// TestProbeOfAStalledServer checks that a server for which callers wait is probed before those that only lack a
// registration.
func TestProbeOfAStalledServer(t *testing.T) {
	c := qt.New(t)
	state := New(Config{})
	for number := range 2 * _maxProbes {
		state.probing.add(id.Target(fmt.Sprintf("i-%d", number)), false)
	}
	state.requestUrgentProbe("i-40")
	order := make([]id.Target, 0, 2*_maxProbes)
	for {
		name, ok := state.probing.next()
		if !ok {
			break
		}
		order = append(order, name)
	}
	c.Assert(order[0], qt.Equals, id.Target("i-40"))
	c.Assert(order[1], qt.Equals, id.Target("i-0"))
	c.Assert(order, qt.HasLen, 2*_maxProbes)
}

// reduceProbe returns the effects of a probe that ended with a result, and that the instance had not started itself.
func (state *State) reduceProbe(now time.Duration, server id.Target, result detector.ProbeResult) []Effect {
	state.probing.inProgress++
	return state.Reduce(Probed{At: now, Server: server, Result: result})
}

func probesIn(effects []Effect) []Probe {
	var probes []Probe
	for _, effect := range effects {
		if probe, ok := effect.(Probe); ok {
			probes = append(probes, probe)
		}
	}
	return probes
}

// stateWithServers returns an instance that has listed a store with a number of servers, numbered from 1, at _listedAt.
func stateWithServers(servers int) (*State, []catalog.Entry) {
	state := New(Config{
		Self:   beliefSelf(0, 1),
		Limits: Limits{Drain: _drainLimit, Convergence: _drainLimit, MaxFlowLife: time.Hour, MinLease: time.Second},
		Random: func() float64 { return 0 },
	})
	state.Start(_listedAt)
	listed := Listed{At: _listedAt, RequestedAt: _listedAt, Revision: 1, Config: &route.Config{Version: 1}}
	for number := range servers {
		listed.Entries = append(listed.Entries, catalog.Entry{Revision: 1, Server: &target.Target{
			ID: numberedServer(number + 1), Number: target.Number(number + 1), State: target.StateReady,
		}})
	}
	state.Reduce(listed)
	return state, listed.Entries
}

// _listedAt is when stateWithServers lists the store.
const _listedAt = time.Second

func numberedServer(number int) id.Target {
	return id.Target(fmt.Sprintf("i-%08x", number))
}
