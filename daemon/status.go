package daemon

import (
	"context"
	"time"

	"azureshift/core"
	"azureshift/core/health"
	"azureshift/event"
	"azureshift/io/operator"
	"azureshift/metrics"
)

const (
	_reportInterval = time.Second
	_stateActive    = "Active"
)

var _ operator.Source = (*Daemon)(nil)

// Status returns the current status of the instance.
func (daemon *Daemon) Status() operator.Status {
	events, violations := daemon.counters.snapshot()
	status := operator.Status{
		Instance:    daemon.self.Instance,
		Incarnation: daemon.self.Incarnation,
		Region:      daemon.settings.Region,
		Domain:      daemon.settings.Domain,
		Started:     daemon.started,
		Flows:       daemon.datapath.Table.Len(),
		Requests: operator.Requests{
			Dispatched: daemon.requests.Len(),
			Answered:   daemon.counters.answered.Load(),
			NotRun:     daemon.counters.notRun.Load(),
			Unknown:    daemon.counters.unknown.Load(),
		},
		Drops:      events,
		Violations: violations,
	}
	for reason, count := range daemon.peers.DropCounts() {
		status.Drops[string(metrics.SidePeer)+": "+reason.String()] = count
	}
	if summary := daemon.control.summary.Load(); summary != nil {
		addSummary(&status, *summary)
		daemon.addTargetLoad(&status)
	}
	return status
}

// Live reports whether the control thread makes progress.
func (daemon *Daemon) Live() bool {
	return daemon.control.live()
}

// NotReady returns the reasons why the instance should not receive traffic.
func (daemon *Daemon) NotReady() []operator.Reason {
	var reasons []operator.Reason
	summary := daemon.control.summary.Load()
	if summary == nil || summary.Version == 0 {
		reasons = append(reasons, operator.ReasonNoBundle)
	}
	if summary == nil || !summary.Member {
		reasons = append(reasons, operator.ReasonNoMembers)
	}
	if daemon.stopping.Load() {
		reasons = append(reasons, operator.ReasonStopping)
	}
	return reasons
}

func addSummary(status *operator.Status, summary core.Summary) {
	status.BundleVersion = summary.Version
	status.Exceptions = summary.Exceptions
	status.Requests.Queued = summary.Queued
	status.Members = operator.Members{
		Alive: summary.Alive, Suspect: summary.Suspect, Dead: summary.Dead, Leaving: summary.Leaving,
	}
	for _, view := range summary.Views {
		status.Epochs = append(status.Epochs, operator.Epoch{
			Domain: view.Domain, Number: view.Number, Members: len(view.Members),
		})
	}
	for _, target := range summary.Targets {
		status.Targets = append(status.Targets, operator.Target{
			Service: target.Service, Name: target.Name, State: target.State, Slots: target.Slots,
		})
	}
}

// addTargetLoad adds the number of open requests and feeds at each target.
func (daemon *Daemon) addTargetLoad(status *operator.Status) {
	requests := daemon.requests.ByTarget()
	feeds := daemon.feeds.ByTarget()
	for index := range status.Targets {
		target := health.Target{Service: status.Targets[index].Service, Name: status.Targets[index].Name}
		status.Targets[index].InFlight = requests[target]
		status.Targets[index].Flows = feeds[target]
	}
}

// report flushes the log and updates the gauges and the limit on flows until the context ends.
func (daemon *Daemon) report(ctx context.Context) {
	ticker := time.NewTicker(_reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			daemon.reportOnce()
		}
	}
}

func (daemon *Daemon) reportOnce() {
	daemon.log.Flush()
	if len(daemon.NotReady()) == 0 && daemon.served.CompareAndSwap(false, true) {
		daemon.log.Log(event.Serving, nil)
	}
	flows := daemon.datapath.Table.Len()
	daemon.flowsFull.Store(flows >= daemon.settings.Limits.Flows)
	summary := daemon.control.summary.Load()
	if summary == nil {
		return
	}
	daemon.metrics.State.Requests(summary.Queued, daemon.requests.Len())
	daemon.metrics.State.Flows(flows, summary.Exceptions)
	daemon.metrics.State.BundleVersion(summary.Version)
	daemon.metrics.State.Members(summary.Alive, summary.Suspect, summary.Dead)
	for _, view := range summary.Views {
		daemon.metrics.State.Epoch(view.Domain, view.Number)
	}
}
