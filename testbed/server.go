package testbed

import (
	"time"

	"azureshift/core/id"
	"azureshift/standin/flows"
)

// AddTarget starts another backend server in a failure domain.
func (testbed *Testbed) AddTarget(domain int) (*Server, error) {
	testbed.mu.Lock()
	number := 0
	for _, other := range testbed.targets {
		if other.domain == domain {
			number = max(number, other.number+1)
		}
	}
	testbed.mu.Unlock()
	return testbed.StartTarget(domain, number)
}

// Service returns the service of a server.
func (server *Server) Service() string {
	return server.config.Service
}

// Replace starts a backend server with a new id at the address of one that has ended.
func (testbed *Testbed) Replace(server *Server) (*Server, error) {
	return testbed.StartTarget(server.domain, server.number)
}

// StartTarget starts a backend server with a new id at the address with the given number in a failure domain.
func (testbed *Testbed) StartTarget(domain, number int) (*Server, error) {
	testbed.mu.Lock()
	testbed.lastServerNumber++
	serverNumber := testbed.lastServerNumber
	testbed.mu.Unlock()
	service := "chiosco"
	if number%_stampaInterval == _stampaInterval-1 {
		service = "stampa"
	}
	advertised := testbed.address(_targetNet, domain, number, _targetPort)
	listen := advertised
	if testbed.config.Proxied {
		listen = testbed.address(_upstreamTargetNet, domain, number, _targetPort)
	}
	return testbed.startTarget(domain, number, flows.TargetConfig{
		Number: _firstServerNumber + serverNumber, Service: service, Domain: string(testbed.config.Domains[domain]),
		Listen: listen, RegisteredAddress: advertised,
		ClientPort: _packetPort, Slots: testbed.config.Slots, ServiceTime: testbed.config.ServiceTime,
	})
}

const (
	// _stampaInterval makes every fourth server of a failure domain one of the service stampa.
	_stampaInterval    = 4
	_firstServerNumber = 0x1000
)

// Restart restarts a crashed server under its old id. Its wall clock runs ahead of true time by clockOffset, or behind
// if that is negative.
func (testbed *Testbed) Restart(server *Server, clockOffset time.Duration) (*Server, error) {
	config := server.config
	config.ClockOffset = clockOffset
	return testbed.startTarget(server.domain, server.number, config)
}

func (testbed *Testbed) startTarget(domain, number int, config flows.TargetConfig) (*Server, error) {
	config.Registry = newRegistry(testbed.Store)
	config.OnRun = testbed.Executions.Record
	target, err := flows.StartTarget(config)
	if err != nil {
		return nil, err
	}
	server := &Server{Target: target, config: config, domain: domain, number: number}
	testbed.mu.Lock()
	serverProxy, ok := testbed.proxies[config.RegisteredAddress]
	testbed.mu.Unlock()
	if !ok {
		if serverProxy, err = testbed.startProxy(config.RegisteredAddress, config.Listen); err != nil {
			target.Crash()
			return nil, err
		}
	}
	server.Proxy = serverProxy
	testbed.mu.Lock()
	defer testbed.mu.Unlock()
	testbed.proxies[config.RegisteredAddress] = serverProxy
	testbed.started[server.ID()] = config
	testbed.targets = append(testbed.targets, server)
	return server, nil
}

// ServiceOf returns the service of the server with the given id, even if the server has ended.
func (testbed *Testbed) ServiceOf(server string) string {
	testbed.mu.Lock()
	defer testbed.mu.Unlock()
	return testbed.started[server].Service
}

// DomainOf returns the failure domain of the server with the given id, even if the server has ended.
func (testbed *Testbed) DomainOf(server string) id.Domain {
	testbed.mu.Lock()
	defer testbed.mu.Unlock()
	return id.Domain(testbed.started[server].Domain)
}

// Remove removes a server that has ended from the list of targets.
func (testbed *Testbed) Remove(server *Server) {
	testbed.mu.Lock()
	defer testbed.mu.Unlock()
	for index, other := range testbed.targets {
		if other == server {
			testbed.targets = append(testbed.targets[:index], testbed.targets[index+1:]...)
			return
		}
	}
}
