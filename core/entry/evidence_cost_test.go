package entry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/catalog"
	"azureshift/core/fleet"
	"azureshift/core/id"
	"azureshift/core/route"
	"azureshift/core/steer"
	"azureshift/core/target"
	"azureshift/standin/budget"
)

// TestFindingsOnManyServers guards against an instance whose control loop stands still while a whole failure domain is
// cut off and the others report each of its servers.
func TestFindingsOnManyServers(t *testing.T) {
	c := qt.New(t)
	const (
		servers   = 16_000 / 3
		observers = 3
	)
	state := New(Config{
		Self:   beliefSelf(0, 1),
		Limits: Limits{Drain: _drainLimit, Convergence: _drainLimit, MaxFlowLife: time.Hour, MinLease: time.Second},
		Random: func() float64 { return 0 },
	})
	now := time.Second
	state.Start(now)
	listed := Listed{At: now, RequestedAt: now, Revision: 1, Config: &route.Config{Version: 1}}
	findings := make([]fleet.Finding, 0, servers*observers)
	for number := range servers {
		name := id.Target(fmt.Sprintf("i-%08x", number+1))
		listed.Entries = append(listed.Entries, catalog.Entry{
			Revision: 1, Server: &target.Target{ID: name, Number: target.Number(number + 1), State: target.StateReady},
		})
		for observer := range observers {
			findings = append(findings, fleet.Finding{
				Server: name, Condition: steer.Unreachable, Observer: beliefSelf(1+observer, 1).Name, Domain: "a",
			})
		}
	}
	state.Reduce(listed)
	budget.AssertCheap(c, func() {
		for _, finding := range findings {
			state.handleEvidence(fleet.Evidence{From: beliefSelf(1, 1), Findings: []fleet.Finding{finding}})
		}
	})
	c.Assert(state.evidenceQueue.findings, qt.HasLen, servers*_maxObservers)
}
