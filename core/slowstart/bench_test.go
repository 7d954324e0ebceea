package slowstart_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"azureshift/core/id"
	"azureshift/core/slowstart"
)

// BenchmarkOwns measures one table of the largest deployment, in which all servers are cold.
func BenchmarkOwns(b *testing.B) {
	const instances, servers = 2000, 16_000
	members := make([]slowstart.Member, 0, instances)
	for number := range instances {
		members = append(members, slowstart.Member{Name: id.Instance(fmt.Sprintf("e-%d", number))})
	}
	membership := slowstart.NewMembership(slowstart.Config{Self: members[0]})
	membership.Update(-time.Hour, _freshness, members)
	membership.Confirm(time.Minute, _freshness, time.Minute)
	membership.Confirm(2*time.Minute, 2*time.Minute, 2*time.Minute)
	random := rand.New(rand.NewPCG(1, 1))
	hashes := make([]uint64, servers)
	for index := range hashes {
		hashes[index] = random.Uint64()
	}
	now := 2*time.Minute + _freshness
	owned := 0
	for b.Loop() {
		owned = 0
		for _, server := range hashes {
			if membership.Owns(now, _freshness, server, slowstart.SplitOf(_limit).Owners) {
				owned++
			}
		}
	}
	b.ReportMetric(float64(owned), "owned")
}
