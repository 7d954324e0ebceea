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

// bench is an owner whose runner-up acknowledges at once.
type bench struct {
	b            *testing.B
	owner        *request.State
	now          time.Time
	peer         id.Member
	orders       int
	encodedBytes int
	encodes      bool
}

func newBench(b *testing.B, encodes bool) *bench {
	view := epoch.View{Domain: "morbegno", Number: 1}
	for _, name := range []id.Instance{"morbegno-0", "morbegno-1"} {
		view.Members = append(view.Members, id.Member{Instance: name, Incarnation: 1})
	}
	pair := view.Pair(epoch.HashShard(id.Shard{Service: "stampa", Domain: "morbegno"}))
	config := request.DefaultConfig(pair.Owner, "morbegno")
	bench := &bench{b: b, owner: request.New(config), now: time.Unix(0, 0), peer: pair.RunnerUp, encodes: encodes}
	targets := []request.Target{newTarget("press-1", 3), newTarget("press-2", 3)}
	bench.reduce(request.TargetsChanged{At: bench.at(), Service: "stampa", Targets: targets})
	bench.reduce(request.ViewChanged{At: bench.at(), View: view})
	bench.tick()
	return bench
}

func (bench *bench) at() request.At { return request.At{At: bench.now} }

func (bench *bench) tick() {
	bench.reduce(request.Heartbeat{At: bench.at(), Member: bench.peer, Epoch: 1})
	bench.reduce(request.Tick{At: bench.at()})
}

func (bench *bench) reduce(event request.Event) {
	var replies [4]request.Event
	next := replies[:0]
	for _, effect := range bench.owner.Reduce(event) {
		switch effect := effect.(type) {
		case request.Send:
			bench.countBytes(effect.Message)
			if answer := bench.acknowledge(effect.Message); answer != nil {
				bench.countBytes(answer)
				next = append(next, request.MessageReceived{At: bench.at(), From: bench.peer, Message: answer})
			}
		case request.Dispatch:
			next = append(next, request.TargetReplied{
				At: bench.at(), Attempt: effect.Attempt, Result: request.ResultAnswered,
			})
		}
	}
	for _, event := range next {
		bench.reduce(event)
	}
}

func (bench *bench) acknowledge(message request.Message) request.Message {
	switch message := message.(type) {
	case request.Replicate:
		return request.ReplicateAck{Epoch: message.Epoch, Shard: message.Shard, Sequence: message.Sequence}
	case request.Sync:
		return request.SyncAck{Epoch: message.Epoch, Shard: message.Shard, Chunk: message.Chunk}
	}
	return nil
}

func (bench *bench) countBytes(message request.Message) {
	if !bench.encodes {
		return
	}
	encoded, err := cbor.Marshal(message)
	if err != nil {
		bench.b.Fatal(err)
	}
	bench.encodedBytes += len(encoded)
}

func (bench *bench) arrive(class request.Class) {
	bench.orders++
	bench.now = bench.now.Add(time.Millisecond)
	if bench.orders%10 == 0 {
		bench.tick()
	}
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], uint32(bench.orders))
	key := request.Key{
		Caller: netip.AddrPortFrom(netip.AddrFrom4(address), 5683), Service: "stampa", Tag: "01234567",
	}
	deadline := bench.now.Add(time.Second)
	bench.reduce(request.Arrived{At: bench.at(), Key: key, Class: class, Deadline: deadline})
}

func BenchmarkOwnerOnce(b *testing.B) {
	bench := newBench(b, false)
	b.ReportAllocs()
	for b.Loop() {
		bench.arrive(request.AtMostOnce)
	}
}

func BenchmarkOwnerRepeatable(b *testing.B) {
	bench := newBench(b, false)
	b.ReportAllocs()
	for b.Loop() {
		bench.arrive(request.Idempotent)
	}
}

func BenchmarkControlBytesOnce(b *testing.B) {
	bench := newBench(b, true)
	for b.Loop() {
		bench.arrive(request.AtMostOnce)
	}
	b.ReportMetric(float64(bench.encodedBytes)/float64(bench.orders), "control-B/op")
}

func BenchmarkKeptRecord(b *testing.B) {
	const records = 100_000
	for b.Loop() {
		bench := newBench(b, false)
		before := heapInUse()
		for range records {
			bench.arrive(request.AtMostOnce)
		}
		b.ReportMetric(float64(heapInUse()-before)/records, "kept-B/record")
		runtime.KeepAlive(bench)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
