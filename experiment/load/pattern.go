package load

import (
	"math"
	"time"
)

// Pattern is a course of load or faults that begins after the warm-up.
type Pattern struct {
	Name string
	// Apply schedules the events of the pattern.
	Apply func(simulation *simulation)
}

// Patterns returns every pattern.
func Patterns() []Pattern {
	return []Pattern{
		{Name: "Calm", Apply: func(*simulation) {}},
		{Name: "Wave", Apply: wave},
		{Name: "Burst", Apply: burst},
		{Name: "Shift", Apply: shift},
		{Name: "Release", Apply: release},
		{Name: "LostThird", Apply: func(simulation *simulation) { simulation.crashServers(simulation.everyThird()) }},
		{Name: "LostZone", Apply: func(simulation *simulation) { simulation.crashServers(simulation.serversOfZone(0)) }},
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
	return Pattern{Name: "Overload", Apply: func(simulation *simulation) {
		scale := factor * simulation.config.capacity() / simulation.config.rate()
		simulation.afterWarmup(0, func() { simulation.scaleRates(scale) })
	}}
}

// afterWarmup schedules a function to run at a delay after the warm-up.
func (simulation *simulation) afterWarmup(after time.Duration, run func()) {
	simulation.clock.After(simulation.config.Warmup+after, run)
}

// scaleRates sets the rate of each failure domain to a multiple of its configured rate.
func (simulation *simulation) scaleRates(factor float64) {
	for number, zone := range simulation.zones {
		zone.rate = simulation.config.Zones[number].Rate * factor
	}
}

func wave(simulation *simulation) {
	const (
		amplitude = 0.6
		period    = 11 * time.Second
	)
	simulation.clock.Every(100*time.Millisecond, func() {
		for number, zone := range simulation.zones {
			phase := 2*math.Pi*(simulation.clock.Now().Seconds()/period.Seconds()) + float64(number)*math.Pi/2
			zone.rate = simulation.config.Zones[number].Rate * (1 + amplitude*math.Sin(phase))
		}
	})
}

func burst(simulation *simulation) {
	simulation.afterWarmup(2*time.Second, func() { simulation.scaleRates(1.9) })
	simulation.afterWarmup(6*time.Second, func() { simulation.scaleRates(1) })
}

// shift moves half of the clients of the first failure domain to the second.
func shift(simulation *simulation) {
	simulation.afterWarmup(2*time.Second, func() {
		movedRate := simulation.config.Zones[0].Rate / 2
		simulation.zones[0].rate -= movedRate
		simulation.zones[1].rate += movedRate
	})
}

// release replaces a third of the servers, one per second: the new server starts, then the old one drains.
func release(simulation *simulation) {
	for index := range len(simulation.servers) / 3 {
		old := simulation.servers[3*index]
		simulation.afterWarmup(time.Duration(index+1)*time.Second, func() {
			simulation.addServer(old.zone, simulation.clock.Now())
			simulation.drain(old)
		})
	}
}

// drain marks a server as draining once its changed registration has reached every instance. It gets no new flows
// then, and its idle flows are reset.
func (simulation *simulation) drain(server *server) {
	simulation.clock.After(_registrationDelay, func() {
		simulation.draining[simulation.cookieOf(server)] = true
		simulation.resetIdleFlows(server)
		simulation.publishTables()
	})
}

func (simulation *simulation) everyThird() []*server {
	var chosen []*server
	for index := 0; index < len(simulation.servers); index += 3 {
		chosen = append(chosen, simulation.servers[index])
	}
	return chosen
}

func (simulation *simulation) serversOfZone(zone int) []*server {
	var chosen []*server
	for _, server := range simulation.servers {
		if server.zone == zone {
			chosen = append(chosen, server)
		}
	}
	return chosen
}

// crashServers crashes servers for good. Their idle flows are reset when the instances have detected the crash.
func (simulation *simulation) crashServers(servers []*server) {
	simulation.afterWarmup(2*time.Second, func() {
		for _, server := range servers {
			server.crash()
		}
	})
	simulation.afterWarmup(2*time.Second+_crashDetectionDelay, func() {
		for _, server := range servers {
			simulation.knownCrashed[simulation.cookieOf(server)] = true
			simulation.resetIdleFlows(server)
		}
		simulation.publishTables()
	})
}

// coldStart crashes every third server and starts a cold replacement for each two seconds later.
func coldStart(simulation *simulation) {
	servers := simulation.everyThird()
	simulation.crashServers(servers)
	simulation.afterWarmup(4*time.Second, func() {
		for _, server := range servers {
			simulation.addServer(server.zone, simulation.clock.Now())
		}
		simulation.publishTables()
	})
}

func slowServers(simulation *simulation) {
	simulation.afterWarmup(2*time.Second, func() {
		for index := 0; index < len(simulation.servers); index += 6 {
			simulation.servers[index].slowdown = 5
		}
	})
}

// slowHalf makes every second server ten times slower; the others have just enough capacity for the load.
func slowHalf(simulation *simulation) {
	simulation.afterWarmup(2*time.Second, func() {
		for index := 0; index < len(simulation.servers); index += 2 {
			simulation.servers[index].slowdown = 10
		}
	})
}

func partialFailure(simulation *simulation) {
	simulation.afterWarmup(2*time.Second, func() {
		for index := 0; index < len(simulation.servers); index += 6 {
			simulation.servers[index].rejectShare = 0.5
		}
	})
}

func flapping(simulation *simulation) {
	for round := range 4 {
		server := simulation.servers[round]
		simulation.afterWarmup(time.Duration(2+2*round)*time.Second, server.crash)
		simulation.afterWarmup(time.Duration(2+2*round)*time.Second+_crashDetectionDelay, func() {
			simulation.knownCrashed[simulation.cookieOf(server)] = true
			simulation.resetIdleFlows(server)
			simulation.publishTables()
		})
		simulation.afterWarmup(time.Duration(3+2*round)*time.Second, func() {
			simulation.addServer(server.zone, simulation.clock.Now())
			simulation.publishTables()
		})
	}
}

// restartedInstances restarts half of the instances, which lose all that they observed.
func restartedInstances(simulation *simulation) {
	simulation.afterWarmup(2*time.Second, func() {
		for index, instance := range simulation.instances {
			if index%2 == 0 {
				instance.policy = newPolicy(simulation.policyName, simulation)
			}
		}
		simulation.publishTables()
	})
}

// storeAway crashes three servers and adds three replacements ten seconds later, as if instances could not learn of
// new servers in between because the store is unavailable.
func storeAway(simulation *simulation) {
	simulation.crashServers(simulation.everyThird()[:3])
	simulation.afterWarmup(12*time.Second, func() {
		for range 3 {
			simulation.addServer(0, simulation.clock.Now())
		}
		simulation.publishTables()
	})
}
