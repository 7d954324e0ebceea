package membership_test

import (
	"fmt"
	"testing"
	"time"

	"azureshift/core/membership"
	experiment "azureshift/experiment/membership"
)

// BenchmarkEvent measures the time to process one event, which must not grow with the number of members.
func BenchmarkEvent(b *testing.B) {
	for _, size := range []int{16, 125, 500} {
		b.Run(fmt.Sprintf("%dMembers", size), func(b *testing.B) {
			network := experiment.NewFleet(1, size, 3, membership.Disabled{})
			network.Run(2 * time.Second)
			first := network.Events
			b.ResetTimer()
			for network.Events-first < b.N {
				network.Run(10 * time.Millisecond)
			}
		})
	}
}
