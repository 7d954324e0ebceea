package roll

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"azureshift/core/id"
	"azureshift/io/platform"
)

const (
	_statusPath         = "/status"
	_maxStatusSize      = 64 << 10
	_statusTimeout      = time.Second
	_maxStatusRequests  = 32
	_statusPollInterval = 250 * time.Millisecond
)

// Status is the part of an instance's status document that this package reads.
type Status struct {
	// Version is the bundle version that the instance uses, zero if it has none.
	Version id.Version `json:"Version"`
}

// Lister lists the registered instances.
type Lister interface {
	Instances(ctx context.Context) ([]platform.Instance, error)
}

// HeldVersion is the bundle version that an instance holds.
type HeldVersion struct {
	Instance platform.Instance
	Version  id.Version
	// Err is the reason why the version is unknown.
	Err error
}

// Await polls the listed instances, except those that are leaving, until all hold at least the given version, and
// returns how many do. If the context ends first, it returns an IncompleteRollError.
func Await(ctx context.Context, lister Lister, transport http.RoundTripper, version id.Version) (int, error) {
	listed, err := lister.Instances(ctx)
	if err != nil {
		return 0, err
	}
	held := make([]HeldVersion, 0, len(listed))
	for _, instance := range listed {
		if !instance.Leaving {
			held = append(held, HeldVersion{Instance: instance})
		}
	}
	client := &http.Client{Transport: transport, Timeout: _statusTimeout}
	missing := pollMissing(ctx, client, held, version)
	for len(missing) > 0 && ctx.Err() == nil {
		sleep(ctx, _statusPollInterval)
		missing = pollMissing(ctx, client, held, version)
	}
	if len(missing) > 0 {
		return len(held) - len(missing), &IncompleteRollError{Version: version, Instances: len(held), Missing: missing}
	}
	return len(held), nil
}

// pollMissing queries the instances that do not hold the wanted version yet, and returns those that still do not.
func pollMissing(ctx context.Context, client *http.Client, held []HeldVersion, want id.Version) []HeldVersion {
	requests := pool.New().WithMaxGoroutines(_maxStatusRequests)
	for index := range held {
		if held[index].Version < want {
			requests.Go(func() { held[index].fetchVersion(ctx, client) })
		}
	}
	requests.Wait()
	return slices.DeleteFunc(slices.Clone(held), func(heldVersion HeldVersion) bool { return heldVersion.Version >= want })
}

// fetchVersion queries the instance's status. It ignores errors caused by the end of the context, to keep the last
// known result.
func (heldVersion *HeldVersion) fetchVersion(ctx context.Context, client *http.Client) {
	status, err := readStatus(ctx, client, heldVersion.Instance)
	if ctx.Err() != nil && err != nil {
		return
	}
	heldVersion.Version, heldVersion.Err = status.Version, err
}

func readStatus(ctx context.Context, client *http.Client, instance platform.Instance) (Status, error) {
	address := fmt.Sprintf("http://%s%s", instance.Operator, _statusPath)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return Status{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return Status{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Status{}, &platform.StatusError{Status: response.StatusCode, Message: address}
	}
	var status Status
	err = json.NewDecoder(io.LimitReader(response.Body, _maxStatusSize)).Decode(&status)
	return status, err
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
