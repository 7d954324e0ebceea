package entry

import (
	"cmp"
	"slices"
	"time"

	"azureshift/core/catalog"
	"azureshift/core/detector"
	"azureshift/core/fleet"
	"azureshift/core/packet"
	"azureshift/core/steer"
)

// relaying is the state of the exchange of updates and reports with other instances.
type relaying struct {
	// active says that this instance is the relay of its failure domain.
	active bool
	// connectedAt is when this instance last received updates of the relay, directly or through other instances.
	connectedAt time.Duration
	// changed says that there are changes to send, and refreshed that the unchanged state was confirmed again.
	changed   bool
	refreshed bool
	// updatedAt is when updates were last sent in the failure domain, and remoteUpdatedAt when loads were last sent to the
	// relays of other failure domains.
	updatedAt       time.Duration
	remoteUpdatedAt time.Duration
	// reportedAt is when this instance last sent reports, and loads what it observed itself.
	reportedAt time.Duration
	loads      []fleet.Load
	// totals are the loads over all instances, as received in updates.
	totals map[packet.Cookie]total
	// The offsets are the indexes of the first load in the next message, where loads do not fit into one message.
	offset, remoteOffset, reportOffset int
}

// total is a load over all instances and the time of its arrival.
type total struct {
	fleet.Load
	receivedAt time.Duration
}

func (state *State) setRelay(active bool) {
	if state.relaying.active == active {
		return
	}
	state.relaying.active = active
	state.slowness = detector.Slowness{}
	value := "Ended"
	if active {
		value = "Begun"
	}
	state.emit(Note{Kind: NoteRelay, Instance: state.config.Self.Name, Value: value, Age: state.age()})
}

// updateRelayRole makes this instance the relay if no updates of its failure domain's relay came for a timeout that
// grows with this instance's rank, or if it has much more processor time than the instance from which it gets
// updates. It ends the role when a better ranked instance relays or receives a relay's updates.
func (state *State) updateRelayRole() {
	upstream, ok := state.fleet.Upstream(state.now)
	if ok {
		state.relaying.connectedAt = state.now
	}
	switch {
	case state.relaying.active:
		if state.fleet.HasBetterRelay(state.now) {
			state.setRelay(false)
		}
	case ok && !fleet.ShouldTakeOver(state.config.Self, upstream):
	case ok:
		state.setRelay(state.informed())
	default:
		wait := _relayTimeout + min(rankDelay(state.fleet.DomainRank(state.now)), _maxRelayRankDelay)
		state.setRelay(state.informed() && state.now-max(state.relaying.connectedAt, state.startedAt) >= wait)
	}
}

// connected reports whether this instance is the relay or hears it, directly or through other instances.
func (state *State) connected() bool {
	_, ok := state.fleet.Upstream(state.now)
	return state.relaying.active || ok
}

// sendUpdatesIfDue sends changes at once, a confirmation that nothing has changed after _minRefreshInterval, and an
// update in any case after _updateInterval.
func (state *State) sendUpdatesIfDue() {
	relaying := &state.relaying
	elapsed := state.now - relaying.updatedAt
	if relaying.changed || relaying.refreshed && elapsed >= _minRefreshInterval || elapsed >= _updateInterval {
		relaying.changed, relaying.refreshed = false, false
		state.sendUpdates(false)
	}
}

// sendUpdates sends an Update to the instances below this one in its failure domain. The follower and relays also send
// it to the relays of other failure domains.
func (state *State) sendUpdates(leaving bool) {
	relaying := &state.relaying
	relaying.updatedAt = state.now
	state.sumDemand()
	var shared sharedState
	shared.demands, state.demanding.offset = demandWindow(state.totalDemand(), state.demanding.offset)
	shared.loads, relaying.offset = window(state.totals(), relaying.offset, loadsBeside(shared.demands))
	for _, receiver := range state.fleet.Receivers(state.now, relaying.active) {
		state.sendUpdate(receiver, shared, leaving)
	}
	relays := state.fleet.Relays(state.now)
	due := state.now-relaying.remoteUpdatedAt >= max(_remoteInterval, time.Duration(len(relays))*_remoteIntervalPerRelay)
	if state.reading.active || relaying.active && (leaving || due) {
		state.sendRemoteUpdates(relays, leaving, due)
	}
}

