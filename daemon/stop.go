package daemon

import (
	"time"

	"azureshift/core"
	"azureshift/event"
)

const (
	_stopPoll      = 20 * time.Millisecond
	_handoverPause = 10 * time.Millisecond
	_handoverBatch = 200
	// _lingerDuration is how long a stopping instance keeps forwarding datagrams from the fabric after its work is done.
	_lingerDuration = time.Second
)

// Stop begins a planned stop. The instance announces that it leaves and hands over its records and feeds. Run returns
// when none of its requests is in progress or Limits.StopLimit has passed.
func (daemon *Daemon) Stop() {
	daemon.stop.Do(func() {
		daemon.stopping.Store(true)
		daemon.log.Log(event.Stopping, nil)
		daemon.mailbox.put(core.Leave{At: time.Now()})
		daemon.group.Go(daemon.announceLeaving)
		daemon.group.Go(daemon.completeStop)
	})
}

// completeStop waits for the handover and for unanswered requests, then takes the instance out of service.
func (daemon *Daemon) completeStop() {
	limit := time.Now().Add(daemon.settings.Limits.StopLimit.Std())
	select {
	case <-daemon.handover:
		daemon.log.Log(event.Handover, event.Fields{"Feeds": daemon.feeds.Len()})
	case <-time.After(time.Until(limit)):
		daemon.log.Log(event.StopLimitPassed, event.Fields{"Requests": daemon.requests.Len()})
	}
	if err := daemon.handOverFeeds(_handoverPause, _handoverBatch); err != nil {
		daemon.log.LogError(event.PeerSendFailed, err, nil)
	}
	for daemon.requests.Len() > 0 && time.Now().Before(limit) {
		time.Sleep(_stopPoll)
	}
	time.Sleep(_lingerDuration)
	daemon.deregisterFeeds()
	daemon.deregisterInstance()
	daemon.mailbox.put(core.WorkFinished{At: time.Now()})
}

// deregisterFeeds deregisters this instance's feeds at their targets, as other instances have registered them again.
func (daemon *Daemon) deregisterFeeds() {
	for _, endedFeed := range daemon.feeds.Expire(time.Now().Add(time.Hour)) {
		daemon.deregister(endedFeed)
	}
}
