// Package health detects failed targets from the traffic of this instance. Health checks and reports of other instances
// may be late or wrong, and count only without recent answers.
package health

import (
	"cmp"
	"slices"
	"time"

	"azureshift/core/id"
)

// Condition is the health of a target.
type Condition uint8

const (
	// ConditionUp is a target that answers.
	ConditionUp Condition = iota + 1
	// ConditionDown is a target that does not answer.
	ConditionDown
)

// Target identifies a target of a service.
type Target struct {
	Service id.Service
	Name    id.Target
}

// Config holds the limits of the failure detector.
type Config struct {
	// AnswerTimeout is how long messages to a target may stay unanswered.
	AnswerTimeout time.Duration
	// UnansweredMessages is the number of unanswered messages from which AnswerTimeout applies.
	UnansweredMessages int
	// FailedChecks is the number of consecutive failed health checks after which a target without recent answers is down.
	FailedChecks int
	// EvidenceTTL is how long an answer outweighs health checks and reports of other instances.
	EvidenceTTL time.Duration
	// Probation is how long a target that is down for unanswered messages stays down although its health checks succeed.
	Probation time.Duration
}

// Event is an input of Reduce.
type Event interface{ event() }

// MessagesSent says that messages that require an answer were sent to a target.
type MessagesSent struct {
	At     time.Time
	Target Target
	Count  int
}

// MessageReceived says that a target sent a message.
type MessageReceived struct {
	At     time.Time
	Target Target
}

// CheckCompleted is the result of a health check of a target.
type CheckCompleted struct {
	At     time.Time
	Target Target
	// Succeeded says that the health page was read, whatever its content.
	Succeeded bool
}

// PeerReported is the condition of a target as reported by another instance. It counts only if this instance has no
// recent answer.
type PeerReported struct {
	At        time.Time
	Target    Target
	Condition Condition
}

// RemoveTarget removes a target that is no longer in the bundle.
type RemoveTarget struct{ Target Target }

// Tick advances the time.
type Tick struct{ At time.Time }

func (MessagesSent) event()    {}
func (MessageReceived) event() {}
func (CheckCompleted) event()  {}
func (PeerReported) event()    {}
func (RemoveTarget) event()    {}
func (Tick) event()            {}

var (
	_ Event = MessagesSent{}
	_ Event = MessageReceived{}
	_ Event = CheckCompleted{}
	_ Event = PeerReported{}
	_ Event = RemoveTarget{}
	_ Event = Tick{}
)

// Change is a change of a target's condition.
type Change struct {
	Target    Target
	Condition Condition
	// Observed says that the change is based on this instance's own evidence, not on another instance's report.
	Observed bool
}

// State holds the condition of each target. It is not safe for concurrent use.
type State struct {
	config  Config
	targets map[Target]*record
}

// record holds the evidence on one target.
type record struct {
	condition    Condition
	lastReceived time.Time
	silentSince  time.Time
	downSince    time.Time
	unanswered   int
	failedChecks int
}

// DefaultConfig returns the default limits.
func DefaultConfig() Config {
	return Config{
		AnswerTimeout:      1500 * time.Millisecond,
		UnansweredMessages: 3,
		FailedChecks:       3,
		EvidenceTTL:        5 * time.Second,
		Probation:          10 * time.Second,
	}
}

// New returns a state in which every target is up.
func New(config Config) *State {
	return &State{config: config, targets: make(map[Target]*record)}
}

// Reduce applies an event and returns the resulting changes.
func (state *State) Reduce(event Event) []Change {
	switch event := event.(type) {
	case MessagesSent:
		state.handleMessagesSent(event)
	case MessageReceived:
		return state.handleMessageReceived(event)
	case CheckCompleted:
		return state.handleCheckCompleted(event)
	case PeerReported:
		return state.handlePeerReported(event)
	case RemoveTarget:
		delete(state.targets, event.Target)
	case Tick:
		return state.tick(event.At)
	}
	return nil
}

// Condition returns the condition of a target; an unknown one is up.
func (state *State) Condition(target Target) Condition {
	if found, ok := state.targets[target]; ok {
		return found.condition
	}
	return ConditionUp
}

func (state *State) handleMessagesSent(event MessagesSent) {
	record := state.record(event.Target)
	if record.unanswered == 0 {
		record.silentSince = event.At
	}
	record.unanswered += event.Count
}

func (state *State) handleMessageReceived(event MessageReceived) []Change {
	record := state.record(event.Target)
	record.lastReceived = event.At
	record.unanswered = 0
	record.failedChecks = 0
	return record.setCondition(event.Target, ConditionUp, true)
}

func (state *State) handleCheckCompleted(event CheckCompleted) []Change {
	record := state.record(event.Target)
	if event.Succeeded {
		return state.reached(event, record)
	}
	record.failedChecks++
	if record.failedChecks < state.config.FailedChecks || event.At.Sub(record.lastReceived) < state.config.EvidenceTTL {
		return nil
	}
	record.downSince = event.At
	return record.setCondition(event.Target, ConditionDown, true)
}

// reached handles a successful health check. A target that is down for unanswered messages is up only after its
// probation, so that one that serves its health page but drops messages does not flap.
func (state *State) reached(event CheckCompleted, record *record) []Change {
	record.failedChecks = 0
	if record.unanswered > 0 && event.At.Sub(record.downSince) < state.config.Probation {
		return nil
	}
	if record.condition == ConditionDown {
		record.unanswered = 0
	}
	return record.setCondition(event.Target, ConditionUp, true)
}

func (state *State) handlePeerReported(event PeerReported) []Change {
	record := state.record(event.Target)
	if event.At.Sub(record.lastReceived) < state.config.EvidenceTTL {
		return nil
	}
	return record.setCondition(event.Target, event.Condition, false)
}

func (state *State) tick(at time.Time) []Change {
	var changes []Change
	for target, record := range state.targets {
		if record.unanswered < state.config.UnansweredMessages || at.Sub(record.silentSince) < state.config.AnswerTimeout {
			continue
		}
		if record.condition == ConditionUp {
			record.downSince = at
		}
		changes = append(changes, record.setCondition(target, ConditionDown, true)...)
	}
	slices.SortFunc(changes, func(left, right Change) int {
		return cmp.Or(
			cmp.Compare(left.Target.Service, right.Target.Service),
			cmp.Compare(left.Target.Name, right.Target.Name),
		)
	})
	return changes
}

func (state *State) record(target Target) *record {
	found, ok := state.targets[target]
	if !ok {
		found = &record{condition: ConditionUp}
		state.targets[target] = found
	}
	return found
}

func (record *record) setCondition(target Target, condition Condition, seen bool) []Change {
	if record.condition == condition {
		return nil
	}
	record.condition = condition
	return []Change{{Target: target, Condition: condition, Observed: seen}}
}
