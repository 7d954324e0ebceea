package entry

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"azureshift/core/fleet"
	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/steer"
)

var (
	_costInstances   = flag.Int("costinstances", 40, "entry instances of each failure domain whose cost is measured")
	_costServers     = flag.Int("costservers", 50, "backend servers of each failure domain")
	_costDomains     = flag.Int("costdomains", 3, "failure domains")
	_costUsedServers = flag.Int("costseen", 150, "backend servers that each instance forwards to")
)

const (
	_costSpan = 10 * time.Second
	// _budget is the limit for control messages that an instance sends, in bytes a second.
	_budget = 17_000
)

// cost is the number of messages and bytes that one instance sent.
type cost struct {
	bytes, messages int
}

// TestControlCost measures the messages between instances and the processor time of Reduce in steady state with
// traffic, and checks the bytes against the budget.
func TestControlCost(t *testing.T) {
	c := qt.New(t)
	c.Run("is bounded in a deployment of the given size", func(c *qt.C) {
		checkCost(c, *_costDomains, *_costInstances, *_costServers, nil)
	})
	c.Run("is bounded with the demand of three services", func(c *qt.C) {
		checkCost(c, *_costDomains, *_costInstances, *_costServers, sampleDemands(3))
	})
	c.Run("is bounded in many failure domains", func(c *qt.C) {
		const domains, instances, servers = 9, 8, 18
		checkCost(c, domains, instances, servers, nil)
		checkCost(c, domains, instances, servers, sampleDemands(3))
	})
}

// sampleDemands returns the demand of an instance for some services at two priorities each.
func sampleDemands(services int) []steer.Demand {
	demands := make([]steer.Demand, 0, 2*services)
	for number := range services {
		for priority := range 2 {
			demands = append(demands, steer.Demand{
				Service: id.Service(fmt.Sprintf("service-%d", number)), Priority: route.Priority(priority + 1),
				DemandCounts: steer.DemandCounts{Requests: 10, Opened: 2, Refused: 3, Answers: 9, Latency: 45 * time.Millisecond},
			})
		}
	}
	return demands
}

// checkCost checks the cost of a cluster with the given numbers of instances and servers in each failure domain. The
// demand is reported if there is any.
func checkCost(c *qt.C, domains, instances, servers int, demands []steer.Demand) {
	cluster := newCluster(c, 40)
	cluster.configure(3)
	number := 0
	for index := range domains {
		domain := id.Domain(fmt.Sprintf("%c", 'a'+index))
		for instance := range instances {
			cluster.addNode(domain, instance+1, 61)
		}
		for range servers {
			number++
			cluster.addServer(domain, number)
		}
	}
	for _, node := range cluster.nodes {
		limits := node.state.config.Limits
		limits.Placement.FleetAdmission = len(demands) > 0
		cluster.reduce(node, LimitsChanged{At: cluster.now, Limits: limits})
	}
	cluster.runFor(10 * time.Second)
	costs := make(map[id.Instance]*cost)
	cluster.onSend = func(node *node, effect Send) {
		raw, err := cbor.Marshal(effect.Message)
		c.Assert(err, qt.IsNil)
		c.Assert(len(raw) <= fleet.MaxMessage, qt.IsTrue, qt.Commentf("%d bytes", len(raw)))
		costs[node.self.Name].bytes += len(raw)
		costs[node.self.Name].messages++
	}
	for _, node := range cluster.nodes {
		costs[node.self.Name] = &cost{}
		node.reduceTime = 0
		node.observations, node.demands = sampleObservations(number), demands
	}
	calls := cluster.store.calls
	cluster.runFor(_costSpan)
	maxBytes, totalBytes, maxReduceTime := 0, 0, time.Duration(0)
	for _, node := range cluster.nodes {
		maxBytes = max(maxBytes, costs[node.self.Name].bytes)
		totalBytes += costs[node.self.Name].bytes
		maxReduceTime = max(maxReduceTime, node.reduceTime)
	}
	seconds := int(_costSpan / time.Second)
	c.Logf("%d instances, %d servers: mean %d and maximum %d bytes/s sent, longest time in Reduce %s per second, %d calls",
		len(cluster.nodes), number, totalBytes/len(cluster.nodes)/seconds, maxBytes/seconds,
		maxReduceTime/time.Duration(seconds), cluster.store.calls-calls)
	c.Assert(maxBytes/seconds <= _budget, qt.IsTrue, qt.Commentf("%d bytes/s", maxBytes/seconds))
}

// sampleObservations returns the observations of an instance with traffic to some of the servers.
func sampleObservations(servers int) []steer.Observation {
	count := min(*_costUsedServers, servers)
	observations := make([]steer.Observation, 0, count)
	for index := range count {
		observations = append(observations, steer.Observation{
			Cookie: packet.Cookie(index*servers/count + 1), InProgress: 0.5, Answers: 10, Latency: 45 * time.Millisecond,
		})
	}
	return observations
}
