//go:build review2

// Command case9 shows that a backend server which crashes and starts again under its id, while it cannot reach the
// store, gets more new flows in a second than a cold server may get.
package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/review/launch"
	"azureshift/settings"
	"azureshift/standin/flows"
	"azureshift/standin/metastore"
	"azureshift/testbed"
)

// An eighth of the deployment of the sheet: servers of dispatch, long flows and their requests, and bookings.
const (
	_serversPerDomain   = 5
	_slots              = 2
	_feedsPerDomain     = 93
	_feedPause          = 2 * time.Second
	_bookingsPerSecond  = 13.5
	_serviceTime        = 60 * time.Millisecond
	_bound              = 5 * time.Second
	_overshoot          = 1.5
	_slack              = 5.0
	_coldPerSecond      = 0.0
	_cold               = 2 * time.Second
	_requestTimeout     = 2500 * time.Millisecond
	_responseSize       = 600
	_heartbeat          = 1200 * time.Millisecond
	_registrationTTL    = 3 * _heartbeat
	_configVersion      = 1000
	_clientsPerDomain   = 2
	_firstNumber        = 0x51a0
	_port               = 8080
	_clientPort         = 8172
	_tagSize            = 8
	_datagram           = 2048
	_headerSize         = 32
	_sourcePortOffset   = 18
	_flagsOffset        = 30
	_lengthOffset       = 8
	_synFlag            = 4
	_ackFlag            = 2
	_registrationPeriod = 300 * time.Millisecond
)

// The times of the disruption.
const (
	_ready       = 20 * time.Second
	_warmUp      = 12 * time.Second
	_crashAfter  = 200 * time.Millisecond
	_down        = time.Second
	_cut         = 5 * time.Second
	_rest        = 5 * time.Second
	_cutServers  = 3
	_domainCount = 3
	// _window is shorter than the second of the rule, so that packets which arrived within it were sent within a second.
	_window = 950 * time.Millisecond
)

var _domains = []id.Domain{"taoyuan", "xinzhuang", "keelung"}

func main() {
	launch.EndLate(100 * time.Second)
	status, err := run(launch.Trouble())
	if err != nil {
		fmt.Println("the case could not run:", err)
		status = launch.NotRun
	}
	os.Exit(status)
}

func run(trouble bool) (int, error) {
	folder, err := os.MkdirTemp("", "review-9-")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	record, err := launch.NewRecord("review/9/record.txt")
	if err != nil {
		return 0, err
	}
	defer record.Close()
	deployment, err := testbed.New(testbed.Config{
		Domains: _domains, Instances: 2, Slots: _slots, Seed: 1, Grace: 6 * time.Second, Evacuation: _bound,
		Launcher: launch.Launcher{Folder: folder, Adjust: adjust},
	})
	if err != nil {
		return 0, err
	}
	defer deployment.Close()
	deployment.Store.Put("op/config", configuration(), 0)
	servers, err := startServers(deployment, record)
	if err != nil {
		return 0, err
	}
	defer func() {
		for _, server := range servers {
			server.close()
		}
	}()
	if err := deployment.WaitReady(_ready); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	load, err := startLoad(ctx, deployment, record)
	if err != nil {
		cancel()
		return 0, err
	}
	time.Sleep(_warmUp)
	if trouble {
		disrupt(servers, record)
	}
	time.Sleep(_rest)
	cancel()
	load.Wait()
	return check(servers, record), nil
}

// adjust gives an instance the bounds of the sheet, as the template of the deploy file renders them.
func adjust(config *settings.Entry) {
	config.Bounds.Drain, config.Bounds.Convergence = settings.Duration(_bound), settings.Duration(_bound)
	config.Bounds.SlowStartOvershoot, config.Bounds.SlowStartSlack = _overshoot, _slack
	config.Placement.Admission = settings.AdmissionFleet
}

