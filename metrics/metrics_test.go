package metrics

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/io/peer"
)

func newTestMetrics(tb testing.TB) *Metrics {
	metrics, err := New(Config{
		Instance: "morbegno-1", Domain: "morbegno", OnError: func(err error) { tb.Error(err) },
	})
	qt.Assert(tb, err, qt.IsNil)
	return metrics
}

// scrape closes metrics, so that all values are reported, and returns what Prometheus would read.
func scrape(c *qt.C, metrics *Metrics) string {
	c.Assert(metrics.Close(), qt.IsNil)
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	c.Assert(recorder.Code, qt.Equals, http.StatusOK)
	return recorder.Body.String()
}

func assertMetric(c *qt.C, scraped, name, labels, value string) {
	for line := range strings.Lines(scraped) {
		matches := strings.HasPrefix(line, name+"{") && strings.HasSuffix(line, " "+value+"\n")
		for label := range strings.SplitSeq(labels, ",") {
			matches = matches && strings.Contains(line, label)
		}
		if matches {
			return
		}
	}
	c.Errorf("no %s with %s and value %s in\n%s", name, labels, value, scraped)
}

func TestTraffic(t *testing.T) {
	c := qt.New(t)
	metrics := newTestMetrics(c)
	traffic := metrics.Traffic("Valtellina", "order")
	c.Assert(metrics.Traffic("Valtellina", "order"), qt.Equals, traffic)
	traffic.Answered(3 * time.Millisecond)
	traffic.Answered(40 * time.Second)
	traffic.NotRun()
	traffic.Unknown()
	metrics.Traffic("Anáhuac", "feed").FlowOpened()
	scraped := scrape(c, metrics)
	labels := `Customer="Valtellina",Class="order",Instance="morbegno-1",Domain="morbegno"`
	assertMetric(c, scraped, "azureshift_requests_total", labels+`,Outcome="Answered"`, "2")
	assertMetric(c, scraped, "azureshift_requests_total", labels+`,Outcome="NotRun"`, "1")
	assertMetric(c, scraped, "azureshift_requests_total", labels+`,Outcome="Unknown"`, "1")
	assertMetric(c, scraped, "azureshift_latency_seconds_bucket", labels+`,le="0.002"`, "0")
	assertMetric(c, scraped, "azureshift_latency_seconds_bucket", labels+`,le="0.004"`, "1")
	assertMetric(c, scraped, "azureshift_latency_seconds_bucket", labels+`,le="65.536"`, "2")
	assertMetric(c, scraped, "azureshift_flows_opened_total", `Customer="Anáhuac",Class="feed"`, "1")
}

func TestPeerObserver(t *testing.T) {
	c := qt.New(t)
	metrics := newTestMetrics(c)
	observer := metrics.PeerObserver()
	observer.Sent(peer.KindForward, 300)
	observer.Sent(peer.KindForward+1, 70)
	observer.Received(peer.KindForward+1, 60)
	observer.Dropped(peer.DropReplayed)
	scraped := scrape(c, metrics)
	assertMetric(c, scraped, "azureshift_forward_out_bytes_total", "", "300")
	assertMetric(c, scraped, "azureshift_control_out_bytes_total", "", "70")
	assertMetric(c, scraped, "azureshift_control_in_bytes_total", "", "60")
	assertMetric(c, scraped, "azureshift_drops_total", `At="Peer",Reason="replayed"`, "1")
}

func TestState(t *testing.T) {
	c := qt.New(t)
	metrics := newTestMetrics(c)
	metrics.State.Members(15, 2, 1)
	metrics.State.BundleVersion(12)
	metrics.State.Flows(300, 4)
	metrics.State.Requests(5, 6)
	metrics.State.Epoch("tirano", 9)
	metrics.Violation("FlowBroken")
	metrics.Violation("FlowBroken")
	scraped := scrape(c, metrics)
	assertMetric(c, scraped, "azureshift_members", `Status="Suspect"`, "2")
	assertMetric(c, scraped, "azureshift_bundle_version", "", "12")
	assertMetric(c, scraped, "azureshift_exceptions", "", "4")
	assertMetric(c, scraped, "azureshift_requests_dispatched", "", "6")
	assertMetric(c, scraped, "azureshift_epoch", `Of="tirano"`, "9")
	assertMetric(c, scraped, "azureshift_violations_total", `Name="FlowBroken"`, "2")
}

// BenchmarkTrafficAnswered measures counting one answered request, with handles that were looked up before.
func BenchmarkTrafficAnswered(b *testing.B) {
	metrics := newTestMetrics(b)
	traffic := metrics.Traffic("Valtellina", "order")
	b.ReportAllocs()
	for b.Loop() {
		traffic.Answered(3 * time.Millisecond)
	}
	qt.Assert(b, metrics.Close(), qt.IsNil)
}
