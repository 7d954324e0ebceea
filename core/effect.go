package core

import (
	"net/netip"

	"azureshift/bundle"
	"azureshift/core/epoch"
	"azureshift/core/gossip"
	"azureshift/core/health"
	"azureshift/core/id"
	"azureshift/core/membership"
	"azureshift/core/placement"
	"azureshift/core/request"
	"azureshift/core/rollout"
)

// Effect is an action that Reduce returns. The caller executes effects in order.
type Effect interface{ effect() }

// Send sends a message to another entry instance; it may be lost. If To is empty, only the address of the
// receiver is known.
type Send struct {
	To      id.Member
	Address netip.AddrPort
	Message any
}

// RequestEffect is an effect of the request reducer: Dispatch, CancelAttempt or Reply.
type RequestEffect struct{ request.Effect }

// ForwardMoved forwards a request that its former home has no record of to the member that owns it under the
// current bundle.
type ForwardMoved struct {
	Key      request.Key
	Datagram Datagram
}

// FlowEffect is an effect of the placement reducer, such as Publish, Place, Forward, Refuse or RequestFilters.
type FlowEffect struct{ placement.Effect }

// PublishRoutes publishes a new routing table to the traffic threads.
type PublishRoutes struct{ Routes *Routes }

// WatchTargets replaces the list of targets whose health pages this instance polls.
type WatchTargets struct{ Targets []WatchedTarget }

// EpochEffect is a call to the platform by the view reducer: Propose or Read.
type EpochEffect struct{ epoch.Effect }

// BundleEffect is an effect of the rollout reducer: FetchHead, FetchPart or WatchHead.
type BundleEffect struct{ rollout.Effect }

// FetchValue fetches a gossip value that is too large for a datagram.
type FetchValue struct{ gossip.Fetch }

// ViewChanged reports a new membership view, for the log.
type ViewChanged struct{ View epoch.View }

// BundleApplied reports that a bundle has become current.
type BundleApplied struct{ Head bundle.Head }

// BundleRefused reports a head that was refused; the current bundle stays in force.
type BundleRefused struct{ rollout.HeadRefused }

// Count adds to a counter.
type Count struct {
	Name   string
	Amount int
}

// Violation reports an invariant that does not hold.
type Violation struct{ Invariant string }

// HandoverCompleted reports that the successors of a leaving instance hold all of its records.
type HandoverCompleted struct{}

// LeaveCompleted reports the end of a planned stop.
type LeaveCompleted struct{}

// Replaced reports that a newer incarnation of this instance is a member, so that this one has to stop.
type Replaced struct{ By id.Member }

// MemberChanged reports that a member joined or is down, for the log.
type MemberChanged struct {
	Record membership.Record
	Up     bool
}

// MemberSuspected reports that a member is suspected, or that the suspicion was refuted.
type MemberSuspected struct {
	Member    id.Member
	Suspected bool
}

// DomainChanged reports that a failure domain has become unreachable or reachable again.
type DomainChanged struct {
	Domain id.Domain
	Cut    bool
}

// TargetChanged reports that the health of a target has changed, for the log.
type TargetChanged struct{ health.Change }

func (Send) effect()              {}
func (RequestEffect) effect()     {}
func (ForwardMoved) effect()      {}
func (FlowEffect) effect()        {}
func (PublishRoutes) effect()     {}
func (WatchTargets) effect()      {}
func (EpochEffect) effect()       {}
func (BundleEffect) effect()      {}
func (FetchValue) effect()        {}
func (ViewChanged) effect()       {}
func (BundleApplied) effect()     {}
func (BundleRefused) effect()     {}
func (Count) effect()             {}
func (Violation) effect()         {}
func (HandoverCompleted) effect() {}
func (LeaveCompleted) effect()    {}
func (Replaced) effect()          {}
func (MemberChanged) effect()     {}
func (MemberSuspected) effect()   {}
func (DomainChanged) effect()     {}
func (TargetChanged) effect()     {}

var (
	_ Effect = Send{}
	_ Effect = RequestEffect{}
	_ Effect = ForwardMoved{}
	_ Effect = FlowEffect{}
	_ Effect = PublishRoutes{}
	_ Effect = WatchTargets{}
	_ Effect = EpochEffect{}
	_ Effect = BundleEffect{}
	_ Effect = FetchValue{}
	_ Effect = ViewChanged{}
	_ Effect = BundleApplied{}
	_ Effect = BundleRefused{}
	_ Effect = Count{}
	_ Effect = Violation{}
	_ Effect = HandoverCompleted{}
	_ Effect = LeaveCompleted{}
	_ Effect = Replaced{}
	_ Effect = MemberChanged{}
	_ Effect = MemberSuspected{}
	_ Effect = DomainChanged{}
	_ Effect = TargetChanged{}
)
