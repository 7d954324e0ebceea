package daemon

import (
	"github.com/rotisserie/eris"

	"azureshift/bundle"
	"azureshift/event"
	"azureshift/io/file"
	"azureshift/io/operator"
	"azureshift/io/peer"
	"azureshift/io/platform"
	"azureshift/metrics"
	"azureshift/settings"
)

// open loads keys and opens sockets, in the order in which they depend on each other.
func (daemon *Daemon) open(config Config) error {
	var err error
	daemon.log, err = event.NewLogger(event.Config{
		Instance: daemon.settings.Instance,
		Domain:   daemon.settings.Domain,
		Output:   config.LogOutput,
		Level:    daemon.settings.Log.Level,
		JSON:     daemon.settings.Log.Format == settings.FormatJSON,
	})
	if err != nil {
		return err
	}
	daemon.metrics, err = metrics.New(metrics.Config{
		Instance: daemon.settings.Instance, Domain: daemon.settings.Domain,
	})
	if err != nil {
		return err
	}
	if daemon.keys, err = loadPublicKeys(daemon.settings.Bundle.PublicKeyFiles); err != nil {
		return err
	}
	if daemon.platform, err = daemon.openPlatform(); err != nil {
		return err
	}
	if daemon.fabric, err = listenUDP(daemon.settings.Fabric.Listen, "Fabric.Listen"); err != nil {
		return err
	}
	if daemon.backend, err = listenUDP(daemon.settings.Backend.Listen, "Backend.Listen"); err != nil {
		return err
	}
	if daemon.peers, err = daemon.openPeers(); err != nil {
		return err
	}
	daemon.operator, err = operator.New(operator.Config{
		Listen: daemon.settings.Operator.Listen, Source: daemon, Metrics: daemon.metrics.Handler(),
	})
	return err
}

func (daemon *Daemon) openPlatform() (*platform.Client, error) {
	return platform.New(platform.Config{
		Address:   daemon.settings.Platform.Address,
		Domain:    daemon.settings.Domain,
		Timeout:   daemon.settings.Platform.Timeout.Std(),
		WatchWait: daemon.settings.Platform.Watch.Std(),
		Transport: daemon.gatedTransport(),
	})
}

func (daemon *Daemon) openPeers() (*peer.Conn, error) {
	keys, err := daemon.loadSharedKeys()
	if err != nil {
		return nil, err
	}
	registry, err := newRegistry()
	if err != nil {
		return nil, err
	}
	return peer.Listen(peer.Config{
		Member:    daemon.self,
		Listen:    daemon.settings.Peer.Listen,
		Advertise: daemon.settings.Peer.Advertise,
		Keys:      keys,
		Registry:  registry,
		Observer:  daemon.metrics.PeerObserver(),
	})
}

// loadSharedKeys loads the configured keys. Without any, it returns a random key, so that the instance has no peers.
func (daemon *Daemon) loadSharedKeys() ([]peer.Key, error) {
	if len(daemon.settings.Peer.KeyFiles) > 0 {
		return peer.LoadKeys(daemon.settings.Peer.KeyFiles)
	}
	daemon.log.Log(event.NoPeers, nil)
	key, err := peer.RandomKey()
	return []peer.Key{key}, err
}

func loadPublicKeys(paths []string) (bundle.KeyRing, error) {
	var joined []byte
	for _, path := range paths {
		raw, err := file.Read(path)
		if err != nil {
			return bundle.KeyRing{}, eris.Wrapf(err, "read %s; correct Bundle.PublicKeyFiles", path)
		}
		joined = append(joined, raw...)
	}
	return bundle.ParseKeyRing(joined)
}

// close closes the sockets and metrics that were opened; those that could not be opened are nil.
func (daemon *Daemon) close() {
	if daemon.fabric != nil {
		_ = daemon.fabric.Close()
	}
	if daemon.backend != nil {
		_ = daemon.backend.Close()
	}
	if daemon.peers != nil {
		_ = daemon.peers.Close()
	}
	if daemon.metrics != nil {
		_ = daemon.metrics.Close()
	}
}
