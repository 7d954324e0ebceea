package entry

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"azureshift/core/catalog"
	"azureshift/core/detector"
	"azureshift/core/fleet"
	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/steer"
)

// Address is the address at which an instance receives messages from others.
type Address = netip.AddrPort

// State is the control plane of one entry instance. It is not safe for concurrent use.
type State struct {
	config   Config
	catalog  *catalog.Catalog
	fleet    *fleet.State
	detector *detector.State
	slowness detector.Slowness

	reading       reading
	fetching      fetching
	configReading configReading
	registration  registration
	relaying      relaying
	demanding     demanding
	publishing    publishing
	slowStarting  slowStarting

	evidenceQueue evidenceQueue
	probing       probing

	now       time.Duration
	startedAt time.Duration
	stopping  bool
	ready     bool
	stale     bool
	forgotAt  time.Duration
	effects   []Effect
}

// New returns the state of an instance before startup.
func New(config Config) *State {
	state := &State{
		config: config,
		catalog: catalog.New(catalog.Config{
			MaxFlowLife: config.Limits.MaxFlowLife, MaxRecent: _changeHistory, MaxDeltas: _deltaHistory,
			MaxDeltaSize: _maxDeltaSize,
		}),
		fleet: fleet.New(fleet.Config{
			Self: config.Self, LivenessTimeout: _instanceTimeout, UpstreamTimeout: _upstreamTimeout, Fanout: _fanout,
			CrossDomainFanout: _remoteReceivers,
		}),
		detector: detector.New(detector.DefaultConfig()),
		publishing: publishing{
			cookies:  make(map[packet.Cookie]id.Target),
			lastUsed: make(map[id.Target]time.Duration),
		},
	}
	state.slowStarting = newSlowStarting(config.Self)
	state.publishing.loads.Slots = state.slots
	state.publishing.loads.Seed = xxhash.Sum64String(string(config.Self.Name))
	return state
}

// slots returns the number of requests that a backend server runs concurrently.
func (state *State) slots(cookie packet.Cookie) int {
	if record, ok := state.catalog.Server(state.publishing.cookies[cookie]); ok {
		return record.Slots
	}
	return 1
}

// Start returns the effects of startup.
func (state *State) Start(now time.Duration) []Effect {
	state.now, state.startedAt = now, now
	state.listStore()
	return state.takeEffects()
}

// Reduce applies one event and returns the effects to execute.
func (state *State) Reduce(event Event) []Effect {
	state.apply(event)
	state.refresh()
	return state.takeEffects()
}

func (state *State) apply(event Event) {
	switch event := event.(type) {
	case Listed:
		state.now = event.At
		state.handleListed(event)
	case Followed:
		state.now = event.At
		state.handleFollowed(event)
	case ReadFailed:
		state.now = event.At
		state.handleReadFailed(event)
	case Fetched:
		state.now = event.At
		state.handleFetched(event)
	case FetchFailed:
		state.now = event.At
		state.handleFetchFailed()
	case ConfigRead:
		state.now = event.At
		state.handleConfigRead(event)
	case Registered:
		state.now = event.At
		state.registration.handleRegistered(event, state.catalog.Revision().Era())
	case RegisterFailed:
		state.now = event.At
		state.registration.handleRegisterFailed(event, state.config.Random())
	case MessageReceived:
		state.now = event.At
		state.handleMessageReceived(event.Message)
	default:
		state.applyLocal(event)
	}
}

// applyLocal applies events that come neither from the store nor from other instances.
func (state *State) applyLocal(event Event) {
	switch event := event.(type) {
	case ServerStalled:
		state.now = event.At
		state.handleServerStalled(event.Cookie)
	case PacketForUnknownServer:
		state.now = event.At
		state.handlePacketForUnknownServer()
	case Observed:
		state.now = event.At
		state.observeDemand(event.Demands)
		state.handleObserved(event.Observations)
	case Probed:
		state.now = event.At
		state.handleProbed(event)
	case Tick:
		state.now = event.At
		state.handleTick()
	case Resumed:
		state.now = event.At
		state.handleResumed(event)
	case LimitsChanged:
		state.now = event.At
		state.config.Limits = event.Limits
		state.publishing.changed = true
	case Stopping:
		state.now = event.At
		state.handleStopping()
	}
}

func (state *State) handleTick() {
	if state.stopping {
		return
	}
	state.readStoreIfDue()
	state.fetchIfDue()
	state.readConfigIfDue()
	state.registerIfDue()
	state.updateRelayRole()
	state.probeIfDue()
	state.evidenceQueue.forget(state.now)
	state.sendEvidence()
	if state.now-state.forgotAt >= _forgetInterval {
		state.forgotAt = state.now
		state.fleet.RemoveDead(state.now)
		if state.catalog.RemoveExpired(state.now) {
			state.publishing.changed = true
		}
		state.publishing.forget(state.now)
		state.slowness.Retain(func(server id.Target) bool {
			_, known := state.catalog.Server(server)
			return known
		})
	}
}

