package load

import (
	"math"
	"time"
)

// highLoadPatterns returns the patterns of docs/design/hard-load.md in which the servers may not run all requests.
func highLoadPatterns() []Pattern {
	return []Pattern{
		{Name: "BurstOfOneKind", Apply: func(simulation *simulation) { simulation.burstOfKind(2.4, 5*time.Second) }},
		{Name: "BurstOfAll", Apply: func(simulation *simulation) { simulation.burstOfAll(1.7, 5*time.Second) }},
		{Name: "FourfoldBurst", Apply: func(simulation *simulation) { simulation.burstOfAll(4, 2*time.Second) }},
		{Name: "MovedClients", Apply: func(simulation *simulation) { simulation.moveClients(0.65, 4*time.Second) }},
		{Name: "EvacuationAtPeak", Apply: func(simulation *simulation) {
			simulation.peakWave()
			simulation.afterWarmup(2*time.Second, func() { simulation.evacuate(0) })
		}},
		{Name: "BurstAndLostInstances", Apply: func(simulation *simulation) {
			simulation.burstOfAll(4, 2*time.Second)
			simulation.afterWarmup(_burstStart, func() { simulation.loseInstances(0.25) })
		}},
	}
}

// atCapacity returns a pattern at a usual load that is a multiple of the capacity of the servers.
func atCapacity(factor float64, pattern Pattern) Pattern {
	return Pattern{Name: pattern.Name, Apply: func(simulation *simulation) {
		scale := factor * simulation.config.capacity() / simulation.config.rate()
		for index := range simulation.config.Zones {
			simulation.config.Zones[index].Rate *= scale
		}
		simulation.scaleRates(1)
		pattern.Apply(simulation)
	}}
}

// _burstStart is when bursts begin after the warm-up.
const _burstStart = 2 * time.Second

func (simulation *simulation) burstOfAll(factor float64, duration time.Duration) {
	simulation.afterWarmup(_burstStart, func() { simulation.scaleRates(factor) })
	simulation.afterWarmup(_burstStart+duration, func() { simulation.scaleRates(1) })
}

// burstOfKind multiplies the requests of the first kind.
func (simulation *simulation) burstOfKind(factor float64, duration time.Duration) {
	usual := make([]float64, len(simulation.config.Kinds))
	total := 0.0
	for index, kind := range simulation.config.Kinds {
		usual[index] = kind.Share
		if index == 0 {
			total += factor * kind.Share
		} else {
			total += kind.Share
		}
	}
	simulation.afterWarmup(_burstStart, func() {
		for index := range usual {
			simulation.config.Kinds[index].Share = usual[index] / total
		}
		simulation.config.Kinds[0].Share *= factor
		simulation.scaleRates(total)
	})
	simulation.afterWarmup(_burstStart+duration, func() {
		for index, share := range usual {
			simulation.config.Kinds[index].Share = share
		}
		simulation.scaleRates(1)
	})
}

// moveClients moves a share of the clients of the first failure domain to the second for some time.
func (simulation *simulation) moveClients(share float64, duration time.Duration) {
	simulation.afterWarmup(_burstStart, func() {
		moved := simulation.config.Zones[0].Rate * share
		simulation.zones[0].rate -= moved
		simulation.zones[1].rate += moved
	})
	simulation.afterWarmup(_burstStart+duration, func() { simulation.scaleRates(1) })
}

// peakWave varies the load by 15 % in 11 s, with different timing in each failure domain.
func (simulation *simulation) peakWave() {
	const (
		amplitude = 0.15
		period    = 11 * time.Second
	)
	simulation.clock.Every(100*time.Millisecond, func() {
		for number, zone := range simulation.zones {
			phase := 2*math.Pi*(simulation.clock.Now().Seconds()/period.Seconds()) + float64(number)*math.Pi/2
			zone.rate = simulation.config.Zones[number].Rate * (1 + amplitude*math.Sin(phase))
		}
	})
}

// evacuate ends new flows to the servers of a failure domain. Their open flows stay.
func (simulation *simulation) evacuate(zone int) {
	simulation.clock.After(_registrationDelay, func() {
		simulation.evacuated[zone] = true
		simulation.publishTables()
	})
}

// loseInstances ends a share of the instances of each failure domain. Routers send the flows to the others.
func (simulation *simulation) loseInstances(share float64) {
	kept := simulation.instances[:0:0]
	for _, zone := range simulation.zones {
		lost := int(math.Round(share * float64(len(zone.instances))))
		zone.instances = zone.instances[lost:]
		kept = append(kept, zone.instances...)
	}
	simulation.instances = kept
}
