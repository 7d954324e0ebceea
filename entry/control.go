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
	// _tickPause is how often time passes for the control state; its shortest pauses are twice as long.
	_tickPause = 100 * time.Millisecond
	// _expirePause is how often idle flows are looked for.
	_expirePause = time.Second
	// _quietFor is how long no packet may have come for a planned stop to end. Routers send packets until they have
	// asked for readiness twice in vain, half a second apart.
	_quietFor = time.Second
	// _leastStop is how long a planned stop takes at least, until routers have noticed it.
	_leastStop = 1500 * time.Millisecond
	// _stopMargin is the part of the grace period that is left for the end of the process.
	_stopMargin = time.Second
)

// runControl is the thread of the control state.
func (daemon *Daemon) runControl(ctx context.Context) {
	daemon.carryOut(daemon.state.Start(daemon.clock.now()))
	ticker := time.NewTicker(_tickPause)
	defer ticker.Stop()
	var observed, expired, stopping time.Duration
	done := ctx.Done()
	for {
		select {
		case <-done:
			done = nil
			stopping = daemon.clock.now()
			daemon.log.Log(event.Stopping, nil)
			daemon.reduce(core.Stopping{At: stopping})
		case happened := <-daemon.events:
			daemon.reduce(happened)
		case asked := <-daemon.queries:
			asked.answer <- daemon.state.View(daemon.clock.now(), asked.known)
		case <-ticker.C:
			now := daemon.clock.now()
			daemon.noticeSuspension(now)
			if now-observed >= steer.ReportSpan {
				observed = now
				daemon.reduce(core.Observed{At: now, Observations: daemon.observe(now)})
			}
			if now-expired >= _expirePause {
				expired = now
				daemon.expire(now)
			}
			daemon.reduce(core.Ticked{At: now})
			if stopping > 0 && daemon.stopped(now, stopping) {
				return
			}
		}
	}
}

// stopped reports whether a planned stop may end: no packet comes any more, or time is up.
func (daemon *Daemon) stopped(now, began time.Duration) bool {
	spent := now - began
	if spent >= daemon.settings.Bounds.Grace.Std()-_stopMargin {
		return true
	}
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	return spent >= _leastStop && now-daemon.arrived >= _quietFor
}

func (daemon *Daemon) noticeSuspension(now time.Duration) {
	if span := daemon.clock.suspended(); span > 0 {
		daemon.reduce(core.Woken{At: now, Suspended: span})
	}
}

func (daemon *Daemon) reduce(happened core.Event) {
	daemon.carryOut(daemon.state.Reduce(happened))
}

// post hands an event to the control thread from a call that it asked for.
func (daemon *Daemon) post(ctx context.Context, happened core.Event) {
	select {
	case daemon.events <- happened:
	case <-ctx.Done():
	}
}

// offer hands an event to the control thread that will happen again if it is lost.
func (daemon *Daemon) offer(happened core.Event) {
	select {
	case daemon.events <- happened:
	default:
		daemon.metrics.eventsLost.Inc(1)
	}
}

func (daemon *Daemon) carryOut(effects []core.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case core.Publish:
			daemon.publish(effect)
		case core.Abandon:
			daemon.abandon(effect.Cookie)
		case core.Send:
			daemon.send(effect)
		case core.SetReady:
			daemon.ready.Store(effect.Ready)
			if effect.Ready {
				daemon.informOnce.Do(func() { close(daemon.informed) })
			}
			daemon.log.Log(event.ReadinessChanged, event.Fields{"Ready": effect.Ready})
		case core.Note:
			daemon.note(effect)
		default:
			daemon.call(effect)
		}
	}
}

func (daemon *Daemon) publish(effect core.Publish) {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	daemon.steering.Use(effect.Table)
}

// abandon resets the flows of a server that cannot answer, so that their clients can go on at once.
func (daemon *Daemon) abandon(cookie packet.Cookie) {
	now := daemon.clock.now()
	daemon.mu.Lock()
	server, ok := daemon.steering.Table().Servers[cookie]
	if !ok {
		daemon.mu.Unlock()
		return
	}
	ended := daemon.steering.Abandon(now, cookie, server.Condition)
	daemon.mu.Unlock()
	for _, header := range ended {
		daemon.sendReset(header)
		daemon.metrics.abandoned.Inc(1)
		daemon.log.Log(event.FlowReset, event.Fields{
			"Flow": header.Flow.String(), "Reason": "ServerJudged", "Server": server.ID,
			"Condition": server.Condition.String(),
		})
	}
}

func (daemon *Daemon) send(effect core.Send) {
	raw, err := relay.Encode(effect.Message)
	if err == nil {
		_, err = daemon.control.WriteToUDPAddrPort(raw, effect.To)
		daemon.metrics.peerBytes.Inc(int64(len(raw)))
	}
	if err != nil {
		daemon.log.LogError(event.InstanceFailed, err, event.Fields{"To": effect.To.String()})
	}
}

// readPeers hands messages of other instances to the control thread until the socket is closed.
func (daemon *Daemon) readPeers() {
	buffer := make([]byte, _maxDatagram)
	for {
		size, from, err := daemon.control.ReadFromUDPAddrPort(buffer)
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
		daemon.offer(core.Heard{At: daemon.clock.now(), Message: message})
	}
}

// _maxDatagram is the greatest datagram that another instance sends, in bytes.
const _maxDatagram = 16 << 10

func (daemon *Daemon) expire(now time.Duration) {
	daemon.mu.Lock()
	daemon.steering.Expire(now)
	flows := daemon.steering.Flows()
	daemon.mu.Unlock()
	daemon.metrics.flows.Update(float64(flows))
	daemon.log.Flush()
	if dropped := daemon.lines.Dropped(); dropped > 0 {
		daemon.metrics.linesDropped.Inc(int64(dropped))
		daemon.log.Log(event.LinesDropped, event.Fields{"Lines": dropped})
	}
}