func configuration() []byte {
	route := func(name string, endpoint packet.Endpoint, kind string, priority int) map[string]any {
		return map[string]any{
			"name": name, "hostname": netip.AddrFrom4(endpoint.Address).String(),
			"prefix": fmt.Sprintf("/%d/", endpoint.Port), "type": kind, "timeout_ms": _requestTimeout.Milliseconds(),
			"slo_ms": 500, "priority": priority, "service": "dispatch", "attempts": 2,
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": _configVersion,
		"routes": []map[string]any{
			route("driver-feed", testbed.FeedEndpoint, "idempotent", 2),
			route("skip-booking", testbed.OrderEndpoint, "non_idempotent", 1),
		},
		"services": []map[string]any{{
			"name": "dispatch", "health_path": "/health", "max_conns": 3224, "warmup_s": _cold.Seconds(),
			"warmup_per_s": _coldPerSecond,
		}},
		"limits": map[string]any{"idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err) // Unreachable: every value can be encoded.
	}
	return value
}

// disrupt cuts some servers off from the store. They crash behind the cut and start again.
func disrupt(servers []*server, record *launch.Record) {
	cut := make([]*server, 0, _cutServers)
	for _, index := range rand.Perm(len(servers))[:_cutServers] {
		cut = append(cut, servers[index])
	}
	for _, each := range cut {
		record.Print("%s is cut off from the store", each.target.ID())
		each.setCut(true)
	}
	time.Sleep(_crashAfter)
	for _, each := range cut {
		record.Print("%s crashes", each.target.ID())
		each.stopHealth()
		each.target.Crash()
	}
	time.Sleep(_down)
	for _, each := range cut {
		if err := each.start(true); err != nil {
			record.Print("%s does not start: %v", each.target.ID(), err)
			continue
		}
		record.Print("%s has started again under its id and is cold for %s", each.target.ID(), _cold)
	}
	time.Sleep(_cut - _crashAfter - _down)
	for _, each := range cut {
		record.Print("the cut of %s has ended", each.target.ID())
		each.setCut(false)
	}
}

// check returns the exit status: a cold server must not get more than the limit of new flows in any second.
func check(servers []*server, record *launch.Record) int {
	limit := int(_coldPerSecond*_overshoot + _slack)
	status, opened := launch.Held, 0
	for _, each := range servers {
		each.mu.Lock()
		taken := each.taken()
		coldUntil := each.coldUntil
		each.mu.Unlock()
		opened += len(taken)
		cold := make([]time.Time, 0, len(taken))
		for _, at := range taken {
			if !coldUntil.IsZero() && at.Before(coldUntil) && at.After(coldUntil.Add(-_cold)) {
				cold = append(cold, at)
				record.WriteAt(at, "a new flow reached %s while it was cold", each.target.ID())
			}
		}
		most := 0
		for first := range cold {
			last := first
			for last+1 < len(cold) && cold[last+1].Sub(cold[first]) <= _window {
				last++
			}
			most = max(most, last-first+1)
		}
		if !coldUntil.IsZero() {
			record.Print("%s got %d new flows while cold, up to %d in %s; the limit is %d in a second",
				each.target.ID(), len(cold), most, _window, limit)
		}
		if most > limit {
			status = launch.Broken
		}
	}
	record.Print("%d new flows in all", opened)
	if opened == 0 {
		return launch.NotRun
	}
	return status
}

// server is a backend server behind an address at which the arrival of its new flows is recorded.
type server struct {
	config flows.TargetConfig
	target *flows.Target
	socket *net.UDPConn
	health net.Listener
	inner  netip.AddrPort

	mu sync.Mutex
	// cutOff says that the server cannot reach the store.
	cutOff    bool
	coldUntil time.Time
	// openings holds when the opening packet of each client's flow arrived, and opened those whose flow then opened.
	openings map[packet.Endpoint]time.Time
	opened   map[packet.Endpoint]time.Time
}

func startServers(deployment *testbed.Testbed, record *launch.Record) ([]*server, error) {
	network, _, err := launch.FreeAddress()
	if err != nil {
		return nil, err
	}
	var servers []*server
	for domain, name := range _domains {
		for number := range _serversPerDomain {
			index := domain*_serversPerDomain + number
			started := &server{
				inner:    launch.Host(network, 2*index+3, _port),
				openings: make(map[packet.Endpoint]time.Time), opened: make(map[packet.Endpoint]time.Time),
			}
			address := launch.Host(network, 2*index+2, _port)
			if started.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err != nil {
				return servers, err
			}
			started.config = flows.TargetConfig{
				Number: uint64(_firstNumber + index), Service: "dispatch", Domain: string(name), Listen: started.inner,
				RegisteredAddress: address, ClientPort: _clientPort, Slots: _slots, ServiceTime: _serviceTime,
				Registry: &registry{store: deployment.Store, server: started},
				OnRun:    func(request, server string) { record.Write("ran %s at %s", request, server) },
			}
			if err := started.start(false); err != nil {
				return servers, err
			}
			go started.forwardPackets()
			servers = append(servers, started)
		}
	}
	return servers, nil
}

// start starts the server, cold if that is during traffic.
func (server *server) start(cold bool) error {
	var err error
	if server.health == nil || cold {
		server.stopHealth()
		if server.health, err = net.Listen("tcp4", server.config.RegisteredAddress.String()); err != nil {
			return err
		}
		go server.forwardConnections(server.health)
	}
	server.mu.Lock()
	if cold {
		server.coldUntil = time.Now().Add(_cold)
	}
	server.mu.Unlock()
	server.target, err = flows.StartTarget(server.config)
	return err
}

func (server *server) stopHealth() {
	if server.health != nil {
		_ = server.health.Close()
	}
}

func (server *server) close() {
	server.target.Shutdown()
	server.stopHealth()
	_ = server.socket.Close()
}

func (server *server) setCut(cut bool) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.cutOff = cut
}

// warmupLeft returns how long the server stays cold.
func (server *server) warmupLeft() time.Duration {
	server.mu.Lock()
	defer server.mu.Unlock()
	return max(time.Until(server.coldUntil), 0)
}

// taken returns when the opening packets of the flows arrived that the server has taken.
func (server *server) taken() []time.Time {
	times := make([]time.Time, 0, len(server.opened))
	for _, at := range server.opened {
		times = append(times, at)
	}
	slices.SortFunc(times, func(left, right time.Time) int { return left.Compare(right) })
	return times
}

// forwardPackets passes packets to the server and notes the new flows that it takes.
func (server *server) forwardPackets() {
	buffer := make([]byte, _datagram)
	for {
		size, _, err := server.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if size >= _tagSize+_headerSize {
			server.note(buffer[_tagSize:size])
		}
		_, _ = server.socket.WriteToUDPAddrPort(buffer[:size], server.inner)
	}
}

// note records the opening packet of a flow, and that the flow was used after it.
func (server *server) note(raw []byte) {
	client := packet.Endpoint{
		Address: [4]byte(raw[_sourcePortOffset+2:]), Port: binary.BigEndian.Uint16(raw[_sourcePortOffset:]),
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	switch flags := raw[_flagsOffset]; {
	case flags&_synFlag != 0 && flags&_ackFlag == 0:
		server.openings[client] = time.Now()
	case binary.BigEndian.Uint16(raw[_lengthOffset:]) > 0:
		if at, ok := server.openings[client]; ok {
			server.opened[client] = at
			delete(server.openings, client)
		}
	}
}

// forwardConnections passes health checks to the server. Nothing listens while the server is down.
func (server *server) forwardConnections(listener net.Listener) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		go launch.Pipe(caller, server.inner)
	}
}

