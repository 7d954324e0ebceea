package request_test

import (
	"fmt"
	"net/netip"
	"time"

	"azureshift/core/request"
)

// runAtTarget is a target: it refuses, runs, runs without an answer, or never gets the request.
func (simulation *simulation) runAtTarget(node *node, effect request.Dispatch) {
	fate, member := simulation.random.Intn(100), node.member
	if simulation.onlyPlannedStops {
		fate = max(4, min(97, fate))
	}
	if fate < 1 && simulation.random.Intn(4) == 0 {
		return
	}
	reply := request.TargetReplied{
		Attempt: effect.Attempt, Verdict: request.VerdictAnswered, Payload: []byte(effect.Key.Tag),
	}
	took := 5*time.Millisecond + simulation.randomSpan(60*time.Millisecond)
	if fate < 4 {
		reply.Verdict, took = request.VerdictRefused, time.Millisecond
	} else {
		simulation.after(simulation.randomSpan(5*time.Millisecond), func() { simulation.runs[effect.Key]++ })
	}
	if fate > 98 && simulation.random.Intn(4) == 0 {
		return
	}
	simulation.after(took, func() {
		simulation.deliver(node, member, func() {
			reply.At = simulation.eventTime()
			simulation.reduce(node, reply)
		})
	})
}

func (simulation *simulation) recordReply(effect request.Reply) {
	if effect.Outcome == request.Answered && (simulation.runs[effect.Key] == 0 || string(effect.Payload) != effect.Key.Tag) {
		simulation.result.WrongAnswers++
	}
	if effect.Outcome == request.NotRun {
		simulation.repliedNotRun[effect.Key] = true
	}
	if before, ok := simulation.replies[effect.Key]; !ok || before == request.Unknown {
		simulation.replies[effect.Key] = effect.Outcome
	}
}

// startCaller is a caller that retransmits to any instance until it has an answer or gives up.
func (simulation *simulation) startCaller(index int) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 5683)
	key := request.Key{Caller: address, Service: "stampa", Tag: fmt.Sprint(index)}
	class := request.Once
	if index%5 == 0 {
		class = request.Repeatable
		simulation.repeatable[key] = true
	}
	deadline := 300*time.Millisecond + simulation.randomSpan(_retransmitSpan)
	for _, wait := range []int{0, 150, 400, 900, 1900} {
		at := time.Duration(wait) * time.Millisecond
		simulation.after(at+simulation.randomSpan(10*time.Millisecond), func() {
			if outcome, ok := simulation.replies[key]; ok && outcome == request.Answered && simulation.random.Intn(4) > 0 {
				return
			}
			left := max(10*time.Millisecond, deadline-at)
			simulation.forwardToOwner(simulation.nodes[simulation.random.Intn(_instances)], request.Arrived{
				Key: key, Class: class, Deadline: simulation.now.Add(left),
			})
		})
	}
}

// pauseOver reports whether what waited while the node was paused has been dropped.
func (simulation *simulation) pauseOver(node *node) bool {
	return simulation.without.PauseCheck || simulation.now.Sub(node.resumedAt) >= _pauseThreshold
}

func (simulation *simulation) forwardToOwner(node *node, event request.Arrived) {
	simulation.deliver(node, node.member, func() {
		if len(node.view.Members) == 0 || !simulation.pauseOver(node) {
			return
		}
		pair := node.view.Pair(_shard)
		to := pair.Owner
		if node.down[to] {
			to = pair.RunnerUp
		}
		for _, peer := range simulation.nodes {
			if peer.member == to {
				simulation.transmit(node, peer, func() {
					event.At = simulation.eventTime()
					simulation.reduce(peer, event)
				})
			}
		}
	})
}

func (simulation *simulation) tally() result {
	result := simulation.result
	result.Requests = len(simulation.replies)
	for key, runs := range simulation.runs {
		result.Runs += runs
		if simulation.repeatable[key] {
			continue
		}
		if simulation.replies[key] != request.Answered {
			result.RanUnanswered++
		}
		if runs > 1 {
			result.DoubleRuns++
		}
		if simulation.repliedNotRun[key] {
			result.FalseNotRun++
		}
	}
	for _, outcome := range simulation.replies {
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
