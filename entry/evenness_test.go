package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/steer"
)

// servicesTable returns a table of services with two servers each, one of which answers three times as much.
func servicesTable(services int) *steer.Table {
	table := &steer.Table{Placement: steer.Placement{EvenLoad: true}}
	for number := range 2 * services {
		server := &steer.Server{Cookie: packet.Cookie(number + 1), Condition: steer.Usable, Warm: true}
		server.Service, server.Slots = id.Service(fmt.Sprintf("service-%d", number/2)), 2
		table.Add(server)
		table.AddToPool(server)
	}
	return table.WithMeasures(0, &steer.Baselines{}, func(server *steer.Server) steer.Measure {
		return steer.Measure{Habit: steer.Habit{AnswerRate: 5 + 10*float64(server.Cookie%2)}}
	})
}

func TestEvennessGauges(t *testing.T) {
	c := qt.New(t)
	metrics := newMetrics("a-1", "a")
	defer func() { c.Check(metrics.closer.Close(), qt.IsNil) }()
	metrics.evenness.update(servicesTable(1))
	eventually(c, func() bool {
		recorder := httptest.NewRecorder()
		metrics.page.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, _metricsPath, nil))
		shown := map[string]bool{}
		for line := range strings.Lines(recorder.Body.String()) {
			name, _, _ := strings.Cut(line, "{")
			fields := strings.Fields(line)
			if strings.Contains(line, `Service="service-0"`) {
				shown[name+" "+fields[len(fields)-1]] = true
			}
		}
		return shown["azureshift_busiest_server_ratio 1.5"] && shown["azureshift_even_load 1"]
	})
	c.Run("bounded", func(c *qt.C) {
		metrics.evenness.update(servicesTable(_maxServices + 50))
		c.Assert(len(metrics.evenness.byService) <= _maxServices, qt.IsTrue)
	})
}
