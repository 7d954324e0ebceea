package entry

import (
	"azureshift/core/detector"
	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/steer"
)

// probing is the state of the probes of backend servers.
type probing struct {
	// inProgress is the number of probes in progress.
	inProgress int
	// waiting holds the servers that are to be probed; urgent and later hold their order. A server may be in both.
	waiting       map[id.Target]bool
	urgent, later []id.Target
}

// add queues a probe of a server. Urgent ones come first: callers wait for an answer of the server.
func (probing *probing) add(name id.Target, urgent bool) {
	if probing.waiting == nil {
		probing.waiting = make(map[id.Target]bool)
	}
	probing.waiting[name] = true
	if urgent {
		probing.urgent = append(probing.urgent, name)
	} else {
		probing.later = append(probing.later, name)
	}
}

// next removes the server from the queue that is to be probed now, and reports whether there is one.
func (probing *probing) next() (id.Target, bool) {
	for probing.inProgress < _maxProbes {
		queue := &probing.urgent
		if len(*queue) == 0 {
			queue = &probing.later
		}
		if len(*queue) == 0 {
			return "", false
		}
		name := (*queue)[0]
		*queue = (*queue)[1:]
		if probing.waiting[name] {
			delete(probing.waiting, name)
			return name, true
		}
	}
	return "", false
}

// handleServerStalled probes a backend server that did not answer a client's packets.
func (state *State) handleServerStalled(cookie packet.Cookie) {
	if name, ok := state.publishing.cookies[cookie]; ok {
		state.requestUrgentProbe(name)
	}
}

// requestUrgentProbe probes a server for which callers wait before servers that only lack a registration.
func (state *State) requestUrgentProbe(name id.Target) {
	if state.probing.waiting[name] {
		state.probing.add(name, true)
		return
	}
	if _, ok := state.catalog.Server(name); ok && state.detector.RequestProbe(state.now, name) {
		state.probe(name, true)
	}
}

// handlePacketForUnknownServer reads the store if a packet names an unknown backend server and the state is not fresh,
// unless this instance is a relay.
func (state *State) handlePacketForUnknownServer() {
	if !state.relaying.active && !state.reading.pending && state.now >= state.reading.retryAt &&
		state.age() > portion(state.config.Limits.strictest(), _directReadFraction) {
		state.readStore()
	}
}

func (state *State) requestProbe(name id.Target) {
	if _, ok := state.catalog.Server(name); ok && state.detector.RequestProbe(state.now, name) {
		state.probe(name, false)
	}
}

func (state *State) observeServer(observation steer.Observation) {
	name, ok := state.publishing.cookies[observation.Cookie]
	if !ok {
		return
	}
	if observation.InProgress > 0 || observation.FlowsOpened > 0 || observation.Answers > 0 {
		state.publishing.lastUsed[name] = state.now
	}
	state.applyConditionChanges(state.detector.ObserveTraffic(state.now, name, observation.SinceAnswer,
		observation.Retransmissions))
	if observation.Retransmissions > 0 {
		state.requestUrgentProbe(name)
	}
}

// probe probes a server as soon as fewer than _maxProbes are in progress.
func (state *State) probe(name id.Target, urgent bool) {
	state.probing.add(name, urgent)
	state.startProbes()
}

func (state *State) startProbes() {
	for {
		name, ok := state.probing.next()
		if !ok {
			return
		}
		state.startProbe(name)
	}
}

func (state *State) startProbe(name id.Target) {
	record, ok := state.catalog.Server(name)
	if !ok {
		state.detector.Remove(name)
		return
	}
	path := _defaultHealthPath
	for _, service := range state.catalog.Routes().Services {
		if service.Name == record.Service && service.HealthPath != "" {
			path = service.HealthPath
		}
	}
	state.probing.inProgress++
	state.emit(Probe{Server: name, Address: record.Address, Path: path})
}

// _defaultHealthPath is the health check's path for services whose configuration sets none.
const _defaultHealthPath = "/"

func (state *State) handleProbed(event Probed) {
	state.probing.inProgress--
	defer state.startProbes()
	if _, ok := state.catalog.Server(event.Server); !ok {
		state.detector.Remove(event.Server)
		return
	}
	changes, retry := state.detector.HandleProbeResult(state.now, event.Server, event.Result)
	state.applyConditionChanges(changes)
	if event.Result == detector.ProbeTimedOut && state.detector.UnreachableLocally(event.Server) {
		state.reportFinding(event.Server, steer.Unreachable)
	}
	if retry {
		state.probe(event.Server, true)
	}
}

// applyConditionChanges applies new conditions of servers: it resets the flows of dead and unreachable servers, and
// reports dead ones to other instances.
func (state *State) applyConditionChanges(changes []detector.Change) {
	for _, change := range changes {
		state.publishing.changed = true
		state.emit(Note{
			Kind: NoteCondition, Server: change.Server, Value: change.Condition.String(), Cause: change.ProbeResult.String(),
			Age: state.age(),
		})
		switch change.Condition {
		case steer.Dead:
			state.publishing.resetServers = append(state.publishing.resetServers, change.Server)
			state.reportFinding(change.Server, steer.Dead)
		case steer.Unreachable:
			state.publishing.resetServers = append(state.publishing.resetServers, change.Server)
		case steer.Usable, steer.Leaving, steer.Suspect:
		}
	}
}

// probeIfDue probes servers again that were not found alive, except those without a registration, which are no longer
// needed.
func (state *State) probeIfDue() {
	needed := func(name id.Target) bool {
		record, ok := state.catalog.Server(name)
		return ok && !record.Missing
	}
	for _, name := range state.detector.StartDueProbes(state.now, needed) {
		state.probe(name, false)
	}
}
