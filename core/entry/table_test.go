package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPublishPause checks how often measures are made anew, which costs time for each server.
func TestPublishPause(t *testing.T) {
	c := qt.New(t)
	const (
		perServer = time.Microsecond
		// budget is the part of a core that measures may take.
		budget = 0.015
	)
	for _, servers := range []int{0, 18, 150, 3_000, 16_000} {
		pause := publishPause(servers)
		c.Check(float64(servers)*float64(perServer) <= budget*float64(pause), qt.IsTrue,
			qt.Commentf("%d servers: every %v", servers, pause))
		c.Check(pause >= _publishPause && pause <= _publishMost, qt.IsTrue, qt.Commentf("%v", pause))
	}
}
