package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"azureshift/core/id"
)

const (
	_serviceName      = "azureshift"
	_healthPath       = "/v1/health/service/"
	_registerPath     = "/v1/agent/service/register"
	_deregisterPath   = "/v1/agent/service/deregister/"
	_maintenancePath  = "/v1/agent/service/maintenance/"
	_maintenanceCheck = "_service_maintenance"
	_criticalStatus   = "critical"
)

// Instance is one entry instance on the platform's list, which lags behind registrations.
type Instance struct {
	Member id.Member
	Domain id.Domain
	// Peer is the address for messages of other instances.
	Peer netip.AddrPort
	// Operator is the address of the instance's endpoint for operators.
	Operator netip.AddrPort
	// Leaving is true if the instance has announced a planned stop.
	Leaving bool
}

// serviceMeta is the metadata that the platform stores for an instance besides its name and address.
type serviceMeta struct {
	Domain      id.Domain
	Incarnation string
	Operator    string
}

// Instances returns the live and leaving instances, sorted by name. List entries that cannot be decoded are left out.
func (client *Client) Instances(ctx context.Context) ([]Instance, error) {
	client.calls.reads.Add(1)
	call := request{method: http.MethodGet, path: _healthPath + _serviceName, maxBody: _maxListBody}
	received, err := client.send(ctx, call)
	if err != nil {
		return nil, err
	}
	var listed []json.RawMessage
	if err := decode(call, received, &listed); err != nil {
		return nil, err
	}
	instances := make([]Instance, 0, len(listed))
	for _, entry := range listed {
		if instance, ok := parseInstance(entry); ok {
			instances = append(instances, instance)
		}
	}
	slices.SortFunc(instances, func(left, right Instance) int {
		return strings.Compare(string(left.Member.Instance), string(right.Member.Instance))
	})
	return instances, nil
}

// Register adds an instance to the list, or updates its entry.
func (client *Client) Register(ctx context.Context, instance Instance) error {
	body, err := json.Marshal(struct {
		ID      id.Instance
		Name    string
		Address string
		Port    uint16
		Meta    serviceMeta
	}{
		instance.Member.Instance, _serviceName, instance.Peer.Addr().String(), instance.Peer.Port(),
		serviceMeta{
			Domain:      instance.Domain,
			Incarnation: strconv.FormatUint(uint64(instance.Member.Incarnation), 10),
			Operator:    instance.Operator.String(),
		},
	})
	if err != nil {
		return eris.Wrapf(err, "encode the registration of instance %s", instance.Member.Instance)
	}
	return client.callAgent(ctx, _registerPath, nil, body)
}

// MarkLeaving marks an instance as leaving.
func (client *Client) MarkLeaving(ctx context.Context, instance id.Instance) error {
	path := _maintenancePath + url.PathEscape(string(instance))
	return client.callAgent(ctx, path, url.Values{"enable": {"true"}, "reason": {"leaving"}}, nil)
}

// Deregister removes an instance from the list.
func (client *Client) Deregister(ctx context.Context, instance id.Instance) error {
	return client.callAgent(ctx, _deregisterPath+url.PathEscape(string(instance)), nil, nil)
}

func (client *Client) callAgent(ctx context.Context, path string, query url.Values, body []byte) error {
	client.calls.writes.Add(1)
	_, err := client.send(ctx, request{
		method: http.MethodPut, path: path, query: query, body: body, maxBody: _maxResultBody,
	})
	return err
}

type listEntry struct {
	Service struct {
		ID      id.Instance
		Address string
		Port    uint16
		Meta    serviceMeta
	}
	Checks []struct {
		CheckID string
		Status  string
	}
}

func parseInstance(raw []byte) (Instance, bool) {
	var listed listEntry
	if err := json.Unmarshal(raw, &listed); err != nil {
		return Instance{}, false
	}
	service := listed.Service
	incarnation, errIncarnation := strconv.ParseUint(service.Meta.Incarnation, 10, 64)
	peer, errPeer := netip.ParseAddr(service.Address)
	operator, errOperator := netip.ParseAddrPort(service.Meta.Operator)
	if errIncarnation != nil || errPeer != nil || errOperator != nil || service.ID == "" ||
		service.Port == 0 || peer.IsUnspecified() || peer.IsMulticast() {
		return Instance{}, false
	}
	instance := Instance{
		Member:   id.Member{Instance: service.ID, Incarnation: id.Incarnation(incarnation)},
		Domain:   service.Meta.Domain,
		Peer:     netip.AddrPortFrom(peer, service.Port),
		Operator: operator,
	}
	for _, check := range listed.Checks {
		if strings.HasPrefix(check.CheckID, _maintenanceCheck) && check.Status == _criticalStatus {
			instance.Leaving = true
		}
	}
	return instance, true
}
