package entry

import (
	"context"
	"errors"
	"math"
	"net/netip"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"azureshift/core/catalog"
	core "azureshift/core/entry"
	"azureshift/core/id"
	"azureshift/core/route"
	"azureshift/core/store"
	"azureshift/core/target"
	"azureshift/event"
	"azureshift/platform"
)

// _instancePrefix is the prefix of the keys under which entry instances register.
const _instancePrefix = "azureshift/instances/"

// storeCall is the purpose of a call of the metadata store.
type storeCall string

// The purposes of calls.
const (
	// _callList reads everything: at startup, after a suspension, and where history is missing.
	_callList storeCall = "List"
	// _callWatch waits for changes, which the follower does all the time.
	_callWatch storeCall = "Watch"
	// _callGet reads a configuration that is too large for a message.
	_callGet storeCall = "Get"
	// _callGrant and _callCommit register an instance, _callRenew keeps its registration and _callEnd ends it.
	_callGrant  storeCall = "Grant"
	_callCommit storeCall = "Commit"
	_callRenew  storeCall = "Renew"
	_callEnd    storeCall = "End"
)

func storeCalls() []storeCall {
	return []storeCall{_callList, _callWatch, _callGet, _callGrant, _callCommit, _callRenew, _callEnd}
}

// executeAsync carries out an effect that waits for the network, and posts its result to the control loop.
func (daemon *Daemon) executeAsync(effect core.Effect) {
	ctx, client := context.Background(), daemon.store
	daemon.asyncEffects.Go(func() {
		switch effect := effect.(type) {
		case core.List:
			daemon.post(ctx, daemon.list(ctx, client, effect))
		case core.Follow:
			daemon.post(ctx, daemon.follow(ctx, client, effect))
		case core.Fetch:
			daemon.post(ctx, daemon.fetch(ctx, effect))
		case core.ReadConfig:
			daemon.post(ctx, daemon.readConfig(ctx, client, effect))
		case core.Register:
			daemon.post(ctx, daemon.register(ctx, client, effect))
		case core.Renew:
			daemon.post(ctx, daemon.renew(ctx, client, effect))
		case core.Unregister:
			daemon.storeCallFailed(client.End(ctx, effect.Grant), _callEnd)
		case core.Probe:
			daemon.post(ctx, daemon.probe(ctx, effect))
		}
	})
}

func (daemon *Daemon) list(ctx context.Context, client *platform.StoreClient, effect core.List) core.Event {
	asked := daemon.clock.now()
	listing, err := client.List(ctx, "", effect.Limits)
	if daemon.storeCallFailed(err, _callList) {
		return core.ReadFailed{At: daemon.clock.now()}
	}
	changes := make([]store.Change, 0, len(listing.Items))
	for _, item := range listing.Items {
		changes = append(changes, store.Change{Item: item})
	}
	entries, config := daemon.decode(changes)
	return core.Listed{
		At: daemon.clock.now(), RequestedAt: asked, Entries: entries, Config: config, Revision: listing.Revision,
	}
}

func (daemon *Daemon) follow(ctx context.Context, client *platform.StoreClient, effect core.Follow) core.Event {
	asked := daemon.clock.now()
	history, err := client.Watch(ctx, platform.WatchQuery{
		After: effect.After, Wait: effect.Wait, Limits: effect.Limits, MaxSize: effect.MaxSize,
	})
	if daemon.storeCallFailed(err, _callWatch) {
		historyLost := errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrRestored)
		unreadable := errors.Is(err, store.ErrTooLarge) || errors.Is(err, store.ErrUnreadable)
		return core.ReadFailed{At: daemon.clock.now(), HistoryLost: historyLost, Unreadable: unreadable}
	}
	entries, config := daemon.decode(history.Changes)
	return core.Followed{
		At: daemon.clock.now(), RequestedAt: asked, After: effect.After,
		Entries: entries, Config: config, Revision: history.Revision, Changes: len(history.Changes),
	}
}

