package cmd

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/cli"
	"azureshift/demo"
)

const (
	_demoDuration = 10 * time.Second
	_demoScale    = 0.005
)

func runDemo(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	flags := cli.NewFlags("demo", "[flags]", stderr)
	duration := flags.Duration("duration", _demoDuration, "how long callers send requests")
	seed := flags.Uint64("seed", uint64(time.Now().UnixNano()), "seed of all random choices")
	level := flags.String("log", "error", "minimum level of the instances' log lines: error, warning, info or debug")
	scale := flags.Float64("scale", _demoScale, "fraction of the deployments' connections to open")
	faults := flags.String("fault", "", "faults to inject, separated by commas: "+strings.Join(demo.FaultNames(), ", "))
	if err := cli.ParseFlags(flags, args, 0, 0); err != nil {
		return err
	}
	injected, err := demo.ParseFaults(*faults)
	if err != nil {
		return cli.Usagef("demo: %v", err)
	}
	report, err := demo.Run(ctx, demo.Config{
		Deployments: []demo.Deployment{demo.Valtellina(), demo.Anahuac()},
		Duration:    *duration,
		Scale:       *scale,
		Seed:        *seed,
		Faults:      injected,
		Output:      stdout,
		Log:         stderr,
		LogLevel:    *level,
	})
	if err != nil {
		return err
	}
	report.Print(stdout)
	if len(report.Violations) > 0 {
		return eris.Errorf("%d guarantees were violated, the first: %s", len(report.Violations), report.Violations[0].Name)
	}
	return nil
}