// refresh distributes and publishes changes and updates the instance's readiness.
func (state *State) refresh() {
	if !state.stopping {
		state.sendUpdatesIfDue()
	}
	state.confirmMembership()
	state.publishIfChanged()
	state.noteStaleness()
	ready := !state.stopping && state.informed() && !state.isolated()
	if ready != state.ready {
		state.ready = ready
		state.emit(SetReady{Ready: ready})
	}
}

// informed reports whether the instance has a configuration and the registrations of the backend servers.
func (state *State) informed() bool {
	return state.catalog.Revision() > 0 && state.catalog.Routes().Version > 0
}

// isolated reports whether the instance has long received nothing from the store or another instance. Other instances
// then have a better basis for routing packets.
func (state *State) isolated() bool {
	return state.age() > _isolationTimeout && state.fleet.IsIsolated(state.now)
}

// age returns the time since the instance's state was last known to be the newest.
func (state *State) age() time.Duration {
	return state.now - state.reading.confirmedAt
}

// stableFor returns the time since the last store disruption.
func (state *State) stableFor() time.Duration {
	return state.now - state.reading.disruptedAt
}

// knownStableFor returns the time since the last store disruption to report to other instances, or a negative value
// soon after startup: a disruption that is only presumed is no reason for others to distrust missing registrations.
func (state *State) knownStableFor() time.Duration {
	stable := state.stableFor()
	if state.reading.disruptionPresumed && stable <= _settleTime {
		return -1
	}
	return stable
}

// allRegistered reports whether every live backend server has had the time to register since the last store disruption.
func (state *State) allRegistered() bool {
	return state.informed() && state.stableFor() > _settleTime
}

func (state *State) noteStaleness() {
	stale := state.informed() && state.age() > state.config.Limits.strictest()
	if stale == state.stale {
		return
	}
	state.stale = stale
	kind := NoteFresh
	if stale {
		kind = NoteStale
	}
	state.emit(Note{Kind: kind, Age: state.age(), Revision: state.catalog.Revision()})
}

// handleResumed adds the suspension to the age of the state, as the clock did not advance meanwhile, and ends all
// roles.
func (state *State) handleResumed(event Resumed) {
	state.emit(Note{Kind: NoteResumed, Age: event.Suspended})
	state.reading.confirmedAt -= event.Suspended
	state.reading.resumedAt, state.reading.suspended = state.now, event.Suspended
	state.noteDisruption()
	state.reading.failures, state.reading.retryAt = 0, 0
	state.reading.active, state.relaying.active = false, false
	state.relaying.connectedAt = state.now
	// Until another table is published, the traffic thread counts the age of its table without the suspension.
	state.publishing.changed = true
	state.fleet.ResetLastSeen()
	state.forgetDemand()
	if !state.reading.pending {
		state.listStore()
	}
}

func (state *State) handleStopping() {
	state.stopping = true
	state.sendUpdates(true)
	state.relaying.active, state.reading.active = false, false
	if state.registration.grant.Lease != 0 && !state.registration.ended {
		state.emit(Unregister{Grant: state.registration.grant})
	}
}

func (state *State) emit(effects ...Effect) {
	state.effects = append(state.effects, effects...)
}

func (state *State) takeEffects() []Effect {
	effects := state.effects
	state.effects = nil
	return effects
}

// View returns the state that an instance with the given known state lacks: only the changes if they are still kept,
// and the configuration if its version differs.
func (state *State) View(now time.Duration, stateID StateID) View {
	view := View{
		From:      state.config.Self,
		Revision:  state.catalog.Revision(),
		Version:   state.catalog.Routes().Version,
		Missing:   state.missingConfig(),
		Age:       now - state.reading.confirmedAt,
		StableFor: state.knownStableFor(),
		Source:    state.reading.source,
	}
	changes, ok := state.catalog.ChangesSince(stateID.Revision)
	if stateID.Revision > 0 && ok {
		view.Base, view.Entries = stateID.Revision, changes
	} else {
		view.Entries = state.catalog.Entries(now)
	}
	if stateID.Config != view.Version {
		view.Config = state.catalog.Routes()
	}
	return view
}

// interval returns the period in which changes that are learnt now must have happened.
func (state *State) interval() catalog.Interval {
	return catalog.Interval{Now: state.now, LastConfirmed: state.reading.confirmedAt}
}

// keepUntil returns until when a live backend server without a registration gets new flows. A registration that lapsed
// in an outage of the store returns soon, and the outage may be too short to be detected. A deliberate removal must
// take effect within the drain limit, counted from when the registration was last known to exist.
func (state *State) keepUntil(record *catalog.Record) time.Duration {
	until := record.LastPresent + min(_reregisterTime, portion(state.config.Limits.Drain, _keepFraction))
	if !state.allRegistered() {
		until = max(until, record.MissingSince+_settleTime)
	}
	return until
}

// condition returns the condition of a backend server according to probes, traffic and its registration.
func (state *State) condition(record *catalog.Record) steer.Condition {
	condition := state.detector.Condition(record.ID)
	if condition != steer.Usable {
		return condition
	}
	if record.State.Leaving() || record.Missing && state.now > state.keepUntil(record) {
		return steer.Leaving
	}
	return steer.Usable
}
