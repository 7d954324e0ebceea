package request_test

import (
	"math/rand"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/epoch"
	"azureshift/core/id"
	"azureshift/core/request"
)

var _now = time.Unix(1_000_000, 0)

func TestMovedRequest(t *testing.T) {
	c := qt.New(t)
	c.Run("is passed on after the runner-up has acknowledged its intent", func(c *qt.C) {
		owner, pair := newServingOwner(c, request.Disabled{})
		replicate, passedOn := arriveMoved(owner)
		c.Assert(passedOn, qt.Equals, 0)
		c.Assert(acknowledge(owner, pair, replicate), qt.Equals, 1)
	})
	c.Run("is passed on again for each copy", func(c *qt.C) {
		owner, pair := newServingOwner(c, request.Disabled{})
		replicate, _ := arriveMoved(owner)
		acknowledge(owner, pair, replicate)
		_, passedOn := arriveMoved(owner)
		c.Assert(passedOn, qt.Equals, 1)
	})
	c.Run("is not passed on if the runner-up serves alone", func(c *qt.C) {
		owner, pair := newServingOwner(c, request.Disabled{})
		replicate, _ := arriveMoved(owner)
		reject := request.ReplicateReject{Epoch: replicate.Epoch, Shard: replicate.Shard, Sealed: true}
		c.Assert(countPassedOn(owner.Reduce(fromRunnerUp(pair, reject))), qt.Equals, 0)
		_, passedOn := arriveMoved(owner)
		c.Assert(passedOn, qt.Equals, 0)
	})
	c.Run("is passed on without the runner-up's acknowledgement if intents are disabled", func(c *qt.C) {
		owner, _ := newServingOwner(c, request.Disabled{Intent: true})
		_, passedOn := arriveMoved(owner)
		c.Assert(passedOn, qt.Equals, 1)
	})
}

// newServingOwner returns the owner of a shard that serves: its runner-up is synced and all members are in contact.
func newServingOwner(c *qt.C, disabled request.Disabled) (*request.State, epoch.Pair) {
	view := epoch.View{Domain: "morbegno", Number: 1}
	for _, name := range []id.Instance{"a", "b", "c"} {
		view.Members = append(view.Members, id.Member{Instance: name, Incarnation: 1})
	}
	pair := view.Pair(epoch.HashShard(id.Shard{Service: "chiosco", Domain: view.Domain}))
	config := request.DefaultConfig(pair.Owner, view.Domain)
	config.Random = rand.New(rand.NewSource(1))
	config.Disabled = disabled
	owner := request.New(config)
	at := request.At{At: _now}
	targets := []request.Target{{Name: "chiosco-0", Domain: view.Domain, Slots: 2}}
	owner.Reduce(request.TargetsChanged{At: at, Service: "chiosco", Targets: targets})
	owner.Reduce(request.ViewChanged{At: at, View: view})
	for _, member := range view.Members {
		owner.Reduce(request.Heartbeat{At: at, Member: member, Epoch: view.Number})
	}
	for _, effect := range owner.Reduce(request.Tick{At: at}) {
		if sent, ok := effect.(request.Send); ok {
			answerSync(owner, pair, sent)
		}
	}
	ack := request.SyncAck{Epoch: 1, Shard: id.Shard{Service: "chiosco", Domain: "morbegno"}}
	owner.Reduce(fromRunnerUp(pair, ack))
	c.Assert(owner.Serves("chiosco"), qt.IsTrue)
	return owner, pair
}

func answerSync(owner *request.State, pair epoch.Pair, sent request.Send) {
	if sync, ok := sent.Message.(request.Sync); ok {
		owner.Reduce(fromRunnerUp(pair, request.SyncAck{Epoch: sync.Epoch, Shard: sync.Shard, Chunk: sync.Chunk}))
	}
}

// arriveMoved delivers one copy of a moved request. It returns the intent sent to the runner-up and how often the
// request was passed on.
func arriveMoved(owner *request.State) (request.Replicate, int) {
	effects := owner.Reduce(request.Arrived{
		At: request.At{At: _now}, Class: request.AtMostOnce, HomeMoved: true, Deadline: _now.Add(time.Minute),
		Key: request.Key{Caller: netip.MustParseAddrPort("127.0.0.1:1"), Service: "chiosco", Tag: "t"},
	})
	var replicate request.Replicate
	for _, effect := range effects {
		if sent, ok := effect.(request.Send); ok {
			if message, ok := sent.Message.(request.Replicate); ok {
				replicate = message
			}
		}
	}
	return replicate, countPassedOn(effects)
}

func acknowledge(owner *request.State, pair epoch.Pair, replicate request.Replicate) int {
	ack := request.ReplicateAck{Epoch: replicate.Epoch, Shard: replicate.Shard, Sequence: replicate.Sequence}
	return countPassedOn(owner.Reduce(fromRunnerUp(pair, ack)))
}

func fromRunnerUp(pair epoch.Pair, message request.Message) request.MessageReceived {
	return request.MessageReceived{At: request.At{At: _now}, From: pair.RunnerUp, Message: message}
}

func countPassedOn(effects []request.Effect) int {
	passedOn := 0
	for _, effect := range effects {
		if _, ok := effect.(request.ForwardMoved); ok {
			passedOn++
		}
	}
	return passedOn
}
