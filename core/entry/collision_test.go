package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
	"azureshift/core/steer"
	"azureshift/core/target"
)

// TestRegistrationWithANumberInUse guards against an odd registration that takes the number of a live server, so that
// the server gets no new flows and the packets of its open flows go elsewhere.
func TestRegistrationWithANumberInUse(t *testing.T) {
	c := qt.New(t)
	for name, change := range map[string]func(odd *target.Target){
		"of a service that is not configured": func(odd *target.Target) { odd.Service, odd.StartTime = "unknown", 1 },
		"without a start time":                func(odd *target.Target) { odd.StartTime = 0 },
		"of a server that started later":      func(odd *target.Target) { odd.StartTime += 5000 },
	} {
		for _, odd := range []id.Target{"a-00000001", "z-00000001"} {
			c.Run(name+": "+string(odd), func(c *qt.C) {
				cluster := startCluster(c, 500, 2, 2)
				cluster.checkFor(5 * time.Second)
				live := cluster.servers["i-00000001"]
				claimed := &backend{Target: live.Target, alive: true, changedAt: cluster.now}
				claimed.ID = odd
				change(&claimed.Target)
				cluster.servers[odd] = claimed
				cluster.registerServer(claimed)
				cluster.runFor(2 * time.Second)
				for _, node := range cluster.orderedNodes() {
					server := node.table.Servers[target.CookieOf(live.Number)]
					c.Assert(server.ID, qt.Equals, live.ID, qt.Commentf("%s", node.self.Name))
					c.Assert(server.Condition, qt.Equals, steer.Usable)
				}
			})
		}
	}
}
