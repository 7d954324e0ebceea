package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// DomainHeader is the header with the caller's failure domain, to which Faults.Cut applies.
const DomainHeader = "X-Azureshift-Domain"

// Faults are the faults that the service injects.
type Faults struct {
	// Down cuts every connection, including those of waiting watches.
	Down bool `json:"Down"`
	// Delay is how long a request waits before it is executed.
	Delay time.Duration `json:"Delay"`
	// LoseRequests is the share of requests, from 0 to 1, that are lost before they are executed.
	LoseRequests float64 `json:"LoseRequests"`
	// LoseAnswers is the share of writes and lease calls, from 0 to 1, that are executed but whose answer is lost.
	LoseAnswers float64 `json:"LoseAnswers"`
	// Cut lists the failure domains whose callers cannot reach the service.
	Cut []string `json:"Cut"`
}

// SetFaults replaces the faults.
func (platform *Platform) SetFaults(faults Faults) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.faults = faults
	platform.wakeWatches()
}

// handle routes a pattern to an operation and injects faults before and after it.
func (platform *Platform) handle(pattern string, kind callKind, operation http.HandlerFunc) {
	platform.mux.HandleFunc(pattern, func(writer http.ResponseWriter, request *http.Request) {
		platform.beforeOperation(request, kind)
		operation(writer, request)
		platform.afterOperation(kind)
	})
}

// beforeOperation counts the call and injects the faults that come before the operation.
func (platform *Platform) beforeOperation(request *http.Request, kind callKind) {
	platform.mu.Lock()
	platform.calls.add(kind, request)
	faults := platform.faults
	lost := platform.random.Float64() < faults.LoseRequests
	platform.mu.Unlock()
	platform.delayRequest(request, faults.Delay)
	platform.mu.Lock()
	lost = lost || platform.faults.unreachable(request)
	platform.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
}

// afterOperation injects the fault that comes after the operation.
func (platform *Platform) afterOperation(kind callKind) {
	platform.mu.Lock()
	lost := kind != kindRead && platform.random.Float64() < platform.faults.LoseAnswers
	platform.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
}

// unreachable reports whether the caller cannot reach the service.
func (faults Faults) unreachable(request *http.Request) bool {
	return faults.Down || slices.Contains(faults.Cut, request.Header.Get(DomainHeader))
}

func (platform *Platform) delayRequest(request *http.Request, delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (platform *Platform) getFaults(writer http.ResponseWriter, _ *http.Request) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	writeJSON(writer, platform.faults)
}

func (platform *Platform) putFaults(writer http.ResponseWriter, request *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, MaxValueBytes))
	decoder.DisallowUnknownFields()
	var faults Faults
	if err := decoder.Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	platform.SetFaults(faults)
	writeJSON(writer, faults)
}
