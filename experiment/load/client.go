package load

import (
	"cmp"
	"time"

	"azureshift/core/packet"
)

const _requestBytes = 100

// scheduleArrival schedules the next request of a failure domain; arrivals are a Poisson process.
func (simulation *simulation) scheduleArrival(number int) {
	zone := simulation.zones[number]
	if zone.rate <= 0 {
		simulation.clock.After(100*time.Millisecond, func() {
			if simulation.clock.Now() < simulation.config.Warmup+simulation.config.Duration {
				simulation.scheduleArrival(number)
			}
		})
		return
	}
	delay := time.Duration(simulation.random.ExpFloat64() / zone.rate * float64(time.Second))
	simulation.clock.After(delay, func() {
		simulation.startRequest(number)
		simulation.scheduleArrival(number)
	})
}

// startRequest starts a request of a random kind.
func (simulation *simulation) startRequest(zone int) {
	draw := simulation.random.Float64()
	kind := &simulation.config.Kinds[0]
	for index := range simulation.config.Kinds {
		if draw -= simulation.config.Kinds[index].Share; draw < 0 {
			kind = &simulation.config.Kinds[index]
			break
		}
	}
	started := &request{kind: kind, zone: zone, user: simulation.drawUser(zone, kind), started: simulation.clock.Now()}
	simulation.result.recordStart(simulation, started)
	simulation.clock.After(kind.Timeout, func() { simulation.finish(started, false) })
	simulation.dispatch(started)
}

// drawUser returns the user of a request. Their number follows the rate of requests.
func (simulation *simulation) drawUser(zone int, kind *Kind) int {
	if kind.UserRate > 0 {
		return simulation.random.IntN(max(int(simulation.zones[zone].rate*kind.Share/kind.UserRate), 1))
	}
	if simulation.config.UserRate == 0 {
		return 0
	}
	return simulation.random.IntN(max(int(simulation.zones[zone].rate/simulation.config.UserRate), 1))
}

// dispatch sends a request on an idle flow, or on a new flow if there is none.
func (simulation *simulation) dispatch(request *request) {
	if request.done {
		return
	}
	if simulation.policyName == Ideal {
		simulation.dispatchIdeal(request)
		return
	}
	pool := flowPool{kind: request.kind, user: request.user}
	idle := simulation.zones[request.zone].idle[pool]
	for len(idle) > 0 && !request.kind.FlowPerRequest {
		flow := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		simulation.zones[request.zone].idle[pool] = idle
		if !flow.reset && simulation.clock.Now()-flow.lastUsed < _idleFlowTimeout {
			simulation.sendRequest(request, flow)
			return
		}
	}
	simulation.openFlow(request, 0)
}

// openFlow opens a flow for a request. The SYN is retransmitted up to twice if the chosen server has crashed and does
// not answer.
func (simulation *simulation) openFlow(request *request, retransmits uint32) {
	if request.done {
		return
	}
	if retransmits == 0 {
		simulation.lastPort++
		if simulation.config.DistinctClients {
			simulation.lastPort = simulation.nextPort(client{zone: request.zone, user: request.user})
		}
		request.flow = &flow{
			zone: request.zone, kind: request.kind, instance: simulation.instanceOf(request.zone, simulation.lastPort),
			header: packet.Header{
				Flow: packet.Flow{
					Client:  packet.Endpoint{Address: simulation.addressOf(request), Port: simulation.lastPort},
					Service: simulation.endpointOf(request.kind),
				},
				Flags: packet.SYN, Sequence: simulation.random.Uint32(),
			},
		}
	}
	opening := request.flow
	opening.header.Acknowledged = retransmits
	simulation.clock.After(_clientDelay, func() {
		server := opening.instance.policy.Place(simulation.clock.Now(), opening.header)
		if server == nil {
			simulation.result.values.recordRefusal(simulation)
			simulation.clock.After(_clientDelay, func() { simulation.retry(request) })
			return
		}
		if server.dead {
			if retransmits < 2 {
				simulation.clock.After(time.Duration(retransmits+1)*_synRetryDelay,
					func() { simulation.openFlow(request, retransmits+1) })
			}
			return
		}
		opening.server = server
		server.recordPlaced(simulation.clock.Now())
		simulation.clock.After(2*simulation.delay(request.zone, server)+_clientDelay, func() {
			opening.header = packet.Header{
				Flow: opening.header.Flow, Flags: packet.ACK, Sequence: opening.header.Sequence + 1, Acknowledged: 1,
			}
			opening.nextSequence, opening.acked = opening.header.Sequence, 1
			simulation.sendRequest(request, opening)
		})
	})
}

