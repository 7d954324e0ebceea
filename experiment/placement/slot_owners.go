package placement

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"azureshift/bundle"
	"azureshift/core/epoch"
	"azureshift/core/flow"
	"azureshift/core/id"
	"azureshift/core/placement"
)

const (
	_tickInterval     = 100 * time.Millisecond
	_filterBuildDelay = time.Millisecond
	_viewChangeDelay  = 3 * time.Second
	_maxViewDelay     = 500 * time.Millisecond
	_stopDelay        = 5 * time.Second
)

// slotOwners is the strategy of core/placement. It runs the real reducers and flow tables over a simulated
// network with delay, loss and partitions.
type slotOwners struct {
	*simulation
	without        placement.Disabled
	nodes          []*node
	byName         map[id.Instance]*node
	views          []epoch.View
	cost           Cost
	bytesPerSecond map[int]map[int64]int
}

// node is one entry instance that runs core/placement.
type node struct {
	slotOwners *slotOwners
	index      int
	state      *placement.State
	path       *placement.Datapath
	hops       map[id.Flow]int
}

var _ Strategy = (*slotOwners)(nil)

func newSlotOwners(disabled placement.Disabled) *slotOwners {
	return &slotOwners{without: disabled, byName: map[id.Instance]*node{}, bytesPerSecond: map[int]map[int64]int{}}
}

func (slotOwners *slotOwners) Name() string { return "slot owners" }

func (slotOwners *slotOwners) Start(simulation *simulation) {
	slotOwners.simulation = simulation
	for _, domain := range simulation.workload.Domains {
		slotOwners.views = append(slotOwners.views, epoch.View{Domain: domain, Number: 1})
	}
	for _, instance := range simulation.instances {
		view := &slotOwners.views[instance.domain]
		view.Members = append(view.Members, instance.member)
	}
	for index := range simulation.instances {
		slotOwners.addNode(index)
	}
	for _, node := range slotOwners.nodes {
		node.learnMembership()
	}
}

func (slotOwners *slotOwners) addNode(index int) *node {
	member := slotOwners.instances[index].member
	node := &node{
		slotOwners: slotOwners,
		index:      index,
		state:      placement.New(placement.Config{Self: member, IdleTimeout: _flowIdle, Disabled: slotOwners.without}),
		path:       &placement.Datapath{Table: flow.NewTable(slotOwners.now)},
		hops:       map[id.Flow]int{},
	}
	slotOwners.nodes = append(slotOwners.nodes, node)
	slotOwners.byName[member.Instance] = node
	slotOwners.bytesPerSecond[index] = map[int64]int{}
	node.reduce(placement.BundleApplied{At: slotOwners.now, Bundle: slotOwners.bundle})
	slotOwners.after(slotOwners.jitter(0, _tickInterval), node.tick)
	slotOwners.after(_sendInterval, node.expire)
	return node
}

// learnMembership gives a new node the live members and the current views.
func (node *node) learnMembership() {
	slotOwners := node.slotOwners
	for index, other := range slotOwners.instances {
		if index != node.index && other.alive {
			node.reduce(placement.MemberUp{At: slotOwners.now, Member: other.member})
		}
	}
	for _, view := range slotOwners.views {
		node.reduce(placement.ViewChanged{At: slotOwners.now, View: view})
	}
}

func (node *node) alive() bool { return node.slotOwners.instances[node.index].alive }

func (node *node) tick() {
	if node.alive() {
		node.reduce(placement.Tick{At: node.slotOwners.now})
		node.slotOwners.after(_tickInterval, node.tick)
	}
}

func (node *node) expire() {
	if !node.alive() {
		return
	}
	if ended := node.path.Table.Expire(node.slotOwners.now.Add(-_flowIdle)); len(ended) > 0 {
		node.reduce(placement.FlowsExpired{At: node.slotOwners.now, Flows: ended})
	}
	node.slotOwners.after(_sendInterval, node.expire)
}

// schedule delivers an event to the node after a delay if the node is still alive then.
func (node *node) schedule(delay time.Duration, event func(at time.Time) placement.Event) {
	node.slotOwners.after(delay, func() {
		if node.alive() {
			node.reduce(event(node.slotOwners.now))
		}
	})
}

func (node *node) reduce(event placement.Event) {
	for _, effect := range node.state.Reduce(event) {
		node.apply(effect)
	}
}

