package slowstart_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
	"azureshift/core/slowstart"
)

const (
	_freshness = 3 * time.Second
	_step      = 50 * time.Millisecond
	// _limit is the number of flows that a cold server may get in a second.
	_limit = 5
	// _maxReadAge is the age up to which an instance in touch with the store is behind it.
	_maxReadAge = 2 * time.Second
	_lease      = 10 * time.Second
	// _maxDelay is the longest time from a decision to the arrival of the packet.
	_maxDelay = 150 * time.Millisecond
)

// world is a fleet of instances in virtual time, with a store that keeps their registrations. Each instance sends as
// many flows to each of the servers, which stay cold, as it may.
type world struct {
	c         *qt.C
	random    *rand.Rand
	disabled  slowstart.Disabled
	now       time.Duration
	revision  int
	store     map[id.Instance]registration
	instances []*instance
	servers   []uint64
	// arrivals holds the times at which flows arrived at each server.
	arrivals [][]time.Duration
}

type registration struct {
	member  slowstart.Member
	renewed time.Duration
}

// instance is a run of an instance.
type instance struct {
	member     slowstart.Member
	membership *slowstart.Membership
	windows    []slowstart.Window
	// cutUntil is until when it cannot reach the store, and stuckUntil until when its control thread does not run.
	cutUntil   time.Duration
	stuckUntil time.Duration
	readAt     time.Duration
	revision   int
	confirmed  time.Duration
	// claims are the servers of which it had a share when its traffic thread was last told, until claimsUntil.
	claims      []bool
	claimsUntil time.Duration
	alive       bool
}

func newWorld(c *qt.C, seed uint64, instances, servers int, disabled slowstart.Disabled) *world {
	world := &world{
		c: c, random: rand.New(rand.NewPCG(seed, seed)), store: make(map[id.Instance]registration), disabled: disabled,
		arrivals: make([][]time.Duration, servers),
	}
	for range servers {
		world.servers = append(world.servers, world.random.Uint64())
	}
	for number := range instances {
		world.start(id.Instance(fmt.Sprintf("e-%d", number)))
	}
	return world
}

// start starts a run of an instance.
func (world *world) start(name id.Instance) *instance {
	started := &instance{
		member:  slowstart.Member{Name: name, Incarnation: id.Incarnation(world.now + 1)},
		windows: make([]slowstart.Window, len(world.servers)), claims: make([]bool, len(world.servers)),
		readAt: world.now, alive: true, confirmed: -time.Hour,
	}
	started.membership = slowstart.NewMembership(slowstart.Config{Self: started.member, Disabled: world.disabled})
	world.instances = append(world.instances, started)
	return started
}

// randomAlive returns a random running instance.
func (world *world) randomAlive() *instance {
	var alive []*instance
	for _, instance := range world.instances {
		if instance.alive {
			alive = append(alive, instance)
		}
	}
	return alive[world.random.IntN(len(alive))]
}

// step advances the time: registrations are renewed and lapse, instances read the store and send flows.
func (world *world) step() {
	world.now += _step
	for name, registered := range world.store {
		if world.now-registered.renewed > _lease {
			delete(world.store, name)
			world.revision++
		}
	}
	world.instances = slices.DeleteFunc(world.instances, func(instance *instance) bool { return !instance.alive })
	for _, instance := range world.instances {
		if world.now >= instance.stuckUntil {
			world.control(instance)
		}
		world.send(instance)
	}
}

// control runs the control thread of an instance: it writes its registration, reads the store if that is due, and tells
// the traffic thread of its shares.
func (world *world) control(instance *instance) {
	if world.now >= instance.cutUntil && world.now >= instance.readAt {
		registered, ok := world.store[instance.member.Name]
		if !ok || registered.member.Incarnation < instance.member.Incarnation {
			world.revision++
		}
		if !ok || registered.member.Incarnation <= instance.member.Incarnation {
			world.store[instance.member.Name] = registration{member: instance.member, renewed: world.now}
		}
		if instance.revision != world.revision {
			instance.revision = world.revision
			instance.membership.Update(world.now, _freshness, world.members())
		}
		instance.confirmed = world.now
		instance.readAt = world.now + time.Duration(world.random.Int64N(int64(_maxReadAge)))
	}
	instance.membership.Confirm(world.now, _freshness, instance.confirmed)
	instance.membership.Refresh(world.now, _freshness)
	owners := slowstart.SplitOf(_limit).Owners
	for index, server := range world.servers {
		instance.claims[index] = instance.membership.Owns(world.now, _freshness, server, owners)
	}
	instance.claimsUntil = instance.membership.ClaimsUntil(world.now, _freshness)
}

// members returns the registered instances.
func (world *world) members() []slowstart.Member {
	members := make([]slowstart.Member, 0, len(world.store))
	for _, registered := range world.store {
		members = append(members, registered.member)
	}
	slices.SortFunc(members, func(left, right slowstart.Member) int { return cmp.Compare(left.Name, right.Name) })
	return members
}

// send sends a flow to each server that an instance may send one to.
func (world *world) send(instance *instance) {
	share := slowstart.SplitOf(_limit).Share
	for index := range world.servers {
		window := &instance.windows[index]
		if instance.claims[index] && world.now <= instance.claimsUntil && window.Allows(world.now, share) {
			window.Add(world.now, share)
			delay := time.Duration(world.random.Int64N(int64(_maxDelay)))
			world.arrivals[index] = append(world.arrivals[index], world.now+delay)
		}
	}
}

// run advances the time by a span, with a random event at random intervals of the given mean.
func (world *world) run(span, mean time.Duration, events ...func()) {
	until := world.now + span
	next := world.now + time.Duration(world.random.ExpFloat64()*float64(mean))
	for world.now < until {
		for len(events) > 0 && world.now >= next {
			events[world.random.IntN(len(events))]()
			next += time.Duration(world.random.ExpFloat64() * float64(mean))
		}
		world.step()
	}
}

// exceeded returns the number of flows that arrived at a server while it had got the limit in the second before.
func (world *world) exceeded() int {
	exceeded := 0
	for _, times := range world.arrivals {
		slices.Sort(times)
		for index := _limit; index < len(times); index++ {
			if times[index]-times[index-_limit] <= time.Second {
				exceeded++
			}
		}
	}
	return exceeded
}

// flows returns the number of flows that arrived at all servers.
func (world *world) flows() int {
	flows := 0
	for _, times := range world.arrivals {
		flows += len(times)
	}
	return flows
}
