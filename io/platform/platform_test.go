package platform_test

import (
	"bytes"
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

	"azureshift/core/id"
	"azureshift/io/platform"
	standin "azureshift/standin/platform"
)

const _key = "azureshift/Test"

func TestCompareAndSwapDistinguishesConflictFromNoResponse(t *testing.T) {
	c := qt.New(t)
	service := standin.New()
	server := httptest.NewServer(service)
	c.Cleanup(server.Close)
	client, err := platform.New(platform.Config{Address: server.URL, Timeout: time.Second})
	c.Assert(err, qt.IsNil)
	assertSwap(c, client, 0, platform.OutcomeApplied)
	assertSwap(c, client, 0, platform.OutcomeNotApplied)
	index := indexOf(c, client)
	service.SetFaults(standin.Faults{LoseRequests: 1})
	assertSwap(c, client, index, platform.OutcomeUnknown)
	service.SetFaults(standin.Faults{})
	c.Assert(indexOf(c, client), qt.Equals, index)
	service.SetFaults(standin.Faults{LoseAnswers: 1})
	assertSwap(c, client, index, platform.OutcomeUnknown)
	service.SetFaults(standin.Faults{})
	c.Assert(indexOf(c, client) > index, qt.IsTrue)
	c.Assert(service.Calls().Writes, qt.Equals, uint64(4), qt.Commentf("a write was repeated"))
	c.Assert(client.Calls().Writes, qt.Equals, uint64(4))
}

func TestRefusedWriteHasKnownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := connect(c, standin.New(), "")
		outcome, err := client.CompareAndSwap(t.Context(), _key, make([]byte, standin.MaxValueBytes+1), 0)
		var status *platform.StatusError
		c.Assert(errors.As(err, &status), qt.IsTrue)
		c.Assert(status.Status, qt.Equals, http.StatusRequestEntityTooLarge)
		c.Assert(outcome, qt.Equals, platform.OutcomeNotApplied)
	})
}

func TestSlowCallTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		service := standin.New()
		client := connect(c, service, "")
		service.SetFaults(standin.Faults{Delay: time.Minute})
		started := time.Now()
		_, err := client.Get(t.Context(), _key)
		var unreachable *platform.UnreachableError
		c.Assert(errors.As(err, &unreachable), qt.IsTrue)
		c.Assert(time.Since(started), qt.Equals, time.Second)
	})
}

func TestWatchReportsChangesAndSurvivesOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		service := standin.New()
		client := connect(c, service, "tirano")
		ctx, stop := context.WithCancel(t.Context())
		var seen [][]byte
		go client.Watch(ctx, _key, func(change platform.Change) {
			if change.Err == nil {
				seen = append(seen, change.Entry.Value)
			}
		})
		synctest.Wait()
		writer := connect(c, service, "morbegno")
		c.Assert(writer.Put(ctx, _key, []byte("1")), qt.IsNil)
		synctest.Wait()
		service.SetFaults(standin.Faults{Cut: []string{"tirano"}})
		c.Assert(writer.Put(ctx, _key, []byte("2")), qt.IsNil)
		before := service.Calls().ByDomain["tirano"]
		time.Sleep(10 * time.Minute)
		attempts := service.Calls().ByDomain["tirano"] - before
		c.Assert(attempts <= 4*10*60/5, qt.IsTrue, qt.Commentf("%d attempts in 10 minutes", attempts))
		c.Assert(attempts >= 10*60/5, qt.IsTrue, qt.Commentf("%d attempts in 10 minutes", attempts))
		service.SetFaults(standin.Faults{})
		time.Sleep(5 * time.Second)
		stop()
		synctest.Wait()
		c.Assert(string(bytes.Join(seen, []byte(","))), qt.Equals, ",1,2")
	})
}

func TestWatchReportsAChangeUnderAReusedIndex(t *testing.T) {
	c := qt.New(t)
	values := []string{"MQ==", "Mg==", "Mg=="}
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		value := values[min(calls, len(values)-1)]
		calls++
		writer.Header().Set("X-Consul-Index", "7")
		_, err := fmt.Fprintf(writer, `[{"Key":%q,"Value":%q,"ModifyIndex":7}]`, _key, value)
		c.Check(err, qt.IsNil)
	}))
	c.Cleanup(server.Close)
	client, err := platform.New(platform.Config{Address: server.URL, MinBackoff: time.Millisecond})
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(t.Context())
	var seen [][]byte
	client.Watch(ctx, _key, func(change platform.Change) {
		c.Check(change.Err, qt.IsNil)
		if seen = append(seen, change.Entry.Value); len(seen) == 2 {
			stop()
		}
	})
	c.Assert(string(bytes.Join(seen, []byte(","))), qt.Equals, "1,2")
}

func TestIdleWatchMakesOneCallPerWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		service := standin.New()
		client := connect(c, service, "")
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Minute)
		defer stop()
		c.Assert(client.Put(ctx, _key, nil), qt.IsNil)
		client.Watch(ctx, _key, func(platform.Change) {})
		c.Assert(service.Calls().Watches <= 21, qt.IsTrue, qt.Commentf("%d", service.Calls().Watches))
	})
}

func TestInstanceListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := connect(c, standin.NewWithConfig(standin.Config{Lag: 3 * time.Second}), "")
		instance := platform.Instance{
			Member: id.Member{Instance: "tirano-1", Incarnation: 1 << 60}, Domain: "tirano",
			Peer: netip.MustParseAddrPort("192.0.2.1:7000"), Operator: netip.MustParseAddrPort("192.0.2.1:7001"),
		}
		c.Assert(client.Register(t.Context(), instance), qt.IsNil)
		assertListed(c, client)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assertListed(c, client, instance)
		c.Assert(client.MarkLeaving(t.Context(), "tirano-1"), qt.IsNil)
		time.Sleep(4 * time.Second)
		instance.Leaving = true
		assertListed(c, client, instance)
		c.Assert(client.Deregister(t.Context(), "tirano-1"), qt.IsNil)
		time.Sleep(4 * time.Second)
		assertListed(c, client)
	})
}

func TestLeaseEndsUnlessRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := connect(c, standin.New(), "")
		leaseID, err := client.CreateLease(t.Context(), "holder", 10*time.Second)
		c.Assert(err, qt.IsNil)
		outcome, err := client.Acquire(t.Context(), _key, nil, leaseID)
		c.Assert(err, qt.IsNil)
		c.Assert(outcome, qt.Equals, platform.OutcomeApplied)
		time.Sleep(9 * time.Second)
		c.Assert(client.RenewLease(t.Context(), leaseID), qt.IsNil)
		time.Sleep(9 * time.Second)
		c.Assert(indexOf(c, client) > 0, qt.IsTrue)
		time.Sleep(2 * time.Second)
		var ended *platform.LeaseEndedError
		c.Assert(errors.As(client.RenewLease(t.Context(), leaseID), &ended), qt.IsTrue)
		_, err = client.Acquire(t.Context(), _key, nil, leaseID)
		c.Assert(errors.As(err, &ended), qt.IsTrue)
		c.Assert(indexOf(c, client), qt.Equals, platform.Index(0))
	})
}

func TestFaultsAreSetOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		service := standin.New()
		body := bytes.NewReader([]byte(`{"Down": true}`))
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://platform/standin/faults", body)
		c.Assert(err, qt.IsNil)
		_, err = service.RoundTrip(request)
		c.Assert(err, qt.IsNil)
		_, err = connect(c, service, "").Get(t.Context(), _key)
		c.Assert(err, qt.ErrorMatches, "(?s).*no response from the platform.*")
	})
}

func connect(c *qt.C, service *standin.Platform, domain id.Domain) *platform.Client {
	client, err := platform.New(platform.Config{
		Address: "http://platform", Domain: domain, Timeout: time.Second, Transport: service,
	})
	c.Assert(err, qt.IsNil)
	return client
}

func assertSwap(c *qt.C, client *platform.Client, expected platform.Index, want platform.Outcome) {
	c.Helper()
	outcome, err := client.CompareAndSwap(c.Context(), _key, []byte("value"), expected)
	c.Assert(outcome, qt.Equals, want)
	c.Assert(err != nil, qt.Equals, want == platform.OutcomeUnknown, qt.Commentf("%v", err))
}

func indexOf(c *qt.C, client *platform.Client) platform.Index {
	c.Helper()
	entry, err := client.Get(c.Context(), _key)
	c.Assert(err, qt.IsNil)
	return entry.Index
}

func assertListed(c *qt.C, client *platform.Client, want ...platform.Instance) {
	c.Helper()
	listed, err := client.Instances(c.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(len(listed), qt.Equals, len(want))
	for index := range want {
		c.Assert(listed[index], qt.Equals, want[index])
	}
}
