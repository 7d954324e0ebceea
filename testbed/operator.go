package testbed

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"azureshift/core/id"
	"azureshift/core/packet"
)

// Configure publishes a new configuration with the given number of routes in addition to the base routes.
func (testbed *Testbed) Configure(extraRoutes int) {
	testbed.mu.Lock()
	testbed.extraAddresses = nil
	for number := range extraRoutes {
		testbed.extraAddresses = append(testbed.extraAddresses, fmt.Sprintf("198.18.9.%d", number%_octetCount))
	}
	testbed.version += 2
	testbed.mu.Unlock()
	testbed.writeConfig()
}

// Evacuate requests that no new flow be sent to the servers of a failure domain.
func (testbed *Testbed) Evacuate(domain id.Domain) { testbed.setEvacuated(domain, true) }

// Reopen withdraws the evacuation of a failure domain.
func (testbed *Testbed) Reopen(domain id.Domain) { testbed.setEvacuated(domain, false) }

func (testbed *Testbed) setEvacuated(domain id.Domain, evacuated bool) {
	testbed.mu.Lock()
	defer testbed.mu.Unlock()
	testbed.evacuated[domain] = evacuated
	testbed.writeEvacuations()
}

// writeEvacuations makes the keys of the store match the requests.
func (testbed *Testbed) writeEvacuations() {
	for domain, requested := range testbed.evacuated {
		key := "op/evacuate/" + string(domain)
		if requested {
			testbed.Store.Put(key, nil, 0)
		} else {
			testbed.Store.Delete(key)
		}
	}
}

// RepeatRequests publishes the latest configuration and the evacuations again, as after a restore of the store that has
// lost them, and withdraws the evacuations that came back with it.
func (testbed *Testbed) RepeatRequests() {
	testbed.writeConfig()
	testbed.mu.Lock()
	defer testbed.mu.Unlock()
	testbed.writeEvacuations()
}

// Version returns the version of the latest configuration.
func (testbed *Testbed) Version() int {
	testbed.mu.Lock()
	defer testbed.mu.Unlock()
	return testbed.version
}

// _baseRoutes is the number of routes in every configuration.
const _baseRoutes = 3

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
	routes := make([]map[string]any, 0, _baseRoutes+len(testbed.extraAddresses))
	routes = append(routes,
		route("feeds", FeedEndpoint, "idempotent", "chiosco", 2),
		route("orders", OrderEndpoint, "non_idempotent", "chiosco", 1),
		route("downloads", DownloadEndpoint, "download", "stampa", 2),
	)
	for number, address := range testbed.extraAddresses {
		endpoint := packet.Endpoint{
			Address: netip.MustParseAddr(address).As4(), Port: uint16(_servicePort + number/_octetCount),
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
		panic(err) // Unreachable: every value of the configuration can be encoded as JSON.
	}
	testbed.Store.Put("op/config", value, 0)
}
