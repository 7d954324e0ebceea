package testbed

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"azureshift/core/packet"
)

// Configure puts a new configuration in force that has the given number of further routes.
func (testbed *Testbed) Configure(extra int) {
	testbed.mu.Lock()
	testbed.extra = nil
	for number := range extra {
		testbed.extra = append(testbed.extra, fmt.Sprintf("198.18.9.%d", number%_octets))
	}
	testbed.version += 2
	testbed.mu.Unlock()
	testbed.writeConfig()
}

// Version returns the version of the operator's configuration.
func (testbed *Testbed) Version() int {
	testbed.mu.Lock()
	defer testbed.mu.Unlock()
	return testbed.version
}

// _ownRoutes is the number of routes that every configuration has.
const _ownRoutes = 3

func (testbed *Testbed) writeConfig() {
	route := func(name string, endpoint packet.Endpoint, kind, service string, priority int) map[string]any {
		return map[string]any{
			"name": name, "hostname": netip.AddrFrom4(endpoint.Address).String(),
			"prefix": fmt.Sprintf("/%d/", endpoint.Port), "type": kind, "timeout_ms": 1500, "slo_ms": 250,
			"priority": priority, "service": service, "attempts": 2,
		}
	}
	testbed.mu.Lock()
	defer testbed.mu.Unlock()
	routes := make([]map[string]any, 0, _ownRoutes+len(testbed.extra))
	routes = append(routes,
		route("feeds", Feeds, "idempotent", "chiosco", 2),
		route("orders", Orders, "non_idempotent", "chiosco", 1),
		route("downloads", Downloads, "download", "stampa", 2),
	)
	for number, address := range testbed.extra {
		endpoint := packet.Endpoint{
			Address: netip.MustParseAddr(address).As4(), Port: uint16(_servicePort + number/_octets),
		}
		routes = append(routes, route(fmt.Sprintf("extra-%d", number), endpoint, "idempotent", "chiosco", 2))
	}
	value, err := json.Marshal(map[string]any{
		"version": testbed.version, "routes": routes,
		"services": []map[string]any{
			{"name": "chiosco", "health_path": "/health", "max_conns": 4000},
			{"name": "stampa", "health_path": "/health", "max_conns": 4000},
		},
		"limits": map[string]any{"idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err) // The configuration holds nothing that JSON cannot express.
	}
	testbed.Store.Put("op/config", value, 0)
}
