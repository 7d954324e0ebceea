// Package entry runs one entry instance in front of the users' platform: sockets, calls and files around the control
// state of core/entry and the decisions of core/steer.
package entry

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

	"azureshift/core/catalog"
	core "azureshift/core/entry"
	"azureshift/core/id"
	"azureshift/core/steer"
	"azureshift/event"
	"azureshift/io/relay"
	"azureshift/platform"
	"azureshift/settings"
)

const (
	// _eventQueue is the number of events that wait for the control thread; what is soon repeated is dropped beyond it.
	_eventQueue = 256
	// _logQueue is the number of lines that wait for the standard output.
	_logQueue = 1024
	// _logPeriod and _logBurst bound the lines of events that traffic causes.
	_logPeriod = time.Second
	_logBurst  = 50
	// _views is the number of large views that are sent at a time. Such a view can fill a small link for a tenth of a
	// second, and packets of clients need it too; who is turned away asks the store.
	_views = 2
	// _millicores is the number of parts in which the share of a processor is told to other instances.
	_millicores = 1000
)

// Config is what a daemon needs.
type Config struct {
	Settings settings.Entry
	// Path is the settings file, which is read again when it changes; empty for none.
	Path string
	// Output gets the log.
	Output io.Writer
}

// Daemon is one entry instance.
type Daemon struct {
	settings settings.Entry
	path     string
	output   io.Writer
	clock    clock
	log      *event.Logger
	lines    *event.Queue
	metrics  *meters

	state   *core.State
	events  chan core.Event
	queries chan query
	ready   atomic.Bool
	// informed is closed when the instance knows where to send packets.
	informed   chan struct{}
	informOnce sync.Once
	store      *platform.Store
	peers      *relay.Client

	packets *net.UDPConn
	control *net.UDPConn

	mu       sync.Mutex
	steering *steer.Steering
	// arrived is when the last packet came.
	arrived time.Duration

	calls conc.WaitGroup
}

// query asks the control thread for a view.
type query struct {
	known  core.Known
	answer chan<- core.View
}

// New opens the sockets of an instance. Run serves until its context ends.
func New(config Config) (*Daemon, error) {
	lines := event.NewQueue(_logQueue)
	log, err := event.NewLogger(event.Config{
		Instance: config.Settings.Instance,
		Domain:   config.Settings.Domain,
		Output:   lines,
		Level:    config.Settings.Log.Level,
		JSON:     config.Settings.Log.Format == settings.FormatJSON,
		Period:   _logPeriod,
		Burst:    _logBurst,
	})
	if err != nil {
		return nil, err
	}
	daemon := &Daemon{
		settings: config.Settings,
		path:     config.Path,
		output:   config.Output,
		clock:    newClock(),
		log:      log,
		lines:    lines,
		metrics:  newMeters(config.Settings.Instance, config.Settings.Domain),
		events:   make(chan core.Event, _eventQueue),
		queries:  make(chan query),
		informed: make(chan struct{}),
		store:    platform.NewStore(config.Settings.Store.Address.String()),
		peers:    relay.NewClient(),
		steering: steer.New(),
	}
	daemon.state = core.New(daemon.coreConfig())
	return daemon, daemon.listen()
}

func (daemon *Daemon) coreConfig() core.Config {
	return core.Config{
		Self: catalog.Instance{
			Name:        daemon.settings.Instance,
			Domain:      daemon.settings.Domain,
			Address:     daemon.settings.Relay.Listen,
			Incarnation: id.Incarnation(daemon.clock.started.UnixNano()),
			Capacity:    int(daemon.settings.Machine.Processor * _millicores),
		},
		Limits: limitsOf(daemon.settings),
		Seeds:  daemon.settings.Relay.Seeds,
		Random: randomShare,
	}
}

func limitsOf(config settings.Entry) core.Limits {
	return core.Limits{
		Drain:       config.Bounds.Drain.Std(),
		Convergence: config.Bounds.Convergence.Std(),
		FlowLife:    config.Bounds.FlowLife.Std(),
		LeastLease:  config.Store.LeastLease.Std(),
	}
}

func (daemon *Daemon) listen() error {
	var err error
	if daemon.packets, err = listenUDP(daemon.settings.Packets.Listen); err != nil {
		return eris.Wrapf(err, "listen for packets; free %s or change Packets.Listen", daemon.settings.Packets.Listen)
	}
	if daemon.control, err = listenUDP(daemon.settings.Relay.Listen); err != nil {
		return eris.Wrapf(err, "listen for other instances; free %s or change Relay.Listen",
			daemon.settings.Relay.Listen)
	}
	return nil
}

// settled logs an error that changes nothing any more.
func (daemon *Daemon) settled(err error) {
	if err != nil {
		daemon.log.LogError(event.StatusUnavailable, err, nil)
	}
}

func listenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
}

// Run serves until the context ends, and then until a planned stop is done.
func (daemon *Daemon) Run(ctx context.Context) {
	ended := make(chan struct{})
	written := make(chan struct{})
	go func() {
		daemon.lines.Drain(daemon.output, ended)
		close(written)
	}()
	daemon.log.Log(event.Starting, event.Fields{"Packets": daemon.settings.Packets.Listen.String()})
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	var threads conc.WaitGroup
	threads.Go(func() { daemon.servePages(running) })
	threads.Go(daemon.readPackets)
	threads.Go(daemon.readPeers)
	threads.Go(func() { daemon.watchSettings(running) })
	daemon.runControl(ctx)
	stop()
	_ = daemon.packets.Close()
	_ = daemon.control.Close()
	threads.Wait()
	daemon.calls.Wait()
	daemon.settled(daemon.metrics.closer.Close())
	daemon.log.Log(event.Stopped, nil)
	close(ended)
	<-written
}
