package entry

import (
	"errors"
	"net"
	"net/netip"
	"time"

	core "azureshift/core/entry"
	"azureshift/core/packet"
	"azureshift/core/steer"
	"azureshift/event"
	"azureshift/platform"
)

// _maxStartupHold is how long packets wait in the socket at most until a new instance knows where to forward them. A
// client that gets no answer retransmits after at least 200 ms each time, and gives up after 1.4 s.
const _maxStartupHold = time.Second

// readPackets is the packet loop: it receives and handles packets until the socket is closed.
func (daemon *Daemon) readPackets() {
	select {
	case <-daemon.firstReady:
	case <-time.After(_maxStartupHold):
	}
	buffer := make([]byte, platform.TagSize+platform.PacketSize+1)
	for {
		size, from, err := daemon.packetConn.ReadFromUDPAddrPort(buffer[platform.TagSize:])
		if isClosed(err) {
			return
		}
		if err != nil {
			daemon.log.LogError(event.PacketSendFailed, err, nil)
			continue
		}
		header, ok := platform.DecodePacket(buffer[platform.TagSize : platform.TagSize+size])
		if !ok {
			daemon.metrics.packetsMalformed.Inc(1)
			daemon.log.Log(event.PacketMalformed, event.Fields{"From": from.String(), "Bytes": size})
			continue
		}
		daemon.handlePacket(header, buffer[:platform.TagSize+size])
	}
}

// handlePacket decides whether to forward, reset or drop a packet, and does so. Raw holds platform.TagSize free bytes
// and then the packet.
func (daemon *Daemon) handlePacket(header packet.Header, raw []byte) {
	now := daemon.clock.now()
	decision, table := daemon.decide(now, header)
	daemon.metrics.count(decision)
	switch decision.Action {
	case steer.Forward:
		platform.SetDestination(raw, decision.Server.Number, decision.Server.Cookie)
		if _, err := daemon.packetConn.WriteToUDPAddrPort(raw, decision.Server.Address); err != nil {
			daemon.log.LogError(event.PacketSendFailed, err, event.Fields{
				"Flow": header.Flow.String(), "Server": decision.Server.ID,
			})
		}
	case steer.Reset:
		daemon.sendReset(header)
	case steer.Drop:
	}
	if decision.StallDetected {
		daemon.offer(core.ServerStalled{At: now, Cookie: decision.Server.Cookie})
	}
	if decision.Reason == steer.UnknownServer {
		daemon.offer(core.PacketForUnknownServer{At: now})
	}
	if decision.Reason != steer.Established {
		daemon.logDecision(now, header, decision, table)
	}
	daemon.metrics.handlingTime.RecordDuration(daemon.clock.now() - now)
}

// decide decides on a packet and returns the table that the decision rests on. After a suspension that the control loop
// has not noticed, it drops a packet in place of a reset, or an opening packet to a server in slow start: the table is
// older than it seems then. The client retransmits the packet.
func (daemon *Daemon) decide(now time.Duration, header packet.Header) (steer.Decision, *steer.Table) {
	daemon.mu.Lock()
	decision := daemon.steering.Decide(now, header)
	table := daemon.steering.Table()
	daemon.lastPacket = now
	daemon.mu.Unlock()
	cold := decision.Action == steer.Forward && header.Opens() && now < decision.Server.ColdUntil
	if (decision.Action == steer.Reset || cold) && daemon.clock.justSuspended() {
		decision.Action, decision.Reason = steer.Drop, steer.Stale
	}
	return decision, table
}

// sendReset sends the client of a packet a reset of its flow.
func (daemon *Daemon) sendReset(header packet.Header) {
	client := netip.AddrPortFrom(netip.AddrFrom4(header.Flow.Client.Address), daemon.settings.Packets.Listen.Port())
	raw := platform.AppendReset(make([]byte, 0, platform.PacketSize), header)
	if _, err := daemon.packetConn.WriteToUDPAddrPort(raw, client); err != nil {
		daemon.log.LogError(event.PacketSendFailed, err, event.Fields{"Flow": header.Flow.String()})
	}
}

// logDecision logs a decision on a packet with the inputs of the decision and the age of the table.
func (daemon *Daemon) logDecision(
	now time.Duration, header packet.Header, decision steer.Decision, table *steer.Table,
) {
	daemon.log.LogLazy(eventOf(header, decision), func() event.Fields {
		return decisionFields(now, header, decision, table)
	})
}

func decisionFields(
	now time.Duration, header packet.Header, decision steer.Decision, table *steer.Table,
) event.Fields {
	fields := event.Fields{
		"Flow":    header.Flow.String(),
		"Reason":  decision.Reason.String(),
		"Version": table.Version,
		"AgeMs":   (now - table.ConfirmedAt).Milliseconds(),
	}
	if decision.Server != nil {
		fields["Server"] = decision.Server.ID
		fields["Condition"] = decision.Server.Condition.String()
		fields["Load"] = table.Measure(decision.Server).SmoothedInProgress
	}
	if decision.LatencyLimit > 0 {
		fields["ExpectedMs"] = decision.ExpectedLatency.Milliseconds()
		fields["AdmittedMs"] = decision.LatencyLimit.Milliseconds()
		fields["RefusedShare"] = decision.RefusedShare
		fields["ExpectedUtilisation"] = decision.ExpectedUtilisation
		fields["SingleShare"] = decision.SingleRequestShare
	}
	if decision.FleetDemand {
		fields["DemandAgeMs"] = decision.DemandAge.Milliseconds()
	}
	if header.Opens() {
		fields["Copy"] = header.Acknowledged
	} else {
		fields["Cookie"] = uint32(header.Cookie)
	}
	return fields
}

func eventOf(header packet.Header, decision steer.Decision) event.Event {
	switch {
	case decision.Action == steer.Drop:
		return event.PacketDropped
	case decision.Action == steer.Reset && header.Opens():
		return event.FlowRefused
	case decision.Action == steer.Reset:
		return event.FlowReset
	case decision.Reason == steer.NextServer:
		return event.FlowMoved
	default:
		return event.FlowOpened
	}
}

// observe returns what packets showed of each backend server and of the demand since the last call.
func (daemon *Daemon) observe(now time.Duration) core.Observed {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	return core.Observed{At: now, Observations: daemon.steering.Report(now), Demands: daemon.steering.ReportDemand(now)}
}

func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed)
}
