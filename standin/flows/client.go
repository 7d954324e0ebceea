package flows

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/core/packet"
)

// An opening packet is sent three times, the second and third at these times after the first.
const (
	_secondAttemptAt = 200 * time.Millisecond
	_thirdAttemptAt  = 600 * time.Millisecond
	_openTimeout     = 1400 * time.Millisecond
	_firstPort       = 1024
)

// ClientConfig configures a client.
type ClientConfig struct {
	// Listen is the client's address with the port on which it receives packets.
	Listen netip.AddrPort
	// Router is the address that packets are sent to.
	Router netip.AddrPort
}

// Client opens flows from one address.
type Client struct {
	config ClientConfig
	socket *net.UDPConn

	mu       sync.Mutex
	lastPort uint16
	flows    map[uint16]*Flow
}

// StartClient starts a client.
func StartClient(config ClientConfig) (*Client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.Listen))
	if err != nil {
		return nil, eris.Wrapf(err, "listen for packets at %s", config.Listen)
	}
	client := &Client{config: config, socket: socket, lastPort: _firstPort, flows: make(map[uint16]*Flow)}
	go client.readPackets()
	return client, nil
}

// Close stops the client.
func (client *Client) Close() {
	_ = client.socket.Close()
}

// Flow is a flow that is open or being opened.
type Flow struct {
	client  *Client
	local   packet.Endpoint
	service packet.Endpoint
	opened  chan segment
	refused chan struct{}

	mu            sync.Mutex
	conn          *conn
	earlySegments []segment
	// corrupt says that a packet with a wrong checksum arrived, and resetByInstance that an entry instance rather than
	// the server reset the flow.
	corrupt         bool
	resetByInstance bool
}

// Open opens a flow to a service. It returns ErrRefused if the flow was reset, and ErrTimeout if nothing answered.
func (client *Client) Open(service packet.Endpoint) (*Flow, error) {
	flow := client.newFlow(service)
	opening := segment{from: flow.local, to: service, flags: _syn, sequence: rand.Uint32()}
	started := time.Now()
	for attempt, nextAt := range []time.Duration{_secondAttemptAt, _thirdAttemptAt, _openTimeout} {
		opening.ack = uint32(attempt)
		client.send(opening)
		select {
		case answer := <-flow.opened:
			flow.establish(opening, answer)
			return flow, nil
		case <-flow.refused:
			flow.remove()
			return nil, ErrRefused
		case <-time.After(time.Until(started.Add(nextAt))):
		}
	}
	flow.remove()
	return nil, ErrTimeout
}

func (client *Client) newFlow(service packet.Endpoint) *Flow {
	client.mu.Lock()
	defer client.mu.Unlock()
	for client.lastPort++; client.flows[client.lastPort] != nil || client.lastPort < _firstPort; client.lastPort++ {
		continue
	}
	flow := &Flow{
		client: client, service: service,
		local:  packet.Endpoint{Address: client.config.Listen.Addr().As4(), Port: client.lastPort},
		opened: make(chan segment, 1), refused: make(chan struct{}, 1),
	}
	client.flows[client.lastPort] = flow
	return flow
}

func (flow *Flow) establish(opening, answer segment) {
	flow.mu.Lock()
	defer flow.mu.Unlock()
	flow.conn = newConn(flow.local, flow.service, opening.nextSequence(), answer.nextSequence(), flow.client.send)
	flow.conn.echo = answer.echo
	for _, early := range flow.earlySegments {
		flow.conn.receive(early)
	}
}

// remove removes the flow from its client, which frees its port.
func (flow *Flow) remove() {
	flow.client.mu.Lock()
	defer flow.client.mu.Unlock()
	delete(flow.client.flows, flow.local.Port)
}

// Port returns the port of the client's end.
func (flow *Flow) Port() uint16 {
	return flow.local.Port
}

// Do sends a request for size bytes and returns the ID of the server that answered.
func (flow *Flow) Do(id string, size int, deadline time.Time) (string, error) {
	flow.conn.write([]byte(fmt.Sprintf("%s %d\n", id, size)))
	line, err := flow.conn.readMessage(-1, deadline)
	if err != nil {
		return "", flow.causeOf(err)
	}
	answeredID, rest, _ := strings.Cut(strings.TrimSpace(string(line)), " ")
	server, length, _ := strings.Cut(rest, " ")
	if answeredSize, err := strconv.Atoi(length); answeredID != id || err != nil || answeredSize != size {
		return server, eris.Errorf("request %s got an answer that does not match: %q", id, line)
	}
	_, err = flow.conn.readMessage(size, deadline)
	if size == 0 {
		err = nil
	}
	return server, flow.causeOf(err)
}

// causeOf returns ErrCorrupt if a corrupt packet arrived, and err otherwise.
func (flow *Flow) causeOf(err error) error {
	flow.mu.Lock()
	defer flow.mu.Unlock()
	if flow.corrupt {
		return ErrCorrupt
	}
	return err
}

// ResetByInstance reports whether an entry instance has reset the flow.
func (flow *Flow) ResetByInstance() bool {
	flow.mu.Lock()
	defer flow.mu.Unlock()
	return flow.resetByInstance
}

// EndReason returns why the flow ended, or nil if it is open.
func (flow *Flow) EndReason() error {
	flow.conn.mu.Lock()
	defer flow.conn.mu.Unlock()
	return flow.conn.endReason
}

// Close closes the flow.
func (flow *Flow) Close() {
	flow.conn.closeWrite()
	time.AfterFunc(time.Second, func() {
		flow.conn.abort(ErrClosed)
		flow.remove()
	})
}

// Reset ends the flow at once, with a reset.
func (flow *Flow) Reset() {
	flow.conn.mu.Lock()
	flow.conn.emit(segment{from: flow.local, to: flow.service, flags: _rst, sequence: flow.conn.nextSequence})
	flow.conn.mu.Unlock()
	flow.conn.abort(ErrClosed)
	flow.remove()
}

func (client *Client) readPackets() {
	buffer := make([]byte, _maxDatagram)
	for {
		size, _, err := client.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		received, ok := decode(buffer[:size])
		if !ok {
			continue
		}
		client.mu.Lock()
		flow := client.flows[received.to.Port]
		client.mu.Unlock()
		if flow != nil && flow.service == received.from {
			flow.receive(received)
		}
	}
}

func (flow *Flow) receive(received segment) {
	flow.mu.Lock()
	defer flow.mu.Unlock()
	// Entry instances do not know the seed of the checksum and leave it zero in their resets.
	instanceReset := received.flags == _rst && received.checksum == 0 && len(received.data) == 0
	if !received.checksumValid && !instanceReset {
		flow.corrupt = true
		return
	}
	flow.resetByInstance = flow.resetByInstance || instanceReset
	switch {
	case flow.conn != nil && !received.has(_syn):
		flow.conn.receive(received)
	case flow.conn != nil:
	case received.has(_rst):
		sendIfEmpty(flow.refused, struct{}{})
	case received.has(_syn | _ack):
		sendIfEmpty(flow.opened, received)
	default:
		flow.earlySegments = append(flow.earlySegments, received)
	}
}

func sendIfEmpty[T any](signal chan T, value T) {
	select {
	case signal <- value:
	default:
	}
}

func (client *Client) send(sending segment) {
	// A lost packet is retransmitted.
	_, _ = client.socket.WriteToUDPAddrPort(sending.encode(), client.config.Router)
}
