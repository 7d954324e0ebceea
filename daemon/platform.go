package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/bundle"
	"azureshift/bundle/roll"
	"azureshift/core"
	"azureshift/core/epoch"
	"azureshift/core/id"
	"azureshift/core/membership"
	"azureshift/core/rollout"
	"azureshift/event"
	"azureshift/io/platform"
)

const (
	_epochPrefix = "azureshift/Epochs/"
	// _minListInterval is the interval at which an instance that knows no other reads the list of instances.
	_minListInterval = 500 * time.Millisecond
	// _listIntervalPerMember is multiplied by the number of members to get the interval between reads of the list, so
	// that the total rate of calls does not grow with the number of instances.
	_listIntervalPerMember = 300 * time.Millisecond
	_leaveTimeout          = 2 * time.Second
)

var errGateClosed = eris.New("the connection to the platform is blocked by the gate")

// gatedTransport returns a transport that blocks calls to the platform while the gate is closed for it.
func (daemon *Daemon) gatedTransport() http.RoundTripper {
	if daemon.networkFilter == nil {
		return nil
	}
	return gatedTransport{gate: daemon.networkFilter, inner: &http.Transport{}}
}

type gatedTransport struct {
	gate  NetworkFilter
	inner http.RoundTripper
}

var _ http.RoundTripper = gatedTransport{}

// RoundTrip executes a call, unless the gate blocks its destination.
func (gatedTransport gatedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	address, err := netip.ParseAddrPort(request.URL.Host)
	if err == nil && !gatedTransport.gate.Allows(address) {
		return nil, errGateClosed
	}
	return gatedTransport.inner.RoundTrip(request)
}

// syncWithPlatform registers this instance and polls the list of instances, which may be stale, until the context
// ends.
func (daemon *Daemon) syncWithPlatform(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		if !registered {
			registered = daemon.platform.Register(ctx, daemon.registration()) == nil
		}
		daemon.readInstanceList(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(daemon.listInterval()):
		}
	}
}

func (daemon *Daemon) listInterval() time.Duration {
	summary := daemon.control.summary.Load()
	if summary == nil || summary.Alive <= 1 {
		return _minListInterval
	}
	return max(_minListInterval, time.Duration(summary.Alive)*_listIntervalPerMember)
}

// announceLeaving marks this instance as leaving on the platform's list. The list is only a hint for other instances.
func (daemon *Daemon) announceLeaving() {
	ctx, cancel := context.WithTimeout(context.Background(), _leaveTimeout)
	defer cancel()
	if err := daemon.platform.MarkLeaving(ctx, daemon.self.Instance); err != nil {
		daemon.log.LogError(event.PlatformDown, err, nil)
	}
}

// deregisterInstance removes this instance from the platform's list.
func (daemon *Daemon) deregisterInstance() {
	ctx, cancel := context.WithTimeout(context.Background(), _leaveTimeout)
	defer cancel()
	if err := daemon.platform.Deregister(ctx, daemon.self.Instance); err != nil {
		daemon.log.LogError(event.PlatformDown, err, nil)
	}
}

func (daemon *Daemon) registration() platform.Instance {
	return platform.Instance{
		Member:   daemon.self,
		Domain:   daemon.settings.Domain,
		Peer:     daemon.PeerAddress(),
		Operator: daemon.OperatorAddress(),
	}
}

// readInstanceList passes the listed instances and the configured seeds to the membership protocol as hints. While the
// platform is down there are only the seeds.
func (daemon *Daemon) readInstanceList(ctx context.Context) {
	peerList := membership.PeerList{At: time.Now()}
	for _, seed := range daemon.settings.Peer.Seeds {
		peerList.Peers = append(peerList.Peers, membership.Peer{Address: seed})
	}
	listed, err := daemon.platform.Instances(ctx)
	if err != nil && ctx.Err() == nil {
		daemon.log.LogError(event.PlatformDown, err, nil)
	}
	for _, instance := range listed {
		if instance.Member.Instance != daemon.self.Instance && !instance.Leaving {
			peerList.Peers = append(peerList.Peers, membership.Peer{Instance: instance.Member.Instance, Address: instance.Peer})
		}
	}
	daemon.mailbox.put(core.MemberEvent{Event: peerList})
}

