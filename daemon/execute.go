package daemon

import (
	"context"
	"errors"
	"time"

	"azureshift/core"
	"azureshift/core/epoch"
	"azureshift/core/health"
	"azureshift/core/membership"
	"azureshift/core/placement"
	"azureshift/core/request"
	"azureshift/core/rollout"
	"azureshift/event"
	"azureshift/io/peer"
	"azureshift/metrics"
)

// execute runs an effect that the control state returned.
func (control *control) execute(effect core.Effect) {
	switch effect := effect.(type) {
	case core.Send:
		control.send(effect)
	case core.RequestEffect:
		control.executeRequestEffect(effect.Effect)
	case core.FlowEffect:
		control.executeFlowEffect(effect.Effect)
	case core.ForwardMoved:
		control.forwardToNewOwner(effect)
	case core.PublishRoutes:
		control.daemon.routes.Store(effect.Routes)
	case core.WatchTargets:
		control.daemon.watchTargets(effect.Targets)
	case core.Count:
		control.daemon.counters.add(effect.Name, effect.Amount)
	case core.Violation:
		control.reportViolation(effect.Invariant)
	case core.HandoverCompleted:
		close(control.daemon.handover)
	case core.LeaveCompleted:
		close(control.daemon.left)
	case core.Replaced:
		control.daemon.Stop()
	default:
		control.executeOther(effect)
	}
}

func (control *control) send(effect core.Send) {
	if !control.daemon.passes(effect.Address) {
		return
	}
	to := peer.Address{Member: effect.To, AddrPort: effect.Address}
	err := control.daemon.peers.Send(to, effect.Message)
	var tooLarge peer.TooLargeError
	if errors.As(err, &tooLarge) {
		control.runAsync(func(ctx context.Context) { control.daemon.sendStream(ctx, to, effect.Message) })
		return
	}
	control.logError(event.PeerSendFailed, err)
}

func (control *control) executeRequestEffect(effect request.Effect) {
	switch effect := effect.(type) {
	case request.Dispatch:
		control.logError(event.SendFailed, control.daemon.dispatch(effect))
	case request.CancelAttempt:
		control.daemon.cancel(effect)
	case request.Reply:
		control.recordReply(effect)
		control.logError(event.FabricSendFailed, control.daemon.answer(effect))
	}
}

func (control *control) recordReply(effect request.Reply) {
	service, ok := control.daemon.serviceOf(effect.Key)
	if !ok {
		return
	}
	traffic := control.daemon.trafficMetrics(service.Customer, control.requestClass(effect.Key).String())
	switch effect.Outcome {
	case request.Answered:
		control.daemon.counters.answered.Add(1)
		traffic.Answered(control.takeLatency(effect.Key))
	case request.NotRun:
		control.daemon.counters.notRun.Add(1)
		traffic.NotRun()
	case request.Unknown:
		control.daemon.counters.unknown.Add(1)
		traffic.Unknown()
		control.daemon.log.Log(event.OutcomeUnknown, event.Fields{"Service": service.Name})
	}
}

func (control *control) executeFlowEffect(effect placement.Effect) {
	now := time.Now()
	switch effect := effect.(type) {
	case placement.Publish:
		control.daemon.datapath.Publish(effect.Snapshot)
	case placement.Place:
		target := control.daemon.datapath.Place(effect, now)
		for _, waiting := range control.takePending(effect.Flow) {
			control.deliver(waiting, effect.Flow, target)
		}
	case placement.Reassign:
		control.daemon.datapath.Reassign(effect, now)
	case placement.Forward:
		for _, waiting := range control.takePending(effect.Flow) {
			control.daemon.forward(effect.Member, waiting)
		}
	case placement.Refuse:
		dropped := len(control.takePending(effect.Flow))
		control.daemon.counters.add("flows: refused", dropped)
	case placement.RequestFilters:
		control.daemon.datapath.Table.RaiseFence(effect.Fence)
		slots := placement.BuildFilters(control.daemon.datapath.Table, effect)
		control.daemon.mailbox.put(core.FlowEvent{Event: placement.FiltersBuilt{At: now, Fence: effect.Fence, Slots: slots}})
	}
}

