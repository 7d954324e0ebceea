package capacity

import (
	"runtime"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/core"
	"azureshift/core/epoch"
	"azureshift/core/id"
	"azureshift/core/membership"
)

const (
	_ticksPerSecond = int(time.Second / core.TickInterval)
	// _cutTicks covers the time until a silent failure domain is declared cut off.
	_cutTicks = int(10 * time.Second / core.TickInterval)
	// _readmitTicks covers the time for which a member that has returned gets no traffic.
	_readmitTicks = int(3500 * time.Millisecond / core.TickInterval)
	// _settleTicks covers the time after its start in which an instance treats older members as its elders.
	_settleTicks = int(4500 * time.Millisecond / core.TickInterval)
)

// Measurement is the cost of one instance's control state at one size.
type Measurement struct {
	Size Size
	// Start is the time to process all members, then all views, then the first bundle, and to settle.
	Start time.Duration
	// IdleSecond is the processing time of one second without changes.
	IdleSecond time.Duration
	// Summary is the time to compute the summary of the state for operators.
	Summary time.Duration
	// Down is the time to process the death of a member, Up that of its next incarnation, and Readmit the longest tick
	// until the member is routed to again.
	Down    time.Duration
	Up      time.Duration
	Readmit time.Duration
	// View is the time to process a new view of another failure domain.
	View time.Duration
	// Bundle is the time to process a bundle in which one target changes.
	Bundle time.Duration
	// Cut is the longest tick when a failure domain falls silent.
	Cut time.Duration
	// Lookup is the time for a traffic thread to place a feed's datagram whose flow it does not hold, and Owner the time
	// to find the owner of a request. Both are means over all services.
	Lookup time.Duration
	Owner  time.Duration
	// Heap is the growth of the heap by the instance, in bytes.
	Heap float64
}

// measure measures one size. Idle time, summary and changes are medians of the repetitions.
func measure(size Size, repetitions int) (Measurement, error) {
	measurement := Measurement{Size: size}
	fleet, err := newFleet(size)
	if err != nil {
		return measurement, err
	}
	before := heapInUse()
	instance := newInstance(fleet)
	if err := instance.bootstrap(); err != nil {
		return measurement, err
	}
	measurement.Start = instance.reduceTime
	measurement.Heap = float64(heapInUse()) - float64(before)
	measurement.measureIdle(instance, repetitions)
	measurement.measureTraffic(instance)
	if err := measurement.measureChanges(instance, repetitions); err != nil {
		return measurement, err
	}
	if measurement.Cut, err = instance.measureCut(); err != nil {
		return measurement, err
	}
	runtime.KeepAlive(fleet)
	return measurement, instance.verify()
}

// verify returns an error if the instance did not apply all that was delivered to it; its measurement is invalid then.
func (instance *instance) verify() error {
	if instance.routes == nil || instance.snapshot == nil {
		return eris.New("the instance published no routes or no snapshot; check bootstrap")
	}
	summary := instance.state.Summary()
	if len(summary.Views) != len(instance.fleet.views) || summary.Version != instance.fleet.bundle.Version {
		return eris.Errorf("the instance holds %d of %d views and bundle version %d, want %d; check the delivered messages",
			len(summary.Views), len(instance.fleet.views), summary.Version, instance.fleet.bundle.Version)
	}
	for _, view := range instance.fleet.views {
		if !slices.ContainsFunc(summary.Views, func(held epoch.View) bool {
			return held.Domain == view.Domain && held.Number == view.Number
		}) {
			return eris.Errorf("the view of %s is not number %d; check the delivered messages", view.Domain, view.Number)
		}
	}
	return nil
}

func (measurement *Measurement) measureIdle(instance *instance, repetitions int) {
	measurement.IdleSecond = medianTime(repetitions, func() time.Duration {
		return instance.reduceTimeOf(func() {
			for range _ticksPerSecond {
				instance.tick()
			}
		})
	})
	measurement.Summary = medianTime(repetitions, func() time.Duration {
		start := time.Now()
		_ = instance.state.Summary()
		return time.Since(start)
	})
}

func (measurement *Measurement) measureChanges(instance *instance, repetitions int) error {
	var downs, ups, readmits, views, bundles []time.Duration
	for number := range repetitions {
		down, up := instance.restartMember(1 + number)
		downs, ups = append(downs, down), append(ups, up)
		readmits = append(readmits, instance.longestTick(_readmitTicks))
		view, err := instance.renewView(number)
		if err != nil {
			return err
		}
		views = append(views, view)
		instance.fleet.toggleDrain()
		bundleTime := instance.reduceTimeOf(func() { err = instance.rollBundle() })
		if err != nil {
			return err
		}
		bundles = append(bundles, bundleTime)
	}
	measurement.Down, measurement.Up, measurement.Readmit = medianOf(downs), medianOf(ups), medianOf(readmits)
	measurement.View, measurement.Bundle = medianOf(views), medianOf(bundles)
	return nil
}

// reduceTimeOf runs the steps and returns the time that they spent in Reduce.
func (instance *instance) reduceTimeOf(steps func()) time.Duration {
	before := instance.reduceTime
	steps()
	return instance.reduceTime - before
}

// restartMember reports a member dead and then alive with its next incarnation.
func (instance *instance) restartMember(number int) (down, up time.Duration) {
	record := &instance.fleet.members[number]
	dead := *record
	dead.Status = membership.Dead
	down = instance.reduceTimeOf(func() { instance.receiveRecords(membership.Gossip, dead) })
	record.Member.Incarnation++
	instance.recordByAddress[record.Address.String()] = *record
	up = instance.reduceTimeOf(func() { instance.receiveRecords(membership.Gossip, *record) })
	return down, up
}

// renewView delivers the next view of a failure domain other than the instance's own.
func (instance *instance) renewView(number int) (time.Duration, error) {
	index := 1 + number%(len(instance.fleet.views)-1)
	current := instance.fleet.views[index]
	next := instance.fleet.viewOf(current.Domain)
	next.Number = current.Number + 1
	instance.fleet.views[index] = next
	var err error
	span := instance.reduceTimeOf(func() { err = instance.receiveView(next) })
	return span, err
}

// longestTick runs a number of ticks and returns the time of the longest.
func (instance *instance) longestTick(ticks int) time.Duration {
	var longest time.Duration
	for range ticks {
		longest = max(longest, instance.reduceTimeOf(instance.tick))
	}
	return longest
}

// measureCut silences a failure domain and returns the longest tick until the instance reroutes.
func (instance *instance) measureCut() (time.Duration, error) {
	instance.silentDomain = id.Domain("")
	for _, view := range instance.fleet.views {
		if view.Domain != instance.fleet.members[0].Domain {
			instance.silentDomain = view.Domain
		}
	}
	var longest time.Duration
	instance.rerouted = false
	for range _cutTicks {
		longest = max(longest, instance.reduceTimeOf(instance.tick))
		if instance.rerouted {
			return longest, nil
		}
	}
	return longest, eris.Errorf("%s fell silent but was not declared cut off; check the probes", instance.silentDomain)
}

func medianTime(repetitions int, measure func() time.Duration) time.Duration {
	spans := make([]time.Duration, 0, repetitions)
	for range repetitions {
		spans = append(spans, measure())
	}
	return medianOf(spans)
}

func medianOf(spans []time.Duration) time.Duration {
	slices.Sort(spans)
	return spans[len(spans)/2]
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
