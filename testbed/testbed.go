// Package testbed runs a complete deployment on the loopback addresses of one machine: real entry instances, and
// stand-ins for the platform, its clients and its backend servers.
package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/settings"
	"azureshift/standin/flows"
	"azureshift/standin/metastore"
	"azureshift/standin/proxy"
)

// Layout of the loopback addresses: the ports, and the base of the third octet for each role, to which the index of the
// failure domain is added. The second octet tells apart the testbeds of one machine.
const (
	_packetPort            = 8172
	_readyPort             = 8167
	_relayPort             = 8166
	_metricsPort           = 7720
	_storePort             = 8169
	_targetPort            = 8080
	_reservationPort       = 8099
	_servicePort           = 443
	_orderPort             = 8080
	_downloadPort          = 8443
	_firstOctet            = 127
	_octetCount            = 200
	_minOctet              = 10
	_instanceNet           = 10
	_targetNet             = 30
	_clientNet             = 50
	_routerNet             = 70
	_storeNet              = 90
	_upstreamStoreNet      = 110
	_upstreamTargetNet     = 130
	_maxInstancesPerDomain = 250
)

// The endpoints of the base routes.
var (
	// FeedEndpoint routes long-lived flows of idempotent requests to the service chiosco.
	FeedEndpoint = packet.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: _servicePort}
	// OrderEndpoint routes long-lived flows of at-most-once requests to the service chiosco.
	OrderEndpoint = packet.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: _orderPort}
	// DownloadEndpoint routes flows of one request each to the service stampa.
	DownloadEndpoint = packet.Endpoint{Address: [4]byte{198, 18, 0, 2}, Port: _downloadPort}
)

// Launcher starts entry instances.
type Launcher interface {
	Launch(config settings.Entry) (Process, error)
}

// Process is a running entry instance.
type Process interface {
	// Stop starts a planned stop and waits until the instance has exited.
	Stop()
	// Kill ends the instance immediately, if the launcher supports that.
	Kill()
}

// Config describes a testbed.
type Config struct {
	Domains []id.Domain
	// Instances and Targets are counts per failure domain. Every fourth target serves stampa, the others chiosco.
	Instances   int
	Targets     int
	Slots       int
	ServiceTime time.Duration
	Launcher    Launcher
	Seed        uint64
	// Grace limits the duration of a planned stop of an instance.
	Grace time.Duration
	// Evacuation is the time within which an evacuated failure domain gets no new flows; zero disables evacuations.
	Evacuation time.Duration
	// Proxied puts a proxy between each instance and the store, and in front of each backend server.
	Proxied bool
}

// Testbed is a running deployment.
type Testbed struct {
	Store      *metastore.Store
	Executions *ExecutionLog

	config      Config
	secondOctet byte
	reservation net.Listener
	ctx         context.Context
	cancel      context.CancelFunc
	routers     []*flows.Router

	mu               sync.Mutex
	instances        []*Instance
	targets          []*Server
	lastServerNumber uint64
	version          int
	extraAddresses   []string
	// proxies holds the proxies in front of backend servers by address. A server that takes over an address reuses its
	// proxy.
	proxies map[netip.AddrPort]*proxy.Proxy
	// started holds the configurations of servers by id and keeps servers that have ended.
	started map[string]flows.TargetConfig
	// evacuated holds the failure domains that the operator evacuates.
	evacuated map[id.Domain]bool
}

// Instance is an entry instance of a testbed.
type Instance struct {
	Name id.Instance
	// Proxy is the proxy between the instance and the store; nil unless Config.Proxied is set.
	Proxy *proxy.Proxy

	domain  int
	config  settings.Entry
	process Process
}

// Server is a backend server of a testbed.
type Server struct {
	*flows.Target
	// Proxy is the proxy in front of the server; nil unless Config.Proxied is set.
	Proxy *proxy.Proxy

	config flows.TargetConfig
	domain int
	number int
}

