// Package fabric simulates the network fabric: it sends each datagram of a caller to a random entry instance.
package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	wire "azureshift/io/fabric"
)

const _readBufferSize = 4 << 20

// Config configures the addresses of the fabric.
type Config struct {
	// Services are the addresses that callers send to.
	Services []netip.AddrPort `json:"Services"`
	// Return is the address that instances send answers to.
	Return netip.AddrPort `json:"Return"`
	// Instances are the addresses of the entry instances.
	Instances []netip.AddrPort `json:"Instances"`
	// Seed seeds the random choice of instances.
	Seed uint64 `json:"Seed"`
}

// Fabric is a simulated network fabric.
type Fabric struct {
	instanceConn *net.UDPConn
	serviceConns map[netip.AddrPort]*net.UDPConn

	mu        sync.Mutex
	random    *rand.Rand
	instances []netip.AddrPort
}

// New opens the sockets of the fabric.
func New(config Config) (*Fabric, error) {
	instanceConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Return))
	if err != nil {
		return nil, eris.Wrapf(err, "listen for answers on %s", config.Return)
	}
	_ = instanceConn.SetReadBuffer(_readBufferSize)
	fabric := &Fabric{
		instanceConn: instanceConn,
		serviceConns: make(map[netip.AddrPort]*net.UDPConn),
		random:       rand.New(rand.NewPCG(config.Seed, config.Seed)),
		instances:    config.Instances,
	}
	for _, service := range config.Services {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(service))
		if err != nil {
			return nil, eris.Wrapf(err, "listen for callers on %s", service)
		}
		fabric.serviceConns[service] = conn
	}
	return fabric, nil
}

// Run forwards datagrams until the context ends.
func (fabric *Fabric) Run(ctx context.Context) {
	var group conc.WaitGroup
	for service, conn := range fabric.serviceConns {
		group.Go(func() { fabric.forwardToInstances(ctx, service, conn) })
	}
	group.Go(func() { fabric.forwardToCallers(ctx) })
	<-ctx.Done()
	_ = fabric.instanceConn.Close()
	for _, conn := range fabric.serviceConns {
		_ = conn.Close()
	}
	group.Wait()
}

// SetInstances replaces the entry instances that receive datagrams.
func (fabric *Fabric) SetInstances(instances []netip.AddrPort) {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	fabric.instances = instances
}

func (fabric *Fabric) forwardToInstances(ctx context.Context, service netip.AddrPort, conn *net.UDPConn) {
	buffer := make([]byte, wire.MaxDatagram)
	for ctx.Err() == nil {
		size, caller, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			continue
		}
		wrapped, err := wire.Encode(wire.Datagram{
			Source:      netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port()),
			Destination: service,
			Payload:     buffer[:size],
		})
		if err != nil {
			continue
		}
		if instance, ok := fabric.pickInstance(); ok {
			_, _ = fabric.instanceConn.WriteToUDPAddrPort(wrapped, instance)
		}
	}
}

func (fabric *Fabric) forwardToCallers(ctx context.Context) {
	buffer := make([]byte, wire.MaxDatagram)
	for ctx.Err() == nil {
		size, _, err := fabric.instanceConn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			continue
		}
		datagram, err := wire.Decode(buffer[:size])
		if err != nil {
			continue
		}
		if conn, ok := fabric.serviceConns[datagram.Source]; ok {
			_, _ = conn.WriteToUDPAddrPort(datagram.Payload, datagram.Destination)
		}
	}
}

func (fabric *Fabric) pickInstance() (netip.AddrPort, bool) {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	if len(fabric.instances) == 0 {
		return netip.AddrPort{}, false
	}
	return fabric.instances[fabric.random.IntN(len(fabric.instances))], true
}