// forwardToNewOwner forwards a request to the owner that a bundle has moved it to.
func (control *control) forwardToNewOwner(effect core.ForwardMoved) {
	service, ok := control.daemon.serviceOf(effect.Key)
	if !ok {
		return
	}
	owner, ok := service.CurrentOwner(effect.Key)
	if !ok {
		control.daemon.countDrop(metrics.SidePeer, "no new owner known")
		return
	}
	control.daemon.forward(owner, arrival{Datagram: effect.Datagram, fromFormerOwner: true})
}

func (control *control) reportViolation(invariant string) {
	control.daemon.counters.addViolation(invariant)
	control.daemon.metrics.Violation(invariant)
	control.daemon.log.Log(event.InvariantBroken, event.Fields{"Promise": invariant})
}

func (control *control) logTarget(change health.Change) {
	fields := event.Fields{"Service": change.Target.Service, "Target": change.Target.Name, "Seen": change.Observed}
	if change.Condition == health.ConditionDown {
		control.daemon.log.Log(event.TargetDown, fields)
		return
	}
	control.daemon.log.Log(event.TargetUp, fields)
}

// executeOther runs the effects that wait for the platform or a peer, each on its own goroutine, and those that are
// only logged.
func (control *control) executeOther(effect core.Effect) {
	switch effect := effect.(type) {
	case core.EpochEffect:
		control.executeEpochEffect(effect.Effect)
	case core.BundleEffect:
		control.executeBundleEffect(effect.Effect)
	case core.FetchValue:
		control.runAsync(func(ctx context.Context) { control.daemon.fetchValue(ctx, effect.Fetch) })
	case core.BundleApplied:
		control.daemon.log.Log(event.BundleApplied, event.Fields{
			"Version": effect.Head.Version, "RollID": effect.Head.RollID, "SignedBy": effect.Head.SignedBy,
		})
	case core.BundleRefused:
		control.daemon.log.LogError(event.BundleRefused, effect.Err, event.Fields{"Version": effect.Version})
	case core.ViewChanged:
		control.daemon.log.Log(event.EpochChanged, event.Fields{
			"View": effect.View.Domain, "Number": effect.View.Number, "Members": len(effect.View.Members),
		})
	case core.MemberChanged:
		control.logMember(effect)
	case core.MemberSuspected:
		if effect.Suspected {
			control.daemon.log.Log(event.MemberSuspect, event.Fields{"Member": effect.Member.Instance})
		}
	case core.DomainChanged:
		control.logDomain(effect)
	case core.TargetChanged:
		control.logTarget(effect.Change)
	}
}

func (control *control) logDomain(changed core.DomainChanged) {
	domainEvent := event.DomainHealed
	if changed.Cut {
		domainEvent = event.DomainCut
	}
	control.daemon.log.Log(domainEvent, event.Fields{"Cut": changed.Domain})
}

func (control *control) executeEpochEffect(effect epoch.Effect) {
	switch effect := effect.(type) {
	case epoch.Propose:
		control.runAsync(func(ctx context.Context) { control.daemon.propose(ctx, effect) })
	case epoch.Read:
		control.runAsync(func(ctx context.Context) { control.daemon.readView(ctx, effect.Domain) })
	}
}

func (control *control) executeBundleEffect(effect rollout.Effect) {
	switch effect := effect.(type) {
	case rollout.FetchHead:
		control.runAsync(func(ctx context.Context) { control.daemon.fetchHead(ctx, effect) })
	case rollout.FetchPart:
		control.runAsync(func(ctx context.Context) { control.daemon.fetchPart(ctx, effect) })
	case rollout.WatchHead:
		control.watch(effect.Enabled)
	}
}

// watch starts or stops watching the bundle head on the platform.
func (control *control) watch(on bool) {
	if control.endWatch != nil {
		control.endWatch()
		control.endWatch = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(control.ctx)
	control.endWatch = cancel
	control.daemon.group.Go(func() { control.daemon.watchHead(ctx) })
}

// runAsync runs blocking work on its own goroutine. Its context ends with the control thread.
func (control *control) runAsync(work func(ctx context.Context)) {
	ctx := control.ctx
	control.daemon.group.Go(func() { work(ctx) })
}

func (control *control) logMember(changed core.MemberChanged) {
	fields := event.Fields{"Member": changed.Record.Member.Instance, "MemberDomain": changed.Record.Domain}
	switch {
	case changed.Up:
		control.daemon.log.Log(event.MemberJoined, fields)
	case changed.Record.Status == membership.Left:
		control.daemon.log.Log(event.MemberLeft, fields)
	default:
		control.daemon.log.Log(event.MemberDead, fields)
	}
}
