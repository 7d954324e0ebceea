package core

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"azureshift/bundle"
	"azureshift/core/epoch"
	"azureshift/core/gossip"
	"azureshift/core/health"
	"azureshift/core/id"
	"azureshift/core/placement"
)

const _targetPrefix = "Targets/"

// WatchedTarget is a target whose health page this instance polls.
type WatchedTarget struct {
	health.Target
	Health netip.AddrPort
}

// targetReport is the gossip value with which the watchers of a shard's targets report which of them are down.
type targetReport struct {
	Shard id.Shard    `cbor:"1,keyasint"`
	Down  []id.Target `cbor:"2,keyasint"`
}

func (state *State) reduceTargets(event health.Event) {
	for _, change := range state.targets.Reduce(event) {
		state.emit(TargetChanged{change})
		observed := placement.HealthUp
		if change.Condition == health.ConditionDown {
			observed = placement.HealthDown
		}
		state.push(FlowEvent{placement.TargetHealthObserved{
			At: state.now, Service: change.Target.Service, Target: change.Target.Name, Health: observed,
		}})
		if service, ok := state.services[change.Target.Service]; ok {
			state.updateRequestTargets(service.Service)
			state.publishTargetReport(service.Service, change)
		}
	}
}

// emitWatch emits the list of targets that this instance watches: those of the shards of which it is the owner or
// the runner-up. So the number of instances that poll a health page does not grow with the fleet.
func (state *State) emitWatch() {
	var watched []WatchedTarget
	state.watched = make(map[health.Target]bool)
	for _, service := range state.bundle.Services {
		for _, target := range service.Targets {
			if !state.isWatcherOf(id.Shard{Service: service.Name, Domain: target.Domain}) {
				continue
			}
			healthTarget := health.Target{Service: service.Name, Name: target.Name}
			state.watched[healthTarget] = true
			watched = append(watched, WatchedTarget{Target: healthTarget, Health: target.Health})
		}
	}
	state.emit(WatchTargets{Targets: watched})
}

func (state *State) isWatcherOf(shard id.Shard) bool {
	if shard.Domain != state.config.Domain {
		return false
	}
	pair := state.views[shard.Domain].Pair(epoch.HashShard(shard))
	return pair.Owner == state.config.Self || pair.RunnerUp == state.config.Self
}

// publishTargetReport gossips which targets of a shard are down, if this instance watches them and the change comes
// from its own observation.
func (state *State) publishTargetReport(service bundle.Service, change health.Change) {
	if !change.Observed || !state.watched[change.Target] {
		return
	}
	domain := domainOf(service, change.Target.Name)
	report := targetReport{Shard: id.Shard{Service: service.Name, Domain: domain}}
	for _, target := range service.Targets {
		healthTarget := health.Target{Service: service.Name, Name: target.Name}
		if target.Domain == domain && state.targets.Condition(healthTarget) == health.ConditionDown {
			report.Down = append(report.Down, target.Name)
		}
	}
	key := gossip.Key(_targetPrefix + string(service.Name) + "/" + string(domain))
	current, _ := state.gossip.Get(key)
	data, err := cbor.Marshal(report)
	if err != nil {
		return
	}
	state.push(GossipEvent{gossip.SetValue{
		At: state.now, Value: gossip.Value{Key: key, Version: current.Version + 1, Data: data},
	}})
}

// applyTargetReport applies a report by the watchers of a shard's targets. Reports of two watchers may have the same
// version; the next change resolves that, and an instance's own observations take precedence over reports anyway.
func (state *State) applyTargetReport(value gossip.Value) {
	var report targetReport
	if err := cbor.Unmarshal(value.Data, &report); err != nil {
		state.count("gossip: target report refused", 1)
		return
	}
	if !strings.HasSuffix(string(value.Key), string(report.Shard.Service)+"/"+string(report.Shard.Domain)) {
		state.count("gossip: target report refused", 1)
		return
	}
	service, ok := state.services[report.Shard.Service]
	if !ok {
		return
	}
	for _, target := range service.Targets {
		healthTarget := health.Target{Service: service.Name, Name: target.Name}
		if target.Domain != report.Shard.Domain || state.watched[healthTarget] {
			continue
		}
		condition := health.ConditionUp
		if slices.Contains(report.Down, target.Name) {
			condition = health.ConditionDown
		}
		state.push(TargetEvent{health.PeerReported{At: state.now, Target: healthTarget, Condition: condition}})
	}
}

func domainOf(service bundle.Service, name id.Target) id.Domain {
	for _, target := range service.Targets {
		if target.Name == name {
			return target.Domain
		}
	}
	return ""
}
