// Package membership measures core/membership in virtual time: bytes, messages, time per event,
// memory and the time to detect the failure of an instance.
package membership

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"

	"azureshift/core/id"
	core "azureshift/core/membership"
)

// Config selects the fleets to measure.
type Config struct {
	Sizes   []int
	Domains int
	// Duration is the virtual time over which each fleet is measured.
	Duration time.Duration
	// LossRate is the share of datagrams that are lost.
	LossRate float64
	Seed     uint64
}

// DefaultConfig returns a configuration with the fleet sizes of the users' stated growth. A run takes minutes.
func DefaultConfig() Config {
	return Config{Sizes: []int{16, 125, 500, 2000}, Domains: 9, Duration: 30 * time.Second, LossRate: 0.05, Seed: 1}
}

// Measurement is the result for one number of instances.
type Measurement struct {
	Size int
	// BytesPerSecond and MessagesPerSecond are the traffic that one instance sends.
	BytesPerSecond    float64
	MessagesPerSecond float64
	LongestMessage    int
	TimePerEvent      time.Duration
	// MemoryPerMember is the memory in bytes that one instance uses for each member.
	MemoryPerMember float64
	FalsePositives  int
	// SlowestOwnDomain and SlowestOverall are the longest times from the failure of an instance until the last
	// member of its domain, and the last member overall, declared it down.
	SlowestOwnDomain time.Duration
	SlowestOverall   time.Duration
	// MissedDetections counts members that had not declared a failed instance down when the measurement ended.
	MissedDetections int
}

// Report is the result of Run.
type Report struct {
	Config       Config
	Measurements []Measurement
}

// Run measures the fleets one after the other.
func Run(config Config) Report {
	report := Report{Config: config}
	for _, size := range config.Sizes {
		report.Measurements = append(report.Measurements, measure(config, size))
	}
	return report
}

// Print writes the report as a table.
func (report Report) Print(writer io.Writer) {
	text := fmt.Appendf(nil, "seed %d, loss %.0f %%, %v of virtual time, up to %d domains\n",
		report.Config.Seed, 100*report.Config.LossRate, report.Config.Duration, report.Config.Domains)
	text = fmt.Appendln(text,
		"members  sent B/s  msg/s  longest B  per event  B/member  false deaths  own domain  all  missed")
	for _, measurement := range report.Measurements {
		text = fmt.Appendf(text, "%7d  %8.0f  %5.1f  %9d  %9v  %8.0f  %12d  %10v  %v  %d\n",
			measurement.Size, measurement.BytesPerSecond, measurement.MessagesPerSecond, measurement.LongestMessage,
			measurement.TimePerEvent,
			measurement.MemoryPerMember, measurement.FalsePositives, measurement.SlowestOwnDomain,
			measurement.SlowestOverall, measurement.MissedDetections)
	}
	_, _ = writer.Write(text)
}

// NewFleet returns a network of instances that know each other, distributed evenly over the domains.
func NewFleet(seed uint64, size, domains int, disabled core.Disabled) *Network {
	network := NewNetwork(seed)
	for number := range size {
		domain := id.Domain(fmt.Sprintf("domain-%d", number%domains))
		network.Add(number, 1, domain, disabled)
	}
	network.Introduce()
	return network
}

func measure(config Config, size int) Measurement {
	measurement := Measurement{Size: size}
	before := heapInUse()
	network := NewFleet(config.Seed, size, min(config.Domains, max(3, size/8)), core.Disabled{})
	measurement.MemoryPerMember = max(0, float64(heapInUse())-float64(before)) / float64(size) / float64(size)
	network.LossRate = config.LossRate
	network.OnEffect = func(_ *Node, effect core.Effect) {
		_, died := effect.(core.Down)
		if died {
			measurement.FalsePositives++
		}
	}
	const settleTime = 5 * time.Second
	network.Run(settleTime)
	events := network.Events
	started := time.Now()
	network.Run(config.Duration)
	measurement.TimePerEvent = time.Since(started) / time.Duration(network.Events-events)
	measurement.measureTraffic(network, config.Duration)
	measurement.measureDetection(network)
	return measurement
}

// measureTraffic measures the traffic sent. It runs separately from the time per event because it encodes each
// message.
func (measurement *Measurement) measureTraffic(network *Network, span time.Duration) {
	network.MeasureBytes = true
	sent := network.Messages
	network.Run(span)
	network.MeasureBytes = false
	perInstance := float64(measurement.Size) * span.Seconds()
	measurement.MessagesPerSecond = float64(network.Messages-sent) / perInstance
	measurement.BytesPerSecond = float64(network.BytesSent) / perInstance
}

// measureDetection kills a few instances one after the other and measures how long the others take to detect it.
func (measurement *Measurement) measureDetection(network *Network) {
	const kills = 3
	const detectionTimeout = 8 * time.Second
	network.MeasureBytes = true
	defer func() { measurement.LongestMessage = network.LongestMessage }()
	for victim := range kills {
		dead := network.Nodes[victim]
		dead.Killed = true
		killed := network.Now
		var own, all []time.Duration
		network.OnEffect = func(node *Node, effect core.Effect) {
			down, died := effect.(core.Down)
			if !died || down.Record.Member != dead.Record.Member {
				return
			}
			all = append(all, network.Now.Sub(killed))
			if node.Record.Domain == dead.Record.Domain {
				own = append(own, network.Now.Sub(killed))
			}
		}
		network.Run(detectionTimeout)
		measurement.MissedDetections += measurement.Size - victim - 1 - len(all)
		if len(own) == 0 || len(all) == 0 {
			continue
		}
		measurement.SlowestOwnDomain = max(measurement.SlowestOwnDomain, slices.Max(own))
		measurement.SlowestOverall = max(measurement.SlowestOverall, slices.Max(all))
	}
}

// heapInUse returns the bytes of heap in use after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}
