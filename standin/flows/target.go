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

// TargetConfig describes a backend server.
type TargetConfig struct {
	// Number is the server's number, and the hex digits of its id.
	Number  uint64
	Service string
	Domain  string
	// Listen is the address of its packets and of its health page.
	Listen netip.AddrPort
	// Shown is the address that the server registers; by default it is Listen.
	Shown netip.AddrPort
	// ClientPort is the port at which clients take packets.
	ClientPort uint16
	// Slots is how many requests run at once, and Work how long each takes.
	Slots int
	Work  time.Duration
	// ClockAhead is how far the server's time of day is ahead of true time; negative if it is behind.
	ClockAhead time.Duration
	// Registry is where the server registers itself.
	Registry Registry
	// Ran hears of every request that begins to run; it may be nil.
	Ran func(request, server string)
}

// Registry is what a server needs of the store.
type Registry interface {
	// Register writes the server's registration and keeps it for some seconds.
	Register(key string, value []byte) error
	// Unregister removes it.
	Unregister(key string) error
}

const (
	_heartbeat   = 300 * time.Millisecond
	_maxDatagram = 2048
)

// Target is a backend server.
type Target struct {
	config TargetConfig
	born   time.Time
	socket *net.UDPConn
	page   *http.Server

	mu       sync.Mutex
	conns    map[packet.Flow]*conn
	offers   map[packet.Flow]uint32
	slots    chan struct{}
	draining atomic.Bool
	// strays counts packets for another server, and forged those that differ from what their sender wrote.
	strays atomic.Int64
	forged atomic.Int64
	stop   context.CancelFunc
}

// StartTarget starts a server and registers it.
func StartTarget(config TargetConfig) (*Target, error) {
	if !config.Shown.IsValid() {
		config.Shown = config.Listen
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
		config: config, born: time.Now().Add(config.ClockAhead), socket: socket, stop: stop,
		conns: make(map[packet.Flow]*conn), offers: make(map[packet.Flow]uint32),
		slots: make(chan struct{}, config.Slots),
	}
	target.page = &http.Server{Handler: http.HandlerFunc(target.serveHealth)}
	go func() { _ = target.page.Serve(listener) }()
	go target.readPackets()
	go target.registerUntil(ctx)
	return target, nil
}

// ID returns the server's id.
func (target *Target) ID() string {
	return fmt.Sprintf("i-%08x", target.config.Number)
}

// Strays returns the number of packets that were for another server.
func (target *Target) Strays() int {
	return int(target.strays.Load())
}

// Forged returns the number of packets that differ from what their sender wrote.
func (target *Target) Forged() int {
	return int(target.forged.Load())
}

// Drain closes each flow after its next response and says so in the registration.
func (target *Target) Drain() {
	target.draining.Store(true)
	target.register()
}

// End removes the registration of a server that has drained and stops it.
func (target *Target) End() {
	target.Crash()
	// The registration ends by itself if the store does not answer.
	_ = target.config.Registry.Unregister(target.key())
}

// Crash stops the server without a word.
func (target *Target) Crash() {
	target.stop()
	_ = target.page.Close()
	_ = target.socket.Close()
	target.mu.Lock()
	defer target.mu.Unlock()
	for _, conn := range target.conns {
		conn.abort(ErrReset)
	}
}

func (target *Target) key() string {
	return "servers/" + target.ID()
}

func (target *Target) registerUntil(ctx context.Context) {
	ticker := time.NewTicker(_heartbeat)
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
		"service": target.config.Service, "address": target.config.Shown.String(), "zone": target.config.Domain,
		"version": "v1", "concurrency": target.config.Slots, "state": state, "warmup_left_ms": 0, "call_seq": 1,
		"born": target.born.UnixMilli(),
	})
	if err == nil {
		// The next heartbeat tries again.
		_ = target.config.Registry.Register(target.key(), value)
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
		if size < _tagOf || binary.BigEndian.Uint64(buffer) != target.config.Number {
			target.strays.Add(1)
			continue
		}
		received, ok := decode(buffer[_tagOf:size])
		if !ok || !received.genuine {
			target.forged.Add(1)
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
		target.offer(flow, received)
		return
	}
	known, ok := target.conns[flow]
	if !ok {
		known, ok = target.open(flow, received)
	}
	if !ok {
		if !received.has(_rst) {
			target.send(segment{from: received.to, to: received.from, flags: _rst, seq: received.ack, echo: received.echo})
		}
		return
	}
	if received.has(_rst) {
		delete(target.conns, flow)
	}
	// Lock order: a server's lock is held while a flow's is taken, never the other way round.
	known.receive(received)
}

// offer answers an opening packet with a number of the server's own.
func (target *Target) offer(flow packet.Flow, received segment) {
	number, ok := target.offers[flow]
	if !ok {
		number = rand.Uint32()
		target.offers[flow] = number
	}
	target.send(segment{
		from: received.to, to: received.from, flags: _syn | _ack, seq: number, ack: received.end(), echo: received.echo,
	})
}

// open opens a flow whose client acknowledges this server's offer.
func (target *Target) open(flow packet.Flow, received segment) (*conn, bool) {
	number, ok := target.offers[flow]
	if !ok || received.ack != number+1 {
		return nil, false
	}
	delete(target.offers, flow)
	opened := newConn(received.to, received.from, number+1, received.seq, target.send)
	opened.echo = received.echo
	target.conns[flow] = opened
	go target.serve(flow, opened)
	return opened, true
}

// serve answers the requests of a flow one after the other.
func (target *Target) serve(flow packet.Flow, served *conn) {
	defer func() {
		target.mu.Lock()
		delete(target.conns, flow)
		target.mu.Unlock()
	}()
	for {
		line, err := served.read(-1, time.Now().Add(time.Minute))
		if err != nil {
			if errors.Is(err, ErrClosed) {
				served.finish()
			}
			return
		}
		id, size, ok := parseRequest(string(line))
		if !ok {
			return
		}
		target.run(id)
		served.write([]byte(fmt.Sprintf("%s %s %d\n", id, target.ID(), size)))
		served.write(make([]byte, size))
		if target.draining.Load() {
			served.finish()
			return
		}
	}
}

func (target *Target) run(id string) {
	target.slots <- struct{}{}
	defer func() { <-target.slots }()
	if target.config.Ran != nil {
		target.config.Ran(id, target.ID())
	}
	time.Sleep(target.config.Work)
}

func (target *Target) send(sending segment) {
	to := netip.AddrPortFrom(netip.AddrFrom4(sending.to.Address), target.config.ClientPort)
	// A lost packet is sent again.
	_, _ = target.socket.WriteToUDPAddrPort(sending.encode(), to)
}

// parseRequest reads a request: its id and the number of bytes that it asks for.
func parseRequest(line string) (string, int, bool) {
	id, rest, ok := strings.Cut(strings.TrimSpace(line), " ")
	if !ok {
		return "", 0, false
	}
	size, err := strconv.Atoi(rest)
	return id, size, err == nil
}
