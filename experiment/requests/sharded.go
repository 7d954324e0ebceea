package requests

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"azureshift/core/epoch"
	"azureshift/core/id"
	"azureshift/core/request"
)

const (
	_tickInterval    = 10 * time.Millisecond
	_contactInterval = 500 * time.Millisecond
)

// shardedEntry is an entry instance that runs core/request.
type shardedEntry struct {
	simulation *simulation
	fleet      *fleet
	member     id.Member
	domain     id.Domain
	state      *request.State
}

// fleet holds all entry instances of a sharded simulation.
type fleet struct {
	simulation *simulation
	views      map[id.Domain]epoch.View
	slots      []request.DomainSlots
	entries    map[id.Member]*shardedEntry
	ordered    []*shardedEntry
	jobs       map[request.Key]*job
	byName     map[id.Target]*target
}

func newFleet(simulation *simulation) *fleet {
	fleet := &fleet{
		simulation: simulation,
		views:      make(map[id.Domain]epoch.View),
		entries:    make(map[id.Member]*shardedEntry),
		jobs:       make(map[request.Key]*job),
		byName:     make(map[id.Target]*target),
	}
	slots := make(map[id.Domain]int)
	for _, target := range simulation.targets {
		slots[target.domain] += target.slots
		fleet.byName[target.name] = target
	}
	for _, domain := range simulation.config.Domains {
		fleet.slots = append(fleet.slots, request.DomainSlots{Domain: domain, Slots: slots[domain]})
		fleet.views[domain] = epoch.View{Domain: domain, Number: 1}
	}
	for index := range simulation.config.Instances {
		fleet.add(index)
	}
	for _, entry := range fleet.ordered {
		entry.start()
	}
	simulation.clock.every(_tickInterval, fleet.tick)
	simulation.clock.every(_contactInterval, fleet.contact)
	fleet.contact()
	return fleet
}

func (fleet *fleet) add(index int) {
	domain := fleet.simulation.config.Domains[index%len(fleet.simulation.config.Domains)]
	member := id.Member{Instance: id.Instance(fmt.Sprintf("%s-%d", domain, index)), Incarnation: 1}
	config := request.DefaultConfig(member, domain)
	config.Random = fleet.simulation.random
	config.Disabled.Intent = fleet.simulation.policy == NoIntent
	config.Disabled.Lending = fleet.simulation.config.WithoutLending
	entry := &shardedEntry{
		simulation: fleet.simulation, fleet: fleet, member: member, domain: domain, state: request.New(config),
	}
	fleet.entries[member] = entry
	fleet.ordered = append(fleet.ordered, entry)
	view := fleet.views[domain]
	view.Members = append(view.Members, member)
	fleet.views[domain] = view
}

func (entry *shardedEntry) start() {
	targets := make([]request.Target, 0, len(entry.simulation.targets))
	for _, target := range entry.simulation.targets {
		targets = append(targets, request.Target{Name: target.name, Domain: target.domain, Slots: target.slots})
	}
	entry.reduce(request.TargetsChanged{At: entry.at(), Service: entry.simulation.service.Name, Targets: targets})
	for _, domain := range entry.simulation.config.Domains {
		entry.reduce(request.ViewChanged{At: entry.at(), View: entry.fleet.views[domain]})
	}
}

func (fleet *fleet) tick() {
	for _, entry := range fleet.ordered {
		entry.reduce(request.Tick{At: entry.at()})
	}
}

// contact reports a recent contact with each other member of its domain to every instance.
func (fleet *fleet) contact() {
	for _, entry := range fleet.ordered {
		for _, member := range fleet.views[entry.domain].Members {
			if member != entry.member {
				entry.reduce(request.Heartbeat{At: entry.at(), Member: member, Epoch: 1})
			}
		}
	}
}

func (entry *shardedEntry) at() request.At {
	return request.At{At: entry.simulation.clock.now}
}

// arrive forwards a job from the instance that received it to the owner of its shard.
func (entry *shardedEntry) arrive(job *job) {
	key := entry.fleet.key(job)
	entry.fleet.jobs[key] = job
	shard := request.HomeShard(entry.simulation.service.Name, entry.fleet.slots, key)
	pair := entry.fleet.views[shard.Domain].Pair(epoch.HashShard(shard))
	owner := entry.fleet.entries[pair.Owner]
	deliver := func() {
		owner.reduce(request.Arrived{At: owner.at(), Key: key, Class: request.AtMostOnce, Deadline: job.deadline})
	}
	if owner == entry {
		deliver()
		return
	}
	entry.simulation.clock.after(entry.simulation.hopDelay(entry.domain, owner.domain), deliver)
}

func (fleet *fleet) key(job *job) request.Key {
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], uint32(job.number))
	return request.Key{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4(address), 5683),
		Service: fleet.simulation.service.Name,
		Tag:     "01234567",
	}
}

func (entry *shardedEntry) reduce(event request.Event) {
	for _, effect := range entry.state.Reduce(event) {
		switch effect := effect.(type) {
		case request.Dispatch:
			entry.dispatch(effect)
		case request.Reply:
			entry.reply(effect)
		case request.Send:
			entry.send(effect)
		case request.Violation:
			entry.simulation.violations++
		}
	}
}

func (entry *shardedEntry) dispatch(effect request.Dispatch) {
	target := entry.fleet.byName[effect.Target]
	job := entry.fleet.jobs[effect.Key]
	hop := entry.simulation.hopDelay(entry.domain, target.domain)
	answer := func(attemptResult request.AttemptResult) {
		entry.simulation.clock.after(hop, func() {
			entry.reduce(request.TargetReplied{At: entry.at(), Attempt: effect.Attempt, Result: attemptResult})
		})
	}
	entry.simulation.clock.after(hop, func() {
		accepted := target.offer(job, func(ran bool) {
			if ran {
				answer(request.ResultAnswered)
				return
			}
			answer(request.ResultRefused)
		})
		if !accepted {
			answer(request.ResultRefused)
		}
	})
}

func (entry *shardedEntry) reply(effect request.Reply) {
	outcomes := map[request.Outcome]outcome{
		request.Answered: outcomeAnswered,
		request.NotRun:   outcomeNotRun,
		request.Unknown:  outcomeUnknown,
	}
	entry.simulation.finish(entry.fleet.jobs[effect.Key], outcomes[effect.Outcome])
}

func (entry *shardedEntry) send(effect request.Send) {
	to := entry.fleet.entries[effect.To]
	entry.simulation.messages++
	entry.simulation.clock.after(entry.simulation.hopDelay(entry.domain, to.domain), func() {
		to.reduce(request.MessageReceived{At: to.at(), From: entry.member, Message: effect.Message})
	})
}
