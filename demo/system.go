package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"azureshift/bundle"
	"azureshift/core/id"
	"azureshift/daemon"
	"azureshift/settings"
	"azureshift/standin/backend"
	"azureshift/standin/fabric"
	"azureshift/standin/loopback"
	"azureshift/standin/platform"
)

const (
	_listLag       = time.Second
	_headerTimeout = 5 * time.Second
	_startTimeout  = 30 * time.Second
	_pollInterval  = 50 * time.Millisecond
)

// system is one running deployment.
type system struct {
	config     Config
	deployment Deployment
	block      *loopback.Block
	dir        string
	network    *network
	log        io.Writer
	group      conc.WaitGroup
	recorder   *recorder
	// serving is done when the run ends; rolling is held while a bundle is rolled.
	serving context.Context
	rolling sync.Mutex

	platform        *platform.Platform
	platformAddress netip.AddrPort
	operator        *operator
	credentials     credentials
	bundle          bundle.Bundle
	returnAddress   netip.AddrPort
	fabric          *fabric.Fabric
	instances       []*instance
	targets         []*target
}

type instance struct {
	name              id.Instance
	domain            id.Domain
	address           netip.AddrPort
	daemon            *daemon.Daemon
	kill              context.CancelFunc
	ended             chan struct{}
	removedFromFabric bool
}

type target struct {
	bundle  bundle.Target
	service id.Service
	backend *backend.Backend
	kill    context.CancelFunc
}

func newSystem(config Config, deployment Deployment) (*system, error) {
	block, err := loopback.Reserve(config.Seed)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "azureshift-demo-")
	if err != nil {
		return nil, eris.Wrap(err, "create the directory for keys")
	}
	system := &system{
		config: config, deployment: deployment, block: block, dir: dir, network: newNetwork(), log: config.Log,
	}
	system.bundle.Version = 1
	return system, nil
}

// start starts the platform and the targets, rolls the first bundle, starts the instances and the fabric, and
// waits until the instances are ready.
func (system *system) start(ctx context.Context) error {
	system.serving = ctx
	if err := system.startPlatform(ctx); err != nil {
		return err
	}
	for _, service := range system.deployment.Services {
		if err := system.startService(ctx, service); err != nil {
			return err
		}
	}
	if err := system.operator.roll(ctx, system.bundle, 0); err != nil {
		return eris.Wrap(err, "roll the first bundle")
	}
	var err error
	if system.returnAddress, err = system.block.Next(); err != nil {
		return err
	}
	for index := range system.deployment.Instances {
		if err := system.startInstance(ctx, index); err != nil {
			return err
		}
	}
	if err := system.startFabric(ctx); err != nil {
		return err
	}
	return system.awaitReady(ctx)
}

func (system *system) startPlatform(ctx context.Context) error {
	var err error
	if system.platformAddress, err = system.block.Next(); err != nil {
		return err
	}
	system.platform = platform.NewWithConfig(platform.Config{Lag: _listLag, Seed: system.config.Seed})
	server := &http.Server{
		Addr: system.platformAddress.String(), Handler: system.platform, ReadHeaderTimeout: _headerTimeout,
	}
	system.group.Go(func() { _ = server.ListenAndServe() })
	system.group.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	if system.operator, err = newOperator("http://" + system.platformAddress.String()); err != nil {
		return err
	}
	system.credentials, err = system.operator.writeCredentials(system.dir)
	return err
}

func (system *system) startService(ctx context.Context, service Service) error {
	address, err := system.block.Next()
	if err != nil {
		return err
	}
	described := bundle.Service{Name: service.Name, Customer: system.deployment.Customer, Address: address}
	for index := range service.Targets {
		started, err := system.startTarget(ctx, service, index)
		if err != nil {
			return err
		}
		described.Targets = append(described.Targets, started.bundle)
	}
	system.bundle.Services = append(system.bundle.Services, described)
	return nil
}