// registry registers a server in the store, unless it is cut off. The registration lapses after three heartbeats.
type registry struct {
	store  *metastore.Store
	server *server
	lease  metastore.Lease
}

var errCut = errors.New("the store cannot be reached")

// Register implements flows.Registry.
func (registry *registry) Register(key string, value []byte) error {
	registry.server.mu.Lock()
	cutOff := registry.server.cutOff
	registry.server.mu.Unlock()
	if cutOff {
		return errCut
	}
	var fields map[string]any
	if err := json.Unmarshal(value, &fields); err != nil {
		return err
	}
	fields["warmup_left_ms"] = registry.server.warmupLeft().Milliseconds()
	fields["born"] = int64(fields["born"].(float64))
	raw, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	if registry.lease == 0 || !registry.store.Renew(registry.lease) {
		registry.lease = registry.store.Grant(_registrationTTL)
	}
	registry.store.Put(key, raw, registry.lease)
	return nil
}

// Unregister implements flows.Registry.
func (registry *registry) Unregister(key string) error {
	registry.store.Delete(key)
	return nil
}

// startLoad starts the clients: long flows with pauses, and bookings with a flow each.
func startLoad(ctx context.Context, deployment *testbed.Testbed, record *launch.Record) (*conc.WaitGroup, error) {
	group := &conc.WaitGroup{}
	for domain := range _domains {
		for number := range _clientsPerDomain {
			client, err := deployment.Client(domain, number)
			if err != nil {
				return group, err
			}
			context.AfterFunc(ctx, func() { time.AfterFunc(_requestTimeout, client.Close) })
			name := fmt.Sprintf("%s-%d", _domains[domain], number)
			if number == 0 {
				group.Go(func() { sendBookings(ctx, client, name, record) })
				continue
			}
			for user := range _feedsPerDomain {
				group.Go(func() { useFeed(ctx, client, fmt.Sprintf("feed-%s-%d", name, user), record) })
			}
		}
	}
	return group, nil
}

