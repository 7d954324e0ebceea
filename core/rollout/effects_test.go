package rollout_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"azureshift/bundle"
	"azureshift/bundle/roll"
	"azureshift/core/id"
	"azureshift/core/rollout"
)

// deliver passes an event to the node's follower and carries out the effects.
func (network *network) deliver(node *node, event rollout.Event) {
	effects := network.batchPlatformReads(node, node.state.Reduce(event))
	for _, effect := range effects {
		switch effect := effect.(type) {
		case rollout.FetchHead:
			network.fetchHead(node, effect)
		case rollout.FetchPart:
			network.fetchPart(node, effect)
		case rollout.Apply:
			network.apply(node, effect)
		case rollout.AdvertiseHead:
			network.gossip(node)
		case rollout.WatchHead:
			node.watching = effect.Enabled
			if node.watching {
				network.answerWatch(node)
			}
		case rollout.HeadRefused:
			network.refusals++
		case rollout.InvariantViolated:
			network.violations = append(network.violations, effect.Violation.Error())
		}
	}
}

// fetchHead schedules the answer to a fetch of a head, or its failure. A message lost between members gets no answer.
func (network *network) fetchHead(node *node, fetch rollout.FetchHead) {
	var event func() rollout.Event
	fail := func() rollout.Event { return rollout.HeadFailed{At: network.now, From: fetch.From} }
	if fetch.From == rollout.Platform {
		network.platformCalls++
		event = func() rollout.Event {
			return rollout.HeadReceived{At: network.now, Head: network.platformHead, From: rollout.Platform}
		}
		if network.platformHead.Version == 0 || network.platformCut[node.domain] {
			event = fail
		}
	} else {
		peer := network.findNode(fetch.From.Member)
		if !network.canExchange(node, peer) {
			return
		}
		delta := peer.state.HeadDelta(fetch.Base)
		network.recordBytes(peer, encodedSize(delta))
		event = func() rollout.Event { return rollout.DeltaReceived{At: network.now, Delta: delta, From: fetch.From} }
	}
	network.schedule(2*network.randomDelay(), func() { network.deliver(node, event()) })
}

// fetchPart schedules the answer to a fetch of a part, or its failure. A member may answer with forged bytes.
func (network *network) fetchPart(node *node, fetch rollout.FetchPart) {
	network.partFetches++
	raw, ok := network.platformParts[fetch.Hash]
	if fetch.From == rollout.Platform {
		network.platformCalls++
		ok = ok && !network.platformCut[node.domain]
	} else {
		peer := network.findNode(fetch.From.Member)
		if !network.canExchange(node, peer) {
			return
		}
		raw, ok = peer.state.Part(fetch.Hash)
		network.recordBytes(peer, len(raw))
		if network.random.Float64() < network.forgeryRate {
			raw = append([]byte("x"), raw...)
		}
	}
	network.schedule(2*network.randomDelay(), func() {
		if ok {
			network.deliver(node, rollout.PartReceived{At: network.now, Hash: fetch.Hash, Bytes: raw})
			return
		}
		network.deliver(node, rollout.PartFailed{At: network.now, Hash: fetch.Hash, From: fetch.From})
	})
}

// batchPlatformReads reads many parts from the platform in one call, as roll.FetchParts does, and returns the effects
// that remain to be carried out.
func (network *network) batchPlatformReads(node *node, effects []rollout.Effect) []rollout.Effect {
	fromPlatform := func(effect rollout.Effect) bool {
		fetch, ok := effect.(rollout.FetchPart)
		return ok && fetch.From == rollout.Platform
	}
	rest := slices.DeleteFunc(slices.Clone(effects), fromPlatform)
	if len(effects)-len(rest) < roll.BulkReadThreshold || network.platformCut[node.domain] {
		return effects
	}
	network.platformCalls++
	parts := make([]bundle.Part, 0, len(network.platformParts))
	for _, ref := range network.platformHead.Parts {
		parts = append(parts, bundle.Part{Hash: ref.Hash, Bytes: network.platformParts[ref.Hash]})
	}
	network.partFetches += len(parts)
	network.schedule(2*network.randomDelay(), func() {
		network.deliver(node, rollout.PartsReceived{At: network.now, Parts: parts})
	})
	return rest
}

// recordBytes counts bytes that a node sends to another one.
func (network *network) recordBytes(from *node, size int) {
	from.bytesServed += size
	network.bytesSent += size
}

// apply checks the invariants independently of the follower's own checks.
func (network *network) apply(node *node, effect rollout.Apply) {
	rolledAt, ok := network.rolledAt[effect.Head.Digest()]
	switch {
	case !ok:
		network.violations = append(network.violations, fmt.Sprintf("version %d was never rolled", effect.Head.Version))
	case effect.Bundle.Version <= node.version:
		network.violations = append(network.violations,
			fmt.Sprintf("version %d was applied after version %d", effect.Bundle.Version, node.version))
	case network.skipChecks:
	case effect.Bundle.Validate() != nil:
		network.violations = append(network.violations, fmt.Sprintf("version %d is not valid", effect.Head.Version))
	case !isComplete(effect):
		network.violations = append(network.violations, fmt.Sprintf("version %d is not complete", effect.Head.Version))
	}
	node.version = effect.Bundle.Version
	if effect.Head.Version == network.platformHead.Version {
		network.applyDelays = append(network.applyDelays, network.now.Sub(rolledAt))
	}
}

// isComplete reports whether the bundle splits into exactly the parts that the head names.
func isComplete(effect rollout.Apply) bool {
	parts, err := bundle.Split(effect.Bundle)
	if err != nil || len(parts) != len(effect.Head.Parts) {
		return false
	}
	for index, part := range parts {
		if effect.Head.Parts[index].Hash != part.Hash {
			return false
		}
	}
	return true
}

// countBehind returns the number of nodes that do not have the version in force.
func (network *network) countBehind(version uint64) int {
	count := 0
	for _, node := range network.nodes {
		if uint64(node.version) != version {
			count++
		}
	}
	return count
}

func encodedSize(message any) int {
	raw, _ := cbor.Marshal(message)
	return len(raw)
}

// injectFaults changes partitions and loss rates, replaces instances, replays old heads and forges new ones, then lets
// time pass.
func (network *network) injectFaults(heads []bundle.Head) {
	pick := func() *node { return network.nodes[network.random.IntN(len(network.nodes))] }
	domain := pick().domain
	network.platformCut[domain] = network.random.IntN(2) == 0
	network.partitioned[[2]id.Domain{domain, pick().domain}] = network.random.IntN(2) == 0
	network.lossRate = network.random.Float64() * 0.3
	network.forgeryRate = network.random.Float64() * 0.2
	if network.random.IntN(3) == 0 {
		network.replaceFollower(pick())
	}
	sender := rollout.Source{Member: pick().member}
	old := heads[network.random.IntN(len(heads))]
	network.deliver(pick(), rollout.HeadReceived{At: network.now, Head: old, From: sender})
	forged := heads[len(heads)-1]
	forged.Version += 5
	network.deliver(pick(), rollout.HeadReceived{At: network.now, Head: forged, From: sender})
	network.deliver(pick(), rollout.VersionAdvertised{At: network.now, Member: sender.Member, Version: forged.Version})
	network.run(time.Duration(network.random.Int64N(int64(2 * time.Second))))
}

// heal ends partitions, losses and forgery.
func (network *network) heal() {
	clear(network.partitioned)
	clear(network.platformCut)
	network.lossRate, network.forgeryRate = 0, 0
}
