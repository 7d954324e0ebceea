package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"azureshift/core/id"
)

// serve makes an instance answer exchanges until the test ends. It answers the note "fail" with an error, "wait" once
// the context ends, "silence" without a message, and any other message by echoing it.
func serve(c *qt.C, testInstance *testInstance) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() {
		c.Check(testInstance.Serve(ctx, func(ctx context.Context, _ id.Member, message any) (any, error) {
			switch sent, _ := message.(note); sent.Text {
			case "fail":
				return nil, eris.New("no such record")
			case "wait":
				<-ctx.Done()
				return nil, ctx.Err()
			case "silence":
				return nil, nil
			default:
				return message, nil
			}
		}), qt.IsNil)
	})
	c.Cleanup(func() {
		cancel()
		group.Wait()
	})
}

func TestExchange(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	client, server := listen(c, "client", nil), listen(c, "server", nil)
	serve(c, server)
	c.Run("answer", func(c *qt.C) {
		sent := note{Text: "x", Bytes: bytes.Repeat([]byte{1}, MaxExchangeBody-100)}
		answer, err := client.Exchange(ctx, server.Address(), sent)
		c.Assert(err, qt.IsNil)
		c.Assert(answer.(note).Bytes, qt.HasLen, len(sent.Bytes))
	})
	c.Run("answer without a message", func(c *qt.C) {
		answer, err := client.Exchange(ctx, server.Address(), note{Text: "silence"})
		c.Assert(err, qt.IsNil)
		c.Assert(answer, qt.IsNil)
	})
	c.Run("concurrent", func(c *qt.C) {
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() {
				_, err := client.Exchange(ctx, server.Address(), note{Text: "x"})
				c.Check(err, qt.IsNil)
			})
		}
		group.Wait()
	})
	c.Run("too large", func(c *qt.C) {
		_, err := client.Exchange(ctx, server.Address(), note{Bytes: make([]byte, MaxExchangeBody)})
		c.Assert(err, qt.ErrorAs, new(TooLargeError))
	})
}

func TestExchangeWithoutAnswer(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	client, server := listen(c, "client", nil), listen(c, "server", nil)
	serve(c, server)
	c.Run("deadline", func(c *qt.C) {
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := client.Exchange(short, server.Address(), note{Text: "wait"})
		assertUnanswered(c, err, false)
		c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	})
	c.Run("failed handler", func(c *qt.C) {
		_, err := client.Exchange(ctx, server.Address(), note{Text: "fail"})
		assertRefused(c, err, RefusalHandlerFailed)
		c.Assert(err, qt.ErrorMatches, ".*no such record.*")
	})
	c.Run("earlier incarnation", func(c *qt.C) {
		to := server.Address()
		to.Member.Incarnation--
		_, err := client.Exchange(ctx, to, note{Text: "x"})
		assertRefused(c, err, RefusalWrongDestination)
	})
	c.Run("kind unknown to the peer", func(c *qt.C) {
		newer := listen(c, "newer", func(config *Config) {
			c.Assert(config.Registry.Register(99, struct{ X int }{}), qt.IsNil)
		})
		_, err := newer.Exchange(ctx, server.Address(), struct{ X int }{})
		assertRefused(c, err, RefusalUnknownKind)
	})
	c.Run("address without member", func(c *qt.C) {
		unbound := Address{AddrPort: server.Address().AddrPort}
		_, err := client.Exchange(ctx, unbound, note{})
		c.Assert(err, qt.ErrorAs, new(UnboundError))
		answer, err := client.Exchange(ctx, unbound, hello{Seed: "x"})
		c.Assert(err, qt.IsNil)
		c.Assert(answer, qt.Equals, any(hello{Seed: "x"}))
	})
	c.Run("nothing listens", func(c *qt.C) {
		gone := listen(c, "gone", nil)
		c.Assert(gone.tcp.Close(), qt.IsNil)
		_, err := client.Exchange(ctx, gone.Address(), note{})
		assertUnanswered(c, err, true)
	})
}

