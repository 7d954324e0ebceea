package request

import (
	"cmp"
	"slices"
	"time"

	"azureshift/core/epoch"
	"azureshift/core/id"
)

// State holds the requests of one entry instance. It is not safe for concurrent use.
type State struct {
	config        Config
	now           time.Time
	view          epoch.View
	history       []epoch.View
	remoteViews   map[id.Domain]epoch.View
	viewChangedAt time.Time
	fence         fence
	down          map[id.Member]bool
	pools         map[id.Service]*pool
	shards        map[id.Shard]*shard
	sortedShards  []*shard
	attempts      map[uint64]*entry
	answerCache   answerCache
	lastAttempt   uint64
	leaving       bool
	left          bool
	leaveDeadline time.Time
	violations    map[Invariant]uint64
	effects       []Effect
}

// New returns the state of an instance that knows no view and no targets yet.
func New(config Config) *State {
	return &State{
		config:      config,
		fence:       newFence(),
		down:        make(map[id.Member]bool),
		pools:       make(map[id.Service]*pool),
		remoteViews: make(map[id.Domain]epoch.View),
		shards:      make(map[id.Shard]*shard),
		attempts:    make(map[uint64]*entry),
		violations:  make(map[Invariant]uint64),
	}
}

// Reduce applies one event and returns the effects to carry out. The slice is valid until the next call.
func (state *State) Reduce(event Event) []Effect {
	state.effects = state.effects[:0]
	state.advance(event.event())
	switch event := event.(type) {
	case Arrived:
		state.handleArrival(event)
	case TargetReplied:
		state.handleTargetReply(event)
	case MessageReceived:
		state.handleMessage(event.From, event.Message)
	case ViewChanged:
		state.changeView(event)
	case MemberDown:
		state.handleMemberDown(event.Member)
	case MemberUp:
		state.handleMemberUp(event.Member)
	case MemberGone:
		state.fence.gone[event.Member] = true
	case Heartbeat:
		state.handleHeartbeat(event)
	case TargetsChanged:
		state.changeTargets(event)
	case LoadReported:
		state.recordLoad(event)
	case Cancelled:
		state.cancel(event.Key)
	case Leave:
		state.startLeaving()
	case Tick:
		state.tick()
	}
	return state.effects
}

func (state *State) advance(at time.Time) {
	if at.Before(state.now) {
		at = state.now
	}
	state.fence.detectPause(state.now, at, state.config)
	state.now = at
}

func (state *State) handleMessage(from id.Member, message Message) {
	switch message := message.(type) {
	case Replicate:
		state.handleReplicate(from, message)
	case ReplicateAck:
		state.handleReplicateAck(from, message)
	case ReplicateReject:
		state.handleReplicateReject(from, message)
	case Sync:
		state.handleSync(from, message)
	case SyncAck:
		state.handleSyncAck(from, message)
	case SealRequest:
		state.handleSealRequest(from, message)
	case SealAck:
		state.handleSealAck(from, message)
	case ReportRequest:
		state.handleReportRequest(from, message)
	case Report:
		state.handleReport(from, message)
	case HandOver:
		state.handleHandOver(from, message)
	case ForwardedOutcome:
		state.handleForwardedOutcome(message)
	case SlotRequest:
		state.handleSlotRequest(from, message)
	case SlotGrant:
		state.handleSlotGrant(from, message)
	case SlotUsed:
		state.handleSlotUsed(message)
	case SlotReturn:
		state.handleSlotReturn(message)
	}
}

func (state *State) emit(effect Effect) {
	state.effects = append(state.effects, effect)
}

func (state *State) send(to id.Member, message Message) {
	state.emit(Send{To: to, Message: message})
}

func (state *State) count(counter Counter) {
	state.emit(Count{Counter: counter})
}

// shard returns the shard of a service in this instance's failure domain.
func (state *State) shard(service id.Service) *shard {
	name := id.Shard{Service: service, Domain: state.config.Domain}
	found, ok := state.shards[name]
	if ok {
		return found
	}
	created := newShard(name, state.pool(service), &state.answerCache)
	state.shards[name] = created
	at, _ := slices.BinarySearchFunc(state.sortedShards, created, compareShards)
	state.sortedShards = slices.Insert(state.sortedShards, at, created)
	if len(state.view.Members) > 0 {
		state.assignRole(created)
	}
	return created
}

func compareShards(left, right *shard) int {
	return cmp.Compare(left.name.Service, right.name.Service)
}

func (state *State) tick() {
	for _, shard := range state.sortedShards {
		state.tickTakeover(shard)
		state.tickJournal(shard)
		state.tickSync(shard)
		state.tickSeal(shard)
		state.expireHolds(shard.pool)
		state.tickLending(shard)
		state.tickPending(shard)
		state.expireRecords(shard)
		state.dispatchQueued(shard)
	}
	state.answerCache.trim()
	state.tickLeave()
}
