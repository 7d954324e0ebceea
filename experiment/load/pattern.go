package load

import (
	"math"
	"time"
)

// Pattern is a course of load or faults that begins after the warm-up.
type Pattern struct {
	Name string
	// Apply schedules the events of the pattern.
	Apply func(world *world)
}

// Patterns returns every pattern.
func Patterns() []Pattern {
	return []Pattern{
		{Name: "Calm", Apply: func(*world) {}},
		{Name: "Wave", Apply: wave},
		{Name: "Burst", Apply: burst},
		{Name: "Shift", Apply: shift},
		{Name: "Release", Apply: release},
		{Name: "LostThird", Apply: func(world *world) { world.crashServers(world.everyThird()) }},
		{Name: "LostZone", Apply: func(world *world) { world.crashServers(world.serversOfZone(0)) }},
		{Name: "ColdStart", Apply: coldStart},
		{Name: "SlowServers", Apply: slowServers},
		{Name: "SlowHalf", Apply: slowHalf},
		{Name: "PartialFailure", Apply: partialFailure},
		{Name: "Flapping", Apply: flapping},
		{Name: "RestartedInstances", Apply: restartedInstances},
		{Name: "StoreAway", Apply: storeAway},
	}
}

// Overload returns the pattern of a constant load that is a multiple of the capacity of all servers.
func Overload(factor float64) Pattern {
	return Pattern{Name: "Overload", Apply: func(world *world) {
		scale := factor * world.config.capacity() / world.config.rate()
		world.afterWarmup(0, func() { world.scaleRates(scale) })
	}}
}

// afterWarmup schedules a function to run at a delay after the warm-up.
func (world *world) afterWarmup(after time.Duration, run func()) {
	world.clock.After(world.config.Warmup+after, run)
}

// scaleRates sets the rate of each failure domain to a multiple of its configured rate.
func (world *world) scaleRates(factor float64) {
	for number, zone := range world.zones {
		zone.rate = world.config.Zones[number].Rate * factor
	}
}

func wave(world *world) {
	const (
		amplitude = 0.6
		period    = 11 * time.Second
	)
	world.clock.Every(100*time.Millisecond, func() {
		for number, zone := range world.zones {
			phase := 2*math.Pi*(world.clock.Now().Seconds()/period.Seconds()) + float64(number)*math.Pi/2
			zone.rate = world.config.Zones[number].Rate * (1 + amplitude*math.Sin(phase))
		}
	})
}

func burst(world *world) {
	world.afterWarmup(2*time.Second, func() { world.scaleRates(1.9) })
	world.afterWarmup(6*time.Second, func() { world.scaleRates(1) })
}

// shift moves half of the clients of the first failure domain to the second.
func shift(world *world) {
	world.afterWarmup(2*time.Second, func() {
		movedRate := world.config.Zones[0].Rate / 2
		world.zones[0].rate -= movedRate
		world.zones[1].rate += movedRate
	})
}

// release replaces a third of the servers, one per second: the new server starts, then the old one drains.
func release(world *world) {
	for index := range len(world.servers) / 3 {
		old := world.servers[3*index]
		world.afterWarmup(time.Duration(index+1)*time.Second, func() {
			world.addServer(old.zone, world.clock.Now())
			world.drain(old)
		})
	}
}

// drain marks a server as draining once its changed registration has reached every instance. It gets no new flows
// then, and its idle flows are reset.
func (world *world) drain(server *server) {
	world.clock.After(_registrationDelay, func() {
		world.draining[world.cookieOf(server)] = true
		world.resetIdleFlows(server)
		world.publishTables()
	})
}

func (world *world) everyThird() []*server {
	var chosen []*server
	for index := 0; index < len(world.servers); index += 3 {
		chosen = append(chosen, world.servers[index])
	}
	return chosen
}

func (world *world) serversOfZone(zone int) []*server {
	var chosen []*server
	for _, server := range world.servers {
		if server.zone == zone {
			chosen = append(chosen, server)
		}
	}
	return chosen
}

// crashServers crashes servers for good. Their idle flows are reset when the instances have detected the crash.
func (world *world) crashServers(servers []*server) {
	world.afterWarmup(2*time.Second, func() {
		for _, server := range servers {
			server.crash()
		}
	})
	world.afterWarmup(2*time.Second+_crashDetectionDelay, func() {
		for _, server := range servers {
			world.knownCrashed[world.cookieOf(server)] = true
			world.resetIdleFlows(server)
		}
		world.publishTables()
	})
}

// coldStart crashes every third server and starts a cold replacement for each two seconds later.
func coldStart(world *world) {
	servers := world.everyThird()
	world.crashServers(servers)
	world.afterWarmup(4*time.Second, func() {
		for _, server := range servers {
			world.addServer(server.zone, world.clock.Now())
		}
		world.publishTables()
	})
}

func slowServers(world *world) {
	world.afterWarmup(2*time.Second, func() {
		for index := 0; index < len(world.servers); index += 6 {
			world.servers[index].slowdown = 5
		}
	})
}

// slowHalf makes every second server ten times slower; the others have just enough capacity for the load.
func slowHalf(world *world) {
	world.afterWarmup(2*time.Second, func() {
		for index := 0; index < len(world.servers); index += 2 {
			world.servers[index].slowdown = 10
		}
	})
}

func partialFailure(world *world) {
	world.afterWarmup(2*time.Second, func() {
		for index := 0; index < len(world.servers); index += 6 {
			world.servers[index].rejectShare = 0.5
		}
	})
}

func flapping(world *world) {
	for round := range 4 {
		server := world.servers[round]
		world.afterWarmup(time.Duration(2+2*round)*time.Second, server.crash)
		world.afterWarmup(time.Duration(2+2*round)*time.Second+_crashDetectionDelay, func() {
			world.knownCrashed[world.cookieOf(server)] = true
			world.resetIdleFlows(server)
			world.publishTables()
		})
		world.afterWarmup(time.Duration(3+2*round)*time.Second, func() {
			world.addServer(server.zone, world.clock.Now())
			world.publishTables()
		})
	}
}

// restartedInstances restarts half of the instances, which lose all that they observed.
func restartedInstances(world *world) {
	world.afterWarmup(2*time.Second, func() {
		for index, instance := range world.instances {
			if index%2 == 0 {
				instance.policy = newPolicy(world.policyName, world)
			}
		}
		world.publishTables()
	})
}

// storeAway crashes three servers and adds three replacements ten seconds later, as if instances could not learn of
// new servers in between because the store is unavailable.
func storeAway(world *world) {
	world.crashServers(world.everyThird()[:3])
	world.afterWarmup(12*time.Second, func() {
		for range 3 {
			world.addServer(0, world.clock.Now())
		}
		world.publishTables()
	})
}
