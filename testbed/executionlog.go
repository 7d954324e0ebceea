package testbed

import (
	"maps"
	"sync"
)

// ExecutionLog records which backend servers ran each request, as the servers report it.
type ExecutionLog struct {
	mu               sync.Mutex
	serversByRequest map[string][]string
}

func newExecutionLog() *ExecutionLog {
	return &ExecutionLog{serversByRequest: make(map[string][]string)}
}

// Record adds a server that began to run a request.
func (executionLog *ExecutionLog) Record(request, server string) {
	executionLog.mu.Lock()
	defer executionLog.mu.Unlock()
	executionLog.serversByRequest[request] = append(executionLog.serversByRequest[request], server)
}

// ServersOf returns the servers that ran a request.
func (executionLog *ExecutionLog) ServersOf(request string) []string {
	executionLog.mu.Lock()
	defer executionLog.mu.Unlock()
	return append([]string(nil), executionLog.serversByRequest[request]...)
}

// All returns the servers that ran each request, by the id of the request.
func (executionLog *ExecutionLog) All() map[string][]string {
	executionLog.mu.Lock()
	defer executionLog.mu.Unlock()
	return maps.Clone(executionLog.serversByRequest)
}
