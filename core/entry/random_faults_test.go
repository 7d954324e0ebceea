package entry

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
)

var (
	_randomRuns = flag.Int("storms", 20, "number of random series of faults")
	_randomSeed = flag.Uint64("stormseed", 1, "seed of the first series of faults")
)

// TestRandomFaults runs random series of overlapping faults and planned changes, and checks instances that reach the
// store throughout.
func TestRandomFaults(t *testing.T) {
	for index := range *_randomRuns {
		seed := *_randomSeed + uint64(index)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runRandomFaults(qt.New(t), seed)
		})
	}
}

func runRandomFaults(c *qt.C, seed uint64) {
	cluster := startCluster(c, seed, 4, 4)
	cluster.loss = 0.01
	cluster.checkFor(5 * time.Second)
	lastServer := 100
	copied := cluster.copyStore()
	for range 40 {
		cluster.applyRandomEvent(&lastServer, &copied)
		cluster.checkFor(time.Duration(cluster.random.IntN(1500)) * time.Millisecond)
	}
	cluster.setStoreDown(false)
	clear(cluster.store.refused)
	cluster.partitioned = func(id.Domain, id.Domain) bool { return false }
	cluster.checkFor(10 * time.Second)
}

// applyRandomEvent makes a random planned change, or injects or ends a random fault.
func (cluster *cluster) applyRandomEvent(lastServer *int, copied *fakeCopy) {
	nodes := cluster.orderedNodes()
	node := nodes[cluster.random.IntN(len(nodes))]
	switch cluster.random.IntN(17) {
	case 0:
		cluster.kill(node)
	case 1, 2:
		for _, other := range nodes {
			if !other.alive {
				cluster.start(other)
			}
		}
	case 3:
		cluster.configure(cluster.store.config.Version + 2)
	case 4:
		*lastServer++
		cluster.addServer([]id.Domain{"a", "b", "c"}[cluster.random.IntN(3)], *lastServer)
	case 5, 6:
		cluster.drainOrEndServer()
	case 7:
		cluster.setStoreDown(!cluster.store.down)
	case 8:
		cluster.store.refused[node.self.Name] = true
		cluster.store.disruptedAt = cluster.now
	case 9:
		clear(cluster.store.refused)
		cluster.store.disruptedAt = cluster.now
	case 10:
		cluster.store.compacted, cluster.store.history, cluster.store.waiters = cluster.store.revision, nil, nil
	case 11:
		cluster.togglePartition()
	case 12:
		*copied = cluster.copyStore()
	case 13:
		cluster.restoreStore(*copied)
	case 14:
		cluster.silenceConfigReads(node)
		cluster.configureLarge(cluster.store.config.Version + 2)
	case 15:
		cluster.store.maxChanges = 1 + cluster.random.IntN(8)
	case 16:
		cluster.toggleEvacuation()
	}
}

// loseFollowers kills the followers a few milliseconds from now. They may have read the last change and told nobody.
func (cluster *cluster) loseFollowers() {
	cluster.runFor(time.Duration(cluster.random.IntN(8)) * time.Millisecond)
	for _, node := range cluster.orderedNodes() {
		if node.state.reading.active {
			cluster.kill(node)
		}
	}
}

// drainOrEndServer drains any registered server, or ends it if it is already draining.
func (cluster *cluster) drainOrEndServer() {
	servers := cluster.orderedServers()
	cluster.random.Shuffle(len(servers), func(left, right int) {
		servers[left], servers[right] = servers[right], servers[left]
	})
	for _, server := range servers {
		if _, registered := cluster.store.entries["server/"+string(server.ID)]; !registered {
			continue
		}
		if server.retired {
			cluster.endServer(server)
		} else {
			cluster.drainServer(server)
		}
		return
	}
}

func (cluster *cluster) togglePartition() {
	cluster.store.disruptedAt = cluster.now
	if cluster.partitioned("a", "b") {
		cluster.partitioned = func(id.Domain, id.Domain) bool { return false }
		return
	}
	cluster.partitioned = func(left, right id.Domain) bool { return left != right && (left == "b" || right == "b") }
}
