// Package detector is the failure detector for backend servers. It combines passive observation of traffic with active
// probes; neither suffices alone, as a health page may be wrong and a missing answer may be the network's fault.
package detector

import (
	"slices"
	"time"

	"azureshift/core/id"
	"azureshift/core/steer"
)

// ProbeResult is the result of probing a backend server.
type ProbeResult uint8

const (
	// ProbeAnswered says that the server itself answered, whatever health it reports.
	ProbeAnswered ProbeResult = iota + 1
	// ProbeConnected says that something listens at the server's address but did not answer in time.
	ProbeConnected
	// ProbeRefused says that nothing listens at the server's address.
	ProbeRefused
	// ProbeOtherServer says that another server answers at the address.
	ProbeOtherServer
	// ProbeTimedOut says that the connection was not established in time.
	ProbeTimedOut
	// ProbeInconclusive says that the probe could not be judged, as this instance was itself held up.
	ProbeInconclusive
)

// String returns the result as it is written in logs.
func (probeResult ProbeResult) String() string {
	switch probeResult {
	case ProbeAnswered:
		return "Answered"
	case ProbeConnected:
		return "Connected"
	case ProbeRefused:
		return "Refused"
	case ProbeOtherServer:
		return "Replaced"
	case ProbeTimedOut:
		return "Silent"
	case ProbeInconclusive:
		return "Unclear"
	}
	return "Unknown"
}

// Config holds the intervals and limits of the failure detector.
type Config struct {
	// ProbeInterval is the least time between two probes of a server that was found alive.
	ProbeInterval time.Duration
	// RetryInterval is the time between two probes of a server that was not found alive.
	RetryInterval time.Duration
	// UnansweredProbes is the number of consecutive unanswered probes after which a server counts as unreachable, provided
	// that another instance reported the same within CorroborationWindow.
	UnansweredProbes    int
	CorroborationWindow time.Duration
	// StallLimit is how long a server that answers probes may leave all traffic unanswered before it gets no new flows.
	StallLimit time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		// Clients retransmit after 200 ms; a probe for each retransmission would yield nothing new.
		ProbeInterval: 300 * time.Millisecond,
		// A recovered server is used again within a second.
		RetryInterval: time.Second,
		// A single probe may fail because of one lost packet.
		UnansweredProbes: 2,
		// Another instance needs the time of two probes after it receives the first one's report.
		CorroborationWindow: 2 * time.Second,
		// This exceeds the objective of any route; a client has retransmitted three times by then.
		StallLimit: 1500 * time.Millisecond,
	}
}

// Change is a change of a server's condition.
type Change struct {
	Server      id.Target
	Condition   steer.Condition
	ProbeResult ProbeResult
}

// State holds the condition of each server. It is not safe for concurrent use.
type State struct {
	config  Config
	servers map[id.Target]*record
}

// record holds the evidence on one server.
type record struct {
	// condition is Usable unless there is evidence against the server.
	condition    steer.Condition
	probing      bool
	probedAt     time.Duration
	silentProbes int
	// corroboratedAt is when another instance of the failure domain last reported the server unreachable.
	corroboratedAt time.Duration
	// stalling says that the server has left all traffic unanswered, since stalledSince.
	stalling     bool
	stalledSince time.Duration
}

// New returns a state in which every server is usable.
func New(config Config) *State {
	return &State{config: config, servers: make(map[id.Target]*record)}
}

// Condition returns the condition of a server; an unknown one is usable.
func (state *State) Condition(server id.Target) steer.Condition {
	if record, ok := state.servers[server]; ok {
		return record.condition
	}
	return steer.Usable
}

// RequestProbe notes a reason to probe a server: it left a packet unanswered, its registration was removed, or another
// instance found it dead. It reports whether to probe it now.
func (state *State) RequestProbe(now time.Duration, server id.Target) bool {
	record := state.record(server)
	if record.probing || record.condition == steer.Dead {
		return false
	}
	if record.probedAt > 0 && now-record.probedAt < state.config.ProbeInterval {
		return false
	}
	return record.startProbe(now)
}

// Corroborate notes that another instance of the failure domain found the server unreachable. A server counts as
// unreachable only if two instances agree, as one instance may have a local problem such as a saturated link.
func (state *State) Corroborate(now time.Duration, server id.Target) []Change {
	record := state.record(server)
	record.corroboratedAt = now
	return state.confirmUnreachable(now, server, record)
}