// nextPort returns the next port of a client. Clients begin with any port and take one after the other.
func (simulation *simulation) nextPort(client client) uint16 {
	last, ok := simulation.lastPorts[client]
	if !ok {
		last = uint16(simulation.random.Uint32())
	}
	simulation.lastPorts[client] = last + 1
	return last + 1
}

// addressOf returns the address of the client of a request.
func (simulation *simulation) addressOf(request *request) [4]byte {
	if !simulation.config.DistinctClients {
		return [4]byte{100, 64, byte(request.zone), 1}
	}
	return [4]byte{100, 64 + byte(request.zone), byte(request.user >> 8), byte(request.user)}
}

// instanceOf returns the instance to which the router sends a flow. It depends on the client's port alone.
func (simulation *simulation) instanceOf(zone int, port uint16) *instance {
	instances := simulation.zones[zone].instances
	return instances[int(port)%len(instances)]
}

func (simulation *simulation) endpointOf(kind *Kind) packet.Endpoint {
	for index := range simulation.config.Kinds {
		if &simulation.config.Kinds[index] == kind {
			return packet.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: uint16(index + 1)}
		}
	}
	return packet.Endpoint{}
}

// sendRequest sends a request on an open flow.
func (simulation *simulation) sendRequest(request *request, flow *flow) {
	if request.done {
		return
	}
	request.flow = flow
	flow.lastUsed = simulation.clock.Now()
	simulation.clock.After(_clientDelay, func() {
		simulation.observe(flow, _requestBytes)
		simulation.clock.After(simulation.delay(request.zone, flow.server), func() {
			request.reachedServer = true
			flow.server.arrive(request)
		})
	})
}

// observe passes a packet of the client to the flow's instance.
func (simulation *simulation) observe(flow *flow, bytes int) {
	header := packet.Header{
		Flow: flow.header.Flow, Flags: packet.ACK, Cookie: simulation.cookieOf(flow.server),
		Sequence: flow.nextSequence, Acknowledged: flow.acked, Length: bytes,
	}
	flow.nextSequence += uint32(bytes)
	flow.instance = simulation.instanceOf(flow.zone, flow.header.Flow.Client.Port)
	flow.instance.policy.Observe(simulation.clock.Now(), header)
}

// closeFlow ends a flow by the client: a packet with FIN, and one that acknowledges the server's.
func (simulation *simulation) closeFlow(flow *flow) {
	end := packet.Header{
		Flow: flow.header.Flow, Flags: packet.ACK | packet.FIN, Cookie: simulation.cookieOf(flow.server),
		Sequence: flow.nextSequence, Acknowledged: flow.acked,
	}
	simulation.clock.After(_clientDelay, func() { flow.instance.policy.Observe(simulation.clock.Now(), end) })
	last := end
	last.Flags = packet.ACK
	last.Sequence++
	last.Acknowledged++
	simulation.clock.After(3*_clientDelay, func() { flow.instance.policy.Observe(simulation.clock.Now(), last) })
}

func (simulation *simulation) cookieOf(server *server) packet.Cookie {
	return packet.Cookie(server.Number)
}

