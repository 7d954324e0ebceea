package capacity

import (
	"net/netip"
	"time"

	"azureshift/core/flow"
	"azureshift/core/request"
)

const _lookups = 20_000

// measureTraffic measures the lookups that traffic threads make for each datagram.
func (measurement *Measurement) measureTraffic(instance *instance) {
	services := instance.fleet.bundle.Services
	measurement.Lookup = meanTime(func(number int) {
		service, _ := instance.routes.Service(services[number%len(services)].Address)
		index := instance.snapshot.Service(service.Name)
		_ = instance.snapshot.Lookup(index, flow.Hash(callerAddress(number), service.Name), 0)
	})
	measurement.Owner = meanTime(func(number int) {
		service, _ := instance.routes.Service(services[number%len(services)].Address)
		_, _ = service.Owner(request.Key{Caller: callerAddress(number), Service: service.Name, Tag: "01234567"},
			request.AtMostOnce)
	})
}

func meanTime(lookup func(number int)) time.Duration {
	start := time.Now()
	for number := range _lookups {
		lookup(number)
	}
	return time.Since(start) / _lookups
}

func callerAddress(number int) netip.AddrPort {
	address := netip.AddrFrom4([4]byte{100, 64, byte(number >> 8), byte(number)})
	return netip.AddrPortFrom(address, 5683)
}
