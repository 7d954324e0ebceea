package flows

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/core/packet"
)

// TargetConfig configures a backend server.
type TargetConfig struct {
	// Number is the server's number. Its ID holds it in hexadecimal, and each packet for the server begins with it.
	Number  uint64
	Service string
	Domain  string
	// Listen is the address of its packets (UDP) and of its health page (TCP).
	Listen netip.AddrPort
	// RegisteredAddress is the address that the server registers; by default it is Listen.
	RegisteredAddress netip.AddrPort
	// ClientPort is the port on which clients receive packets.
	ClientPort uint16
	// Slots is the number of requests that run at once, and ServiceTime the time that each takes.
	Slots       int
	ServiceTime time.Duration
	// ClockOffset is how far the server's wall clock is ahead of true time; negative if it is behind.
	ClockOffset time.Duration
	// Registry is where the server registers itself.
	Registry Registry
	// OnRun is called when a request starts to run; it may be nil.
	OnRun func(request, server string)
}

// Registry is the part of the metadata store that a server uses.
type Registry interface {
	// Register writes the server's registration, which lasts some seconds.
	Register(key string, value []byte) error
	// Unregister removes it.
	Unregister(key string) error
}

const (
	_heartbeatInterval = 300 * time.Millisecond
	_maxDatagram       = 2048
)

// Target is a backend server.
type Target struct {
	config       TargetConfig
	startedAt    time.Time
	socket       *net.UDPConn
	healthServer *http.Server

	mu       sync.Mutex
	conns    map[packet.Flow]*conn
	halfOpen map[packet.Flow]uint32
	slots    chan struct{}
	draining atomic.Bool
	// misrouted counts packets for another server, and corrupt those that are malformed or have a wrong checksum.
	misrouted atomic.Int64
	corrupt   atomic.Int64
	stop      context.CancelFunc
}

// StartTarget starts a server and registers it.
func StartTarget(config TargetConfig) (*Target, error) {
	if !config.RegisteredAddress.IsValid() {
		config.RegisteredAddress = config.Listen
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.Listen))
	if err != nil {
		return nil, eris.Wrapf(err, "listen for packets at %s", config.Listen)
	}
	listener, err := net.Listen("tcp4", config.Listen.String())
	if err != nil {
		_ = socket.Close()
		return nil, eris.Wrapf(err, "listen for health checks at %s", config.Listen)
	}
	ctx, stop := context.WithCancel(context.Background())
	target := &Target{
		config: config, startedAt: time.Now().Add(config.ClockOffset), socket: socket, stop: stop,
		conns: make(map[packet.Flow]*conn), halfOpen: make(map[packet.Flow]uint32),
		slots: make(chan struct{}, config.Slots),
	}
	target.healthServer = &http.Server{Handler: http.HandlerFunc(target.serveHealth)}
	go func() { _ = target.healthServer.Serve(listener) }()
	go target.readPackets()
	go target.registerPeriodically(ctx)
	return target, nil
}

// ID returns the server's ID.
func (target *Target) ID() string {
	return fmt.Sprintf("i-%08x", target.config.Number)
}

// MisroutedPackets returns the number of packets that were for another server.
func (target *Target) MisroutedPackets() int {
	return int(target.misrouted.Load())
}

// CorruptPackets returns the number of packets that were malformed or had a wrong checksum.
func (target *Target) CorruptPackets() int {
	return int(target.corrupt.Load())
}

// Drain marks the server as draining in its registration and closes each flow after its next response.
func (target *Target) Drain() {
	target.draining.Store(true)
	target.register()
}

// Shutdown stops a drained server and removes its registration.
func (target *Target) Shutdown() {
	target.Crash()
	// The registration expires if the store does not answer.
	_ = target.config.Registry.Unregister(target.registrationKey())
}

// Crash stops the server without closing its flows or removing its registration.
func (target *Target) Crash() {
	target.stop()
	_ = target.healthServer.Close()
	_ = target.socket.Close()
	target.mu.Lock()
	defer target.mu.Unlock()
	for _, conn := range target.conns {
		conn.abort(ErrReset)
	}
}

func (target *Target) registrationKey() string {
	return "servers/" + target.ID()
}

