package tour

import (
	"time"

	"azureshift/standin/metastore"
	"azureshift/testbed"
)

// Steps returns everything that can be shown, in an order that tells a story.
func Steps() []Step {
	return []Step{
		&calm{}, &configure{}, &plannedStops{}, &drain{}, &addTarget{}, &storeDown{}, &kill{}, &crash{}, &reuse{},
	}
}

// harmless steps must cost no client anything.
type harmless struct{}

// Harmless implements Step.
func (harmless) Harmless() bool { return true }

// harmful steps may cost some requests.
type harmful struct{}

// Harmless implements Step.
func (harmful) Harmless() bool { return false }

// over steps have nothing to end.
type over struct{}

// End implements Step.
func (over) End(*testbed.Testbed) error { return nil }

var (
	_ Step = (*calm)(nil)
	_ Step = (*configure)(nil)
	_ Step = (*plannedStops)(nil)
	_ Step = (*drain)(nil)
	_ Step = (*addTarget)(nil)
	_ Step = (*storeDown)(nil)
	_ Step = (*kill)(nil)
	_ Step = (*crash)(nil)
	_ Step = (*reuse)(nil)
)

// calm shows requests alone.
type calm struct {
	harmless
	over
}

func (*calm) String() string { return "calm" }

// Begin implements Step.
func (*calm) Begin(*testbed.Testbed) error { return nil }

// configure shows new configurations in quick succession, one of them large.
type configure struct {
	harmless
	over
}

func (*configure) String() string { return "configurations change" }

// Begin implements Step.
func (*configure) Begin(bed *testbed.Testbed) error {
	for _, routes := range []int{3, 300, 10, 0} {
		bed.Configure(routes)
		time.Sleep(_configurePause)
	}
	return nil
}

const _configurePause = 200 * time.Millisecond

// plannedStops shows the restart of one instance of each failure domain.
type plannedStops struct{ harmless }

func (*plannedStops) String() string { return "instances restart as planned" }

// Begin implements Step.
func (*plannedStops) Begin(bed *testbed.Testbed) error {
	for index := 0; index < len(bed.Instances()); index += _instances {
		bed.Instances()[index].Process().Stop()
		if err := bed.Start(bed.Instances()[index]); err != nil {
			return err
		}
	}
	return nil
}

// End implements Step.
func (*plannedStops) End(bed *testbed.Testbed) error { return bed.WaitReady(_startLimit) }

// drain shows a backend server that leaves.
type drain struct {
	harmless
	leaving *testbed.Server
}

func (*drain) String() string { return "a server drains and leaves" }

// Begin implements Step.
func (step *drain) Begin(bed *testbed.Testbed) error {
	step.leaving = bed.Targets()[0]
	step.leaving.Drain()
	return nil
}

// End implements Step.
func (step *drain) End(bed *testbed.Testbed) error {
	step.leaving.End()
	bed.Forget(step.leaving)
	return nil
}

// addTarget shows a backend server that joins.
type addTarget struct {
	harmless
	over
}

func (*addTarget) String() string { return "a server joins" }

// Begin implements Step.
func (*addTarget) Begin(bed *testbed.Testbed) error {
	_, err := bed.AddTarget(0)
	return err
}

// storeDown shows the store away, with every registration lapsing meanwhile.
type storeDown struct{ harmless }

func (*storeDown) String() string { return "the store is away and registrations lapse" }

// Begin implements Step.
func (*storeDown) Begin(bed *testbed.Testbed) error {
	bed.Store.SetFaults(metastore.Faults{Mode: metastore.Silent, Lapse: true})
	return nil
}

// End implements Step.
func (*storeDown) End(bed *testbed.Testbed) error {
	bed.Store.SetFaults(metastore.Faults{})
	return nil
}

// kill shows the loss of an instance.
type kill struct {
	harmful
	killed *testbed.Instance
}

func (*kill) String() string { return "an instance is killed" }

// Begin implements Step.
func (step *kill) Begin(bed *testbed.Testbed) error {
	step.killed = bed.Instances()[1]
	step.killed.Process().Kill()
	return nil
}

// End implements Step.
func (step *kill) End(bed *testbed.Testbed) error { return bed.Start(step.killed) }

// crash shows a backend server that crashes and comes back under its id.
type crash struct {
	harmful
	crashed *testbed.Server
}

func (*crash) String() string { return "a server crashes and comes back" }

// Begin implements Step.
func (step *crash) Begin(bed *testbed.Testbed) error {
	step.crashed = bed.Targets()[1]
	step.crashed.Crash()
	return nil
}

// End implements Step.
func (step *crash) End(bed *testbed.Testbed) error {
	bed.Forget(step.crashed)
	_, err := bed.Restart(step.crashed, 0)
	return err
}

// reuse shows a backend server that crashes and whose address another one gets at once.
type reuse struct {
	harmful
	over
}

func (*reuse) String() string { return "a crashed server's address is used again" }

// Begin implements Step.
func (*reuse) Begin(bed *testbed.Testbed) error {
	crashed := bed.Targets()[2]
	crashed.Crash()
	bed.Forget(crashed)
	_, err := bed.Replace(crashed)
	return err
}
