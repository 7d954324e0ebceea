package platform

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"time"
)

// Change is what a watch reports: an entry, or the error of a failed read.
type Change struct {
	Entry Entry
	Err   error
}

// Watch calls handle with the current entry of the key and then after each change, until the context ends. Failures are
// reported too, and are followed by an exponential backoff.
func (client *Client) Watch(ctx context.Context, key string, handle func(Change)) {
	var index Index
	var reported Entry
	var failures int
	first := true
	for ctx.Err() == nil {
		started := time.Now()
		entry, next, err := client.watchOnce(ctx, key, index)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			handle(Change{Err: err})
			client.pause(ctx, failures)
			failures++
			continue
		}
		failures = 0
		// A platform that was restored from a backup may give out an index again.
		if first || entry.Index != reported.Index || !bytes.Equal(entry.Value, reported.Value) {
			handle(Change{Entry: entry})
			first, reported = false, entry
		} else if time.Since(started) < client.config.MinBackoff {
			client.pause(ctx, 0)
		}
		index = nextIndex(index, next)
	}
}

func (client *Client) watchOnce(ctx context.Context, key string, index Index) (Entry, Index, error) {
	call := request{method: http.MethodGet, path: keyPath(key), maxBody: _maxValueBody}
	if index == 0 {
		client.calls.reads.Add(1)
		return client.read(ctx, call, key)
	}
	client.calls.watches.Add(1)
	call.query = url.Values{"index": {index.String()}, "wait": {client.config.WatchWait.String()}}
	call.maxWait = client.config.WatchWait
	return client.read(ctx, call, key)
}

// nextIndex returns the index to watch from next. If the index went back, as after a restore, it is zero to start over.
func nextIndex(index, next Index) Index {
	if next < index {
		return 0
	}
	return next
}

// pause waits for 50 to 100 % of a backoff that doubles with each failure, within the configured bounds.
func (client *Client) pause(ctx context.Context, failures int) {
	backoff := client.config.MinBackoff
	for ; failures > 0 && backoff < client.config.MaxBackoff; failures-- {
		backoff *= 2
	}
	backoff = min(backoff, client.config.MaxBackoff)
	backoff = backoff/2 + time.Duration(client.config.Random()*float64(backoff/2))
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
