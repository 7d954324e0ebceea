package cmd

import (
	"io"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/cli"
	"azureshift/soak"
)

const (
	_soakSeeds     = 3
	_soakSpan      = 20 * time.Second
	_soakInstances = 3
	_soakTargets   = 4
)

// runSoak runs entry instances as processes under random faults, once for each seed.
func runSoak(args []string, stdout, stderr io.Writer) error {
	flags := cli.NewFlags("soak", "[flags]", stderr)
	config := soak.Config{}
	flags.Uint64Var(&config.Seed, "seed", uint64(time.Now().UnixNano()), "first seed")
	seeds := flags.Int("seeds", _soakSeeds, "number of seeds")
	flags.DurationVar(&config.FaultDuration, "span", _soakSpan, "how long faults are injected for each seed")
	flags.IntVar(&config.Instances, "instances", _soakInstances, "entry instances in each of three failure domains")
	flags.IntVar(&config.Targets, "targets", _soakTargets, "backend servers in each failure domain")
	known := strings.Join(soak.FaultNames(), ", ")
	faults := flags.String("faults", "", "faults to inject, separated by commas, out of "+known+"; empty for all")
	flags.BoolVar(&config.KeepLogs, "keep", false, "also keep the logs of seeds without violations")
	quiet := flags.Bool("quiet", false, "print only the reports, not each injected fault")
	if err := cli.ParseFlags(flags, args, 0, 0); err != nil {
		return err
	}
	if *seeds < 1 || config.Instances < 1 || config.Targets < _soakTargets || config.FaultDuration <= 0 {
		return cli.Usagef("soak: -seeds and -instances must be at least 1, -targets at least %d and -span above 0",
			_soakTargets)
	}
	if *faults != "" {
		config.Faults = strings.Split(*faults, ",")
	}
	program, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "find this program's executable, which also runs the instances")
	}
	config.Launcher.Command = []string{program, "entry"}
	if !*quiet {
		config.Progress = stdout
	}
	broken := 0
	for range *seeds {
		report, err := soak.Run(config)
		if err != nil {
			return eris.Wrapf(err, "seed %d", config.Seed)
		}
		report.Print(stdout)
		if len(report.Violations) > 0 {
			broken++
		}
		config.Seed++
	}
	if broken > 0 {
		return eris.Errorf("guarantees were violated with %d of %d seeds", broken, *seeds)
	}
	return nil
}
