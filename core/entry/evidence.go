package entry

import (
	"slices"
	"time"

	"azureshift/core/fleet"
	"azureshift/core/id"
	"azureshift/core/steer"
)

// evidenceQueue holds findings to be sent to other instances.
type evidenceQueue struct {
	findings []fleet.Finding
	// urgent says that one of them is of a dead server, whose clients are waiting.
	urgent bool
	// forwarded holds the findings that were forwarded lately. It bounds the traffic of a relay while a whole failure
	// domain is partitioned.
	forwarded map[judgement][]forwardedFinding
}

// judgement is what instances may find of a server.
type judgement struct {
	server    id.Target
	condition steer.Condition
}

// forwardedFinding is a finding of an instance and when it was forwarded.
type forwardedFinding struct {
	fleet.Finding
	at time.Duration
}

const (
	// _maxObservers is the number of instances whose findings on one server are forwarded within _observerWindow. An
	// instance needs the finding of only one other instance to confirm its own.
	_maxObservers   = 2
	_observerWindow = time.Second
	// _maxFindings is the number of findings that fit into one message.
	_maxFindings = 16
)

// reportFinding queues a finding of this instance for the others, and sends it at once if the server is dead.
func (state *State) reportFinding(server id.Target, condition steer.Condition) {
	state.evidenceQueue.findings = append(state.evidenceQueue.findings, fleet.Finding{
		Server: server, Condition: condition, Observer: state.config.Self.Name, Domain: state.config.Self.Domain,
	})
	if condition == steer.Dead {
		state.sendEvidence()
	}
}

// handleEvidence processes the findings of other instances. That a server is dead concerns all failure domains; that it
// is unreachable concerns only the failure domain of the observer.
func (state *State) handleEvidence(evidence fleet.Evidence) {
	for _, finding := range evidence.Findings {
		if finding.Observer == state.config.Self.Name {
			continue
		}
		own := finding.Domain == state.config.Self.Domain
		switch {
		case finding.Condition == steer.Dead:
			state.requestUrgentProbe(finding.Server)
		case own:
			state.applyConditionChanges(state.detector.Corroborate(state.now, finding.Server))
			if state.inUse(finding.Server) {
				state.requestUrgentProbe(finding.Server)
			}
		}
		if own || finding.Condition == steer.Dead {
			state.forwardFinding(finding)
		}
	}
	if state.evidenceQueue.urgent {
		state.sendEvidence()
	}
}

// forwardFinding queues a finding of another instance for the others, unless enough of them were forwarded lately.
func (state *State) forwardFinding(finding fleet.Finding) {
	evidenceQueue := &state.evidenceQueue
	if evidenceQueue.forwarded == nil {
		evidenceQueue.forwarded = make(map[judgement][]forwardedFinding)
	}
	judged := judgement{server: finding.Server, condition: finding.Condition}
	lately := withoutExpired(evidenceQueue.forwarded[judged], state.now)
	known := slices.ContainsFunc(lately, func(other forwardedFinding) bool { return other.Finding == finding })
	if known || len(lately) >= _maxObservers {
		return
	}
	evidenceQueue.forwarded[judged] = append(lately, forwardedFinding{Finding: finding, at: state.now})
	evidenceQueue.findings = append(evidenceQueue.findings, finding)
	evidenceQueue.urgent = evidenceQueue.urgent || finding.Condition == steer.Dead
}

// forget removes findings that were forwarded too long ago to count.
func (evidenceQueue *evidenceQueue) forget(now time.Duration) {
	for judged, lately := range evidenceQueue.forwarded {
		lately = withoutExpired(lately, now)
		if len(lately) == 0 {
			delete(evidenceQueue.forwarded, judged)
			continue
		}
		evidenceQueue.forwarded[judged] = lately
	}
}

func withoutExpired(findings []forwardedFinding, now time.Duration) []forwardedFinding {
	return slices.DeleteFunc(findings, func(finding forwardedFinding) bool { return now-finding.at >= _observerWindow })
}

// sendEvidence sends the queue to the instances above and below this one in its failure domain, which forward it. A
// relay also sends findings of dead servers to the relays of other failure domains.
func (state *State) sendEvidence() {
	evidenceQueue := &state.evidenceQueue
	findings := evidenceQueue.findings
	if len(findings) == 0 {
		return
	}
	evidenceQueue.findings, evidenceQueue.urgent = nil, false
	if upstream, ok := state.fleet.Upstream(state.now); ok && !state.relaying.active {
		state.sendFindings(upstream.Address, findings)
	}
	for _, receiver := range state.fleet.Receivers(state.now, state.relaying.active) {
		state.sendFindings(receiver.Address, findings)
	}
	if !state.relaying.active {
		return
	}
	dead := findings[:0:0]
	for _, finding := range findings {
		if finding.Condition == steer.Dead && finding.Domain == state.config.Self.Domain {
			dead = append(dead, finding)
		}
	}
	for _, receiver := range state.fleet.Relays(state.now) {
		state.sendFindings(receiver.Address, dead)
	}
}

func (state *State) sendFindings(to Address, findings []fleet.Finding) {
	for len(findings) > 0 {
		count := min(len(findings), _maxFindings)
		state.emit(Send{To: to, Message: fleet.Evidence{From: state.config.Self, Findings: findings[:count:count]}})
		findings = findings[count:]
	}
}

// inUse reports whether this instance has recently forwarded packets to a server.
func (state *State) inUse(server id.Target) bool {
	used, ok := state.publishing.lastUsed[server]
	return ok && state.now-used <= _inUsePeriod
}

// _inUsePeriod is how long a server counts as in use after its last traffic.
const _inUsePeriod = 5 * time.Second
