package request

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"azureshift/core/id"
)

// DomainSlots is a failure domain and the number of slots that a service's targets have in it.
type DomainSlots struct {
	Domain id.Domain
	Slots  int
}

// HomeShard returns the home of a request: the shard whose owner, or runner-up if the owner is lost, dispatches it to a
// target. The result depends only on the arguments, so all instances with the same bundle agree. It panics if domains
// is empty.
func HomeShard(service id.Service, domains []DomainSlots, key Key) id.Shard {
	return RankShards(service, domains, key)[0]
}

// RankShards returns the shards of a service by descending rendezvous score for a key: its home first. Domains
// without slots come last. Callers send an idempotent request to the next shard if the failure domain of the first
// cannot be reached.
func RankShards(service id.Service, domains []DomainSlots, key Key) []id.Shard {
	type scored struct {
		shard id.Shard
		score float64
	}
	scores := make([]scored, 0, len(domains))
	for _, domain := range domains {
		shard := id.Shard{Service: service, Domain: domain.Domain}
		scores = append(scores, scored{shard: shard, score: score(domain, key)})
	}
	slices.SortFunc(scores, func(left, right scored) int {
		return cmp.Or(cmp.Compare(right.score, left.score), cmp.Compare(left.shard.Domain, right.shard.Domain))
	})
	shards := make([]id.Shard, 0, len(scores))
	for _, scored := range scores {
		shards = append(shards, scored.shard)
	}
	return shards
}

// score is the weighted rendezvous score -slots / ln(uniform hash), by which each domain comes first for a share of the
// keys in proportion to its slots.
func score(domain DomainSlots, key Key) float64 {
	digest := xxhash.New()
	address, _ := key.Caller.MarshalBinary()
	_, _ = digest.Write(address)
	_, _ = digest.WriteString(key.Tag)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(key.Service))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(domain.Domain))
	// A float64 holds 53 bits exactly. The added half keeps uniform above 0, where the logarithm is infinite.
	uniform := (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
	return -float64(domain.Slots) / math.Log(uniform)
}
