package request_test

import (
	"encoding/binary"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"azureshift/core/epoch"
	"azureshift/core/id"
	"azureshift/core/request"
)

// benchOwner is an owner whose runner-up acknowledges at once.
type benchOwner struct {
	b            *testing.B
	owner        *request.State
	now          time.Time
	peer         id.Member
	orders       int
	encodedBytes int
	encodes      bool
}

func newBenchOwner(b *testing.B, encodes bool) *benchOwner {
	view := epoch.View{Domain: "morbegno", Number: 1}
	for _, name := range []id.Instance{"morbegno-0", "morbegno-1"} {
		view.Members = append(view.Members, id.Member{Instance: name, Incarnation: 1})
	}
	pair := view.Pair(epoch.HashShard(id.Shard{Service: "stampa", Domain: "morbegno"}))
	config := request.Default(pair.Owner, "morbegno")
	benchOwner := &benchOwner{b: b, owner: request.New(config), now: time.Unix(0, 0), peer: pair.RunnerUp, encodes: encodes}
	targets := []request.Target{newTarget("press-1", 3), newTarget("press-2", 3)}
	benchOwner.reduce(request.TargetsChanged{At: benchOwner.eventTime(), Service: "stampa", Targets: targets})
	benchOwner.reduce(request.ViewChanged{At: benchOwner.eventTime(), View: view})
	benchOwner.tick()
	return benchOwner
}

func (benchOwner *benchOwner) eventTime() request.At { return request.At{At: benchOwner.now} }

func (benchOwner *benchOwner) tick() {
	benchOwner.reduce(request.Contact{At: benchOwner.eventTime(), Member: benchOwner.peer, Epoch: 1})
	benchOwner.reduce(request.Tick{At: benchOwner.eventTime()})
}

func (benchOwner *benchOwner) reduce(event request.Event) {
	var replies [4]request.Event
	next := replies[:0]
	for _, effect := range benchOwner.owner.Reduce(event) {
		switch effect := effect.(type) {
		case request.SendPeer:
			benchOwner.countBytes(effect.Message)
			if answer := benchOwner.acknowledge(effect.Message); answer != nil {
				benchOwner.countBytes(answer)
				next = append(next, request.PeerReceived{At: benchOwner.eventTime(), From: benchOwner.peer, Message: answer})
			}
		case request.Dispatch:
			next = append(next, request.TargetReplied{
				At: benchOwner.eventTime(), Attempt: effect.Attempt, Verdict: request.VerdictAnswered,
			})
		}
	}
	for _, event := range next {
		benchOwner.reduce(event)
	}
}

func (benchOwner *benchOwner) acknowledge(message request.Message) request.Message {
	switch message := message.(type) {
	case request.Replicate:
		return request.ReplicateAck{Epoch: message.Epoch, Shard: message.Shard, Sequence: message.Sequence}
	case request.Sync:
		return request.SyncAck{Epoch: message.Epoch, Shard: message.Shard, Chunk: message.Chunk}
	}
	return nil
}

func (benchOwner *benchOwner) countBytes(message request.Message) {
	if !benchOwner.encodes {
		return
	}
	encoded, err := cbor.Marshal(message)
	if err != nil {
		benchOwner.b.Fatal(err)
	}
	benchOwner.encodedBytes += len(encoded)
}

func (benchOwner *benchOwner) arrive(class request.Class) {
	benchOwner.orders++
	benchOwner.now = benchOwner.now.Add(time.Millisecond)
	if benchOwner.orders%10 == 0 {
		benchOwner.tick()
	}
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], uint32(benchOwner.orders))
	key := request.Key{
		Caller: netip.AddrPortFrom(netip.AddrFrom4(address), 5683), Service: "stampa", Tag: "01234567",
	}
	deadline := benchOwner.now.Add(time.Second)
	benchOwner.reduce(request.Arrived{At: benchOwner.eventTime(), Key: key, Class: class, Deadline: deadline})
}

func BenchmarkOwnerOnce(b *testing.B) {
	benchOwner := newBenchOwner(b, false)
	b.ReportAllocs()
	for b.Loop() {
		benchOwner.arrive(request.Once)
	}
}

func BenchmarkOwnerRepeatable(b *testing.B) {
	benchOwner := newBenchOwner(b, false)
	b.ReportAllocs()
	for b.Loop() {
		benchOwner.arrive(request.Repeatable)
	}
}

func BenchmarkControlBytesOnce(b *testing.B) {
	benchOwner := newBenchOwner(b, true)
	for b.Loop() {
		benchOwner.arrive(request.Once)
	}
	b.ReportMetric(float64(benchOwner.encodedBytes)/float64(benchOwner.orders), "control-B/op")
}

func BenchmarkKeptRecord(b *testing.B) {
	const records = 100_000
	for b.Loop() {
		benchOwner := newBenchOwner(b, false)
		before := heapInUse()
		for range records {
			benchOwner.arrive(request.Once)
		}
		b.ReportMetric(float64(heapInUse()-before)/records, "kept-B/record")
		runtime.KeepAlive(benchOwner)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
