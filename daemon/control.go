package daemon

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/bundle"
	"azureshift/core"
	"azureshift/core/flow"
	"azureshift/core/id"
	"azureshift/core/placement"
	"azureshift/core/request"
	"azureshift/core/rollout"
	"azureshift/event"
	"azureshift/io/coap"
)

const (
	_expireInterval      = time.Second
	_maxIterationGap     = 10 * time.Second
	_maxPendingDatagrams = 64
	// _pendingTimeout is how long datagrams wait for their flow to be placed.
	_pendingTimeout = 500 * time.Millisecond
)

// control is the control thread: it applies events to the control state and executes the resulting effects.
type control struct {
	daemon       *Daemon
	state        *core.State
	pending      map[id.Flow]pendingFlow
	openRequests map[request.Key]openRequest
	lastExpiry   time.Time
	// ctx ends with the control thread; endWatch stops watching the platform.
	ctx      context.Context
	endWatch context.CancelFunc
	summary  atomic.Pointer[core.Summary]
	// lastIteration is when the loop last completed an iteration, in Unix nanoseconds.
	lastIteration atomic.Int64
}

// openRequest is a request that has not been answered yet.
type openRequest struct {
	startedAt time.Time
	class     coap.Class
}

// pendingFlow holds the datagrams that wait for their flow to be placed.
type pendingFlow struct {
	since    time.Time
	arrivals []arrival
}

func newControl(daemon *Daemon) *control {
	seed := uint64(daemon.self.Incarnation)
	config := core.DefaultConfig(daemon.self, daemon.settings.Domain, daemon.peers.Address().AddrPort)
	config.Random = rand.New(rand.NewPCG(seed, seed))
	config.Verifier = daemon.keys
	config.Requests.Retention = daemon.settings.Limits.Retention.Std()
	config.Requests.LeaveTimeout = daemon.settings.Limits.StopLimit.Std()
	config.Flows.IdleTimeout = daemon.settings.Limits.FlowIdle.Std()
	return &control{
		daemon:       daemon,
		state:        core.New(config),
		pending:      make(map[id.Flow]pendingFlow),
		openRequests: make(map[request.Key]openRequest),
	}
}

func (control *control) run(ctx context.Context) {
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	control.ctx = ctx
	for {
		select {
		case <-ctx.Done():
			return
		case <-control.daemon.mailbox.ready:
		case <-ticker.C:
			control.tick(time.Now())
		}
		for _, mailboxItem := range control.daemon.mailbox.takeAll() {
			control.process(mailboxItem)
		}
		control.lastIteration.Store(time.Now().UnixNano())
	}
}

// tick applies the observations of the traffic threads, then the time, and expires state once per _expireInterval.
func (control *control) tick(now time.Time) {
	for _, observed := range control.daemon.observations.takeEvents(now) {
		control.reduce(observed)
	}
	control.reduce(core.Tick{At: now})
	if now.Sub(control.lastExpiry) < _expireInterval {
		return
	}
	control.lastExpiry = now
	summary := control.state.Summary()
	control.summary.Store(&summary)
	control.daemon.expireFeeds(now)
	ended := control.daemon.datapath.Table.Expire(now.Add(-control.daemon.settings.Limits.FlowIdle.Std()))
	if len(ended) > 0 {
		control.reduce(core.FlowEvent{Event: placement.FlowsExpired{At: now, Flows: ended}})
	}
	control.dropExpiredRequests(now)
	control.dropExpiredPending(now)
}

// dropExpiredPending drops datagrams whose flow was not placed in time; their callers retransmit them.
func (control *control) dropExpiredPending(now time.Time) {
	for hash, pending := range control.pending {
		if now.Sub(pending.since) > _pendingTimeout {
			delete(control.pending, hash)
			control.daemon.counters.add("flows: undecided", len(pending.arrivals))
		}
	}
}

// process runs a query or applies an event. A datagram whose flow is not placed yet is kept until it is.
func (control *control) process(mailboxItem mailboxItem) {
	if mailboxItem.query != nil {
		mailboxItem.query(control.state)
		return
	}
	switch event := mailboxItem.event.(type) {
	case core.RequestArrived:
		if _, known := control.openRequests[event.Key]; !known {
			control.openRequests[event.Key] = openRequest{startedAt: event.At.At, class: coapClass(event.Class)}
		}
	case core.FlowEvent:
		if arrived, ok := event.Event.(placement.FlowArrived); ok && mailboxItem.datagram != nil {
			control.addPending(arrived, arrival{Datagram: *mailboxItem.datagram, hops: mailboxItem.hops})
			return
		}
	}
	control.reduce(mailboxItem.event)
}

