//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/settings"
	"azureshift/standin/flows"
	"azureshift/testbed"
)

const (
	_instances = 2
	_targets   = 4
	// _registrationTime is when all instances have renewed the lease of their registration once.
	_registrationTime = 12500 * time.Millisecond
	_readyLimit       = 20 * time.Second
	_requestTimeout   = 1200 * time.Millisecond
)

var _domains = []id.Domain{"morbegno", "tirano", "chiavenna"}

// deployment is a small deployment with a record of what happens to it.
type deployment struct {
	*testbed.Testbed

	launcher *launcher
	folder   string
	started  time.Time

	mu       sync.Mutex
	record   *os.File
	attempts []attempt
	clients  int
	requests int
	version  int
}

// attempt is a request on a flow of its own through one instance.
type attempt struct {
	SentAt   time.Time
	EndedAt  time.Time
	Instance id.Instance
	Service  packet.Endpoint
	Request  string
	// Outcome is Served, Refused, Silent or Failed, and Server the server that answered.
	Outcome string
	Server  string
}

func newDeployment(command, record string, bounds bounds) (*deployment, error) {
	folder, err := os.MkdirTemp("", "azureshift-review-")
	if err != nil {
		return nil, err
	}
	recordFile, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	logFile, err := os.Create(folder + "/log.jsonl")
	if err != nil {
		return nil, err
	}
	launcher := &launcher{
		command: command, folder: folder, bounds: bounds, logFile: logFile,
		configs: make(map[id.Instance]settings.Entry), following: make(map[id.Instance]time.Time),
		running: make(map[*process]bool),
	}
	started, err := testbed.New(testbed.Config{
		Domains: _domains, Instances: _instances, Targets: _targets, Slots: 3, ServiceTime: 20 * time.Millisecond,
		Launcher: launcher, Seed: 1, Grace: 6 * time.Second, Proxied: true,
	})
	if err != nil {
		launcher.killAll()
		return nil, err
	}
	return &deployment{
		Testbed: started, launcher: launcher, folder: folder, started: time.Now(), record: recordFile, version: 10,
	}, nil
}

func (deployment *deployment) close() {
	deployment.launcher.killAll()
	deployment.Close()
	_ = deployment.record.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(deployment.folder)
	} else {
		fmt.Println("logs:", deployment.folder)
	}
}

// note writes a line with the time since the start to the record.
func (deployment *deployment) note(format string, arguments ...any) {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	_, _ = fmt.Fprintf(deployment.record, "%8.3f %s\n", time.Since(deployment.started).Seconds(),
		fmt.Sprintf(format, arguments...))
}

// since formats a time as in the record.
func (deployment *deployment) since(at time.Time) string {
	return fmt.Sprintf("%.3f", at.Sub(deployment.started).Seconds())
}

// flushAttempts writes all attempts to the record.
func (deployment *deployment) flushAttempts() {
	for _, attempt := range deployment.allAttempts() {
		deployment.mu.Lock()
		_, _ = fmt.Fprintf(deployment.record, "%s sent to %s through %s: %s %s %s, run by %v\n",
			deployment.since(attempt.SentAt), attempt.Service, attempt.Instance, attempt.Request, attempt.Outcome,
			attempt.Server, deployment.Executions.ServersOf(attempt.Request))
		deployment.mu.Unlock()
	}
}

// allAttempts returns the attempts that have ended, in the order in which they were sent.
func (deployment *deployment) allAttempts() []attempt {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	attempts := slices.Clone(deployment.attempts)
	slices.SortFunc(attempts, func(left, right attempt) int { return left.SentAt.Compare(right.SentAt) })
	return attempts
}

