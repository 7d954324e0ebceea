// Package e2e tests the whole program end to end, with separate processes on loopback addresses.
package e2e

import (
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
	"azureshift/io/operator"
)

const (
	_stopLimit  = 20 * time.Second
	_readyLimit = 30 * time.Second
)

func TestEndToEnd(t *testing.T) {
	c := qt.New(t)
	deployment := startDeployment(c)
	c.Run("order", func(c *qt.C) {
		c.Assert(deployment.order(c, "sleeve-1"), qt.Contains, "ran sleeve-1")
	})
	c.Run("feed", func(c *qt.C) {
		assertFeedServed(c, deployment.call(c, "-kind", "feed", "-duration", "2s"))
	})
	c.Run("export", func(c *qt.C) {
		c.Assert(deployment.call(c, "-kind", "export", "-duration", "5s"), qt.Equals, "2048 bytes\n")
	})
	c.Run("feeds and orders are served after an instance is killed", func(c *qt.C) {
		feed := deployment.startCall("-kind", "feed", "-duration", "14s")
		time.Sleep(time.Second)
		c.Assert(deployment.instances[0].Process.Kill(), qt.IsNil)
		_ = deployment.instances[0].Wait()
		assertEventuallyAnswered(c, deployment)
		out, err := feed()
		c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
		assertFeedServed(c, out)
		assertOneTarget(c, out)
	})
	c.Run("a planned stop exits within its limit", func(c *qt.C) {
		stopping := deployment.instances[1]
		c.Assert(stopping.Process.Signal(syscall.SIGTERM), qt.IsNil)
		assertExits(c, stopping)
		assertEventuallyAnswered(c, deployment)
	})
}

// assertFeedServed checks that a feed received at least three notifications.
func assertFeedServed(c *qt.C, out string) {
	c.Helper()
	c.Assert(len(strings.Split(strings.TrimSpace(out), "\n")) >= 3, qt.IsTrue, qt.Commentf("%s", out))
}

// assertOneTarget checks that all notifications came from the same target.
func assertOneTarget(c *qt.C, out string) {
	c.Helper()
	targets := make(map[string]bool)
	for _, line := range strings.Split(strings.TrimSpace(out), "\n") {
		target, _, _ := strings.Cut(line, " ")
		targets[target] = true
	}
	c.Assert(targets, qt.HasLen, 1)
}

// assertEventuallyAnswered checks that an order is answered again within five attempts, which covers a takeover.
func assertEventuallyAnswered(c *qt.C, deployment *deployment) {
	c.Helper()
	for attempt := range 5 {
		answer := deployment.order(c, "after-"+strings.Repeat("x", attempt))
		if strings.Contains(answer, " ran ") {
			return
		}
		time.Sleep(time.Second)
	}
	c.Fatal("no order was answered")
}

func assertExits(c *qt.C, process *exec.Cmd) {
	c.Helper()
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	select {
	case err := <-ended:
		c.Assert(err, qt.IsNil)
	case <-time.After(_stopLimit):
		c.Fatalf("process %d has not exited after %s", process.Process.Pid, _stopLimit)
	}
}

// awaitReady waits until the readiness endpoint of an instance reports that it is ready.
func awaitReady(c *qt.C, address string) {
	c.Helper()
	deadline := time.Now().Add(_readyLimit)
	for time.Now().Before(deadline) {
		response, err := http.Get("http://" + address + operator.PathReady)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.Fatalf("instance at %s is not ready after %s", address, _readyLimit)
}

func instanceName(domain id.Domain, index int) id.Instance {
	return id.Instance(string(domain) + "-" + string(rune('0'+index)))
}