// addPending keeps a datagram until its flow is placed. If the flow has been placed in the meantime, the datagram is
// delivered at once; if placement timed out, it is requested again.
func (control *control) addPending(arrived placement.FlowArrived, next arrival) {
	if known, ok := control.daemon.datapath.Table.Find(arrived.Flow, arrived.At); ok && !arrived.Stale {
		if control.daemon.datapath.Snapshot().Target(known).Alive {
			control.deliver(next, arrived.Flow, known)
			return
		}
	}
	pending, found := control.pending[arrived.Flow]
	if !found || arrived.At.Sub(pending.since) > _pendingTimeout {
		control.pending[arrived.Flow] = pendingFlow{since: arrived.At, arrivals: []arrival{next}}
		control.reduce(core.FlowEvent{Event: arrived})
		return
	}
	if len(pending.arrivals) < _maxPendingDatagrams {
		pending.arrivals = append(pending.arrivals, next)
		control.pending[arrived.Flow] = pending
	}
}

// query runs a query on the control thread and waits until it is done.
func (control *control) query(ctx context.Context, query func(state *core.State)) error {
	done := make(chan struct{})
	control.daemon.mailbox.query(func(state *core.State) {
		query(state)
		close(done)
	})
	select {
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait for the control thread; the instance is overloaded or stopping")
	case <-done:
		return nil
	}
}

// reduce applies an event and executes its effects. Bundle parts to fetch from the platform are fetched in one batch,
// as the platform counts calls.
func (control *control) reduce(event core.Event) {
	var wanted []bundle.Hash
	for _, effect := range control.state.Reduce(event) {
		if hash, ok := platformPart(effect); ok {
			wanted = append(wanted, hash)
			continue
		}
		control.execute(effect)
	}
	if len(wanted) > 0 {
		control.runAsync(func(ctx context.Context) { control.daemon.fetchPlatformParts(ctx, wanted) })
	}
}

// platformPart returns the hash of the bundle part that an effect fetches from the platform, if it is such an effect.
func platformPart(effect core.Effect) (bundle.Hash, bool) {
	bundleEffect, ok := effect.(core.BundleEffect)
	if !ok {
		return bundle.Hash{}, false
	}
	fetch, ok := bundleEffect.Effect.(rollout.FetchPart)
	return fetch.Hash, ok && fetch.From == rollout.Platform
}

// takePending removes and returns the datagrams that wait for a flow.
func (control *control) takePending(hash id.Flow) []arrival {
	pending := control.pending[hash]
	delete(control.pending, hash)
	return pending.arrivals
}

func (control *control) deliver(arrival arrival, hash id.Flow, target flow.Target) {
	service, ok := control.daemon.routes.Load().Service(arrival.Service)
	if !ok {
		return
	}
	decoded, err := coap.Decode(arrival.Payload)
	if err != nil {
		return
	}
	control.daemon.serveFeed(arrival.Datagram, decoded, service, hash, target)
}

// requestClass returns the class of a request for its metrics.
func (control *control) requestClass(key request.Key) coap.Class {
	if open, ok := control.openRequests[key]; ok {
		return open.class
	}
	return coap.ClassOrder
}

func coapClass(class request.Class) coap.Class {
	if class == request.Idempotent {
		return coap.ClassExport
	}
	return coap.ClassOrder
}

// takeLatency returns the time since a request arrived, and removes the request from openRequests.
func (control *control) takeLatency(key request.Key) time.Duration {
	open, ok := control.openRequests[key]
	if !ok {
		return 0
	}
	delete(control.openRequests, key)
	return time.Since(open.startedAt)
}

// dropExpiredRequests removes requests that were never answered from openRequests.
func (control *control) dropExpiredRequests(now time.Time) {
	limit := 2 * control.daemon.settings.Limits.RequestDeadline.Std()
	for key, open := range control.openRequests {
		if now.Sub(open.startedAt) > limit {
			delete(control.openRequests, key)
		}
	}
}

func (control *control) live() bool {
	lastIteration := control.lastIteration.Load()
	return lastIteration == 0 || time.Since(time.Unix(0, lastIteration)) < _maxIterationGap
}

func (control *control) logError(logged event.Event, err error) {
	if err != nil {
		control.daemon.log.LogError(logged, err, nil)
	}
}
