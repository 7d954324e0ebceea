package entry

import (
	"cmp"
	"slices"
	"time"

	"azureshift/core/catalog"
	"azureshift/core/fleet"
	"azureshift/core/packet"
	"azureshift/core/steer"
)

// relaying is how the instance tells others what it knows.
type relaying struct {
	// active says that this instance is the relay of its failure domain.
	active bool
	// connected is when this instance last heard the relay, directly or through others.
	connected time.Duration
	// news says that there are changes to tell, and fresher that the same is known to be newer.
	news    bool
	fresher bool
	// told is when the failure domain was last told, and toldFar when the relays of others last were told of loads.
	told    time.Duration
	toldFar time.Duration
	// reported is when this instance last reported, and loads what it saw itself.
	reported time.Duration
	loads    []fleet.Load
	// totals is what all instances saw together, as this one was told.
	totals map[packet.Cookie]total
	// offsets are where the next messages go on with loads that do not fit into one.
	offset, farOffset, reportOffset int
}

// total is a load with when it was heard.
type total struct {
	fleet.Load
	at time.Duration
}

func (state *State) relay(active bool) {
	if state.relaying.active == active {
		return
	}
	state.relaying.active = active
	value := "Ended"
	if active {
		value = "Begun"
	}
	state.do(Note{Kind: NoteRelay, Instance: state.config.Self.Name, Value: value, Age: state.age()})
}

// relayIfDue begins to relay if the relay of the failure domain has not been heard for a time, a worse ranked instance
// later than a better one, and ends it if a better one is heard.
func (state *State) relayIfDue() {
	upstream, ok := state.fleet.Upstream(state.now)
	if ok {
		state.relaying.connected = state.now
	}
	switch {
	case state.relaying.active:
		if state.fleet.BetterRelay(state.now) {
			state.relay(false)
		}
	case ok && !fleet.Greater(state.config.Self, upstream):
	case ok:
		state.relay(state.informed())
	default:
		wait := _relayPatience + min(steps(state.fleet.Rank(state.now)), _relayLatest)
		state.relay(state.informed() && state.now-max(state.relaying.connected, state.started) >= wait)
	}
}

// connected reports whether this instance is the relay or hears it.
func (state *State) connected() bool {
	_, ok := state.fleet.Upstream(state.now)
	return state.relaying.active || ok
}

// tellIfDue tells others changes at once, that nothing has changed soon, and in any case after a pause.
func (state *State) tellIfDue() {
	relaying := &state.relaying
	waited := state.now - relaying.told
	if relaying.news || relaying.fresher && waited >= _fresherPause || waited >= _updatePause {
		relaying.news, relaying.fresher = false, false
		state.tell(false)
	}
}

// tell sends an Update to those below this instance in its failure domain and, as the follower or the relay, to the
// relays.
func (state *State) tell(leaving bool) {
	relaying := &state.relaying
	relaying.told = state.now
	loads := state.totals()
	loads, relaying.offset = window(loads, relaying.offset)
	for _, receiver := range state.fleet.Receivers(state.now, relaying.active) {
		state.tellOne(receiver, loads, leaving)
	}
	relays := state.fleet.Relays(state.now)
	due := state.now-relaying.toldFar >= max(_farPause, time.Duration(len(relays))*_farSpread)
	if state.reading.active || relaying.active && (leaving || due) {
		state.tellFar(relays, leaving, due)
	}
}

// tellFar sends an Update to the relays of other failure domains and, if another instance relays in the own one, there.
// Loads go along if they are due, as they are most of a message.
func (state *State) tellFar(relays []fleet.Receiver, leaving, due bool) {
	var loads []fleet.Load
	if !state.relaying.active {
		if upstream, ok := state.fleet.Upstream(state.now); ok {
			state.tellOne(state.fleet.Receiver(upstream.Name), nil, leaving)
		}
	} else if due {
		state.relaying.toldFar = state.now
		loads = state.fleet.Sum(state.now, state.relaying.loads, false)
		loads, state.relaying.farOffset = window(loads, state.relaying.farOffset)
	}
	for _, receiver := range relays {
		state.tellOne(receiver, loads, leaving)
	}
}

func (state *State) tellOne(receiver fleet.Receiver, loads []fleet.Load, leaving bool) {
	update := state.update(receiver)
	update.Leaving = leaving
	if len(update.Entries) == 0 && update.Delta == nil {
		// Changes need the room; loads come with the next message.
		update.Loads = loads
	}
	state.do(Send{To: receiver.Address, Message: update})
}

// totals returns what all instances saw together: as the relay, of what it is told, else as this instance was told.
func (state *State) totals() []fleet.Load {
	if state.relaying.active {
		return state.fleet.Sum(state.now, state.relaying.loads, true)
	}
	loads := make([]fleet.Load, 0, len(state.relaying.totals))
	for cookie, total := range state.relaying.totals {
		if state.now-total.at > _silence {
			delete(state.relaying.totals, cookie)
			continue
		}
		loads = append(loads, total.Load)
	}
	slices.SortFunc(loads, func(left, right fleet.Load) int { return cmp.Compare(left.Cookie, right.Cookie) })
	return loads
}

// hearTotals takes in what all instances saw together.
func (state *State) hearTotals(loads []fleet.Load) {
	if state.relaying.totals == nil {
		state.relaying.totals = make(map[packet.Cookie]total)
	}
	for _, load := range loads {
		state.relaying.totals[load.Cookie] = total{Load: load, at: state.now}
	}
	state.tables.hear(state.now, loads)
}

