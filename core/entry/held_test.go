package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/packet"
	"azureshift/core/steer"
)

// TestHeldFlowsOfTheFleet lets every instance hold flows on the servers of its failure domain on which no request is in
// progress. It guards against figures that leave out such flows, or count those of one instance twice.
func TestHeldFlowsOfTheFleet(t *testing.T) {
	c := qt.New(t)
	const perInstance = 3
	cluster := startCluster(c, 17, 5, 6)
	instances := make(map[string]int)
	for _, node := range cluster.orderedNodes() {
		instances[string(node.self.Domain)]++
		for _, server := range cluster.servers {
			if server.Domain == node.self.Domain {
				node.observations = append(node.observations, steer.Observation{
					Cookie: packet.Cookie(server.Number), Held: perInstance, UsualLatency: 40 * time.Millisecond,
				})
			}
		}
	}
	cluster.checkFor(10 * time.Second)
	for _, node := range cluster.orderedNodes() {
		for _, server := range node.table.Servers {
			want := float64(perInstance * instances[string(server.Domain)])
			c.Check(node.table.Measure(server).Held, qt.Equals, want,
				qt.Commentf("%s at %s", server.ID, node.self.Name))
		}
	}
}
