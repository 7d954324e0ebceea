package load

import (
	"slices"
	"time"
)

const (
	// _evennessWindow is the span over which the load of the busiest server is compared with its share.
	_evennessWindow = 2 * time.Second
	// _tailQuantile is the quantile of the latencies that Evenness reports.
	_tailQuantile = 0.99
)

// Evenness says how evenly the servers of one run were used.
type Evenness struct {
	// Busiest is the greatest ratio of the requests that reached a server to its share by speed, over the whole
	// measurement, and BusiestWindow the mean over windows of two seconds of that ratio in the window.
	Busiest       float64
	BusiestWindow float64
	// Latency is the 99th percentile of the latency of answered requests.
	Latency time.Duration
	// ArrivalsAtFull is the number of requests that reached a server without a free place in its queue.
	ArrivalsAtFull int
	// CrossDomain is the share of requests that ran in another failure domain than their client's.
	CrossDomain float64
}

// arrivals counts the requests that reached a server.
type arrivals struct {
	inWindow float64
	total    float64
	share    float64
	full     int
	foreign  int
}

// evenness sums up what Evenness is computed from.
type evenness struct {
	latencies  []time.Duration
	windows    int
	windowSums float64
}

// measuring reports whether the measurement runs.
func (simulation *simulation) measuring() bool {
	after := simulation.clock.Now() - simulation.config.Warmup
	return after >= 0 && after < simulation.config.Duration
}

// countArrival counts a request that reached a server.
func (server *server) countArrival(request *request) {
	if !server.simulation.measuring() {
		return
	}
	server.inWindow++
	if request.zone != server.zone {
		server.foreign++
	}
	if server.running >= server.simulation.config.Slots && len(server.queue) >= server.simulation.config.Queue {
		server.full++
	}
}

// closeWindow compares the requests of the last window with the shares of the servers by speed.
func (simulation *simulation) closeWindow() {
	after := simulation.clock.Now() - simulation.config.Warmup
	if after <= 0 || after > simulation.config.Duration {
		return
	}
	speeds, total := 0.0, 0.0
	for _, server := range simulation.servers {
		total += server.inWindow
		if !server.dead {
			speeds += 1 / server.slowdown
		}
	}
	busiest := 0.0
	for _, server := range simulation.servers {
		if !server.dead && total > 0 {
			share := total / server.slowdown / speeds
			server.share += share
			server.total += server.inWindow
			busiest = max(busiest, server.inWindow/share)
		}
		server.inWindow = 0
	}
	simulation.evenness.windows++
	simulation.evenness.windowSums += busiest
}

// recordLatency records the latency of an answered request.
func (evenness *evenness) recordLatency(latency time.Duration) {
	evenness.latencies = append(evenness.latencies, latency)
}

func (evenness *evenness) summarize(servers []*server) Evenness {
	var summary Evenness
	arrived := 0.0
	for _, server := range servers {
		arrived += server.total
		summary.CrossDomain += float64(server.foreign)
		summary.ArrivalsAtFull += server.full
		if server.share > 0 {
			summary.Busiest = max(summary.Busiest, server.total/server.share)
		}
	}
	summary.CrossDomain /= max(arrived, 1)
	summary.BusiestWindow = evenness.windowSums / float64(max(evenness.windows, 1))
	if len(evenness.latencies) > 0 {
		slices.Sort(evenness.latencies)
		summary.Latency = evenness.latencies[int(_tailQuantile*float64(len(evenness.latencies)))]
	}
	return summary
}
