package testbed

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
	"azureshift/standin/flows"
)

// _evacuationLimit is the time after which an evacuated failure domain must get no new flows.
const _evacuationLimit = 5 * time.Second

// domainsOf returns the number of flows by the failure domains of their servers.
func domainsOf(c *qt.C, testbed *Testbed, opened []*flows.Flow) map[id.Domain]int {
	c.Helper()
	domains := make(map[id.Domain]int)
	for server, count := range assertServed(c, opened) {
		domains[testbed.DomainOf(server)] += count
	}
	return domains
}

// TestEvacuation guards against a flow that opens at an evacuated server, one that moves off it, and clients that wait
// although no server may take their flows.
func TestEvacuation(t *testing.T) {
	c := qt.New(t)
	testbed := startTestbed(c)
	client := startClient(c, testbed, 0)
	opened := openFlows(c, client, OrderEndpoint, 20)
	servers := assertServed(c, opened)
	testbed.Evacuate("morbegno")
	time.Sleep(time.Second)
	c.Run("leaves open flows where they are", func(c *qt.C) {
		c.Assert(domainsOf(c, testbed, opened)["morbegno"] > 0, qt.IsTrue)
		c.Assert(assertServed(c, opened), qt.DeepEquals, servers)
	})
	c.Run("opens new flows elsewhere", func(c *qt.C) {
		c.Assert(domainsOf(c, testbed, openFlows(c, client, FeedEndpoint, 20)), qt.DeepEquals,
			map[id.Domain]int{"tirano": 20})
		c.Assert(domainsOf(c, testbed, openFlows(c, client, DownloadEndpoint, 5)), qt.DeepEquals,
			map[id.Domain]int{"tirano": 5})
	})
	testbed.Evacuate("tirano")
	time.Sleep(time.Second)
	c.Run("refuses flows at once if no failure domain remains", func(c *qt.C) {
		startedAt := time.Now()
		_, err := client.Open(FeedEndpoint)
		c.Assert(errors.Is(err, flows.ErrRefused), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(time.Since(startedAt) < 200*time.Millisecond, qt.IsTrue)
		assertServed(c, opened)
	})
	testbed.Reopen("morbegno")
	testbed.Reopen("tirano")
	c.Run("ends everywhere", func(c *qt.C) {
		c.Assert(eventually(3*time.Second, func() bool {
			flow, err := client.Open(FeedEndpoint)
			return err == nil && testbed.DomainOf(assertOne(c, flow)) == "morbegno"
		}), qt.IsTrue)
	})
}

// assertOne asserts that a flow is served and returns the server.
func assertOne(c *qt.C, flow *flows.Flow) string {
	c.Helper()
	server, err := sendRequest(flow, 10)
	c.Assert(err, qt.IsNil)
	return server
}
