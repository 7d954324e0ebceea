package tour

import (
	"time"

	"azureshift/standin/metastore"
	"azureshift/testbed"
)

// Steps returns all steps in the order of a tour: planned work and the store outage first, then failures.
func Steps() []Step {
	return []Step{
		&noFault{}, &configurationChange{}, &plannedRestarts{}, &serverDrain{}, &serverJoin{}, &evacuation{},
		&storeOutage{}, &instanceKill{}, &serverCrash{}, &addressReuse{},
	}
}

// lossless is embedded in steps during which every request must be served.
type lossless struct{}

// Lossless implements Step.
func (lossless) Lossless() bool { return true }

// lossy is embedded in steps during which some requests may fail.
type lossy struct{}

// Lossless implements Step.
func (lossy) Lossless() bool { return false }

// noEnd is embedded in steps that need no cleanup.
type noEnd struct{}

// End implements Step.
func (noEnd) End(*testbed.Testbed) error { return nil }

var (
	_ Step = (*noFault)(nil)
	_ Step = (*configurationChange)(nil)
	_ Step = (*plannedRestarts)(nil)
	_ Step = (*serverDrain)(nil)
	_ Step = (*serverJoin)(nil)
	_ Step = (*evacuation)(nil)
	_ Step = (*storeOutage)(nil)
	_ Step = (*instanceKill)(nil)
	_ Step = (*serverCrash)(nil)
	_ Step = (*addressReuse)(nil)
)

// noFault is the baseline: requests without faults or planned work.
type noFault struct {
	lossless
	noEnd
}

func (*noFault) String() string { return "calm" }

// Begin implements Step.
func (*noFault) Begin(*testbed.Testbed) error { return nil }

// configurationChange publishes several configurations in quick succession, one of them large.
type configurationChange struct {
	lossless
	noEnd
}

func (*configurationChange) String() string { return "configuration changes" }

// Begin implements Step.
func (*configurationChange) Begin(testbed *testbed.Testbed) error {
	for _, routes := range []int{3, 300, 10, 0} {
		testbed.Configure(routes)
		time.Sleep(_configurePause)
	}
	return nil
}

const _configurePause = 200 * time.Millisecond

// plannedRestarts restarts one instance of each failure domain.
type plannedRestarts struct{ lossless }

func (*plannedRestarts) String() string { return "planned instance restarts" }

// Begin implements Step.
func (*plannedRestarts) Begin(testbed *testbed.Testbed) error {
	for index := 0; index < len(testbed.Instances()); index += _instances {
		testbed.Instances()[index].Process().Stop()
		if err := testbed.Start(testbed.Instances()[index]); err != nil {
			return err
		}
	}
	return nil
}

// End implements Step.
func (*plannedRestarts) End(testbed *testbed.Testbed) error { return testbed.WaitReady(_startLimit) }

// serverDrain drains a backend server and stops it.
type serverDrain struct {
	lossless
	leaving *testbed.Server
}

func (*serverDrain) String() string { return "server drain" }

// Begin implements Step.
func (step *serverDrain) Begin(testbed *testbed.Testbed) error {
	step.leaving = testbed.Targets()[0]
	step.leaving.Drain()
	return nil
}

// End implements Step.
func (step *serverDrain) End(testbed *testbed.Testbed) error {
	step.leaving.Shutdown()
	testbed.Remove(step.leaving)
	return nil
}

// serverJoin adds a backend server.
type serverJoin struct {
	lossless
	noEnd
}

func (*serverJoin) String() string { return "server join" }

// Begin implements Step.
func (*serverJoin) Begin(testbed *testbed.Testbed) error {
	_, err := testbed.AddTarget(0)
	return err
}

// evacuation stops new flows to the servers of one failure domain and allows them again.
type evacuation struct{ lossless }

func (*evacuation) String() string { return "evacuation of a failure domain" }

// Begin implements Step.
func (*evacuation) Begin(testbed *testbed.Testbed) error {
	testbed.Evacuate(_domains[0])
	return nil
}

// End implements Step.
func (*evacuation) End(testbed *testbed.Testbed) error {
	testbed.Reopen(_domains[0])
	return nil
}

// storeOutage makes the store unresponsive and lets every registration expire meanwhile.
type storeOutage struct{ lossless }

func (*storeOutage) String() string { return "store outage, registrations expire" }

// Begin implements Step.
func (*storeOutage) Begin(testbed *testbed.Testbed) error {
	testbed.Store.SetFaults(metastore.Faults{Mode: metastore.Silent, Lapse: true})
	return nil
}

// End implements Step.
func (*storeOutage) End(testbed *testbed.Testbed) error {
	testbed.Store.SetFaults(metastore.Faults{})
	return nil
}

// instanceKill kills an instance and starts it again.
type instanceKill struct {
	lossy
	killed *testbed.Instance
}

func (*instanceKill) String() string { return "instance kill and restart" }

// Begin implements Step.
func (step *instanceKill) Begin(testbed *testbed.Testbed) error {
	step.killed = testbed.Instances()[1]
	step.killed.Process().Kill()
	return nil
}

// End implements Step.
func (step *instanceKill) End(testbed *testbed.Testbed) error { return testbed.Start(step.killed) }

// serverCrash crashes a backend server and restarts it under its id.
type serverCrash struct {
	lossy
	crashed *testbed.Server
}

func (*serverCrash) String() string { return "server crash and restart" }

// Begin implements Step.
func (step *serverCrash) Begin(testbed *testbed.Testbed) error {
	step.crashed = testbed.Targets()[1]
	step.crashed.Crash()
	return nil
}

// End implements Step.
func (step *serverCrash) End(testbed *testbed.Testbed) error {
	testbed.Remove(step.crashed)
	_, err := testbed.Restart(step.crashed, 0)
	return err
}

// addressReuse crashes a backend server and immediately starts another one at its address.
type addressReuse struct {
	lossy
	noEnd
}

func (*addressReuse) String() string { return "server crash and address reuse" }

// Begin implements Step.
func (*addressReuse) Begin(testbed *testbed.Testbed) error {
	crashed := testbed.Targets()[2]
	crashed.Crash()
	testbed.Remove(crashed)
	_, err := testbed.Replace(crashed)
	return err
}
