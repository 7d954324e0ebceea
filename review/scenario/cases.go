//go:build review

package main

import (
	"fmt"
	"sync"
	"time"

	"azureshift/standin/proxy"
	"azureshift/testbed"
)

var _cut = proxy.Fault{CutToTarget: true, CutFromTarget: true}

// prober sends requests through several instances until it is stopped.
type prober struct {
	group sync.WaitGroup
	stop  chan struct{}
}

func (prober *prober) end() {
	close(prober.stop)
	prober.group.Wait()
}

// playBacklog cuts the instance that follows the store off from the store while configurations come in quick
// succession, and a server begins to leave soon after.
func playBacklog(deployment *deployment, trouble bool) ([]string, error) {
	const (
		growth   = 350
		growths  = 8
		idle     = growth * growths
		versions = 25
		cutAfter = 300 * time.Millisecond
		interval = 60 * time.Millisecond
		cutFor   = 5500 * time.Millisecond
		observed = 22 * time.Second
	)
	follower, err := deployment.waitForFollower()
	if err != nil {
		return nil, err
	}
	route := probeRoute{endpoint: _probeEndpoint, service: "chiosco"}
	for step := 1; step <= growths; step++ {
		deployment.configure(growth*step, route)
		time.Sleep(time.Second)
	}
	time.Sleep(deployment.launcher.bounds.inTouch)
	prober := &prober{stop: make(chan struct{})}
	for _, instance := range deployment.others(follower) {
		for _, probed := range []probeRoute{route, {endpoint: testbed.FeedEndpoint}} {
			err := deployment.probeContinuously(&prober.group, instance, probed.endpoint, 40*time.Millisecond, prober.stop)
			if err != nil {
				return nil, err
			}
		}
	}
	if trouble {
		time.AfterFunc(cutAfter, func() {
			deployment.note("%s is cut off from the store for %s", follower.Name, cutFor)
			follower.Proxy.SetFault(_cut)
		})
		time.AfterFunc(cutAfter+cutFor, func() {
			follower.Proxy.SetFault(proxy.Fault{})
			deployment.note("the cut ends")
		})
	}
	ticker := time.NewTicker(interval)
	for version := 1; version < versions; version++ {
		deployment.configure(idle-version, route)
		<-ticker.C
	}
	ticker.Stop()
	dropped := deployment.configure(idle - versions)
	leaving := deployment.serverOf("chiosco")
	leaving.Drain()
	drained := time.Now()
	deployment.note("the store has accepted that %s leaves", leaving.ID())
	time.Sleep(observed)
	prober.end()
	return append(
		deployment.runsAfter("CONFIG", route, "", dropped.Add(deployment.launcher.bounds.convergence)),
		deployment.runsAfter("DRAIN", probeRoute{endpoint: testbed.FeedEndpoint}, leaving.ID(),
			drained.Add(deployment.launcher.bounds.drain))...,
	), nil
}

// serverOf returns a server of a service.
func (deployment *deployment) serverOf(service string) *testbed.Server {
	for _, server := range deployment.Targets() {
		if server.Service() == service {
			return server
		}
	}
	return nil
}

// runsAfter returns the requests of a route that were sent later than a time and run, by the given server if one is
// named.
func (deployment *deployment) runsAfter(rule string, route probeRoute, server string, limit time.Time) []string {
	var violations []string
	for _, attempt := range deployment.allAttempts() {
		if attempt.Service != route.endpoint || !attempt.SentAt.After(limit) {
			continue
		}
		for _, ran := range deployment.Executions.ServersOf(attempt.Request) {
			if server == "" || ran == server {
				violations = append(violations, fmt.Sprintf("%s: %s sent at %s through %s, %s after the limit, was run by %s",
					rule, attempt.Request, deployment.since(attempt.SentAt), attempt.Instance, attempt.SentAt.Sub(limit), ran))
			}
		}
	}
	return violations
}

// playSilent lets the idle connections of one instance to the store go silent some seconds before a large
// configuration that also drops a route.
func playSilent(deployment *deployment, trouble bool) ([]string, error) {
	return deployment.playSilence(trouble, 1, false)
}

// playSilentLeave lets the idle connections of all instances but the follower go silent, and removes the follower soon
// after the configuration.
func playSilentLeave(deployment *deployment, trouble bool) ([]string, error) {
	return deployment.playSilence(trouble, len(_domains)*_instances-1, true)
}

func (deployment *deployment) playSilence(trouble bool, silenced int, leave bool) ([]string, error) {
	const growth = 350
	pause, observed := 8*time.Millisecond, 5*time.Second
	if leave {
		pause, observed = 40*time.Millisecond, 20*time.Second
	}
	follower, err := deployment.waitForFollower()
	if err != nil {
		return nil, err
	}
	route := probeRoute{endpoint: _probeEndpoint, service: "chiosco"}
	deployment.configure(8, route)
	time.Sleep(time.Until(deployment.started.Add(_registrationTime)))
	if now, ok := deployment.launcher.follower(); !ok || now != follower.Name {
		return nil, fmt.Errorf("%s no longer follows the store", follower.Name)
	}
	affected := deployment.others(follower)[:silenced]
	for _, instance := range affected {
		if trouble {
			deployment.note("open connections of %s to the store go silent", instance.Name)
			instance.Proxy.SetFault(proxy.Fault{SilenceOpen: true})
			instance.Proxy.SetFault(proxy.Fault{})
		}
	}
	time.Sleep(deployment.launcher.bounds.inTouch + 500*time.Millisecond)
	prober := &prober{stop: make(chan struct{})}
	for _, instance := range affected {
		if err := deployment.probeContinuously(
			&prober.group, instance, route.endpoint, pause, prober.stop); err != nil {
			return nil, err
		}
	}
	dropped := deployment.configure(8 + growth)
	if leave {
		time.Sleep(500 * time.Millisecond)
		deployment.note("%s is stopped and leaves", follower.Name)
		go follower.Process().Stop()
	}
	time.Sleep(observed)
	prober.end()
	return deployment.runsAfter("CONFIG", route, "", dropped.Add(deployment.launcher.bounds.convergence)), nil
}