// propose replaces the view on the platform by compare-and-swap.
func (daemon *Daemon) propose(ctx context.Context, effect epoch.Propose) {
	swapped := epoch.Swapped{Proposed: effect.View, Result: daemon.swapView(ctx, effect)}
	swapped.At = time.Now()
	daemon.mailbox.put(core.EpochEvent{Event: swapped})
}

func (daemon *Daemon) swapView(ctx context.Context, effect epoch.Propose) epoch.Result {
	key := _epochPrefix + string(effect.View.Domain)
	entry, err := daemon.platform.Get(ctx, key)
	if err != nil {
		return epoch.OutcomeUnknown{}
	}
	current, err := decodeView(entry)
	if err != nil {
		daemon.log.LogError(event.PlatformRefused, err, nil)
		return epoch.OutcomeUnknown{}
	}
	if current.Number != effect.Expected {
		return epoch.NotApplied{Current: current}
	}
	raw, err := json.Marshal(effect.View)
	if err != nil {
		return epoch.OutcomeUnknown{}
	}
	outcome, err := daemon.platform.CompareAndSwap(ctx, key, raw, entry.Index)
	if err != nil {
		daemon.log.LogError(event.PlatformUncertain, err, nil)
	}
	if outcome == platform.OutcomeApplied {
		return epoch.Applied{}
	}
	// Whether the swap lost or its outcome is unknown, the view is read again to find out which one won.
	return epoch.OutcomeUnknown{}
}

// readView reads the view stored on the platform.
func (daemon *Daemon) readView(ctx context.Context, domain id.Domain) {
	read := epoch.ViewRead{}
	entry, err := daemon.platform.Get(ctx, _epochPrefix+string(domain))
	if err == nil {
		read.View, err = decodeView(entry)
		read.Found = err == nil
	}
	read.At = time.Now()
	daemon.mailbox.put(core.EpochEvent{Event: read})
}

func decodeView(entry platform.Entry) (epoch.View, error) {
	var view epoch.View
	if entry.Index == 0 {
		return view, nil
	}
	err := json.Unmarshal(entry.Value, &view)
	return view, eris.Wrapf(err, "decode %s; remove the key, and the instances will propose it again", entry.Key)
}

// watchHead watches the bundle head on the platform until the context ends.
func (daemon *Daemon) watchHead(ctx context.Context) {
	daemon.platform.Watch(ctx, roll.HeadKey, func(change platform.Change) {
		if change.Err != nil {
			daemon.log.LogError(event.PlatformDown, change.Err, nil)
			return
		}
		daemon.handleHead(change.Entry)
	})
}

func (daemon *Daemon) fetchPlatformHead(ctx context.Context) {
	entry, err := daemon.platform.Get(ctx, roll.HeadKey)
	if err != nil {
		daemon.mailbox.put(core.RolloutEvent{Event: rollout.HeadFailed{At: time.Now(), From: rollout.Platform}})
		return
	}
	daemon.handleHead(entry)
}

func (daemon *Daemon) handleHead(entry platform.Entry) {
	if entry.Index == 0 {
		return
	}
	head, err := bundle.DecodeHead(entry.Value)
	if err != nil {
		daemon.log.LogError(event.BundleRefused, err, nil)
		return
	}
	seen := rollout.HeadReceived{At: time.Now(), Head: head, From: rollout.Platform}
	daemon.mailbox.put(core.RolloutEvent{Event: seen})
}

// fetchPlatformParts fetches bundle parts in as few calls as the platform allows.
func (daemon *Daemon) fetchPlatformParts(ctx context.Context, wanted []bundle.Hash) {
	found, err := roll.FetchParts(ctx, daemon.platform, wanted)
	if err != nil {
		daemon.log.LogError(event.BundlePartMissing, err, event.Fields{"Parts": len(wanted)})
	}
	arrived := rollout.PartsReceived{At: time.Now()}
	for _, hash := range wanted {
		if raw, ok := found[hash]; ok {
			arrived.Parts = append(arrived.Parts, bundle.Part{Hash: hash, Bytes: raw})
			continue
		}
		failed := rollout.PartFailed{At: time.Now(), Hash: hash, From: rollout.Platform}
		daemon.mailbox.put(core.RolloutEvent{Event: failed})
	}
	if len(arrived.Parts) > 0 {
		daemon.mailbox.put(core.RolloutEvent{Event: arrived})
	}
}
