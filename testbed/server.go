package testbed

import (
	"time"

	"azureshift/standin/flows"
)

// AddTarget starts another backend server in a failure domain.
func (testbed *Testbed) AddTarget(domain int) (*Server, error) {
	testbed.mu.Lock()
	number := 0
	for _, known := range testbed.targets {
		if known.domain == domain {
			number = max(number, known.number+1)
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

// StartTarget starts a backend server with a new id at an address of a failure domain.
func (testbed *Testbed) StartTarget(domain, number int) (*Server, error) {
	testbed.mu.Lock()
	testbed.next++
	next := testbed.next
	testbed.mu.Unlock()
	service := "chiosco"
	if number%_stampaEach == _stampaEach-1 {
		service = "stampa"
	}
	shown := testbed.address(_targetNet, domain, number, _targetPort)
	listen := shown
	if testbed.config.Proxied {
		listen = testbed.address(_hiddenTarget, domain, number, _targetPort)
	}
	return testbed.startTarget(domain, number, flows.TargetConfig{
		Number: _firstNumber + next, Service: service, Domain: string(testbed.config.Domains[domain]),
		Listen: listen, Shown: shown,
		ClientPort: _packetPort, Slots: testbed.config.Slots, Work: testbed.config.Work,
	})
}

const (
	// _stampaEach is how many servers there are for each one of the service stampa.
	_stampaEach  = 4
	_firstNumber = 0x1000
)

// Restart starts a server again that has crashed, under its old id, with a time of day that is ahead of true time by a
// span or, if that is negative, behind.
func (testbed *Testbed) Restart(server *Server, ahead time.Duration) (*Server, error) {
	config := server.config
	config.ClockAhead = ahead
	return testbed.startTarget(server.domain, server.number, config)
}

func (testbed *Testbed) startTarget(domain, number int, config flows.TargetConfig) (*Server, error) {
	config.Registry = newRegistry(testbed.Store)
	config.Ran = testbed.Requests.Ran
	target, err := flows.StartTarget(config)
	if err != nil {
		return nil, err
	}
	server := &Server{Target: target, config: config, domain: domain, number: number}
	testbed.mu.Lock()
	network, ok := testbed.networks[config.Shown]
	testbed.mu.Unlock()
	if !ok {
		if network, err = testbed.interpose(config.Shown, config.Listen); err != nil {
			target.Crash()
			return nil, err
		}
	}
	server.Network = network
	testbed.mu.Lock()
	defer testbed.mu.Unlock()
	testbed.networks[config.Shown] = network
	testbed.services[server.ID()] = config.Service
	testbed.targets = append(testbed.targets, server)
	return server, nil
}

// ServiceOf returns the service of a server, also of one that has ended.
func (testbed *Testbed) ServiceOf(server string) string {
	testbed.mu.Lock()
	defer testbed.mu.Unlock()
	return testbed.services[server]
}

// Forget removes a server that has ended.
func (testbed *Testbed) Forget(server *Server) {
	testbed.mu.Lock()
	defer testbed.mu.Unlock()
	for index, known := range testbed.targets {
		if known == server {
			testbed.targets = append(testbed.targets[:index], testbed.targets[index+1:]...)
			return
		}
	}
}
