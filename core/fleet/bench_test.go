package fleet

import (
	"fmt"
	"testing"
	"time"

	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/steer"
	"azureshift/core/target"
)

// BenchmarkMeasures recomputes the measures of all servers of a table, as an instance does several times a second.
func BenchmarkMeasures(b *testing.B) {
	for _, servers := range []int{150, 4_000, 16_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			const services = 150
			table, loads := &steer.Table{}, make([]Load, servers)
			for number := range servers {
				server := &steer.Server{
					Target: target.Target{Service: id.Service(fmt.Sprint(number % services)), Slots: 2},
					Cookie: packet.Cookie(number + 1), Condition: steer.Usable, Warm: true,
				}
				table.Add(server)
				table.AddToPool(server)
				loads[number] = Load{Cookie: server.Cookie, InProgress: 1, Latency: 40 * time.Millisecond, Answers: 10}
			}
			loadEstimates := LoadEstimates{Slots: func(packet.Cookie) int { return 2 }}
			loadEstimates.Update(time.Second, loads)
			var baselines steer.Baselines
			b.ReportAllocs()
			for b.Loop() {
				table.WithMeasures(time.Second, &baselines, func(server *steer.Server) steer.Measure {
					return loadEstimates.Measure(time.Second, server.Cookie)
				})
			}
		})
	}
}
