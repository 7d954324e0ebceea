// Package testbed runs a whole deployment on the loopback addresses of one machine: entry instances as they are, and
// stand-ins of the users' platform around them.
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

// Ports that every machine of a testbed uses.
const (
	_packetPort    = 8172
	_readyPort     = 8167
	_relayPort     = 8166
	_metricsPort   = 7720
	_storePort     = 8169
	_targetPort    = 8080
	_claimPort     = 8099
	_servicePort   = 443
	_orderPort     = 8080
	_downloadPort  = 8443
	_firstOctet    = 127
	_octets        = 200
	_leastOctet    = 10
	_instanceNet   = 10
	_targetNet     = 30
	_clientNet     = 50
	_routerNet     = 70
	_storeNet      = 90
	_hiddenStore   = 110
	_hiddenTarget  = 130
	_mostPerDomain = 250
)

// The routes of every testbed.
var (
	// Feeds leads long flows of idempotent requests to the service chiosco.
	Feeds = packet.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: _servicePort}
	// Orders leads long flows of requests that may run once at most to the service chiosco.
	Orders = packet.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: _orderPort}
	// Downloads leads a flow for each request to the service stampa.
	Downloads = packet.Endpoint{Address: [4]byte{198, 18, 0, 2}, Port: _downloadPort}
)

// Launcher starts entry instances.
type Launcher interface {
	Launch(config settings.Entry) (Process, error)
}

// Process is a running entry instance.
type Process interface {
	// Stop begins a planned stop and waits for its end.
	Stop()
	// Kill ends the instance at once, if the launcher can.
	Kill()
}

// Config describes a testbed.
type Config struct {
	Domains []id.Domain
	// Instances and Targets are numbers for each failure domain; targets are of the service chiosco, and every fourth
	// of stampa.
	Instances int
	Targets   int
	Slots     int
	Work      time.Duration
	Launcher  Launcher
	Seed      uint64
	// Grace bounds a planned stop of an instance.
	Grace time.Duration
	// Proxied puts a proxy between each instance and the store, and before each backend server.
	Proxied bool
}

// Testbed is a running deployment.
type Testbed struct {
	Store    *metastore.Store
	Requests *Ledger

	config  Config
	octet   byte
	claimed net.Listener
	ctx     context.Context
	end     context.CancelFunc
	routers []*flows.Router

	mu        sync.Mutex
	instances []*Instance
	targets   []*Server
	next      uint64
	version   int
	extra     []string
	// networks holds the proxies before backend servers by their addresses, which several servers may use one after the
	// other.
	networks map[netip.AddrPort]*proxy.Proxy
	services map[string]string
}

// Instance is an entry instance of a testbed.
type Instance struct {
	Name id.Instance
	// Network is the proxy to the store, if there are proxies.
	Network *proxy.Proxy

	domain  int
	config  settings.Entry
	process Process
}

// Server is a backend server of a testbed.
type Server struct {
	*flows.Target
	// Network is the proxy before the server, if there are proxies.
	Network *proxy.Proxy

	config flows.TargetConfig
	domain int
	number int
}

// New starts the stand-ins and the instances.
func New(config Config) (*Testbed, error) {
	ctx, end := context.WithCancel(context.Background())
	testbed := &Testbed{
		Store:    metastore.New(metastore.Config{Seed: config.Seed}),
		Requests: newLedger(),
		config:   config,
		ctx:      ctx,
		end:      end,
		version:  1,
		networks: make(map[netip.AddrPort]*proxy.Proxy),
		services: make(map[string]string),
	}
	if err := testbed.start(); err != nil {
		testbed.Close()
		return nil, err
	}
	return testbed, nil
}

// claim takes loopback addresses that no other testbed of this machine uses.
func (testbed *Testbed) claim() error {
	var err error
	for range _octets {
		testbed.octet = byte(_leastOctet + rand.IntN(_octets))
		address := netip.AddrFrom4([4]byte{_firstOctet, testbed.octet, 0, 1})
		testbed.claimed, err = net.Listen("tcp4", netip.AddrPortFrom(address, _claimPort).String())
		if err == nil {
			return nil
		}
	}
	return eris.Wrap(err, "claim loopback addresses; end other testbeds")
}

