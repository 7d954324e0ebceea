package cmd

import (
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/cli"
	"azureshift/tour"
)

const _tourSpan = 3 * time.Second

// runTour runs planned maintenance and faults one after the other on embedded stand-ins.
func runTour(args []string, stdout, stderr io.Writer) error {
	flags := cli.NewFlags("tour", "[flags]", stderr)
	config := tour.Config{Steps: tour.Steps(), Progress: stderr}
	flags.DurationVar(&config.StepDuration, "span", _tourSpan, "duration of each step")
	flags.Uint64Var(&config.Seed, "seed", uint64(time.Now().UnixNano()), "seed of the routers' random choices")
	logPath := flags.String("logs", filepath.Join(os.TempDir(), "azureshift-tour.log"), "output file for instance logs")
	chartPath := flags.String("chart", "", "output file for a chart of the run, such as tour.svg")
	if err := cli.ParseFlags(flags, args, 0, 0); err != nil {
		return err
	}
	if config.StepDuration <= 0 {
		return cli.Usagef("tour: -span must be above 0")
	}
	program, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "find this program's executable, which also runs the instances")
	}
	logs, err := os.Create(*logPath)
	if err != nil {
		return eris.Wrap(err, "create the log file; choose another one with -logs")
	}
	defer func() { _ = logs.Close() }()
	launcher, remove, err := tour.NewProcessLauncher([]string{program, "entry"}, logs)
	if err != nil {
		return err
	}
	defer remove()
	config.Launcher = launcher
	report, err := tour.Run(config)
	if err != nil {
		return err
	}
	if err := report.Print(stdout); err != nil {
		return err
	}
	if *chartPath != "" {
		if err := report.Chart().Save(*chartPath); err != nil {
			return err
		}
	}
	if len(report.Violations) > 0 {
		return eris.Errorf("%d guarantees violated; logs in %s", len(report.Violations), *logPath)
	}
	return nil
}
