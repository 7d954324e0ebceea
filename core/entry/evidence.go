package entry

import (
	"time"

	"azureshift/core/fleet"
	"azureshift/core/id"
	"azureshift/core/steer"
)

// evidenceQueue holds findings to be sent to other instances.
type evidenceQueue struct {
	findings []fleet.Finding
	// forwarded holds the times at which findings were forwarded. It bounds the traffic of a relay while a whole failure
	// domain is partitioned.
	forwarded map[fleet.Finding]time.Duration
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
	state.sendEvidenceIfUrgent()
}

// forwardFinding queues a finding of another instance for the others, unless enough of them were forwarded lately.
func (state *State) forwardFinding(finding fleet.Finding) {
	evidenceQueue := &state.evidenceQueue
	if evidenceQueue.forwarded == nil {
		evidenceQueue.forwarded = make(map[fleet.Finding]time.Duration)
	}
	if _, known := evidenceQueue.forwarded[finding]; known {
		return
	}
	observers := 0
	for forwarded := range evidenceQueue.forwarded {
		if forwarded.Server == finding.Server && forwarded.Condition == finding.Condition {
			observers++
		}
	}
	if observers < _maxObservers {
		evidenceQueue.forwarded[finding] = state.now
		evidenceQueue.findings = append(evidenceQueue.findings, finding)
	}
}

// sendEvidenceIfUrgent sends the queue at once if a server is dead, because its clients are waiting.
func (state *State) sendEvidenceIfUrgent() {
	for _, finding := range state.evidenceQueue.findings {
		if finding.Condition == steer.Dead {
			state.sendEvidence()
			return
		}
	}
}

// sendEvidence sends the queue to the instances above and below this one in its failure domain, which forward it. A
// relay also sends findings of dead servers to the relays of other failure domains.
func (state *State) sendEvidence() {
	evidenceQueue := &state.evidenceQueue
	for finding, at := range evidenceQueue.forwarded {
		if state.now-at >= _observerWindow {
			delete(evidenceQueue.forwarded, finding)
		}
	}
	findings := evidenceQueue.findings
	if len(findings) == 0 {
		return
	}
	evidenceQueue.findings = nil
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
