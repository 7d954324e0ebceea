// Package entry runs one entry instance in front of the platform: it does the input and output for the control state of
// core/entry and the packet decisions of core/steer.
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
	// _eventQueueSize is the capacity of the queue of the control loop. While it is full, events that will be repeated
	// are dropped.
	_eventQueueSize = 256
	// _logQueueSize is the number of log lines that may wait to be written.
	_logQueueSize = 1024
	// _logPeriod and _logBurst limit the log lines of events that packets cause: at most _logBurst per event and period.
	_logPeriod = time.Second
	_logBurst  = 50
	// _maxViewTransfers is the maximum number of large views that are sent concurrently. One such view can fill a small
	// link, which client packets share, for a tenth of a second. An instance that is refused reads from the store.
	_maxViewTransfers = 2
	// _flowMemoryShare is the divisor of the memory of the machine for the flows that the instance tracks. Anyone can open
	// flows.
	_flowMemoryShare = 10
	_bytesPerMB      = 1_000_000
	// _millicoresPerCore converts processor cores to the unit in which other instances learn this one's capacity.
	_millicoresPerCore = 1000
)

// Config holds the parameters of a Daemon.
type Config struct {
	Settings settings.Entry
	// Path is the settings file, which is reloaded when it changes; it is empty if there is none.
	Path string
	// Output receives the log.
	Output io.Writer
}

// Daemon is one entry instance.
type Daemon struct {
	settings settings.Entry
	path     string
	output   io.Writer
	clock    clock
	log      *event.Logger
	logQueue *event.LineQueue
	metrics  *metrics

	state       *core.State
	events      chan core.Event
	viewQueries chan viewQuery
	ready       atomic.Bool
	// firstReady is closed when the instance is ready for the first time, which means that it knows where to forward
	// packets.
	firstReady     chan struct{}
	firstReadyOnce sync.Once
	store          *platform.StoreClient
	relayClient    *relay.Client

	packetConn *net.UDPConn
	peerConn   *net.UDPConn

	mu       sync.Mutex
	steering *steer.Steering
	// serversCounted is when the control loop last counted backend servers for the metrics.
	serversCounted time.Duration
	// lastPacket is when the last packet arrived.
	lastPacket time.Duration

	asyncEffects conc.WaitGroup
}

// viewQuery asks the control loop for a view.
type viewQuery struct {
	known  core.StateID
	answer chan<- core.View
}

// New returns a daemon whose sockets are open. Run starts it.
func New(config Config) (*Daemon, error) {
	logQueue := event.NewLineQueue(_logQueueSize)
	log, err := event.NewLogger(event.Config{
		Instance: config.Settings.Instance,
		Domain:   config.Settings.Domain,
		Output:   logQueue,
		Level:    config.Settings.Log.Level,
		JSON:     config.Settings.Log.Format == settings.FormatJSON,
		Period:   _logPeriod,
		Burst:    _logBurst,
	})
	if err != nil {
		return nil, err
	}
	daemon := &Daemon{
		settings:    config.Settings,
		path:        config.Path,
		output:      config.Output,
		clock:       newClock(),
		log:         log,
		logQueue:    logQueue,
		metrics:     newMetrics(config.Settings.Instance, config.Settings.Domain),
		events:      make(chan core.Event, _eventQueueSize),
		viewQueries: make(chan viewQuery),
		firstReady:  make(chan struct{}),
		relayClient: relay.NewClient(),
		steering: steer.New(steer.Config{
			MaxFlows: config.Settings.Machine.MemoryMB * _bytesPerMB / _flowMemoryShare / steer.FlowSize,
		}),
	}
	daemon.store = platform.NewStoreClient(platform.StoreConfig{
		Address: config.Settings.Store.Address.String(), OnSilence: daemon.logSilence, MaxValue: maxValue,
	})
	daemon.state = core.New(daemon.controlConfig())
	return daemon, daemon.listen()
}

func (daemon *Daemon) controlConfig() core.Config {
	return core.Config{
		Self: catalog.Instance{
			Name:        daemon.settings.Instance,
			Domain:      daemon.settings.Domain,
			Address:     daemon.settings.Relay.Listen,
			Incarnation: id.Incarnation(daemon.clock.started.UnixNano()),
			Capacity:    int(daemon.settings.Machine.Processor * _millicoresPerCore),
		},
		Limits: limitsOf(daemon.settings),
		Seeds:  daemon.settings.Relay.Seeds,
		Random: randomFraction,
	}
}

func limitsOf(config settings.Entry) core.Limits {
	return core.Limits{
		Drain:       config.Bounds.Drain.Std(),
		Convergence: config.Bounds.Convergence.Std(),
		MaxFlowLife: config.Bounds.FlowLife.Std(),
		MinLease:    config.Store.LeastLease.Std(),
		Evacuation:  config.Bounds.Evacuation.Std(),
		SlowStart:   core.SlowStartLimit{Overshoot: config.Bounds.SlowStartOvershoot, Slack: config.Bounds.SlowStartSlack},
		Placement: steer.Placement{
			FleetAdmission: config.Placement.Admission == settings.AdmissionFleet,
			EvenLoad:       config.Placement.Balance == settings.BalanceEven,

			EvenLoadIfUnequal: config.Placement.Balance == settings.BalanceDetected,
		},
	}
}

func (daemon *Daemon) listen() error {
	var err error
	if daemon.packetConn, err = listenUDP(daemon.settings.Packets.Listen); err != nil {
		return eris.Wrapf(err, "listen for packets; free %s or change Packets.Listen", daemon.settings.Packets.Listen)
	}
	if daemon.peerConn, err = listenUDP(daemon.settings.Relay.Listen); err != nil {
		return eris.Wrapf(err, "listen for other instances; free %s or change Relay.Listen",
			daemon.settings.Relay.Listen)
	}
	return nil
}

// logCloseError logs an error during shutdown, when it no longer affects the service.
func (daemon *Daemon) logCloseError(err error) {
	if err != nil {
		daemon.log.LogError(event.StatusUnavailable, err, nil)
	}
}

func listenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
}

// Run serves until the context ends, and returns after a planned stop.
func (daemon *Daemon) Run(ctx context.Context) {
	logDone := make(chan struct{})
	logDrained := make(chan struct{})
	go func() {
		daemon.logQueue.Drain(daemon.output, logDone)
		close(logDrained)
	}()
	daemon.log.Log(event.Starting, event.Fields{"Packets": daemon.settings.Packets.Listen.String()})
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	var goroutines conc.WaitGroup
	goroutines.Go(func() { daemon.servePages(serving) })
	goroutines.Go(daemon.readPackets)
	goroutines.Go(daemon.readPeers)
	goroutines.Go(func() { daemon.watchSettings(serving) })
	daemon.runControl(ctx)
	stop()
	_ = daemon.packetConn.Close()
	_ = daemon.peerConn.Close()
	goroutines.Wait()
	daemon.asyncEffects.Wait()
	daemon.logCloseError(daemon.metrics.closer.Close())
	daemon.log.Log(event.Stopped, nil)
	close(logDone)
	<-logDrained
}
