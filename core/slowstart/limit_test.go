package slowstart_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
	"azureshift/core/slowstart"
)

const (
	_instances = 24
	_servers   = 40
)

// restart ends a run of a random instance and starts the next one at once, at times while the earlier one still runs.
func (world *world) restart() {
	ended := world.randomAlive()
	if world.random.IntN(2) == 0 {
		ended.alive = false
	}
	world.start(ended.member.Name)
}

// lose ends a run of a random instance, and adds an instance of another name.
func (world *world) lose() {
	world.randomAlive().alive = false
	world.start(id.Instance(fmt.Sprintf("n-%d", world.now)))
}

// lapse deletes the registration of a random instance, which it writes again.
func (world *world) lapse() {
	delete(world.store, world.randomAlive().member.Name)
	world.revision++
}

// stop ends a run of a random instance that deletes its registration.
func (world *world) stop() {
	stopped := world.randomAlive()
	stopped.alive = false
	delete(world.store, stopped.member.Name)
	world.revision++
	world.start(id.Instance(fmt.Sprintf("s-%d", world.now)))
}

// cut separates a random instance from the store and all others for up to 25 s, which is longer than its lease.
func (world *world) cut() {
	world.randomAlive().cutUntil = world.now + time.Duration(world.random.Int64N(int64(25*time.Second)))
}

// stick stops the control thread of a random instance for up to 20 s, while its traffic thread runs on.
func (world *world) stick() {
	world.randomAlive().stuckUntil = world.now + time.Duration(world.random.Int64N(int64(20*time.Second)))
}

// cutHalf separates half of the instances from the store for up to 25 s.
func (world *world) cutHalf() {
	span := time.Duration(world.random.Int64N(int64(25 * time.Second)))
	for index, instance := range world.instances {
		if index%2 == 0 {
			instance.cutUntil = world.now + span
		}
	}
}

// assertKept asserts that no server got more flows than the limit in any second.
func assertKept(c *qt.C, world *world) {
	c.Helper()
	c.Assert(world.exceeded(), qt.Equals, 0, qt.Commentf("of %d flows", world.flows()))
}

// TestLimit replays instances whose knowledge of each other differs. It guards against two instances that use the same
// share of a server.
func TestLimit(t *testing.T) {
	c := qt.New(t)
	faults := map[string]func(world *world) []func(){
		"without faults":    func(*world) []func() { return nil },
		"restarts":          func(world *world) []func() { return []func(){world.restart} },
		"lost and added":    func(world *world) []func() { return []func(){world.lose} },
		"planned stops":     func(world *world) []func() { return []func(){world.stop} },
		"partitions":        func(world *world) []func() { return []func(){world.cut, world.cutHalf} },
		"stuck control":     func(world *world) []func() { return []func(){world.stick, world.restart} },
		"registration lost": func(world *world) []func() { return []func(){world.lapse} },
		"all": func(world *world) []func() {
			return []func(){world.restart, world.lose, world.stop, world.cut, world.cutHalf, world.stick, world.lapse}
		},
	}
	for name, eventsOf := range faults {
		c.Run(name, func(c *qt.C) {
			flows := 0
			for seed := range uint64(2) {
				for _, mean := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 8 * time.Second} {
					world := newWorld(c, seed, _instances, _servers, slowstart.Disabled{})
					world.run(60*time.Second, mean, eventsOf(world)...)
					assertKept(c, world)
					flows += world.flows()
				}
			}
			c.Assert(flows > 0, qt.IsTrue)
		})
	}
}

// TestOneOwnerTooMany lets an instance use a share of every server all the time, as one would that knows of no other.
// It guards against a split without a reserve.
func TestOneOwnerTooMany(t *testing.T) {
	c := qt.New(t)
	world := newWorld(c, 1, _instances, _servers, slowstart.Disabled{})
	world.run(20*time.Second, time.Hour)
	odd := world.randomAlive()
	odd.stuckUntil, odd.claimsUntil = time.Hour, time.Hour
	for index := range odd.claims {
		odd.claims[index] = true
	}
	world.run(60*time.Second, 2*time.Second, world.cut)
	assertKept(c, world)
}

// TestUse asserts that a fleet whose instances do not change uses four fifths of the limit, less what the margin of the
// window takes.
func TestUse(t *testing.T) {
	c := qt.New(t)
	world := newWorld(c, 1, _instances, _servers, slowstart.Disabled{})
	world.run(60*time.Second, time.Hour)
	assertKept(c, world)
	perSecond := float64(world.flows()) / (60 - (_freshness + slowstart.HandoverTime).Seconds()) / _servers
	c.Assert(perSecond > 3, qt.IsTrue, qt.Commentf("%.2f flows a second for each server", perSecond))
}

// TestEachProtectionIsNeeded asserts that the limit is exceeded without each of the protections.
func TestEachProtectionIsNeeded(t *testing.T) {
	c := qt.New(t)
	exceeded := func(disabled slowstart.Disabled, eventsOf func(world *world) []func()) int {
		total := 0
		for seed := range uint64(4) {
			world := newWorld(c, seed, _instances, _servers, disabled)
			world.run(120*time.Second, time.Second, eventsOf(world)...)
			total += world.exceeded()
		}
		return total
	}
	restarts := func(world *world) []func() { return []func(){world.restart, world.lose, world.stop} }
	partitions := func(world *world) []func() { return []func(){world.cutHalf, world.cut, world.lose} }
	overlaps := func(world *world) []func() { return []func(){world.restart} }
	c.Assert(exceeded(slowstart.Disabled{ClaimDelay: true}, restarts) > 0, qt.IsTrue)
	c.Assert(exceeded(slowstart.Disabled{Freshness: true}, partitions) > 0, qt.IsTrue)
	c.Assert(exceeded(slowstart.Disabled{Incarnation: true}, overlaps) > 0, qt.IsTrue)
	c.Assert(exceeded(slowstart.Disabled{}, restarts), qt.Equals, 0)
	c.Assert(exceeded(slowstart.Disabled{}, partitions), qt.Equals, 0)
	c.Assert(exceeded(slowstart.Disabled{}, overlaps), qt.Equals, 0)
}
