package request_test

import (
	"slices"
	"time"

	"azureshift/core/epoch"
	"azureshift/core/id"
	"azureshift/core/request"
)

func (simulation *simulation) sendHeartbeats(node *node) {
	member, number := node.member, node.view.Number
	for _, to := range simulation.nodes {
		if to == node {
			continue
		}
		simulation.transmit(node, to, func() {
			to.lastHeard[member] = simulation.now
			if to.down[member] {
				delete(to.down, member)
				simulation.reduce(to, request.MemberUp{At: simulation.eventTime(), Member: member})
			}
			simulation.reduce(to, request.Contact{At: simulation.eventTime(), Member: member, Epoch: number})
		})
	}
}

func (simulation *simulation) tick(node *node) {
	simulation.reduce(node, request.Tick{At: simulation.eventTime()})
	for _, member := range node.view.Members {
		silent := simulation.now.Sub(node.lastHeard[member]) > _downTimeout
		if member != node.member && silent && !node.down[member] {
			node.down[member] = true
			simulation.reduce(node, request.MemberDown{At: simulation.eventTime(), Member: member})
		}
	}
}

// pollRegister reads the platform's register, and moves it where the instance sees other members than it names.
func (simulation *simulation) pollRegister(node *node) {
	if simulation.now.Before(node.offlineUntil) {
		return
	}
	last := simulation.views[len(simulation.views)-1]
	if last.Number > node.view.Number {
		node.view = last
		for _, member := range last.Members {
			if _, ok := node.lastHeard[member]; !ok {
				node.lastHeard[member] = simulation.now
			}
		}
		history := simulation.views[max(0, len(simulation.views)-9) : len(simulation.views)-1]
		simulation.reduce(node, request.ViewChanged{At: simulation.eventTime(), View: last, History: slices.Clone(history)})
		return
	}
	members := simulation.liveMembers(node)
	if slices.Equal(members, last.Members) && node.epochWantedAfter != last.Number || simulation.random.Intn(3) > 0 {
		return
	}
	simulation.views = append(simulation.views, epoch.View{Domain: "morbegno", Number: last.Number + 1, Members: members})
}

func (simulation *simulation) liveMembers(node *node) []id.Member {
	var members []id.Member
	for _, other := range simulation.nodes {
		heard, ok := node.lastHeard[other.member]
		if other.leaving {
			continue
		}
		if other == node || ok && simulation.now.Sub(heard) < _downTimeout {
			members = append(members, other.member)
		}
	}
	return members
}

func (simulation *simulation) injectFault() {
	node := simulation.nodes[simulation.random.Intn(_instances)]
	if simulation.noFaults {
		return
	}
	if simulation.onlyPlannedStops {
		simulation.leave(node)
		return
	}
	switch simulation.random.Intn(8) {
	case 0:
		simulation.kill(node)
	case 1:
		simulation.kill(node)
		simulation.kill(simulation.nodes[simulation.random.Intn(_instances)])
	case 2:
		span := []time.Duration{time.Second, 10 * time.Second}[simulation.random.Intn(2)]
		for range 1 + simulation.random.Intn(2) {
			simulation.pause(node, simulation.randomSpan(span))
			node = simulation.nodes[simulation.random.Intn(_instances)]
		}
	case 3:
		simulation.partition(2)
	case 4:
		simulation.partition(1)
	case 5:
		simulation.leave(node)
	case 6:
		simulation.pausePair()
	case 7:
		node.offlineUntil = simulation.now.Add(simulation.randomSpan(5 * time.Second))
	}
}

func (simulation *simulation) killMember(member id.Member) {
	for _, node := range simulation.nodes {
		if node.member == member {
			simulation.kill(node)
		}
	}
}

func (simulation *simulation) leave(node *node) {
	if !node.alive || node.leaving || simulation.now.Before(node.pausedUntil) {
		return
	}
	node.leaving = true
	simulation.reduce(node, request.Leave{At: simulation.eventTime()})
}

func (simulation *simulation) kill(node *node) {
	if !node.alive {
		return
	}
	node.alive = false
	simulation.after(simulation.randomSpan(2*time.Second), func() { simulation.start(node) })
}

func (simulation *simulation) pause(node *node, span time.Duration) {
	if simulation.now.Before(node.pausedUntil) {
		return
	}
	node.pausedUntil = simulation.now.Add(span)
	simulation.after(span, func() {
		backlog := node.backlog
		node.backlog, node.resumedAt = nil, simulation.now
		if !node.alive {
			return
		}
		simulation.reduce(node, request.Tick{At: simulation.eventTime()})
		for _, run := range backlog {
			run()
		}
	})
}

// pausePair pauses the owner and its runner-up together, as on one machine.
func (simulation *simulation) pausePair() {
	span := simulation.randomSpan(10 * time.Second)
	pair := simulation.views[len(simulation.views)-1].Pair(_shard)
	for _, node := range simulation.nodes {
		if node.member == pair.Owner || node.member == pair.RunnerUp {
			simulation.pause(node, span)
		}
	}
}

// partition cuts some instances from the others; the platform may stay with either side.
func (simulation *simulation) partition(minority int) {
	order := simulation.random.Perm(_instances)
	until := simulation.now.Add(simulation.randomSpan(12 * time.Second))
	minorityOffline := simulation.random.Intn(2) == 0
	for at, index := range order {
		if (at < minority) == minorityOffline {
			simulation.nodes[index].offlineUntil = until
		}
		for otherAt, other := range order {
			if (at < minority) != (otherAt < minority) {
				simulation.cutUntil[[2]int{index, other}] = until
			}
		}
	}
}
