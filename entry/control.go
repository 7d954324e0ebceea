package entry

import (
	"context"
	"time"

	core "azureshift/core/entry"
	"azureshift/core/packet"
	"azureshift/core/steer"
	"azureshift/event"
	"azureshift/io/relay"
)

const (
	// _tickPeriod is the interval at which the control state checks its timers; the shortest of them are twice as long.
	_tickPeriod = 100 * time.Millisecond
	// _maintenancePeriod is the interval between sweeps for idle flows.
	_maintenancePeriod = time.Second
	// _serverCountPeriod is the interval between two counts of backend servers for the metrics.
	_serverCountPeriod = 5 * time.Second
	// _quietPeriod is the time without packets after which a planned stop may end. Routers send packets until two
	// readiness checks in a row, half a second apart, have failed.
	_quietPeriod = time.Second
	// _minStopDuration is the minimum duration of a planned stop, so that routers notice that the instance is
	// not ready.
	_minStopDuration = 1500 * time.Millisecond
	// _exitMargin is the part of the grace period that is reserved for the exit of the process.
	_exitMargin = time.Second
)

// runControl is the control loop: it feeds events and ticks to the control state until a planned stop is complete.
func (daemon *Daemon) runControl(ctx context.Context) {
	daemon.execute(daemon.state.Start(daemon.clock.now()))
	ticker := time.NewTicker(_tickPeriod)
	defer ticker.Stop()
	var lastReport, lastMaintenance, stopBegan time.Duration
	done := ctx.Done()
	for {
		select {
		case <-done:
			done = nil
			stopBegan = daemon.clock.now()
			daemon.log.Log(event.Stopping, nil)
			daemon.reduce(core.Stopping{At: stopBegan})
		case coreEvent := <-daemon.events:
			daemon.reduce(coreEvent)
		case query := <-daemon.viewQueries:
			query.answer <- daemon.state.View(daemon.clock.now(), query.known)
		case <-ticker.C:
			now := daemon.clock.now()
			daemon.detectSuspension(now)
			if now-lastReport >= steer.ReportInterval {
				lastReport = now
				daemon.reduce(daemon.observe(now))
			}
			if now-lastMaintenance >= _maintenancePeriod {
				lastMaintenance = now
				daemon.runMaintenance(now)
			}
			daemon.reduce(core.Tick{At: now})
			if stopBegan > 0 && daemon.stopComplete(now, stopBegan) {
				return
			}
		}
	}
}

// stopComplete reports whether a planned stop may end: packets no longer arrive, or the grace period is almost over.
func (daemon *Daemon) stopComplete(now, stopBegan time.Duration) bool {
	elapsed := now - stopBegan
	if elapsed >= daemon.settings.Bounds.Grace.Std()-_exitMargin {
		return true
	}
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	return elapsed >= _minStopDuration && now-daemon.lastPacket >= _quietPeriod
}

func (daemon *Daemon) detectSuspension(now time.Duration) {
	if suspended := daemon.clock.suspended(); suspended > 0 {
		daemon.reduce(core.Resumed{At: now, Suspended: suspended})
	}
}

func (daemon *Daemon) reduce(coreEvent core.Event) {
	daemon.execute(daemon.state.Reduce(coreEvent))
}

// post queues an event for the control loop. It waits while the queue is full, until ctx ends.
func (daemon *Daemon) post(ctx context.Context, coreEvent core.Event) {
	select {
	case daemon.events <- coreEvent:
	case <-ctx.Done():
	}
}

// offer queues an event for the control loop that will be repeated if it is lost. It drops the event if the queue is
// full.
func (daemon *Daemon) offer(coreEvent core.Event) {
	select {
	case daemon.events <- coreEvent:
	default:
		daemon.metrics.eventsLost.Inc(1)
	}
}

func (daemon *Daemon) execute(effects []core.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case core.Publish:
			daemon.publish(effect)
		case core.ResetFlows:
			daemon.resetFlows(effect.Cookies)
		case core.Send:
			daemon.sendMessage(effect)
		case core.SetReady:
			daemon.ready.Store(effect.Ready)
			if effect.Ready {
				daemon.firstReadyOnce.Do(func() { close(daemon.firstReady) })
			}
			daemon.log.Log(event.ReadinessChanged, event.Fields{"Ready": effect.Ready})
		case core.Note:
			daemon.logNote(effect)
		default:
			daemon.executeAsync(effect)
		}
	}
}