// UnreachableLocally reports whether enough consecutive probes by this instance went unanswered to report the server to
// other instances.
func (state *State) UnreachableLocally(server id.Target) bool {
	record, ok := state.servers[server]
	return ok && record.silentProbes >= state.config.UnansweredProbes
}

// confirmUnreachable marks a server unreachable if this instance and another one agree.
func (state *State) confirmUnreachable(now time.Duration, server id.Target, record *record) []Change {
	corroborated := record.corroboratedAt > 0 && now-record.corroboratedAt <= state.config.CorroborationWindow
	if record.silentProbes < state.config.UnansweredProbes || !corroborated {
		return nil
	}
	return record.setCondition(server, steer.Unreachable, ProbeTimedOut)
}

// ObserveTraffic updates the evidence with the time since the server's last answer and the number of retransmissions
// since then.
func (state *State) ObserveTraffic(now time.Duration, server id.Target, quiet time.Duration, stalls int) []Change {
	if stalls == 0 {
		record, ok := state.servers[server]
		if !ok || !record.stalling {
			return nil
		}
		record.stalling = false
		if record.condition == steer.Suspect && record.silentProbes == 0 {
			return record.setCondition(server, steer.Usable, ProbeAnswered)
		}
		return nil
	}
	record := state.record(server)
	if !record.stalling {
		record.stalling, record.stalledSince = true, now
	}
	if record.condition == steer.Usable && quiet > state.config.StallLimit &&
		now-record.stalledSince >= state.config.StallLimit {
		return record.setCondition(server, steer.Suspect, ProbeConnected)
	}
	return nil
}

// HandleProbeResult updates the evidence with the result of a probe. It reports whether to probe again immediately.
func (state *State) HandleProbeResult(now time.Duration, server id.Target, probeResult ProbeResult) ([]Change, bool) {
	record := state.record(server)
	record.probing = false
	record.probedAt = now
	switch probeResult {
	case ProbeAnswered, ProbeConnected:
		record.silentProbes = 0
		if record.condition == steer.Suspect && record.stalling {
			return nil, false
		}
		return record.setCondition(server, steer.Usable, probeResult), false
	case ProbeRefused, ProbeOtherServer:
		record.silentProbes = 0
		return record.setCondition(server, steer.Dead, probeResult), false
	case ProbeTimedOut:
		record.silentProbes++
		if record.condition == steer.Usable {
			return record.setCondition(server, steer.Suspect, probeResult), record.startProbe(now)
		}
		return state.confirmUnreachable(now, server, record), false
	case ProbeInconclusive:
	}
	return nil, false
}

// HandleRegistration notes that a server registered again. A dead one becomes usable, as only a live server registers.
func (state *State) HandleRegistration(server id.Target) []Change {
	record, ok := state.servers[server]
	if !ok || record.condition != steer.Dead {
		return nil
	}
	return record.setCondition(server, steer.Usable, ProbeAnswered)
}

// StartDueProbes starts a probe of each needed server that was not found alive and was not probed within RetryInterval,
// and returns these servers.
func (state *State) StartDueProbes(now time.Duration, needed func(server id.Target) bool) []id.Target {
	var due []id.Target
	for server, record := range state.servers {
		if record.probing || record.condition == steer.Usable || now-record.probedAt < state.config.RetryInterval {
			continue
		}
		if needed(server) {
			record.startProbe(now)
			due = append(due, server)
		}
	}
	slices.Sort(due)
	return due
}

// Remove removes a server that is no longer known.
func (state *State) Remove(server id.Target) {
	delete(state.servers, server)
}

func (state *State) record(server id.Target) *record {
	found, ok := state.servers[server]
	if !ok {
		found = &record{condition: steer.Usable}
		state.servers[server] = found
	}
	return found
}

// startProbe notes that a probe begins, and returns true.
func (record *record) startProbe(now time.Duration) bool {
	record.probing = true
	record.probedAt = now
	return true
}

// setCondition changes the condition and returns the verdict, or nil if the condition is unchanged.
func (record *record) setCondition(server id.Target, condition steer.Condition, probeResult ProbeResult) []Change {
	if record.condition == condition {
		return nil
	}
	record.condition = condition
	return []Change{{Server: server, Condition: condition, ProbeResult: probeResult}}
}
