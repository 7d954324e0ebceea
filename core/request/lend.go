package request

import (
	"time"

	"azureshift/core/epoch"
	"azureshift/core/id"
)

const (
	// _slotRequestTTL is how long a lender keeps a slot request.
	_slotRequestTTL = 100 * time.Millisecond
	// _slotRequestInterval is the least time between two slot requests of a shard.
	_slotRequestInterval = 5 * time.Millisecond
	// _slotRequestWait is how long the head of the queue waits before its shard requests slots, and
	// _lendLatencyMargin how much longer than the lender's own head it must have waited to get one. Both are
	// multiples of the mean latency, as a slot is idle while it is handed over. _lendWaitMargin is the same margin
	// as a multiple of the wait of the lender's own head; the greater margin counts.
	_slotRequestWait   = 0.5
	_lendLatencyMargin = 1
	_lendWaitMargin    = 0.5
	// _maxSlotsPerRequest bounds the slots of one slot request.
	_maxSlotsPerRequest = 16
	// _unusedGrantTTL is how long a slot stays lent without a report that it is used.
	_unusedGrantTTL = 500 * time.Millisecond
)

// SlotRequest asks the owner of another failure domain's shard of the same service for slots. OldestWait is how long
// the head of the borrower's queue has waited.
type SlotRequest struct {
	Shard      id.Shard      `cbor:"1,keyasint"`
	Borrower   id.Shard      `cbor:"2,keyasint"`
	Slots      int           `cbor:"3,keyasint"`
	OldestWait time.Duration `cbor:"4,keyasint"`
}

// SlotGrant lends one slot for one request.
type SlotGrant struct {
	Shard    id.Shard  `cbor:"1,keyasint"`
	Borrower id.Shard  `cbor:"2,keyasint"`
	Lease    uint64    `cbor:"3,keyasint"`
	Target   id.Target `cbor:"4,keyasint"`
}

// SlotUsed says that a request uses a lent slot.
type SlotUsed struct {
	Shard id.Shard `cbor:"1,keyasint"`
	Lease uint64   `cbor:"2,keyasint"`
}

// SlotReturn gives a lent slot back, used or not.
type SlotReturn struct {
	Shard id.Shard `cbor:"1,keyasint"`
	Lease uint64   `cbor:"2,keyasint"`
}

func (SlotRequest) message() {}
func (SlotGrant) message()   {}
func (SlotUsed) message()    {}
func (SlotReturn) message()  {}

var (
	_ Message = SlotRequest{}
	_ Message = SlotGrant{}
	_ Message = SlotUsed{}
	_ Message = SlotReturn{}
)

// loan is a slot that this instance has borrowed.
type loan struct {
	lender id.Member
	shard  id.Shard
	lease  uint64
}

// slotRequest is the open request of a borrower for slots.
type slotRequest struct {
	from         id.Member
	borrower     id.Shard
	slots        int
	waitingSince time.Time
	expires      time.Time
}

// lending is the state of a shard both as a borrower and as a lender of slots.
type lending struct {
	requestedAt time.Time
	requests    []slotRequest
	lastLease   uint64
	leases      map[uint64]*hold
}

// requestSlots requests slots from the other shards of the service while the head of the queue waits.
func (state *State) requestSlots(shard *shard, head *entry) {
	waited := state.now.Sub(head.pending.arrived)
	tooEarly := waited < scale(_slotRequestWait, shard.pool.latency)
	interval := max(_slotRequestInterval, scale(_slotRequestWait, shard.pool.latency))
	if state.config.Disabled.Lending || tooEarly || state.now.Sub(shard.lending.requestedAt) < interval {
		return
	}
	shard.lending.requestedAt = state.now
	for _, domain := range shard.pool.otherDomains {
		name := id.Shard{Service: shard.name.Service, Domain: domain}
		owner := state.remoteViews[domain].Pair(epoch.HashShard(name)).Owner
		if owner.Instance == "" {
			continue
		}
		state.send(owner, SlotRequest{
			Shard:      name,
			Borrower:   shard.name,
			Slots:      min(_maxSlotsPerRequest, shard.queue.length),
			OldestWait: waited,
		})
	}
}

