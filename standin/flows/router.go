package flows

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

const (
	_pollInterval     = 500 * time.Millisecond
	_pollTimeout      = 400 * time.Millisecond
	_failureThreshold = 2
)

// Instance holds the addresses of an entry instance.
type Instance struct {
	Packets   netip.AddrPort
	Readiness netip.AddrPort
}

// Router forwards the packets of the clients of a failure domain to its entry instances by the hash of their flow. A
// flow may move to another instance whenever one joins or leaves the rotation.
type Router struct {
	socket *net.UDPConn
	client http.Client

	mu        sync.Mutex
	instances []*routedInstance
	rotation  []netip.AddrPort
}

type routedInstance struct {
	Instance
	failures int
	ready    bool
}

// StartRouter starts a router that listens for clients until the context ends.
func StartRouter(ctx context.Context, listen netip.AddrPort) (*Router, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, eris.Wrapf(err, "listen for clients at %s", listen)
	}
	router := &Router{socket: socket, client: http.Client{
		Timeout: _pollTimeout, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	context.AfterFunc(ctx, func() { _ = socket.Close() })
	go router.forwardPackets()
	go router.pollPeriodically(ctx)
	return router, nil
}

// Address returns the address that clients send packets to.
func (router *Router) Address() netip.AddrPort {
	return router.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Add adds an instance.
func (router *Router) Add(instance Instance) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.instances = append(router.instances, &routedInstance{Instance: instance})
	router.updateRotation()
}

// Remove removes an instance.
func (router *Router) Remove(instance Instance) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.instances = slices.DeleteFunc(router.instances, func(known *routedInstance) bool {
		return known.Instance == instance
	})
	router.updateRotation()
}

// InRotation returns the number of instances that receive packets.
func (router *Router) InRotation() int {
	router.mu.Lock()
	defer router.mu.Unlock()
	return len(router.rotation)
}

// updateRotation sets which instances receive packets: those that are ready or, if fewer than half are ready, all.
func (router *Router) updateRotation() {
	ready := make([]netip.AddrPort, 0, len(router.instances))
	all := make([]netip.AddrPort, 0, len(router.instances))
	for _, instance := range router.instances {
		all = append(all, instance.Packets)
		if instance.ready {
			ready = append(ready, instance.Packets)
		}
	}
	router.rotation = ready
	if 2*len(ready) < len(all) {
		router.rotation = all
	}
}

func (router *Router) pollPeriodically(ctx context.Context) {
	ticker := time.NewTicker(_pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			router.pollInstances()
		}
	}
}

func (router *Router) pollInstances() {
	router.mu.Lock()
	instances := slices.Clone(router.instances)
	router.mu.Unlock()
	var group conc.WaitGroup
	for _, instance := range instances {
		group.Go(func() { router.pollInstance(instance) })
	}
	group.Wait()
	router.mu.Lock()
	defer router.mu.Unlock()
	router.updateRotation()
}

func (router *Router) pollInstance(instance *routedInstance) {
	response, err := router.client.Get("http://" + instance.Readiness.String() + "/v1/readiness")
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	router.mu.Lock()
	defer router.mu.Unlock()
	if ready {
		instance.failures, instance.ready = 0, true
		return
	}
	if instance.failures++; instance.failures >= _failureThreshold {
		instance.ready = false
	}
}

func (router *Router) forwardPackets() {
	buffer := make([]byte, _maxDatagram)
	for {
		size, _, err := router.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if size < _headerSize {
			continue
		}
		router.mu.Lock()
		rotation := router.rotation
		router.mu.Unlock()
		if len(rotation) == 0 {
			continue
		}
		hash := xxhash.Sum64(buffer[_srcPortOffset:_flagsOffset])
		// A lost packet is retransmitted.
		_, _ = router.socket.WriteToUDPAddrPort(buffer[:size], rotation[hash%uint64(len(rotation))])
	}
}