// New starts the stand-ins and the instances.
func New(config Config) (*Testbed, error) {
	ctx, cancel := context.WithCancel(context.Background())
	testbed := &Testbed{
		Store:      metastore.New(metastore.Config{Seed: config.Seed}),
		Executions: newExecutionLog(),
		config:     config,
		ctx:        ctx,
		cancel:     cancel,
		version:    1,
		proxies:    make(map[netip.AddrPort]*proxy.Proxy),
		started:    make(map[string]flows.TargetConfig),
		evacuated:  make(map[id.Domain]bool),
	}
	if err := testbed.start(); err != nil {
		testbed.Close()
		return nil, err
	}
	return testbed, nil
}

// reserveAddresses picks a second octet that no other testbed on this machine uses, and holds a port as its lock.
func (testbed *Testbed) reserveAddresses() error {
	var err error
	for range _octetCount {
		testbed.secondOctet = byte(_minOctet + rand.IntN(_octetCount))
		address := netip.AddrFrom4([4]byte{_firstOctet, testbed.secondOctet, 0, 1})
		testbed.reservation, err = net.Listen("tcp4", netip.AddrPortFrom(address, _reservationPort).String())
		if err == nil {
			return nil
		}
	}
	return eris.Wrap(err, "reserve loopback addresses; stop other testbeds on this machine")
}

func (testbed *Testbed) start() error {
	if err := testbed.reserveAddresses(); err != nil {
		return err
	}
	testbed.writeConfig()
	for domain := range testbed.config.Domains {
		router, err := flows.StartRouter(testbed.ctx, testbed.address(_routerNet, domain, 0, _packetPort))
		if err != nil {
			return err
		}
		testbed.routers = append(testbed.routers, router)
		for range testbed.config.Targets {
			if _, err := testbed.AddTarget(domain); err != nil {
				return err
			}
		}
		for range testbed.config.Instances {
			if _, err := testbed.AddInstance(domain); err != nil {
				return err
			}
		}
	}
	return nil
}

// Close stops the instances, the servers and the stand-ins.
func (testbed *Testbed) Close() {
	var group conc.WaitGroup
	for _, instance := range testbed.Instances() {
		if instance.process != nil {
			group.Go(instance.process.Stop)
		}
	}
	group.Wait()
	for _, server := range testbed.Targets() {
		server.Crash()
	}
	testbed.cancel()
	if testbed.reservation != nil {
		_ = testbed.reservation.Close()
	}
}

// address returns the address of a machine, by its role, failure domain and number.
func (testbed *Testbed) address(base, domain, number int, port uint16) netip.AddrPort {
	octets := [4]byte{_firstOctet, testbed.secondOctet, byte(base + domain), byte(number + 1)}
	return netip.AddrPortFrom(netip.AddrFrom4(octets), port)
}

// Instances returns the entry instances.
func (testbed *Testbed) Instances() []*Instance {
	testbed.mu.Lock()
	defer testbed.mu.Unlock()
	return append([]*Instance(nil), testbed.instances...)
}

// Targets returns the backend servers.
func (testbed *Testbed) Targets() []*Server {
	testbed.mu.Lock()
	defer testbed.mu.Unlock()
	return append([]*Server(nil), testbed.targets...)
}

