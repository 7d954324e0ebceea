package request

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"azureshift/core/id"
)

// DomainSlots is the number of slots of a service's targets in one failure domain.
type DomainSlots struct {
	Domain id.Domain
	Slots  int
}

// HomeShard returns the shard whose pair decides a request. For a given key it depends on the bundle alone.
func HomeShard(service id.Service, domains []DomainSlots, key Key) id.Shard {
	return RankShards(service, domains, key)[0]
}

// RankShards returns the shards of a service by descending rendezvous score for a key: its home first. An idempotent
// request goes to the next one if the home's failure domain cannot be reached. Domains without slots come last.
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

// score is the weighted rendezvous score: -slots / ln(uniform hash).
func score(domain DomainSlots, key Key) float64 {
	digest := xxhash.New()
	address, _ := key.Caller.MarshalBinary()
	_, _ = digest.Write(address)
	_, _ = digest.WriteString(key.Tag)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(key.Service))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(domain.Domain))
	uniform := (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
	return -float64(domain.Slots) / math.Log(uniform)
}