// waitForFollower waits until all instances are ready and one of them follows the store.
func (deployment *deployment) waitForFollower() (*testbed.Instance, error) {
	if err := deployment.WaitReady(_readyLimit); err != nil {
		return nil, err
	}
	deadline := time.Now().Add(_readyLimit)
	for time.Now().Before(deadline) {
		if name, ok := deployment.launcher.follower(); ok {
			for _, instance := range deployment.Instances() {
				if instance.Name == name {
					return instance, nil
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, errors.New("no single instance follows the store")
}

// others returns the instances other than the given one.
func (deployment *deployment) others(excluded *testbed.Instance) []*testbed.Instance {
	var others []*testbed.Instance
	for _, instance := range deployment.Instances() {
		if instance != excluded {
			others = append(others, instance)
		}
	}
	return others
}

// probeContinuously sends requests on new flows directly to one instance, as the platform does with some flows, until
// stop is closed.
func (deployment *deployment) probeContinuously(
	group *sync.WaitGroup, instance *testbed.Instance, service packet.Endpoint, pause time.Duration, stop <-chan struct{},
) error {
	deployment.launcher.mu.Lock()
	config := deployment.launcher.configs[instance.Name]
	deployment.launcher.mu.Unlock()
	octets := config.Packets.Listen.Addr().As4()
	deployment.mu.Lock()
	deployment.clients++
	octets[2], octets[3] = 200, byte(deployment.clients)
	deployment.mu.Unlock()
	client, err := flows.StartClient(flows.ClientConfig{
		Listen: netip.AddrPortFrom(netip.AddrFrom4(octets), config.Packets.Listen.Port()), Router: config.Packets.Listen,
	})
	if err != nil {
		return err
	}
	group.Go(func() {
		defer client.Close()
		var requests sync.WaitGroup
		defer requests.Wait()
		for {
			requests.Go(func() { deployment.request(client, instance.Name, service) })
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
		}
	})
	return nil
}

// request sends one request on a new flow and records the attempt.
func (deployment *deployment) request(client *flows.Client, instance id.Instance, service packet.Endpoint) {
	deployment.mu.Lock()
	deployment.requests++
	made := attempt{
		SentAt: time.Now(), Instance: instance, Service: service, Request: fmt.Sprintf("r-%d", deployment.requests),
	}
	deployment.mu.Unlock()
	flow, err := client.Open(service)
	switch {
	case errors.Is(err, flows.ErrRefused):
		made.Outcome = "Refused"
	case err != nil:
		made.Outcome = "Silent"
	default:
		made.Outcome = "Served"
		if made.Server, err = flow.Do(made.Request, 100, made.SentAt.Add(_requestTimeout)); err != nil {
			made.Outcome = "Failed: " + err.Error()
		}
		flow.Reset()
	}
	made.EndedAt = time.Now()
	deployment.mu.Lock()
	deployment.attempts = append(deployment.attempts, made)
	deployment.mu.Unlock()
}

// probeRoute is a route that a case changes.
type probeRoute struct {
	endpoint packet.Endpoint
	service  string
}

// _probeEndpoint is the endpoint of the route that cases change.
var _probeEndpoint = packet.Endpoint{Address: [4]byte{198, 18, 7, 7}, Port: 443}

// configure writes a configuration with the base routes, a number of idle routes and the given other routes, and
// returns when the store acknowledged it.
func (deployment *deployment) configure(idle int, routes ...probeRoute) time.Time {
	deployment.version += 3
	const baseRoutes = 3
	entries := make([]map[string]any, 0, baseRoutes+len(routes)+idle)
	entries = append(entries,
		routeEntry("feeds", testbed.FeedEndpoint, "chiosco"), routeEntry("orders", testbed.OrderEndpoint, "chiosco"),
		routeEntry("downloads", testbed.DownloadEndpoint, "stampa"),
	)
	for _, route := range routes {
		entries = append(entries, routeEntry("probed", route.endpoint, route.service))
	}
	for number := range idle {
		endpoint := packet.Endpoint{Address: [4]byte{198, 18, byte(20 + number/200), byte(1 + number%200)}, Port: 8443}
		entries = append(entries, routeEntry(fmt.Sprintf("r-i%06d", number), endpoint, "chiosco"))
	}
	value, err := json.Marshal(map[string]any{
		"version": deployment.version, "routes": entries,
		"services": []map[string]any{
			{"name": "chiosco", "health_path": "/health", "max_conns": 4286, "protocol": "h1", "tls": false},
			{"name": "stampa", "health_path": "/health", "max_conns": 4286, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	if err != nil {
		panic(err) // Unreachable: every value of the configuration can be encoded as JSON.
	}
	deployment.Store.Put("op/config", value, 0)
	acknowledged := time.Now()
	deployment.note("version %d with %d routes and %d bytes is acknowledged", deployment.version, len(entries), len(value))
	return acknowledged
}

// routeEntry is a route in the form of the platform's example.
func routeEntry(name string, endpoint packet.Endpoint, service string) map[string]any {
	return map[string]any{
		"name": name, "hostname": netip.AddrFrom4(endpoint.Address).String(),
		"prefix": fmt.Sprintf("/%d/", endpoint.Port), "type": "idempotent", "timeout_ms": 1200, "slo_ms": 200,
		"priority": 2, "service": service, "attempts": 2,
	}
}
