package e2e

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/bundle"
	"azureshift/bundle/roll"
	// The tests build and run the whole program. The import makes a change of any part of it invalidate cached results.
	_ "azureshift/cmd"
	"azureshift/core/id"
	"azureshift/io/peer"
	"azureshift/io/platform"
	"azureshift/settings"
	"azureshift/standin/backend"
	"azureshift/standin/fabric"
	"azureshift/standin/loopback"
)

const (
	_instancesPerDomain = 3
	_targets            = 4
	_serviceTime        = 20 * time.Millisecond
	_rollLimit          = 10 * time.Second
	_fileMode           = 0o600
)

// deployment is a set of separate processes, with the addresses and keys that tests need to reach them.
type deployment struct {
	c         *qt.C
	binary    string
	dir       string
	block     *loopback.Block
	service   netip.AddrPort
	platform  string
	sharedKey string
	publicKey string
	instances []*exec.Cmd
}

var _domains = []id.Domain{"morbegno", "tirano"}

func startDeployment(c *qt.C) *deployment {
	deployment := &deployment{c: c, dir: c.TempDir()}
	block, err := loopback.Reserve(uint64(os.Getpid()))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = block.Close() })
	deployment.block = block
	deployment.service = deployment.address()
	deployment.binary = filepath.Join(deployment.dir, "azureshift")
	build, err := exec.Command("go", "build", "-o", deployment.binary, "azureshift").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", build))
	deployment.startPlatform()
	deployment.rollBundle(deployment.startTargets())
	deployment.startInstances()
	return deployment
}

func (deployment *deployment) startPlatform() {
	address := deployment.address()
	deployment.platform = "http://" + address.String()
	deployment.spawn("standin", "platform", "-listen", address.String())
}

func (deployment *deployment) startTargets() []bundle.Target {
	targets := make([]bundle.Target, 0, _targets)
	for index := range _targets {
		address := deployment.address()
		target := bundle.Target{
			Name: id.Target(fmt.Sprintf("chiosco-%d", index)), Domain: _domains[index%len(_domains)],
			Address: address, Health: address, Slots: 2, Connections: 100, Mode: bundle.ModeActive,
		}
		deployment.spawnWith(string(target.Name), "backend", backend.Config{
			Service: "chiosco", Target: target.Name, Listen: address, Health: address, Slots: target.Slots,
			ServiceTime: _serviceTime, NotifyPeriod: 100 * time.Millisecond, ExportBlocks: 4,
		})
		targets = append(targets, target)
	}
	return targets
}

// rollBundle signs off the first bundle and rolls it.
func (deployment *deployment) rollBundle(targets []bundle.Target) {
	c := deployment.c
	key, err := bundle.NewSigningKey()
	c.Assert(err, qt.IsNil)
	public, err := key.PublicPEM()
	c.Assert(err, qt.IsNil)
	deployment.publicKey = deployment.writeRaw("public.pem", public)
	deployment.sharedKey = deployment.writeRaw("shared.key", []byte(hex.EncodeToString(make([]byte, peer.KeySize))))
	signed, err := key.Sign(bundle.Bundle{Version: 1, Services: []bundle.Service{{
		Name: "chiosco", Customer: "Valtellina", Address: deployment.service, Targets: targets,
	}}}, time.Now())
	c.Assert(err, qt.IsNil)
	client, err := platform.New(platform.Config{Address: deployment.platform})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), _rollLimit)
	defer cancel()
	roller := roll.New(roll.Config{Store: client, RetainedVersions: 2, MaxConcurrentWrites: 1, MaxBackoff: time.Second})
	_, err = roller.Roll(ctx, signed, 0)
	c.Assert(err, qt.IsNil)
}

func (deployment *deployment) startInstances() {
	returnAddress := deployment.address()
	fabricConfig := fabric.Config{Services: []netip.AddrPort{deployment.service}, Return: returnAddress, Seed: 1}
	operators := make([]string, 0, _instancesPerDomain*len(_domains))
	for _, domain := range _domains {
		for index := range _instancesPerDomain {
			config := deployment.settings(instanceName(domain, index), domain, returnAddress)
			fabricConfig.Instances = append(fabricConfig.Instances, config.Fabric.Listen)
			operators = append(operators, config.Operator.Listen.String())
			path := deployment.write(string(config.Instance), config)
			deployment.instances = append(deployment.instances, deployment.spawn("serve", "-settings", path))
		}
	}
	deployment.spawnWith("fabric", "fabric", fabricConfig)
	for _, address := range operators {
		awaitReady(deployment.c, address)
	}
}

func (deployment *deployment) settings(name id.Instance, domain id.Domain, returnTo netip.AddrPort) settings.Settings {
	return settings.Settings{
		Instance: name,
		Domain:   domain,
		Fabric:   settings.Fabric{Listen: deployment.address(), Return: returnTo},
		Backend:  settings.Backend{Listen: deployment.address()},
		Peer:     settings.Peer{Listen: deployment.address(), KeyFiles: []string{deployment.sharedKey}},
		Operator: settings.Operator{Listen: deployment.address()},
		Platform: settings.Platform{Address: deployment.platform},
		Bundle:   settings.Bundle{PublicKeyFiles: []string{deployment.publicKey}},
		Log:      settings.Log{Level: "error"},
	}
}

func (deployment *deployment) order(c *qt.C, payload string) string {
	return deployment.call(c, "-kind", "order", "-payload", payload, "-duration", "20s")
}

func (deployment *deployment) call(c *qt.C, args ...string) string {
	out, err := deployment.startCall(args...)()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return out
}

// startCall starts a caller and returns a function that waits for its exit and returns its output.
func (deployment *deployment) startCall(args ...string) func() (string, error) {
	arguments := append([]string{"standin", "caller", "-service", deployment.service.String()}, args...)
	command := exec.Command(deployment.binary, arguments...)
	type result struct {
		out []byte
		err error
	}
	done := make(chan result, 1)
	go func() {
		out, err := command.CombinedOutput()
		done <- result{out: out, err: err}
	}()
	return func() (string, error) {
		ended := <-done
		return string(ended.out), ended.err
	}
}

func (deployment *deployment) spawnWith(name, kind string, config any) {
	deployment.spawn("standin", kind, "-settings", deployment.write(name, config))
}

func (deployment *deployment) spawn(args ...string) *exec.Cmd {
	command := exec.Command(deployment.binary, args...)
	command.Stderr = os.Stderr
	deployment.c.Assert(command.Start(), qt.IsNil)
	deployment.c.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command
}

func (deployment *deployment) write(name string, config any) string {
	raw, err := json.Marshal(config)
	deployment.c.Assert(err, qt.IsNil)
	return deployment.writeRaw(name+".json", raw)
}

func (deployment *deployment) writeRaw(name string, raw []byte) string {
	path := filepath.Join(deployment.dir, name)
	deployment.c.Assert(os.WriteFile(path, raw, _fileMode), qt.IsNil)
	return path
}

func (deployment *deployment) address() netip.AddrPort {
	address, err := deployment.block.Next()
	deployment.c.Assert(err, qt.IsNil)
	return address
}