func (target *Target) registerPeriodically(ctx context.Context) {
	ticker := time.NewTicker(_heartbeatInterval)
	defer ticker.Stop()
	for {
		target.register()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (target *Target) register() {
	state := "ready"
	if target.draining.Load() {
		state = "draining"
	}
	value, err := json.Marshal(map[string]any{
		"service": target.config.Service, "address": target.config.RegisteredAddress.String(), "zone": target.config.Domain,
		"version": "v1", "concurrency": target.config.Slots, "state": state, "warmup_left_ms": 0, "call_seq": 1,
		"born": target.startedAt.UnixMilli(),
	})
	if err == nil {
		// The next heartbeat tries again.
		_ = target.config.Registry.Register(target.registrationKey(), value)
	}
}

func (target *Target) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Azureshift-Instance-Id", target.ID())
	if target.draining.Load() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (target *Target) readPackets() {
	buffer := make([]byte, _maxDatagram)
	for {
		size, _, err := target.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if size < _tagSize || binary.BigEndian.Uint64(buffer) != target.config.Number {
			target.misrouted.Add(1)
			continue
		}
		received, ok := decode(buffer[_tagSize:size])
		if !ok || !received.checksumValid {
			target.corrupt.Add(1)
			continue
		}
		target.receive(received)
	}
}

func (target *Target) receive(received segment) {
	flow := packet.Flow{Client: received.from, Service: received.to}
	target.mu.Lock()
	defer target.mu.Unlock()
	if received.has(_syn) {
		target.answerSYN(flow, received)
		return
	}
	flowConn, ok := target.conns[flow]
	if !ok {
		flowConn, ok = target.acceptFlow(flow, received)
	}
	if !ok {
		if !received.has(_rst) {
			target.send(segment{from: received.to, to: received.from, flags: _rst, sequence: received.ack, echo: received.echo})
		}
		return
	}
	if received.has(_rst) {
		delete(target.conns, flow)
	}
	// Lock order: the lock of a server is taken before that of a flow, never the other way round.
	flowConn.receive(received)
}

// answerSYN answers a SYN with an initial sequence number of the server's own, the same for each copy.
func (target *Target) answerSYN(flow packet.Flow, received segment) {
	initialSequence, ok := target.halfOpen[flow]
	if !ok {
		initialSequence = rand.Uint32()
		target.halfOpen[flow] = initialSequence
	}
	target.send(segment{
		from: received.to, to: received.from, flags: _syn | _ack, sequence: initialSequence,
		ack: received.nextSequence(), echo: received.echo,
	})
}

// acceptFlow opens a flow whose client acknowledges the server's initial sequence number.
func (target *Target) acceptFlow(flow packet.Flow, received segment) (*conn, bool) {
	initialSequence, ok := target.halfOpen[flow]
	if !ok || received.ack != initialSequence+1 {
		return nil, false
	}
	delete(target.halfOpen, flow)
	accepted := newConn(received.to, received.from, initialSequence+1, received.sequence, target.send)
	accepted.echo = received.echo
	target.conns[flow] = accepted
	go target.serveRequests(flow, accepted)
	return accepted, true
}

// serveRequests answers the requests of a flow one at a time.
func (target *Target) serveRequests(flow packet.Flow, flowConn *conn) {
	defer func() {
		target.mu.Lock()
		delete(target.conns, flow)
		target.mu.Unlock()
	}()
	for {
		line, err := flowConn.readMessage(-1, time.Now().Add(time.Minute))
		if err != nil {
			if errors.Is(err, ErrClosed) {
				flowConn.closeWrite()
			}
			return
		}
		id, size, ok := parseRequest(string(line))
		if !ok {
			return
		}
		target.runRequest(id)
		flowConn.write([]byte(fmt.Sprintf("%s %s %d\n", id, target.ID(), size)))
		flowConn.write(make([]byte, size))
		if target.draining.Load() {
			flowConn.closeWrite()
			return
		}
	}
}

func (target *Target) runRequest(id string) {
	target.slots <- struct{}{}
	defer func() { <-target.slots }()
	if target.config.OnRun != nil {
		target.config.OnRun(id, target.ID())
	}
	time.Sleep(target.config.ServiceTime)
}

func (target *Target) send(sending segment) {
	to := netip.AddrPortFrom(netip.AddrFrom4(sending.to.Address), target.config.ClientPort)
	// A lost packet is retransmitted.
	_, _ = target.socket.WriteToUDPAddrPort(sending.encode(), to)
}

// parseRequest returns the ID of a request and the number of bytes that it asks for.
func parseRequest(line string) (string, int, bool) {
	id, rest, ok := strings.Cut(strings.TrimSpace(line), " ")
	if !ok {
		return "", 0, false
	}
	size, err := strconv.Atoi(rest)
	return id, size, err == nil
}
