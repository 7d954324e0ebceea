package request_test

import (
	"slices"
	"time"

	"azureshift/core/epoch"
	"azureshift/core/id"
	"azureshift/core/request"
)

func (cluster *cluster) sendHeartbeats(node *node) {
	member, number := node.member, node.view.Number
	for _, to := range cluster.nodes {
		if to == node {
			continue
		}
		cluster.transmit(node, to, func() {
			to.lastReceived[member] = cluster.now
			if to.down[member] {
				delete(to.down, member)
				cluster.reduce(to, request.MemberUp{At: cluster.at(), Member: member})
			}
			cluster.reduce(to, request.Heartbeat{At: cluster.at(), Member: member, Epoch: number})
		})
	}
}

func (cluster *cluster) tick(node *node) {
	cluster.reduce(node, request.Tick{At: cluster.at()})
	for _, member := range node.view.Members {
		silent := cluster.now.Sub(node.lastReceived[member]) > _downTimeout
		if member != node.member && silent && !node.down[member] {
			node.down[member] = true
			cluster.reduce(node, request.MemberDown{At: cluster.at(), Member: member})
		}
	}
}

// pollRegister reads the latest view from the platform's register. It registers a new view if the instance sees
// other members or wants a new epoch.
func (cluster *cluster) pollRegister(node *node) {
	if cluster.now.Before(node.offlineUntil) {
		return
	}
	last := cluster.views[len(cluster.views)-1]
	if last.Number > node.view.Number {
		node.view = last
		for _, member := range last.Members {
			if _, ok := node.lastReceived[member]; !ok {
				node.lastReceived[member] = cluster.now
			}
		}
		history := cluster.views[max(0, len(cluster.views)-9) : len(cluster.views)-1]
		cluster.reduce(node, request.ViewChanged{At: cluster.at(), View: last, History: slices.Clone(history)})
		return
	}
	members := cluster.liveMembers(node)
	if slices.Equal(members, last.Members) && node.epochWantedAfter != last.Number || cluster.random.Intn(3) > 0 {
		return
	}
	cluster.views = append(cluster.views, epoch.View{Domain: "morbegno", Number: last.Number + 1, Members: members})
}

func (cluster *cluster) liveMembers(node *node) []id.Member {
	var members []id.Member
	for _, other := range cluster.nodes {
		received, ok := node.lastReceived[other.member]
		if other.leaving {
			continue
		}
		if other == node || ok && cluster.now.Sub(received) < _downTimeout {
			members = append(members, other.member)
		}
	}
	return members
}

func (cluster *cluster) injectFault() {
	node := cluster.nodes[cluster.random.Intn(_instances)]
	if cluster.noFaults {
		return
	}
	if cluster.onlyPlannedStops {
		cluster.leave(node)
		return
	}
	switch cluster.random.Intn(8) {
	case 0:
		cluster.kill(node)
	case 1:
		cluster.kill(node)
		cluster.kill(cluster.nodes[cluster.random.Intn(_instances)])
	case 2:
		span := []time.Duration{time.Second, 10 * time.Second}[cluster.random.Intn(2)]
		for range 1 + cluster.random.Intn(2) {
			cluster.pause(node, cluster.randomSpan(span))
			node = cluster.nodes[cluster.random.Intn(_instances)]
		}
	case 3:
		cluster.partition(2)
	case 4:
		cluster.partition(1)
	case 5:
		cluster.leave(node)
	case 6:
		cluster.pausePair()
	case 7:
		node.offlineUntil = cluster.now.Add(cluster.randomSpan(5 * time.Second))
	}
}

func (cluster *cluster) killMember(member id.Member) {
	for _, node := range cluster.nodes {
		if node.member == member {
			cluster.kill(node)
		}
	}
}

func (cluster *cluster) leave(node *node) {
	if !node.alive || node.leaving || cluster.now.Before(node.pausedUntil) {
		return
	}
	node.leaving = true
	cluster.reduce(node, request.Leave{At: cluster.at()})
}

func (cluster *cluster) kill(node *node) {
	if !node.alive {
		return
	}
	node.alive = false
	cluster.after(cluster.randomSpan(2*time.Second), func() { cluster.start(node) })
}

func (cluster *cluster) pause(node *node, span time.Duration) {
	if cluster.now.Before(node.pausedUntil) {
		return
	}
	node.pausedUntil = cluster.now.Add(span)
	cluster.after(span, func() {
		backlog := node.backlog
		node.backlog, node.resumedAt = nil, cluster.now
		if !node.alive {
			return
		}
		cluster.reduce(node, request.Tick{At: cluster.at()})
		for _, run := range backlog {
			run()
		}
	})
}

// pausePair pauses the owner and its runner-up together, as if they ran on one machine.
func (cluster *cluster) pausePair() {
	span := cluster.randomSpan(10 * time.Second)
	pair := cluster.views[len(cluster.views)-1].Pair(_shard)
	for _, node := range cluster.nodes {
		if node.member == pair.Owner || node.member == pair.RunnerUp {
			cluster.pause(node, span)
		}
	}
}

// partition disconnects some instances from the others; either side may keep its connection to the platform.
func (cluster *cluster) partition(minority int) {
	order := cluster.random.Perm(_instances)
	until := cluster.now.Add(cluster.randomSpan(12 * time.Second))
	minorityOffline := cluster.random.Intn(2) == 0
	for at, index := range order {
		if (at < minority) == minorityOffline {
			cluster.nodes[index].offlineUntil = until
		}
		for otherAt, other := range order {
			if (at < minority) != (otherAt < minority) {
				cluster.cutUntil[[2]int{index, other}] = until
			}
		}
	}
}