// sendRemoteUpdates sends an Update to the relays of other failure domains and, if this instance is not its failure
// domain's relay, to the instance above it. Loads make up most of a message and are included only when due.
func (state *State) sendRemoteUpdates(relays []fleet.Receiver, leaving, due bool) {
	var shared sharedState
	if !state.relaying.active {
		if upstream, ok := state.fleet.Upstream(state.now); ok {
			state.sendUpdate(state.fleet.Receiver(upstream.Name), shared, leaving)
		}
	} else if due {
		state.relaying.remoteUpdatedAt = state.now
		demands, loads := state.domainDemand(), state.fleet.SumLoads(state.now, state.relaying.loads, false)
		shared.demands, state.demanding.remoteOffset = demandWindow(demands, state.demanding.remoteOffset)
		shared.loads, state.relaying.remoteOffset = window(
			loads, state.relaying.remoteOffset, loadsBeside(shared.demands))
	}
	for _, receiver := range relays {
		state.sendUpdate(receiver, shared, leaving)
	}
}

// sharedState is what instances observed, as an update carries it.
type sharedState struct {
	loads   []fleet.Load
	demands []fleet.Demand
}

func (state *State) sendUpdate(receiver fleet.Receiver, shared sharedState, leaving bool) {
	update := state.updateFor(receiver)
	update.Leaving = leaving
	if len(update.Entries) == 0 && update.Delta == nil {
		// Changes need the space; the next message without changes includes loads.
		update.Loads, update.Demands = shared.loads, shared.demands
	}
	state.emit(Send{To: receiver.Address, Message: update})
}

// totals returns the loads over all instances: a relay sums up what was reported to it, other instances return what
// they received.
func (state *State) totals() []fleet.Load {
	if state.relaying.active {
		return state.fleet.SumLoads(state.now, state.relaying.loads, true)
	}
	loads := make([]fleet.Load, 0, len(state.relaying.totals))
	for cookie, total := range state.relaying.totals {
		if state.now-total.receivedAt > _instanceTimeout {
			delete(state.relaying.totals, cookie)
			continue
		}
		loads = append(loads, total.Load)
	}
	slices.SortFunc(loads, func(left, right fleet.Load) int { return cmp.Compare(left.Cookie, right.Cookie) })
	return loads
}

// addTotals records received loads over all instances.
func (state *State) addTotals(loads []fleet.Load) {
	if state.relaying.totals == nil {
		state.relaying.totals = make(map[packet.Cookie]total)
	}
	for _, load := range loads {
		state.relaying.totals[load.Cookie] = total{Load: load, receivedAt: state.now}
	}
	state.publishing.addLoads(state.now, loads)
}

// updateFor returns an update with the changes that a receiver lacks. A receiver whose state is unknown or far behind
// gets no changes and has to fetch them.
func (state *State) updateFor(receiver fleet.Receiver) fleet.Update {
	update := fleet.Update{
		From:      state.config.Self,
		Relay:     state.relaying.active,
		Connected: state.connected(),
		Source:    state.reading.source,
		Base:      state.catalog.Revision(),
		Revision:  state.catalog.Revision(),
		Config:    state.catalog.Routes().Version,
		Missing:   state.missingConfig(),
		Age:       state.age(),
		StableFor: state.knownStableFor(),
	}
	if !receiver.Reported {
		return update
	}
	if entries, ok := state.catalog.ChangesSince(receiver.Revision); ok && len(entries) <= _maxEntries {
		update.Base, update.Entries = min(receiver.Revision, update.Revision), entries
	}
	if receiver.Config < update.Config {
		if delta, ok := state.catalog.DeltaSince(receiver.Config); ok {
			update.Delta = &delta
		}
	}
	return update
}

// window returns the loads from offset on, at most as many as the limit, and the offset for the next message.
func window(loads []fleet.Load, offset, limit int) ([]fleet.Load, int) {
	if len(loads) <= limit {
		return loads, 0
	}
	offset %= len(loads)
	end := min(offset+limit, len(loads))
	return loads[offset:end], end
}

func (state *State) handleMessageReceived(message fleet.Message) {
	switch message := message.(type) {
	case fleet.Update:
		state.handleUpdate(message)
	case fleet.Report:
		state.fleet.HandleReport(state.now, message)
	case fleet.Evidence:
		state.handleEvidence(message)
	}
}