func TestUntrustedPeers(t *testing.T) {
	c := qt.New(t)
	server := listen(c, "server", nil)
	serve(c, server)
	address := server.Address()
	withOtherKey := func(config *Config) { config.Keys = []Key{testKey(c, 9)} }
	c.Run("client with another key", func(c *qt.C) {
		_, err := listen(c, "untrusted", withOtherKey).Exchange(context.Background(), address, note{})
		c.Assert(err, qt.ErrorMatches, ".*not derived from a shared key.*")
	})
	c.Run("server with another key", func(c *qt.C) {
		untrusted := listen(c, "untrusted", withOtherKey)
		serve(c, untrusted)
		_, err := server.Exchange(context.Background(), untrusted.Address(), note{})
		assertUnanswered(c, err, true)
	})
	c.Run("without verification an untrusted client is served", func(c *qt.C) {
		disableVerification := func(config *Config) { config.DisabledChecks.PeerVerification = true }
		unverified := listen(c, "unverified", disableVerification)
		serve(c, unverified)
		untrusted := listen(c, "untrusted", func(config *Config) { withOtherKey(config); disableVerification(config) })
		_, err := untrusted.Exchange(context.Background(), unverified.Address(), note{})
		c.Assert(err, qt.IsNil)
	})
	c.Run("client that does not verify the server", func(c *qt.C) {
		key := testKey(c, 9)
		certificate, err := newCertificate(key)
		c.Assert(err, qt.IsNil)
		assertRejected(c, server, &tls.Config{
			InsecureSkipVerify: true, Certificates: []tls.Certificate{certificate},
		})
	})
	c.Run("client without a certificate", func(c *qt.C) {
		assertRejected(c, server, &tls.Config{InsecureSkipVerify: true})
	})
	c.Run("client without TLS 1.3", func(c *qt.C) {
		assertRejected(c, server, &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12})
	})
	c.Run("client without TLS", func(c *qt.C) {
		raw, err := net.Dial("tcp", address.AddrPort.String())
		c.Assert(err, qt.IsNil)
		defer func() { _ = raw.Close() }()
		_, err = raw.Write([]byte(strings.Repeat("x", 1000)))
		c.Assert(err, qt.IsNil)
		assertClosed(c, raw)
	})
	server.assertDrops(c, DropHandshakeFailed, 5)
}

func assertRejected(c *qt.C, server *testInstance, config *tls.Config) {
	raw, err := tls.Dial("tcp", server.Address().AddrPort.String(), config)
	if err != nil {
		return
	}
	defer func() { _ = raw.Close() }()
	assertClosed(c, raw)
}

func assertClosed(c *qt.C, raw net.Conn) {
	c.Assert(raw.SetReadDeadline(time.Now().Add(_waitTimeout)), qt.IsNil)
	var timeout net.Error
	for buffer := make([]byte, 100); ; {
		_, err := raw.Read(buffer)
		if err == nil {
			continue
		}
		c.Assert(eris.As(err, &timeout) && timeout.Timeout(), qt.IsFalse, qt.Commentf("the server kept the connection open"))
		return
	}
}

func TestConnectionsLimited(t *testing.T) {
	c := qt.New(t)
	server := listen(c, "server", func(config *Config) { config.MaxConnections = 1 })
	serve(c, server)
	_, err := listen(c, "first", nil).Exchange(context.Background(), server.Address(), note{})
	c.Assert(err, qt.IsNil)
	_, err = listen(c, "second", nil).Exchange(context.Background(), server.Address(), note{})
	assertUnanswered(c, err, true)
	c.Assert(server.DropCounts()[DropConnectionsFull], qt.Equals, uint64(1))
}

// TestBulkExchangesLimited checks that concurrent large exchanges are limited and that small ones are not held up.
func TestBulkExchangesLimited(t *testing.T) {
	c := qt.New(t)
	c.Assert(concurrentBulkExchanges(c, 2), qt.Equals, 2)
	c.Assert(concurrentBulkExchanges(c, 6), qt.Equals, 6)
}

// concurrentBulkExchanges sends six large messages and six small ones concurrently and returns the maximum number of
// large ones that a server with the given limit handled at once. The handler of large ones blocks until the limit is
// reached.
func concurrentBulkExchanges(c *qt.C, limit int) int {
	const clients = 6
	server := listen(c, "server", func(config *Config) { config.MaxBulkExchanges = limit })
	client := listen(c, "client", nil)
	var mu sync.Mutex
	active, maxActive, full := 0, 0, make(chan struct{})
	reached := sync.OnceFunc(func() { close(full) })
	handle := func(_ context.Context, _ id.Member, message any) (any, error) {
		if len(message.(note).Bytes) <= _bulkThreshold {
			return nil, nil
		}
		mu.Lock()
		active++
		maxActive = max(maxActive, active)
		if active == limit {
			reached()
		}
		mu.Unlock()
		<-full
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		active--
		mu.Unlock()
		return nil, nil
	}
	var serving, exchanging sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	serving.Go(func() { c.Check(server.Serve(ctx, handle), qt.IsNil) })
	exchange := func(size int) {
		_, err := client.Exchange(ctx, server.Address(), note{Bytes: make([]byte, size)})
		c.Check(err, qt.IsNil)
	}
	for range clients {
		exchanging.Go(func() { exchange(1 << 20) })
		exchanging.Go(func() { exchange(100) })
	}
	exchanging.Wait()
	cancel()
	serving.Wait()
	return maxActive
}

func assertRefused(c *qt.C, err error, refusal Refusal) {
	var remote RemoteError
	c.Assert(eris.As(err, &remote), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(remote.Refusal, qt.Equals, refusal)
}

func assertUnanswered(c *qt.C, err error, unsent bool) {
	var unanswered ExchangeError
	c.Assert(eris.As(err, &unanswered), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(unanswered.Unsent, qt.Equals, unsent, qt.Commentf("%v", err))
}
