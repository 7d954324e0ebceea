package load

import (
	"time"

	"azureshift/core/packet"
)

const _requestBytes = 100

// scheduleArrival schedules the next request of a failure domain; arrivals are a Poisson process.
func (world *world) scheduleArrival(number int) {
	zone := world.zones[number]
	if zone.rate <= 0 {
		world.clock.After(100*time.Millisecond, func() {
			if world.clock.Now() < world.config.Warmup+world.config.Duration {
				world.scheduleArrival(number)
			}
		})
		return
	}
	delay := time.Duration(world.random.ExpFloat64() / zone.rate * float64(time.Second))
	world.clock.After(delay, func() {
		world.startRequest(number)
		world.scheduleArrival(number)
	})
}

// startRequest starts a request of a random kind.
func (world *world) startRequest(zone int) {
	draw := world.random.Float64()
	kind := &world.config.Kinds[0]
	for index := range world.config.Kinds {
		if draw -= world.config.Kinds[index].Share; draw < 0 {
			kind = &world.config.Kinds[index]
			break
		}
	}
	started := &request{kind: kind, zone: zone, started: world.clock.Now()}
	world.result.recordStart(world, started)
	world.clock.After(kind.Timeout, func() { world.finish(started, false) })
	world.dispatch(started)
}

// dispatch sends a request on an idle flow, or on a new flow if there is none.
func (world *world) dispatch(request *request) {
	if request.done {
		return
	}
	if world.policyName == Ideal {
		world.dispatchIdeal(request)
		return
	}
	idle := world.zones[request.zone].idle[request.kind]
	for len(idle) > 0 && !request.kind.FlowPerRequest {
		flow := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		world.zones[request.zone].idle[request.kind] = idle
		if !flow.reset && world.clock.Now()-flow.lastUsed < _idleFlowTimeout {
			world.sendRequest(request, flow)
			return
		}
	}
	world.openFlow(request, 0)
}

// openFlow opens a flow for a request. The SYN is retransmitted up to twice if the chosen server has crashed and does
// not answer.
func (world *world) openFlow(request *request, retransmits uint32) {
	if request.done {
		return
	}
	if retransmits == 0 {
		world.lastPort++
		request.flow = &flow{
			zone: request.zone, kind: request.kind, instance: world.instanceOf(request.zone, world.lastPort),
			header: packet.Header{
				Flow: packet.Flow{
					Client:  packet.Endpoint{Address: [4]byte{100, 64, byte(request.zone), 1}, Port: world.lastPort},
					Service: world.endpointOf(request.kind),
				},
				Flags: packet.SYN, Sequence: world.random.Uint32(),
			},
		}
	}
	opening := request.flow
	opening.header.Acknowledged = retransmits
	world.clock.After(_clientDelay, func() {
		server := opening.instance.policy.Place(world.clock.Now(), opening.header)
		if server == nil {
			world.clock.After(_clientDelay, func() { world.retry(request) })
			return
		}
		if server.dead {
			if retransmits < 2 {
				world.clock.After(time.Duration(retransmits+1)*_synRetryDelay, func() { world.openFlow(request, retransmits+1) })
			}
			return
		}
		opening.server = server
		server.placedFlows++
		world.clock.After(2*world.delay(request.zone, server)+_clientDelay, func() {
			opening.header = packet.Header{
				Flow: opening.header.Flow, Flags: packet.ACK, Sequence: opening.header.Sequence + 1, Acknowledged: 1,
			}
			opening.nextSequence, opening.acked = opening.header.Sequence, 1
			world.sendRequest(request, opening)
		})
	})
}

// instanceOf returns the instance to which the router sends a flow. It depends on the client's port alone.
func (world *world) instanceOf(zone int, port uint16) *instance {
	instances := world.zones[zone].instances
	return instances[int(port)%len(instances)]
}

func (world *world) endpointOf(kind *Kind) packet.Endpoint {
	for index := range world.config.Kinds {
		if &world.config.Kinds[index] == kind {
			return packet.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: uint16(index + 1)}
		}
	}
	return packet.Endpoint{}
}

