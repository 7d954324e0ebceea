package daemon

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc/pool"

	"azureshift/core"
	"azureshift/core/health"
)

const (
	_pollInterval       = time.Second
	_pollTimeout        = 800 * time.Millisecond
	_maxParallelPolls   = 8
	_maxHealthPageBytes = 64 << 10
)

// polledTarget is a target whose health page this instance polls.
type polledTarget struct {
	target  health.Target
	address netip.AddrPort
}

// watchTargets replaces the targets to poll.
func (daemon *Daemon) watchTargets(watched []core.WatchedTarget) {
	polled := make([]polledTarget, 0, len(watched))
	for _, target := range watched {
		polled = append(polled, polledTarget{target: target.Target, address: target.Health})
	}
	daemon.polledTargets.Store(&polled)
}

// pollTargets polls the health pages of targets until the context ends.
func (daemon *Daemon) pollTargets(ctx context.Context) {
	client := &http.Client{Timeout: _pollTimeout}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(_pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			daemon.pollOnce(ctx, client)
		}
	}
}

func (daemon *Daemon) pollOnce(ctx context.Context, client *http.Client) {
	polled := daemon.polledTargets.Load()
	if polled == nil {
		return
	}
	workers := pool.New().WithMaxGoroutines(_maxParallelPolls)
	for _, target := range *polled {
		workers.Go(func() {
			reached := daemon.passes(target.address) && healthPageServed(ctx, client, target.address)
			if ctx.Err() == nil {
				checkCompleted := health.CheckCompleted{At: time.Now(), Target: target.target, Succeeded: reached}
				daemon.mailbox.put(core.TargetEvent{Event: checkCompleted})
			}
		})
	}
	workers.Wait()
}

// healthPageServed reports whether the health page was served. The load given there is out of date, so it is ignored.
func healthPageServed(ctx context.Context, client *http.Client, address netip.AddrPort) bool {
	url := "http://" + address.String() + "/health"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, _maxHealthPageBytes))
	return err == nil && response.StatusCode == http.StatusOK
}
