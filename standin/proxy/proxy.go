// Package proxy simulates the network between two addresses of one machine: it forwards TCP and UDP, and can delay,
// reset, silence or cut the traffic, also in one direction only.
package proxy

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Fault is a set of network faults.
type Fault struct {
	// Delay delays datagrams to the target, and each read of a connection in either direction.
	Delay time.Duration
	// CutToTarget and CutFromTarget block the traffic to the target and from it. Connections hold back their data until
	// the cut ends; datagrams are lost.
	CutToTarget   bool
	CutFromTarget bool
	// Reset resets open and new connections.
	Reset bool
	// SilenceOpen stops all traffic of the connections that are open now for good, without a reset. New connections work.
	SilenceOpen bool
	// BytesPerSecond limits each direction of each connection; zero means no limit.
	BytesPerSecond int
}

const (
	_copyBufferSize    = 64 << 10
	_maxDatagram       = 2048
	_dialTimeout       = 2 * time.Second
	_faultPollInterval = 20 * time.Millisecond
)

// Proxy forwards connections and datagrams from one address to another. It is safe for concurrent use.
type Proxy struct {
	target       netip.AddrPort
	listener     net.Listener
	datagramsIn  *net.UDPConn
	datagramsOut *net.UDPConn

	mu          sync.Mutex
	fault       Fault
	connections map[*connectionPair]bool
	closed      bool
}

// connectionPair is the connection from a caller and the one to the target that it is forwarded to.
type connectionPair struct {
	caller, target net.Conn
	silenced       bool
}

// Start starts a proxy. It forwards datagrams only to the target, as backend servers answer clients directly.
func Start(listen, target netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp4", listen.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen for connections at %s", listen)
	}
	datagramsIn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		_ = listener.Close()
		return nil, eris.Wrapf(err, "listen for datagrams at %s", listen)
	}
	datagramsOut, err := net.ListenUDP("udp4", &net.UDPAddr{IP: listen.Addr().AsSlice()})
	if err != nil {
		_ = listener.Close()
		_ = datagramsIn.Close()
		return nil, eris.Wrapf(err, "open socket for datagrams from %s", listen.Addr())
	}
	proxy := &Proxy{
		target: target, listener: listener, datagramsIn: datagramsIn, datagramsOut: datagramsOut,
		connections: make(map[*connectionPair]bool),
	}
	go proxy.acceptConnections()
	go proxy.forwardDatagrams()
	return proxy, nil
}

// Close stops the proxy and resets its connections.
func (proxy *Proxy) Close() {
	proxy.mu.Lock()
	proxy.closed = true
	proxy.mu.Unlock()
	_ = proxy.listener.Close()
	_ = proxy.datagramsIn.Close()
	_ = proxy.datagramsOut.Close()
	proxy.resetConnections()
}

// SilenceNext stops all traffic of one of the connections that are open now for good, and reports whether there is one.
func (proxy *Proxy) SilenceNext() bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for pair := range proxy.connections {
		if !pair.silenced {
			pair.silenced = true
			return true
		}
	}
	return false
}

// SetFault replaces the fault.
func (proxy *Proxy) SetFault(fault Fault) {
	proxy.mu.Lock()
	proxy.fault = fault
	if fault.SilenceOpen {
		for pair := range proxy.connections {
			pair.silenced = true
		}
	}
	proxy.mu.Unlock()
	if fault.Reset {
		proxy.resetConnections()
	}
}

func (proxy *Proxy) currentFault(pair *connectionPair) (Fault, bool) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.fault, pair != nil && pair.silenced
}

func (proxy *Proxy) resetConnections() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for pair := range proxy.connections {
		resetConnection(pair.caller)
		resetConnection(pair.target)
	}
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		// The connection is closed in any case.
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

func (proxy *Proxy) acceptConnections() {
	for {
		caller, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		go proxy.forwardConnection(caller)
	}
}

func (proxy *Proxy) forwardConnection(caller net.Conn) {
	if fault, _ := proxy.currentFault(nil); fault.Reset {
		resetConnection(caller)
		return
	}
	target, err := net.DialTimeout("tcp4", proxy.target.String(), _dialTimeout)
	if err != nil {
		resetConnection(caller)
		return
	}
	pair := &connectionPair{caller: caller, target: target}
	proxy.mu.Lock()
	proxy.connections[pair] = true
	proxy.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { proxy.copyBytes(pair, target, caller, func(fault Fault) bool { return fault.CutToTarget }) })
	group.Go(func() { proxy.copyBytes(pair, caller, target, func(fault Fault) bool { return fault.CutFromTarget }) })
	group.Wait()
	proxy.mu.Lock()
	delete(proxy.connections, pair)
	proxy.mu.Unlock()
}

// copyBytes forwards one direction of a connection, subject to the faults.
func (proxy *Proxy) copyBytes(pair *connectionPair, to, from net.Conn, cut func(fault Fault) bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, _copyBufferSize)
	for {
		size, err := from.Read(buffer)
		if !proxy.waitUntilUnblocked(pair, size, cut) {
			return
		}
		if _, failed := to.Write(buffer[:size]); failed != nil || err != nil {
			return
		}
	}
}

// transferTime returns how long a number of bytes takes.
func (fault Fault) transferTime(size int) time.Duration {
	if fault.BytesPerSecond == 0 {
		return 0
	}
	return time.Duration(size) * time.Second / time.Duration(fault.BytesPerSecond)
}

// waitUntilUnblocked waits until no fault blocks the connection and a number of bytes has passed, and reports false
// once the proxy is closed.
func (proxy *Proxy) waitUntilUnblocked(pair *connectionPair, size int, cut func(fault Fault) bool) bool {
	for {
		fault, silenced := proxy.currentFault(pair)
		proxy.mu.Lock()
		closed := proxy.closed
		proxy.mu.Unlock()
		if closed {
			return false
		}
		if !silenced && !cut(fault) {
			time.Sleep(fault.Delay + fault.transferTime(size))
			return true
		}
		time.Sleep(_faultPollInterval)
	}
}

func (proxy *Proxy) forwardDatagrams() {
	buffer := make([]byte, _maxDatagram)
	to := net.UDPAddrFromAddrPort(proxy.target)
	for {
		size, _, err := proxy.datagramsIn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		fault, _ := proxy.currentFault(nil)
		if fault.CutToTarget {
			continue
		}
		datagram := append([]byte(nil), buffer[:size]...)
		send := func() { _, _ = proxy.datagramsOut.WriteToUDP(datagram, to) }
		if fault.Delay > 0 {
			time.AfterFunc(fault.Delay, send)
		} else {
			send()
		}
	}
}
