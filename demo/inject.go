package demo

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"azureshift/bundle"
	"azureshift/bundle/roll"
	"azureshift/core/id"
	"azureshift/standin/platform"
)

const (
	_slowDelay          = 300 * time.Millisecond
	_answerLossRate     = 0.3
	_rollTimeout        = 20 * time.Second
	_leaveTimeout       = 40 * time.Second
	_drainedTargetIndex = 1
	// _healTime is how long after the end of a partition moves of flows are still attributed to it.
	_healTime = 10 * time.Second
)

// killInstance terminates the first instance. The fabric stops using it after a delay.
func (system *system) killInstance(ctx context.Context) error {
	instance := system.instances[0]
	instance.kill()
	pause(ctx, _fabricLag)
	system.removeFromFabric(instance)
	return nil
}

// stopInstance stops the second instance gracefully. The fabric stops using it after a delay.
func (system *system) stopInstance(ctx context.Context) error {
	instance := system.instances[1]
	instance.daemon.Stop()
	pause(ctx, _fabricLag)
	system.removeFromFabric(instance)
	select {
	case <-instance.ended:
		return nil
	case <-time.After(_leaveTimeout):
		return eris.Errorf("instance %s has not stopped after %s", instance.name, _leaveTimeout)
	}
}

// joinInstance starts one more instance and adds it to the fabric once it is ready or ctx is done.
func (system *system) joinInstance(ctx context.Context) error {
	if err := system.startInstance(system.serving, len(system.instances)); err != nil {
		return err
	}
	// If the demo ends before the instance is ready, that is not an error.
	if err := system.awaitReady(ctx); err != nil && ctx.Err() == nil {
		return err
	}
	system.updateFabric()
	return nil
}

// killTarget terminates the first target. The recorder does not count flows that move away from it as broken.
func (system *system) killTarget(context.Context) error {
	target := system.targets[0]
	system.recorder.allowMoves(target.bundle.Name)
	target.kill()
	return nil
}

// drainTarget rolls a bundle in which the second target drains.
func (system *system) drainTarget(ctx context.Context) error {
	return system.rollChange(ctx, func(next *bundle.Bundle) {
		next.Services[0].Targets[_drainedTargetIndex].Mode = bundle.ModeDraining
	})
}

// addTarget starts one more target of the first service and rolls a bundle that includes it.
func (system *system) addTarget(ctx context.Context) error {
	service := system.deployment.Services[0]
	added, err := system.startTarget(system.serving, service, service.Targets)
	if err != nil {
		return err
	}
	return system.rollChange(ctx, func(next *bundle.Bundle) {
		next.Services[0].Targets = append(next.Services[0].Targets, added.bundle)
	})
}

// raceOperators makes two operators concurrently roll bundles based on the same version. Exactly one must succeed.
// The rolls are completed even if the demo ends meanwhile.
func (system *system) raceOperators(context.Context) error {
	ctx, cancel := context.WithTimeout(context.Background(), _rollTimeout)
	defer cancel()
	system.rolling.Lock()
	defer system.rolling.Unlock()
	expect := system.bundle.Version
	candidates := []bundle.Bundle{system.nextBundle(), system.nextBundle()}
	// Any change will do: the candidates only have to differ.
	candidates[0].Services[0].Targets[0].Connections++
	candidates[1].Services[1].Targets[0].Connections++
	results := make([]error, len(candidates))
	var group conc.WaitGroup
	for index, candidate := range candidates {
		group.Go(func() { results[index] = system.operator.roll(ctx, candidate, expect) })
	}
	group.Wait()
	var conflict *roll.ConflictError
	switch {
	case results[0] == nil && errors.As(results[1], &conflict):
		system.bundle = candidates[0]
	case results[1] == nil && errors.As(results[0], &conflict):
		system.bundle = candidates[1]
	default:
		return eris.Errorf("exactly one of two concurrent rolls must succeed and the other conflict, got %v and %v",
			results[0], results[1])
	}
	return system.awaitInForce(ctx)
}

// rollChange rolls a changed bundle and waits until all running instances have applied it.
// The roll is completed even if the demo ends meanwhile.
func (system *system) rollChange(_ context.Context, edit func(next *bundle.Bundle)) error {
	ctx, cancel := context.WithTimeout(context.Background(), _rollTimeout)
	defer cancel()
	system.rolling.Lock()
	defer system.rolling.Unlock()
	next := system.nextBundle()
	edit(&next)
	if err := system.operator.roll(ctx, next, system.bundle.Version); err != nil {
		return err
	}
	system.bundle = next
	return system.awaitInForce(ctx)
}

// awaitInForce waits until all running instances in the fabric have applied the bundle and records how long it took.
func (system *system) awaitInForce(ctx context.Context) error {
	start := time.Now()
	for _, instance := range system.instances {
		for !instance.removedFromFabric && instance.running() &&
			instance.daemon.Status().BundleVersion < system.bundle.Version {
			if !pause(ctx, _pollInterval) {
				return eris.Errorf("instance %s has not applied bundle version %d", instance.name, system.bundle.Version)
			}
		}
	}
	system.recorder.recordRollTime(time.Since(start))
	return nil
}

// cutDomain isolates the first failure domain for the fault duration. The recorder does not count flows that move
// away from its targets as broken.
func (system *system) cutDomain(ctx context.Context) error {
	domain := system.deployment.Domains[0]
	system.recorder.allowMoves(system.targetsIn(domain)...)
	system.recorder.setPartitioned(true)
	system.network.setCut(domain, true)
	system.platform.SetFaults(platform.Faults{Cut: []string{string(domain)}})
	pause(ctx, system.faultDuration())
	system.network.setCut(domain, false)
	system.platform.SetFaults(platform.Faults{})
	if pause(ctx, _healTime) {
		system.recorder.setPartitioned(false)
	}
	return nil
}

// stopPlatform makes the platform unavailable for the fault duration.
func (system *system) stopPlatform(ctx context.Context) error {
	system.platform.SetFaults(platform.Faults{Down: true})
	pause(ctx, system.faultDuration())
	system.platform.SetFaults(platform.Faults{})
	return nil
}

// slowPlatform delays the platform's answers and loses some of them for the fault duration.
func (system *system) slowPlatform(ctx context.Context) error {
	system.platform.SetFaults(platform.Faults{Delay: _slowDelay, LoseAnswers: _answerLossRate})
	pause(ctx, system.faultDuration())
	system.platform.SetFaults(platform.Faults{})
	return nil
}

// nextBundle returns a copy of the bundle in force with the next version.
func (system *system) nextBundle() bundle.Bundle {
	next := system.bundle.WithDefaults()
	next.Version++
	return next
}

// removeFromFabric makes the fabric stop sending to an instance.
func (system *system) removeFromFabric(instance *instance) {
	instance.removedFromFabric = true
	system.updateFabric()
}

func (system *system) targetsIn(domain id.Domain) []id.Target {
	var names []id.Target
	for _, target := range system.targets {
		if target.bundle.Domain == domain {
			names = append(names, target.bundle.Name)
		}
	}
	return names
}

// running reports whether the instance is still running.
func (instance *instance) running() bool {
	select {
	case <-instance.ended:
		return false
	default:
		return true
	}
}
