package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	_createPath   = "/v1/session/create"
	_renewPath    = "/v1/session/renew/"
	_destroyPath  = "/v1/session/destroy/"
	_invalidLease = "invalid session"
)

// Lease is the ID of a lease, which the platform ends if it is not renewed in time.
type Lease string

// CreateLease creates a lease that lasts for ttl after its creation and after each renewal. Keys that it holds are
// deleted when it ends. If the response is lost, the lease ends by itself, as nothing renews it.
func (client *Client) CreateLease(ctx context.Context, name string, ttl time.Duration) (Lease, error) {
	client.calls.leases.Add(1)
	body, err := json.Marshal(struct {
		Name      string
		TTL       string
		Behavior  string
		LockDelay string
	}{name, ttl.String(), "delete", "0s"})
	if err != nil {
		return "", eris.Wrapf(err, "encode the request for lease %s", name)
	}
	call := request{method: http.MethodPut, path: _createPath, body: body, maxBody: _maxResultBody}
	received, err := client.send(ctx, call)
	if err != nil {
		return "", err
	}
	var created struct{ ID Lease }
	return created.ID, decode(call, received, &created)
}

// RenewLease renews a lease. Its error is a LeaseEndedError if the lease has ended.
func (client *Client) RenewLease(ctx context.Context, lease Lease) error {
	client.calls.leases.Add(1)
	path := _renewPath + url.PathEscape(string(lease))
	received, err := client.send(ctx, request{method: http.MethodPut, path: path, maxBody: _maxResultBody})
	if err == nil && received.status == http.StatusNotFound {
		return &LeaseEndedError{Lease: lease}
	}
	return err
}

// DestroyLease ends a lease.
func (client *Client) DestroyLease(ctx context.Context, lease Lease) error {
	client.calls.leases.Add(1)
	path := _destroyPath + url.PathEscape(string(lease))
	_, err := client.send(ctx, request{method: http.MethodPut, path: path, maxBody: _maxResultBody})
	return err
}

// Acquire writes a key and makes the lease hold it, unless another lease holds it.
func (client *Client) Acquire(ctx context.Context, key string, value []byte, lease Lease) (Outcome, error) {
	outcome, err := client.write(ctx, http.MethodPut, key, value, url.Values{"acquire": {string(lease)}})
	var status *StatusError
	if errors.As(err, &status) && strings.Contains(status.Message, _invalidLease) {
		return OutcomeNotApplied, &LeaseEndedError{Lease: lease}
	}
	return outcome, err
}

// Release writes a key and releases it from the lease, if the lease holds it.
func (client *Client) Release(ctx context.Context, key string, value []byte, lease Lease) (Outcome, error) {
	return client.write(ctx, http.MethodPut, key, value, url.Values{"release": {string(lease)}})
}
