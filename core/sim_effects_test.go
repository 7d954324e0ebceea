package core_test

import (
	"time"

	"azureshift/bundle"
	"azureshift/core"
	"azureshift/core/epoch"
	"azureshift/core/gossip"
	"azureshift/core/id"
	"azureshift/core/placement"
	"azureshift/core/request"
	"azureshift/core/rollout"
)

const _exchangeTimeout = 2 * time.Second

// execute executes an effect of an instance, as the daemon does.
func (sim *sim) execute(node *node, effect core.Effect) {
	switch effect := effect.(type) {
	case core.Send:
		sim.send(node, effect)
	case core.RequestEffect:
		sim.executeRequest(node, effect.Effect)
	case core.FlowEffect:
		sim.executeFlow(node, effect.Effect)
	case core.ForwardMoved:
		sim.forwardMoved(node, effect)
	case core.PublishRoutes:
		node.routes = effect.Routes
	case core.EpochEffect:
		sim.executeEpoch(node, effect.Effect)
	case core.BundleEffect:
		sim.executeBundle(node, effect.Effect)
	case core.FetchValue:
		sim.fetchValue(node, effect.Fetch)
	case core.BundleApplied:
		sim.recordVersion(node, effect.Head.Version)
	case core.BundleRefused:
		sim.report("%s refused version %d: %v", node.member.Instance, effect.Version, effect.Err)
	case core.Violation:
		sim.report("%s: violation: %s", node.member.Instance, effect.Invariant)
	case core.HandoverCompleted:
		node.handedOver = true
	case core.LeaveCompleted:
		sim.completeStop(node)
	}
}

func (sim *sim) send(node *node, effect core.Send) {
	from, source := node.member, node.address
	to := sim.nodeAt(effect.Address)
	if effect.To.Instance != "" && effect.To != to.member {
		return
	}
	sim.transmit(node, to, func() {
		sim.reduce(to, core.MessageReceived{At: sim.now, From: from, Source: source, Message: effect.Message})
	})
}

func (sim *sim) executeFlow(node *node, effect placement.Effect) {
	switch effect := effect.(type) {
	case placement.Publish:
		node.path.Publish(effect.Snapshot)
	case placement.Place:
		target := node.path.Place(effect, sim.now)
		for _, waiting := range node.release(effect.Flow) {
			sim.serveFeed(node, waiting, target)
		}
	case placement.Forward:
		for _, waiting := range node.release(effect.Flow) {
			sim.forward(node, effect.Member, waiting)
		}
	case placement.Refuse:
		node.release(effect.Flow)
	case placement.RequestFilters:
		node.path.Table.RaiseFence(effect.Fence)
		slots := placement.BuildFilters(node.path.Table, effect)
		sim.post(node, core.FlowEvent{Event: placement.FiltersBuilt{At: sim.now, Fence: effect.Fence, Slots: slots}})
	}
}

// executeEpoch calls the register at the platform. The reply may be lost although the swap took effect.
func (sim *sim) executeEpoch(node *node, effect epoch.Effect) {
	answer, wait := epoch.Event(nil), time.Second
	if sim.platformUp(node) {
		wait = sim.randomDelay(20 * time.Millisecond)
	}
	sim.schedule(wait, func() {
		answer = sim.callRegister(effect, sim.platformUp(node))
		sim.deliver(node, sim.randomDelay(20*time.Millisecond), func() {
			sim.reduce(node, core.EpochEvent{Event: withTime(answer, sim.now)})
		})
	})
}

func withTime(event epoch.Event, at time.Time) epoch.Event {
	switch event := event.(type) {
	case epoch.ViewRead:
		event.At = at
		return event
	case epoch.Swapped:
		event.At = at
		return event
	}
	return event
}

func (sim *sim) callRegister(effect epoch.Effect, up bool) epoch.Event {
	switch effect := effect.(type) {
	case epoch.Read:
		return epoch.ViewRead{Found: up, View: sim.views[effect.Domain]}
	case epoch.Propose:
		if !up {
			return epoch.Swapped{Proposed: effect.View, Result: epoch.OutcomeUnknown{}}
		}
		held := sim.views[effect.View.Domain]
		swapped := epoch.Swapped{Proposed: effect.View, Result: epoch.Applied{}}
		if held.Number == effect.Expected {
			sim.views[effect.View.Domain] = effect.View
		} else {
			swapped.Result = epoch.NotApplied{Current: held}
		}
		if sim.random.IntN(10) == 0 {
			swapped.Result = epoch.OutcomeUnknown{}
		}
		return swapped
	}
	return nil
}

