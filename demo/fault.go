package demo

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// Fault names a failure or a planned change that is injected during a run.
type Fault string

const (
	// FaultKillInstance terminates an entry instance abruptly.
	FaultKillInstance Fault = "kill-instance"
	// FaultLeaveInstance stops an entry instance gracefully.
	FaultLeaveInstance Fault = "leave-instance"
	// FaultJoinInstance starts one more entry instance.
	FaultJoinInstance Fault = "join-instance"
	// FaultKillTarget terminates a backend server abruptly.
	FaultKillTarget Fault = "kill-target"
	// FaultDrainTarget rolls a bundle in which a target drains.
	FaultDrainTarget Fault = "drain-target"
	// FaultRollBundle rolls a bundle with one more target.
	FaultRollBundle Fault = "roll-bundle"
	// FaultRaceOperators makes two operators roll different bundles concurrently.
	FaultRaceOperators Fault = "race-operators"
	// FaultCutDomain isolates a failure domain and reconnects it.
	FaultCutDomain Fault = "cut-domain"
	// FaultPlatformOutage takes the platform down for a third of the run.
	FaultPlatformOutage Fault = "platform-outage"
	// FaultSlowPlatform makes the platform slow and drops part of its answers for a third of the run.
	FaultSlowPlatform Fault = "slow-platform"
)

const (
	_faultDivisor = 3
	_fabricLag    = time.Second
)

// injection injects a fault. It returns when the fault is complete or healed, or when the run ends.
type injection func(system *system, ctx context.Context) error

// _injections is read-only.
var _injections = map[Fault]injection{
	FaultKillInstance:   (*system).killInstance,
	FaultLeaveInstance:  (*system).stopInstance,
	FaultJoinInstance:   (*system).joinInstance,
	FaultKillTarget:     (*system).killTarget,
	FaultDrainTarget:    (*system).drainTarget,
	FaultRollBundle:     (*system).addTarget,
	FaultRaceOperators:  (*system).raceOperators,
	FaultCutDomain:      (*system).cutDomain,
	FaultPlatformOutage: (*system).stopPlatform,
	FaultSlowPlatform:   (*system).slowPlatform,
}

// FaultNames returns the names of all faults.
func FaultNames() []string {
	names := make([]string, 0, len(_injections))
	for fault := range _injections {
		names = append(names, string(fault))
	}
	slices.Sort(names)
	return names
}

// ParseFaults parses a comma-separated list of fault names; an empty list has no faults.
func ParseFaults(list string) ([]Fault, error) {
	if list == "" {
		return nil, nil
	}
	var faults []Fault
	for name := range strings.SplitSeq(list, ",") {
		if _, known := _injections[Fault(name)]; !known {
			return nil, eris.Errorf("unknown fault %q; use %s", name, strings.Join(FaultNames(), ", "))
		}
		faults = append(faults, Fault(name))
	}
	return faults, nil
}

// injectFaults injects all faults concurrently, one third into the run.
func (system *system) injectFaults(ctx context.Context) error {
	if !pause(ctx, system.config.Duration/_faultDivisor) {
		return nil
	}
	failures := make([]error, len(system.config.Faults))
	var group conc.WaitGroup
	for index, fault := range system.config.Faults {
		group.Go(func() {
			failures[index] = eris.Wrapf(_injections[fault](system, ctx), "inject %s", fault)
		})
	}
	group.Wait()
	for _, failure := range failures {
		if failure != nil {
			return failure
		}
	}
	return nil
}

// faultDuration is the duration of faults that end by themselves.
func (system *system) faultDuration() time.Duration {
	return system.config.Duration / _faultDivisor
}
