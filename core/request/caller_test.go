package request_test

import (
	"fmt"
	"net/netip"
	"time"

	"azureshift/core/request"
)

// runAtTarget simulates a target: it refuses the request, runs it, runs it without answering, or never receives it.
func (cluster *cluster) runAtTarget(node *node, effect request.Dispatch) {
	fate, member := cluster.random.Intn(100), node.member
	if cluster.onlyPlannedStops {
		fate = max(4, min(97, fate))
	}
	if fate < 1 && cluster.random.Intn(4) == 0 {
		return
	}
	reply := request.TargetReplied{
		Attempt: effect.Attempt, Result: request.ResultAnswered, Payload: []byte(effect.Key.Tag),
	}
	took := 5*time.Millisecond + cluster.randomSpan(60*time.Millisecond)
	if fate < 4 {
		reply.Result, took = request.ResultRefused, time.Millisecond
	} else {
		cluster.after(cluster.randomSpan(5*time.Millisecond), func() { cluster.runs[effect.Key]++ })
	}
	if fate > 98 && cluster.random.Intn(4) == 0 {
		return
	}
	cluster.after(took, func() {
		cluster.deliver(node, member, func() {
			reply.At = cluster.at()
			cluster.reduce(node, reply)
		})
	})
}

func (cluster *cluster) noteReply(effect request.Reply) {
	if effect.Outcome == request.Answered && (cluster.runs[effect.Key] == 0 || string(effect.Payload) != effect.Key.Tag) {
		cluster.result.WrongAnswers++
	}
	if effect.Outcome == request.NotRun {
		cluster.repliedNotRun[effect.Key] = true
	}
	if before, ok := cluster.replies[effect.Key]; !ok || before == request.Unknown {
		cluster.replies[effect.Key] = effect.Outcome
	}
}

// startCaller simulates a caller that retransmits to any instance until it has an answer or gives up.
func (cluster *cluster) startCaller(index int) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 5683)
	key := request.Key{Caller: address, Service: "stampa", Tag: fmt.Sprint(index)}
	class := request.AtMostOnce
	if index%5 == 0 {
		class = request.Idempotent
		cluster.repeatable[key] = true
	}
	deadline := 300*time.Millisecond + cluster.randomSpan(_retransmitSpan)
	for _, wait := range []int{0, 150, 400, 900, 1900} {
		at := time.Duration(wait) * time.Millisecond
		cluster.after(at+cluster.randomSpan(10*time.Millisecond), func() {
			if outcome, ok := cluster.replies[key]; ok && outcome == request.Answered && cluster.random.Intn(4) > 0 {
				return
			}
			left := max(10*time.Millisecond, deadline-at)
			cluster.forwardToOwner(cluster.nodes[cluster.random.Intn(_instances)], request.Arrived{
				Key: key, Class: class, Deadline: cluster.now.Add(left),
			})
		})
	}
}

// pauseOver reports whether the datagrams that waited while the node was paused have been dropped.
func (cluster *cluster) pauseOver(node *node) bool {
	return cluster.without.PauseCheck || cluster.now.Sub(node.resumedAt) >= _pauseThreshold
}

func (cluster *cluster) forwardToOwner(node *node, event request.Arrived) {
	cluster.deliver(node, node.member, func() {
		if len(node.view.Members) == 0 || !cluster.pauseOver(node) {
			return
		}
		pair := node.view.Pair(_shard)
		to := pair.Owner
		if node.down[to] {
			to = pair.RunnerUp
		}
		for _, peer := range cluster.nodes {
			if peer.member == to {
				cluster.transmit(node, peer, func() {
					event.At = cluster.at()
					cluster.reduce(peer, event)
				})
			}
		}
	})
}

func (cluster *cluster) summarize() result {
	result := cluster.result
	result.Requests = len(cluster.replies)
	for key, runs := range cluster.runs {
		result.Runs += runs
		if cluster.repeatable[key] {
			continue
		}
		if cluster.replies[key] != request.Answered {
			result.RanUnanswered++
		}
		if runs > 1 {
			result.DoubleRuns++
		}
		if cluster.repliedNotRun[key] {
			result.FalseNotRun++
		}
	}
	for _, outcome := range cluster.replies {
		switch outcome {
		case request.Answered:
			result.Answered++
		case request.NotRun:
			result.NotRun++
		case request.Unknown:
			result.Unknown++
		}
	}
	return result
}