// decode returns the registrations and removals of servers and instances and the evacuations among the changes, and the
// newest configuration, or nil if there is none or it is unreadable.
func (daemon *Daemon) decode(changes []store.Change) ([]catalog.Entry, *route.Config) {
	entries := make([]catalog.Entry, 0, len(changes))
	var config *store.Change
	for index := range changes {
		change := &changes[index]
		switch {
		case change.Key == platform.ConfigKey && !change.Removed:
			config = change
		case strings.HasPrefix(change.Key, platform.TargetPrefix):
			entries = append(entries, daemon.decodeServer(change))
		case strings.HasPrefix(change.Key, _instancePrefix):
			entries = append(entries, daemon.decodeInstance(change))
		case strings.HasPrefix(change.Key, platform.EvacuationPrefix):
			if entry, ok := daemon.decodeEvacuation(change); ok {
				entries = append(entries, entry)
			}
		}
	}
	if config == nil {
		return entries, nil
	}
	decoded, faults, err := platform.DecodeConfig(config.Value)
	if err != nil {
		daemon.metrics.configFaults.Inc(1)
		daemon.log.LogError(event.ConfigUnreadable, err, event.Fields{"Revision": config.Revision.Number()})
		return entries, nil
	}
	daemon.metrics.configFaults.Inc(int64(len(faults)))
	for _, fault := range faults {
		daemon.log.LogError(event.ConfigPartUnreadable, fault, event.Fields{
			"Version": decoded.Version, "Revision": config.Revision.Number(),
		})
	}
	return entries, &decoded
}

func (daemon *Daemon) decodeServer(change *store.Change) catalog.Entry {
	missing := catalog.Entry{
		Revision: change.Revision, MissingServer: id.Target(strings.TrimPrefix(change.Key, platform.TargetPrefix)),
	}
	if change.Removed {
		return missing
	}
	err := checkSize(change)
	var server target.Target
	if err == nil {
		server, err = platform.DecodeTarget(change.Key, change.Value)
	}
	if err != nil {
		daemon.logUnreadable(err, change)
		return missing
	}
	return catalog.Entry{Revision: change.Revision, Server: &server, Created: change.Created}
}

func (daemon *Daemon) decodeInstance(change *store.Change) catalog.Entry {
	left := catalog.Entry{
		Revision: change.Revision, MissingInstance: id.Instance(strings.TrimPrefix(change.Key, _instancePrefix)),
	}
	if change.Removed {
		return left
	}
	var instance catalog.Instance
	err := checkSize(change)
	if err == nil {
		err = cbor.Unmarshal(change.Value, &instance)
	}
	if err == nil && (instance.Name != left.MissingInstance || !reachable(instance.Address)) {
		err = eris.Errorf("no instance of this name with an address: %s", instance.Address)
	}
	if err != nil {
		daemon.logUnreadable(err, change)
		return left
	}
	return catalog.Entry{Revision: change.Revision, Instance: &instance, Lease: change.Lease}
}

// checkSize returns an error if a registration is too large, so that its value was not kept.
func checkSize(change *store.Change) error {
	if change.Size > platform.MaxRegistration {
		return eris.Errorf("registration has %d bytes, more than %d", change.Size, platform.MaxRegistration)
	}
	return nil
}

// maxValue returns the size in bytes of the largest value that is read of a key: none of evacuations, which their keys
// describe, nor of the keys of others.
func maxValue(key string) int {
	switch {
	case key == platform.ConfigKey:
		return math.MaxInt
	case strings.HasPrefix(key, platform.TargetPrefix), strings.HasPrefix(key, _instancePrefix):
		return platform.MaxRegistration
	default:
		return 0
	}
}

// reachable reports whether messages can be sent to an address.
func reachable(address netip.AddrPort) bool {
	return address.IsValid() && address.Port() != 0 && !address.Addr().IsUnspecified() && !address.Addr().IsMulticast()
}

// _maxLoggedKey is the greatest length in bytes of a key in the log; those of registrations are shorter.
const _maxLoggedKey = 256

