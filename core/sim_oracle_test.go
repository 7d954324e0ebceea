package core_test

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/bundle"
	"azureshift/core/flow"
	"azureshift/core/id"
	"azureshift/core/request"
)

const (
	_rollLimit  = 6 * time.Second
	_drainGrace = 5 * time.Second
)

// oracle records what callers and targets observe and checks it against the guarantees.
type oracle struct {
	sent          map[request.Key]time.Time
	runs          map[request.Key]int
	outcomes      map[request.Key]request.Outcome
	drainingSince map[id.Target]time.Time
	feeds         []*feed
	violations    []string
	// undisturbedSince is when the last injected fault is certain to have ended. Checks of time limits count from it.
	undisturbedSince time.Time
	feedsMustStay    bool
}

func newOracle() *oracle {
	return &oracle{
		sent: make(map[request.Key]time.Time), runs: make(map[request.Key]int),
		outcomes: make(map[request.Key]request.Outcome), drainingSince: make(map[id.Target]time.Time),
	}
}

func (sim *sim) report(format string, args ...any) {
	at := sim.now.Sub(time.Unix(_startUnix, 0))
	seen := fmt.Sprintf("seed %d at %v: ", sim.seed, at) + fmt.Sprintf(format, args...)
	sim.oracle.violations = append(sim.oracle.violations, seen)
}

func (oracle *oracle) answered(key request.Key) bool { return oracle.outcomes[key] != 0 }

func (oracle *oracle) recordRun(sim *sim, node *node, effect request.Dispatch) {
	key := effect.Key
	oracle.runs[key]++
	if oracle.runs[key] > 1 {
		sim.report("%s ran %d times, now at %s by %s", key.Tag, oracle.runs[key], effect.Target, node.member.Instance)
	}
	if oracle.outcomes[key] == request.NotRun {
		sim.report("%s ran after it was refused as not run", key.Tag)
	}
	if sim.mustTakeNoWork(effect.Target) {
		sim.report("%s went to draining target %s by %s", key.Tag, effect.Target, node.member.Instance)
	}
}

// mustTakeNoWork reports whether a target has been draining for so long that it must get no new work.
func (sim *sim) mustTakeNoWork(target id.Target) bool {
	since, drained := sim.oracle.drainingSince[target]
	return drained && sim.now.Sub(since) > _drainGrace && !since.Before(sim.oracle.undisturbedSince)
}

func (sim *sim) recordReply(effect request.Reply) {
	switch {
	case effect.Outcome == request.Answered && string(effect.Payload) != effect.Key.Tag:
		sim.report("%s was answered with %q", effect.Key.Tag, effect.Payload)
	case effect.Outcome == request.NotRun && sim.oracle.runs[effect.Key] > 0:
		sim.report("%s was refused as not run but ran", effect.Key.Tag)
	}
	sim.oracle.outcomes[effect.Key] = effect.Outcome
}

func (sim *sim) recordVersion(node *node, version id.Version) {
	if version <= node.version {
		sim.report("%s applied version %d and then %d", node.member.Instance, node.version, version)
	}
	node.version = version
}

// serveFeed records the target at which an instance registers a feed.
func (sim *sim) serveFeed(node *node, arrival arrival, target flow.Target) {
	view := node.path.Snapshot().Target(target)
	feed := arrival.feed
	silent := sim.now.Sub(feed.lastServed)
	feed.lastServed = sim.now
	if feed.target != "" && sim.oracle.feedsMustStay && silent > _idleSpan-time.Second {
		sim.report("feed %s was not served for %v", feed.caller, silent)
	}
	if view.Name == feed.target {
		feed.holder = node
		return
	}
	service, _ := sim.bundle.ServiceAt(feed.service)
	exists := targetOf(service, feed.target) != nil
	if feed.target != "" && exists && sim.oracle.feedsMustStay {
		sim.report("feed %s moved from %s to %s at %s", feed.caller, feed.target, view.Name, node.member.Instance)
		feed.moves++
	}
	if sim.mustTakeNoWork(view.Name) {
		sim.report("feed %s opened at draining target %s by %s", feed.caller, view.Name, node.member.Instance)
	}
	feed.target, feed.holder = view.Name, node
}

func targetOf(service bundle.Service, name id.Target) *bundle.Target {
	for index := range service.Targets {
		if service.Targets[index].Name == name {
			return &service.Targets[index]
		}
	}
	return nil
}

// roll signs a bundle, moves the head at the platform to it and later checks that the instances have applied it.
func (sim *sim) roll(next bundle.Bundle) {
	signed, err := sim.key.Sign(next, sim.now)
	sim.c.Assert(err, qt.IsNil)
	parts, err := signed.Parts()
	sim.c.Assert(err, qt.IsNil)
	for _, part := range parts {
		sim.parts[part.Hash] = part.Bytes
	}
	sim.bundle, sim.head = next, signed.Head
	for _, node := range sim.nodes {
		sim.notifyHead(node)
	}
	rolled := sim.now
	sim.schedule(_rollLimit, func() { sim.checkRollout(next.Version, rolled) })
	for _, service := range next.Services {
		for _, target := range service.Targets {
			if _, known := sim.oracle.drainingSince[target.Name]; !known && !target.AcceptsNewWork() {
				sim.oracle.drainingSince[target.Name] = sim.now
			}
		}
	}
}

func (sim *sim) checkRollout(version id.Version, rolled time.Time) {
	if sim.oracle.undisturbedSince.After(rolled) || version == 1 {
		return
	}
	for _, node := range sim.nodes {
		if node.alive && node.startedAt.Add(_rollLimit).Before(rolled) && node.version < version {
			sim.report("%s holds version %d, %v after the roll of %d", node.member.Instance, node.version, _rollLimit, version)
		}
	}
}

// firstBundle returns a bundle of two services with two targets in each failure domain.
func firstBundle() bundle.Bundle {
	first := bundle.Bundle{Version: 1}
	for number, name := range []id.Service{"loom", "press"} {
		service := bundle.Service{Name: name, Customer: "Valtellina"}
		service.Address = netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), uint16(1001+number))
		for index := range 2 * len(_domains) {
			service.Targets = append(service.Targets, newTarget(name, index, number))
		}
		first.Services = append(first.Services, service)
	}
	return first.WithDefaults()
}

func newTarget(service id.Service, index, number int) bundle.Target {
	address := netip.AddrFrom4([4]byte{10, 1, byte(number), byte(index + 1)})
	return bundle.Target{
		Name: id.Target(fmt.Sprintf("%s-%d", service, index)), Domain: _domains[index%len(_domains)],
		Address: netip.AddrPortFrom(address, 5683), Health: netip.AddrPortFrom(address, 8080), Slots: 3,
	}
}

func (oracle *oracle) feedMoves() int {
	moves := 0
	for _, feed := range oracle.feeds {
		moves += feed.moves
	}
	return moves
}

func (oracle *oracle) hasViolation(text string) bool {
	return slices.ContainsFunc(oracle.violations, func(fault string) bool { return strings.Contains(fault, text) })
}
