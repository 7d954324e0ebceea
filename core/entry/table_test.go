package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPublishInterval checks that measuring takes no more than a fixed part of a core, whatever the number of servers.
func TestPublishInterval(t *testing.T) {
	c := qt.New(t)
	const (
		perServer = time.Microsecond
		// budget is the part of a core that measuring may take.
		budget = 0.015
	)
	for _, servers := range []int{0, 18, 150, 3_000, 16_000} {
		pause := publishInterval(servers)
		c.Check(float64(servers)*float64(perServer) <= budget*float64(pause), qt.IsTrue,
			qt.Commentf("%d servers: every %v", servers, pause))
		c.Check(pause >= _minPublishInterval && pause <= _maxPublishInterval, qt.IsTrue, qt.Commentf("%v", pause))
	}
}