func (node *node) apply(effect placement.Effect) {
	slotOwners := node.slotOwners
	switch effect := effect.(type) {
	case placement.Publish:
		node.path.Publish(effect.Snapshot)
	case placement.RequestFilters:
		slots := placement.BuildFilters(node.path.Table, effect)
		node.schedule(_filterBuildDelay, func(at time.Time) placement.Event {
			return placement.FiltersBuilt{At: at, Fence: effect.Fence, Slots: slots}
		})
	case placement.Place:
		target := node.path.Place(effect, slotOwners.now)
		if effect.HasRecord && target != effect.Target {
			node.schedule(0, func(at time.Time) placement.Event {
				return placement.FlowsExpired{At: at, Flows: []flow.Expired{{Flow: effect.Flow, Target: effect.Target}}}
			})
		}
		slotOwners.delivered(node.index, effect.Flow, node.path.Snapshot().Target(target).Name)
	case placement.Reassign:
		node.path.Reassign(effect, slotOwners.now)
	case placement.Forward:
		slotOwners.forward(node, effect.Member, effect.Service, effect.Flow, node.hops[effect.Flow])
	case placement.Send:
		node.send(effect)
	case placement.Count:
		slotOwners.addCount(effect)
	case placement.InvariantViolated:
		slotOwners.cost.Violations++
	case placement.LeaveCompleted:
		slotOwners.after(_stopDelay, func() { slotOwners.stopNode(node) })
	}
}

func (slotOwners *slotOwners) addCount(count placement.Count) {
	switch count.Counter {
	case placement.CountRecorded:
		slotOwners.cost.Records += count.Amount
	case placement.CountDeferred:
		slotOwners.cost.Held += count.Amount
	case placement.CountTakeover, placement.CountConflict, placement.CountOwnerUnreachable:
	}
}

// send transmits a message in its real encoding.
func (node *node) send(effect placement.Send) {
	slotOwners := node.slotOwners
	encoded, err := cbor.Marshal(effect.Message)
	if err != nil {
		panic(err)
	}
	slotOwners.cost.ControlBytes += len(encoded)
	slotOwners.bytesPerSecond[node.index][slotOwners.now.Unix()] += len(encoded)
	to := slotOwners.byName[effect.To.Instance]
	if slotOwners.random.Float64() < slotOwners.lossRate || !slotOwners.connected(node, to) {
		return
	}
	from := slotOwners.instances[node.index].member
	to.schedule(slotOwners.jitter(_minMessageDelay, _maxMessageDelay), func(at time.Time) placement.Event {
		var message placement.Message
		if err := cbor.Unmarshal(encoded, &message); err != nil {
			panic(err)
		}
		return placement.MessageReceived{At: at, From: from, Message: message}
	})
}

func (slotOwners *slotOwners) connected(left, right *node) bool {
	return slotOwners.reachable(slotOwners.instances[left.index].domain, slotOwners.instances[right.index].domain)
}

func (slotOwners *slotOwners) Deliver(instance, service int, flow id.Flow) {
	slotOwners.nodes[instance].route(service, flow, 0)
}

func (node *node) route(service int, flow id.Flow, hops int) {
	slotOwners := node.slotOwners
	decision := node.path.Route(service, flow, hops, slotOwners.now)
	switch decision.Action {
	case placement.ActionPlace:
		slotOwners.delivered(node.index, flow, node.path.Snapshot().Target(decision.Target).Name)
	case placement.ActionForward:
		slotOwners.forward(node, decision.Member, service, flow, hops)
	case placement.ActionDefer:
		node.hops[flow] = hops
		node.reduce(placement.FlowArrived{
			At: slotOwners.now, Service: service, Flow: flow, Hint: placement.HintNone, Hops: hops, Stale: decision.Stale,
		})
	case placement.ActionRefuse:
	}
}

func (slotOwners *slotOwners) forward(from *node, member id.Member, service int, flow id.Flow, hops int) {
	to := slotOwners.byName[member.Instance]
	if to.alive() && slotOwners.connected(from, to) {
		to.route(service, flow, hops+1)
	}
}

func (slotOwners *slotOwners) BundleRolled(rolled bundle.Bundle) {
	for _, node := range slotOwners.nodes {
		node.schedule(slotOwners.jitter(0, _maxRollDelay), func(at time.Time) placement.Event {
			return placement.BundleApplied{At: at, Bundle: rolled}
		})
	}
}

func (slotOwners *slotOwners) TargetChanged(target id.Target, alive bool) {
	for _, node := range slotOwners.nodes {
		node.targetChanged(target, alive)
	}
}

func (node *node) targetChanged(target id.Target, alive bool) {
	health := placement.HealthDown
	if alive {
		health = placement.HealthUp
	}
	service := node.slotOwners.workload.Services[0].Name
	for _, listed := range node.slotOwners.bundle.Services {
		for _, member := range listed.Targets {
			if member.Name == target {
				service = listed.Name
			}
		}
	}
	node.schedule(node.slotOwners.jitter(_minDetection, _maxDetection), func(at time.Time) placement.Event {
		return placement.TargetHealthObserved{At: at, Service: service, Target: target, Health: health}
	})
}

func (slotOwners *slotOwners) Cost() Cost {
	for index, node := range slotOwners.nodes {
		slotOwners.cost.Entries += node.path.Table.Len()
		for _, bytes := range slotOwners.bytesPerSecond[index] {
			slotOwners.cost.PeakBytes = max(slotOwners.cost.PeakBytes, bytes)
		}
	}
	return slotOwners.cost
}
