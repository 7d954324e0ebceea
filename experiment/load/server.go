package load

import (
	"math"
	"time"

	"azureshift/core/target"
)

// server is a backend server with slots, a queue and injected faults.
type server struct {
	target.Target
	arrivals
	simulation *simulation
	zone       int
	// queue holds the requests that wait for a slot, the oldest first.
	queue       []*request
	running     int
	busyTime    time.Duration
	accountedAt time.Duration
	started     time.Duration
	// slowdown multiplies the service time, rejectShare is the share of requests that the server rejects, and dead says
	// that it has crashed.
	slowdown    float64
	rejectShare float64
	dead        bool
	// placedFlows counts the flows that were placed on the server.
	placedFlows int
	// placedCold holds the times at which flows were placed on the server after the warm-up while it was cold.
	placedCold []time.Duration
}

// arrive runs, queues or rejects a request. A crashed server does not answer.
func (server *server) arrive(request *request) {
	server.countArrival(request)
	switch {
	case server.dead:
		return
	case server.simulation.random.Float64() < server.rejectShare:
		server.simulation.reply(request, server, false)
	case server.running < server.simulation.config.Slots:
		server.run(request)
	case len(server.queue) < server.simulation.config.Queue:
		server.queue = append(server.queue, request)
	default:
		server.simulation.reply(request, server, false)
	}
}

func (server *server) run(request *request) {
	now := server.simulation.clock.Now()
	server.accountBusyTime(now)
	server.running++
	server.simulation.clock.After(server.drawWorkTime(request.kind, now), func() {
		if server.dead {
			return
		}
		server.accountBusyTime(server.simulation.clock.Now())
		server.running--
		server.simulation.reply(request, server, true)
		if len(server.queue) > 0 {
			next := server.queue[0]
			server.queue = server.queue[1:]
			server.run(next)
		}
	})
}

// drawWorkTime draws the service time of a request from a log-normal distribution.
func (server *server) drawWorkTime(kind *Kind, now time.Duration) time.Duration {
	mean := float64(kind.MeanWork) * server.slowdown
	if now-server.started < server.simulation.config.ColdPeriod {
		mean *= server.simulation.config.ColdFactor
	}
	if kind.Tail.Share > 0 && server.simulation.random.Float64() < kind.Tail.Share {
		mean *= kind.Tail.Factor
	}
	mu := math.Log(mean) - kind.Spread*kind.Spread/2
	return time.Duration(math.Exp(mu + kind.Spread*server.simulation.random.NormFloat64()))
}

func (server *server) accountBusyTime(now time.Duration) {
	server.busyTime += time.Duration(server.running) * (now - server.accountedAt)
	server.accountedAt = now
}

// crash stops the server and drops all requests that run or wait there.
func (server *server) crash() {
	server.accountBusyTime(server.simulation.clock.Now())
	server.dead, server.running, server.queue = true, 0, nil
}