func (testbed *Testbed) start() error {
	if err := testbed.claim(); err != nil {
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

// Close stops everything.
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
	testbed.end()
	if testbed.claimed != nil {
		_ = testbed.claimed.Close()
	}
}

// address returns an address of a machine in a failure domain.
func (testbed *Testbed) address(network, domain, number int, port uint16) netip.AddrPort {
	octets := [4]byte{_firstOctet, testbed.octet, byte(network + domain), byte(number + 1)}
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
	for _, known := range testbed.Instances() {
		if known.domain == domain {
			number++
		}
	}
	if number >= _mostPerDomain {
		return nil, eris.Errorf("failure domain %s is full", testbed.config.Domains[domain])
	}
	name := id.Instance(fmt.Sprintf("%s-%d", testbed.config.Domains[domain], number+1))
	at := func(port uint16) netip.AddrPort { return testbed.address(_instanceNet, domain, number, port) }
	store := testbed.address(_storeNet, domain, number, _storePort)
	network, err := testbed.serveStore(store, testbed.address(_hiddenStore, domain, number, _storePort), name)
	if err != nil {
		return nil, err
	}
	instance := &Instance{Name: name, Network: network, domain: domain, config: settings.Entry{
		Instance: name, Domain: testbed.config.Domains[domain], Region: "testbed",
		Packets:   settings.Listener{Listen: at(_packetPort)},
		Readiness: settings.Listener{Listen: at(_readyPort)},
		Metrics:   settings.Listener{Listen: at(_metricsPort)},
		Relay:     settings.Relay{Listen: at(_relayPort), Seeds: testbed.seeds()},
		Store:     settings.Store{Address: store},
		Bounds:    settings.Bounds{Grace: settings.Duration(testbed.config.Grace)},
	}}
	testbed.mu.Lock()
	testbed.instances = append(testbed.instances, instance)
	testbed.mu.Unlock()
	testbed.routers[domain].Add(instance.routed())
	return instance, testbed.Start(instance)
}

// serveStore lets the store listen to one instance at an address, or behind a proxy there.
func (testbed *Testbed) serveStore(shown, hidden netip.AddrPort, name id.Instance) (*proxy.Proxy, error) {
	if !testbed.config.Proxied {
		hidden = shown
	}
	if _, err := testbed.Store.Serve(testbed.ctx, hidden.String(), string(name)); err != nil {
		return nil, err
	}
	return testbed.interpose(shown, hidden)
}

// interpose puts a proxy between two addresses, if there are proxies.
func (testbed *Testbed) interpose(shown, hidden netip.AddrPort) (*proxy.Proxy, error) {
	if !testbed.config.Proxied {
		return nil, nil
	}
	network, err := proxy.Start(shown, hidden)
	if err == nil {
		context.AfterFunc(testbed.ctx, network.Close)
	}
	return network, err
}

// seeds are the first instances of the failure domains.
func (testbed *Testbed) seeds() []netip.AddrPort {
	seeds := make([]netip.AddrPort, 0, len(testbed.config.Domains))
	for domain := range testbed.config.Domains {
		seeds = append(seeds, testbed.address(_instanceNet, domain, 0, _relayPort))
	}
	return seeds
}

func (instance *Instance) routed() flows.Instance {
	return flows.Instance{
		Packets: instance.config.Packets.Listen, Readiness: instance.config.Readiness.Listen,
	}
}

// Process returns the running process of an instance.
func (instance *Instance) Process() Process {
	return instance.process
}

// Start starts an instance that was stopped or killed.
func (testbed *Testbed) Start(instance *Instance) error {
	process, err := testbed.config.Launcher.Launch(instance.config)
	if err != nil {
		return eris.Wrapf(err, "start %s", instance.Name)
	}
	instance.process = process
	return nil
}

// WaitReady waits until every instance gets packets.
func (testbed *Testbed) WaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		missing := 0
		for domain, router := range testbed.routers {
			if router.InRotation() < testbed.config.Instances {
				missing = domain + 1
			}
		}
		if missing == 0 && len(testbed.Store.Keys("azureshift/instances/")) >= len(testbed.Instances()) {
			return nil
		}
		if time.Now().After(deadline) {
			return eris.Errorf("instances of %s are not ready", testbed.config.Domains[max(missing-1, 0)])
		}
		time.Sleep(_waitPause)
	}
}

const _waitPause = 20 * time.Millisecond

// Client starts a client in a failure domain.
func (testbed *Testbed) Client(domain, number int) (*flows.Client, error) {
	return flows.StartClient(flows.ClientConfig{
		Listen: testbed.address(_clientNet, domain, number, _packetPort),
		Router: testbed.routers[domain].Address(),
	})
}
