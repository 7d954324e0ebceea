// Package membership is a SWIM-style failure detector for entry instances. It uses probes, relayed probes and
// suspicions that the suspect can refute, and disseminates changes with the probes.
//
// Only members of the same failure domain declare an instance dead. Probes between domains detect only whether the
// other domain is reachable, so that a network partition between domains does not make its members dead.
package membership

import (
	"time"

	"azureshift/core/id"
)

// State is the member list and failure detector of one instance. It is not safe for concurrent use.
type State struct {
	config Config
	self   Record
	epoch  id.Epoch
	values uint64

	members      map[id.Instance]*member
	ownDomain    *domain
	otherDomains []*domain
	tombstones   tombstones
	seeds        []Peer

	queue        []change
	applyingBulk bool
	probes       []probe
	relays       []relay
	suspects     []*member
	sync         sync
	announcement announcement

	sequence      uint64
	now           time.Time
	nextPeriod    time.Time
	lastReceived  time.Time
	noDeathsUntil time.Time
	effects       []Effect
}

// member is an incarnation of another instance that has not ended.
type member struct {
	record  Record
	leaving bool
	// lastReceived is when the last message came directly from the member.
	lastReceived time.Time
	// suspectedSince is when this instance began to suspect the member. ownProbesFailed is set if a probe by this
	// instance has failed too.
	suspectedSince  time.Time
	ownProbesFailed bool
}

// New returns the state of an instance that knows only itself.
func New(config Config) *State {
	config = config.withDefaults()
	state := &State{config: config, members: map[id.Instance]*member{}}
	state.self = Record{Member: config.Self, Domain: config.Domain, Address: config.Address, Status: Alive}
	state.ownDomain = &domain{name: config.Domain}
	state.ownDomain.digest = fingerprint(config.Self, false)
	state.tombstones.byInstance = map[id.Instance]Record{}
	state.enqueue(state.self)
	return state
}

// Reduce applies one event and returns the effects in order.
func (state *State) Reduce(event Event) []Effect {
	state.effects = nil
	switch event := event.(type) {
	case Tick:
		state.advanceClock(event.At)
		state.tick()
	case MessageReceived:
		state.advanceClock(event.At)
		state.receive(event)
	case PeerList:
		state.advanceClock(event.At)
		state.setSeeds(event)
	case LocalStateChanged:
		state.advanceClock(event.At)
		state.epoch, state.values = event.Epoch, event.ValueDigest
	case Leave:
		state.advanceClock(event.At)
		state.announceStatus(Leaving)
	case Exit:
		state.advanceClock(event.At)
		state.announceStatus(Left)
	}
	return state.effects
}

// Members returns the records of all members, this instance included, in no particular order.
func (state *State) Members() []Record {
	records := make([]Record, 0, len(state.members)+1)
	records = append(records, state.self)
	for _, member := range state.members {
		records = append(records, member.record)
	}
	return records
}

// Live returns the members of the local domain that belong in the next view: all that are not leaving. A suspected
// member stays until it is dead. This instance comes first unless it is leaving, the others follow by name.
func (state *State) Live() []id.Member {
	live := make([]id.Member, 0, len(state.ownDomain.members)+1)
	if state.self.Status == Alive {
		live = append(live, state.self.Member)
	}
	for _, member := range state.ownDomain.members {
		if !member.leaving {
			live = append(live, member.record.Member)
		}
	}
	return live
}

// Lookup returns the record of an instance if it is a member.
func (state *State) Lookup(instance id.Instance) (Record, bool) {
	if instance == state.self.Member.Instance {
		return state.self, true
	}
	member, known := state.members[instance]
	if !known {
		return Record{}, false
	}
	return member.record, true
}

func (state *State) tick() {
	state.advanceProbes()
	state.expireRelays()
	state.checkSuspects()
	if !state.now.Before(state.nextPeriod) {
		state.nextPeriod = state.now.Add(state.config.ProbeInterval)
		state.startProbeRound()
	}
	state.detectCutDomains()
	state.advanceAnnouncement()
	state.advanceSync()
	state.spread()
	state.tombstones.expire(state.now.Add(-state.config.TombstoneLifetime))
}

// advanceClock advances the clock and detects whether the instance itself was paused.
func (state *State) advanceClock(at time.Time) {
	if !at.After(state.now) {
		return
	}
	gap := at.Sub(state.now)
	first := state.now.IsZero()
	state.now = at
	if first {
		state.resetDetector()
		return
	}
	if gap > state.config.PauseThreshold && !state.config.Disabled.PauseCheck {
		state.count(CountPaused)
		state.resetDetector()
	}
}

// resetDetector discards everything inferred from missing messages, because after a pause this instance itself is
// the reason that they are missing.
func (state *State) resetDetector() {
	state.probes = nil
	state.relays = nil
	state.noDeathsUntil = state.now.Add(2 * state.config.ProbeInterval)
	for _, suspect := range state.suspects {
		suspect.suspectedSince = state.now
		suspect.ownProbesFailed = false
	}
	for _, domain := range state.otherDomains {
		domain.lastReceived = state.now
		domain.failedProbes = 0
	}
}

func (state *State) emit(effect Effect) {
	state.effects = append(state.effects, effect)
}

func (state *State) count(counter Counter) {
	state.emit(Count{Counter: counter})
}
