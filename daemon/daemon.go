// Package daemon runs an entry instance: it connects the sockets, the tables of open requests, feeds and flows, and the
// control state.
package daemon

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"azureshift/bundle"
	"azureshift/core"
	"azureshift/core/flow"
	"azureshift/core/id"
	"azureshift/core/placement"
	"azureshift/event"
	"azureshift/exchange"
	"azureshift/io/operator"
	"azureshift/io/peer"
	"azureshift/io/platform"
	"azureshift/metrics"
	"azureshift/settings"
)

const (
	_readBuffer        = 4 << 20
	_retransmitTimeout = 500 * time.Millisecond
	_fabricReaders     = 2
	_targetReaders     = 2
	_peerReaders       = 2
)

// Config configures a Daemon.
type Config struct {
	Settings settings.Settings
	// LogOutput receives the log lines.
	LogOutput io.Writer
	// NetworkFilter drops messages in tests and demos. If nil, no message is dropped.
	NetworkFilter NetworkFilter
}

// NetworkFilter decides whether a message may reach its destination, to simulate network partitions.
type NetworkFilter interface {
	Allows(destination netip.AddrPort) bool
}

// Daemon is an entry instance.
type Daemon struct {
	settings      settings.Settings
	self          id.Member
	started       time.Time
	networkFilter NetworkFilter
	log           *event.Logger
	metrics       *metrics.Metrics

	fabric   *net.UDPConn
	backend  *net.UDPConn
	peers    *peer.Conn
	platform *platform.Client
	operator *operator.Server
	keys     bundle.KeyRing

	control      *control
	mailbox      *mailbox
	datapath     *placement.Datapath
	routes       atomic.Pointer[core.Routes]
	requests     *exchange.Requests
	feeds        *exchange.Feeds
	observations *observations
	messageIDs   *messageIDs
	// lastNotificationID is the last message ID used for notifications to callers.
	lastNotificationID atomic.Uint32
	traffic            sync.Map
	counters           *counters
	polledTargets      atomic.Pointer[[]polledTarget]

	group    conc.WaitGroup
	handover chan struct{}
	left     chan struct{}
	stopping atomic.Bool
	// flowsFull reports whether Limits.Flows was reached when the flows were last counted.
	flowsFull atomic.Bool
	// served reports whether this instance has ever been ready.
	served atomic.Bool
	stop   sync.Once
}

// New creates an entry instance and opens its sockets.
func New(config Config) (*Daemon, error) {
	now := time.Now()
	daemon := &Daemon{
		settings:      config.Settings,
		self:          id.Member{Instance: config.Settings.Instance, Incarnation: id.Incarnation(now.UnixNano())},
		started:       now,
		networkFilter: config.NetworkFilter,
		mailbox:       newMailbox(config.Settings.Limits.Requests),
		datapath:      &placement.Datapath{Table: flow.NewTable(now)},
		observations:  newObservations(),
		messageIDs:    newMessageIDs(),
		counters:      newCounters(),
		handover:      make(chan struct{}),
		left:          make(chan struct{}),
	}
	daemon.requests = exchange.NewRequests(daemon.self.Incarnation, _retransmitTimeout)
	daemon.feeds = exchange.NewFeeds(daemon.self.Incarnation)
	if err := daemon.open(config); err != nil {
		daemon.close()
		return nil, err
	}
	daemon.control = newControl(daemon)
	return daemon, nil
}

// Run serves until a planned stop has completed or the context ends. Ending the context aborts work in progress.
func (daemon *Daemon) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	daemon.log.Log(event.Starting, event.Fields{
		"Fabric": daemon.settings.Fabric.Listen, "Peer": daemon.PeerAddress(), "Incarnation": daemon.self.Incarnation,
	})
	daemon.group.Go(func() { daemon.control.run(ctx) })
	for range _fabricReaders {
		daemon.group.Go(func() { daemon.readFabric(ctx) })
	}
	for range _targetReaders {
		daemon.group.Go(func() { daemon.readTargets(ctx) })
	}
	for range _peerReaders {
		daemon.group.Go(func() { daemon.peers.Receive(ctx, daemon.receivePeer) })
	}
	daemon.group.Go(func() { _ = daemon.peers.Serve(ctx, daemon.serveExchange) })
	daemon.group.Go(func() { daemon.retransmit(ctx) })
	daemon.group.Go(func() { daemon.pollTargets(ctx) })
	daemon.group.Go(func() { daemon.syncWithPlatform(ctx) })
	daemon.group.Go(func() {
		if err := daemon.operator.Run(ctx); err != nil {
			daemon.log.LogError(event.StatusUnavailable, err, nil)
		}
	})
	daemon.group.Go(func() { daemon.report(ctx) })
	select {
	case <-ctx.Done():
	case <-daemon.left:
	}
	cancel()
	daemon.close()
	daemon.group.Wait()
	daemon.log.Log(event.Stopped, nil)
}

// OperatorAddress returns the address that serves metrics, checks and status to operators.
func (daemon *Daemon) OperatorAddress() netip.AddrPort {
	return daemon.operator.Address()
}

// PeerAddress returns the address at which other instances reach this one.
func (daemon *Daemon) PeerAddress() netip.AddrPort {
	return daemon.peers.Address().AddrPort
}

// passes reports whether a message may reach its destination.
func (daemon *Daemon) passes(destination netip.AddrPort) bool {
	return daemon.networkFilter == nil || daemon.networkFilter.Allows(destination)
}

func listenUDP(address netip.AddrPort, field string) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s; free the port or change %s", address, field)
	}
	// The kernel may set a smaller buffer; docs/OPERATIONS.md names the limit to raise.
	_ = conn.SetReadBuffer(_readBuffer)
	return conn, nil
}
