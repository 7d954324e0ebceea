package roll_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/bundle"
	"azureshift/bundle/roll"
	"azureshift/core/id"
	"azureshift/io/platform"
	standin "azureshift/standin/platform"
)

func TestRollWritesOnlyChangedPartsAndDeletesOldOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := connect(c, standin.New())
		roller := roll.New(roll.Config{Store: client, RetainedVersions: 3})
		key := newKey(c)
		for version := id.Version(1); version <= 8; version++ {
			report, err := roller.Roll(t.Context(), sign(c, key, version, int(version)), version-1)
			c.Assert(err, qt.IsNil)
			c.Assert(report.CleanupErr, qt.IsNil)
			c.Assert(report.PartsWritten == 1 || version == 1, qt.IsTrue, qt.Commentf("%d parts", report.PartsWritten))
		}
		parts, err := client.Keys(t.Context(), "azureshift/Parts/")
		c.Assert(err, qt.IsNil)
		c.Assert(parts, qt.HasLen, 4)
		for version := id.Version(6); version <= 8; version++ {
			head, err := roller.FindHead(t.Context(), version)
			c.Assert(err, qt.IsNil)
			loaded, err := roller.LoadBundle(t.Context(), head)
			c.Assert(err, qt.IsNil)
			c.Assert(loaded.Services[0].Targets[0].Slots, qt.Equals, int(version))
		}
		_, err = roller.FindHead(t.Context(), 5)
		var notKept *roll.VersionNotStoredError
		c.Assert(errors.As(err, &notKept), qt.IsTrue, qt.Commentf("%v", err))
	})
}

func TestConflictErrorNamesTheWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		roller := roll.New(roll.Config{Store: connect(c, standin.New())})
		key := newKey(c)
		winner := sign(c, key, 1, 1)
		_, err := roller.Roll(t.Context(), winner, 0)
		c.Assert(err, qt.IsNil)
		_, err = roller.Roll(t.Context(), sign(c, key, 2, 2), 0)
		var conflict *roll.ConflictError
		c.Assert(errors.As(err, &conflict), qt.IsTrue)
		c.Assert(conflict.Winner.RollID, qt.Equals, winner.Head.RollID)
		c.Assert(err, qt.ErrorMatches, ".*"+string(key.ID())+" at 2027-.*above 1")
		_, err = roller.Roll(t.Context(), sign(c, key, 1, 2), 1)
		var stale *roll.StaleVersionError
		c.Assert(errors.As(err, &stale), qt.IsTrue)
		report, err := roller.Roll(t.Context(), winner, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(report.AlreadyRolled, qt.IsTrue)
	})
}

func TestManyPartsAreReadInOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := connect(c, standin.New())
		hashes := make([]bundle.Hash, 0, 2*roll.BulkReadThreshold)
		for index := range 2 * roll.BulkReadThreshold {
			raw := []byte{byte(index)}
			hashes = append(hashes, bundle.HashOf(raw))
			c.Assert(client.Put(t.Context(), roll.PartKey(bundle.HashOf(raw)), raw), qt.IsNil)
		}
		for _, wanted := range [][]bundle.Hash{hashes, hashes[:3]} {
			before := client.Calls().Reads
			parts, err := roll.FetchParts(t.Context(), client, wanted)
			c.Assert(err, qt.IsNil)
			for _, hash := range wanted {
				c.Assert(bundle.HashOf(parts[hash]), qt.Equals, hash)
			}
			c.Assert(client.Calls().Reads-before <= 3, qt.IsTrue)
		}
	})
}

// lostAnswerStore loses the answer to a successful swap, after another roll has superseded it.
type lostAnswerStore struct {
	*platform.Client
	afterSwap func()
}

func (store *lostAnswerStore) CompareAndSwap(
	ctx context.Context, key string, value []byte, expected platform.Index,
) (platform.Outcome, error) {
	_, err := store.Client.CompareAndSwap(ctx, key, value, expected)
	if err != nil {
		return platform.OutcomeUnknown, err
	}
	store.afterSwap()
	return platform.OutcomeUnknown, &platform.UnreachableError{Cause: context.DeadlineExceeded}
}

func TestLostAnswerOfSupersededWinnerIsSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client, key := connect(c, standin.New()), newKey(c)
		other := roll.New(roll.Config{Store: client})
		store := &lostAnswerStore{Client: client, afterSwap: func() {
			_, err := other.Roll(t.Context(), sign(c, key, 2, 2), 1)
			c.Assert(err, qt.IsNil)
		}}
		_, err := roll.New(roll.Config{Store: store}).Roll(t.Context(), sign(c, key, 1, 1), 0)
		c.Assert(err, qt.IsNil)
	})
}

// interceptedStore runs a function before the first deletion or the first listing of keys.
type interceptedStore struct {
	*platform.Client
	beforeDelete func()
	beforeList   func()
}

func (store *interceptedStore) Keys(ctx context.Context, prefix string) ([]string, error) {
	if before := store.beforeList; before != nil {
		store.beforeList = nil
		before()
	}
	return store.Client.Keys(ctx, prefix)
}

