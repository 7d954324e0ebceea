package capacity

import (
	"math/rand/v2"
	"slices"
	"time"

	"azureshift/bundle"
	"azureshift/core"
	"azureshift/core/epoch"
	"azureshift/core/flow"
	"azureshift/core/gossip"
	"azureshift/core/id"
	"azureshift/core/membership"
	"azureshift/core/placement"
	"azureshift/core/rollout"
)

// instance drives the control state of the fleet's first member. The other members answer its probes and probe it as
// often. It keeps the newest routes and snapshot, as the daemon does.
type instance struct {
	fleet     *fleet
	state     *core.State
	flowTable *flow.Table
	now       time.Time
	// reduceTime is the total time spent in Reduce.
	reduceTime time.Duration
	// silentDomain is a failure domain whose members answer no probes.
	silentDomain    id.Domain
	routes          *core.Routes
	snapshot        *placement.Snapshot
	rerouted        bool
	pending         []core.Event
	recordByAddress map[string]membership.Record
}

func newInstance(fleet *fleet) *instance {
	self := fleet.members[0]
	config := core.DefaultConfig(self.Member, self.Domain, self.Address)
	config.Random = rand.New(rand.NewPCG(1, 1))
	config.Verifier = fleet.keyRing
	instance := &instance{
		fleet:           fleet,
		state:           core.New(config),
		flowTable:       flow.NewTable(time.Unix(1_000_000, 0)),
		now:             time.Unix(1_000_000, 0),
		recordByAddress: make(map[string]membership.Record, len(fleet.members)),
	}
	for _, record := range fleet.members {
		instance.recordByAddress[record.Address.String()] = record
	}
	return instance
}

// bootstrap feeds all members, all views and the bundle to the instance and runs it for _settleTicks.
func (instance *instance) bootstrap() error {
	instance.tick()
	instance.receiveRecords(membership.Push, instance.fleet.members[1:]...)
	for _, view := range instance.fleet.views {
		if err := instance.receiveView(view); err != nil {
			return err
		}
	}
	if err := instance.rollBundle(); err != nil {
		return err
	}
	for range _settleTicks {
		instance.tick()
	}
	return nil
}

// tick advances the time by one tick interval.
func (instance *instance) tick() {
	instance.now = instance.now.Add(core.TickInterval)
	instance.reduce(core.Tick{At: instance.now})
}

// receiveRecords delivers member records in a message from the last member of the fleet.
func (instance *instance) receiveRecords(kind membership.Kind, records ...membership.Record) {
	sender := instance.fleet.members[len(instance.fleet.members)-1]
	instance.reduce(core.MessageReceived{
		At: instance.now, From: sender.Member, Source: sender.Address,
		Message: membership.Message{Kind: kind, Sender: sender, Records: records},
	})
}

// receiveView delivers a view by gossip.
func (instance *instance) receiveView(view epoch.View) error {
	value, err := gossipValue(view)
	if err == nil {
		instance.reduce(core.GossipEvent{Event: gossip.SetValue{At: instance.now, Value: value}})
	}
	return err
}

// rollBundle delivers the head of the current bundle and then each part that the instance fetches.
func (instance *instance) rollBundle() error {
	head, parts, err := instance.fleet.sign()
	if err != nil {
		return err
	}
	respond := func(effect core.Effect) core.Event {
		wrapped, ok := effect.(core.BundleEffect)
		if !ok {
			return nil
		}
		part, ok := wrapped.Effect.(rollout.FetchPart)
		if !ok {
			return nil
		}
		return core.RolloutEvent{Event: rollout.PartReceived{
			At: instance.now, Hash: part.Hash, Bytes: slices.Clone(parts[part.Hash]),
		}}
	}
	seen := rollout.HeadReceived{At: instance.now, Head: cloneHead(head), From: rollout.Platform}
	instance.reduceAll(core.RolloutEvent{Event: seen}, respond)
	return nil
}

func cloneHead(head bundle.Head) bundle.Head {
	head.Parts = slices.Clone(head.Parts)
	return head
}

func (instance *instance) reduce(event core.Event) {
	instance.reduceAll(event, func(core.Effect) core.Event { return nil })
}

// reduceAll reduces an event and all events that follow from its effects. Only the time in Reduce is counted.
func (instance *instance) reduceAll(event core.Event, respond func(core.Effect) core.Event) {
	instance.pending = append(instance.pending[:0], event)
	for len(instance.pending) > 0 {
		next := instance.pending[0]
		instance.pending = instance.pending[1:]
		start := time.Now()
		effects := instance.state.Reduce(next)
		instance.reduceTime += time.Since(start)
		for _, effect := range effects {
			instance.applyEffect(effect)
			if response := respond(effect); response != nil {
				instance.pending = append(instance.pending, response)
			}
		}
	}
}

func (instance *instance) applyEffect(effect core.Effect) {
	switch effect := effect.(type) {
	case core.PublishRoutes:
		instance.routes, instance.rerouted = effect.Routes, true
	case core.Send:
		instance.answerProbe(effect)
	case core.FlowEffect:
		instance.applyFlowEffect(effect.Effect)
	}
}

func (instance *instance) applyFlowEffect(effect placement.Effect) {
	switch effect := effect.(type) {
	case placement.Publish:
		instance.snapshot = effect.Snapshot
	case placement.RequestFilters:
		slots := placement.BuildFilters(instance.flowTable, effect)
		built := placement.FiltersBuilt{At: instance.now, Fence: effect.Fence, Slots: slots}
		instance.pending = append(instance.pending, core.FlowEvent{Event: built})
	}
}

// answerProbe acknowledges a probe and probes back. Messages about flows and requests go unanswered: their
// retransmissions make the measured idle time an upper bound.
func (instance *instance) answerProbe(send core.Send) {
	probe, ok := send.Message.(membership.Message)
	record, known := instance.recordByAddress[send.Address.String()]
	if !ok || !known || probe.Kind != membership.Probe || record.Domain == instance.silentDomain {
		return
	}
	ack := membership.Message{Sender: record, Epoch: 1, MemberDigest: probe.MemberDigest, ValueDigest: probe.ValueDigest}
	for _, kind := range []membership.Kind{membership.Ack, membership.Probe} {
		ack.Kind = kind
		ack.Sequence = probe.Sequence
		instance.pending = append(instance.pending, core.MessageReceived{
			At: instance.now, From: record.Member, Source: record.Address, Message: ack,
		})
	}
}