// reply delivers a server's answer to the client, or its rejection if the request did not run.
func (simulation *simulation) reply(request *request, server *server, ran bool) {
	if simulation.policyName == Ideal {
		simulation.replyIdeal(request)
		return
	}
	flow := request.flow
	simulation.clock.After(simulation.delay(request.zone, server)+_clientDelay, func() {
		if flow.reset {
			return
		}
		flow.acked += _requestBytes
		simulation.clock.After(_clientDelay, func() { simulation.observe(flow, 0) })
		if !ran {
			// A client closes a flow whose request was rejected and retries on a new one.
			simulation.retry(request)
			return
		}
		if request.kind.FlowPerRequest && simulation.config.ClosesFlows {
			simulation.closeFlow(flow)
		}
		if !request.kind.FlowPerRequest && !simulation.draining[simulation.cookieOf(server)] {
			flow.lastUsed = simulation.clock.Now()
			pool := flowPool{kind: request.kind, user: request.user}
			simulation.zones[request.zone].idle[pool] = append(simulation.zones[request.zone].idle[pool], flow)
		}
		simulation.finish(request, true)
	})
}

// retry repeats a request that did not run, up to MaxRetries times and each time on a new flow.
func (simulation *simulation) retry(request *request) {
	if request.done {
		return
	}
	if request.retries >= simulation.config.MaxRetries {
		simulation.finish(request, false)
		return
	}
	request.retries++
	simulation.result.Retries++
	simulation.openFlow(request, 0)
}

// finish records the end of a request once; later calls have no effect.
func (simulation *simulation) finish(request *request, answered bool) {
	if !request.done {
		request.done = true
		simulation.result.recordEnd(simulation, request, answered)
	}
}

// resetIdleFlows resets the idle flows of a server, as instances do when they know that it crashed or drains.
func (simulation *simulation) resetIdleFlows(server *server) {
	for _, zone := range simulation.zones {
		for pool, idle := range zone.idle {
			kept := idle[:0]
			for _, flow := range idle {
				if flow.server == server {
					flow.reset = true
				} else {
					kept = append(kept, flow)
				}
			}
			zone.idle[pool] = kept
		}
	}
}

func (simulation *simulation) delay(zone int, server *server) time.Duration {
	if server.zone == zone {
		return _sameDomainDelay
	}
	return cmp.Or(simulation.config.CrossDomainDelay, _crossDomainDelay)
}

// dispatchIdeal runs a request at any free server, or appends it to the single queue.
func (simulation *simulation) dispatchIdeal(request *request) {
	if free := simulation.freeServer(); free != nil {
		free.run(request)
		return
	}
	simulation.idealQueue = append(simulation.idealQueue, request)
}

func (simulation *simulation) freeServer() *server {
	for _, server := range simulation.servers {
		usable := !server.dead && !simulation.evacuated[server.zone] && !simulation.draining[simulation.cookieOf(server)] &&
			server.slowdown <= 1 && server.rejectShare == 0
		if usable && server.running < simulation.config.Slots {
			return server
		}
	}
	return nil
}

// replyIdeal answers a request and runs the next queued one that can still be answered in time. The queued ones
// before it are dropped, as running them would only take up capacity.
func (simulation *simulation) replyIdeal(answered *request) {
	simulation.clock.After(2*_clientDelay+2*_sameDomainDelay, func() { simulation.finish(answered, true) })
	for len(simulation.idealQueue) > 0 {
		next := simulation.idealQueue[0]
		simulation.idealQueue = simulation.idealQueue[1:]
		age := simulation.clock.Now() - next.started
		if !next.done && age+_idealWorkMargin*next.kind.MeanWork < next.kind.Objective {
			simulation.dispatchIdeal(next)
			return
		}
	}
}

// _idealWorkMargin is the multiple of a request's mean service time that must be left until its objective for the
// ideal policy to run it.
const _idealWorkMargin = 2
