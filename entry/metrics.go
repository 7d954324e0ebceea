package entry

import (
	"io"
	"time"

	"github.com/uber-go/tally/v4"

	"azureshift/core/id"
	"azureshift/core/route"
	"azureshift/core/steer"
	"azureshift/metrics/page"
)

const (
	_metricsPath = "/metrics"
	// _reportPeriod is the interval at which metrics are updated on their page, which is scraped every few seconds.
	_reportPeriod = 2 * time.Second
	// The buckets of the time to handle a packet span 10 microseconds to over a second.
	_handlingBucketStart  = 10 * time.Microsecond
	_handlingBucketFactor = 4
	_handlingBucketCount  = 10
	// The buckets of the latency of answers span 5 milliseconds to over 5 seconds.
	_answerBucketStart  = 5 * time.Millisecond
	_answerBucketFactor = 2
	_answerBucketCount  = 11
)

// metrics holds the metrics of one instance and the page that serves them.
type metrics struct {
	page   *page.Page
	closer io.Closer

	packetDecisions []tally.Counter
	handlingTime    tally.Histogram
	answerLatency   map[route.Kind]tally.Histogram
	flows           tally.Gauge
	servers         serverGauges
	// evacuatedDomains is the number of evacuated failure domains, including those without servers.
	evacuatedDomains tally.Gauge
	admissions       admissionGauges
	evenness         evennessGauges
	packetsMalformed tally.Counter
	flowsAbandoned   tally.Counter
	// serversCold is the number of servers whose new flows are limited while they are in slow start, and
	// flowsRefusedCold counts the new flows that were refused for that reason.
	serversCold      tally.Gauge
	flowsRefusedCold tally.Counter
	// packetsUntracked counts packets of flows that were not tracked for want of memory.
	packetsUntracked tally.Counter
	storeCalls       map[storeCall]tally.Counter
	storeFailures    tally.Counter
	storeRepeats     tally.Counter
	storeRestores    tally.Counter
	probes           tally.Counter
	// registrationsRefused counts reads of registrations that name no server or instance to use.
	registrationsRefused tally.Counter
	// configFaults counts parts of configurations that were not understood.
	configFaults tally.Counter
	peerBytes    tally.Counter
	eventsLost   tally.Counter
	linesDropped tally.Counter
}

func newMetrics(instance id.Instance, domain id.Domain) *metrics {
	created := &metrics{page: page.New()}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "azureshift",
		Separator:              "_",
		Tags:                   map[string]string{"Instance": string(instance), "Domain": string(domain)},
		CachedReporter:         created.page,
		OmitCardinalityMetrics: true,
	}, _reportPeriod)
	created.closer = closer
	handlingBuckets := tally.MustMakeExponentialDurationBuckets(
		_handlingBucketStart, _handlingBucketFactor, _handlingBucketCount)
	created.handlingTime = scope.Histogram("packet_seconds", handlingBuckets)
	answerBuckets := tally.MustMakeExponentialDurationBuckets(_answerBucketStart, _answerBucketFactor, _answerBucketCount)
	created.answerLatency = make(map[route.Kind]tally.Histogram)
	for _, kind := range route.Kinds() {
		tagged := scope.Tagged(map[string]string{"Kind": kind.String()})
		created.answerLatency[kind] = tagged.Histogram("answer_seconds", answerBuckets)
	}
	created.flows = scope.Gauge("flows")
	created.servers = serverGauges{scope: scope, byService: make(map[id.Service]map[ServerCondition]tally.Gauge)}
	created.evacuatedDomains = scope.Gauge("evacuated_domains")
	created.admissions = admissionGauges{scope: scope, byKey: make(map[admissionKey]admissionGauge)}
	created.evenness = evennessGauges{scope: scope, byService: make(map[id.Service]evennessGauge)}
	created.packetsMalformed = scope.Counter("packets_malformed_total")
	created.packetsUntracked = scope.Counter("packets_untracked_total")
	created.flowsAbandoned = scope.Counter("flows_abandoned_total")
	created.serversCold = scope.Gauge("servers_in_slow_start")
	created.flowsRefusedCold = scope.Counter("flows_refused_slow_start_total")
	created.storeCalls = make(map[storeCall]tally.Counter)
	for _, call := range storeCalls() {
		created.storeCalls[call] = scope.Tagged(map[string]string{"Call": string(call)}).Counter("store_calls_total")
	}
	created.storeFailures = scope.Counter("store_failures_total")
	created.storeRepeats = scope.Counter("store_reads_repeated_total")
	created.storeRestores = scope.Counter("store_restores_total")
	created.registrationsRefused = scope.Counter("registrations_refused_total")
	created.configFaults = scope.Counter("config_faults_total")
	created.probes = scope.Counter("probes_total")
	created.peerBytes = scope.Counter("peer_bytes_total")
	created.eventsLost = scope.Counter("events_lost_total")
	created.linesDropped = scope.Counter("log_lines_dropped_total")
	for _, reason := range steer.Reasons() {
		tagged := scope.Tagged(map[string]string{"Reason": reason.String()})
		created.packetDecisions = append(created.packetDecisions, tagged.Counter("packets_total"))
	}
	return created
}

func (metrics *metrics) count(decision steer.Decision) {
	metrics.packetDecisions[decision.Reason].Inc(1)
	if decision.Reason == steer.SlowStart && decision.Action == steer.Reset {
		metrics.flowsRefusedCold.Inc(1)
	}
	if histogram, ok := metrics.answerLatency[decision.Kind]; ok && decision.Latency > 0 {
		histogram.RecordDuration(decision.Latency)
	}
}