func (sim *sim) executeBundle(node *node, effect rollout.Effect) {
	switch effect := effect.(type) {
	case rollout.WatchHead:
		node.watching = effect.Enabled
		sim.notifyHead(node)
	case rollout.FetchHead:
		sim.fetchHead(node, effect)
	case rollout.FetchPart:
		sim.fetchPart(node, effect)
	}
}

// notifyHead sends the head to an instance that watches the platform, and tries again later if the platform is
// unreachable from it.
func (sim *sim) notifyHead(node *node) {
	if !node.watching || sim.head.Version == 0 {
		return
	}
	if !sim.platformUp(node) {
		sim.deliver(node, time.Second, func() { sim.notifyHead(node) })
		return
	}
	seen := rollout.HeadReceived{Head: sim.head, From: rollout.Platform}
	sim.deliverRollout(node, sim.randomDelay(20*time.Millisecond), func() rollout.Event { seen.At = sim.now; return seen })
}

func (sim *sim) deliverRollout(node *node, wait time.Duration, event func() rollout.Event) {
	sim.deliver(node, wait, func() { sim.reduce(node, core.RolloutEvent{Event: event()}) })
}

type (
	query   func(state *core.State) (rollout.Event, bool)
	failure func() rollout.Event
)

// exchange queries another instance over a stream and fails after a timeout if that is unreachable.
func (sim *sim) exchange(node *node, with id.Member, query query, failure failure) {
	for _, peer := range sim.nodes {
		if peer.member != with || !sim.reaches(node, peer) {
			continue
		}
		sim.deliver(peer, sim.randomDelay(_maxDelay), func() {
			answer, ok := query(peer.state)
			if ok {
				failure = func() rollout.Event { return answer }
			}
			sim.deliverRollout(node, sim.randomDelay(_maxDelay), failure)
		})
		return
	}
	sim.deliverRollout(node, _exchangeTimeout, failure)
}

func (sim *sim) fetchHead(node *node, effect rollout.FetchHead) {
	failed := func() rollout.Event { return rollout.HeadFailed{At: sim.now, From: effect.From} }
	if effect.From != rollout.Platform {
		sim.exchange(node, effect.From.Member, func(state *core.State) (rollout.Event, bool) {
			delta := state.HeadDelta(effect.Base)
			return rollout.DeltaReceived{At: sim.now, Delta: delta, From: effect.From}, state.Version() > 0
		}, failed)
		return
	}
	head, up := sim.head, sim.platformUp(node)
	sim.deliverRollout(node, sim.randomDelay(20*time.Millisecond), func() rollout.Event {
		if !up || head.Version == 0 {
			return failed()
		}
		return rollout.HeadReceived{At: sim.now, Head: head, From: rollout.Platform}
	})
}

func (sim *sim) fetchPart(node *node, effect rollout.FetchPart) {
	failed := func() rollout.Event { return rollout.PartFailed{At: sim.now, Hash: effect.Hash, From: effect.From} }
	if effect.From != rollout.Platform {
		sim.exchange(node, effect.From.Member, func(state *core.State) (rollout.Event, bool) {
			raw, held := state.Part(effect.Hash)
			return rollout.PartReceived{At: sim.now, Hash: effect.Hash, Bytes: raw}, held
		}, failed)
		return
	}
	up := sim.platformUp(node)
	sim.deliverRollout(node, sim.randomDelay(20*time.Millisecond), func() rollout.Event {
		raw, held := sim.parts[effect.Hash]
		if !up || !held {
			return failed()
		}
		return rollout.PartsReceived{At: sim.now, Parts: []bundle.Part{{Hash: effect.Hash, Bytes: raw}}}
	})
}

func (sim *sim) fetchValue(node *node, effect gossip.Fetch) {
	peer := sim.nodeAt(effect.From)
	sim.transmit(node, peer, func() {
		if value, held := peer.state.Value(effect.Key); held {
			sim.post(node, core.GossipEvent{Event: gossip.SetValue{At: sim.now, Value: value}})
		}
	})
}

func (sim *sim) executeRequest(node *node, effect request.Effect) {
	switch effect := effect.(type) {
	case request.Dispatch:
		sim.dispatch(node, effect)
	case request.Reply:
		sim.recordReply(effect)
	}
}