// sendRequest sends a request on an open flow.
func (world *world) sendRequest(request *request, flow *flow) {
	if request.done {
		return
	}
	request.flow = flow
	flow.lastUsed = world.clock.Now()
	world.clock.After(_clientDelay, func() {
		world.observe(flow, _requestBytes)
		world.clock.After(world.delay(request.zone, flow.server), func() {
			request.reachedServer = true
			flow.server.arrive(request)
		})
	})
}

// observe passes a packet of the client to the flow's instance.
func (world *world) observe(flow *flow, bytes int) {
	header := packet.Header{
		Flow: flow.header.Flow, Flags: packet.ACK, Cookie: world.cookieOf(flow.server),
		Sequence: flow.nextSequence, Acknowledged: flow.acked, Length: bytes,
	}
	flow.nextSequence += uint32(bytes)
	flow.instance.policy.Observe(world.clock.Now(), header)
}

func (world *world) cookieOf(server *server) packet.Cookie {
	return packet.Cookie(server.Number)
}

// reply delivers a server's answer to the client, or its rejection if the request did not run.
func (world *world) reply(request *request, server *server, ran bool) {
	if world.policyName == Ideal {
		world.replyIdeal(request)
		return
	}
	flow := request.flow
	world.clock.After(world.delay(request.zone, server)+_clientDelay, func() {
		if flow.reset {
			return
		}
		flow.acked += _requestBytes
		world.clock.After(_clientDelay, func() { world.observe(flow, 0) })
		if !ran {
			// A client closes a flow whose request was rejected and retries on a new one.
			world.retry(request)
			return
		}
		if !request.kind.FlowPerRequest && !world.draining[world.cookieOf(server)] {
			flow.lastUsed = world.clock.Now()
			world.zones[request.zone].idle[request.kind] = append(world.zones[request.zone].idle[request.kind], flow)
		}
		world.finish(request, true)
	})
}

// retry repeats a request that did not run, up to MaxRetries times and each time on a new flow.
func (world *world) retry(request *request) {
	if request.done {
		return
	}
	if request.retries >= world.config.MaxRetries {
		world.finish(request, false)
		return
	}
	request.retries++
	world.result.Retries++
	world.openFlow(request, 0)
}

// finish records the end of a request once; later calls have no effect.
func (world *world) finish(request *request, answered bool) {
	if !request.done {
		request.done = true
		world.result.recordEnd(world, request, answered)
	}
}

// resetIdleFlows resets the idle flows of a server, as instances do when they know that it crashed or drains.
func (world *world) resetIdleFlows(server *server) {
	for _, zone := range world.zones {
		for kind, idle := range zone.idle {
			kept := idle[:0]
			for _, flow := range idle {
				if flow.server == server {
					flow.reset = true
				} else {
					kept = append(kept, flow)
				}
			}
			zone.idle[kind] = kept
		}
	}
}

func (world *world) delay(zone int, server *server) time.Duration {
	if server.zone == zone {
		return _sameDomainDelay
	}
	return _crossDomainDelay
}

// dispatchIdeal runs a request at any free server, or appends it to the single queue.
func (world *world) dispatchIdeal(request *request) {
	if free := world.freeServer(); free != nil {
		free.run(request)
		return
	}
	world.idealQueue = append(world.idealQueue, request)
}

func (world *world) freeServer() *server {
	for _, server := range world.servers {
		usable := !server.dead && !world.draining[world.cookieOf(server)] && server.slowdown <= 1 && server.rejectShare == 0
		if usable && server.running < world.config.Slots {
			return server
		}
	}
	return nil
}

// replyIdeal answers a request and runs the next queued one that can still be answered in time. The queued ones
// before it are dropped, as running them would only take up capacity.
func (world *world) replyIdeal(answered *request) {
	world.clock.After(2*_clientDelay+2*_sameDomainDelay, func() { world.finish(answered, true) })
	for len(world.idealQueue) > 0 {
		next := world.idealQueue[0]
		world.idealQueue = world.idealQueue[1:]
		age := world.clock.Now() - next.started
		if !next.done && age+_idealWorkMargin*next.kind.MeanWork < next.kind.Objective {
			world.dispatchIdeal(next)
			return
		}
	}
}

// _idealWorkMargin is the multiple of a request's mean service time that must be left until its objective for the
// ideal policy to run it.
const _idealWorkMargin = 2