// update returns what a receiver lacks. One whose knowledge is unknown or far behind gets no changes and fetches all.
func (state *State) update(receiver fleet.Receiver) fleet.Update {
	update := fleet.Update{
		From:      state.config.Self,
		Relay:     state.relaying.active,
		Connected: state.connected(),
		Source:    state.reading.source,
		Base:      state.catalog.Revision(),
		Revision:  state.catalog.Revision(),
		Config:    state.catalog.Routes().Version,
		Age:       state.age(),
		Calm:      state.knownCalm(),
	}
	if !receiver.Reported {
		return update
	}
	if entries, ok := state.catalog.Since(receiver.Revision); ok && len(entries) <= _maxEntries {
		update.Base, update.Entries = min(receiver.Revision, update.Revision), entries
	}
	if receiver.Config < update.Config {
		if delta, ok := state.catalog.DeltaSince(receiver.Config); ok {
			update.Delta = &delta
		}
	}
	return update
}

// window returns the part of the loads that fits into one message, and where the next message goes on.
func window(loads []fleet.Load, offset int) ([]fleet.Load, int) {
	if len(loads) <= _maxLoads {
		return loads, 0
	}
	offset %= len(loads)
	end := min(offset+_maxLoads, len(loads))
	return loads[offset:end], end
}

func (state *State) heard(message fleet.Message) {
	switch message := message.(type) {
	case fleet.Update:
		state.updated(message)
	case fleet.Report:
		state.fleet.Reported(state.now, message)
	case fleet.Evidence:
		state.evidence(message)
	}
}

func (state *State) updated(update fleet.Update) {
	if !state.fleet.Updated(state.now, update) || state.stopping {
		return
	}
	if update.From.Domain == state.config.Self.Domain && !state.relaying.active {
		state.hearTotals(update.Loads)
	}
	if entries, ok := state.catalog.Advance(state.moment(), update.Base, update.Entries, update.Revision); ok {
		state.learn(entries)
	}
	if update.Delta != nil && state.catalog.Reconfigure(*update.Delta) {
		state.reconfigured()
	}
	outdated := state.catalog.Routes().Version < update.Config
	behind := state.catalog.Revision() < update.Revision
	switch {
	case !behind && !outdated:
		state.believe(update)
	case behind && state.informed() && update.Age < state.age():
		state.fetch(update.From.Address)
	case outdated && state.informed():
		state.readConfig(update.From.Address)
	}
	state.yield(update.Source, update.Age)
	if state.relaying.reported == 0 {
		state.report()
	}
}

// believe takes over how new another instance's knowledge is, where this instance knows the same.
func (state *State) believe(update fleet.Update) {
	if update.Age <= part(state.config.Limits.strictest(), _ownPart) {
		state.reading.hear(state.now, update.Source)
	}
	state.confirm(state.now - update.Age)
	troubled := state.now - update.Calm
	if update.Calm >= 0 && !state.reading.lost && troubled > state.reading.troubled {
		state.reading.troubled, state.reading.presumed = troubled, false
	}
}

// report tells the instance that this one gets its updates from what it has, and what it and those below it saw. Where
// none is heard, all instances above are told and, as they may not know this instance, others of its failure domain.
func (state *State) report() {
	if state.relaying.active {
		return
	}
	upstream, ok := state.fleet.Upstream(state.now)
	if !ok && state.now-state.relaying.reported < _helloPause {
		return
	}
	state.relaying.reported = state.now
	if ok {
		loads := state.fleet.Sum(state.now, state.relaying.loads, false)
		for range min(len(loads)/_maxLoads+1, _maxReports) {
			var part []fleet.Load
			part, state.relaying.reportOffset = window(loads, state.relaying.reportOffset)
			state.reportTo(upstream, part)
		}
		return
	}
	for _, instance := range state.fleet.Ancestors(state.now) {
		state.reportTo(instance, nil)
	}
	if state.now-state.started < _helloAll {
		for _, receiver := range state.fleet.Receivers(state.now, true) {
			state.reportTo(receiver.Instance, nil)
		}
	}
}

func (state *State) reportTo(receiver catalog.Instance, loads []fleet.Load) {
	state.do(Send{To: receiver.Address, Message: fleet.Report{
		From:     state.config.Self,
		Revision: state.catalog.Revision(),
		Config:   state.catalog.Routes().Version,
		Loads:    loads,
	}})
}

// observed takes in what the traffic thread saw since the last time.
func (state *State) observed(observations []steer.Observation) {
	before := make(map[packet.Cookie]bool, len(state.relaying.loads))
	for _, load := range state.relaying.loads {
		before[load.Cookie] = load.Busy > 0
	}
	state.relaying.loads = state.relaying.loads[:0:0]
	for _, observation := range observations {
		// A server that has become idle is told of once.
		if observation.Busy > 0 || observation.Answers > 0 || observation.Refused > 0 || before[observation.Cookie] {
			state.relaying.loads = append(state.relaying.loads, fleet.LoadOf(observation))
		}
		state.observe(observation)
	}
	if state.relaying.active {
		state.tables.hear(state.now, state.fleet.Sum(state.now, state.relaying.loads, true))
		return
	}
	if !state.connected() {
		state.tables.hear(state.now, state.relaying.loads)
	}
	state.report()
}
