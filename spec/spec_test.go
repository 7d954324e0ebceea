package spec_test

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// _maxVerifiers is the maximum number of concurrent verifiers; each uses up to 1 GB of memory.
	_maxVerifiers   = 3
	_commandTimeout = 2 * time.Minute
)

var (
	_verifierSlots = make(chan struct{}, _maxVerifiers)
	_errorCount    = regexp.MustCompile(`errors: (\d+)`)
	_stateCount    = regexp.MustCompile(`(\d+) states, stored`)
)

// view has the members, one bit each, the owner and the runner-up of a view. Runner-up 3 means none.
type view struct{ members, owner, runnerUp int }

var _views = []view{
	{1, 0, 3},
	{2, 1, 3},
	{4, 2, 3},
	{3, 0, 1},
	{3, 1, 0},
	{5, 0, 2},
	{5, 2, 0},
	{6, 1, 2},
	{6, 2, 1},
	{7, 0, 1},
	{7, 0, 2},
	{7, 1, 0},
	{7, 1, 2},
	{7, 2, 0},
	{7, 2, 1},
}

func (view view) flags(name string) []string {
	return []string{
		fmt.Sprintf("-D%s_MEMBERS=%d", name, view.members),
		fmt.Sprintf("-D%s_OWNER=%d", name, view.owner),
		fmt.Sprintf("-D%s_RUNNERUP=%d", name, view.runnerUp),
	}
}

func TestRequestProtocolHoldsForEverySecondView(t *testing.T) {
	for _, second := range _views {
		t.Run(fmt.Sprint(second), func(t *testing.T) {
			t.Parallel()
			assertHolds(t, "request", second.flags("SECOND")...)
		})
	}
}

func TestEachFenceOfTheRequestProtocolIsNeeded(t *testing.T) {
	fences := map[string]view{
		"NO_INTENT": {1, 0, 3}, "NO_EPOCH": {6, 2, 1}, "NO_SEAL": {1, 0, 3}, "NO_NOTRUN": {1, 0, 3},
		"NO_ATTEMPT": {1, 0, 3}, "NO_LEASE": {1, 0, 3}, "NO_REFUSAL_LEASE": {1, 0, 3},
		"NO_WITNESS": {1, 0, 3}, "NO_OLD_MAJORITY": {1, 0, 3}, "NO_COPY": {5, 0, 2},
	}
	for fence, second := range fences {
		t.Run(fence, func(t *testing.T) {
			t.Parallel()
			assertFails(t, "request", append(second.flags("SECOND"), "-D"+fence)...)
		})
	}
}

func TestFencesOverThreeViewsAreNeeded(t *testing.T) {
	flags := append(view{4, 2, 3}.flags("SECOND"), view{6, 2, 1}.flags("THIRD")...)
	flags = append(flags, "-DVIEWS=3")
	for _, fence := range []string{"NO_CHAIN", "NO_REPLACE"} {
		t.Run(fence, func(t *testing.T) {
			t.Parallel()
			assertFails(t, "request", append([]string{"-D" + fence}, flags...)...)
		})
	}
	t.Run("All", func(t *testing.T) {
		t.Parallel()
		assertHolds(t, "request", flags...)
	})
}

func TestHeadProtocol(t *testing.T) {
	t.Run("Holds", func(t *testing.T) { assertHolds(t, "head") })
	for _, fence := range []string{"NO_CAS", "NO_READBACK", "NO_HISTORY", "NO_RETRY_CHECK", "FOLLOW_ANY"} {
		t.Run(fence, func(t *testing.T) { assertFails(t, "head", "-D"+fence) })
	}
}

// TestBeliefsOfInstances checks that an instance never counts itself up to date at a revision without a configuration
// that the changes up to it left, and that each safeguard is needed for that.
func TestBeliefsOfInstances(t *testing.T) {
	t.Run("Holds", func(t *testing.T) {
		t.Parallel()
		assertHolds(t, "belief")
	})
	for _, safeguard := range []string{
		"NO_MISSING", "NO_NAMING", "NO_CONFIRM_CHECK", "NO_ERA", "NO_WANTED", "NO_STORE_CHECK",
	} {
		t.Run(safeguard, func(t *testing.T) {
			t.Parallel()
			assertFails(t, "belief", "-D"+safeguard)
		})
	}
}

func assertHolds(t *testing.T, model string, flags ...string) {
	t.Helper()
	exact := []string{"-O1", "-DCOLLAPSE"}
	qt.Assert(t, verify(t, model, flags, exact), qt.Equals, "0")
}

func assertFails(t *testing.T, model string, flags ...string) {
	t.Helper()
	hashed := []string{"-O0", "-DHC4"}
	qt.Assert(t, verify(t, model, flags, hashed), qt.Equals, "1")
}

// verify searches all states of a model and returns the number of errors found. The test fails if the search finds no
// error but is incomplete because of the memory or depth limit. Hash-compacted states are faster but may hide states,
// so they are used only for searches that must find an error.
func verify(t *testing.T, model string, flags, options []string) string {
	t.Helper()
	_verifierSlots <- struct{}{}
	defer func() { <-_verifierSlots }()
	path, err := filepath.Abs(model + ".pml")
	qt.Assert(t, err, qt.IsNil)
	directory := t.TempDir()
	run(t, directory, "spin", append(append([]string{"-a"}, flags...), path)...)
	options = append(options, "-w", "-DSAFETY", "-DNOREDUCE", "-DMEMLIM=1000", "-o", "verifier", "pan.c")
	run(t, directory, "gcc", options...)
	output := run(t, directory, "./verifier", "-E", "-m300000")
	errors := _errorCount.FindStringSubmatch(output)
	qt.Assert(t, errors, qt.HasLen, 2, qt.Commentf("%s", output))
	if errors[1] == "0" {
		qt.Assert(t, output, qt.Not(qt.Contains), "Search not completed")
		qt.Assert(t, output, qt.Not(qt.Contains), "max search depth too small")
	}
	t.Logf("%s %v: %v", model, flags, _stateCount.FindStringSubmatch(output))
	return errors[1]
}

func run(t *testing.T, directory, program string, arguments ...string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), _commandTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, program, arguments...)
	command.Dir = directory
	output, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("running %s %v: %v: install the packages spin and gcc\n%s", program, arguments, err, output)
	}
	return string(output)
}
