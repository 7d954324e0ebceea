package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"
)

const _keyPath = "/v1/kv/"

// Index numbers the changes of the key-value service. The index of an entry is that of its last change.
type Index uint64

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Index is zero when the key is absent.
	Index Index
	// Lease is the lease that holds the key, or empty.
	Lease LeaseID
}

// Outcome is the result of a conditional write.
type Outcome int

const (
	// OutcomeApplied means that the write took effect.
	OutcomeApplied Outcome = iota + 1
	// OutcomeNotApplied means that the write took no effect: the entry had changed, or the platform rejected the call.
	OutcomeNotApplied
	// OutcomeUnknown means that no usable response came. The write may have taken effect, or may yet do so.
	OutcomeUnknown
)

// Get reads a key. For an absent key it returns an entry with index zero.
func (client *Client) Get(ctx context.Context, key string) (Entry, error) {
	client.calls.reads.Add(1)
	entry, _, err := client.read(ctx, request{method: http.MethodGet, path: keyPath(key), maxBody: _maxValueBody}, key)
	return entry, err
}

// Keys returns the keys that begin with prefix.
func (client *Client) Keys(ctx context.Context, prefix string) ([]string, error) {
	client.calls.reads.Add(1)
	call := request{method: http.MethodGet, path: keyPath(prefix), maxBody: _maxPartsBody, query: url.Values{"keys": {""}}}
	received, err := client.send(ctx, call)
	if err != nil || received.status == http.StatusNotFound {
		return nil, err
	}
	var keys []string
	return keys, decode(call, received, &keys)
}

// List returns the entries whose keys begin with prefix, read in one call.
func (client *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	client.calls.reads.Add(1)
	query := url.Values{"recurse": {""}}
	call := request{method: http.MethodGet, path: keyPath(prefix), maxBody: _maxPartsBody, query: query}
	received, err := client.send(ctx, call)
	if err != nil || received.status == http.StatusNotFound {
		return nil, err
	}
	var found []storedEntry
	if err := decode(call, received, &found); err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(found))
	for _, stored := range found {
		entries = append(entries, stored.entry())
	}
	return entries, nil
}

// Put writes a key unconditionally.
func (client *Client) Put(ctx context.Context, key string, value []byte) error {
	outcome, err := client.write(ctx, http.MethodPut, key, value, nil)
	if outcome == OutcomeNotApplied && err == nil {
		return eris.Errorf("the platform did not write %s; try again", key)
	}
	return err
}

// CompareAndSwap writes a key if its index is still the expected one; zero expects an absent key. The error is nil if
// the outcome is known, except for a call that the platform rejects: that is an OutcomeNotApplied with a StatusError.
func (client *Client) CompareAndSwap(ctx context.Context, key string, value []byte, expected Index) (Outcome, error) {
	return client.write(ctx, http.MethodPut, key, value, url.Values{"cas": {expected.String()}})
}

// Delete removes a key if its index is still the expected one.
func (client *Client) Delete(ctx context.Context, key string, expected Index) (Outcome, error) {
	return client.write(ctx, http.MethodDelete, key, nil, url.Values{"cas": {expected.String()}})
}

func (client *Client) write(ctx context.Context, method, key string, value []byte, query url.Values) (Outcome, error) {
	client.calls.writes.Add(1)
	call := request{method: method, path: keyPath(key), query: query, body: value, maxBody: _maxResultBody}
	received, err := client.send(ctx, call)
	var status *StatusError
	switch {
	case errors.As(err, &status) && status.Refused():
		return OutcomeNotApplied, err
	case err != nil:
		return OutcomeUnknown, err
	}
	var applied bool
	if err := decode(call, received, &applied); err != nil {
		return OutcomeUnknown, err
	}
	if applied {
		return OutcomeApplied, nil
	}
	return OutcomeNotApplied, nil
}

// read sends a call for one key and returns the entry and the index to watch from.
func (client *Client) read(ctx context.Context, call request, key string) (Entry, Index, error) {
	received, err := client.send(ctx, call)
	if err != nil {
		return Entry{}, 0, err
	}
	index, _ := strconv.ParseUint(received.header.Get("X-Consul-Index"), 10, 64)
	if received.status == http.StatusNotFound {
		return Entry{Key: key}, Index(index), nil
	}
	var found []storedEntry
	if err := decode(call, received, &found); err != nil {
		return Entry{}, 0, err
	}
	if len(found) != 1 {
		return Entry{}, 0, &ResponseError{Path: call.path, Cause: eris.Errorf("expected one entry, got %d", len(found))}
	}
	return found[0].entry(), Index(index), nil
}

// storedEntry is an entry as the platform encodes it.
type storedEntry struct {
	Key         string
	Value       []byte
	Session     LeaseID
	ModifyIndex Index
}

func (stored storedEntry) entry() Entry {
	return Entry{Key: stored.Key, Value: stored.Value, Index: stored.ModifyIndex, Lease: stored.Session}
}

// String returns the index in decimal.
func (index Index) String() string {
	return strconv.FormatUint(uint64(index), 10)
}

func decode(call request, received response, result any) error {
	if err := json.Unmarshal(received.body, result); err != nil {
		return &ResponseError{Path: call.path, Cause: err}
	}
	return nil
}

func keyPath(key string) string {
	return _keyPath + (&url.URL{Path: key}).EscapedPath()
}
