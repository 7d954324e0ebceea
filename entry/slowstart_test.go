package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/core/steer"
)

// TestSlowStartMetrics guards against refusals and cold servers that no metric shows. A dropped copy of an opening
// packet is no refused flow.
func TestSlowStartMetrics(t *testing.T) {
	c := qt.New(t)
	metrics := newMetrics("a-1", "a")
	defer func() { c.Check(metrics.closer.Close(), qt.IsNil) }()
	metrics.serversCold.Update(3)
	metrics.count(steer.Decision{Action: steer.Reset, Reason: steer.SlowStart})
	metrics.count(steer.Decision{Action: steer.Reset, Reason: steer.Overloaded})
	metrics.count(steer.Decision{Action: steer.Drop, Reason: steer.SlowStart})
	shows := func(name, value string) bool {
		recorder := httptest.NewRecorder()
		metrics.page.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, _metricsPath, nil))
		for line := range strings.Lines(recorder.Body.String()) {
			if strings.HasPrefix(line, name+"{") && strings.HasSuffix(strings.TrimSpace(line), " "+value) {
				return true
			}
		}
		return false
	}
	eventually(c, func() bool {
		return shows("azureshift_servers_in_slow_start", "3") && shows("azureshift_flows_refused_slow_start_total", "1")
	})
}