func (state *State) handleUpdate(update fleet.Update) {
	if !state.fleet.HandleUpdate(state.now, update) || state.stopping {
		return
	}
	if update.From.Domain == state.config.Self.Domain && !state.relaying.active {
		state.addTotals(update.Loads)
		state.addDemands(update.Demands)
	}
	if entries, ok := state.catalog.ApplyChanges(state.interval(), update.Base, update.Entries, update.Revision); ok {
		state.noteAndApply(entries)
	}
	if update.Delta != nil && state.catalog.ApplyDelta(*update.Delta) {
		state.noteConfig()
	}
	state.expectConfig(update.Config, update.Missing, update.From.Address)
	behind := state.catalog.Revision() < update.Revision
	switch {
	case !behind && state.missingConfig() == 0:
		state.adoptFreshness(update)
	case behind && state.informed() && update.Age < state.age():
		state.fetch(update.From.Address)
	default:
		state.readConfigIfDue()
	}
	state.yieldFollower(update.Source, update.Age)
	if state.relaying.reportedAt == 0 {
		state.sendReports()
	}
}

// adoptFreshness adopts the age and the source of another instance's state, where this instance has the same state.
func (state *State) adoptFreshness(update fleet.Update) {
	if update.Age <= portion(state.config.Limits.strictest(), _directReadFraction) {
		state.reading.noteSource(state.now, update.Source)
	}
	state.confirm(state.sentBefore(update.Age))
	disruptedAt := state.now - update.StableFor
	if update.StableFor >= 0 && !state.reading.storeLost && disruptedAt > state.reading.disruptedAt {
		state.reading.disruptedAt, state.reading.disruptionPresumed = disruptedAt, false
	}
}

// sentBefore returns the time to which the age in a message refers. Messages that arrive right after a suspension may
// have waited for all of it.
func (state *State) sentBefore(age time.Duration) time.Duration {
	sent := state.now
	if resumedAt := state.reading.resumedAt; resumedAt > 0 && sent < resumedAt+_resumeMargin {
		sent = resumedAt - 1
	}
	return sent - age
}

// sendReports sends this instance's revision and configuration version, and the loads that it and the instances below
// it observed, to the instance from which it gets updates. If there is none, it sends reports without loads to all
// instances above it and, as these may not know it yet after startup, to others of its failure domain.
func (state *State) sendReports() {
	if state.relaying.active {
		return
	}
	upstream, ok := state.fleet.Upstream(state.now)
	if !ok && state.now-state.relaying.reportedAt < _helloInterval {
		return
	}
	state.relaying.reportedAt = state.now
	if ok {
		loads := state.fleet.SumLoads(state.now, state.relaying.loads, false)
		demands := state.domainDemand()
		demands, state.demanding.reportOffset = demandWindow(demands, state.demanding.reportOffset)
		for range min(len(loads)/_maxLoads+1, _maxReportMessages) {
			var batch []fleet.Load
			batch, state.relaying.reportOffset = window(loads, state.relaying.reportOffset, loadsBeside(demands))
			state.sendReport(upstream, sharedState{loads: batch, demands: demands})
			demands = nil
		}
		return
	}
	for _, instance := range state.fleet.Ancestors(state.now) {
		state.sendReport(instance, sharedState{})
	}
	if state.now-state.startedAt < _wideHelloPeriod {
		for _, receiver := range state.fleet.Receivers(state.now, true) {
			state.sendReport(receiver.Instance, sharedState{})
		}
	}
}

func (state *State) sendReport(receiver catalog.Instance, shared sharedState) {
	state.emit(Send{To: receiver.Address, Message: fleet.Report{
		From:     state.config.Self,
		Revision: state.catalog.Revision(),
		Config:   state.catalog.Routes().Version,
		Loads:    shared.loads,
		Demands:  shared.demands,
	}})
}

// handleObserved processes the observations of the traffic thread.
func (state *State) handleObserved(observations []steer.Observation) {
	wasBusy := make(map[packet.Cookie]bool, len(state.relaying.loads))
	for _, load := range state.relaying.loads {
		wasBusy[load.Cookie] = load.InProgress > 0
	}
	state.relaying.loads = state.relaying.loads[:0:0]
	for _, observation := range observations {
		// A server that has become idle is reported once more.
		isUsed := observation.InProgress > 0 || observation.Answers > 0 || observation.Refused > 0 || observation.Held > 0
		if isUsed || wasBusy[observation.Cookie] {
			state.relaying.loads = append(state.relaying.loads, fleet.LoadOf(observation))
		}
		state.observeServer(observation)
	}
	if state.relaying.active {
		loads := state.fleet.SumLoads(state.now, state.relaying.loads, true)
		state.publishing.addLoads(state.now, loads)
		state.findSlowServers(loads)
		return
	}
	if !state.connected() {
		state.publishing.addLoads(state.now, state.relaying.loads)
	}
	state.sendReports()
}
