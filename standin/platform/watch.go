package platform

import (
	"net/http"
	"strconv"
	"time"
)

const (
	_defaultWatchWait = 5 * time.Minute
	_maxWatchWait     = 10 * time.Minute
)

// awaitIndex blocks until index returns more than the request's index parameter, or until the request's wait has
// passed. Without an index parameter it returns at once. It cuts the connection when the service becomes
// unreachable for the caller. index is called with the lock held.
func (platform *Platform) awaitIndex(writer http.ResponseWriter, request *http.Request, index func() uint64) {
	seen, err := strconv.ParseUint(request.URL.Query().Get("index"), 10, 64)
	timer := time.NewTimer(waitParameter(request))
	defer timer.Stop()
	for {
		platform.mu.Lock()
		current, changed, cut := index(), platform.changed, platform.faults.unreachable(request)
		platform.mu.Unlock()
		if cut {
			panic(http.ErrAbortHandler)
		}
		writer.Header().Set("X-Consul-Index", strconv.FormatUint(max(current, 1), 10))
		if err != nil || current > seen {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func waitParameter(request *http.Request) time.Duration {
	wait, err := time.ParseDuration(request.URL.Query().Get("wait"))
	if err != nil || wait <= 0 {
		return _defaultWatchWait
	}
	return min(wait, _maxWatchWait)
}
