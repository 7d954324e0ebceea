package load

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/steer"
)

// The bounds of the load of the busiest server as a multiple of its share by speed, from docs/design/hard-load.md.
const (
	_calmBound      = 1.15
	_disruptedBound = 1.5
)

// assertEven asserts that with even load the busiest server gets at most a multiple of its share by speed, without more
// arrivals at full servers than without.
func assertEven(c *qt.C, config Config, pattern Pattern, bound float64) {
	c.Helper()
	usual := Run(config, Steered, pattern)
	config.Placement = steer.Placement{EvenLoad: true}
	even := Run(config, Steered, pattern)
	c.Check(even.Evenness.Busiest <= bound, qt.IsTrue,
		qt.Commentf("busiest server at %.3f of its share, usually %.3f", even.Evenness.Busiest, usual.Evenness.Busiest))
	c.Check(even.InTimeShare() >= usual.InTimeShare()-0.001, qt.IsTrue,
		qt.Commentf("%.4f in time, usually %.4f", even.InTimeShare(), usual.InTimeShare()))
}

// TestEvenCalmLoad guards against servers that are overrun while others idle, on calm days with servers that are alike.
func TestEvenCalmLoad(t *testing.T) {
	c := qt.New(t)
	for _, instances := range []int{15, 137} {
		assertEven(c, EvenDispatch(instances), Wave(0.15, 11*time.Second), _calmBound)
	}
}

// shortened returns a configuration with half of the time, in which the race detector runs the tests in two minutes.
func shortened(config Config) Config {
	config.Warmup, config.Duration = config.Warmup/2, config.Duration/2
	return config
}

// TestEvenLoadWithDisruptions guards against the same on days with disruptions.
func TestEvenLoadWithDisruptions(t *testing.T) {
	c := qt.New(t)
	for _, pattern := range []Pattern{
		{Name: "ColdStart", Apply: coldStart}, {Name: "RestartedInstances", Apply: restartedInstances},
	} {
		c.Run(pattern.Name, func(c *qt.C) {
			assertEven(c, shortened(EvenDispatch(137)), pattern, _disruptedBound)
			assertEven(c, shortened(EvenRegistry(137)), pattern, _disruptedBound)
		})
	}
	c.Run("MovedClients", func(c *qt.C) {
		assertEven(c, shortened(EvenDispatch(137)), MovedClients(0.65), _disruptedBound)
	})
	c.Run("Wave", func(c *qt.C) {
		assertEven(c, shortened(EvenRegistry(137)), Wave(0.55, 13*time.Second), _disruptedBound)
	})
}