func (state *State) handleSlotRequest(from id.Member, message SlotRequest) {
	shard, ok := state.shards[message.Shard]
	if !ok || shard.role != roleOwner || !shard.ready {
		return
	}
	request := slotRequest{
		from:         from,
		borrower:     message.Borrower,
		slots:        min(_maxSlotsPerRequest, message.Slots),
		waitingSince: state.now.Add(-message.OldestWait),
		expires:      state.now.Add(_slotRequestTTL),
	}
	for index, known := range shard.lending.requests {
		if known.borrower == message.Borrower {
			shard.lending.requests[index] = request
			state.dispatchQueued(shard)
			return
		}
	}
	shard.lending.requests = append(shard.lending.requests, request)
	state.dispatchQueued(shard)
}

// lend grants a free slot to a borrower whose head has waited longer than the head of this shard's queue, and
// reports whether it did.
func (state *State) lend(shard *shard, head *entry) bool {
	chosen := state.oldestSlotRequest(shard)
	if chosen == nil {
		return false
	}
	if head != nil && !state.shouldLend(shard, chosen, head) {
		return false
	}
	target := shard.pool.pick(nil, state.now)
	if target == nil {
		return false
	}
	lending := &shard.lending
	if lending.leases == nil {
		lending.leases = make(map[uint64]*hold)
	}
	lending.lastLease++
	lending.leases[lending.lastLease] = state.placeHold(shard.pool, target, _unusedGrantTTL)
	chosen.waitingSince = chosen.waitingSince.Add(state.now.Sub(chosen.waitingSince) / time.Duration(chosen.slots))
	chosen.slots--
	state.send(chosen.from, SlotGrant{
		Shard: shard.name, Borrower: chosen.borrower, Lease: lending.lastLease, Target: target.name,
	})
	return true
}

// shouldLend reports whether a borrower's head has waited so much longer than this shard's that it is worth the time
// for which the slot is idle while it is handed over. If all shards are overloaded, it is not.
func (state *State) shouldLend(shard *shard, slotRequest *slotRequest, head *entry) bool {
	ownWait := state.now.Sub(head.pending.arrived)
	margin := max(scale(_lendLatencyMargin, shard.pool.latency), scale(_lendWaitMargin, ownWait))
	return state.now.Sub(slotRequest.waitingSince) > ownWait+margin
}

func scale(factor float64, duration time.Duration) time.Duration {
	return time.Duration(factor * float64(duration))
}

func (state *State) oldestSlotRequest(shard *shard) *slotRequest {
	var oldest *slotRequest
	for index := range shard.lending.requests {
		candidate := &shard.lending.requests[index]
		if candidate.slots == 0 || !state.now.Before(candidate.expires) {
			continue
		}
		if oldest == nil || candidate.waitingSince.Before(oldest.waitingSince) {
			oldest = candidate
		}
	}
	return oldest
}

// handleSlotGrant dispatches the head of the queue to the lent slot. It returns the slot if there is no such request.
func (state *State) handleSlotGrant(from id.Member, message SlotGrant) {
	shard, ok := state.shards[message.Borrower]
	if !ok {
		return
	}
	entry := shard.queue.next(shard.serves() && state.hasQuorumLease())
	if entry == nil {
		state.send(from, SlotReturn{Shard: message.Shard, Lease: message.Lease})
		return
	}
	lent := &target{
		name: message.Target, slots: 1, allowedSlots: 1,
		loan: &loan{lender: from, shard: message.Shard, lease: message.Lease},
	}
	state.send(from, SlotUsed{Shard: message.Shard, Lease: message.Lease})
	state.dispatch(shard, entry, lent)
}

func (state *State) returnLoan(loan *loan) {
	if loan != nil {
		state.send(loan.lender, SlotReturn{Shard: loan.shard, Lease: loan.lease})
	}
}

func (state *State) handleSlotUsed(message SlotUsed) {
	shard, ok := state.shards[message.Shard]
	if !ok {
		return
	}
	if hold, ok := shard.lending.leases[message.Lease]; ok {
		hold.expires = state.now.Add(state.config.AttemptTimeout)
	}
}

func (state *State) handleSlotReturn(message SlotReturn) {
	shard, ok := state.shards[message.Shard]
	if !ok {
		return
	}
	shard.lending.leases[message.Lease].release()
	delete(shard.lending.leases, message.Lease)
	state.dispatchQueued(shard)
}

func (state *State) tickLending(shard *shard) {
	for lease, hold := range shard.lending.leases {
		if hold.released || !state.now.Before(hold.expires) {
			hold.release()
			delete(shard.lending.leases, lease)
		}
	}
}
