package capacity_test

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/experiment/capacity"
	"azureshift/experiment/membership"
	"azureshift/experiment/requests"
)

// The benchmarks print tables. Run each once: go test -run xxx -bench NAME -benchtime 1x.

func BenchmarkSlopes(b *testing.B) {
	for b.Loop() {
		report, err := capacity.Run(capacity.DefaultConfig())
		qt.New(b).Assert(err, qt.IsNil)
		qt.New(b).Assert(report.Print(os.Stdout), qt.IsNil)
	}
}

// BenchmarkTables prints the tables of the membership and requests experiments at full size, for which the command
// line has no command.
func BenchmarkTables(b *testing.B) {
	for b.Loop() {
		membership.Run(membership.DefaultConfig()).Print(os.Stdout)
		qt.New(b).Assert(requests.Run(requests.DefaultConfig()).Print(os.Stdout), qt.IsNil)
	}
}

func BenchmarkStalls(b *testing.B) {
	spans := []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 7 * time.Second, 34 * time.Second}
	for b.Loop() {
		for _, members := range []int{125, 500} {
			for _, span := range spans {
				capacity.MeasureStall(members, 9, span, 1).Print(os.Stdout)
			}
		}
	}
}
