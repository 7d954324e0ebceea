package demo

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"azureshift/core/id"
	"azureshift/io/coap"
	"azureshift/standin/backend"
	"azureshift/standin/caller"
)

const (
	_ackTimeout    = 500 * time.Millisecond
	_maxRetransmit = 6
	_exportPause   = 20 * time.Millisecond
	_feedRamp      = time.Second
)

// generator runs the callers of one service.
type generator struct {
	service   Service
	address   netip.AddrPort
	feeds     int
	freshness caller.FeedTiming
	blocks    int
	seed      uint64
	recorder  *recorder
}

func (generator *generator) run(ctx context.Context) {
	var group conc.WaitGroup
	for number := range generator.feeds {
		group.Go(func() { generator.feed(ctx, number) })
	}
	for range generator.service.Exports {
		group.Go(func() { generator.exports(ctx) })
	}
	if generator.service.OrderShare > 0 {
		group.Go(func() { generator.orders(ctx) })
	}
	group.Wait()
}

func (generator *generator) feed(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(generator.seed, uint64(number)))
	if !pause(ctx, time.Duration(random.Int64N(int64(_feedRamp)))) {
		return
	}
	client, err := caller.New(generator.callerConfig())
	if err != nil {
		return
	}
	defer func() { _ = client.Close() }()
	_ = client.Feed(ctx, generator.freshness, func(notification coap.Message) {
		target, _, _ := strings.Cut(string(notification.Payload), " ")
		generator.recorder.recordNotification(generator.service.Name, number, id.Target(target), time.Now())
	})
}

// orders sends orders with exponentially distributed gaps, without waiting for earlier ones to finish.
func (generator *generator) orders(ctx context.Context) {
	random := rand.New(rand.NewPCG(generator.seed, generator.seed))
	capacity := float64(generator.service.Targets*generator.service.Slots) / generator.service.ServiceTime.Seconds()
	rate := capacity * generator.service.OrderShare
	var group conc.WaitGroup
	defer group.Wait()
	for number := 0; ; number++ {
		if !pause(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second))) {
			return
		}
		group.Go(func() { generator.order(fmt.Sprintf("%s-%d-%d", generator.service.Name, generator.seed, number)) })
	}
}

// order sends one order. It doesn't stop at the end of the run, so that every request gets its outcome.
func (generator *generator) order(name string) {
	client, err := caller.New(generator.callerConfig())
	if err != nil {
		return
	}
	defer func() { _ = client.Close() }()
	start := time.Now()
	answer, err := client.Order(context.Background(), []byte(name))
	outcome := caller.OutcomeOf(answer, err)
	generator.recordResult(coap.ClassOrder, name, outcome, time.Since(start))
	if outcome == caller.OutcomeAnswered && !strings.HasSuffix(string(answer.Payload), " ran "+name) {
		generator.recorder.recordCrossedAnswer(generator.service.Name)
	}
}

func (generator *generator) exports(ctx context.Context) {
	want := backend.ExportBytes(generator.blocks)
	for ctx.Err() == nil {
		generator.export(want)
		pause(ctx, _exportPause)
	}
}

func (generator *generator) export(want []byte) {
	client, err := caller.New(generator.callerConfig())
	if err != nil {
		return
	}
	defer func() { _ = client.Close() }()
	start := time.Now()
	whole, err := client.Export(context.Background())
	switch {
	case err != nil:
		generator.recordResult(coap.ClassExport, "", caller.OutcomeUnknown, time.Since(start))
	case !bytes.Equal(whole, want):
		generator.recorder.recordCorruptExport(generator.service.Name)
	default:
		generator.recordResult(coap.ClassExport, "", caller.OutcomeAnswered, time.Since(start))
	}
}

func (generator *generator) recordResult(class coap.Class, name string, outcome caller.Outcome, latency time.Duration) {
	label := "answered"
	switch outcome {
	case caller.OutcomeAnswered:
	case caller.OutcomeNotRun:
		label = "not run"
		generator.recorder.recordNotRun(generator.service.Name, name)
	case caller.OutcomeUnknown:
		label = "unknown"
	}
	generator.recorder.recordOutcome(generator.service.Name, class.String(), label, latency)
}

func (generator *generator) callerConfig() caller.Config {
	return caller.Config{
		ServiceName:    generator.service.Name,
		ServiceAddress: generator.address,
		AckTimeout:     _ackTimeout,
		MaxRetransmit:  _maxRetransmit,
	}
}

// pause waits and reports whether the full time passed before the context was done.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
