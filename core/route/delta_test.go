package route

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"azureshift/core/id"
	"azureshift/core/packet"
)

func route(port uint16, service id.Service) Route {
	return Route{
		Endpoint: packet.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: port}, Kind: Idempotent,
		Shares: []Share{{Service: service, Weight: 1}},
	}
}

func TestDelta(t *testing.T) {
	c := qt.New(t)
	first := Config{Version: 1, Routes: []Route{route(1, "a"), route(2, "a"), route(3, "a")}, IdleTimeout: time.Second}
	second := Config{Version: 4, Routes: []Route{route(1, "a"), route(2, "b"), route(4, "a")}, IdleTimeout: time.Minute}
	c.Run("holds only the differences", func(c *qt.C) {
		delta := Diff(first, second)
		c.Assert(delta.Upserted, qt.DeepEquals, []Route{route(2, "b"), route(4, "a")})
		c.Assert(delta.Removed, qt.DeepEquals, []packet.Endpoint{route(3, "a").Endpoint})
		c.Assert(delta.Settings.IdleTimeout, qt.Equals, time.Minute)
	})
	c.Run("does not apply to another version", func(c *qt.C) {
		_, ok := Diff(first, second).Apply(second)
		c.Assert(ok, qt.IsFalse)
	})
	c.Run("is not composed with one that starts at another version", func(c *qt.C) {
		_, ok := Diff(first, second).Compose(Diff(first, second))
		c.Assert(ok, qt.IsFalse)
	})
}

// TestComposedDeltas checks that the deltas of a series of configurations lead to the last one, both applied one by one
// and composed.
func TestComposedDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configs := rapid.SliceOfN(rapid.Custom(generateConfig), 2, 5).Draw(t, "configs")
		for index := range configs {
			configs[index].Version = Version(index + 1)
		}
		current := configs[0]
		composed := Diff(configs[0], configs[1])
		for index := 1; index < len(configs); index++ {
			delta := Diff(configs[index-1], configs[index])
			var ok bool
			if current, ok = delta.Apply(current); !ok {
				t.Fatal("delta cannot be applied")
			}
			if index > 1 {
				if composed, ok = composed.Compose(delta); !ok {
					t.Fatal("deltas cannot be composed")
				}
			}
		}
		atOnce, ok := composed.Apply(configs[0])
		last := configs[len(configs)-1]
		if !ok || !equalConfigs(current, last) || !equalConfigs(atOnce, last) {
			t.Fatalf("applied one by one %v, composed %v, want %v", current, atOnce, last)
		}
	})
}

func generateConfig(t *rapid.T) Config {
	config := Config{IdleTimeout: time.Duration(rapid.IntRange(1, 2).Draw(t, "idle")) * time.Second}
	for port := range uint16(6) {
		if service := rapid.IntRange(0, 2).Draw(t, "service"); service > 0 {
			config.Routes = append(config.Routes, route(port, []id.Service{"a", "b"}[service-1]))
		}
	}
	return config
}

func equalConfigs(left, right Config) bool {
	byEndpoint := func(config Config) map[packet.Endpoint]Route {
		routes := make(map[packet.Endpoint]Route)
		for _, route := range config.Routes {
			routes[route.Endpoint] = route
		}
		return routes
	}
	return left.Version == right.Version && left.IdleTimeout == right.IdleTimeout &&
		reflect.DeepEqual(byEndpoint(left), byEndpoint(right))
}
