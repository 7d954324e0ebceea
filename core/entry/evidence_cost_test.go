package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/core/fleet"
	"azureshift/core/steer"
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
	state, registered := stateWithServers(servers)
	findings := make([]fleet.Finding, 0, servers*observers)
	for _, entry := range registered {
		for observer := range observers {
			findings = append(findings, fleet.Finding{
				Server: entry.Server.ID, Condition: steer.Unreachable, Observer: beliefSelf(1+observer, 1).Name, Domain: "a",
			})
		}
	}
	budget.AssertCheap(c, func() {
		for _, finding := range findings {
			state.handleEvidence(fleet.Evidence{From: beliefSelf(1, 1), Findings: []fleet.Finding{finding}})
		}
	})
	c.Assert(state.evidenceQueue.findings, qt.HasLen, servers*_maxObservers)
}