// AddInstance starts another entry instance in a failure domain.
func (testbed *Testbed) AddInstance(domain int) (*Instance, error) {
	number := 0
	for _, other := range testbed.Instances() {
		if other.domain == domain {
			number++
		}
	}
	if number >= _maxInstancesPerDomain {
		return nil, eris.Errorf("failure domain %s has no address left for another instance", testbed.config.Domains[domain])
	}
	name := id.Instance(fmt.Sprintf("%s-%d", testbed.config.Domains[domain], number+1))
	at := func(port uint16) netip.AddrPort { return testbed.address(_instanceNet, domain, number, port) }
	store := testbed.address(_storeNet, domain, number, _storePort)
	storeProxy, err := testbed.serveStore(store, testbed.address(_upstreamStoreNet, domain, number, _storePort), name)
	if err != nil {
		return nil, err
	}
	instance := &Instance{Name: name, Proxy: storeProxy, domain: domain, config: settings.Entry{
		Instance: name, Domain: testbed.config.Domains[domain], Region: "testbed",
		Packets:   settings.Listener{Listen: at(_packetPort)},
		Readiness: settings.Listener{Listen: at(_readyPort)},
		Metrics:   settings.Listener{Listen: at(_metricsPort)},
		Relay:     settings.Relay{Listen: at(_relayPort), Seeds: testbed.seeds()},
		Store:     settings.Store{Address: store},
		Bounds: settings.Bounds{
			Grace: settings.Duration(testbed.config.Grace), Evacuation: settings.Duration(testbed.config.Evacuation),
		},
	}}
	testbed.mu.Lock()
	testbed.instances = append(testbed.instances, instance)
	testbed.mu.Unlock()
	testbed.routers[domain].Add(instance.routerEntry())
	return instance, testbed.Start(instance)
}

// serveStore makes the store listen for one instance at the advertised address, or behind a proxy at that address.
func (testbed *Testbed) serveStore(advertised, upstream netip.AddrPort, name id.Instance) (*proxy.Proxy, error) {
	if !testbed.config.Proxied {
		upstream = advertised
	}
	if _, err := testbed.Store.Serve(testbed.ctx, upstream.String(), string(name)); err != nil {
		return nil, err
	}
	return testbed.startProxy(advertised, upstream)
}

// startProxy starts a proxy from the advertised to the upstream address, or returns nil if there are no proxies.
func (testbed *Testbed) startProxy(advertised, upstream netip.AddrPort) (*proxy.Proxy, error) {
	if !testbed.config.Proxied {
		return nil, nil
	}
	started, err := proxy.Start(advertised, upstream)
	if err == nil {
		context.AfterFunc(testbed.ctx, started.Close)
	}
	return started, err
}

// seeds returns the relay addresses of the first instance of each failure domain.
func (testbed *Testbed) seeds() []netip.AddrPort {
	seeds := make([]netip.AddrPort, 0, len(testbed.config.Domains))
	for domain := range testbed.config.Domains {
		seeds = append(seeds, testbed.address(_instanceNet, domain, 0, _relayPort))
	}
	return seeds
}

func (instance *Instance) routerEntry() flows.Instance {
	return flows.Instance{
		Packets: instance.config.Packets.Listen, Readiness: instance.config.Readiness.Listen,
	}
}

// Process returns the running process of an instance.
func (instance *Instance) Process() Process {
	return instance.process
}

// Start launches the process of an instance that is new or was stopped or killed.
func (testbed *Testbed) Start(instance *Instance) error {
	process, err := testbed.config.Launcher.Launch(instance.config)
	if err != nil {
		return eris.Wrapf(err, "start %s", instance.Name)
	}
	instance.process = process
	return nil
}

// WaitReady waits until every instance is registered and the routers send it packets.
func (testbed *Testbed) WaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		notReady := 0
		for domain, router := range testbed.routers {
			if router.InRotation() < testbed.config.Instances {
				notReady = domain + 1
			}
		}
		if notReady == 0 && len(testbed.Store.Keys("azureshift/instances/")) >= len(testbed.Instances()) {
			return nil
		}
		if time.Now().After(deadline) {
			return eris.Errorf("instances of %s are not ready", testbed.config.Domains[max(notReady-1, 0)])
		}
		time.Sleep(_pollInterval)
	}
}

const _pollInterval = 20 * time.Millisecond

// Client starts a client in a failure domain.
func (testbed *Testbed) Client(domain, number int) (*flows.Client, error) {
	return flows.StartClient(flows.ClientConfig{
		Listen: testbed.address(_clientNet, domain, number, _packetPort),
		Router: testbed.routers[domain].Address(),
	})
}
