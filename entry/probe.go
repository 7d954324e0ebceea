package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"azureshift/core/detector"
	core "azureshift/core/entry"
	"azureshift/event"
	"azureshift/platform"
)

const (
	// _connectTimeout is the timeout for connecting to a backend server. A round trip takes a few milliseconds. TCP
	// retransmits a lost packet only after seconds, so a second probe covers that case.
	_connectTimeout = 150 * time.Millisecond
	// _answerTimeout is the timeout for the answer of a backend server that has accepted the connection.
	_answerTimeout = 300 * time.Millisecond
	// _maxTimerDelay is how late the connect timeout may fire for the server to count as silent. Beyond it this instance
	// was itself delayed, and the probe is inconclusive.
	_maxTimerDelay = 75 * time.Millisecond
)

// probe checks whether a backend server is alive, and logs and returns the finding.
func (daemon *Daemon) probe(ctx context.Context, effect core.Probe) core.Event {
	began := daemon.clock.now()
	probeResult, err := daemon.runProbe(ctx, effect)
	fields := event.Fields{
		"Server": effect.Server, "Finding": probeResult.String(), "TookMs": (daemon.clock.now() - began).Milliseconds(),
	}
	daemon.metrics.probes.Inc(1)
	if err != nil {
		daemon.log.LogError(event.ServerProbed, err, fields)
	} else {
		daemon.log.Log(event.ServerProbed, fields)
	}
	return core.Probed{At: daemon.clock.now(), Server: effect.Server, Result: probeResult}
}

// runProbe connects to a backend server and reads from its health page which server answers.
func (daemon *Daemon) runProbe(ctx context.Context, effect core.Probe) (detector.ProbeResult, error) {
	began := time.Now()
	dialer := net.Dialer{Timeout: _connectTimeout}
	connection, err := dialer.DialContext(ctx, "tcp4", effect.Address.String())
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return detector.ProbeRefused, err
	case err != nil && time.Since(began) > _connectTimeout+_maxTimerDelay:
		return detector.ProbeInconclusive, err
	case err != nil:
		return detector.ProbeTimedOut, err
	}
	defer func() { _ = connection.Close() }()
	ctx, cancel := context.WithTimeout(ctx, _answerTimeout)
	defer cancel()
	transport := &http.Transport{
		DialContext:       func(context.Context, string, string) (net.Conn, error) { return connection, nil },
		DisableKeepAlives: true,
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+effect.Address.String()+effect.Path, nil)
	if err != nil {
		return detector.ProbeConnected, err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return detector.ProbeConnected, err
	}
	_ = response.Body.Close()
	switch platform.ServerID(response) {
	case "":
		return detector.ProbeConnected, nil
	case effect.Server:
		return detector.ProbeAnswered, nil
	default:
		return detector.ProbeOtherServer, nil
	}
}
