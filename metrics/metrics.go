// Package metrics holds the metrics of an entry instance and serves them to Prometheus.
package metrics

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	reporter "github.com/uber-go/tally/v4/prometheus"

	"azureshift/core/id"
)

const (
	_prefix        = "azureshift"
	_defaultPeriod = time.Second

	_labelCustomer = "Customer"
	_labelClass    = "Class"
	_labelOutcome  = "Outcome"
	_labelReason   = "Reason"
	_labelAt       = "At"
	_labelName     = "Name"
	_labelStatus   = "Status"
	_labelDomain   = "Domain"
	_labelInstance = "Instance"
	_labelOf       = "Of"
)

// Config configures Metrics.
type Config struct {
	Instance id.Instance
	Domain   id.Domain
	// Period is the interval at which metrics are passed to the reporter; it defaults to one second.
	Period time.Duration
	// OnError is called for each metric that cannot be registered; it may be nil.
	OnError func(error)
}

// Metrics holds the metrics of one entry instance. It is safe for concurrent use. Handles such as Traffic are to be
// looked up once and kept; using them takes no lock.
type Metrics struct {
	// Control counts the bytes exchanged with other entry instances.
	Control Control
	// State holds the gauges of the instance's state.
	State State

	scope   tally.Scope
	closer  io.Closer
	handler http.Handler

	mu         sync.Mutex
	traffic    map[trafficKey]*Traffic
	drops      map[dropKey]tally.Counter
	violations map[string]tally.Counter
}

// New returns the metrics of one entry instance. Close stops their reporting.
func New(config Config) (*Metrics, error) {
	if config.Period == 0 {
		config.Period = _defaultPeriod
	}
	if config.OnError == nil {
		config.OnError = func(error) {}
	}
	registry := prometheus.NewRegistry()
	for _, collector := range []prometheus.Collector{
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	} {
		if err := registry.Register(collector); err != nil {
			return nil, eris.Wrap(err, "register the metrics of the process")
		}
	}
	cachedReporter := reporter.NewReporter(reporter.Options{
		Registerer: registry, Gatherer: registry, OnRegisterError: config.OnError,
	})
	tags := map[string]string{_labelInstance: string(config.Instance), _labelDomain: string(config.Domain)}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 _prefix,
		Tags:                   tags,
		CachedReporter:         cachedReporter,
		Separator:              reporter.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, config.Period)
	return &Metrics{
		Control:    newControl(scope),
		State:      newState(scope),
		scope:      scope,
		closer:     closer,
		handler:    cachedReporter.HTTPHandler(),
		traffic:    make(map[trafficKey]*Traffic),
		drops:      make(map[dropKey]tally.Counter),
		violations: make(map[string]tally.Counter),
	}, nil
}

// Handler serves the metrics in the Prometheus text format.
func (metrics *Metrics) Handler() http.Handler {
	return metrics.handler
}

// Close reports the last values and stops reporting.
func (metrics *Metrics) Close() error {
	return eris.Wrap(metrics.closer.Close(), "close metrics")
}
