package placement

import (
	"cmp"
	"slices"
	"time"

	"azureshift/core/epoch"
	"azureshift/core/flow"
	"azureshift/core/id"
)

const (
	// _self is this instance's member number.
	_self                = 0
	_maintenanceInterval = 500 * time.Millisecond
)

// State is the control state of one entry instance. It is not safe for concurrent use.
type State struct {
	config       Config
	now          time.Time
	started      time.Time
	version      id.Version
	leaving      bool
	leftReported bool

	registry
	ownership
	outbox

	effects     []Effect
	slotQueries []SlotQuery
	fence       uint64
	// reviewedAt is when reviewSlots last ran.
	reviewedAt time.Time
	// maintainedAt is when maintainSlots last ran.
	maintainedAt time.Time
	reviewCount  int
	changed      changes
	// published is the latest snapshot.
	published *Snapshot
}

// changes tracks which parts of the snapshot have to be rebuilt.
type changes struct {
	owners  bool
	targets bool
	any     bool
}

// registry numbers services, targets, failure domains and members. Numbers are never reused.
type registry struct {
	services      []*service
	serviceByName map[id.Service]int
	targets       []target
	targetByKey   map[targetKey]flow.Target
	domains       []*domain
	domainByName  map[id.Domain]uint16
	members       []member
	memberByName  map[id.Instance]uint16
}

type targetKey struct {
	service id.Service
	target  id.Target
}

// target is a backend server and its state as this instance knows it.
type target struct {
	TargetIdentity
	service        int
	domain         uint16
	active         bool
	health         Health
	slowStartSince time.Time
	recordedFlows  int
}

type domain struct {
	name  id.Domain
	view  epoch.View
	pairs []pair
	// rankedMembers are the members from which the pairs were computed.
	rankedMembers []id.Member
}

// member is an entry instance. Until routableAt, unless that is zero, no partition is given to it.
type member struct {
	id.Member
	up         bool
	wasLost    bool
	routableAt time.Time
	lostAt     time.Time
}

// New returns the initial state of an instance.
func New(config Config) *State {
	state := &State{
		config: config.withDefaults(),
		registry: registry{
			serviceByName: map[id.Service]int{},
			targetByKey:   map[targetKey]flow.Target{},
			domainByName:  map[id.Domain]uint16{},
			memberByName:  map[id.Instance]uint16{},
		},
		ownership: newOwnership(),
		outbox:    outbox{pendingMessages: map[uint64]*pendingMessage{}},
	}
	state.members = []member{{Member: config.Self, up: true}}
	state.memberByName[config.Self.Instance] = _self
	state.tokens = float64(state.config.BurstBytes)
	return state
}

// Reduce applies one event and returns the effects to carry out, in order.
func (state *State) Reduce(event Event) []Effect {
	state.effects, state.slotQueries = nil, nil
	switch event := event.(type) {
	case BundleApplied:
		state.advanceTime(event.At)
		state.applyBundle(event.Bundle)
	case ViewChanged:
		state.advanceTime(event.At)
		state.changeView(event.View)
	case MemberUp:
		state.advanceTime(event.At)
		state.memberUp(event.Member)
	case MemberDown:
		state.advanceTime(event.At)
		state.memberDown(event.Member)
	case TargetHealthObserved:
		state.advanceTime(event.At)
		state.updateTargetHealth(event)
	case FlowArrived:
		state.advanceTime(event.At)
		state.handleArrival(event)
	case FlowsExpired:
		state.advanceTime(event.At)
		state.removeEndedRecords(event.Flows)
	case FiltersBuilt:
		state.advanceTime(event.At)
		state.installFilters(event)
	case MessageReceived:
		state.advanceTime(event.At)
		state.receiveMessage(event.From, event.Message)
	case Leave:
		state.advanceTime(event.At)
		state.leaving = true
	case Tick:
		state.advanceTime(event.At)
		state.tick()
	}
	return state.finishReduce()
}

// finishReduce sends what is due and returns the effects with the new snapshot first, so that the others are carried
// out when traffic threads already read the snapshot that they belong to.
func (state *State) finishReduce() []Effect {
	state.sendRequests()
	state.sendQueued()
	state.reportLeft()
	var leading []Effect
	if len(state.slotQueries) > 0 {
		state.fence++
		state.changed.any = true
	}
	if snapshot := state.snapshot(); snapshot != nil {
		leading = append(leading, Publish{Snapshot: snapshot})
	}
	if len(state.slotQueries) > 0 {
		leading = append(leading, RequestFilters{Fence: state.fence, Slots: state.slotQueries})
	}
	return append(leading, state.effects...)
}

// advanceTime sets the current time; it never moves backwards.
func (state *State) advanceTime(at time.Time) {
	if state.started.IsZero() {
		state.started, state.tokensRefilledAt, state.reviewedAt = at, at, at
	}
	if at.After(state.now) {
		state.now = at
	}
}

func (state *State) emit(effect Effect) {
	state.effects = append(state.effects, effect)
}

func (state *State) count(counter Counter, amount int) {
	state.emit(Count{Counter: counter, Amount: amount})
}

// tick runs the timers that are due.
func (state *State) tick() {
	state.endRoutingDelays()
	state.expireReleaseDeadlines()
	state.endSlowStarts()
	state.resendUnacknowledged()
	if state.now.Sub(state.maintainedAt) >= _maintenanceInterval {
		state.maintainSlots()
	}
	if state.now.Sub(state.reviewedAt) >= state.config.IdleTimeout {
		state.reviewedAt = state.now
		state.reviewSlots()
	}
}

func (registry *registry) domainIndex(name id.Domain) uint16 {
	index, known := registry.domainByName[name]
	if !known {
		index = uint16(len(registry.domains))
		registry.domainByName[name] = index
		registry.domains = append(registry.domains, &domain{name: name, pairs: unownedPairs()})
	}
	return index
}

func (registry *registry) memberIndex(identity id.Member) uint16 {
	index, known := registry.memberByName[identity.Instance]
	if !known {
		index = uint16(len(registry.members))
		registry.memberByName[identity.Instance] = index
		registry.members = append(registry.members, member{Member: identity})
	}
	if known := &registry.members[index]; identity.Incarnation > known.Incarnation {
		*known = member{Member: identity}
	}
	return index
}

func (registry *registry) targetIndex(service int, identity TargetIdentity) flow.Target {
	key := targetKey{service: registry.services[service].name, target: identity.Name}
	index, known := registry.targetByKey[key]
	if !known {
		index = flow.Target(len(registry.targets))
		registry.targetByKey[key] = index
		domain := registry.domainIndex(identity.Domain)
		added := target{TargetIdentity: identity, service: service, domain: domain, health: HealthUp}
		registry.targets = append(registry.targets, added)
	}
	return index
}

func (registry *registry) serviceIndex(name id.Service) int {
	index, known := registry.serviceByName[name]
	if !known {
		index = len(registry.services)
		registry.serviceByName[name] = index
		registry.services = append(registry.services, &service{index: index, name: name, slots: map[id.Slot]*slotState{}})
	}
	return index
}

func sortedKeys[K comparable, V any](values map[K]V, compare func(left, right K) int) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compare)
	return keys
}

func comparePartitions(left, right partitionKey) int {
	return cmp.Or(cmp.Compare(left.domain, right.domain), cmp.Compare(left.partition, right.partition))
}