func sendBookings(ctx context.Context, client *flows.Client, name string, record *launch.Record) {
	var group conc.WaitGroup
	for number := 0; ctx.Err() == nil; number++ {
		request := fmt.Sprintf("booking-%s-%d", name, number)
		group.Go(func() {
			sent := time.Now()
			flow, err := client.Open(testbed.OrderEndpoint)
			if err != nil {
				record.WriteAt(sent, "sent %s: %v", request, err)
				return
			}
			answeredBy, err := flow.Do(request, _responseSize, sent.Add(_requestTimeout))
			record.WriteAt(sent, "sent %s from port %d, answered by %q, error %v", request, flow.Port(), answeredBy, err)
			flow.Close()
		})
		time.Sleep(time.Duration(rand.ExpFloat64() / _bookingsPerSecond * float64(time.Second)))
	}
	group.Wait()
}

// useFeed sends a request on one flow after each pause, and opens another flow when that one has ended.
func useFeed(ctx context.Context, client *flows.Client, name string, record *launch.Record) {
	var flow *flows.Flow
	for number := 0; ctx.Err() == nil; number++ {
		time.Sleep(time.Duration((rand.Float64() + 0.5) * float64(_feedPause)))
		request := fmt.Sprintf("%s-%d", name, number)
		sent := time.Now()
		if flow != nil && flow.EndReason() != nil {
			flow.Close()
			flow = nil
		}
		var err error
		if flow == nil {
			if flow, err = client.Open(testbed.FeedEndpoint); err != nil {
				record.WriteAt(sent, "sent %s: %v", request, err)
				flow = nil
				continue
			}
		}
		answeredBy, err := flow.Do(request, _responseSize, sent.Add(_requestTimeout))
		record.WriteAt(sent, "sent %s from port %d, answered by %q, error %v", request, flow.Port(), answeredBy, err)
		if err != nil {
			flow.Reset()
			flow = nil
		}
	}
	if flow != nil {
		flow.Close()
	}
}
