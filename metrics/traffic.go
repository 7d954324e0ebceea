package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"

	"azureshift/core/id"
)

// The bounds of the latency buckets double from half a millisecond to about a minute. Quantiles are exact to a factor
// of two, from latencies within one failure domain to the longest deadline, with 18 series per customer and class.
const (
	_firstBucket  = 500 * time.Microsecond
	_bucketFactor = 2
	_bucketCount  = 18
)

var _latencyBuckets = tally.MustMakeExponentialDurationBuckets(_firstBucket, _bucketFactor, _bucketCount)

// Traffic counts the traffic of one customer and class.
type Traffic struct {
	answered tally.Counter
	notRun   tally.Counter
	unknown  tally.Counter
	latency  tally.Histogram
	opened   tally.Counter
	broken   tally.Counter
}

type trafficKey struct {
	customer id.Customer
	class    string
}

// Traffic returns the handle for one customer and class, such as the name of a coap.Class. It takes a lock, so call it
// when a bundle comes into force and not for each datagram.
func (metrics *Metrics) Traffic(customer id.Customer, class string) *Traffic {
	metrics.mu.Lock()
	defer metrics.mu.Unlock()
	key := trafficKey{customer: customer, class: class}
	if found, ok := metrics.traffic[key]; ok {
		return found
	}
	scope := metrics.scope.Tagged(map[string]string{_labelCustomer: string(customer), _labelClass: class})
	outcome := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{_labelOutcome: name}).Counter("requests_total")
	}
	added := &Traffic{
		answered: outcome("Answered"),
		notRun:   outcome("NotRun"),
		unknown:  outcome("Unknown"),
		latency:  scope.Histogram("latency_seconds", _latencyBuckets),
		opened:   scope.Counter("flows_opened_total"),
		broken:   scope.Counter("flows_broken_total"),
	}
	metrics.traffic[key] = added
	return added
}

// Answered counts a request that was answered and records its latency.
func (traffic *Traffic) Answered(latency time.Duration) {
	traffic.answered.Inc(1)
	traffic.latency.RecordDuration(latency)
}

// NotRun counts a request that was refused as not run.
func (traffic *Traffic) NotRun() {
	traffic.notRun.Inc(1)
}

// Unknown counts a request whose outcome is unknown.
func (traffic *Traffic) Unknown() {
	traffic.unknown.Inc(1)
}

// FlowOpened counts a new flow.
func (traffic *Traffic) FlowOpened() {
	traffic.opened.Inc(1)
}

// FlowBroken counts an established flow that lost its target.
func (traffic *Traffic) FlowBroken() {
	traffic.broken.Inc(1)
}