func (system *system) startTarget(ctx context.Context, service Service, index int) (*target, error) {
	domain := system.deployment.Domains[index%len(system.deployment.Domains)]
	address, err := system.block.Next()
	if err != nil {
		return nil, err
	}
	described := bundle.Target{
		Name:        id.Target(fmt.Sprintf("%s-%d", service.Name, index)),
		Domain:      domain,
		Address:     address,
		Health:      address,
		Slots:       service.Slots,
		Connections: service.Connections,
		Mode:        bundle.ModeActive,
	}
	running, err := backend.New(backend.Config{
		Service:      service.Name,
		Target:       described.Name,
		Listen:       address,
		Health:       address,
		Slots:        service.Slots,
		ServiceTime:  service.ServiceTime,
		NotifyPeriod: _notifyPeriod,
		FeedLifetime: _feedLifetime,
		ExportBlocks: _exportBlocks,
	})
	if err != nil {
		return nil, eris.Wrapf(err, "start target %s", described.Name)
	}
	ctx, kill := context.WithCancel(ctx)
	started := &target{bundle: described, service: service.Name, backend: running, kill: kill}
	system.network.assignDomain(address, domain)
	system.targets = append(system.targets, started)
	system.group.Go(func() { running.Run(ctx) })
	return started, nil
}

func (system *system) startInstance(ctx context.Context, index int) error {
	domain := system.deployment.Domains[index%len(system.deployment.Domains)]
	name := id.Instance(fmt.Sprintf("%s-%d", domain, index/len(system.deployment.Domains)))
	config, err := system.instanceSettings(name, domain)
	if err != nil {
		return err
	}
	running, err := daemon.New(daemon.Config{
		Settings:      config,
		LogOutput:     system.log,
		NetworkFilter: gate{network: system.network, domain: domain},
	})
	if err != nil {
		return eris.Wrapf(err, "start instance %s", name)
	}
	ctx, kill := context.WithCancel(ctx)
	started := &instance{
		name: name, domain: domain, address: config.Fabric.Listen, daemon: running, kill: kill, ended: make(chan struct{}),
	}
	system.instances = append(system.instances, started)
	system.network.assignDomain(config.Backend.Listen, domain)
	system.network.assignDomain(config.Peer.Listen, domain)
	system.group.Go(func() {
		defer close(started.ended)
		running.Run(ctx)
	})
	return nil
}

func (system *system) instanceSettings(name id.Instance, domain id.Domain) (settings.Settings, error) {
	var addresses [4]netip.AddrPort
	for index := range addresses {
		address, err := system.block.Next()
		if err != nil {
			return settings.Settings{}, err
		}
		addresses[index] = address
	}
	config := settings.Settings{
		Instance: name,
		Region:   system.deployment.Region,
		Domain:   domain,
		Fabric:   settings.Fabric{Listen: addresses[0], Return: system.returnAddress},
		Backend:  settings.Backend{Listen: addresses[1]},
		Peer:     settings.Peer{Listen: addresses[2], KeyFiles: []string{system.credentials.sharedKey}},
		Operator: settings.Operator{Listen: addresses[3]},
		Platform: settings.Platform{Address: "http://" + system.platformAddress.String()},
		Bundle:   settings.Bundle{PublicKeyFiles: []string{system.credentials.publicKey}},
		Limits:   settings.Limits{FlowIdle: settings.Duration(_flowIdle), RequestDeadline: settings.Duration(_deadline)},
		Log:      settings.Log{Level: system.config.LogLevel},
	}
	return config.Complete()
}

func (system *system) startFabric(ctx context.Context) error {
	fabricConfig := fabric.Config{Return: system.returnAddress, Seed: system.config.Seed}
	for _, service := range system.bundle.Services {
		fabricConfig.Services = append(fabricConfig.Services, service.Address)
	}
	var err error
	if system.fabric, err = fabric.New(fabricConfig); err != nil {
		return err
	}
	system.updateFabric()
	system.group.Go(func() { system.fabric.Run(ctx) })
	return nil
}

// updateFabric gives the fabric the addresses of the instances that receive traffic.
func (system *system) updateFabric() {
	var addresses []netip.AddrPort
	for _, instance := range system.instances {
		if !instance.removedFromFabric {
			addresses = append(addresses, instance.address)
		}
	}
	system.fabric.SetInstances(addresses)
}

// awaitReady waits until every running instance is ready.
func (system *system) awaitReady(ctx context.Context) error {
	limit := time.Now().Add(_startTimeout)
	for _, instance := range system.instances {
		for instance.running() && len(instance.daemon.NotReady()) > 0 {
			if time.Now().After(limit) {
				return eris.Errorf("instance %s is not ready after %s: %v",
					instance.name, _startTimeout, instance.daemon.NotReady())
			}
			if !pause(ctx, _pollInterval) {
				return eris.Wrap(ctx.Err(), "wait for instances")
			}
		}
	}
	return nil
}

func (system *system) stop() error {
	system.group.Wait()
	if err := os.RemoveAll(system.dir); err != nil {
		return eris.Wrap(err, "remove the directory of keys")
	}
	return system.block.Close()
}
