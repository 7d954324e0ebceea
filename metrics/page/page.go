// Package page is a reporter for tally that uses little memory and serves metrics in the Prometheus text format.
package page

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

const _contentType = "text/plain; version=0.0.4; charset=utf-8"

// Page is a tally reporter that serves the values reported last. It is safe for concurrent use.
type Page struct {
	mu     sync.Mutex
	series []series
}

var (
	_ tally.CachedStatsReporter = (*Page)(nil)
	_ http.Handler              = (*Page)(nil)
)

// New returns a page without metrics.
func New() *Page {
	return &Page{}
}

// series is one time series: a metric name with labels and a value.
type series struct {
	name   string
	labels string
	kind   string
	value  value
}

// value is the current value of a series and writes its lines.
type value interface {
	write(output io.Writer, name, labels string)
}

func (page *Page) add(name, kind string, tags map[string]string, value value) {
	added := series{name: name, labels: formatLabels(tags), kind: kind, value: value}
	page.mu.Lock()
	defer page.mu.Unlock()
	at, _ := slices.BinarySearchFunc(page.series, added, compareSeries)
	page.series = slices.Insert(page.series, at, added)
}

func compareSeries(left, right series) int {
	return cmp.Or(cmp.Compare(left.name, right.name), cmp.Compare(left.labels, right.labels))
}

// AllocateCounter implements tally.CachedStatsReporter.
func (page *Page) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	added := &counter{}
	page.add(name, "counter", tags, added)
	return added
}

// AllocateGauge implements tally.CachedStatsReporter.
func (page *Page) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	added := &gauge{}
	page.add(name, "gauge", tags, added)
	return added
}

// AllocateTimer implements tally.CachedStatsReporter. Only the count of a timer is served; use a histogram instead.
func (page *Page) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	added := &timer{}
	page.add(name, "counter", tags, &added.counter)
	return added
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (page *Page) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	added := &histogram{}
	page.add(name, "histogram", tags, added)
	return added
}

// Capabilities implements tally.CachedStatsReporter.
func (page *Page) Capabilities() tally.Capabilities {
	return page
}

// Reporting implements tally.Capabilities.
func (page *Page) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (page *Page) Tagging() bool { return true }

// Flush implements tally.CachedStatsReporter.
func (page *Page) Flush() {}

// ServeHTTP writes all series in the Prometheus text format.
func (page *Page) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", _contentType)
	page.mu.Lock()
	all := slices.Clone(page.series)
	page.mu.Unlock()
	lastName := ""
	for _, each := range all {
		if each.name != lastName {
			lastName = each.name
			// If this fails, the client has closed the connection.
			_, _ = fmt.Fprintf(writer, "# TYPE %s %s\n", each.name, each.kind)
		}
		each.value.write(writer, each.name, each.labels)
	}
}

type counter struct{ count atomic.Int64 }

// ReportCount implements tally.CachedCount. It adds the count since the last report.
func (counter *counter) ReportCount(added int64) {
	counter.count.Add(added)
}

func (counter *counter) write(output io.Writer, name, labels string) {
	_, _ = fmt.Fprintf(output, "%s%s %d\n", name, withBraces(labels), counter.count.Load())
}

type gauge struct{ bits atomic.Uint64 }

// ReportGauge implements tally.CachedGauge.
func (gauge *gauge) ReportGauge(value float64) {
	gauge.bits.Store(math.Float64bits(value))
}

func (gauge *gauge) write(output io.Writer, name, labels string) {
	_, _ = fmt.Fprintf(output, "%s%s %g\n", name, withBraces(labels), math.Float64frombits(gauge.bits.Load()))
}

type timer struct{ counter }

// ReportTimer implements tally.CachedTimer. It counts the timing and drops its duration.
func (timer *timer) ReportTimer(time.Duration) {
	timer.ReportCount(1)
}

// histogram holds buckets in ascending order of their upper bounds.
type histogram struct {
	mu      sync.Mutex
	buckets []*bucket
}

type bucket struct {
	counter
	upper float64
}

// ReportSamples implements tally.CachedHistogramBucket. It adds to the number of samples in the bucket.
func (bucket *bucket) ReportSamples(samples int64) {
	bucket.ReportCount(samples)
}

// ValueBucket implements tally.CachedHistogram.
func (histogram *histogram) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	return histogram.bucket(upper)
}

// DurationBucket implements tally.CachedHistogram. Durations are served in seconds.
func (histogram *histogram) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == math.MaxInt64 {
		return histogram.bucket(math.MaxFloat64)
	}
	return histogram.bucket(upper.Seconds())
}

func (histogram *histogram) bucket(upper float64) *bucket {
	histogram.mu.Lock()
	defer histogram.mu.Unlock()
	at, found := slices.BinarySearchFunc(histogram.buckets, upper, func(bucket *bucket, upper float64) int {
		return cmp.Compare(bucket.upper, upper)
	})
	if !found {
		histogram.buckets = slices.Insert(histogram.buckets, at, &bucket{upper: upper})
	}
	return histogram.buckets[at]
}

func (histogram *histogram) write(output io.Writer, name, labels string) {
	histogram.mu.Lock()
	buckets := slices.Clone(histogram.buckets)
	histogram.mu.Unlock()
	var total int64
	for _, bucket := range buckets {
		total += bucket.count.Load()
		if bucket.upper < math.MaxFloat64 {
			_, _ = fmt.Fprintf(output, "%s_bucket%s %d\n", name, withBraces(joinLabels(labels, boundLabel(bucket.upper))), total)
		}
	}
	_, _ = fmt.Fprintf(output, "%s_bucket%s %d\n", name, withBraces(joinLabels(labels, `le="+Inf"`)), total)
	_, _ = fmt.Fprintf(output, "%s_count%s %d\n", name, withBraces(labels), total)
}

func boundLabel(upper float64) string {
	return fmt.Sprintf(`le="%g"`, upper)
}

func formatLabels(tags map[string]string) string {
	labels := make([]string, 0, len(tags))
	for _, name := range slices.Sorted(maps.Keys(tags)) {
		labels = append(labels, fmt.Sprintf("%s=%q", name, tags[name]))
	}
	return strings.Join(labels, ",")
}

func joinLabels(left, right string) string {
	if left == "" {
		return right
	}
	return left + "," + right
}

func withBraces(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}