func (daemon *Daemon) publish(effect core.Publish) {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	daemon.steering.SetTable(effect.Table)
}

// resetFlows resets flows of servers that are dead or unreachable, so that their clients can retry at once.
func (daemon *Daemon) resetFlows(cookies []packet.Cookie) {
	now := daemon.clock.now()
	conditions := make(map[packet.Cookie]steer.Condition, len(cookies))
	daemon.mu.Lock()
	servers := daemon.steering.Table().Servers
	for _, cookie := range cookies {
		server, ok := servers[cookie]
		// A server may have been found alive since.
		if ok && (server.Condition == steer.Dead || server.Condition == steer.Unreachable) {
			conditions[cookie] = server.Condition
		}
	}
	headers := daemon.steering.ResetFlows(now, conditions)
	daemon.mu.Unlock()
	for _, header := range headers {
		daemon.sendReset(header)
		daemon.metrics.flowsAbandoned.Inc(1)
		server := servers[header.Cookie]
		daemon.log.Log(event.FlowReset, event.Fields{
			"Flow": header.Flow.String(), "Reason": "ServerJudged", "Server": server.ID,
			"Condition": server.Condition.String(),
		})
	}
}

func (daemon *Daemon) sendMessage(effect core.Send) {
	datagram, err := relay.Encode(effect.Message)
	if err == nil {
		_, err = daemon.peerConn.WriteToUDPAddrPort(datagram, effect.To)
		daemon.metrics.peerBytes.Inc(int64(len(datagram)))
	}
	if err != nil {
		daemon.log.LogError(event.InstanceFailed, err, event.Fields{"To": effect.To.String()})
	}
}

// readPeers receives messages of other instances for the control loop until the socket is closed.
func (daemon *Daemon) readPeers() {
	buffer := make([]byte, _maxDatagramSize)
	for {
		size, from, err := daemon.peerConn.ReadFromUDPAddrPort(buffer)
		if isClosed(err) {
			return
		}
		if err != nil {
			daemon.log.LogError(event.InstanceFailed, err, nil)
			continue
		}
		message, err := relay.Decode(buffer[:size])
		if err != nil {
			daemon.log.LogError(event.InstanceFailed, err, event.Fields{"From": from.String()})
			continue
		}
		daemon.offer(core.MessageReceived{At: daemon.clock.now(), Message: message})
	}
}

// _maxDatagramSize is the size in bytes of the largest datagram that another instance sends.
const _maxDatagramSize = 16 << 10

// runMaintenance removes idle flows, updates their gauge and logs how many log lines were suppressed or dropped.
func (daemon *Daemon) runMaintenance(now time.Duration) {
	daemon.mu.Lock()
	daemon.steering.Expire(now)
	flows, untracked := daemon.steering.FlowCount(), daemon.steering.TakeUntracked()
	admissions := daemon.steering.Admissions(now)
	daemon.mu.Unlock()
	daemon.metrics.admissions.update(admissions)
	if untracked > 0 {
		daemon.metrics.packetsUntracked.Inc(int64(untracked))
		daemon.log.Log(event.FlowsUntracked, event.Fields{"Packets": untracked, "Flows": flows})
	}
	daemon.metrics.flows.Update(float64(flows))
	if now-daemon.serversCounted >= _serverCountPeriod {
		daemon.serversCounted = now
		table := daemon.currentTable()
		daemon.metrics.servers.update(table)
		daemon.metrics.evacuatedDomains.Update(float64(table.Evacuated))
		daemon.metrics.serversCold.Update(float64(table.CountCold(now)))
		daemon.metrics.evenness.update(table)
	}
	daemon.log.Flush()
	if dropped := daemon.logQueue.Dropped(); dropped > 0 {
		daemon.metrics.linesDropped.Inc(int64(dropped))
		daemon.log.Log(event.LinesDropped, event.Fields{"Lines": dropped})
	}
}
