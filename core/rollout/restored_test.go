package rollout_test

import (
	"fmt"
	"maps"
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/bundle"
	"azureshift/core/rollout"
)

// restore brings the platform back from a copy with an older head and without the parts of later ones, and answers the
// watches, as the index has gone back.
func (network *network) restore(head bundle.Head, parts map[bundle.Hash][]byte) {
	network.platformHead, network.platformParts = head, parts
	for _, node := range network.nodes {
		if node.watching {
			network.answerWatch(node)
		}
	}
}

// TestRestoredPlatform guards against an instance that goes back to an older bundle, or stays without one, because the
// platform was restored from a copy: instances that start again learn the newest bundle from the others.
func TestRestoredPlatform(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(_seeds) {
		c.Run(fmt.Sprintf("seed %d", seed), func(c *qt.C) {
			network := newNetwork(c, seed, 3, 15, rollout.Disabled{})
			network.roll(sampleBundle(1, 6, 2))
			network.run(_convergenceTime)
			copied := network.roll(sampleBundle(2, 5, 2))
			parts := maps.Clone(network.platformParts)
			network.run(_convergenceTime)
			network.roll(sampleBundle(3, 7, 2))
			network.run(_convergenceTime)
			network.restore(copied, parts)
			for range 5 {
				network.replaceFollower(network.nodes[network.random.IntN(len(network.nodes))])
			}
			network.run(_convergenceTime)
			c.Assert(network.countBehind(3), qt.Equals, 0)
			network.roll(sampleBundle(4, 6, 2))
			network.run(_convergenceTime)
			c.Assert(network.countBehind(4), qt.Equals, 0)
			c.Assert(network.violations, qt.HasLen, 0)
		})
	}
}
