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

// The platform calls a lease a session.
const (
	_createPath  = "/v1/session/create"
	_renewPath   = "/v1/session/renew/"
	_destroyPath = "/v1/session/destroy/"
	// _invalidLease is part of the platform's error text for a lease that has ended.
	_invalidLease = "invalid session"
)

// LeaseID is the ID of a lease, which the platform ends if it is not renewed in time.
type LeaseID string

// CreateLease creates a lease that lasts for ttl after its creation and after each renewal. When the lease
// ends, the platform deletes the keys acquired with it. If CreateLease fails after the platform created the lease, the
// lease expires after ttl.
func (client *Client) CreateLease(ctx context.Context, name string, ttl time.Duration) (LeaseID, error) {
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
	var created struct{ ID LeaseID }
	return created.ID, decode(call, received, &created)
}

// RenewLease renews a lease. Its error is a LeaseEndedError if the lease has ended.
func (client *Client) RenewLease(ctx context.Context, leaseID LeaseID) error {
	client.calls.leases.Add(1)
	path := _renewPath + url.PathEscape(string(leaseID))
	received, err := client.send(ctx, request{method: http.MethodPut, path: path, maxBody: _maxResultBody})
	if err == nil && received.status == http.StatusNotFound {
		return &LeaseEndedError{Lease: leaseID}
	}
	return err
}

// EndLease ends a lease, so that the platform deletes the keys acquired with it.
func (client *Client) EndLease(ctx context.Context, leaseID LeaseID) error {
	client.calls.leases.Add(1)
	path := _destroyPath + url.PathEscape(string(leaseID))
	_, err := client.send(ctx, request{method: http.MethodPut, path: path, maxBody: _maxResultBody})
	return err
}

// Acquire writes a key and assigns it to the lease. If another lease holds the key, it does nothing. Its error is a
// LeaseEndedError if the lease has ended.
func (client *Client) Acquire(ctx context.Context, key string, value []byte, leaseID LeaseID) (Outcome, error) {
	outcome, err := client.write(ctx, http.MethodPut, key, value, url.Values{"acquire": {string(leaseID)}})
	var status *StatusError
	if errors.As(err, &status) && strings.Contains(status.Message, _invalidLease) {
		return OutcomeNotApplied, &LeaseEndedError{Lease: leaseID}
	}
	return outcome, err
}

// Release writes the key and releases it, if the lease holds the key. Otherwise it does nothing.
func (client *Client) Release(ctx context.Context, key string, value []byte, leaseID LeaseID) (Outcome, error) {
	return client.write(ctx, http.MethodPut, key, value, url.Values{"release": {string(leaseID)}})
}