// logUnreadable counts and logs a registration that names no server or instance to use, or an evacuation without a
// usable name.
func (daemon *Daemon) logUnreadable(err error, change *store.Change) {
	daemon.metrics.registrationsRefused.Inc(1)
	daemon.log.LogError(event.RegistrationUnreadable, err, event.Fields{
		"Key": change.Key[:min(len(change.Key), _maxLoggedKey)], "Bytes": change.Size, "Revision": change.Revision.Number(),
	})
}

func (daemon *Daemon) fetch(ctx context.Context, effect core.Fetch) core.Event {
	view, err := daemon.relayClient.Fetch(ctx, effect)
	if err != nil {
		daemon.log.LogError(event.InstanceFailed, err, event.Fields{"From": effect.From.String()})
		return core.FetchFailed{At: daemon.clock.now(), From: effect.From}
	}
	return core.Fetched{At: daemon.clock.now(), From: effect.From, View: view}
}

func (daemon *Daemon) readConfig(ctx context.Context, client *platform.StoreClient, effect core.ReadConfig) core.Event {
	time.Sleep(effect.Delay)
	item, _, err := client.Get(ctx, platform.ConfigKey, effect.Limits)
	if daemon.storeCallFailed(err, _callGet) {
		return core.ConfigRead{At: daemon.clock.now()}
	}
	_, config := daemon.decode([]store.Change{{Item: item}})
	return core.ConfigRead{At: daemon.clock.now(), Config: config}
}

// register acquires a lease and writes the instance's registration under it.
func (daemon *Daemon) register(ctx context.Context, client *platform.StoreClient, effect core.Register) core.Event {
	self := daemon.controlConfig().Self
	value, err := cbor.Marshal(self)
	if err != nil {
		daemon.log.LogError(event.StoreCallFailed, err, event.Fields{"Call": _callCommit})
		return core.RegisterFailed{At: daemon.clock.now()}
	}
	grant, err := client.Grant(ctx, effect.TTL)
	if daemon.storeCallFailed(err, _callGrant) {
		return core.RegisterFailed{At: daemon.clock.now()}
	}
	item := store.Item{Key: _instancePrefix + string(self.Name), Value: value, Lease: grant.Lease}
	revision, err := client.Commit(ctx, store.Transaction{Puts: []store.Item{item}})
	if err == nil && revision.Era() != grant.Era {
		err = eris.Wrap(store.ErrLeaseEnded, "write the registration")
	}
	if daemon.storeCallFailed(err, _callCommit) {
		return core.RegisterFailed{At: daemon.clock.now(), Ended: errors.Is(err, store.ErrLeaseEnded)}
	}
	return core.Registered{At: daemon.clock.now(), Grant: grant}
}

func (daemon *Daemon) renew(ctx context.Context, client *platform.StoreClient, effect core.Renew) core.Event {
	err := client.Renew(ctx, effect.Grant)
	if daemon.storeCallFailed(err, _callRenew) {
		return core.RegisterFailed{At: daemon.clock.now(), Ended: errors.Is(err, store.ErrLeaseEnded)}
	}
	return core.Registered{At: daemon.clock.now(), Grant: effect.Grant}
}

// logSilence counts and logs that a read of the store was repeated on a new connection.
func (daemon *Daemon) logSilence(path string, silence time.Duration) {
	daemon.metrics.storeRepeats.Inc(1)
	daemon.log.Log(event.ConnectionSilent, event.Fields{"Path": path, "SilentMs": silence.Milliseconds()})
}

// storeCallFailed counts a store call and reports whether it failed; if so, it counts and logs the failure.
func (daemon *Daemon) storeCallFailed(err error, call storeCall) bool {
	daemon.metrics.storeCalls[call].Inc(1)
	if err == nil {
		return false
	}
	daemon.metrics.storeFailures.Inc(1)
	daemon.log.LogError(event.StoreCallFailed, err, event.Fields{"Call": call})
	return true
}