func (store *interceptedStore) Delete(
	ctx context.Context, key string, expected platform.Index,
) (platform.Outcome, error) {
	if before := store.beforeDelete; before != nil {
		store.beforeDelete = nil
		before()
	}
	return store.Client.Delete(ctx, key, expected)
}

func TestCleanupKeepsPartsOfConcurrentRoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		c.Assert(loadAfterConcurrentCleanup(c, roll.DisabledProtections{}), qt.IsNil)
		c.Assert(loadAfterConcurrentCleanup(c, roll.DisabledProtections{DeleteByIndex: true}),
			qt.ErrorMatches, ".*is missing.*")
	})
}

func TestCleanupAfterNewerRollsRemovedOwnRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client, key := connect(c, standin.New()), newKey(c)
		other := roll.New(roll.Config{Store: client, RetainedVersions: 1})
		store := &interceptedStore{Client: client, beforeList: func() {
			for version := id.Version(2); version <= 4; version++ {
				_, err := other.Roll(t.Context(), sign(c, key, version, int(version)), version-1)
				c.Assert(err, qt.IsNil)
			}
		}}
		report, err := roll.New(roll.Config{Store: store}).Roll(t.Context(), sign(c, key, 1, 1), 0)
		c.Assert(err, qt.IsNil)
		c.Assert(report.CleanupErr, qt.IsNil)
		head, err := other.CurrentHead(t.Context())
		c.Assert(err, qt.IsNil)
		_, err = other.LoadBundle(t.Context(), head)
		c.Assert(err, qt.IsNil)
	})
}

// loadAfterConcurrentCleanup rolls version 4, with the content of version 1, while the roll of version 3 deletes the
// parts of version 1. It returns the error of loading version 4.
func loadAfterConcurrentCleanup(c *qt.C, disabledProtections roll.DisabledProtections) error {
	client, key := connect(c, standin.New()), newKey(c)
	other := roll.New(roll.Config{Store: client, RetainedVersions: 2})
	store := &interceptedStore{Client: client, beforeDelete: func() {
		_, err := other.Roll(c.Context(), sign(c, key, 4, 1), 3)
		c.Assert(err, qt.IsNil)
	}}
	roller := roll.New(roll.Config{Store: store, RetainedVersions: 2, Disabled: disabledProtections})
	for version := id.Version(1); version <= 3; version++ {
		_, err := roller.Roll(c.Context(), sign(c, key, version, int(version)), version-1)
		c.Assert(err, qt.IsNil)
	}
	head, err := roller.CurrentHead(c.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(head.Version, qt.Equals, id.Version(4))
	_, err = roller.LoadBundle(c.Context(), head)
	return err
}

func TestAwaitNamesInstancesWithoutTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := connect(c, standin.New())
		for index := range 3 {
			address := netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), uint16(7000+index))
			c.Assert(client.Register(t.Context(), platform.Instance{
				Member: id.Member{Instance: id.Instance(fmt.Sprintf("tirano-%d", index))}, Peer: address, Operator: address,
			}), qt.IsNil)
		}
		started := time.Now()
		transport := transportFunc(func(request *http.Request) *http.Response {
			recorder := httptest.NewRecorder()
			version := 4
			if request.URL.Port() != "7001" && time.Since(started) > 2*time.Second {
				version = 5
			}
			_, _ = fmt.Fprintf(recorder, `{"Version": %d, "Uptime": "3s"}`, version)
			return recorder.Result()
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		count, err := roll.Await(ctx, client, transport, 5)
		c.Assert(count, qt.Equals, 2)
		c.Assert(err, qt.ErrorMatches, "(?s)1 of 3 .*tirano-1 at 192.0.2.1:7001 holds version 4")
		c.Assert(time.Since(started) >= 10*time.Second, qt.IsTrue)
	})
}

type transportFunc func(request *http.Request) *http.Response

func (transport transportFunc) RoundTrip(request *http.Request) (*http.Response, error) {
	return transport(request), nil
}

func connect(c *qt.C, service *standin.Platform) *platform.Client {
	client, err := platform.New(platform.Config{Address: "http://platform", Timeout: time.Second, Transport: service})
	c.Assert(err, qt.IsNil)
	return client
}

func newKey(c *qt.C) bundle.SigningKey {
	key, err := bundle.NewSigningKey()
	c.Assert(err, qt.IsNil)
	return key
}

// sign returns a signed bundle of two services; the first has the given number of slots.
func sign(c *qt.C, key bundle.SigningKey, version id.Version, slots int) bundle.Signed {
	described := bundle.Bundle{Version: version}
	for index, name := range []string{"chiosco", "stampa"} {
		target := bundle.Target{Name: id.Target(name + "-0"), Domain: "tirano", Slots: 1}
		target.Address = netip.AddrPortFrom(netip.MustParseAddr("192.0.2.2"), uint16(5000+index))
		described.Services = append(described.Services, bundle.Service{
			Name: id.Service(name), Customer: "Valtellina", Targets: []bundle.Target{target},
			Address: netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), uint16(5000+index)),
		})
	}
	described.Services[0].Targets[0].Slots = slots
	described = described.WithDefaults()
	c.Assert(described.Validate(), qt.IsNil)
	signed, err := key.Sign(described, time.Unix(1_800_000_000, 0))
	c.Assert(err, qt.IsNil)
	return signed
}
